//! Tests the journal without failures and with single failures.

#[expect(dead_code, reason = "this test uses only a part of it")]
#[path = "support/journal_fleet.rs"]
mod journal_fleet;
#[path = "support/journal_platform.rs"]
mod journal_platform;
#[path = "support/journal_service.rs"]
mod journal_service;
#[expect(dead_code, reason = "this test uses only a part of it")]
#[path = "support/rates_membership.rs"]
mod rates_membership;

use std::time::Duration;

use bluebellstage_core::journal::JournalStep;
use bluebellstage_core::{InstanceId, RefusalKind, RequestId, Tuning};
use journal_fleet::{Fleet, workspace};
use journal_service::{ServiceMode, stored_response};

fn fleet() -> Fleet {
    Fleet::new(3, 5, Tuning::default())
}

fn non_owners(fleet: &Fleet) -> [InstanceId; 2] {
    let owner = fleet.owner(&workspace(0));
    let mut others = fleet.instances();
    others.retain(|id| *id != owner);
    others.try_into().expect("three instances")
}

fn refusal_kind(fleet: &Fleet, request: RequestId) -> Option<RefusalKind> {
    match fleet.step_of(request)? {
        JournalStep::Refuse(refusal) => Some(refusal.kind),
        JournalStep::Send { .. } | JournalStep::Replay(_) => None,
    }
}

#[test]
fn call_runs_once_and_a_repeat_gets_its_response() {
    let mut fleet = fleet();
    let [one, two] = non_owners(&fleet);
    let first = fleet
        .send_request(&one, &workspace(0), "k", 1)
        .expect("running");
    fleet.run(500);
    let again = fleet
        .send_request(&two, &workspace(0), "k", 1)
        .expect("running");
    fleet.run(500);
    assert!(matches!(
        fleet.step_of(first),
        Some(JournalStep::Send { .. })
    ));
    assert_eq!(
        fleet.step_of(again),
        Some(&JournalStep::Replay(stored_response(
            first,
            fleet.response_bytes
        )))
    );
    fleet.check_invariants();
}

#[test]
fn same_key_with_another_body_is_refused() {
    let mut fleet = fleet();
    let owner = fleet.owner(&workspace(0));
    fleet.send_request(&owner, &workspace(0), "k", 1);
    fleet.run(500);
    let other = fleet
        .send_request(&owner, &workspace(0), "k", 2)
        .expect("running");
    fleet.run(500);
    assert_eq!(refusal_kind(&fleet, other), Some(RefusalKind::KeyReused));
}

#[test]
fn same_key_of_another_workspace_is_another_call() {
    let mut fleet = fleet();
    let id = fleet.owner(&workspace(0));
    let one = fleet
        .send_request(&id, &workspace(0), "k", 1)
        .expect("running");
    let two = fleet
        .send_request(&id, &workspace(1), "k", 2)
        .expect("running");
    fleet.run(500);
    assert!(matches!(fleet.step_of(one), Some(JournalStep::Send { .. })));
    assert!(matches!(fleet.step_of(two), Some(JournalStep::Send { .. })));
}

#[test]
fn same_key_at_two_instances_at_once_runs_once_and_both_get_the_response() {
    let mut fleet = fleet();
    let [one, two] = non_owners(&fleet);
    let requests = [one, two].map(|id| {
        fleet
            .send_request(&id, &workspace(0), "k", 1)
            .expect("running")
    });
    fleet.run(1_500);
    let was_sent = requests.map(|id| matches!(fleet.step_of(id), Some(JournalStep::Send { .. })));
    let replayed = requests.map(|id| matches!(fleet.step_of(id), Some(JournalStep::Replay(_))));
    assert_eq!(was_sent.map(|it| !it), replayed);
    fleet.check_invariants();
}

#[test]
fn key_of_a_call_that_provably_did_not_run_is_free_again() {
    let mut fleet = fleet();
    let owner = fleet.owner(&workspace(0));
    fleet.service = ServiceMode::RefusesConnection;
    fleet.send_request(&owner, &workspace(0), "k", 1);
    fleet.run(800);
    fleet.service = ServiceMode::Responds;
    let again = fleet
        .send_request(&owner, &workspace(0), "k", 1)
        .expect("running");
    fleet.run(800);
    assert!(matches!(
        fleet.step_of(again),
        Some(JournalStep::Send { .. })
    ));
}

#[test]
fn call_whose_service_died_is_in_doubt_and_listed_whether_it_ran_or_not() {
    let mut fleet = fleet();
    let owner = fleet.owner(&workspace(0));
    for (service, name) in [
        (ServiceMode::DiesAfterRun, "k1"),
        (ServiceMode::DiesBeforeRun, "k2"),
    ] {
        fleet.service = service;
        fleet.send_request(&owner, &workspace(0), name, 1);
        fleet.run(800);
        let again = fleet
            .send_request(&owner, &workspace(0), name, 1)
            .expect("running");
        fleet.run(800);
        assert_eq!(refusal_kind(&fleet, again), Some(RefusalKind::InDoubt));
    }
    assert_eq!(fleet.journal(&owner).in_doubt().len(), 2);
    assert_eq!(fleet.notices.len(), 2);
}

#[test]
fn without_the_platform_nothing_is_sent_and_the_caller_is_refused() {
    let mut fleet = fleet();
    let owner = fleet.owner(&workspace(0));
    fleet.platform.unavailable_until = fleet.now + 10_000_000;
    let request = fleet
        .send_request(&owner, &workspace(0), "k", 1)
        .expect("running");
    fleet.run(4_000);
    assert_eq!(
        refusal_kind(&fleet, request),
        Some(RefusalKind::PlatformUnavailable)
    );
    assert!(fleet.runs.is_empty());
    fleet.run(8_000);
    let again = fleet
        .send_request(&owner, &workspace(0), "k", 1)
        .expect("running");
    fleet.run(1_000);
    assert!(matches!(
        fleet.step_of(again),
        Some(JournalStep::Send { .. })
    ));
    assert!(fleet.journal(&owner).is_quiet());
    fleet.check_invariants();
}

#[test]
fn late_write_of_a_frozen_owner_conflicts() {
    // Guards against a call that runs twice. The owner freezes while the write of an intent is in
    // flight, another owner takes over and lets the repeat run, and the first owner then resumes
    // and also replies `Send`.
    let mut fleet = fleet();
    let owner = fleet.owner(&workspace(0));
    let [one, two] = non_owners(&fleet);
    fleet.platform.max_delay_ms = 6_000;
    fleet.send_request(&one, &workspace(0), "k", 1);
    fleet.run(20);
    fleet.freeze(&owner, 8_000);
    fleet.run(2_000);
    fleet.remove_from_map(&owner);
    fleet.platform.max_delay_ms = 5;
    for _ in 0..20 {
        fleet.send_request(&two, &workspace(0), "k", 1);
        fleet.run(500);
    }
    fleet.check_invariants();
    assert_eq!(fleet.runs.len(), 1);
}

#[test]
fn call_whose_sender_is_gone_is_in_doubt_and_never_sent_again() {
    // Guards against a call that runs twice. The sender dies after it received `Send`, so it is not
    // known whether the call was sent, and the caller repeats the call at another instance.
    let mut fleet = fleet();
    let owner = fleet.owner(&workspace(0));
    let [one, two] = non_owners(&fleet);
    fleet.service_ms = 5_000;
    fleet.send_request(&one, &workspace(0), "k", 1);
    fleet.run(500);
    fleet.kill(&one);
    fleet.remove_from_map(&one);
    fleet.run(1_000);
    let again = fleet
        .send_request(&two, &workspace(0), "k", 1)
        .expect("running");
    fleet.run(1_000);
    assert_eq!(refusal_kind(&fleet, again), Some(RefusalKind::InDoubt));
    assert_eq!(fleet.journal(&owner).in_doubt().len(), 1);
    fleet.check_invariants();
}

#[test]
fn late_intent_of_an_abandoned_call_does_not_block_its_key() {
    // Guards against a key that stays blocked for a day. A request is abandoned while another request
    // makes the same call, and that call turns out not to have run. A duplicated intent of the
    // abandoned request then arrives and is recorded, but no instance will send that call.
    let mut fleet = fleet();
    let [one, two] = non_owners(&fleet);
    fleet.service = ServiceMode::RefusesConnection;
    fleet.service_ms = 6_000;
    fleet.duplicate_percent = 100;
    fleet.send_request(&one, &workspace(0), "k", 1);
    fleet.run(500);
    fleet.send_request(&two, &workspace(0), "k", 1);
    fleet.run(15_000);
    fleet.service = ServiceMode::Responds;
    fleet.service_ms = 10;
    let again = fleet
        .send_request(&one, &workspace(0), "k", 1)
        .expect("running");
    fleet.run(1_000);
    assert!(matches!(
        fleet.step_of(again),
        Some(JournalStep::Send { .. })
    ));
}

#[test]
fn body_too_large_to_keep_is_left_out_of_a_repeat() {
    let mut fleet = fleet();
    let owner = fleet.owner(&workspace(0));
    fleet.response_bytes = 20_000;
    fleet.send_request(&owner, &workspace(0), "k", 1);
    fleet.run(500);
    let again = fleet
        .send_request(&owner, &workspace(0), "k", 1)
        .expect("running");
    fleet.run(500);
    let Some(JournalStep::Replay(stored_response)) = fleet.step_of(again) else {
        panic!("a replay");
    };
    assert_eq!(
        (stored_response.status, &stored_response.body),
        (200, &None)
    );
}

#[test]
fn outcome_is_kept_for_the_retention_across_a_takeover_and_then_removed() {
    let mut fleet = Fleet::new(
        3,
        5,
        Tuning {
            outcome_retention: Duration::from_secs(20),
            ..Tuning::default()
        },
    );
    let [one, _two] = non_owners(&fleet);
    let first = fleet
        .send_request(&one, &workspace(0), "k", 1)
        .expect("running");
    fleet.run(10_000);
    let owner = fleet.owner(&workspace(0));
    fleet.kill(&owner);
    fleet.remove_from_map(&owner);
    fleet.run(8_000);
    let again = fleet
        .send_request(&one, &workspace(0), "k", 1)
        .expect("running");
    fleet.run(500);
    let kept = JournalStep::Replay(stored_response(first, fleet.response_bytes));
    assert_eq!(fleet.step_of(again), Some(&kept));
    fleet.run(25_000);
    let later = fleet
        .send_request(&one, &workspace(0), "k", 1)
        .expect("running");
    fleet.run(500);
    assert!(matches!(
        fleet.step_of(later),
        Some(JournalStep::Send { .. })
    ));
}

#[test]
fn journal_of_many_responses_spreads_over_objects_and_survives_takeovers() {
    // Guards against calls that are refused permanently, or that run twice after a takeover. A
    // workspace makes more calls in a day than one platform object can hold, and writes are lost
    // while its journal splits.
    let mut fleet = fleet();
    fleet.response_bytes = 12_000;
    fleet.platform.lost_percent = 45;
    let [one, two] = non_owners(&fleet);
    for round in 0..20 {
        for number in 0..12 {
            fleet.send_request(&one, &workspace(0), &format!("k{round}-{number}"), 1);
        }
        fleet.run(400);
    }
    fleet.run(5_000);
    let owner = fleet.owner(&workspace(0));
    fleet.kill(&owner);
    fleet.remove_from_map(&owner);
    fleet.platform.lost_percent = 0;
    fleet.run(5_000);
    let first: Vec<_> = fleet.attempts.keys().copied().collect();
    for number in 0..first.len() {
        fleet.send_request(
            &two,
            &workspace(0),
            &format!("k{}-{}", number / 12, number % 12),
            1,
        );
    }
    fleet.run(5_000);
    fleet.check_invariants();
    let (objects, longest, _all) = fleet.platform.size();
    assert!(objects >= 4, "{objects} objects");
    assert!(longest < 1_000_000, "{longest} bytes");
    let mut repeats = fleet
        .attempts
        .iter()
        .skip(first.len())
        .map(|(_id, attempt)| &attempt.step);
    assert!(repeats.all(|step| matches!(step, Some(JournalStep::Replay(_)))));
    fleet.run(1_000);
    assert!(fleet.journal(&two).is_quiet());
}

#[test]
fn conflicting_intent_write_sends_no_call() {
    // Guards against a call that runs twice. The owner itself holds the caller and freezes while
    // the write of the call's intent is in flight. Another owner takes over and lets a repeat of
    // the call run. The write then reaches the platform and conflicts, and the first owner resumes
    // with its old map.
    let mut fleet = fleet();
    let owner = fleet.owner(&workspace(0));
    let [one, _two] = non_owners(&fleet);
    fleet.send_request(&owner, &workspace(0), "other", 1);
    fleet.run(500);
    fleet.platform.next_delays_ms = Some((3_900, 4_000));
    let first = fleet
        .send_request(&owner, &workspace(0), "k", 1)
        .expect("running");
    fleet.freeze(&owner, 4_500);
    fleet.remove_from_map(&owner);
    fleet.run(1_000);
    let repeat = fleet
        .send_request(&one, &workspace(0), "k", 1)
        .expect("running");
    fleet.run(2_700);
    assert!(matches!(
        fleet.step_of(repeat),
        Some(JournalStep::Send { .. })
    ));
    fleet.run(6_000);
    assert!(!matches!(
        fleet.step_of(first),
        Some(JournalStep::Send { .. })
    ));
    fleet.check_invariants();
}

#[test]
fn calls_in_doubt_serialise_their_intent_as_ask() {
    // Guards against a change of the JSON field names: operators' tools read the list of calls in
    // doubt.
    let mut fleet = fleet();
    let owner = fleet.owner(&workspace(0));
    fleet.service = ServiceMode::DiesAfterRun;
    let request = fleet
        .send_request(&owner, &workspace(0), "k", 1)
        .expect("running");
    fleet.run(800);
    let listed = serde_json::to_value(fleet.journal(&owner).in_doubt()).expect("valid JSON");
    let expected = serde_json::json!([{
        "ask": {
            "request": request,
            "workspace": workspace(0),
            "service": "court",
            "key": "k",
            "fingerprint": 1,
        },
        "sender": owner,
    }]);
    assert_eq!(listed, expected);
}
