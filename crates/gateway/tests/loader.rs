//! Tests of the loader of one engine.

mod support;

use bluebellstage_core::{AdapterVersion, Revision, Time};
use bluebellstage_gateway::decide::loader::{
    LoadStep, Loader, Order, OrderAnswer, OrderKind, Report,
};
use support::{adapter, adapter_at, at};

const NO_VERSIONS: fn(
    &bluebellstage_gateway::decide::adapter::AdapterKey,
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

fn sent(step: LoadStep) -> OrderKind {
    match step {
        LoadStep::Send(order) => order.what,
        other => panic!("an order was expected, not {other:?}"),
    }
}

#[test]
fn reads_before_the_first_order() {
    let mut loader = Loader::new(2);
    loader.wish(adapter("a1"), None, at(0));
    assert_eq!(step(&mut loader, at(0)), LoadStep::Read);
    loader.reported(Some(report(7, &[])), at(1));
    let LoadStep::Send(order) = step(&mut loader, at(1)) else {
        panic!("no order");
    };
    assert_eq!(order.what, load("a1"));
    assert_eq!(order.expected, 7);
}

#[test]
fn evicts_the_adapter_that_was_idle_longest() {
    let mut loader = Loader::new(2);
    loader.reported(Some(report(0, &["a1", "a2"])), at(0));
    loader.begun(&adapter("a1"), at(1));
    loader.ended(&adapter("a1"), at(2));
    loader.begun(&adapter("a2"), at(3));
    loader.ended(&adapter("a2"), at(4));
    loader.wish(adapter("a3"), None, at(1_000));
    let order = sent(step(&mut loader, at(1_000)));
    assert_eq!(order, OrderKind::UnloadAdapter(adapter("a1")));
}

/// Drafts wait for seconds though the engine has idle adapters: an unload of an adapter in use is
/// accepted, waits for its stream to end, and every other order is refused meanwhile.
#[test]
fn an_adapter_in_use_is_never_unloaded() {
    let mut loader = Loader::new(1);
    loader.reported(Some(report(0, &["a1"])), at(0));
    loader.begun(&adapter("a1"), at(1));
    loader.wish(adapter("a2"), None, at(5_000));
    assert!(matches!(step(&mut loader, at(5_000)), LoadStep::Wait(_)));
    loader.ended(&adapter("a1"), at(5_001));
    loader.wish(adapter("a2"), None, at(6_000));
    let order = sent(step(&mut loader, at(6_000)));
    assert_eq!(order, OrderKind::UnloadAdapter(adapter("a1")));
}

/// An engine crashes because it was ordered to load more than fits. A request meets a new version
/// and is told that its adapter isn't there; the loader believed that a slot was free, and the
/// answer to an order that was on its way kept it from reading the report.
#[test]
fn a_doubted_adapter_goes_on_taking_its_slot() {
    let mut loader = Loader::new(2);
    loader.reported(Some(report(0, &["a1"])), at(0));
    loader.wish(adapter("a2"), None, at(2_000));
    let LoadStep::Send(order) = step(&mut loader, at(2_000)) else {
        panic!("no order");
    };
    loader.missing(&adapter("a1"), at(2_001));
    loader.answered(&order, OrderAnswer::Accepted, 1.0, at(2_002));
    loader.wish(adapter("a3"), None, at(2_003));
    assert_eq!(step(&mut loader, at(2_003)), LoadStep::Read);
    loader.reported(Some(report(1, &["a1", "a2"])), at(2_200));
    let order = sent(step(&mut loader, at(2_201)));
    assert!(matches!(order, OrderKind::UnloadAdapter(_)), "{order:?}");
}

/// An engine crashes because it was ordered to load more than fits. Its report lags: after an order
/// was refused, the loader read one that did not know the loads accepted last.
#[test]
fn a_report_older_than_the_last_answer_is_not_believed() {
    let mut loader = Loader::new(1);
    loader.reported(Some(report(0, &[])), at(0));
    loader.wish(adapter("a1"), None, at(1));
    let LoadStep::Send(order) = step(&mut loader, at(1)) else {
        panic!("no order");
    };
    loader.answered(&order, OrderAnswer::Accepted, 1.0, at(2));
    loader.wish(adapter("a2"), None, at(3));
    let stale = bluebellstage_gateway::decide::loader::Order {
        what: load("a2"),
        expected: 1,
    };
    loader.answered(&stale, OrderAnswer::Conflict, 1.0, at(4));
    assert!(matches!(step(&mut loader, at(5)), LoadStep::Wait(_)));
    assert_eq!(step(&mut loader, at(200)), LoadStep::Read);
    loader.reported(Some(report(0, &[])), at(201));
    assert!(matches!(step(&mut loader, at(202)), LoadStep::Wait(_)));
}

/// An order without an answer is carried out seconds later, beside another one. Both name the same
/// count of accepted orders, so the engine takes one of them, and the other is refused.
#[test]
fn an_order_without_an_answer_and_the_next_one_name_the_same_count() {
    let mut loader = Loader::new(2);
    loader.reported(Some(report(3, &[])), at(0));
    loader.wish(adapter("a1"), None, at(1));
    let LoadStep::Send(first) = step(&mut loader, at(1)) else {
        panic!("no order");
    };
    loader.answered(&first, OrderAnswer::Unknown, 1.0, at(400));
    loader.wish(adapter("a1"), None, at(401));
    let LoadStep::Send(second) = step(&mut loader, at(401)) else {
        panic!("no order");
    };
    assert_eq!(first.expected, second.expected);
}

#[test]
fn no_more_adapters_come_at_once_than_an_engine_takes() {
    let mut loader = Loader::new(30);
    loader.reported(Some(report(0, &[])), at(0));
    for name in ["a1", "a2", "a3", "a4", "a5"] {
        loader.wish(adapter(name), None, at(1));
    }
    for _ in 0..4 {
        let LoadStep::Send(order) = step(&mut loader, at(1)) else {
            panic!("no order");
        };
        loader.answered(&order, OrderAnswer::Accepted, 1.0, at(1));
    }
    assert!(matches!(step(&mut loader, at(2)), LoadStep::Wait(_)));
}

/// A hot adapter's new version holds up an engine for seconds: its load was refused again and again
/// while the old version was in use, and nothing else was loaded there.
#[test]
fn a_new_version_waits_until_the_old_one_is_idle_and_others_go_first() {
    let mut loader = Loader::new(4);
    loader.reported(Some(report(0, &["a1"])), at(0));
    loader.begun(&adapter("a1"), at(10));
    loader.wish(adapter("a1"), Some(AdapterVersion(2)), at(11));
    loader.wish(adapter("a2"), None, at(12));
    assert_eq!(sent(step(&mut loader, at(13))), load("a2"));
}

/// An engine loads nothing for 20 s, and a sixth of the drafts is refused: an unload of an adapter
/// that was not there was answered as done and not counted, so that every later report looked older
/// than the last answer.
#[test]
fn an_unload_that_the_engine_did_not_count_does_not_stop_loads() {
    let mut loader = Loader::new(1);
    loader.reported(Some(report(5, &["a1"])), at(0));
    loader.wish(adapter("a2"), None, at(1_000));
    let LoadStep::Send(unload) = step(&mut loader, at(1_000)) else {
        panic!("no order");
    };
    loader.answered(&unload, OrderAnswer::Done, 1.0, at(1_001));
    let LoadStep::Send(order) = step(&mut loader, at(1_002)) else {
        panic!("no order");
    };
    loader.answered(&order, OrderAnswer::Conflict, 1.0, at(1_003));
    assert_eq!(step(&mut loader, at(1_200)), LoadStep::Read);
    loader.reported(Some(report(5, &[])), at(1_201));
    loader.wish(adapter("a2"), None, at(1_201));
    let LoadStep::Send(again) = step(&mut loader, at(1_202)) else {
        panic!("loads have stopped");
    };
    assert_eq!(again.expected, 5);
}

/// A crashed engine refuses connections at once, and its loader asked it 480 times a second.
#[test]
fn orders_that_nobody_answers_become_rarer() {
    let mut loader = Loader::new(2);
    loader.reported(Some(report(0, &[])), at(0));
    let mut sent = 0;
    for ms in 0..4_000 {
        loader.wish(adapter("a1"), None, at(ms));
        if let LoadStep::Send(order) = step(&mut loader, at(ms)) {
            loader.answered(&order, OrderAnswer::Unknown, 1.0, at(ms));
            sent += 1;
        }
    }
    assert!((5..15).contains(&sent), "{sent}");
}

/// An engine crashes because it was ordered to load more than fits. It had restarted under its old
/// name, where its count of orders begins anew; a load that nobody had answered before was carried
/// out when the count came by, on top of those that had filled it since.
#[test]
fn slots_are_kept_for_loads_that_were_not_answered_before_a_restart() {
    let mut before = Loader::new(3);
    before.reported(Some(report(2, &[])), at(0));
    before.wish(adapter("a9"), None, at(1));
    let LoadStep::Send(order) = step(&mut before, at(1)) else {
        panic!("no order");
    };
    before.answered(&order, OrderAnswer::Unknown, 1.0, at(90));

    let mut loader = Loader::new(3).after(&before);
    loader.reported(Some(report(0, &[])), at(2_000));
    for (ms, name) in [(2_001, "a1"), (2_002, "a2")] {
        loader.wish(adapter(name), None, at(ms));
        let LoadStep::Send(order) = step(&mut loader, at(ms)) else {
            panic!("no order");
        };
        loader.answered(&order, OrderAnswer::Accepted, 1.0, at(ms));
    }
    loader.wish(adapter("a3"), None, at(4_000));
    let kept = step(&mut loader, at(4_000));
    assert!(
        !matches!(&kept, LoadStep::Send(order) if order.what == load("a3")),
        "{kept:?}"
    );
}

/// An engine crashes because a load comes on top of all that it holds. Its holder died with the list
/// of its unanswered orders, the engine was restarted under its name, and the new holder filled it.
/// Seconds later one of the old loads arrives and names the engine's new count.
#[test]
fn slots_are_kept_for_loads_of_a_holder_that_died() {
    let held = ["a1", "a2", "a3", "a4", "a5", "a6", "a7"];
    let mut loader = Loader::new(8).in_life_since(at(0));
    loader.reported(Some(report(9, &held)), at(2_000));
    loader.wish(adapter("a9"), None, at(4_000));
    assert_eq!(step(&mut loader, at(4_000)), LoadStep::Read);
    loader.reported(Some(report(9, &held)), at(4_000));
    let first = sent(step(&mut loader, at(4_000)));
    assert!(matches!(first, OrderKind::UnloadAdapter(_)), "{first:?}");

    let mut later = Loader::new(8).in_life_since(at(0));
    later.reported(Some(report(9, &held)), at(13_000));
    later.wish(adapter("a9"), None, at(13_001));
    assert_eq!(sent(step(&mut later, at(13_001))), load("a9"));
}

/// Whoever has known the engine in its present life for long enough gives away no slot.
#[test]
fn a_target_that_only_reports_goes_on_in_its_life() {
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

/// An engine crashes because late loads of its former life fill it one by one. Nobody else orders
/// anything there, so nothing shows that its count of orders goes on.
#[test]
fn an_engine_that_late_loads_may_fill_is_read_again_and_emptied() {
    let mut loader = Loader::new(6).in_life_since(at(0));
    loader.reported(Some(report(4, &["a1", "a2", "a3", "a4"])), at(1_000));
    assert_eq!(step(&mut loader, at(1_100)), LoadStep::Idle);
    assert_eq!(step(&mut loader, at(1_300)), LoadStep::Read);
    let filled = ["a1", "a2", "a3", "a4", "a5"];
    loader.reported(Some(report(5, &filled)), at(1_300));
    let order = sent(step(&mut loader, at(1_400)));
    assert!(matches!(order, OrderKind::UnloadAdapter(_)), "{order:?}");
    loader.reported(Some(report(5, &filled)), at(14_000));
    assert_eq!(step(&mut loader, at(15_000)), LoadStep::Idle);
}

/// Callers wait for adapters in vain all day: those whose requests had been refused already were
/// loaded first, and each load came too late for the next.
#[test]
fn what_no_request_waits_for_any_more_is_not_loaded() {
    let mut loader = Loader::new(4);
    loader.reported(Some(report(0, &[])), at(0));
    loader.wish(adapter("a1"), None, at(0));
    loader.wish(adapter("a2"), None, at(250));
    assert_eq!(sent(step(&mut loader, at(260))), load("a2"));
    assert_eq!(loader.waiting(), 1);
}

#[test]
fn the_adapter_that_most_wait_for_comes_first_and_the_oldest_among_equals() {
    let mut loader = Loader::new(4);
    loader.reported(Some(report(0, &[])), at(0));
    for ms in [0, 60, 120, 180] {
        loader.wish(adapter("old"), None, at(ms));
    }
    loader.wish(adapter("new"), None, at(170));
    assert_eq!(sent(step(&mut loader, at(181))), load("old"));
    for _request in 0..4 {
        loader.wish(adapter("hot"), None, at(182));
    }
    assert_eq!(sent(step(&mut loader, at(183))), load("hot"));
}

/// Loads `name` and lets it arrive; `quick`: it is there when it is expected.
fn load_and_use(loader: &mut Loader, name: &str, quick: bool, from: u64) {
    let key = adapter(name);
    let mut ms = from;
    loop {
        loader.wish(key.clone(), None, at(ms));
        match step(loader, at(ms)) {
            LoadStep::Send(order) => {
                let answer = match &order.what {
                    OrderKind::UnloadAdapter(_) => OrderAnswer::Done,
                    _ => OrderAnswer::Accepted,
                };
                loader.answered(&order, answer, 1.0, at(ms));
            }
            _ if loader.holdings(at(ms)).iter().any(|held| held.key == key) => break,
            _ => ms += 5,
        }
        assert!(ms < from + 900, "{name} is not there");
    }
    if !quick {
        loader.missing(&key, at(ms + 1));
    }
    loader.begun(&key, at(ms + 2));
    loader.ended(&key, at(ms + 10));
}

/// An engine keeps copies of fewer adapters than it is taken to: its next load comes from the weight
/// store, a quarter second late, and the request that was sent to it is turned away.
#[test]
fn how_many_copies_an_engine_keeps_is_learned_from_loads_that_came_late() {
    let mut loader = Loader::new(2);
    loader.reported(Some(report(0, &[])), at(0));
    for idx in 0..10 {
        load_and_use(&mut loader, &format!("a{idx}"), true, idx * 1_000);
    }
    load_and_use(&mut loader, "a2", false, 20_000);
    let shown = loader.copies();
    assert!((6..=8).contains(&shown), "{shown}");
    load_and_use(&mut loader, "a5", true, 22_000);
    assert!(loader.copies() >= shown, "{}", loader.copies());
}

/// An engine crashes because it was ordered to load more than fits. An unload had to wait for a request
/// that a new holder knew nothing of; the report still named the adapter, and it was unloaded again when
/// it was gone. The engine does not count that, and the next order named a count that came later.
#[test]
fn an_adapter_whose_unload_waits_takes_its_slot_and_is_not_unloaded_again() {
    let mut loader = Loader::new(2);
    loader.reported(Some(report(4, &["a1", "a2"])), at(0));
    loader.wish(adapter("a3"), None, at(1_000));
    let LoadStep::Send(order) = step(&mut loader, at(1_000)) else {
        panic!("no order");
    };
    let OrderKind::UnloadAdapter(leaving) = order.what.clone() else {
        panic!("no unload: {order:?}");
    };
    loader.answered(&order, OrderAnswer::Accepted, 1.0, at(1_001));
    loader.wish(adapter("a3"), None, at(1_140));
    assert_eq!(step(&mut loader, at(1_140)), LoadStep::Read);
    loader.reported(Some(report(5, &["a1", "a2"])), at(1_141));
    loader.wish(adapter("a3"), None, at(1_142));
    let second = sent(step(&mut loader, at(1_142)));
    assert!(matches!(&second, OrderKind::UnloadAdapter(key) if *key != leaving));
    let lost = Order {
        what: second,
        expected: 5,
    };
    loader.answered(&lost, OrderAnswer::Unknown, 1.0, at(1_200));
    assert_eq!(step(&mut loader, at(1_400)), LoadStep::Read, "is it gone?");
    let gone = leaving.adapter.as_str();
    let other = if gone == "a1" { "a2" } else { "a1" };
    loader.reported(Some(report(5, &[other])), at(1_401));
    loader.wish(adapter("a3"), None, at(1_402));
    assert_eq!(sent(step(&mut loader, at(1_402))), load("a3"));
}
