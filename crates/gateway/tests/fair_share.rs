//! Tests of fair shares of scarce room.

mod support;

use std::time::Duration;

use bluebellstage_core::{Incarnation, InstanceId, Revision, TargetId, Time};
use bluebellstage_gateway::decide::call::Call;
use bluebellstage_gateway::decide::fair_share::{Claim, ShareChange, Shortage, max_min_level};
use bluebellstage_gateway::decide::placement::Pick;
use bluebellstage_gateway::decide::quota::SpendReport;
use bluebellstage_gateway::decide::ranked_tokens::{RankClass, RankedTokens};
use bluebellstage_gateway::decide::rendezvous::ShortHash;
use bluebellstage_gateway::decide::tables::Tables;
use bluebellstage_gateway::decide::wait_queue::Standing;
use support::fleet::{Fleet, Network};
use support::shared_room::{CAPACITY, Outcome, Sender, Simulation, service, shared_config};
use support::{at, draft, tables};

/// The workspaces that send five times their usual.
const HOT: std::ops::Range<usize> = 1..4;
const TARGET_LATENCY: Duration = Duration::from_millis(500);

/// One workspace with 40 in 100 of the usual traffic, three with 5, and `small` ones that share the rest. Their quotas
/// are six times what they usually send.
fn senders(small: u32, load: f64, hot_factor: f64) -> Vec<Sender> {
    let total = CAPACITY * load;
    let sender = |part: f64, factor| Sender {
        usual: part * total,
        factor,
        quota: part * total * 6.0,
    };
    let mut senders = vec![sender(0.4, 1.0)];
    senders.extend(HOT.map(|_| sender(0.05, hot_factor)));
    senders.extend((0..small).map(|_| sender(0.45 / f64::from(small), 1.0)));
    senders
}

/// What the workspaces got that send their usual.
fn usual(outcomes: &[Outcome]) -> Vec<Outcome> {
    let all = outcomes.iter().enumerate();
    let usual = all.filter(|(number, _)| !HOT.contains(number));
    usual.map(|(_, outcome)| *outcome).collect()
}

/// Fraction of requests served of the worst-served tenth of those workspaces.
fn worst_tenth(outcomes: &[Outcome]) -> f64 {
    let fractions = usual(outcomes).into_iter();
    let mut fractions = fractions
        .map(|outcome| outcome.served_fraction())
        .collect::<Vec<_>>();
    fractions.sort_by(f64::total_cmp);
    let worst = &fractions[..fractions.len().div_ceil(10)];
    worst.iter().sum::<f64>() / f64::from(u32::try_from(worst.len()).unwrap())
}

/// The longest mean time to the first event among those workspaces.
fn slowest(outcomes: &[Outcome]) -> Duration {
    let means = usual(outcomes).into_iter();
    let means = means.map(|outcome| outcome.mean_first_event());
    means.max().unwrap_or_default()
}

fn start(size: (usize, usize), senders: Vec<Sender>, decides: bool) -> Simulation {
    let fleet = Fleet::start(size.0, size.1, 7);
    Simulation::start(fleet, senders, decides)
}

/// Guards against workspaces that are refused, or served late, because three others send five times their usual below
/// their quotas.
#[test]
fn those_within_their_shares_are_served_in_time() {
    let sizes = [
        ((8, 3), 20, 6_000),
        ((72, 3), 20, 6_000),
        ((380, 5), 8, 2_000),
    ];
    for (size, small, ms) in sizes {
        let mut simulation = start(size, senders(small, 0.8, 5.0), true);
        simulation.run_ms(3_000);
        let outcomes = simulation.outcomes_of_ms(ms);
        assert!(worst_tenth(&outcomes) > 0.99, "{size:?} {outcomes:?}");
        assert!(slowest(&outcomes) < TARGET_LATENCY, "{size:?} {outcomes:?}");
    }
}

/// The same load without the decision.
#[test]
fn without_the_decision_small_workspaces_are_refused() {
    for size in [(8, 3), (72, 3)] {
        let mut simulation = start(size, senders(20, 0.8, 5.0), false);
        simulation.run_ms(3_000);
        let outcomes = simulation.outcomes_of_ms(6_000);
        assert!(worst_tenth(&outcomes) < 0.7, "{size:?} {outcomes:?}");
        assert!(slowest(&outcomes) > TARGET_LATENCY, "{size:?} {outcomes:?}");
    }
}

/// Guards against a workspace that is held back although there is room for all.
#[test]
fn nobody_gives_way_without_a_shortage() {
    let mut simulation = start((8, 3), senders(20, 0.5, 5.0), true);
    let outcomes = simulation.outcomes_of_ms(6_000);
    let gave_way = outcomes.iter().map(|outcome| outcome.gave_way).sum::<u32>();
    assert_eq!((gave_way, simulation.changes), (0, Vec::new()));
}

/// Guards against room that idles because those whose share it is ask for nothing, and against one that takes all of it.
#[test]
fn unused_shares_go_to_the_others_at_once() {
    let mut senders = senders(20, 0.8, 12.0);
    for (number, sender) in senders.iter_mut().enumerate() {
        if HOT.contains(&number) {
            sender.quota *= 2.5;
        } else {
            sender.factor = 0.0;
        }
    }
    let mut simulation = start((8, 3), senders, true);
    simulation.run_ms(3_000);
    let outcomes = simulation.outcomes_of_ms(6_000);
    let served = outcomes.iter().map(|outcome| outcome.served).sum::<u32>();
    assert!(f64::from(served) > 0.95 * 6.0 * CAPACITY, "{outcomes:?}");
    let each = HOT.map(|number| outcomes[number].served);
    let [least, most] = [each.clone().min().unwrap(), each.max().unwrap()];
    assert!(f64::from(most) < 1.2 * f64::from(least), "{outcomes:?}");
}

/// Guards against shares that go wrong when news is lost, an instance restarts, one dies and a failure domain is cut
/// off.
#[test]
fn those_within_their_shares_are_served_through_failures() {
    let mut simulation = start((8, 3), senders(20, 0.8, 5.0), true);
    simulation.fleet.network = Network::UNRELIABLE;
    simulation.run_ms(3_000);
    simulation.restart(0);
    simulation.fleet.kill(4);
    simulation.fleet.partitions = vec![(0, 1), (1, 0), (0, 2), (2, 0)];
    let outcomes = simulation.outcomes_of_ms(6_000);
    assert!(worst_tenth(&outcomes) > 0.9, "{outcomes:?}");
}

fn call_of(number: usize) -> Call {
    Call {
        key: Some(format!("w{number}").into()),
        ..draft("a1")
    }
}

/// Returns an instance in a shortage at which the second workspace spends ten times its share until `at(2_000)`.
fn short_instance() -> Tables {
    let mut tables = tables();
    assert!(tables.adopt(shared_config(&senders(4, 0.8, 1.0)), at(0)));
    tables.review_shares(at(0));
    for ms in (0..2_000).step_by(100) {
        for number in [0, 1, 1, 4] {
            tables.admit(&call_of(number), 0, at(ms)).unwrap();
        }
        tables.fair_shares.record_refusal(&service(), at(ms));
        tables.review_shares(at(ms));
    }
    tables
}

fn gives_way(tables: &mut Tables, call: &Call, pick: &Pick, now: Time) -> Option<Duration> {
    let ticket = tables.admit(call, 0, now).unwrap();
    tables.gives_way(&ticket, call, pick, now)
}

fn load() -> Pick {
    Pick::Load("e1".try_into().unwrap())
}

/// Guards against a stream that is cut off from its rest, and against workspaces within their shares that give way.
#[test]
fn only_new_requests_of_the_largest_excess_give_way() {
    let mut tables = short_instance();
    let now = at(2_000);
    let back_in = gives_way(&mut tables, &call_of(1), &load(), now).unwrap();
    assert!((300..10_000).contains(&back_in.as_millis()), "{back_in:?}");
    assert_eq!(gives_way(&mut tables, &call_of(0), &load(), now), None);
    assert_eq!(gives_way(&mut tables, &call_of(1), &Pick::Full, now), None);
    let continued = Call {
        resume_after: Some(3),
        ..call_of(1)
    };
    assert_eq!(gives_way(&mut tables, &continued, &load(), now), None);
}

/// Guards against shares where no request can give way to a more urgent one.
#[test]
fn nobody_gives_way_where_all_requests_are_equally_urgent() {
    let mut tables = tables();
    let mut cfg = shared_config(&senders(4, 0.8, 1.0));
    cfg.routes.pop();
    assert!(tables.adopt(cfg, at(0)));
    for ms in (0..2_000).step_by(100) {
        for _request in 0..2 {
            tables.admit(&call_of(1), 0, at(ms)).unwrap();
        }
        let refused = service();
        tables.fair_shares.record_refusal(&refused, at(ms));
        assert_eq!(tables.review_shares(at(ms)), []);
    }
    assert_eq!(
        gives_way(&mut tables, &call_of(1), &load(), at(2_000)),
        None
    );
}

/// Guards against room that is given to a workspace beyond its share until others come too late.
#[test]
fn an_engine_that_begins_late_is_left_to_those_within_their_shares() {
    let mut tables = short_instance();
    let now = at(2_000);
    let target = TargetId::try_from("e1").unwrap();
    tables
        .registry
        .put(support::target("e1", "writers"), Revision(1), at(0));
    let prompt = |tokens| (RankClass::default(), tokens);
    let none = RankedTokens::default();
    let learned = tables.queues.record_sent(&target, prompt(1_000), none, now);
    tables.record_started(learned, now + Duration::from_millis(100));
    let send = Pick::Send {
        target: target.clone(),
        version: None,
        trial: false,
        load_at: Vec::new(),
    };
    assert_eq!(gives_way(&mut tables, &call_of(1), &send, now), None);
    let _queued = tables.queues.record_sent(&target, prompt(2_000), none, now);
    assert!(gives_way(&mut tables, &call_of(1), &send, now).is_some());
    assert_eq!(gives_way(&mut tables, &call_of(0), &send, now), None);
}

/// Guards against a workspace that is held back for longer than the shortage, or by shares of the past.
#[test]
fn a_workspace_is_beyond_its_share_only_during_a_shortage() {
    let mut tables = short_instance();
    let ticket = tables.admit(&call_of(1), 0, at(2_000)).unwrap();
    assert_eq!(tables.standing(&ticket, at(2_000)), Standing::Beyond);
    assert_eq!(tables.standing(&ticket, at(3_001)), Standing::Within);
    let ended = tables.review_shares(at(3_001));
    let service = service();
    assert_eq!(ended, [ShareChange::ShortageEnded { service }]);
    for ms in [8_000, 8_500] {
        tables.fair_shares.record_refusal(&ticket.service, at(ms));
    }
    assert_eq!(tables.standing(&ticket, at(8_500)), Standing::Within);
}

/// Guards against a peer whose nonsense counts hold a workspace back for long, or end the process.
#[test]
fn nonsense_counts_are_forgotten_within_seconds() {
    let mut tables = short_instance();
    let peer = InstanceId::try_from("i1").unwrap();
    for (ms, total) in [
        (2_000, u64::MAX / 2),
        (2_100, 0),
        (2_200, 1 << 62),
        (2_300, 7),
    ] {
        let report = SpendReport {
            account: ShortHash::of("w4"),
            total,
            recent: total,
        };
        let quotas = &mut tables.quotas;
        quotas.record_peer_spending(&peer, Incarnation(1), report, false, true, at(ms));
        tables.review_shares(at(ms));
    }
    let spending = |tables: &Tables| tables.fair_shares.dump()[4].spending;
    assert!(spending(&tables) < 200_000, "{}", spending(&tables));
    tables.review_shares(at(17_000));
    assert!(spending(&tables) < 1_000, "{}", spending(&tables));
}

/// Guards against a single refusal that counts as a shortage, and one that never ends.
#[test]
fn a_shortage_begins_with_the_second_sign_and_ends_after_the_last() {
    let mut shortage = Shortage::default();
    shortage.record_refusal(at(0));
    assert!(!shortage.is_in_force(at(0)));
    shortage.record_waiting(2, at(300));
    assert!(shortage.is_in_force(at(300)));
    shortage.record_scarce(at(1_200));
    assert!(shortage.is_in_force(at(2_100)));
    assert!(!shortage.is_in_force(at(2_200)));
    shortage.record_scarce(at(2_300));
    shortage.record_refusal(at(2_400));
    assert!(!shortage.is_in_force(at(2_400)));
}

/// Guards against shares that exceed what there is, or leave some of it to nobody.
#[test]
fn the_level_shares_out_the_whole_capacity() {
    let claim = |weight, demand| Claim { weight, demand };
    let claims = [claim(1.0, 10.0), claim(2.0, 100.0), claim(1.0, 1.0)];
    for (capacity, level) in [(0.0, 0.0), (4.0, 1.0), (31.0, 10.0), (51.0, 20.0)] {
        let found = max_min_level(&claims, capacity);
        assert!((found - level).abs() < 1e-9, "{capacity}: {found}");
    }
    assert!(max_min_level(&claims, 111.0).is_infinite());
    assert!(max_min_level(&[], 1.0).is_infinite());
}
