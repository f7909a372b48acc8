//! Tests of the exchange of state between instances, in virtual time.

mod support;

use bluebellstage_gateway::decide::exchange::MAX_DIRECT_FLEET;
use bluebellstage_gateway::decide::status::Role;
use bluebellstage_gateway::packet::Packet;
use support::fleet::{Fleet, Network};
use support::quota;

/// Numbers of instances and failure domains, from the smallest supported fleet to the design size.
const FLEETS: [(usize, usize); 5] = [(6, 3), (17, 3), (75, 3), (195, 5), (380, 18)];
/// Time in which a fleet that starts at once has converged.
const CONVERGED_MS: u64 = 3_000;
/// Time within which 99 of 100 instances must know of a request.
const KNOWN_TIMEOUT_MS: u64 = 300;
/// The same for a fleet in which each instance sends its status to all others.
const KNOWN_DIRECTLY_TIMEOUT_MS: u64 = 150;

fn converged_fleet(count: usize, domains: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::start(count, domains, seed);
    fleet.run_ms(CONVERGED_MS);
    fleet
}

#[test]
fn every_instance_knows_the_load_of_all_others() {
    for (count, domains) in FLEETS {
        let mut fleet = converged_fleet(count, domains, 1);
        fleet.add_random_requests(count * 2);
        fleet.run_ms(1_000);
        assert_eq!(fleet.first_error(), None, "{count} instances");
    }
}

#[test]
fn updates_arrive_over_a_network_that_drops_duplicates_and_reorders() {
    for (count, domains) in FLEETS {
        let mut fleet = converged_fleet(count, domains, 2);
        fleet.network = Network::UNRELIABLE;
        fleet.add_random_requests(count * 2);
        fleet.run_ms(2_500);
        fleet.network = Network::RELIABLE;
        fleet.run_ms(500);
        assert_eq!(fleet.first_error(), None, "{count} instances");
    }
}

#[test]
fn each_failure_domain_of_a_large_fleet_has_two_relays() {
    for (count, domains) in FLEETS {
        let fleet = converged_fleet(count, domains, 3);
        let relays = fleet.relays();
        let expected = if count > MAX_DIRECT_FLEET {
            domains * 2
        } else {
            0
        };
        assert_eq!(relays.len(), expected, "{count} instances");
    }
}

/// Guards against wrong loads when instances disagree on whether the fleet is large enough for
/// relays. Some instances count registrations of peers that are long gone.
#[test]
fn instances_that_disagree_on_the_size_of_the_fleet_know_all_loads() {
    for misled_instances in [1, 5, 12] {
        let mut fleet = Fleet::start(12, 3, 16);
        (0..misled_instances).for_each(|idx| fleet.add_stale_registrations(idx, 10));
        fleet.run_ms(CONVERGED_MS);
        fleet.add_random_requests(30);
        fleet.run_ms(1_000);
        assert_eq!(
            fleet.first_error(),
            None,
            "considered large by {misled_instances}"
        );
    }
}

/// Returns the time in milliseconds until 99 of 100 instances know of a request; the maximum of
/// several runs.
fn max_time_to_known(count: usize, domains: usize) -> u64 {
    let mut fleet = converged_fleet(count, domains, 4);
    let mut max_time = 0;
    for round in 0..20 {
        let idx = fleet.random_below(count);
        fleet.change_load(idx, 0, true);
        let mut elapsed = 0;
        loop {
            let unaware = (0..count).filter(|other| {
                let (real, known) = fleet.others_load(*other, 0);
                real != known
            });
            if unaware.count() * 100 <= count {
                break;
            }
            fleet.run_ms(5);
            elapsed += 5;
            assert!(elapsed < 5_000, "request {round} isn't known");
        }
        max_time = max_time.max(elapsed);
        fleet.run_ms(200 + u64::try_from(round).unwrap() * 7);
    }
    max_time
}

#[test]
fn a_request_is_known_in_time_in_a_large_fleet() {
    let after = max_time_to_known(195, 5);
    assert!(after <= KNOWN_TIMEOUT_MS, "{after} ms");
}

#[test]
fn a_request_is_known_sooner_in_a_small_fleet() {
    let after = max_time_to_known(8, 3);
    assert!(after <= KNOWN_DIRECTLY_TIMEOUT_MS, "{after} ms");
}

/// Guards against updates that stop, or that count failed instances, when relays fail.
#[test]
fn failed_relays_are_replaced_and_the_sums_stay_correct() {
    for (count, domains) in [(40, 3), (195, 5)] {
        let mut fleet = converged_fleet(count, domains, 5);
        fleet.add_random_requests(count * 2);
        fleet.run_ms(500);
        for idx in fleet.relays() {
            fleet.kill(idx);
        }
        fleet.run_ms(3_000);
        assert_eq!(fleet.relays().len(), domains * 2, "{count} instances");
        assert_eq!(fleet.first_error(), None, "{count} instances");
    }
}

/// Guards against a gap after the failure of one relay. The other one must serve all subscribers
/// well before any instance counts as down.
#[test]
fn subscribers_of_a_failed_relay_switch_to_the_other_one_in_time() {
    let mut fleet = converged_fleet(75, 3, 6);
    let [relay, ..] = fleet.relays()[..] else {
        panic!("no relay");
    };
    fleet.kill(relay);
    for _ in 0..40 {
        fleet.run_ms(50);
        let min_live = (0..75).filter(|idx| fleet.is_running(*idx));
        let min_live = min_live.map(|idx| fleet.live_peers(idx)).min().unwrap();
        assert!(min_live >= 73, "{min_live} live peers");
    }
}

/// Guards against stale sums from a relay that was suspended.
#[test]
fn a_resumed_relay_does_not_send_stale_sums() {
    let mut fleet = converged_fleet(75, 3, 7);
    fleet.add_random_requests(100);
    fleet.run_ms(500);
    let [relay, ..] = fleet.relays()[..] else {
        panic!("no relay");
    };
    fleet.suspend(relay);
    fleet.run_ms(3_000);
    fleet.add_random_requests(50);
    fleet.run_ms(1_000);
    assert_eq!(fleet.first_error(), None, "while it is suspended");
    fleet.resume(relay);
    // The resumed relay selects an upstream relay first; until then the others do not know its
    // load.
    fleet.run_ms(800);
    for _ in 0..20 {
        assert_eq!(fleet.first_error(), None);
        fleet.run_ms(50);
    }
}

/// Guards against relays that can send to each other in one direction only.
#[test]
fn a_failure_domain_recovers_from_a_partition_in_one_or_both_directions() {
    for is_mutual in [false, true] {
        let mut fleet = converged_fleet(60, 3, 8);
        fleet.add_random_requests(100);
        fleet.run_ms(500);
        let mut partitions = vec![(0, 1), (0, 2)];
        if is_mutual {
            partitions.extend([(1, 0), (2, 0)]);
        }
        fleet.partitions = partitions;
        fleet.run_ms(4_000);
        for idx in 0..60 {
            let live_in_domain = fleet.tables(idx).peers.live(fleet.now);
            let local_domain = &fleet.tables(idx).local.failure_domain;
            let live_in_domain =
                live_in_domain.filter(|peer| peer.member.failure_domain == *local_domain);
            assert_eq!(
                live_in_domain.count(),
                19,
                "i{idx} in its own domain, both directions: {is_mutual}"
            );
        }
        assert_eq!(
            fleet.live_peers(1),
            39,
            "the partitioned domain is down, both directions: {is_mutual}"
        );
        fleet.partitions.clear();
        fleet.run_ms(2_000);
        assert_eq!(fleet.first_error(), None, "both directions: {is_mutual}");
    }
}

/// Guards against old incarnations and old addresses after restarts.
#[test]
fn a_fleet_that_restarts_at_once_converges_again() {
    for moved in [false, true] {
        let mut fleet = converged_fleet(60, 3, 9);
        fleet.add_random_requests(100);
        fleet.run_ms(500);
        for idx in 0..60 {
            fleet.restart(idx, moved);
        }
        fleet.run_ms(CONVERGED_MS);
        fleet.add_random_requests(100);
        fleet.run_ms(1_000);
        assert_eq!(fleet.first_error(), None, "moved: {moved}");
        assert_eq!(fleet.relays().len(), 6, "moved: {moved}");
    }
}

/// Guards against spending that is counted twice or lost while the relays change.
#[test]
fn spending_is_counted_once_while_relays_change() {
    for (count, domains) in [(8, 3), (60, 3)] {
        let mut fleet = converged_fleet(count, domains, 10);
        for idx in 0..count {
            fleet.spend(idx, 1);
        }
        fleet.run_ms(2_000);
        let before = (0..count)
            .map(|idx| fleet.remaining(idx))
            .collect::<Vec<_>>();
        let mut spent = 0;
        for round in 0..3 {
            for idx in (0..count)
                .filter(|idx| fleet.is_running(*idx))
                .collect::<Vec<_>>()
            {
                fleet.spend(idx, 1_000);
                spent += 1_000;
            }
            // Longer than the time for which spending is assumed to continue.
            fleet.run_ms(6_000);
            if let Some(relay) = fleet.relays().first().copied()
                && round < 2
            {
                fleet.kill(relay);
            }
            fleet.run_ms(3_000);
        }
        for idx in (0..count).filter(|idx| fleet.is_running(*idx)) {
            let counted = before[idx] - fleet.remaining(idx);
            let error = (counted - spent).abs();
            assert!(error <= 20, "i{idx} of {count}: {counted}, not {spent}");
        }
    }
}

/// Guards against a busy workspace that exceeds its quota while relays fail one after the other.
/// Spending that is not received is assumed to continue.
#[test]
fn unreported_spending_is_assumed_to_continue() {
    let mut fleet = converged_fleet(60, 3, 11);
    for idx in 0..60 {
        fleet.spend(idx, 1);
    }
    fleet.run_ms(1_000);
    let before = (0..60).map(|idx| fleet.remaining(idx)).collect::<Vec<_>>();
    let mut spent = 0;
    for step in 0..80 {
        for idx in (0..60)
            .filter(|idx| fleet.is_running(*idx))
            .collect::<Vec<_>>()
        {
            fleet.spend(idx, 100);
            spent += 100;
        }
        fleet.run_ms(50);
        if let Some(relay) = fleet.relays().first().copied()
            && step % 30 == 29
        {
            fleet.kill(relay);
        }
    }
    fleet.run_ms(2_000);
    for idx in (0..60).filter(|idx| fleet.is_running(*idx)) {
        let counted = before[idx] - fleet.remaining(idx);
        assert!(counted * 100 >= spent * 93, "i{idx}: {counted} of {spent}");
    }
}

const RATE: u64 = 250_000;
const BURST: u64 = 500_000;
const DRAFT: u64 = 1_300;
/// Tokens that are allowed above 110 % of the quota.
const SLACK: u64 = 17_000;

/// Sends drafts of a workspace to random instances at `times` tenths of its rate, and records the
/// step of each admitted one.
fn send_drafts(fleet: &mut Fleet, times: u64, step: u64, runs: &mut Vec<u64>) {
    let drafts = RATE * times / 10 / STEPS_PER_SECOND / DRAFT + 1;
    for _ in 0..drafts {
        let idx = fleet.random_below(fleet.len());
        if fleet.is_running(idx) && fleet.charge(idx, quota(RATE, BURST), DRAFT) {
            runs.push(step);
        }
    }
    fleet.run_ms(1_000 / STEPS_PER_SECOND);
}

const STEPS_PER_SECOND: u64 = 100;

/// Maximum number of admitted tokens in any eight seconds.
fn max_in_window(runs: &[u64]) -> u64 {
    let window = 8 * STEPS_PER_SECOND;
    let totals = runs.iter().enumerate().map(|(idx, from)| {
        let within = runs[idx..].iter().take_while(|at| **at < from + window);
        u64::try_from(within.count()).unwrap() * DRAFT
    });
    totals.max().unwrap_or(0)
}

fn assert_within_quota(runs: &[u64]) {
    let max = max_in_window(runs);
    let allowed = (RATE * 8 + BURST) * 11 / 10 + SLACK;
    assert!(max <= allowed, "{max} of {allowed}");
    assert!(max >= RATE * 8 * 9 / 10, "{max}");
}

/// Guards against a workspace that exceeds its quota when its load rises suddenly in a large fleet,
/// while relays fail: instances admit its requests before they know of each other's.
#[test]
fn a_sudden_surge_of_a_workspace_stays_within_its_quota() {
    let mut fleet = Fleet::with_quota(195, 5, 14, quota(RATE, BURST));
    fleet.run_ms(CONVERGED_MS);
    let mut runs = Vec::new();
    for step in 0..12 * STEPS_PER_SECOND {
        let times = if step < 300 { 1 } else { 50 };
        send_drafts(&mut fleet, times, step, &mut runs);
        let relay = fleet.relays().first().copied();
        if let Some(relay) = relay.filter(|_| step % 200 == 199) {
            fleet.kill(relay);
        }
    }
    assert_within_quota(&runs);
}

/// Guards against a busy workspace that exceeds its quota after all instances were killed. Each of
/// them restarted with a part of the burst, and with the full rate until it had received statuses
/// of the others.
#[test]
fn a_busy_workspace_stays_within_its_quota_while_all_instances_restart() {
    let mut fleet = Fleet::with_quota(120, 3, 15, quota(RATE, BURST));
    fleet.run_ms(CONVERGED_MS);
    let mut runs = Vec::new();
    for step in 0..12 * STEPS_PER_SECOND {
        send_drafts(&mut fleet, 50, step, &mut runs);
        if step == 5 * STEPS_PER_SECOND {
            for idx in 0..fleet.len() {
                fleet.restart(idx, false);
            }
            // The messages of the first rounds after a start are lost, because no instance receives
            // them yet.
            fleet.network.loss = 1.0;
        }
        if step == 5 * STEPS_PER_SECOND + 60 {
            fleet.network = Network::RELIABLE;
        }
    }
    assert_within_quota(&runs);
}

/// Guards against a part of the burst for each of several restarts of all instances.
#[test]
fn a_busy_workspace_stays_within_its_quota_through_repeated_restarts_of_all_instances() {
    let mut fleet = Fleet::with_quota(60, 3, 16, quota(RATE, RATE));
    fleet.run_ms(CONVERGED_MS);
    let mut runs = Vec::new();
    for step in 0..14 * STEPS_PER_SECOND {
        let drafts = RATE * 6 / STEPS_PER_SECOND / DRAFT;
        for _ in 0..drafts {
            let idx = fleet.random_below(fleet.len());
            if fleet.charge(idx, quota(RATE, RATE), DRAFT) {
                runs.push(step);
            }
        }
        fleet.run_ms(1_000 / STEPS_PER_SECOND);
        if [400, 600, 800].contains(&step) {
            for idx in 0..fleet.len() {
                fleet.restart(idx, false);
            }
            fleet.network.loss = 1.0;
        }
        if step % 200 == 30 {
            fleet.network = Network::RELIABLE;
        }
    }
    let allowed = RATE * 9 * 11 / 10 + SLACK;
    let max = max_in_window(&runs);
    assert!(max <= allowed, "{max} of {allowed}");
}

/// Guards against refusals within the rate while the buckets of restarted instances fill.
#[test]
fn a_workspace_within_its_rate_is_served_after_a_restart_of_all_instances() {
    const SMALL_RATE: u64 = 70_000;
    const LONG_DRAFT: u64 = 2_300;
    let limit = quota(SMALL_RATE, SMALL_RATE);
    let (mut asked, mut rejected) = (0, 0);
    for seed in 1..=8 {
        let mut fleet = Fleet::with_quota(60, 3, seed, limit);
        fleet.run_ms(CONVERGED_MS);
        for idx in 0..fleet.len() {
            fleet.restart(idx, false);
        }
        fleet.run_ms(100);
        for step in 0..60 {
            if step % 4 == 0 {
                let idx = fleet.random_below(fleet.len());
                asked += 1;
                rejected += u32::from(!fleet.charge(idx, limit, LONG_DRAFT));
            }
            fleet.run_ms(10);
        }
    }
    assert!(rejected * 10 <= asked, "{rejected} of {asked}");
}

/// Guards against datagrams that are corrupt, from another release, or from an unknown sender.
#[test]
fn invalid_datagrams_are_ignored() {
    let mut fleet = converged_fleet(20, 3, 12);
    fleet.add_random_requests(40);
    fleet.run_ms(500);
    let unknown_sender = "10.9.9.9:1".parse().unwrap();
    let known_sender = fleet.tables(1).local.gossip;
    let mut other = converged_fleet(20, 3, 13);
    other.add_random_requests(40);
    other.run_ms(105);
    let relay = other.relays()[0];
    let now = other.now;
    let tellings = other.tables_mut(relay).exchange_round(now);
    for telling in tellings {
        let buf = Packet::Exchange(telling.message).encode().unwrap();
        fleet.inject(0, unknown_sender, &buf);
        for len in 0..buf.len() {
            fleet.inject(0, known_sender, &buf[..len]);
        }
        for first_byte in 0..=255 {
            let mut other = buf.clone();
            other[0] = first_byte;
            if first_byte != buf[0] {
                fleet.inject(0, known_sender, &other);
            }
        }
    }
    Packet::decode(&[]).unwrap_err();
    assert_eq!(fleet.first_error(), None);
}

/// Injects random faults into a small fleet with relays. All instances must know the state of all
/// others 4 s after the last fault.
fn run_random_faults(seed: u64) {
    let mut fleet = converged_fleet(20 + usize::try_from(seed % 20).unwrap(), 3, seed);
    let count = fleet.len();
    fleet.network = Network::UNRELIABLE;
    for _ in 0..8 {
        fleet.add_random_requests(10);
        let relays = fleet.relays();
        let relay = relays.get(fleet.random_below(relays.len().max(1))).copied();
        let any = fleet.random_below(count);
        match fleet.random_below(8) {
            0 => fleet.kill(relay.unwrap_or(any)),
            1 => fleet.suspend(relay.unwrap_or(any)),
            2 => fleet.resume(any),
            3 => (0..count).for_each(|idx| fleet.resume(idx)),
            4 => fleet.restart(relay.unwrap_or(any), any.is_multiple_of(2)),
            5 => fleet.partitions = vec![(fleet.random_below(3), fleet.random_below(3))],
            6 => fleet.restart(any, any.is_multiple_of(2)),
            _ => fleet.partitions.clear(),
        }
        let delay = fleet.random_below(900);
        fleet.run_ms(u64::try_from(delay).unwrap());
    }
    fleet.partitions.clear();
    fleet.network = Network::RELIABLE;
    (0..count).for_each(|idx| fleet.resume(idx));
    fleet.run_ms(4_000);
    assert_eq!(fleet.first_error(), None, "seed {seed}");
}

#[test]
fn a_fleet_converges_after_random_faults() {
    let seeds = std::env::var("BLUEBELLSTAGE_SEEDS").ok();
    let seeds = seeds.and_then(|seeds| seeds.parse::<u64>().ok());
    for seed in 0..seeds.unwrap_or(12) {
        run_random_faults(seed);
    }
}

/// Roles appear under these names in the dump for operators and in logs.
#[test]
fn roles_are_written_out_under_their_names() {
    for (role, name) in [
        (Role::Subscriber, "asks"),
        (Role::Candidate, "listens"),
        (Role::Relay, "relays"),
    ] {
        assert_eq!(serde_json::to_value(role).unwrap(), name);
        assert_eq!(serde_json::from_value::<Role>(name.into()).unwrap(), role);
        assert_eq!(role.name(), name);
    }
}

/// Guards against a new process that takes the connections of all instances until it has heard its peers.
#[test]
fn a_new_process_opens_no_more_than_its_part_of_a_targets_connections() {
    let mut fleet = Fleet::start(8, 3, 91);
    fleet.run_ms(3_000);
    for idx in 0..8 {
        fleet.kill(idx);
    }
    for idx in 0..8 {
        fleet.restart(idx, false);
    }
    for _ in 0..40 {
        fleet.run_ms(50);
        let now = fleet.now;
        let limits = (0..8).map(|idx| fleet.tables(idx).connection_limit(100, now));
        let open = limits.sum::<u32>();
        assert!(open <= 100, "{open} connections");
    }
}
