//! The journal on the plain path and at single failures.

#[expect(dead_code, reason = "this file needs a part of it")]
#[path = "support/journal_fleet.rs"]
mod journal_fleet;
#[path = "support/journal_platform.rs"]
mod journal_platform;
#[path = "support/journal_service.rs"]
mod journal_service;
#[expect(dead_code, reason = "this file needs a part of it")]
#[path = "support/rates_membership.rs"]
mod rates_membership;

use std::time::Duration;

use bluebellstage_core::journal::JournalStep;
use bluebellstage_core::{InstanceId, RefusalKind, RequestId, Tuning};
use journal_fleet::{Fleet, workspace};
use journal_service::{Service, answer};

fn fleet() -> Fleet {
    Fleet::new(3, 5, Tuning::default())
}

fn elsewhere(fleet: &Fleet) -> [InstanceId; 2] {
    let home = fleet.home(&workspace(0));
    let mut others = fleet.instances();
    others.retain(|id| *id != home);
    others.try_into().expect("three instances")
}

fn kind(fleet: &Fleet, request: RequestId) -> Option<RefusalKind> {
    match fleet.step_of(request)? {
        JournalStep::Refuse(refusal) => Some(refusal.kind),
        JournalStep::Send { .. } | JournalStep::Replay(_) => None,
    }
}

#[test]
fn call_runs_once_and_a_repeat_gets_its_answer() {
    let mut fleet = fleet();
    let [one, two] = elsewhere(&fleet);
    let first = fleet.ask(&one, &workspace(0), "k", 1).expect("running");
    fleet.run(500);
    let again = fleet.ask(&two, &workspace(0), "k", 1).expect("running");
    fleet.run(500);
    assert!(matches!(
        fleet.step_of(first),
        Some(JournalStep::Send { .. })
    ));
    assert_eq!(
        fleet.step_of(again),
        Some(&JournalStep::Replay(answer(first, fleet.answer_bytes)))
    );
    fleet.check();
}

#[test]
fn same_key_with_another_body_is_refused() {
    let mut fleet = fleet();
    let home = fleet.home(&workspace(0));
    fleet.ask(&home, &workspace(0), "k", 1);
    fleet.run(500);
    let other = fleet.ask(&home, &workspace(0), "k", 2).expect("running");
    fleet.run(500);
    assert_eq!(kind(&fleet, other), Some(RefusalKind::KeyReused));
}

#[test]
fn same_key_of_another_workspace_is_another_call() {
    let mut fleet = fleet();
    let id = fleet.home(&workspace(0));
    let one = fleet.ask(&id, &workspace(0), "k", 1).expect("running");
    let two = fleet.ask(&id, &workspace(1), "k", 2).expect("running");
    fleet.run(500);
    assert!(matches!(fleet.step_of(one), Some(JournalStep::Send { .. })));
    assert!(matches!(fleet.step_of(two), Some(JournalStep::Send { .. })));
}

#[test]
fn same_key_at_two_instances_at_once_runs_once_and_answers_both() {
    let mut fleet = fleet();
    let [one, two] = elsewhere(&fleet);
    let requests = [one, two].map(|id| fleet.ask(&id, &workspace(0), "k", 1).expect("running"));
    fleet.run(1_500);
    let went = requests.map(|id| matches!(fleet.step_of(id), Some(JournalStep::Send { .. })));
    let replayed = requests.map(|id| matches!(fleet.step_of(id), Some(JournalStep::Replay(_))));
    assert_eq!(went.map(|it| !it), replayed);
    fleet.check();
}

#[test]
fn key_of_a_call_that_provably_did_not_run_is_free_again() {
    let mut fleet = fleet();
    let home = fleet.home(&workspace(0));
    fleet.service = Service::Refuses;
    fleet.ask(&home, &workspace(0), "k", 1);
    fleet.run(800);
    fleet.service = Service::Answers;
    let again = fleet.ask(&home, &workspace(0), "k", 1).expect("running");
    fleet.run(800);
    assert!(matches!(
        fleet.step_of(again),
        Some(JournalStep::Send { .. })
    ));
}

#[test]
fn call_whose_service_died_is_in_doubt_and_listed_whether_it_ran_or_not() {
    let mut fleet = fleet();
    let home = fleet.home(&workspace(0));
    for (service, name) in [(Service::Dies, "k1"), (Service::DiesIdle, "k2")] {
        fleet.service = service;
        fleet.ask(&home, &workspace(0), name, 1);
        fleet.run(800);
        let again = fleet.ask(&home, &workspace(0), name, 1).expect("running");
        fleet.run(800);
        assert_eq!(kind(&fleet, again), Some(RefusalKind::InDoubt));
    }
    assert_eq!(fleet.journal(&home).in_doubt().len(), 2);
    assert_eq!(fleet.notices.len(), 2);
}

#[test]
fn without_the_platform_nothing_is_sent_and_the_caller_is_told_when_to_return() {
    let mut fleet = fleet();
    let home = fleet.home(&workspace(0));
    fleet.platform.away_until = fleet.now + 10_000_000;
    let request = fleet.ask(&home, &workspace(0), "k", 1).expect("running");
    fleet.run(4_000);
    assert_eq!(
        kind(&fleet, request),
        Some(RefusalKind::PlatformUnavailable)
    );
    assert!(fleet.runs.is_empty());
    fleet.run(8_000);
    let again = fleet.ask(&home, &workspace(0), "k", 1).expect("running");
    fleet.run(1_000);
    assert!(matches!(
        fleet.step_of(again),
        Some(JournalStep::Send { .. })
    ));
    assert!(fleet.journal(&home).is_quiet());
    fleet.check();
}

#[test]
fn frozen_home_that_writes_late_meets_a_conflict() {
    // A filing would run twice: the home freezes with an intent's write on its way, another home
    // takes over and lets the repeat run, and the first one thaws and says `Send` as well.
    let mut fleet = fleet();
    let home = fleet.home(&workspace(0));
    let [one, two] = elsewhere(&fleet);
    fleet.platform.longest_delay_ms = 6_000;
    fleet.ask(&one, &workspace(0), "k", 1);
    fleet.run(20);
    fleet.freeze(&home, 8_000);
    fleet.run(2_000);
    fleet.drop_from_map(&home);
    fleet.platform.longest_delay_ms = 5;
    for _ in 0..20 {
        fleet.ask(&two, &workspace(0), "k", 1);
        fleet.run(500);
    }
    fleet.check();
    assert_eq!(fleet.runs.len(), 1);
}

#[test]
fn call_whose_sender_is_gone_is_in_doubt_and_never_sent_again() {
    // A filing would run twice: its sender had its `Send` and dies, nobody knows whether it sent it,
    // and the caller repeats the call at another instance.
    let mut fleet = fleet();
    let home = fleet.home(&workspace(0));
    let [one, two] = elsewhere(&fleet);
    fleet.service_ms = 5_000;
    fleet.ask(&one, &workspace(0), "k", 1);
    fleet.run(500);
    fleet.kill(&one);
    fleet.drop_from_map(&one);
    fleet.run(1_000);
    let again = fleet.ask(&two, &workspace(0), "k", 1).expect("running");
    fleet.run(1_000);
    assert_eq!(kind(&fleet, again), Some(RefusalKind::InDoubt));
    assert_eq!(fleet.journal(&home).in_doubt().len(), 1);
    fleet.check();
}

#[test]
fn late_ask_of_a_call_given_up_does_not_block_its_key() {
    // A key would stay blocked for a day: a caller gave up waiting for another's run of the same
    // call, that run proves not run, and then a doubled ask of the first caller arrives and is
    // recorded as an intent that nobody will send.
    let mut fleet = fleet();
    let [one, two] = elsewhere(&fleet);
    fleet.service = Service::Refuses;
    fleet.service_ms = 6_000;
    fleet.doubled_percent = 100;
    fleet.ask(&one, &workspace(0), "k", 1);
    fleet.run(500);
    fleet.ask(&two, &workspace(0), "k", 1);
    fleet.run(15_000);
    fleet.service = Service::Answers;
    fleet.service_ms = 10;
    let again = fleet.ask(&one, &workspace(0), "k", 1).expect("running");
    fleet.run(1_000);
    assert!(matches!(
        fleet.step_of(again),
        Some(JournalStep::Send { .. })
    ));
}

#[test]
fn body_too_large_to_keep_is_left_out_of_a_repeat() {
    let mut fleet = fleet();
    let home = fleet.home(&workspace(0));
    fleet.answer_bytes = 20_000;
    fleet.ask(&home, &workspace(0), "k", 1);
    fleet.run(500);
    let again = fleet.ask(&home, &workspace(0), "k", 1).expect("running");
    fleet.run(500);
    let Some(JournalStep::Replay(answer)) = fleet.step_of(again) else {
        panic!("a replay");
    };
    assert_eq!((answer.status, &answer.body), (200, &None));
}

#[test]
fn outcome_is_kept_for_its_time_across_a_takeover_and_then_forgotten() {
    let mut fleet = Fleet::new(
        3,
        5,
        Tuning {
            outcome_retention: Duration::from_secs(20),
            ..Tuning::default()
        },
    );
    let [one, _two] = elsewhere(&fleet);
    let first = fleet.ask(&one, &workspace(0), "k", 1).expect("running");
    fleet.run(10_000);
    let home = fleet.home(&workspace(0));
    fleet.kill(&home);
    fleet.drop_from_map(&home);
    fleet.run(8_000);
    let again = fleet.ask(&one, &workspace(0), "k", 1).expect("running");
    fleet.run(500);
    let kept = JournalStep::Replay(answer(first, fleet.answer_bytes));
    assert_eq!(fleet.step_of(again), Some(&kept));
    fleet.run(25_000);
    let later = fleet.ask(&one, &workspace(0), "k", 1).expect("running");
    fleet.run(500);
    assert!(matches!(
        fleet.step_of(later),
        Some(JournalStep::Send { .. })
    ));
}

#[test]
fn journal_of_many_answers_spreads_over_objects_and_survives_takeovers() {
    // Filings would be refused for good, or run twice after a takeover: a workspace files more in
    // a day than one object of the platform holds, and writes are lost while its journal splits.
    let mut fleet = fleet();
    fleet.answer_bytes = 12_000;
    fleet.platform.lost_percent = 45;
    let [one, two] = elsewhere(&fleet);
    for round in 0..20 {
        for number in 0..12 {
            fleet.ask(&one, &workspace(0), &format!("k{round}-{number}"), 1);
        }
        fleet.run(400);
    }
    fleet.run(5_000);
    let home = fleet.home(&workspace(0));
    fleet.kill(&home);
    fleet.drop_from_map(&home);
    fleet.platform.lost_percent = 0;
    fleet.run(5_000);
    let first: Vec<_> = fleet.asked.keys().copied().collect();
    for number in 0..first.len() {
        fleet.ask(
            &two,
            &workspace(0),
            &format!("k{}-{}", number / 12, number % 12),
            1,
        );
    }
    fleet.run(5_000);
    fleet.check();
    let (objects, longest, _all) = fleet.platform.size();
    assert!(objects >= 4, "{objects} objects");
    assert!(longest < 1_000_000, "{longest} bytes");
    let mut repeats = fleet
        .asked
        .iter()
        .skip(first.len())
        .map(|(_id, asked)| &asked.step);
    assert!(repeats.all(|step| matches!(step, Some(JournalStep::Replay(_)))));
    fleet.run(1_000);
    assert!(fleet.journal(&two).is_quiet());
}

#[test]
fn write_that_met_a_conflict_lets_nothing_run() {
    // A filing would run twice: the home holds a caller itself and freezes with that call's intent
    // on its way. Another home takes over and lets a repeat of the call run. Then the intent's
    // write reaches the platform, conflicts, and the first home thaws, still under its old map.
    let mut fleet = fleet();
    let home = fleet.home(&workspace(0));
    let [one, _two] = elsewhere(&fleet);
    fleet.ask(&home, &workspace(0), "other", 1);
    fleet.run(500);
    fleet.platform.next_delays_ms = Some((3_900, 4_000));
    let first = fleet.ask(&home, &workspace(0), "k", 1).expect("running");
    fleet.freeze(&home, 4_500);
    fleet.drop_from_map(&home);
    fleet.run(1_000);
    let repeat = fleet.ask(&one, &workspace(0), "k", 1).expect("running");
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
    fleet.check();
}

#[test]
fn calls_in_doubt_serialise_their_intent_as_ask() {
    // Operators' tools read the list of calls in doubt as JSON: its field names must not change.
    let mut fleet = fleet();
    let home = fleet.home(&workspace(0));
    fleet.service = Service::Dies;
    let request = fleet.ask(&home, &workspace(0), "k", 1).expect("running");
    fleet.run(800);
    let listed = serde_json::to_value(fleet.journal(&home).in_doubt()).expect("valid JSON");
    let expected = serde_json::json!([{
        "ask": {
            "request": request,
            "workspace": workspace(0),
            "service": "court",
            "key": "k",
            "fingerprint": 1,
        },
        "sender": home,
    }]);
    assert_eq!(listed, expected);
}
