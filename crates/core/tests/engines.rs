//! Tests of the engines' state machine: several instances in a simulated cluster.

#[path = "support/engines/mod.rs"]
mod support;

use std::time::Duration;

use bluebellstage_core::engines::{EnginesMessage, GroupStatus, GroupSummary, PermitRequestNumber};
use bluebellstage_core::{AdapterVersion, Refusal, RefusalKind, TargetId, Tuning};

use support::engine::Speed;
use support::fleet::{EngineSpec, ask};
use support::lone::{Lone, group, instance};
use support::world::World;

const SECOND: u64 = 1_000_000;

const SPEED: Speed = Speed {
    base: 5_000,
    per_sequence: 200,
    per_prefill_token: 10,
};

const SPEC: EngineSpec = EngineSpec {
    slots: 2,
    max_batch: 4,
    checks_fencing: true,
};

fn cluster(nodes: usize, engines: u16) -> World {
    let cluster = World::new(Tuning::default(), 1, nodes);
    let mut cluster = cluster.engines(SPEC.many(engines, 1), SPEED);
    cluster.run_for(4 * SECOND);
    cluster
}

fn assert_all_done(cluster: &World) {
    assert_eq!(cluster.record.violations, Vec::<String>::new());
    let unfinished: Vec<_> = cluster
        .record
        .requests
        .values()
        .filter(|it| it.done.is_none())
        .collect();
    assert!(unfinished.is_empty(), "{unfinished:#?}");
}

#[test]
fn a_request_waits_for_its_load_and_runs() {
    let mut cluster = cluster(3, 1);
    let request = cluster.ask(0, ask(1), 10);
    cluster.run_for(2 * SECOND);
    assert_all_done(&cluster);
    assert_eq!(cluster.record.loads.len(), 1);
    let record = &cluster.record.requests[&request];
    let decided = record.decided.unwrap() - record.arrived;
    assert!((250_000..320_000).contains(&decided), "{decided}");
}

#[test]
fn waiting_requests_for_one_adapter_share_a_load() {
    let mut cluster = cluster(3, 1);
    for node in [0, 1, 2, 0, 1, 2] {
        cluster.ask(node, ask(1), 10);
    }
    cluster.run_for(3 * SECOND);
    assert_all_done(&cluster);
    assert_eq!(cluster.record.loads.len(), 1);
}

#[test]
fn idle_adapter_is_evicted_when_all_slots_are_full() {
    let mut cluster = cluster(3, 1);
    for index in 0..5 {
        cluster.ask(0, ask(index), 10);
        cluster.run_for(2 * SECOND);
    }
    assert_all_done(&cluster);
    assert_eq!(cluster.record.unloads, 3);
}

// Guards against a request that waits forever although the store and the engine are healthy: the
// adapters in the slots always have requests, so none of them is ever idle.
#[test]
fn busy_adapter_is_drained_for_a_waiting_request() {
    let mut cluster = cluster(2, 1);
    let mut waiting_request = None;
    for round in 0..200_u64 {
        for index in 0..2 {
            cluster.ask(0, ask(index), 20);
        }
        if round == 50 {
            waiting_request = Some(cluster.ask(1, ask(7), 20));
        }
        cluster.run_for(SECOND / 25);
    }
    let record = &cluster.record.requests[&waiting_request.unwrap()];
    let waited = record.decided.unwrap_or(u64::MAX) - record.arrived;
    assert!(waited < 2 * SECOND, "{waited}");
    cluster.run_for(20 * SECOND);
    assert_all_done(&cluster);
}

#[test]
fn versions_of_an_adapter_are_loaded_separately() {
    let mut cluster = cluster(3, 1);
    let old = ask(1);
    let mut new = ask(1);
    new.adapter.version = AdapterVersion(2);
    cluster.ask(0, old, 10);
    cluster.ask(0, new, 10);
    cluster.run_for(3 * SECOND);
    assert_all_done(&cluster);
    assert_eq!(cluster.record.loads.len(), 2);
}

#[test]
fn request_for_a_model_without_engines_is_refused_immediately() {
    let mut cluster = World::new(Tuning::default(), 1, 2);
    let request = cluster.ask(0, ask(1), 10);
    let record = &cluster.record.requests[&request];
    assert_eq!(record.refused, Some(RefusalKind::NoTarget));
}

#[test]
fn leaving_engine_gets_no_new_requests() {
    let mut cluster = cluster(3, 2);
    let leaving = TargetId::try_from("e0").unwrap();
    for index in 0..4 {
        cluster.ask(0, ask(index), 400);
    }
    cluster.run_for(2 * SECOND);
    cluster.engine_leaves(&leaving, true);
    let left_at = cluster.now;
    for index in 0..4 {
        cluster.ask(1, ask(index), 10);
    }
    cluster.run_for(20 * SECOND);
    assert_all_done(&cluster);
    let late = |it: &&support::record::Record| {
        it.arrived >= left_at && it.target.as_ref() == Some(&leaving)
    };
    assert_eq!(cluster.record.requests.values().filter(late).count(), 0);
}

#[test]
fn requests_of_other_instances_finish_after_an_owner_is_killed() {
    let mut cluster = cluster(3, 2);
    for index in 0..4 {
        cluster.ask(index as usize % 3, ask(index), 100);
    }
    cluster.run_for(SECOND / 10);
    cluster.kill(0);
    cluster.run_for(30 * SECOND);
    let open: Vec<_> = cluster
        .record
        .requests
        .values()
        .filter(|it| it.node != 0 && it.done.is_none())
        .collect();
    assert!(open.is_empty(), "{open:#?}");
    assert_eq!(cluster.record.violations, Vec::<String>::new());
}

// Guards against requests that wait seconds for a load although there is a slot for every adapter:
// rendezvous hashing gives one group more adapters than it has slots and another group fewer, so
// the first group evicts and loads endlessly.
#[test]
fn adapters_that_fit_into_the_slots_of_all_groups_are_loaded_once() {
    for seed in 1..6 {
        let cluster = World::new(Tuning::default(), seed, 4);
        let spec = EngineSpec { slots: 4, ..SPEC };
        let mut cluster = cluster.engines(spec.many(3, 3), SPEED);
        cluster.run_for(4 * SECOND);
        for round in 0..240_u32 {
            let node = usize::try_from(round * 7 % 4).unwrap();
            cluster.ask(node, ask(round % 12), 5);
            cluster.run_for(SECOND / 4);
        }
        cluster.run_for(5 * SECOND);
        assert_all_done(&cluster);
        let loads = cluster.record.loads.len();
        assert!(loads <= 13, "seed {seed}: {loads} loads of 12 adapters");
    }
}

// Guards against a caller that is told to retry immediately, again and again, although the store
// needs ten seconds for the loads that already wait.
#[test]
fn expired_request_is_refused_with_an_estimated_retry_delay() {
    let mut harness = Lone::entry(&SPEC);
    harness.step(|core, cx| core.request_permit(cx, ask(1)));
    let requested_at = harness.now;
    let status = GroupStatus {
        waiting_for_load: 30,
        batch_slots: 4,
        ..GroupStatus::default()
    };
    while harness.decisions.is_empty() {
        let queued = EnginesMessage::Queued {
            number: PermitRequestNumber(0),
            group: group(),
            status,
        };
        harness.hear("b", queued);
        harness.pass(50);
    }
    assert_eq!(harness.now, requested_at + Tuning::default().max_queue_wait);
    let refusal = harness.decisions.remove(0).outcome.unwrap_err();
    let expected = Refusal::retry_after(RefusalKind::Overloaded, Duration::from_secs(10));
    assert_eq!(refusal, expected);
}

#[test]
fn group_summary_keeps_its_field_names_in_json() {
    let summary = GroupSummary {
        id: group(),
        owner: Some(instance("b")),
        schedule: None,
    };
    let json = serde_json::json!({ "id": "base/fd0", "home": "b", "schedule": null });
    assert_eq!(serde_json::to_value(summary).unwrap(), json);
}
