//! The guards of permits, evictions and loads, one at a time.

#[path = "support/engines/mod.rs"]
mod support;

use std::time::Duration;

use bluebellstage_core::engines::{EnginesMessage, HeldPermit, LoadDemand, PermitEnd};
use bluebellstage_core::{EngineReport, OrderOutcome, RequestId, Revision, TargetOrderKind, Time};

use support::fleet::{EngineSpec, adapter, ask};
use support::lone::{Lone, engine, grant, group, permit, report};

const CHECKS: EngineSpec = EngineSpec {
    slots: 2,
    max_batch: 4,
    checks_fencing: true,
};

const IGNORES: EngineSpec = EngineSpec {
    checks_fencing: false,
    ..CHECKS
};

fn both() -> EngineReport {
    report(&[adapter(1), adapter(2)], &[])
}

fn held(number: u64, index: u32) -> HeldPermit {
    HeldPermit {
        permit: permit(4, number),
        target: engine(),
        adapter: adapter(index),
    }
}

/// A home that runs: all have said that they hold nothing, and the engine holds adapters 1 and 2.
fn running(spec: &EngineSpec) -> Lone {
    let mut lone = taken_over(spec);
    lone.holding("b", Vec::new());
    lone.holding("c", Vec::new());
    lone.pass(100);
    lone.answer(&both());
    lone
}

fn taken_over(spec: &EngineSpec) -> Lone {
    let mut lone = Lone::home(spec);
    lone.pass(50);
    lone.answer(&both());
    lone
}

/// Passes time with the engine answering everything with `answer` as its report.
fn pass_answering(lone: &mut Lone, millis: u64, answer: &EngineReport) {
    for _ in 0..millis / 50 {
        lone.pass(50);
        lone.answer_reports(answer);
    }
}

// A draft breaks off: its permit was granted by the former home and it is on its way to the engine,
// whose report shows nothing yet; the new home takes its adapter for idle.
#[test]
fn a_new_home_unloads_nothing_before_all_have_said_what_they_hold() {
    let mut lone = taken_over(&CHECKS);
    lone.asked("b", 1, ask(3));
    pass_answering(&mut lone, 5_000, &both());
    assert!(lone.unloads().is_empty());
    lone.holding("b", vec![held(1, 1)]);
    lone.holding("c", Vec::new());
    lone.asked("b", 1, ask(3));
    pass_answering(&mut lone, 5_000, &both());
    assert_eq!(lone.unloads(), [adapter(2)]);
}

// An engine gets more requests than its batch takes: the new home counts only its own permits.
#[test]
fn a_new_home_grants_nothing_before_all_have_said_what_they_hold() {
    let mut lone = taken_over(&CHECKS);
    lone.holding("b", vec![held(1, 1), held(2, 1), held(3, 1)]);
    lone.asked("b", 1, ask(1));
    lone.asked("b", 2, ask(1));
    pass_answering(&mut lone, 500, &both());
    assert!(lone.grants().is_empty());
    lone.holding("c", Vec::new());
    lone.pass(50);
    assert_eq!(lone.grants().len(), 1);
}

// A permit stays out for good: its end came before the word that it is held.
#[test]
fn an_end_that_overtakes_the_word_of_its_permit_counts() {
    let mut lone = taken_over(&CHECKS);
    let end = EnginesMessage::Ended {
        group: group(),
        permit: permit(4, 1),
        end: PermitEnd::Used,
    };
    lone.hear("b", end);
    lone.holding("b", vec![held(1, 1)]);
    lone.holding("c", Vec::new());
    assert_eq!(lone.core.permits_out(), 0);
}

// A draft breaks off: an instance that left the map sent it with the last of its standing, and the
// home takes a report from before that for proof that nothing runs.
#[test]
fn after_a_takeover_only_a_late_enough_report_proves_an_adapter_unused() {
    let mut lone = Lone::home(&CHECKS);
    lone.remember_map();
    lone.own.past_retired_at = Some(lone.now + Duration::from_secs(2));
    lone.own.map.history[0].active = vec![lone.own.local.id.clone()];
    lone.pass(50);
    lone.answer(&both());
    lone.holding("b", Vec::new());
    lone.holding("c", Vec::new());
    lone.asked("b", 1, ask(3));
    pass_answering(&mut lone, 3_900, &both());
    assert!(lone.unloads().is_empty());
    lone.asked("b", 1, ask(3));
    pass_answering(&mut lone, 1_500, &both());
    assert_eq!(lone.unloads().len(), 1);
}

// As above, of a home that stays: the permit is in its books, and must not be struck out too early.
#[test]
fn permits_of_a_life_that_left_the_map_stay_out_until_a_late_report() {
    let mut lone = running(&CHECKS);
    lone.asked("b", 1, ask(1));
    pass_answering(&mut lone, 100, &both());
    assert_eq!(lone.core.permits_out(), 1);
    lone.drop_member("b", Duration::from_secs(2));
    pass_answering(&mut lone, 3_900, &both());
    assert_eq!(lone.core.permits_out(), 1);
    pass_answering(&mut lone, 1_500, &both());
    assert_eq!(lone.core.permits_out(), 0);
}

// A draft breaks off: a former home's unload arrives after the new home let it in.
#[test]
fn nothing_is_let_in_before_the_engine_knows_the_new_fencing_number() {
    let mut lone = Lone::home(&CHECKS);
    lone.pass(50);
    lone.answer_reports(&both());
    lone.holding("b", Vec::new());
    lone.holding("c", Vec::new());
    lone.asked("b", 1, ask(1));
    pass_answering(&mut lone, 2_000, &both());
    assert!(lone.grants().is_empty());
    lone.asked("b", 1, ask(1));
    lone.answer(&both());
    assert_eq!(lone.grants().len(), 1);
}

// The same with an engine that ignores fencing numbers: only time, or a permit of the former home
// that is still out, tells that no unload is on its way.
#[test]
fn an_engine_that_ignores_fencing_gets_work_once_no_order_can_be_on_its_way() {
    let mut lone = taken_over(&IGNORES);
    lone.holding("b", vec![held(1, 1)]);
    lone.holding("c", Vec::new());
    lone.asked("b", 1, ask(1));
    lone.asked("b", 2, ask(2));
    pass_answering(&mut lone, 900, &both());
    let adapters: Vec<_> = lone.grants().iter().map(|it| it.number.0).collect();
    assert!(adapters.iter().all(|number| *number == 1) && !adapters.is_empty());
    pass_answering(&mut lone, 200, &both());
    assert!(lone.grants().iter().any(|it| it.number.0 == 2));
}

// Two homes act at once: one lost its standing and does not ask for it before it acts.
#[test]
fn a_home_without_standing_does_nothing() {
    let mut lone = running(&CHECKS);
    lone.own.lease_expires_at = lone.now;
    lone.orders.clear();
    lone.asked("b", 1, ask(1));
    lone.asked("b", 2, ask(3));
    lone.pass(1_000);
    assert!(!lone.acts());
    assert!(lone.grants().is_empty() && lone.orders.is_empty());
}

// An instance slept through being dropped and added again: what it knows of permits is void.
#[test]
fn a_home_that_missed_a_map_starts_anew() {
    let mut lone = running(&CHECKS);
    lone.asked("b", 1, ask(1));
    assert_eq!(lone.core.permits_out(), 1);
    lone.own.map.revision = Revision(7);
    lone.step(bluebellstage_core::engines::Engines::map_changed);
    assert_eq!(lone.core.permits_out(), 0);
    lone.asked("b", 2, ask(1));
    pass_answering(&mut lone, 500, &both());
    assert_eq!(
        lone.grants().len(),
        1,
        "nothing new before all have said what they hold"
    );
}

// A request runs on an adapter that its home has ordered out: the order's answer was lost.
#[test]
fn an_adapter_whose_unload_has_no_answer_gets_no_work() {
    let mut lone = running(&CHECKS);
    lone.asked("b", 1, ask(3));
    pass_answering(&mut lone, 4_000, &both());
    lone.asked("b", 1, ask(3));
    pass_answering(&mut lone, 500, &both());
    let order = lone
        .orders
        .iter()
        .find(|it| matches!(&it.kind, TargetOrderKind::Unload(adapter) if adapter.version.0 > 0));
    let order = order.cloned().expect("an unload is ordered");
    let TargetOrderKind::Unload(out) = order.kind.clone() else {
        return;
    };
    lone.end(&order, OrderOutcome::Unknown);
    let mut wanted = ask(1);
    wanted.adapter = out;
    lone.asked("c", 9, wanted);
    pass_answering(&mut lone, 1_800, &both());
    assert!(lone.grants().is_empty());
}

// Two permits for one request, or one that its home no longer counts: each grant that does not fit
// goes back at once.
#[test]
fn grants_that_do_not_fit_are_handed_back() {
    let mut lone = Lone::entry(&CHECKS);
    lone.step(|core, cx| core.ask(cx, ask(1)));
    lone.hear("c", grant(0, permit(5, 1)));
    assert_eq!(lone.ended(permit(5, 1)), 1, "not from the home");
    let question = EnginesMessage::WhichPermits {
        group: group(),
        revision: Revision(5),
    };
    lone.hear("b", question);
    lone.hear("b", grant(0, permit(4, 9)));
    assert_eq!(
        lone.ended(permit(4, 9)),
        1,
        "older than what was said to be held"
    );
    lone.hear("b", grant(0, permit(5, 2)));
    lone.hear("b", grant(0, permit(5, 3)));
    assert_eq!(lone.ended(permit(5, 3)), 1, "the ask has its permit");
    assert_eq!(lone.ended(permit(5, 2)), 0);
    assert_eq!(lone.decisions.len(), 1);
}

// An instance that was dropped sends a request after its home counts the permit as ended.
#[test]
fn a_permit_is_sent_only_while_standing_holds() {
    let mut lone = Lone::entry(&CHECKS);
    lone.step(|core, cx| core.ask(cx, ask(1)));
    lone.own.lease_expires_at = lone.now + Duration::from_millis(300);
    lone.hear("b", grant(0, permit(5, 1)));
    let outcome = lone.decisions.remove(0).outcome;
    assert_eq!(outcome.unwrap().send_before, lone.own.lease_expires_at);
    lone.step(|core, cx| core.ask(cx, ask(1)));
    lone.own.lease_expires_at = lone.now;
    lone.hear("b", grant(1, permit(5, 2)));
    assert!(lone.decisions.is_empty());
    assert_eq!(lone.ended(permit(5, 2)), 1);
}

// An engine's place is lost for good: the message that a request ended was lost.
#[test]
fn ends_are_repeated_until_noted() {
    let mut lone = Lone::entry(&CHECKS);
    lone.step(|core, cx| core.ask(cx, ask(1)));
    lone.hear("b", grant(0, permit(5, 1)));
    lone.step(|core, cx| core.finished(cx, RequestId(0), PermitEnd::Used));
    lone.pass(1_000);
    assert!(lone.ended(permit(5, 1)) >= 3);
    let noted = EnginesMessage::EndNoted {
        group: group(),
        permit: permit(5, 1),
    };
    lone.hear("b", noted);
    lone.sent.clear();
    lone.pass(1_000);
    assert_eq!(lone.ended(permit(5, 1)), 0);
}

// A request waits for ever: the message with its permit was lost.
#[test]
fn grants_are_repeated_until_taken() {
    let mut lone = running(&CHECKS);
    lone.asked("b", 1, ask(1));
    lone.pass(1_000);
    assert!(lone.grants().len() >= 3);
    let taken = EnginesMessage::Taken {
        group: group(),
        permit: lone.grants()[0].permit,
    };
    lone.hear("b", taken);
    lone.sent.clear();
    lone.pass(1_000);
    assert!(lone.grants().is_empty());
}

/// The load permits that the store's home gives within `millis` to group `g` of `b`, whose demand is
/// repeated.
fn permitted(lone: &mut Lone, millis: u64) -> usize {
    let before = lone.sent.len();
    for round in 0..millis / 50 {
        let demand = LoadDemand {
            group: group(),
            sequence: round + 1,
            urgent: 20,
            batch: 0,
            loading: Vec::new(),
        };
        lone.hear("b", EnginesMessage::LoadDemand(demand));
        lone.pass(50);
    }
    let given = |message: &EnginesMessage| matches!(message, EnginesMessage::MayLoad { .. });
    lone.sent[before..]
        .iter()
        .filter(|(_, it)| given(it))
        .count()
}

// The store slows down for all: a new home permits loads while those of the former one begin.
#[test]
fn the_stores_new_home_waits_and_keeps_rate_and_limit() {
    let mut lone = Lone::home(&CHECKS);
    assert_eq!(permitted(&mut lone, 950), 0);
    assert_eq!(permitted(&mut lone, 1_000), 3, "three a second");
    assert_eq!(permitted(&mut lone, 1_000), 3);
    assert_eq!(permitted(&mut lone, 10_000), 30);
}

#[test]
fn the_stores_home_counts_loads_in_flight() {
    let mut lone = Lone::home(&CHECKS);
    lone.pass(1_100);
    let demand = LoadDemand {
        group: group(),
        sequence: 1,
        urgent: 5,
        batch: 0,
        loading: (0..8).map(|number| permit(4, number)).collect(),
    };
    lone.hear("b", EnginesMessage::LoadDemand(demand));
    lone.pass(1_000);
    let given = |message: &EnginesMessage| matches!(message, EnginesMessage::MayLoad { .. });
    assert!(
        !lone.sent.iter().any(|(_, it)| given(it)),
        "eight are in flight"
    );
}

// One load permit loads two adapters: its message came twice.
#[test]
fn a_load_permit_is_used_once_and_in_time() {
    for (late, used) in [(false, 1), (true, 0)] {
        let mut lone = Lone::entry(&CHECKS);
        let members = &mut lone.own.map.members;
        members[0].state = bluebellstage_core::MemberState::Active;
        while lone
            .own
            .owner(&bluebellstage_core::OwnershipKey::WeightStore)
            == Some(&lone.own.local.id)
            || !lone.acts()
        {
            rename_second(&mut lone);
        }
        let store = lone.own.map.members[1].id.clone();
        lone.list(&CHECKS.many(2, 1));
        lone.pass(50);
        lone.answer(&report(&[], &[]));
        lone.holding(store.as_str(), Vec::new());
        lone.holding("c", Vec::new());
        lone.asked("c", 1, ask(1));
        lone.asked("c", 2, ask(2));
        lone.pass(50);
        let asked_for = lone
            .sent
            .iter()
            .rev()
            .find_map(|(_, message)| match message {
                EnginesMessage::LoadDemand(demand) => Some(demand.sequence),
                _ => None,
            });
        if late {
            lone.now = lone.now + Duration::from_secs(2);
        }
        let may = EnginesMessage::MayLoad {
            group: group(),
            sequence: asked_for.expect("a demand"),
            permit: permit(5, 1),
        };
        lone.hear(store.as_str(), may.clone());
        lone.hear(store.as_str(), may);
        assert_eq!(lone.loads(), used, "late: {late}");
    }
}

/// Gives the second member another name, until the store's home is there and the group's here.
fn rename_second(lone: &mut Lone) {
    let member = &mut lone.own.map.members[1];
    let name = format!("{}x", member.id);
    member.id = support::lone::instance(&name);
    lone.step(bluebellstage_core::engines::Engines::map_changed);
}

// Overnight work waits for ever behind urgent work that never stops.
#[test]
fn overnight_work_ages_into_the_urgent_line() {
    let mut lone = running(&CHECKS);
    let mut overnight = ask(1);
    overnight.urgent = false;
    let mut number = 1;
    for _ in 0..12 {
        lone.asked("b", number, ask(1));
        number += 1;
    }
    lone.asked("c", 500, overnight.clone());
    let mut granted_at = None;
    for _ in 0..600 {
        lone.asked("b", number, ask(1));
        number += 1;
        lone.asked("c", 500, overnight.clone());
        pass_answering(&mut lone, 50, &both());
        if granted_at.is_none() && lone.grants().iter().any(|it| it.number.0 == 500) {
            granted_at = Some(lone.now);
        }
        end_one(&mut lone);
    }
    let at = granted_at.expect("never let in");
    assert!(
        at < Time::from_millis(1_000) + Duration::from_secs(20),
        "{at}"
    );
}

fn end_one(lone: &mut Lone) {
    let first = lone.grants().first().map(|it| it.permit);
    let Some(permit) = first else {
        return;
    };
    lone.sent.retain(
        |(_, message)| !matches!(message, EnginesMessage::Grant(it) if it.permit == permit),
    );
    let end = EnginesMessage::Ended {
        group: group(),
        permit,
        end: PermitEnd::Used,
    };
    lone.hear("b", end);
}
