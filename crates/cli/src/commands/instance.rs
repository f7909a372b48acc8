//! `instance`: shows an instance on the users' platform.

use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

use bluebellstage_gateway::decide::drain_state::DrainState;
use bluebellstage_gateway::decide::dump::{
    Dump, EvacuationDump, PeerDump, QuarantinedPartDump, QuotaDump, ShareDump, SoftwareDump, Stage,
    StoreCallDump, StoreLink, SuspectDump, SuspectedPartDump, TargetDump, WaitingDump,
};
use bluebellstage_gateway::decide::health::HealthState;
use bluebellstage_gateway::decide::memory_budget::{Mark, MemoryDump};
use bluebellstage_gateway::decide::quarantine::Suspect;
use bluebellstage_gateway::decide::status::Role;
use reqwest::Client;
use reqwest::redirect::Policy;

use crate::args::InstanceArgs;
use crate::error::{CliError, Exit};
use crate::output::{pretty, print_line};

/// An instance answers from memory; one that takes longer is stuck.
const TIMEOUT: Duration = Duration::from_secs(5);

fn unreachable(address: SocketAddr, error: &reqwest::Error) -> CliError {
    CliError::Unreachable {
        url: address.to_string().into(),
        cause: error.to_string().into(),
    }
}

fn client(address: SocketAddr) -> Result<Client, CliError> {
    let client = Client::builder()
        .redirect(Policy::none())
        .no_proxy()
        .timeout(TIMEOUT)
        .build();
    client.map_err(|error| unreachable(address, &error))
}

async fn read(address: SocketAddr) -> Result<Dump, CliError> {
    let http = client(address)?;
    let answered = http.get(format!("http://{address}/dump")).send().await;
    let answered = answered.map_err(|error| unreachable(address, &error))?;
    let dump = answered.json().await;
    dump.map_err(|error| unreachable(address, &error))
}

/// Lets a quarantined request or prompt part through again, on all instances.
async fn clear(address: SocketAddr, suspect: Suspect) -> Result<(), CliError> {
    let url = format!("http://{address}/quarantine/clear?{suspect}");
    let answered = client(address)?.post(url).send().await;
    let answered = answered.map_err(|error| unreachable(address, &error))?;
    if answered.status().is_success() {
        return Ok(());
    }
    Err(CliError::NotQuarantined { suspect })
}

/// Prints the state of the instance at a control address.
pub(super) async fn run(args: &InstanceArgs) -> Result<Exit, CliError> {
    if let Some(suspect) = args.clear {
        clear(args.control, suspect).await?;
        print_line(&format!(
            "{suspect} is sent to targets again, on all instances"
        ))?;
        return Ok(Exit::Done);
    }
    let dump = read(args.control).await?;
    if args.json {
        let value = serde_json::to_value(&dump).unwrap_or_default();
        print_line(&pretty(&value))?;
    } else {
        print_line(text(&dump).trim_end())?;
    }
    Ok(Exit::Done)
}

fn text(dump: &Dump) -> String {
    let mut out = String::new();
    // Writing to a string does not fail.
    let _infallible = write_dump(&mut out, dump);
    out
}

fn write_dump(out: &mut String, dump: &Dump) -> std::fmt::Result {
    let stage = match dump.stage {
        Stage::Starting => "starting: no configuration yet",
        Stage::Ready => "ready",
        Stage::Stopping => "stopping",
    };
    let store = match dump.store {
        StoreLink::Followed => "followed here",
        StoreLink::Copied => "copied from peers",
        StoreLink::Away => "does not answer here",
    };
    writeln!(
        out,
        "instance   {} in {} ({stage})",
        dump.instance, dump.failure_domain
    )?;
    writeln!(out, "config     version {}", dump.config)?;
    writeln!(
        out,
        "store      {store}, targets at {}, era {}",
        dump.targets_revision, dump.store_era
    )?;
    write_news(out, dump)?;
    writeln!(
        out,
        "loading    shards {:?}, {} loads under way",
        dump.shards, dump.loads
    )?;
    if let Some(memory) = &dump.memory {
        write_memory(out, memory)?;
    }
    dump.store_waits
        .iter()
        .try_for_each(|wait| write_store_wait(out, wait))?;
    dump.evacuated
        .iter()
        .try_for_each(|evacuation| write_evacuation(out, evacuation))?;
    for software in &dump.software {
        let SoftwareDump {
            service,
            version,
            targets,
            serving,
        } = software;
        writeln!(
            out,
            "software   {service}  {version}  {targets} targets, {serving} of them serving"
        )?;
    }
    dump.targets
        .iter()
        .try_for_each(|target| write_target(out, target))?;
    dump.peers
        .iter()
        .try_for_each(|peer| write_peer(out, peer))?;
    dump.quotas
        .iter()
        .try_for_each(|quota| write_quota(out, quota))?;
    for waiting in &dump.waiting {
        let WaitingDump {
            service,
            rank,
            here,
            elsewhere,
        } = waiting;
        writeln!(
            out,
            "waiting    {service}  rank {rank}  {here} here, {elsewhere} elsewhere"
        )?;
    }
    dump.short_of_room
        .iter()
        .try_for_each(|service| writeln!(out, "shortage   {service}  shared by quotas"))?;
    let beyond = dump.shares.iter().filter(|share| share.beyond);
    for share in beyond {
        write_share(out, share)?;
    }
    for held in &dump.quarantined {
        let seconds = held.since_ms / 1_000;
        writeln!(out, "refused    {}  for {seconds} s", held.fingerprint)?;
    }
    for suspect in &dump.suspects {
        let SuspectDump { fingerprint, ended } = suspect;
        writeln!(
            out,
            "suspect    {fingerprint}  on {ended} targets that ended"
        )?;
    }
    write_parts(out, dump)
}

fn write_memory(out: &mut String, memory: &MemoryDump) -> std::fmt::Result {
    let mark = match memory.mark {
        Mark::Below => "",
        Mark::First => ", short: it is divided",
        Mark::Last => ", short: new requests are refused",
    };
    writeln!(
        out,
        "memory     {} KB held of {} KB{mark}: {} request bodies, {} responses, {} untaken; {} callers wait, {} are stalled",
        memory.held() / 1_000,
        memory.budget / 1_000,
        memory.request_bodies / 1_000,
        memory.responses / 1_000,
        memory.untaken / 1_000,
        memory.waiting,
        memory.stalled,
    )
}

fn write_parts(out: &mut String, dump: &Dump) -> std::fmt::Result {
    for QuarantinedPartDump { part, since_ms } in &dump.quarantined_parts {
        let seconds = since_ms / 1_000;
        writeln!(out, "refused    part-{part}  for {seconds} s")?;
    }
    for suspect in &dump.suspected_parts {
        let SuspectedPartDump {
            part,
            crashes,
            evidence_decidigits,
        } = suspect;
        let [digits, tenths] = [evidence_decidigits / 10, evidence_decidigits % 10];
        writeln!(
            out,
            "suspect    part-{part}  on {crashes} targets that ended, by coincidence in one of 10^{digits}.{tenths} cases"
        )?;
    }
    Ok(())
}

fn write_news(out: &mut String, dump: &Dump) -> std::fmt::Result {
    let how = match (&dump.news_from, dump.role) {
        (Some(relay), _) => format!("from {relay}"),
        (None, Role::Subscriber) => "told by each".into(),
        (None, role) => format!("{} for {} others", role.name(), dump.readers),
    };
    writeln!(
        out,
        "news       {how}, {} ms old in the mean",
        dump.news_age_ms
    )
}

fn write_store_wait(out: &mut String, wait: &StoreCallDump) -> std::fmt::Result {
    let open = wait
        .open_ms
        .map_or_else(|| "not asked".into(), |open| format!("asked {open} ms ago"));
    let answered = wait.answered_ms.map_or_else(
        || "never answered".into(),
        |answered| format!("last answer {answered} ms ago"),
    );
    writeln!(out, "follows    {}  {open}  {answered}", wait.kind.name())
}

fn write_evacuation(out: &mut String, evacuation: &EvacuationDump) -> std::fmt::Result {
    let what = match evacuation.state {
        DrainState::Draining => "gets only what no other domain can run now",
        DrainState::Open | DrainState::Closed => "gets no requests",
    };
    writeln!(out, "evacuated  {}  {what}", evacuation.domain)
}

fn write_target(out: &mut String, target: &TargetDump) -> std::fmt::Result {
    let standing = match target.standing {
        HealthState::Good => "",
        HealthState::Trial => "  on trial",
        HealthState::Ejected => "  ejected",
    };
    let unreachable = target.unreachable_ms;
    let unreachable = unreachable.map(|span| format!("  unreachable for {span} ms"));
    let unreachable = unreachable.unwrap_or_default();
    let cold = match target.cold_ms {
        0 => String::new(),
        left => format!("  cold for {left} ms"),
    };
    let rest = match target.rest_ms {
        0 => String::new(),
        left => format!("  rests for {left} ms"),
    };
    let leaving = if target.leaving { "  leaving" } else { "" };
    let said_leaving = target.said_leaving_ms;
    let said_leaving = said_leaving.map(|ago| format!("  said {ago} ms ago that it leaves"));
    let said_leaving = said_leaving.unwrap_or_default();
    let brittle = target.max_refusals;
    let brittle = brittle.map(|count| format!("  brittle: bears {count} refusals a second"));
    let brittle = brittle.unwrap_or_default();
    let limit = target.limit.map(|rate| format!("  takes {rate} a second"));
    let limit = limit.unwrap_or_default();
    writeln!(
        out,
        "target     {}  {} {}  {} of {} slots  {} adapters{standing}{unreachable}{cold}{rest}{leaving}{said_leaving}{limit}{brittle}",
        target.id, target.service, target.software, target.in_flight, target.slots, target.adapters
    )
}

fn write_peer(out: &mut String, peer: &PeerDump) -> std::fmt::Result {
    let heard = peer.silent_ms.map_or_else(
        || "never heard".into(),
        |silent| format!("heard {silent} ms ago"),
    );
    let ready = if peer.ready { "ready" } else { "not ready" };
    writeln!(
        out,
        "peer       {}  {heard}  {ready}  config {}",
        peer.name, peer.config
    )
}

fn write_share(out: &mut String, share: &ShareDump) -> std::fmt::Result {
    let units = share
        .share
        .map_or_else(|| "all".into(), |units| units.to_string());
    writeln!(
        out,
        "beyond     {}  spends {} a second, its share is {units}",
        share.workspace, share.spending
    )
}

fn write_quota(out: &mut String, quota: &QuotaDump) -> std::fmt::Result {
    writeln!(
        out,
        "workspace  {}  {} left, {} a second",
        quota.workspace, quota.left, quota.rate
    )
}
