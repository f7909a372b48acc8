//! Tests of the loader of one engine.

mod support;

use bluebellstage_core::{AdapterVersion, Revision, Time};
use bluebellstage_gateway::decide::adapters::loader::{
    LoadStep, Loader, Order, OrderKind, OrderOutcome, Report,
};
use bluebellstage_gateway::decide::ranked_tokens::RankClass;
use support::{adapter, adapter_at, at};

const NO_VERSIONS: fn(
    &bluebellstage_gateway::decide::adapters::adapter::AdapterKey,
) -> Option<AdapterVersion> = |_| None;

fn step(loader: &mut Loader, now: Time) -> LoadStep {
    loader.step(NO_VERSIONS, true, now)
}

fn report(accepted: u64, adapters: &[&str]) -> Report {
    Report {
        accepted,
        adapters: adapters.iter().map(|name| adapter_at(name, 1)).collect(),
        ..Report::default()
    }
}

fn load(name: &str) -> OrderKind {
    OrderKind::LoadAdapter(adapter(name), None)
}

fn expect_order(step: LoadStep) -> OrderKind {
    match step {
        LoadStep::Send(order) => order.kind,
        other => panic!("an order was expected, not {other:?}"),
    }
}

#[test]
fn reads_the_report_before_the_first_order() {
    let mut loader = Loader::new(2);
    loader.request_load(adapter("a1"), None, at(0));
    assert_eq!(step(&mut loader, at(0)), LoadStep::Read);
    loader.apply_report(Some(report(7, &[])), at(1));
    let LoadStep::Send(order) = step(&mut loader, at(1)) else {
        panic!("no order");
    };
    assert_eq!(order.kind, load("a1"));
    assert_eq!(order.expected_accepted, 7);
}

#[test]
fn evicts_the_adapter_that_was_idle_longest() {
    let mut loader = Loader::new(2);
    loader.apply_report(Some(report(0, &["a1", "a2"])), at(0));
    loader.request_started(&adapter("a1"), at(1));
    loader.request_ended(&adapter("a1"), at(2));
    loader.request_started(&adapter("a2"), at(3));
    loader.request_ended(&adapter("a2"), at(4));
    loader.request_load(adapter("a3"), None, at(1_000));
    let order = expect_order(step(&mut loader, at(1_000)));
    assert_eq!(order, OrderKind::UnloadAdapter(adapter("a1")));
}

/// Guards against requests that wait for seconds although the engine has idle adapters: an unload
/// of an adapter in use is accepted, waits for its stream to end, and blocks every other order
/// meanwhile.
#[test]
fn an_adapter_in_use_is_never_unloaded() {
    let mut loader = Loader::new(1);
    loader.apply_report(Some(report(0, &["a1"])), at(0));
    loader.request_started(&adapter("a1"), at(1));
    loader.request_load(adapter("a2"), None, at(5_000));
    assert!(matches!(step(&mut loader, at(5_000)), LoadStep::Wait(_)));
    loader.request_ended(&adapter("a1"), at(5_001));
    loader.request_load(adapter("a2"), None, at(6_000));
    let order = expect_order(step(&mut loader, at(6_000)));
    assert_eq!(order, OrderKind::UnloadAdapter(adapter("a1")));
}

/// Guards against overfilling an engine, which crashes it. A request for a new version was told
/// that its adapter was missing; the loader assumed that a slot was free, and the outcome of an
/// order in flight kept it from reading the report.
#[test]
fn an_adapter_reported_missing_keeps_its_slot() {
    let mut loader = Loader::new(2);
    loader.apply_report(Some(report(0, &["a1"])), at(0));
    loader.request_load(adapter("a2"), None, at(2_000));
    let LoadStep::Send(order) = step(&mut loader, at(2_000)) else {
        panic!("no order");
    };
    loader.adapter_missing(&adapter("a1"), at(2_001));
    loader.record_outcome(&order, OrderOutcome::Accepted, 1.0, at(2_002));
    loader.request_load(adapter("a3"), None, at(2_003));
    assert_eq!(step(&mut loader, at(2_003)), LoadStep::Read);
    loader.apply_report(Some(report(1, &["a1", "a2"])), at(2_200));
    let order = expect_order(step(&mut loader, at(2_201)));
    assert!(matches!(order, OrderKind::UnloadAdapter(_)), "{order:?}");
}

/// Guards against overfilling an engine, which crashes it. Reports lag: after a rejected order, the
/// loader read one that did not include the loads accepted last.
#[test]
fn a_report_older_than_the_last_order_outcome_is_ignored() {
    let mut loader = Loader::new(1);
    loader.apply_report(Some(report(0, &[])), at(0));
    loader.request_load(adapter("a1"), None, at(1));
    let LoadStep::Send(order) = step(&mut loader, at(1)) else {
        panic!("no order");
    };
    loader.record_outcome(&order, OrderOutcome::Accepted, 1.0, at(2));
    loader.request_load(adapter("a2"), None, at(3));
    let stale = bluebellstage_gateway::decide::adapters::loader::Order {
        kind: load("a2"),
        expected_accepted: 1,
    };
    loader.record_outcome(&stale, OrderOutcome::Conflict, 1.0, at(4));
    assert!(matches!(step(&mut loader, at(5)), LoadStep::Wait(_)));
    assert_eq!(step(&mut loader, at(200)), LoadStep::Read);
    loader.apply_report(Some(report(0, &[])), at(201));
    assert!(matches!(step(&mut loader, at(202)), LoadStep::Wait(_)));
}

/// Guards against an order without a response that is carried out seconds later, in addition to
/// another one. Both expect the same count of accepted orders, so the engine accepts one of them
/// and rejects the other.
#[test]
fn an_unanswered_order_and_the_next_one_expect_the_same_count() {
    let mut loader = Loader::new(2);
    loader.apply_report(Some(report(3, &[])), at(0));
    loader.request_load(adapter("a1"), None, at(1));
    let LoadStep::Send(first) = step(&mut loader, at(1)) else {
        panic!("no order");
    };
    loader.record_outcome(&first, OrderOutcome::Unknown, 1.0, at(400));
    loader.request_load(adapter("a1"), None, at(401));
    let LoadStep::Send(second) = step(&mut loader, at(401)) else {
        panic!("no order");
    };
    assert_eq!(first.expected_accepted, second.expected_accepted);
}

#[test]
fn concurrent_loads_are_limited() {
    let mut loader = Loader::new(30);
    loader.apply_report(Some(report(0, &[])), at(0));
    for name in ["a1", "a2", "a3", "a4", "a5"] {
        loader.request_load(adapter(name), None, at(1));
    }
    for _ in 0..4 {
        let LoadStep::Send(order) = step(&mut loader, at(1)) else {
            panic!("no order");
        };
        loader.record_outcome(&order, OrderOutcome::Accepted, 1.0, at(1));
    }
    assert!(matches!(step(&mut loader, at(2)), LoadStep::Wait(_)));
}

/// Guards against a new version of a hot adapter that blocks an engine for seconds: its load was
/// rejected repeatedly while the old version was in use, and nothing else was loaded there.
#[test]
fn a_new_version_waits_until_the_old_one_is_idle_and_others_go_first() {
    let mut loader = Loader::new(4);
    loader.apply_report(Some(report(0, &["a1"])), at(0));
    loader.request_started(&adapter("a1"), at(10));
    loader.request_load(adapter("a1"), Some(AdapterVersion(2)), at(11));
    loader.request_load(adapter("a2"), None, at(12));
    assert_eq!(expect_order(step(&mut loader, at(13))), load("a2"));
}

/// Guards against an engine that loads nothing for 20 s, by which a sixth of the requests were
/// refused: an unload of an absent adapter was reported as done and not counted, so every later
/// report looked older than the last order outcome.
#[test]
fn an_unload_that_the_engine_did_not_count_does_not_stop_loads() {
    let mut loader = Loader::new(1);
    loader.apply_report(Some(report(5, &["a1"])), at(0));
    loader.request_load(adapter("a2"), None, at(1_000));
    let LoadStep::Send(unload) = step(&mut loader, at(1_000)) else {
        panic!("no order");
    };
    loader.record_outcome(&unload, OrderOutcome::Done, 1.0, at(1_001));
    let LoadStep::Send(order) = step(&mut loader, at(1_002)) else {
        panic!("no order");
    };
    loader.record_outcome(&order, OrderOutcome::Conflict, 1.0, at(1_003));
    assert_eq!(step(&mut loader, at(1_200)), LoadStep::Read);
    loader.apply_report(Some(report(5, &[])), at(1_201));
    loader.request_load(adapter("a2"), None, at(1_201));
    let LoadStep::Send(again) = step(&mut loader, at(1_202)) else {
        panic!("loads have stopped");
    };
    assert_eq!(again.expected_accepted, 5);
}

/// Guards against a flood of orders: a crashed engine refuses connections at once, and its loader
/// sent it 480 orders a second.
#[test]
fn unanswered_orders_are_sent_less_often() {
    let mut loader = Loader::new(2);
    loader.apply_report(Some(report(0, &[])), at(0));
    let mut sent = 0;
    for ms in 0..4_000 {
        loader.request_load(adapter("a1"), None, at(ms));
        if let LoadStep::Send(order) = step(&mut loader, at(ms)) {
            loader.record_outcome(&order, OrderOutcome::Unknown, 1.0, at(ms));
            sent += 1;
        }
    }
    assert!((5..15).contains(&sent), "{sent}");
}

/// Guards against overfilling an engine, which crashes it. After a restart under the same name its
/// count of orders started again; an earlier load without a response was carried out when the count
/// reached its expected value, in addition to the loads that had filled the engine since.
#[test]
fn slots_are_reserved_for_loads_that_were_not_answered_before_a_restart() {
    let mut before = Loader::new(3);
    before.apply_report(Some(report(2, &[])), at(0));
    before.request_load(adapter("a9"), None, at(1));
    let LoadStep::Send(order) = step(&mut before, at(1)) else {
        panic!("no order");
    };
    before.record_outcome(&order, OrderOutcome::Unknown, 1.0, at(90));

    let mut loader = Loader::new(3).with_previous_incarnation(&before);
    loader.apply_report(Some(report(0, &[])), at(2_000));
    for (ms, name) in [(2_001, "a1"), (2_002, "a2")] {
        loader.request_load(adapter(name), None, at(ms));
        let LoadStep::Send(order) = step(&mut loader, at(ms)) else {
            panic!("no order");
        };
        loader.record_outcome(&order, OrderOutcome::Accepted, 1.0, at(ms));
    }
    loader.request_load(adapter("a3"), None, at(4_000));
    let last_step = step(&mut loader, at(4_000));
    assert!(
        !matches!(&last_step, LoadStep::Send(order) if order.kind == load("a3")),
        "{last_step:?}"
    );
}

/// Guards against overfilling an engine, which crashes it. Its holder died with the list of its
/// unanswered orders, the engine was restarted under its name, and the new holder filled it.
/// Seconds later one of the old loads arrived and expected exactly the engine's new count.
#[test]
fn slots_are_reserved_for_loads_of_a_holder_that_died() {
    let held = ["a1", "a2", "a3", "a4", "a5", "a6", "a7"];
    let mut loader = Loader::new(8).with_incarnation_since(at(0));
    loader.apply_report(Some(report(9, &held)), at(2_000));
    loader.request_load(adapter("a9"), None, at(4_000));
    assert_eq!(step(&mut loader, at(4_000)), LoadStep::Read);
    loader.apply_report(Some(report(9, &held)), at(4_000));
    let first = expect_order(step(&mut loader, at(4_000)));
    assert!(matches!(first, OrderKind::UnloadAdapter(_)), "{first:?}");

    let mut later = Loader::new(8).with_incarnation_since(at(0));
    later.apply_report(Some(report(9, &held)), at(13_000));
    later.request_load(adapter("a9"), None, at(13_001));
    assert_eq!(expect_order(step(&mut later, at(13_001))), load("a9"));
}

/// An instance that has known the engine's current incarnation for long enough reserves no slots.
#[test]
fn an_updated_registration_keeps_the_incarnation() {
    let mut tables = support::tables();
    let mut engine = support::target("e1", "writers");
    let id = engine.id.clone();
    tables.registry.put(engine.clone(), Revision(1), at(0));
    tables.registry.put(engine.clone(), Revision(2), at(5_000));
    assert_eq!(tables.registry.incarnation_seen_at(&id), Some(at(0)));
    engine.born = Some(99);
    tables.registry.put(engine, Revision(3), at(9_000));
    assert_eq!(tables.registry.incarnation_seen_at(&id), Some(at(9_000)));
}

/// Guards against an engine that late loads of its previous incarnation fill one by one until it
/// crashes. No other orders are sent there, so nothing else shows that its count of orders
/// increases.
#[test]
fn an_engine_that_late_loads_may_fill_is_polled_and_unloaded() {
    let mut loader = Loader::new(6).with_incarnation_since(at(0));
    loader.apply_report(Some(report(4, &["a1", "a2", "a3", "a4"])), at(1_000));
    assert_eq!(step(&mut loader, at(1_100)), LoadStep::Idle);
    assert_eq!(step(&mut loader, at(1_300)), LoadStep::Read);
    let filled = ["a1", "a2", "a3", "a4", "a5"];
    loader.apply_report(Some(report(5, &filled)), at(1_300));
    let order = expect_order(step(&mut loader, at(1_400)));
    assert!(matches!(order, OrderKind::UnloadAdapter(_)), "{order:?}");
    loader.apply_report(Some(report(5, &filled)), at(14_000));
    assert_eq!(step(&mut loader, at(15_000)), LoadStep::Idle);
}

/// Guards against loads for requests that were refused meanwhile. They were loaded first, and each
/// load came too late for the next request, so callers waited in vain all day.
#[test]
fn adapters_that_no_request_waits_for_are_not_loaded() {
    let mut loader = Loader::new(4);
    loader.apply_report(Some(report(0, &[])), at(0));
    loader.request_load(adapter("a1"), None, at(0));
    loader.request_load(adapter("a2"), None, at(250));
    assert_eq!(expect_order(step(&mut loader, at(260))), load("a2"));
    assert_eq!(loader.waiting_adapters(), 1);
}

#[test]
fn the_most_requested_adapter_is_loaded_first_and_the_oldest_on_a_tie() {
    let mut loader = Loader::new(4);
    loader.apply_report(Some(report(0, &[])), at(0));
    for ms in [0, 60, 120, 180] {
        loader.request_load(adapter("old"), None, at(ms));
    }
    loader.request_load(adapter("new"), None, at(170));
    assert_eq!(expect_order(step(&mut loader, at(181))), load("old"));
    for _request in 0..4 {
        loader.request_load(adapter("hot"), None, at(182));
    }
    assert_eq!(expect_order(step(&mut loader, at(183))), load("hot"));
}

/// Loads `name` and waits until it can be used; `on_time` means that it is there when expected.
fn load_and_use(loader: &mut Loader, name: &str, on_time: bool, from: u64) {
    let key = adapter(name);
    let mut ms = from;
    loop {
        loader.request_load(key.clone(), None, at(ms));
        match step(loader, at(ms)) {
            LoadStep::Send(order) => {
                let answer = match &order.kind {
                    OrderKind::UnloadAdapter(_) => OrderOutcome::Done,
                    _ => OrderOutcome::Accepted,
                };
                loader.record_outcome(&order, answer, 1.0, at(ms));
            }
            _ if loader
                .usable_adapters(at(ms))
                .iter()
                .any(|held| held.key == key) =>
            {
                break;
            }
            _ => ms += 5,
        }
        assert!(ms < from + 900, "{name} did not become usable");
    }
    if !on_time {
        loader.adapter_missing(&key, at(ms + 1));
    }
    loader.request_started(&key, at(ms + 2));
    loader.request_ended(&key, at(ms + 10));
}

/// Guards against an estimate that is too high: the next load then comes from the weight store, a
/// quarter second late, and the request that was sent to it is rejected.
#[test]
fn the_number_of_host_copies_is_learned_from_late_loads() {
    let mut loader = Loader::new(2);
    loader.apply_report(Some(report(0, &[])), at(0));
    for idx in 0..10 {
        load_and_use(&mut loader, &format!("a{idx}"), true, idx * 1_000);
    }
    load_and_use(&mut loader, "a2", false, 20_000);
    let learned = loader.host_copies();
    assert!((6..=8).contains(&learned), "{learned}");
    load_and_use(&mut loader, "a5", true, 22_000);
    assert!(loader.host_copies() >= learned, "{}", loader.host_copies());
}

/// Guards against overfilling an engine, which crashes it. An unload waited for a request that a
/// new holder knew nothing of; the report still named the adapter, and it was unloaded again when
/// it was gone. The engine does not count that, so the next order expected a count that was reached
/// later.
#[test]
fn an_adapter_whose_unload_is_pending_keeps_its_slot_and_is_not_unloaded_again() {
    let mut loader = Loader::new(2);
    loader.apply_report(Some(report(4, &["a1", "a2"])), at(0));
    loader.request_load(adapter("a3"), None, at(1_000));
    let LoadStep::Send(order) = step(&mut loader, at(1_000)) else {
        panic!("no order");
    };
    let OrderKind::UnloadAdapter(unloading) = order.kind.clone() else {
        panic!("no unload: {order:?}");
    };
    loader.record_outcome(&order, OrderOutcome::Accepted, 1.0, at(1_001));
    loader.request_load(adapter("a3"), None, at(1_140));
    assert_eq!(step(&mut loader, at(1_140)), LoadStep::Read);
    loader.apply_report(Some(report(5, &["a1", "a2"])), at(1_141));
    loader.request_load(adapter("a3"), None, at(1_142));
    let second = expect_order(step(&mut loader, at(1_142)));
    assert!(matches!(&second, OrderKind::UnloadAdapter(key) if *key != unloading));
    let lost = Order {
        kind: second,
        expected_accepted: 5,
    };
    loader.record_outcome(&lost, OrderOutcome::Unknown, 1.0, at(1_200));
    assert_eq!(
        step(&mut loader, at(1_400)),
        LoadStep::Read,
        "the report was not read again"
    );
    let unloaded = unloading.adapter.as_str();
    let other = if unloaded == "a1" { "a2" } else { "a1" };
    loader.apply_report(Some(report(5, &[other])), at(1_401));
    loader.request_load(adapter("a3"), None, at(1_402));
    assert_eq!(expect_order(step(&mut loader, at(1_402))), load("a3"));
}

/// Guards against urgent requests whose adapters wait behind those of overnight work, and against overnight work that
/// never gets an adapter.
#[test]
fn adapters_for_more_urgent_requests_are_loaded_first_but_not_for_long() {
    for (asked_at, expected) in [(900, "urgent"), (300, "overnight")] {
        let mut loader = Loader::new(4);
        loader.apply_report(Some(Report::default()), at(0));
        for ms in (asked_at..=1_000).step_by(50) {
            for _request in 0..3 {
                let overnight = adapter("overnight");
                loader.request_load_for(RankClass::after(1), overnight, None, at(ms));
            }
        }
        loader.request_load_for(RankClass::default(), adapter("urgent"), None, at(1_000));
        let order = expect_order(step(&mut loader, at(1_001)));
        assert_eq!(order, load(expected));
    }
}

/// Guards against requests that wait for an adapter at an engine that has crashed and is still registered.
#[test]
fn an_engine_that_does_not_report_counts_as_silent_until_it_does() {
    let mut loader = Loader::new(2);
    assert!(!loader.adapter_slots(at(0)).is_silent);
    loader.apply_report(None, at(100));
    assert!(loader.adapter_slots(at(101)).is_silent);
    loader.apply_report(Some(report(1, &[])), at(500));
    assert!(!loader.adapter_slots(at(501)).is_silent);
    loader.apply_report(None, at(600));
    assert!(!loader.adapter_slots(at(2_600)).is_silent);
}

/// Guards against a load into a slot that an adapter takes whose name can't be read.
#[test]
fn an_adapter_that_can_not_be_read_takes_a_slot() {
    let mut loader = Loader::new(2);
    let held = Report {
        unreadable_adapters: 1,
        ..report(0, &["a1"])
    };
    loader.apply_report(Some(held), at(0));
    assert_eq!(loader.adapter_slots(at(1_000)).free, 1);
    loader.request_load(adapter("a2"), None, at(1_000));
    assert_eq!(
        expect_order(step(&mut loader, at(1_000))),
        OrderKind::UnloadAdapter(adapter("a1"))
    );
}

/// Guards against unloading adapters that serve because a report names more than the engine has room for.
#[test]
fn adapters_that_can_not_be_read_unload_no_others() {
    let mut loader = Loader::new(2);
    let held = Report {
        unreadable_adapters: 9,
        ..report(0, &["a1", "a2"])
    };
    loader.apply_report(Some(held), at(0));
    assert_eq!(step(&mut loader, at(1_000)), LoadStep::Idle);
}
