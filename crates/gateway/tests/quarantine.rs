//! Tests of the quarantine: which requests are refused when targets crash, and which are not.

mod support;

use std::time::Duration;

use bluebellstage_core::{TargetId, WorkspaceId};
use bluebellstage_gateway::decide::quarantine::{
    AgedDecision, Crash, DECISION_TTL, DecisionKind, EVALUATION_DELAY, Fingerprint, InterruptedRun,
    Quarantine, QuarantineDecision, QuarantineMessage, Suspect,
};
use bluebellstage_gateway::decide::rendezvous::ShortHash;
use support::at;
use support::crashes::{CrashScenario, Outcome};

/// Maximum number of targets that a request may reach once three have crashed under it and the report has had
/// time to arrive everywhere.
const MAX_AFTER_THIRD: usize = 3;

fn small(seed: u64) -> CrashScenario {
    CrashScenario {
        instances: 8,
        engines: 9,
        rate: 80,
        adapters: 300,
        bad: 0,
        bodies: None,
        parts: None,
        outages: Vec::new(),
        loss_probability: 0.02,
        restart_ms: 5_000,
        duration_ms: 200..3_000,
        seconds: 30,
        seed,
    }
}

fn large(seed: u64) -> CrashScenario {
    CrashScenario {
        instances: 195,
        engines: 117,
        rate: 300,
        adapters: 5_000,
        seconds: 12,
        ..small(seed)
    }
}

/// Returns outages in which this many engines crash together, at regular intervals.
fn series(gap_ms: u64, engines: usize) -> Vec<(u64, usize)> {
    let crashes = 2_000_u64..28_000;
    let crashes = crashes.step_by(usize::try_from(gap_ms).unwrap());
    crashes.map(|at| (at, engines)).collect()
}

fn assert_stopped(seed: u64, outcome: &Outcome) {
    let after = outcome
        .reached_after_third
        .iter()
        .copied()
        .max()
        .unwrap_or(0);
    assert!(after <= MAX_AFTER_THIRD, "seed {seed}: {outcome:?}");
}

/// Guards against refusing bystanders that were on the same engines as the cause.
#[test]
fn only_the_bad_request_among_many_is_refused() {
    for seed in 0..12 {
        let outcome = CrashScenario {
            bad: 1,
            ..small(seed)
        }
        .run();
        assert_stopped(seed, &outcome);
        assert_eq!(outcome.wrongly_refused, 0, "seed {seed}: {outcome:?}");
    }
}

/// Guards against bad requests that hide each other: with few engines left, they are on the same ones when
/// these crash.
#[test]
fn ten_concurrent_bad_requests_are_refused() {
    for seed in 0..12 {
        assert_stopped(
            seed,
            &CrashScenario {
                bad: 10,
                ..small(seed)
            }
            .run(),
        );
    }
}

/// Guards against crash counts that don't reach all instances of a large fleet.
#[test]
fn only_the_ten_bad_requests_in_a_large_fleet_are_refused() {
    let outcome = CrashScenario {
        bad: 10,
        ..large(1)
    }
    .run();
    assert_stopped(1, &outcome);
    assert_eq!(outcome.wrongly_refused, 0, "{outcome:?}");
}

/// Guards against taking bystanders for the cause while engines crash for another reason.
#[test]
fn no_request_is_refused_in_an_outage() {
    for seed in 0..8 {
        for outages in [series(1_000, 1), series(3_000, 4)] {
            let outcome = CrashScenario {
                outages,
                ..small(seed)
            }
            .run();
            assert_eq!(outcome.wrongly_refused, 0, "seed {seed}: {outcome:?}");
        }
    }
}

/// Guards against refusing a request that was on three crashed engines by coincidence.
#[test]
fn requests_on_three_crashed_engines_by_coincidence_are_served() {
    let outcomes = (0..8).map(|seed| {
        let outages = series(1_000, 1);
        CrashScenario {
            outages,
            ..small(seed)
        }
        .run()
    });
    let outcomes = outcomes.collect::<Vec<_>>();
    let served = outcomes
        .iter()
        .map(|outcome| outcome.interrupted_thrice_served)
        .sum::<usize>();
    assert!(
        served > 0,
        "no request was on three crashed engines, so nothing was tested"
    );
    assert!(outcomes.iter().all(|outcome| outcome.wrongly_refused == 0));
}

/// Guards against refusing a request that many callers send: it is on every target that crashes.
#[test]
fn frequent_requests_are_not_refused() {
    for seed in 0..8 {
        let drafts = CrashScenario {
            bodies: Some(5),
            outages: series(700, 1),
            ..small(seed)
        };
        let lookups = CrashScenario {
            bodies: Some(3),
            engines: 3,
            duration_ms: 10..40,
            outages: series(1_500, 1),
            ..small(seed)
        };
        for scenario in [drafts, lookups] {
            let outcome = scenario.run();
            assert_eq!(outcome.wrongly_refused, 0, "seed {seed}: {outcome:?}");
        }
    }
}

fn request(body: &str) -> Fingerprint {
    let workspace = WorkspaceId::try_from("north").unwrap();
    Fingerprint::of(Some(&workspace), "/draft/1?x=1", body.as_bytes())
}

fn suspect(body: &str) -> Suspect {
    Suspect::Request(request(body))
}

fn crash_of(incarnation: &str, interrupted: &[(&str, u64)]) -> Crash {
    let interrupted = interrupted.iter();
    let interrupted = interrupted
        .map(|(body, run_ms)| InterruptedRun::new(request(body), Duration::from_millis(*run_ms)));
    let interrupted = interrupted.collect();
    Crash::new(ShortHash::of(incarnation), 9, Duration::ZERO, interrupted)
}

fn requests_of(crash: &Crash) -> Vec<Fingerprint> {
    crash.interrupted.iter().map(|run| run.request).collect()
}

/// Lets targets crash one after the other, a second apart, and evaluates each crash.
fn crash_in_turn(quarantine: &mut Quarantine, crashes: &[Crash]) -> Vec<QuarantineDecision> {
    let mut refused = Vec::new();
    for (idx, crash) in (0_u64..).zip(crashes) {
        let now = at(idx * 1_000);
        quarantine.record_crash(crash, now);
        refused.extend(quarantine.evaluate(&requests_of(crash), now + EVALUATION_DELAY));
    }
    refused
}

#[test]
fn fingerprints_differ_by_workspace_path_and_body() {
    let [north, south] = ["north", "south"].map(|name| WorkspaceId::try_from(name).unwrap());
    let of = |workspace, path, body: &str| Fingerprint::of(workspace, path, body.as_bytes());
    let own = of(Some(&north), "/a", "b");
    assert_eq!(own, of(Some(&north), "/a", "b"));
    let others = [
        of(Some(&south), "/a", "b"),
        of(None, "/a", "b"),
        of(Some(&north), "/ab", ""),
        of(Some(&north), "/a", "c"),
    ];
    assert!(!others.contains(&own));
    assert_eq!(own.to_string().parse(), Ok(own));
    for bad in ["", "+f", "zz", &"0".repeat(33), &"+0".repeat(16)] {
        assert!(bad.parse::<Fingerprint>().is_err(), "{bad}");
    }
}

/// Guards against counting one crash twice: each instance that had requests on the target reports it.
#[test]
fn a_crash_reported_by_many_instances_counts_once() {
    let mut quarantine = Quarantine::default();
    let crash = crash_of("e1", &[("bad", 10)]);
    for _ in 0..8 {
        quarantine.apply(&QuarantineMessage::Crashed(crash.clone()), at(0));
        assert!(quarantine.evaluate(&requests_of(&crash), at(60)).is_empty());
    }
    assert_eq!(quarantine.crash_count(request("bad")), 1);
}

/// Guards against counting an outage that crashes several targets at once as several crashes: the runs on
/// them are one piece of evidence.
#[test]
fn simultaneous_crashes_are_one_piece_of_evidence() {
    let mut quarantine = Quarantine::default();
    for incarnation in ["e1", "e2", "e3", "e4", "e5", "e6", "e7"] {
        let crash = crash_of(incarnation, &[("common", 10)]);
        quarantine.record_crash(&crash, at(5));
        assert!(quarantine.evaluate(&requests_of(&crash), at(60)).is_empty());
    }
}

#[test]
fn a_complete_response_clears_a_request() {
    let mut quarantine = Quarantine::default();
    let crashes =
        ["e1", "e2", "e3"].map(|incarnation| crash_of(incarnation, &[("asked often", 40)]));
    assert!(crash_in_turn(&mut quarantine, &crashes[..2]).is_empty());
    let message = quarantine.record_served(request("asked often"), at(1_900));
    assert_eq!(
        message,
        Some(QuarantineMessage::Served(request("asked often")))
    );
    assert!(crash_in_turn(&mut quarantine, &crashes[2..]).is_empty());
    assert_eq!(quarantine.crash_count(request("asked often")), 0);
}

/// Guards against blaming a bystander for crashes that have a known cause.
#[test]
fn bystanders_of_a_known_cause_are_not_refused() {
    let mut quarantine = Quarantine::default();
    let with = |incarnation| crash_of(incarnation, &[("bad", 10), ("bystander", 900)]);
    let refused = crash_in_turn(&mut quarantine, &["e1", "e2", "e3"].map(with));
    let refused = refused.iter().map(|decision| decision.suspect);
    assert_eq!(refused.collect::<Vec<_>>(), [suspect("bad")]);
    assert!(quarantine.is_refused(request("bad")));
    let more = ["e4", "e5"].map(|incarnation| crash_of(incarnation, &[("bystander", 30)]));
    assert!(crash_in_turn(&mut quarantine, &more).is_empty());
}

/// Guards against refusing one of two requests that were always on the same targets, as the evidence against
/// both is alike.
#[test]
fn neither_of_two_requests_on_the_same_targets_is_refused_until_one_stands_out() {
    let mut quarantine = Quarantine::default();
    let both =
        ["e1", "e2", "e3"].map(|incarnation| crash_of(incarnation, &[("bad", 10), ("twin", 12)]));
    assert!(crash_in_turn(&mut quarantine, &both).is_empty());
    let alone = crash_of("e4", &[("bad", 10)]);
    quarantine.record_crash(&alone, at(9_000));
    let refused = quarantine.evaluate(&requests_of(&alone), at(9_060));
    assert_eq!(refused.len(), 1);
    assert!(!quarantine.is_refused(request("twin")));
}

#[test]
fn suspects_are_limited_to_a_subset_of_targets_that_changes_with_each_crash() {
    let mut quarantine = Quarantine::default();
    let targets = (0..90).map(|idx| TargetId::try_from(&*format!("e{idx}")).unwrap());
    let targets = targets.collect::<Vec<_>>();
    let partition = |quarantine: &Quarantine| {
        let apart = targets.iter();
        let apart =
            apart.filter(|target| quarantine.is_in_suspect_partition(request("bad"), target));
        apart.cloned().collect::<Vec<_>>()
    };
    quarantine.record_crash(&crash_of("e1", &[("bad", 10)]), at(0));
    let first = partition(&quarantine);
    quarantine.record_crash(&crash_of("e2", &[("bad", 10)]), at(1_000));
    let second = partition(&quarantine);
    assert!((15..45).contains(&first.len()));
    assert_ne!(first, second);
}

#[test]
fn an_older_decision_does_not_undo_an_operators_clearance() {
    let mut quarantine = Quarantine::default();
    let crashes = ["e1", "e2", "e3"].map(|incarnation| crash_of(incarnation, &[("bad", 10)]));
    let refused = crash_in_turn(&mut quarantine, &crashes);
    let cleared = quarantine.clear(suspect("bad"), at(4_000)).unwrap();
    assert_eq!(cleared.kind, DecisionKind::Cleared);
    assert!(!quarantine.is_refused(request("bad")));
    assert!(!quarantine.apply(&QuarantineMessage::Decided(refused[0]), at(4_100)));
    assert!(!quarantine.is_refused(request("bad")));
    assert_eq!(quarantine.clear(suspect("bad"), at(4_200)), None);
}

/// Guards against instances that hold different decisions but consider their state equal.
#[test]
fn digests_differ_by_decisions_and_are_zero_without_any() {
    let mut one = Quarantine::default();
    let mut two = Quarantine::default();
    assert_eq!(one.digest(), 0);
    let crashes = ["e1", "e2", "e3"].map(|incarnation| crash_of(incarnation, &[("bad", 10)]));
    crash_in_turn(&mut one, &crashes);
    assert_ne!(one.digest(), two.digest());
    let copies = one.decisions(at(5_000)).collect::<Vec<_>>();
    for AgedDecision { decision, age } in copies {
        assert!(two.adopt(decision, age, at(5_000)));
    }
    assert_eq!(one.digest(), two.digest());
    one.clear(suspect("bad"), at(6_000));
    assert_ne!(one.digest(), two.digest());
    let later = at(6_000) + DECISION_TTL;
    one.sweep(later);
    two.sweep(later);
    assert_eq!((one.digest(), two.digest()), (0, 0));
}

/// Guards against unbounded growth while targets crash and callers send requests that were never seen before.
#[test]
fn memory_is_bounded() {
    let mut quarantine = Quarantine::default();
    for idx in 0..3_000_u32 {
        let body = format!("body {idx}");
        let crash = crash_of(&format!("e{idx}"), &[(&body, 10)]);
        let now = at(u64::from(idx) * 10);
        quarantine.apply(&QuarantineMessage::Crashed(crash), now);
        quarantine.record_served(request(&format!("served {idx}")), now);
        let decision =
            QuarantineDecision::next(suspect(&format!("bad {idx}")), DecisionKind::Refused, None);
        quarantine.adopt(decision, Duration::ZERO, now);
    }
    assert!(quarantine.suspects().count() <= 256);
    assert!(quarantine.decisions(at(30_000)).count() <= 1_024);
    assert_eq!(quarantine.digest(), 0);
}

/// Guards against a lost datagram: a message is sent in three more rounds, with its current age.
#[test]
fn messages_are_sent_again_with_their_age() {
    let mut quarantine = Quarantine::default();
    let messages = quarantine.record_crash(&crash_of("e1", &[("bad", 10)]), at(0));
    quarantine.queue_resend(messages);
    let round = Duration::from_millis(100);
    let ages = (0..5).map(|_| match quarantine.messages_for_round(round).first() {
        Some(QuarantineMessage::Crashed(crash)) => Some(crash.age_ms),
        _ => None,
    });
    let ages = ages.collect::<Vec<_>>();
    assert_eq!(ages, [Some(100), Some(200), Some(300), None, None]);
}

/// Guards against a decision that never expires because instances copy it from each other in turn.
#[test]
fn a_copied_decision_expires_with_its_original() {
    let mut one = Quarantine::default();
    let mut two = Quarantine::default();
    let decision = QuarantineDecision::next(suspect("bad"), DecisionKind::Refused, None);
    one.adopt(decision, Duration::ZERO, at(0));
    let late = at(0) + DECISION_TTL - Duration::from_secs(1);
    let copies = one.decisions(late).collect::<Vec<_>>();
    two.adopt(copies[0].decision, copies[0].age, late);
    assert!(two.is_refused(request("bad")));
    let expired_at = at(0) + DECISION_TTL;
    assert_eq!(two.sweep(expired_at), [suspect("bad")]);
    assert!(!two.is_refused(request("bad")));
    assert!(!two.adopt(decision, DECISION_TTL, expired_at));
}

/// Guards against a crash that seems later than it was: the next run of its cause would seem to overlap with
/// it and would not count as evidence.
#[test]
fn a_forwarded_message_keeps_its_age() {
    let mut quarantine = Quarantine::default();
    let message = QuarantineMessage::Crashed(crash_of("e1", &[("bad", 10)]));
    quarantine.queue_forward(vec![message], at(0));
    let messages = quarantine.take_forwarded(at(25));
    let [QuarantineMessage::Crashed(crash)] = messages.as_slice() else {
        panic!("{messages:?}");
    };
    assert_eq!(crash.age_ms, 25);
    assert!(quarantine.take_forwarded(at(50)).is_empty());
}

/// Guards against a renamed field: decisions in the store are read by instances of other versions.
#[test]
fn a_decision_keeps_its_serialized_names() {
    let decision = QuarantineDecision::next(suspect("bad"), DecisionKind::Refused, None);
    let expected = serde_json::json!({
        "request": request("bad").to_string(),
        "decision": "refused",
        "revision": 1,
    });
    assert_eq!(serde_json::to_value(decision).unwrap(), expected);
}
