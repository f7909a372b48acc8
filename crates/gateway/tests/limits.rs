//! Limits that targets name for all instances together.

mod support;

use bluebellstage_core::{Revision, TargetId};
use bluebellstage_gateway::decide::limits::{Change, LimitWord, Limits, RequestRate, Said};
use bluebellstage_gateway::decide::placement::Pick;
use support::fleet::{Fleet, Network};
use support::limited::{Limited, Play, allowed};
use support::{at, call, draft, peer, tables};

/// When the targets begin to name limits, in milliseconds.
const NAMED: u64 = 2_000;
/// Time after that from which the limits bind, in milliseconds.
const CONTACT: u64 = 3_000;

/// Two of six targets name a limit.
fn two_limited(rate: u64) -> Limited {
    Limited {
        targets: 6,
        limits: vec![1_900, 3_700],
        rate,
        from_ms: NAMED,
        for_ms: 60_000,
    }
}

fn assert_within(play: &Play, limits: &[u32], what: &str) {
    for (target, limit) in limits.iter().enumerate() {
        let most = play.most_in_a_window(target, NAMED + CONTACT);
        assert!(most <= allowed(*limit), "{what}, c{target}: {most} in 4 s");
    }
}

/// Guards against a limit that each instance keeps for itself, or that none reads.
#[test]
fn all_instances_together_keep_a_limit() {
    for (count, domains, rate) in [(6, 3, 60), (75, 3, 150), (195, 5, 200)] {
        let limited = two_limited(rate);
        let limits = limited.limits.clone();
        let mut play = limited.begin(Fleet::start(count, domains, 21));
        play.run_ms(20_000);
        assert_within(&play, &limits, &format!("{count} instances"));
    }
}

/// Guards against spending that nobody counts while relays die and instances freeze and start.
#[test]
fn a_limit_holds_while_relays_die_and_instances_freeze_and_start() {
    let limits = [1_900, 3_700, 2_000, 5_000];
    let limited = Limited {
        limits: limits.to_vec(),
        targets: 4,
        ..two_limited(150)
    };
    let mut play = limited.begin(Fleet::start(75, 3, 31));
    play.run_ms(NAMED + CONTACT);
    for step in 0..4 {
        let relays = play.fleet.relays();
        let relay = relays[step % relays.len()];
        play.fleet.kill(relay);
        play.run_ms(800);
        play.restart(relay, step % 2 == 0);
        let frozen = play.fleet.random_below(75);
        play.fleet.suspend(frozen);
        play.run_ms(800);
        play.fleet.resume(frozen);
    }
    assert_within(&play, &limits, "relays die");
}

/// Guards against requests that wait or fail for a limited target though others have room.
#[test]
fn others_take_what_a_limited_target_does_not() {
    let mut play = two_limited(60).begin(Fleet::start(6, 3, 22));
    play.run_ms(10_000);
    assert_eq!(play.refused, 0);
}

/// Guards against a limit that nobody notices to be over, as nobody asks the target any more.
#[test]
fn a_target_whose_limit_is_over_is_used_again() {
    for limit in [0, 1_900] {
        let limited = Limited {
            limits: vec![limit],
            for_ms: 6_000,
            ..two_limited(60)
        };
        let mut play = limited.begin(Fleet::start(6, 3, 23));
        play.run_ms(18_000);
        let before = play.arrived(0, 0..NAMED);
        let meanwhile = play.arrived(0, 4_000..8_000);
        let after = play.arrived(0, 16_000..18_000);
        assert!(meanwhile <= allowed(limit), "{limit}: {meanwhile}");
        assert!(after * 2 >= before, "{limit}: {after} after {before}");
    }
}

/// Guards against a word that relays tell each other for ever, each time as news: the limit would never seem old.
#[test]
fn a_word_grows_old_in_a_relayed_fleet_too() {
    let mut fleet = Fleet::start(45, 3, 24);
    fleet.network = Network::UNRELIABLE;
    let mut play = two_limited(0).begin(fleet);
    let id = target("c0");
    let now = play.fleet.now;
    let first = play.fleet.tables_mut(7);
    first.record_reported_limit(&id, Said::Limit(rate(1_000)), now, now);
    play.fleet.run_ms(500);
    let knows = |play: &Play, idx: usize| play.fleet.tables(idx).limits.of(&id).is_some();
    assert!((0..45).all(|idx| knows(&play, idx)));
    play.fleet.run_ms(2_000);
    let fresh = (0..45).filter(|idx| {
        let limits = &play.fleet.tables(*idx).limits;
        !limits.may_be_over(&id, play.fleet.now)
    });
    assert_eq!(fresh.collect::<Vec<_>>(), Vec::<usize>::new());
}

fn target(id: &str) -> TargetId {
    TargetId::try_from(id).unwrap()
}

fn rate(milli: u32) -> RequestRate {
    RequestRate::from_milli(milli)
}

/// Guards against an answer that was under way when the limit was named: it ends nothing.
#[test]
fn an_answer_to_an_earlier_request_does_not_end_a_limit() {
    let mut limits = Limits::default();
    let id = target("c0");
    let named = limits.heard(&id, Said::Limit(rate(3_000)), at(0), at(20));
    assert_eq!(named, Change::Limited(rate(3_000)));
    let late = limits.heard(&id, Said::Unlimited, at(10), at(30));
    assert_eq!((late, limits.of(&id)), (Change::Same, Some(rate(3_000))));
    let over = limits.heard(&id, Said::Unlimited, at(25), at(40));
    assert_eq!((over, limits.of(&id)), (Change::Over, None));
}

#[test]
fn what_is_no_number_changes_nothing() {
    let mut limits = Limits::default();
    let id = target("c0");
    limits.heard(&id, Said::Limit(rate(3_000)), at(0), at(20));
    let change = limits.heard(&id, Said::Malformed, at(30), at(40));
    assert_eq!((change, limits.of(&id)), (Change::Same, Some(rate(3_000))));
}

/// Guards against a word that comes late and undoes a newer one.
#[test]
fn the_newest_word_on_a_target_holds() {
    let mut limits = Limits::default();
    let id = target("c0");
    let word = |limit, age_ms| LimitWord {
        target: target("c0"),
        limit,
        age_ms,
    };
    let first = limits.take(&word(Some(rate(2_000)), 50), at(100));
    assert_eq!(first, Some(Change::Limited(rate(2_000))));
    assert_eq!(limits.take(&word(None, 10), at(110)), Some(Change::Over));
    assert_eq!(limits.take(&word(Some(rate(2_000)), 70), at(120)), None);
    assert_eq!(limits.of(&id), None);
}

#[test]
fn a_target_that_is_gone_is_forgotten() {
    let mut limits = Limits::default();
    limits.heard(&target("c0"), Said::Limit(rate(3_000)), at(0), at(20));
    let forgotten = limits.forget(|id| id.as_str() == "c0");
    assert_eq!(forgotten, [target("c0")]);
    assert!(limits.is_empty());
}

/// Guards against loading adapters where few requests may follow.
#[test]
fn no_adapter_is_loaded_on_a_limited_engine() {
    let mut tables = tables();
    let now = at(0);
    tables.peers.update(peer("holder", now));
    for id in ["e0", "e1"] {
        tables
            .registry
            .put(support::target(id, "writers"), Revision(1), now);
    }
    let call = draft("a1");
    let ticket = tables.admit(&call, 0, now).unwrap();
    let Pick::Load(first) = tables.pick(&ticket, &call, &[], 0.0, now) else {
        panic!("nothing is loaded yet");
    };
    tables.record_reported_limit(&first, Said::Limit(rate(1_000)), now, now);
    let other = if first == target("e0") { "e1" } else { "e0" };
    let pick = tables.pick(&ticket, &call, &[], 0.0, now);
    assert_eq!(pick, Pick::Load(target(other)));
}

/// Guards against calling targets gone that take little: a request may wait a moment for one.
#[test]
fn where_all_targets_are_limited_they_count_as_full() {
    let mut tables = tables();
    let now = at(0);
    let only = support::target("c0", "court");
    tables.registry.put(only, Revision(1), now);
    let call = call("/file/1", Some("key-1"));
    let ticket = tables.admit(&call, 0, now).unwrap();
    tables.record_reported_limit(&target("c0"), Said::Limit(rate(0)), now, now);
    assert_eq!(tables.pick(&ticket, &call, &[], 0.0, now), Pick::Full);
}
