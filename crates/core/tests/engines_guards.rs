//! Tests of the engines' state machine: the guards of permits, evictions and loads, one at a time.

#[path = "support/engines/mod.rs"]
mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use bluebellstage_core::engines::{EnginesMessage, HeldPermit, LoadDemand, PermitEnd};
use bluebellstage_core::{
    EngineReport, OrderOutcome, RequestId, Revision, TargetOrderKind, TargetReport, Time,
};

use support::fleet::{EngineSpec, adapter, ask};
use support::lone::{Lone, engine, grant, group, permit, report};

const CHECKS_FENCING: EngineSpec = EngineSpec {
    slots: 2,
    max_batch: 4,
    checks_fencing: true,
};

const IGNORES_FENCING: EngineSpec = EngineSpec {
    checks_fencing: false,
    ..CHECKS_FENCING
};

fn both_adapters() -> EngineReport {
    report(&[adapter(1), adapter(2)], &[])
}

fn held_permit(number: u64, index: u32) -> HeldPermit {
    HeldPermit {
        permit: permit(4, number),
        target: engine(),
        adapter: adapter(index),
    }
}

/// Returns an owner whose takeover is finished: the other members hold no permits, and the engine
/// holds adapters 1 and 2.
fn running_owner(spec: &EngineSpec) -> Lone {
    let mut harness = owner_in_takeover(spec);
    harness.holding("b", Vec::new());
    harness.holding("c", Vec::new());
    harness.pass(100);
    harness.answer(&both_adapters());
    harness
}

fn owner_in_takeover(spec: &EngineSpec) -> Lone {
    let mut harness = Lone::home(spec);
    harness.pass(50);
    harness.answer(&both_adapters());
    harness
}

/// Lets `millis` pass while the engine responds to every report request with `report`.
fn pass_with_reports(harness: &mut Lone, millis: u64, report: &EngineReport) {
    for _ in 0..millis / 50 {
        harness.pass(50);
        harness.answer_reports(report);
    }
}

// Guards against an interrupted request: the former owner granted its permit, and the request has
// not reached the engine, whose report does not show it yet. The new owner then treats its adapter
// as idle.
#[test]
fn new_owner_unloads_nothing_before_all_members_report_held_permits() {
    let mut harness = owner_in_takeover(&CHECKS_FENCING);
    harness.asked("b", 1, ask(3));
    pass_with_reports(&mut harness, 5_000, &both_adapters());
    assert!(harness.unloads().is_empty());
    harness.holding("b", vec![held_permit(1, 1)]);
    harness.holding("c", Vec::new());
    harness.asked("b", 1, ask(3));
    pass_with_reports(&mut harness, 5_000, &both_adapters());
    assert_eq!(harness.unloads(), [adapter(2)]);
}

// Guards against an engine that gets more requests than its batch takes, as the new owner counts
// only the permits that it granted itself.
#[test]
fn new_owner_grants_nothing_before_all_members_report_held_permits() {
    let mut harness = owner_in_takeover(&CHECKS_FENCING);
    harness.holding(
        "b",
        vec![held_permit(1, 1), held_permit(2, 1), held_permit(3, 1)],
    );
    harness.asked("b", 1, ask(1));
    harness.asked("b", 2, ask(1));
    pass_with_reports(&mut harness, 500, &both_adapters());
    assert!(harness.grants().is_empty());
    harness.holding("c", Vec::new());
    harness.pass(50);
    assert_eq!(harness.grants().len(), 1);
}

// Guards against a permit that stays outstanding forever, as its end was received before the report
// that it is held.
#[test]
fn permit_end_received_before_the_report_of_its_permit_counts() {
    let mut harness = owner_in_takeover(&CHECKS_FENCING);
    let end = EnginesMessage::PermitEnded {
        group: group(),
        permit: permit(4, 1),
        end: PermitEnd::Used,
    };
    harness.hear("b", end);
    harness.holding("b", vec![held_permit(1, 1)]);
    harness.holding("c", Vec::new());
    assert_eq!(harness.core.outstanding_permits(), 0);
}

// Guards against an interrupted request: an instance that left the map sent it just before its
// lease expired, and the owner takes an earlier report as confirmation that nothing runs.
#[test]
fn after_a_takeover_only_a_late_enough_report_confirms_an_adapter_unused() {
    let mut harness = Lone::home(&CHECKS_FENCING);
    harness.remember_map();
    harness.own.past_retired_at = Some(harness.now + Duration::from_secs(2));
    harness.own.map.history[0].active = vec![harness.own.local.id.clone()];
    harness.pass(50);
    harness.answer(&both_adapters());
    harness.holding("b", Vec::new());
    harness.holding("c", Vec::new());
    harness.asked("b", 1, ask(3));
    pass_with_reports(&mut harness, 3_900, &both_adapters());
    assert!(harness.unloads().is_empty());
    harness.asked("b", 1, ask(3));
    pass_with_reports(&mut harness, 1_500, &both_adapters());
    assert_eq!(harness.unloads().len(), 1);
}

// The same for an owner that stays: it has recorded the permit and must not remove it too early.
#[test]
fn permits_of_a_removed_member_stay_outstanding_until_a_late_enough_report() {
    let mut harness = running_owner(&CHECKS_FENCING);
    harness.asked("b", 1, ask(1));
    pass_with_reports(&mut harness, 100, &both_adapters());
    assert_eq!(harness.core.outstanding_permits(), 1);
    harness.drop_member("b", Duration::from_secs(2));
    pass_with_reports(&mut harness, 3_900, &both_adapters());
    assert_eq!(harness.core.outstanding_permits(), 1);
    pass_with_reports(&mut harness, 1_500, &both_adapters());
    assert_eq!(harness.core.outstanding_permits(), 0);
}

// Guards against a request interrupted by a former owner's unload order that arrives after the new
// owner granted the permit.
#[test]
fn nothing_is_granted_before_the_engine_knows_the_new_fencing_number() {
    let mut harness = Lone::home(&CHECKS_FENCING);
    harness.pass(50);
    harness.answer_reports(&both_adapters());
    harness.holding("b", Vec::new());
    harness.holding("c", Vec::new());
    harness.asked("b", 1, ask(1));
    pass_with_reports(&mut harness, 2_000, &both_adapters());
    assert!(harness.grants().is_empty());
    harness.asked("b", 1, ask(1));
    harness.answer(&both_adapters());
    assert_eq!(harness.grants().len(), 1);
}

// The same with an engine that ignores fencing numbers: only elapsed time, or a permit of the
// former owner that is still outstanding, shows that no unload order can arrive any more.
#[test]
fn engine_that_ignores_fencing_gets_requests_once_no_former_order_can_arrive() {
    let mut harness = owner_in_takeover(&IGNORES_FENCING);
    harness.holding("b", vec![held_permit(1, 1)]);
    harness.holding("c", Vec::new());
    harness.asked("b", 1, ask(1));
    harness.asked("b", 2, ask(2));
    pass_with_reports(&mut harness, 900, &both_adapters());
    let numbers: Vec<_> = harness.grants().iter().map(|it| it.number.0).collect();
    assert!(numbers.iter().all(|number| *number == 1) && !numbers.is_empty());
    pass_with_reports(&mut harness, 200, &both_adapters());
    assert!(harness.grants().iter().any(|it| it.number.0 == 2));
}

// Guards against two owners that act at the same time, one of which has lost its lease and does not
// check it before it acts.
#[test]
fn owner_without_a_lease_does_nothing() {
    let mut harness = running_owner(&CHECKS_FENCING);
    harness.own.lease_expires_at = harness.now;
    harness.orders.clear();
    harness.asked("b", 1, ask(1));
    harness.asked("b", 2, ask(3));
    harness.pass(1_000);
    assert!(!harness.acts());
    assert!(harness.grants().is_empty() && harness.orders.is_empty());
}

// Guards against an instance that was suspended while it was removed from the map and added again:
// its state of permits is no longer valid.
#[test]
fn owner_that_missed_a_map_starts_over() {
    let mut harness = running_owner(&CHECKS_FENCING);
    harness.asked("b", 1, ask(1));
    assert_eq!(harness.core.outstanding_permits(), 1);
    harness.own.map.revision = Revision(7);
    harness.step(bluebellstage_core::engines::Engines::map_changed);
    assert_eq!(harness.core.outstanding_permits(), 0);
    harness.asked("b", 2, ask(1));
    pass_with_reports(&mut harness, 500, &both_adapters());
    assert_eq!(
        harness.grants().len(),
        1,
        "nothing new before all members have reported what they hold"
    );
}

// Guards against a request that runs on an adapter whose unload its owner has ordered, when the
// engine's response to the order was lost.
#[test]
fn adapter_with_an_unknown_unload_outcome_gets_no_grants() {
    let mut harness = running_owner(&CHECKS_FENCING);
    harness.asked("b", 1, ask(3));
    pass_with_reports(&mut harness, 4_000, &both_adapters());
    harness.asked("b", 1, ask(3));
    pass_with_reports(&mut harness, 500, &both_adapters());
    let order = harness
        .orders
        .iter()
        .find(|it| matches!(&it.kind, TargetOrderKind::Unload(adapter) if adapter.version.0 > 0));
    let order = order.cloned().expect("an unload is ordered");
    let TargetOrderKind::Unload(unloading) = order.kind.clone() else {
        return;
    };
    harness.end(&order, OrderOutcome::Unknown);
    let mut request = ask(1);
    request.adapter = unloading;
    harness.asked("c", 9, request);
    pass_with_reports(&mut harness, 1_800, &both_adapters());
    assert!(harness.grants().is_empty());
}

// Guards against two permits for one request, and against a permit that its owner no longer counts:
// such a grant is returned immediately.
#[test]
fn invalid_grants_are_returned_unused() {
    let mut harness = Lone::entry(&CHECKS_FENCING);
    harness.step(|core, cx| core.request_permit(cx, ask(1)));
    harness.hear("c", grant(0, permit(5, 1)));
    assert_eq!(harness.ended(permit(5, 1)), 1, "not from the owner");
    let query = EnginesMessage::QueryHeldPermits {
        group: group(),
        revision: Revision(5),
    };
    harness.hear("b", query);
    harness.hear("b", grant(0, permit(4, 9)));
    assert_eq!(
        harness.ended(permit(4, 9)),
        1,
        "older than the reported permits"
    );
    harness.hear("b", grant(0, permit(5, 2)));
    harness.hear("b", grant(0, permit(5, 3)));
    assert_eq!(harness.ended(permit(5, 3)), 1, "the request has its permit");
    assert_eq!(harness.ended(permit(5, 2)), 0);
    assert_eq!(harness.decisions.len(), 1);
}

// Guards against an instance removed from the map that sends a request after the owner counts its
// permit as ended.
#[test]
fn permit_is_used_only_while_the_lease_holds() {
    let mut harness = Lone::entry(&CHECKS_FENCING);
    harness.step(|core, cx| core.request_permit(cx, ask(1)));
    harness.own.lease_expires_at = harness.now + Duration::from_millis(300);
    harness.hear("b", grant(0, permit(5, 1)));
    let outcome = harness.decisions.remove(0).outcome;
    assert_eq!(outcome.unwrap().send_before, harness.own.lease_expires_at);
    harness.step(|core, cx| core.request_permit(cx, ask(1)));
    harness.own.lease_expires_at = harness.now;
    harness.hear("b", grant(1, permit(5, 2)));
    assert!(harness.decisions.is_empty());
    assert_eq!(harness.ended(permit(5, 2)), 1);
}

// Guards against a batch slot that is never freed, as the message that its request ended was lost.
#[test]
fn permit_ends_are_repeated_until_acknowledged() {
    let mut harness = Lone::entry(&CHECKS_FENCING);
    harness.step(|core, cx| core.request_permit(cx, ask(1)));
    harness.hear("b", grant(0, permit(5, 1)));
    harness.step(|core, cx| core.permit_ended(cx, RequestId(0), PermitEnd::Used));
    harness.pass(1_000);
    assert!(harness.ended(permit(5, 1)) >= 3);
    let acknowledged = EnginesMessage::EndAcknowledged {
        group: group(),
        permit: permit(5, 1),
    };
    harness.hear("b", acknowledged);
    harness.sent.clear();
    harness.pass(1_000);
    assert_eq!(harness.ended(permit(5, 1)), 0);
}

// Guards against a request that waits forever, as the message with its permit was lost.
#[test]
fn grants_are_repeated_until_accepted() {
    let mut harness = running_owner(&CHECKS_FENCING);
    harness.asked("b", 1, ask(1));
    harness.pass(1_000);
    assert!(harness.grants().len() >= 3);
    let accepted = EnginesMessage::Accepted {
        group: group(),
        permit: harness.grants()[0].permit,
    };
    harness.hear("b", accepted);
    harness.sent.clear();
    harness.pass(1_000);
    assert!(harness.grants().is_empty());
}

/// Returns the number of load permits that the store's owner grants within `millis` to a group
/// owned by `b`, which repeats its demand.
fn granted_load_permits(harness: &mut Lone, millis: u64) -> usize {
    let before = harness.sent.len();
    for round in 0..millis / 50 {
        let demand = LoadDemand {
            group: group(),
            sequence: round + 1,
            urgent: 20,
            batch: 0,
            loading: Vec::new(),
        };
        harness.hear("b", EnginesMessage::LoadDemand(demand));
        harness.pass(50);
    }
    let is_load_permit =
        |message: &EnginesMessage| matches!(message, EnginesMessage::LoadPermit { .. });
    harness.sent[before..]
        .iter()
        .filter(|(_, it)| is_load_permit(it))
        .count()
}

// Guards against a store that becomes slow for all groups, as its new owner permits loads while
// those permitted by the former owner start.
#[test]
fn new_store_owner_waits_and_keeps_the_rate() {
    let mut harness = Lone::home(&CHECKS_FENCING);
    assert_eq!(granted_load_permits(&mut harness, 950), 0);
    assert_eq!(
        granted_load_permits(&mut harness, 1_000),
        3,
        "three a second"
    );
    assert_eq!(granted_load_permits(&mut harness, 1_000), 3);
    assert_eq!(granted_load_permits(&mut harness, 10_000), 30);
}

#[test]
fn store_owner_counts_loads_in_flight() {
    let mut harness = Lone::home(&CHECKS_FENCING);
    harness.pass(1_100);
    let demand = LoadDemand {
        group: group(),
        sequence: 1,
        urgent: 5,
        batch: 0,
        loading: (0..8).map(|number| permit(4, number)).collect(),
    };
    harness.hear("b", EnginesMessage::LoadDemand(demand));
    harness.pass(1_000);
    let is_load_permit =
        |message: &EnginesMessage| matches!(message, EnginesMessage::LoadPermit { .. });
    assert!(
        !harness.sent.iter().any(|(_, it)| is_load_permit(it)),
        "eight are in flight"
    );
}

// Guards against two loads under one load permit whose message was duplicated.
#[test]
fn load_permit_is_used_once_and_in_time() {
    for (late, used) in [(false, 1), (true, 0)] {
        let mut harness = Lone::entry(&CHECKS_FENCING);
        let members = &mut harness.own.map.members;
        members[0].state = bluebellstage_core::MemberState::Active;
        while harness
            .own
            .owner(&bluebellstage_core::OwnershipKey::WeightStore)
            == Some(&harness.own.local.id)
            || !harness.acts()
        {
            rename_second_member(&mut harness);
        }
        let store_owner = harness.own.map.members[1].id.clone();
        harness.list(&CHECKS_FENCING.many(2, 1));
        harness.pass(50);
        harness.answer(&report(&[], &[]));
        harness.holding(store_owner.as_str(), Vec::new());
        harness.holding("c", Vec::new());
        harness.asked("c", 1, ask(1));
        harness.asked("c", 2, ask(2));
        harness.pass(50);
        let demand_sequence = harness
            .sent
            .iter()
            .rev()
            .find_map(|(_, message)| match message {
                EnginesMessage::LoadDemand(demand) => Some(demand.sequence),
                _ => None,
            });
        if late {
            harness.now = harness.now + Duration::from_secs(2);
        }
        let load_permit = EnginesMessage::LoadPermit {
            group: group(),
            sequence: demand_sequence.expect("a demand"),
            permit: permit(5, 1),
        };
        harness.hear(store_owner.as_str(), load_permit.clone());
        harness.hear(store_owner.as_str(), load_permit);
        assert_eq!(harness.loads(), used, "late: {late}");
    }
}

/// Renames the second member. Repeated until the second member owns the store and the local
/// instance owns the group.
fn rename_second_member(harness: &mut Lone) {
    let member = &mut harness.own.map.members[1];
    let name = format!("{}x", member.id);
    member.id = support::lone::instance(&name);
    harness.step(bluebellstage_core::engines::Engines::map_changed);
}

// Guards against a batch request that waits forever behind a continuous stream of urgent requests.
#[test]
fn long_waiting_batch_request_becomes_urgent() {
    let mut harness = running_owner(&CHECKS_FENCING);
    let mut batch_request = ask(1);
    batch_request.urgent = false;
    let mut number = 1;
    for _ in 0..12 {
        harness.asked("b", number, ask(1));
        number += 1;
    }
    harness.asked("c", 500, batch_request.clone());
    let mut granted_at = None;
    for _ in 0..600 {
        harness.asked("b", number, ask(1));
        number += 1;
        harness.asked("c", 500, batch_request.clone());
        pass_with_reports(&mut harness, 50, &both_adapters());
        if granted_at.is_none() && harness.grants().iter().any(|it| it.number.0 == 500) {
            granted_at = Some(harness.now);
        }
        end_first_permit(&mut harness);
    }
    let at = granted_at.expect("never granted");
    assert!(
        at < Time::from_millis(1_000) + Duration::from_secs(20),
        "{at}"
    );
}

fn end_first_permit(harness: &mut Lone) {
    let first = harness.grants().first().map(|it| it.permit);
    let Some(permit) = first else {
        return;
    };
    harness.sent.retain(
        |(_, message)| !matches!(message, EnginesMessage::Grant(it) if it.permit == permit),
    );
    let end = EnginesMessage::PermitEnded {
        group: group(),
        permit,
        end: PermitEnd::Used,
    };
    harness.hear("b", end);
}

/// Number of permits that were granted.
fn permits(harness: &Lone) -> usize {
    let granted = harness.grants().into_iter().map(|grant| grant.permit);
    granted.collect::<BTreeSet<_>>().len()
}

/// Grants a permit to `b`, and reports what the engine reported in its response.
fn owner_told(reported: TargetReport) -> Lone {
    let mut harness = running_owner(&CHECKS_FENCING);
    harness.asked("b", 1, ask(1));
    harness.pass(50);
    let granted = harness.grants()[0].permit;
    let message = EnginesMessage::TargetReported {
        group: group(),
        permit: granted,
        report: reported,
    };
    harness.hear("b", message);
    harness
}

/// Guards against a report in a response that waits for the engine's own report or the platform's list.
#[test]
fn an_engine_that_reports_in_a_response_that_it_leaves_gets_no_permits() {
    let mut harness = owner_told(TargetReport {
        is_leaving: true,
        ..TargetReport::default()
    });
    harness.asked("b", 2, ask(1));
    pass_with_reports(&mut harness, 4_000, &both_adapters());
    assert_eq!(permits(&harness), 1);
}

/// Guards against permits for an engine that has asked for rest, and an engine that rests forever.
#[test]
fn an_engine_that_asks_for_rest_gets_permits_after_it() {
    let mut harness = owner_told(TargetReport {
        rest: Some(Duration::from_secs(3)),
        ..TargetReport::default()
    });
    harness.asked("b", 2, ask(1));
    pass_with_reports(&mut harness, 2_900, &both_adapters());
    assert_eq!(permits(&harness), 1);
    pass_with_reports(&mut harness, 200, &both_adapters());
    harness.asked("b", 3, ask(1));
    pass_with_reports(&mut harness, 200, &both_adapters());
    assert_eq!(permits(&harness), 2);
}
