//! Tests of the news that instances tell each other, in virtual time.

mod support;

use bluebellstage_gateway::decide::exchange::MAX_DIRECT_FLEET;
use bluebellstage_gateway::packet::Packet;
use support::fleet::{Fleet, Network};
use support::quota;

/// Fleets by instances and failure domains, from the smallest on the sheets to the size to design for.
const FLEETS: [(usize, usize); 5] = [(6, 3), (17, 3), (75, 3), (195, 5), (380, 18)];
/// Time in which a fleet that starts at once has settled.
const SETTLED_MS: u64 = 3_000;
/// Time within which 99 of 100 instances must know of a request.
const KNOWN_WITHIN_MS: u64 = 300;
/// The same in a fleet that tells everyone directly.
const KNOWN_DIRECTLY_WITHIN_MS: u64 = 150;

fn settled(count: usize, domains: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::start(count, domains, seed);
    fleet.run_ms(SETTLED_MS);
    fleet
}

#[test]
fn everyone_knows_what_all_others_have_at_each_target() {
    for (count, domains) in FLEETS {
        let mut fleet = settled(count, domains, 1);
        fleet.add_random_requests(count * 2);
        fleet.run_ms(1_000);
        assert_eq!(fleet.first_error(), None, "{count} instances");
    }
}

#[test]
fn news_cross_a_network_that_loses_doubles_and_reorders() {
    for (count, domains) in FLEETS {
        let mut fleet = settled(count, domains, 2);
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
        let fleet = settled(count, domains, 3);
        let relays = fleet.relays();
        let expected = if count > MAX_DIRECT_FLEET {
            domains * 2
        } else {
            0
        };
        assert_eq!(relays.len(), expected, "{count} instances");
    }
}

/// Guards against instances that take the fleet for small beside others that take it for large, as registrations
/// of some that are long gone stand.
#[test]
fn a_fleet_that_is_large_to_some_of_it_knows_all() {
    for misled in [1, 5, 12] {
        let mut fleet = Fleet::start(12, 3, 16);
        (0..misled).for_each(|idx| fleet.add_stale_registrations(idx, 10));
        fleet.run_ms(SETTLED_MS);
        fleet.add_random_requests(30);
        fleet.run_ms(1_000);
        assert_eq!(fleet.first_error(), None, "large to {misled}");
    }
}

/// Time until 99 of 100 instances know of a request, in milliseconds; the longest of many.
fn known_after(count: usize, domains: usize) -> u64 {
    let mut fleet = settled(count, domains, 4);
    let mut longest = 0;
    for round in 0..20 {
        let idx = fleet.random_below(count);
        fleet.change_load(idx, 0, true);
        let mut passed = 0;
        loop {
            let unaware = (0..count).filter(|other| {
                let (real, believed) = fleet.others_load(*other, 0);
                real != believed
            });
            if unaware.count() * 100 <= count {
                break;
            }
            fleet.run_ms(5);
            passed += 5;
            assert!(passed < 5_000, "request {round} isn't known");
        }
        longest = longest.max(passed);
        fleet.run_ms(200 + u64::try_from(round).unwrap() * 7);
    }
    longest
}

#[test]
fn a_request_is_known_in_time_in_a_large_fleet() {
    let after = known_after(195, 5);
    assert!(after <= KNOWN_WITHIN_MS, "{after} ms");
}

#[test]
fn a_request_is_known_sooner_in_a_small_fleet() {
    let after = known_after(8, 3);
    assert!(after <= KNOWN_DIRECTLY_WITHIN_MS, "{after} ms");
}

/// Guards against news that stop, or count the dead, when relays die.
#[test]
fn relays_that_die_are_replaced_and_nothing_is_lost_from_the_sums() {
    for (count, domains) in [(40, 3), (195, 5)] {
        let mut fleet = settled(count, domains, 5);
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

/// Guards against one relay's death: the other one serves all, well before anyone counts as down.
#[test]
fn those_that_asked_a_dead_relay_hear_from_the_other_one_in_time() {
    let mut fleet = settled(75, 3, 6);
    let [first, ..] = fleet.relays()[..] else {
        panic!("no relay");
    };
    fleet.kill(first);
    for _ in 0..40 {
        fleet.run_ms(50);
        let least = (0..75).filter(|idx| fleet.is_running(*idx));
        let least = least.map(|idx| fleet.live_peers(idx)).min().unwrap();
        assert!(least >= 73, "{least} live peers");
    }
}

/// Guards against the old sums of a relay that was suspended.
#[test]
fn a_thawed_relay_does_no_harm() {
    let mut fleet = settled(75, 3, 7);
    fleet.add_random_requests(100);
    fleet.run_ms(500);
    let [first, ..] = fleet.relays()[..] else {
        panic!("no relay");
    };
    fleet.suspend(first);
    fleet.run_ms(3_000);
    fleet.add_random_requests(50);
    fleet.run_ms(1_000);
    assert_eq!(fleet.first_error(), None, "while it is frozen");
    fleet.resume(first);
    // It looks for a relay first; what it has itself is news to the others then.
    fleet.run_ms(800);
    for _ in 0..20 {
        assert_eq!(fleet.first_error(), None);
        fleet.run_ms(50);
    }
}

/// Guards against a relay that is heard by those whom it doesn't hear, or the other way round.
#[test]
fn a_domain_cut_one_way_or_both_ways_goes_on_and_comes_back() {
    for both in [false, true] {
        let mut fleet = settled(60, 3, 8);
        fleet.add_random_requests(100);
        fleet.run_ms(500);
        let mut cuts = vec![(0, 1), (0, 2)];
        if both {
            cuts.extend([(1, 0), (2, 0)]);
        }
        fleet.partitions = cuts;
        fleet.run_ms(4_000);
        for idx in 0..60 {
            let near = fleet.tables(idx).peers.live(fleet.now);
            let own = &fleet.tables(idx).local.failure_domain;
            let near = near.filter(|peer| peer.member.failure_domain == *own);
            assert_eq!(
                near.count(),
                19,
                "i{idx} in its own domain, both ways: {both}"
            );
        }
        assert_eq!(
            fleet.live_peers(1),
            39,
            "the cut domain is down, both ways: {both}"
        );
        fleet.partitions.clear();
        fleet.run_ms(2_000);
        assert_eq!(fleet.first_error(), None, "both ways: {both}");
    }
}

/// Guards against lives that ended, and addresses that changed, after restarts.
#[test]
fn a_fleet_that_restarts_at_once_settles_again() {
    for moved in [false, true] {
        let mut fleet = settled(60, 3, 9);
        fleet.add_random_requests(100);
        fleet.run_ms(500);
        for idx in 0..60 {
            fleet.restart(idx, moved);
        }
        fleet.run_ms(SETTLED_MS);
        fleet.add_random_requests(100);
        fleet.run_ms(1_000);
        assert_eq!(fleet.first_error(), None, "moved: {moved}");
        assert_eq!(fleet.relays().len(), 6, "moved: {moved}");
    }
}

/// Guards against spending that is counted twice, or lost, as it comes through relays that change.
#[test]
fn spending_is_counted_once_while_relays_change() {
    for (count, domains) in [(8, 3), (60, 3)] {
        let mut fleet = settled(count, domains, 10);
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
            // Long enough for nothing to be taken to go on.
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
            let off = (counted - spent).abs();
            assert!(off <= 20, "i{idx} of {count}: {counted}, not {spent}");
        }
    }
}

/// Guards against a hot workspace beyond its quota while relays die one after the other: what is not
/// heard is taken to go on.
#[test]
fn spending_that_nobody_told_is_taken_to_go_on() {
    let mut fleet = settled(60, 3, 11);
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
/// Tokens that are allowed beyond a tenth more than the quota.
const SLACK: u64 = 17_000;

/// Drafts of a workspace through a fleet, with the step of each that ran; `times` tenths of its rate.
fn send_drafts(fleet: &mut Fleet, times: u64, step: u64, runs: &mut Vec<u64>) {
    let drafts = RATE * times / 10 / STEPS_A_SECOND / DRAFT + 1;
    for _ in 0..drafts {
        let idx = fleet.random_below(fleet.len());
        if fleet.is_running(idx) && fleet.charge(idx, quota(RATE, BURST), DRAFT) {
            runs.push(step);
        }
    }
    fleet.run_ms(1_000 / STEPS_A_SECOND);
}

const STEPS_A_SECOND: u64 = 100;

/// Most tokens that ran in any eight seconds.
fn most_in_a_window(runs: &[u64]) -> u64 {
    let window = 8 * STEPS_A_SECOND;
    let most = runs.iter().enumerate().map(|(idx, from)| {
        let within = runs[idx..].iter().take_while(|at| **at < from + window);
        u64::try_from(within.count()).unwrap() * DRAFT
    });
    most.max().unwrap_or(0)
}

fn assert_within_quota(runs: &[u64]) {
    let most = most_in_a_window(runs);
    let allowed = (RATE * 8 + BURST) * 11 / 10 + SLACK;
    assert!(most <= allowed, "{most} of {allowed}");
    assert!(most >= RATE * 8 * 9 / 10, "{most}");
}

/// Guards against a workspace that runs beyond its quota when it grows hot at once in a large fleet, while
/// relays die: instances let it in that have not heard of each other yet.
#[test]
fn a_workspace_that_grows_hot_at_once_stays_within_its_quota() {
    let mut fleet = Fleet::with_quota(195, 5, 14, quota(RATE, BURST));
    fleet.run_ms(SETTLED_MS);
    let mut runs = Vec::new();
    for step in 0..12 * STEPS_A_SECOND {
        let times = if step < 300 { 1 } else { 50 };
        send_drafts(&mut fleet, times, step, &mut runs);
        let relay = fleet.relays().first().copied();
        if let Some(relay) = relay.filter(|_| step % 200 == 199) {
            fleet.kill(relay);
        }
    }
    assert_within_quota(&runs);
}

/// Guards against a hot workspace that runs beyond its quota after all instances were killed: each began with a
/// part of the burst, and with the whole rate until it heard the others.
#[test]
fn a_hot_workspace_stays_within_its_quota_while_all_restart() {
    let mut fleet = Fleet::with_quota(120, 3, 15, quota(RATE, BURST));
    fleet.run_ms(SETTLED_MS);
    let mut runs = Vec::new();
    for step in 0..12 * STEPS_A_SECOND {
        send_drafts(&mut fleet, 50, step, &mut runs);
        if step == 5 * STEPS_A_SECOND {
            for idx in 0..fleet.len() {
                fleet.restart(idx, false);
            }
            // The first rounds after a start find nobody who listens yet.
            fleet.network.loss = 1.0;
        }
        if step == 5 * STEPS_A_SECOND + 60 {
            fleet.network = Network::RELIABLE;
        }
    }
    assert_within_quota(&runs);
}

/// Guards against datagrams that are spoilt, of another release, or from somebody unknown.
#[test]
fn datagrams_that_cannot_be_are_not_believed() {
    let mut fleet = settled(20, 3, 12);
    fleet.add_random_requests(40);
    fleet.run_ms(500);
    let stranger = "10.9.9.9:1".parse().unwrap();
    let friend = fleet.tables(1).local.gossip;
    let mut other = settled(20, 3, 13);
    other.add_random_requests(40);
    other.run_ms(105);
    let relay = other.relays()[0];
    let now = other.now;
    let tellings = other.tables_mut(relay).exchange_round(now);
    for telling in tellings {
        let buf = Packet::Exchange(telling.message).encode().unwrap();
        fleet.inject(0, stranger, &buf);
        for cut in 0..buf.len() {
            fleet.inject(0, friend, &buf[..cut]);
        }
        for first in 0..=255 {
            let mut other = buf.clone();
            other[0] = first;
            if first != buf[0] {
                fleet.inject(0, friend, &other);
            }
        }
    }
    Packet::decode(&[]).unwrap_err();
    assert_eq!(fleet.first_error(), None);
}

/// Random troubles on small relayed fleets; everyone knows everything again 4 s after the last of them.
fn random_troubles(seed: u64) {
    let mut fleet = settled(20 + usize::try_from(seed % 20).unwrap(), 3, seed);
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
        let pause = fleet.random_below(900);
        fleet.run_ms(u64::try_from(pause).unwrap());
    }
    fleet.partitions.clear();
    fleet.network = Network::RELIABLE;
    (0..count).for_each(|idx| fleet.resume(idx));
    fleet.run_ms(4_000);
    assert_eq!(fleet.first_error(), None, "seed {seed}");
}

#[test]
fn a_fleet_settles_after_random_troubles() {
    let seeds = std::env::var("BLUEBELLSTAGE_SEEDS").ok();
    let seeds = seeds.and_then(|seeds| seeds.parse::<u64>().ok());
    for seed in 0..seeds.unwrap_or(12) {
        random_troubles(seed);
    }
}
