//! Tests of the quarantine of prompt parts: which are refused when targets crash, and which are not.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use bluebellstage_core::{TargetId, Time, WorkspaceId};
use bluebellstage_gateway::decide::quarantine::{
    Crash, DecisionKind, EVALUATION_DELAY, Fingerprint, InterruptedPart, PartsAtCrash, PromptPart,
    Quarantine, QuarantineDecision, QuarantineMessage, Suspect,
};
use bluebellstage_gateway::decide::rendezvous::ShortHash;
use support::at;
use support::crashes::{CrashScenario, Outcome, SharedParts};

/// Maximum number of requests with a part that may be sent once five targets have crashed under it and the reports
/// have had time to arrive everywhere.
const MAX_AFTER_FIFTH: usize = 3;

/// Variable that sets the number of plays of each row of the table.
const PLAYS_VARIABLE: &str = "BLUEBELLSTAGE_PART_PLAYS";

const PARTS: SharedParts = SharedParts {
    first: 3,
    second: 107,
    bad: 0,
    bad_rate: 0,
    bad_from: 4_000,
};

fn small(seed: u64) -> CrashScenario {
    CrashScenario {
        instances: 8,
        engines: 9,
        rate: 80,
        adapters: 300,
        bad: 0,
        bodies: None,
        parts: Some(PARTS),
        outages: Vec::new(),
        loss_probability: 0.02,
        restart_ms: 5_000,
        duration_ms: 200..3_000,
        seconds: 20,
        seed,
    }
}

fn large(seed: u64) -> CrashScenario {
    CrashScenario {
        instances: 195,
        engines: 117,
        rate: 300,
        adapters: 5_000,
        seconds: 8,
        ..small(seed)
    }
}

fn with_bad_parts(scenario: CrashScenario, bad: u64, bad_rate: u32) -> CrashScenario {
    let parts = SharedParts {
        bad,
        bad_rate,
        ..PARTS
    };
    CrashScenario {
        parts: Some(parts),
        ..scenario
    }
}

fn with_outages(scenario: CrashScenario, gap_ms: usize, engines: usize) -> CrashScenario {
    let until = scenario.seconds * 1_000;
    let crashes = (2_000..until).step_by(gap_ms);
    CrashScenario {
        outages: crashes.map(|at| (at, engines)).collect(),
        ..scenario
    }
}

fn assert_stopped(seed: u64, outcome: &Outcome) {
    let late = outcome.sent_after_fifth.iter().max();
    assert!(late <= Some(&MAX_AFTER_FIFTH), "seed {seed}: {outcome:?}");
}

fn assert_none_refused(seed: u64, outcome: &Outcome) {
    assert_eq!(outcome.refused_by_part, 0, "seed {seed}: {outcome:?}");
}

/// Guards against requests that have only a part in common and crash one engine after the other.
#[test]
fn only_the_bad_part_among_many_is_refused() {
    for (seed, rate) in (0..6).zip([2, 10, 30, 2, 10, 30]) {
        let outcome = with_bad_parts(small(seed), 1, rate).run();
        assert_ne!(outcome.crashes_under_part, [0]);
        assert_stopped(seed, &outcome);
        assert_none_refused(seed, &outcome);
    }
}

/// Guards against reports of crashes and verdicts that don't reach all instances of a large fleet.
#[test]
fn only_the_bad_part_in_a_large_fleet_is_refused() {
    let outcome = with_bad_parts(large(1), 1, 30).run();
    assert_stopped(1, &outcome);
    assert_none_refused(1, &outcome);
}

/// Guards against refusing a sound part that is on nearly every engine, because each instance sees only its own few
/// requests at the engines that live on.
#[test]
fn no_part_is_refused_when_a_quarter_of_the_engines_crashes_in_a_large_fleet() {
    for seed in 0..4 {
        let scenario = CrashScenario {
            instances: 72,
            engines: 112,
            rate: 430,
            // Within half a second, each in an outage of its own.
            outages: (0..28).map(|idx| (3_000 + idx * 20, 1)).collect(),
            seconds: 6,
            ..large(seed)
        };
        assert_none_refused(seed, &scenario.run());
    }
}

/// Guards against refusing a sound part that many requests share because engines crash for another reason.
#[test]
fn no_part_is_refused_in_an_outage() {
    for seed in 0..4 {
        for (gap_ms, engines) in [(1_000, 1), (3_000, 4)] {
            let outcome = with_outages(small(seed), gap_ms, engines).run();
            assert_none_refused(seed, &outcome);
        }
    }
}

/// Guards against taking a part of a request for the cause if the request itself is.
#[test]
fn no_part_of_a_bad_request_is_refused() {
    for seed in 0..4 {
        let outcome = CrashScenario {
            bad: 1,
            ..small(seed)
        }
        .run();
        assert_none_refused(seed, &outcome);
        assert!(outcome.reached_after_third[0] <= MAX_AFTER_FIFTH);
    }
}

/// Guards against a bad part that hides behind engines which crash for another reason.
#[test]
fn a_bad_part_is_refused_in_an_outage() {
    for seed in 0..4 {
        let outcome = with_bad_parts(with_outages(small(seed), 1_000, 1), 1, 10).run();
        assert_stopped(seed, &outcome);
        assert_none_refused(seed, &outcome);
    }
}

fn request(idx: u64) -> Fingerprint {
    let workspace = WorkspaceId::try_from("north").unwrap();
    Fingerprint::of(Some(&workspace), "/draft/1", &idx.to_be_bytes())
}

const FIRST: PromptPart = PromptPart(1);
const BAD: PromptPart = PromptPart(0xbad);
const TWIN: PromptPart = PromptPart(0x2);

/// A part at a crash, with the time that its run had lasted in milliseconds.
fn interrupted(part: PromptPart, request_idx: u64, run_ms: u64) -> InterruptedPart {
    let run_time = Duration::from_millis(run_ms);
    InterruptedPart::new(part, request(request_idx), run_time, true)
}

fn crash(number: u64, parts: Vec<InterruptedPart>) -> Crash {
    Crash {
        parts,
        reporter: ShortHash::of("i1"),
        ..Crash::new(
            ShortHash::of(&format!("e{number}")),
            9,
            Duration::ZERO,
            Vec::new(),
        )
    }
}

/// Time of a crash; they are half a second apart.
fn crashed_at(number: u64) -> Time {
    at(10_000 + number * 500)
}

/// Records a crash and evaluates it. Returns the parts that are refused from then on.
fn record(quarantine: &mut Quarantine, number: u64, parts: Vec<InterruptedPart>) -> Vec<Suspect> {
    let now = crashed_at(number);
    quarantine.record_crash(&crash(number, parts), now);
    let refused = quarantine.evaluate(&[], now + EVALUATION_DELAY);
    refused.iter().map(|decision| decision.suspect).collect()
}

/// Records a complete response to a request with a part, which began at a time.
fn serve(quarantine: &mut Quarantine, part: PromptPart, begun: Time) -> Vec<QuarantineMessage> {
    let target = TargetId::try_from("e99").unwrap();
    let run = quarantine.runs.send(&target, request(77), &[part], begun);
    let run = run.unwrap();
    quarantine.runs.begin(run, begun);
    quarantine.runs.complete(run);
    quarantine.runs.end(run, begun + Duration::from_millis(50));
    quarantine.record_survivals(begun + Duration::from_millis(300))
}

/// Records crashes under the bad part and another one, each of another request. Returns the number of crashes after
/// which a part is refused, and that part.
fn crashes_until_refused(
    quarantine: &mut Quarantine,
    mut others: impl FnMut(u64) -> Vec<InterruptedPart>,
) -> Option<(u64, Vec<Suspect>)> {
    (1..=8).find_map(|number| {
        let mut parts = others(number);
        parts.push(interrupted(BAD, number, 60));
        let refused = record(quarantine, number, parts);
        (!refused.is_empty()).then_some((number, refused))
    })
}

#[test]
fn a_part_is_refused_after_at_most_five_crashes() {
    let mut quarantine = Quarantine::default();
    let refused = crashes_until_refused(&mut quarantine, |number| {
        vec![interrupted(FIRST, 100 + number, 2_500)]
    });
    let (crashes, parts) = refused.unwrap();
    assert!(crashes <= 5, "{crashes}");
    assert_eq!(parts, [Suspect::Part(BAD)]);
    let suspect = quarantine.refused_suspect(request(99), &[FIRST, BAD]);
    assert_eq!(suspect, Some(Suspect::Part(BAD)));
    assert_eq!(quarantine.refused_suspect(request(99), &[FIRST]), None);
}

/// Guards against taking a shared part of one request that is sent again and again for the cause.
#[test]
fn a_part_is_not_refused_for_crashes_of_one_request() {
    let mut quarantine = Quarantine::default();
    for number in 1..=8 {
        let refused = record(&mut quarantine, number, vec![interrupted(BAD, 1, 60)]);
        assert!(refused.is_empty());
    }
}

/// Guards against refusing the sound one of two parts that were in the same crashes.
#[test]
fn a_part_with_which_a_run_was_outlived_is_not_refused() {
    let mut quarantine = Quarantine::default();
    let refused = crashes_until_refused(&mut quarantine, |number| {
        vec![interrupted(TWIN, number, 60)]
    });
    assert_eq!(
        refused.unwrap().1.len(),
        1,
        "one of both stops all requests"
    );
    let mut quarantine = Quarantine::default();
    let refused = crashes_until_refused_while_a_twin_is_served(&mut quarantine);
    assert_eq!(refused, [Suspect::Part(BAD)]);
}

fn crashes_until_refused_while_a_twin_is_served(quarantine: &mut Quarantine) -> Vec<Suspect> {
    let mut refused = Vec::new();
    for number in 1..=8 {
        let parts = [BAD, TWIN].map(|part| interrupted(part, number, 60));
        refused.extend(record(quarantine, number, parts.to_vec()));
        if number == 2 {
            let begun = crashed_at(2) + Duration::from_millis(10);
            let messages = serve(quarantine, TWIN, begun);
            assert!(matches!(messages[..], [QuarantineMessage::Survived(_)]));
        }
    }
    refused
}

/// Guards against refusing a sound part whose evidence grows with each crash, where an instance has not heard of the
/// cause in one of them.
#[test]
fn a_part_is_not_refused_beside_one_that_stands_out_more() {
    let mut quarantine = Quarantine::default();
    serve(&mut quarantine, FIRST, at(9_000));
    for number in 1..=8 {
        let cause = Crash {
            reporter: ShortHash::of("i2"),
            ..crash(number, vec![interrupted(BAD, number, 60)])
        };
        if number != 3 {
            quarantine.apply(&QuarantineMessage::Crashed(cause), crashed_at(number));
        }
        let own = vec![interrupted(FIRST, 100 + number, 150)];
        assert!(record(&mut quarantine, number, own).is_empty());
    }
}

/// Guards against refusing a part that was running on other targets for longer.
#[test]
fn a_part_that_runs_longer_elsewhere_is_not_refused() {
    let mut quarantine = Quarantine::default();
    for number in 1..=8 {
        let part = InterruptedPart {
            elsewhere_ms: vec![400; 3],
            ..interrupted(FIRST, number, 60)
        };
        let crash = Crash {
            sampled_targets: 6,
            ..crash(number, vec![part])
        };
        quarantine.record_crash(&crash, crashed_at(number));
        assert!(quarantine.evaluate(&[], crashed_at(number)).is_empty());
    }
}

/// Guards against taking a bad part for a widespread one because other targets had only just begun it, too.
#[test]
fn a_part_that_begins_on_several_targets_at_once_is_refused() {
    let mut quarantine = Quarantine::default();
    let refused = (1..=5).flat_map(|number| {
        let now = crashed_at(number);
        let younger = Crash {
            reporter: ShortHash::of("i2"),
            ..crash(number, parts_of_a_young_run(number, now))
        };
        let younger = Crash {
            sampled_targets: 3,
            ..younger
        };
        quarantine.apply(&QuarantineMessage::Crashed(younger), now);
        let parts = vec![interrupted(BAD, number, 93)];
        record(&mut quarantine, number, parts)
    });
    assert_eq!(refused.collect::<Vec<_>>(), [Suspect::Part(BAD)]);
}

/// Returns what an instance reports that had begun the bad part 10 ms ago at the crashed target, and 70 ms ago at
/// another one.
fn parts_of_a_young_run(number: u64, now: Time) -> Vec<InterruptedPart> {
    let mut quarantine = Quarantine::default();
    let [crashed, other] = ["e1", "e2"].map(|name| TargetId::try_from(name).unwrap());
    for (target, age_ms) in [(&crashed, 10), (&other, 70)] {
        let begun = now - Duration::from_millis(age_ms);
        let request = request(1_000 * age_ms + number);
        let run = quarantine.runs.send(target, request, &[BAD], begun);
        quarantine.runs.begin(run.unwrap(), begun);
    }
    quarantine.runs.parts_at_crash(&crashed, now).parts
}

/// Guards against peers that go on suspecting a part that has proved sound elsewhere.
#[test]
fn a_survival_clears_a_part_at_peers() {
    let mut one = Quarantine::default();
    let mut two = Quarantine::default();
    for number in 1..=2 {
        let parts = vec![interrupted(TWIN, number, 60)];
        let messages = one.record_crash(&crash(number, parts), crashed_at(number));
        for message in messages {
            two.apply(&message, crashed_at(number));
        }
    }
    assert_eq!(two.suspected_parts().count(), 1);
    let begun = crashed_at(2) + Duration::from_millis(10);
    let target = TargetId::try_from("e99").unwrap();
    let run = one.runs.send(&target, request(77), &[TWIN], begun).unwrap();
    one.runs.begin(run, begun);
    let now = begun + Duration::from_millis(300);
    one.runs.complete(run);
    one.runs.end(run, now);
    for message in one.record_survivals(now) {
        assert!(two.apply(&message, now));
    }
    assert_eq!(two.suspected_parts().count(), 0);
}

/// Guards against a part that is cleared by a run under which its slow target then crashes, too.
#[test]
fn a_run_that_crashes_a_slow_target_clears_no_part() {
    let mut quarantine = Quarantine::default();
    for number in 1..=4 {
        let parts = vec![interrupted(BAD, number, 60)];
        quarantine.record_crash(&crash(number, parts), crashed_at(number));
    }
    let target = TargetId::try_from("e99").unwrap();
    let begun = crashed_at(4) + Duration::from_millis(10);
    let run = quarantine.runs.send(&target, request(77), &[BAD], begun);
    quarantine.runs.begin(run.unwrap(), begun);
    let crashed = begun + Duration::from_millis(400);
    assert!(quarantine.record_survivals(crashed).is_empty());
    assert!(quarantine.evaluate_parts(crashed).is_empty());
    let parts = quarantine.runs.parts_at_crash(&target, crashed).parts;
    assert_eq!(record(&mut quarantine, 5, parts), [Suspect::Part(BAD)]);
}

/// Guards against blaming a part of a request that was still waiting at the target.
#[test]
fn a_waiting_request_is_no_evidence_against_a_part_that_began_elsewhere() {
    let mut quarantine = Quarantine::default();
    for number in 1..=8 {
        let run_time = Duration::from_millis(20);
        let has_begun = number == 1;
        let waiting = InterruptedPart::new(TWIN, request(number), run_time, has_begun);
        let refused = record(&mut quarantine, number, vec![waiting]);
        assert!(refused.is_empty(), "after {number} crashes");
    }
}

/// Guards against a part that crashes targets before they respond, and so never begins.
#[test]
fn a_part_that_never_begins_is_refused() {
    let mut quarantine = Quarantine::default();
    let refused = (1..=5).flat_map(|number| {
        let run_time = Duration::from_millis(60);
        let waiting = InterruptedPart::new(BAD, request(number), run_time, false);
        record(&mut quarantine, number, vec![waiting])
    });
    assert_eq!(refused.collect::<Vec<_>>(), [Suspect::Part(BAD)]);
}

/// Guards against counting the report of one instance several times: it is sent again in further rounds.
#[test]
fn a_repeated_report_changes_nothing() {
    let mut quarantine = Quarantine::default();
    let message = QuarantineMessage::Crashed(crash(1, vec![interrupted(BAD, 1, 60)]));
    assert!(quarantine.apply(&message, crashed_at(1)));
    assert!(!quarantine.apply(&message, crashed_at(1)));
}

/// Guards against a crash report without the parts of a response that ended just before the crash.
#[test]
fn parts_at_a_crash_are_those_that_ran_or_had_only_just_ended() {
    let mut quarantine = Quarantine::default();
    let [crashed, other] = ["e1", "e2"].map(|name| TargetId::try_from(name).unwrap());
    let runs = &mut quarantine.runs;
    let early = runs.send(&crashed, request(1), &[TWIN], at(0)).unwrap();
    runs.begin(early, at(100));
    runs.end(early, at(800));
    let just_ended = runs.send(&crashed, request(2), &[FIRST], at(0)).unwrap();
    runs.begin(just_ended, at(900));
    runs.end(just_ended, at(950));
    let running = runs
        .send(&crashed, request(3), &[FIRST, BAD], at(0))
        .unwrap();
    runs.begin(running, at(960));
    runs.send(&other, request(4), &[FIRST], at(0)).unwrap();
    let PartsAtCrash { parts, .. } = runs.parts_at_crash(&crashed, at(1_000));
    let seen = parts
        .iter()
        .map(|part| (part.part, part.run_ms, part.total_ms));
    assert_eq!(seen.collect::<Vec<_>>(), [(FIRST, 100, 140), (BAD, 40, 40)]);
}

/// Guards against unbounded growth while targets crash and callers name parts that were never seen before.
#[test]
fn memory_is_bounded() {
    let mut quarantine = Quarantine::default();
    for number in 0..1_000 {
        let ids = number * 100..number * 100 + 100;
        let parts = ids.map(|id| interrupted(PromptPart(id), number, 60));
        let message = QuarantineMessage::Crashed(crash(number, parts.collect()));
        quarantine.apply(&message, at(number * 10));
    }
    assert!(quarantine.part_count() <= 64 * 100);
}

/// Guards against a decision on a part that can't be told from one on a request, in the store and between instances.
#[test]
fn a_decision_on_a_part_keeps_its_serialized_names() {
    let decision = QuarantineDecision::next(Suspect::Part(BAD), DecisionKind::Refused, None);
    let expected =
        serde_json::json!({ "request": "part-bad", "decision": "refused", "revision": 1 });
    assert_eq!(serde_json::to_value(decision).unwrap(), expected);
    assert_eq!("part-bad".parse(), Ok(Suspect::Part(BAD)));
    for bad in [
        "part-",
        "part-xyz",
        "part-+1",
        "part-11112222333344445",
        "bad",
    ] {
        assert!(bad.parse::<Suspect>().is_err(), "{bad}");
    }
}

/// A row of the table of what the quarantine does in many plays.
fn row(name: &str, plays: u64, scenario: impl Fn(u64) -> CrashScenario) {
    let outcomes = (0..plays).map(|seed| scenario(seed).run());
    let outcomes = outcomes.collect::<Vec<_>>();
    let mut crashes = BTreeMap::<usize, usize>::new();
    for count in outcomes
        .iter()
        .flat_map(|outcome| &outcome.crashes_under_part)
    {
        *crashes.entry(*count).or_default() += 1;
    }
    let late = outcomes
        .iter()
        .flat_map(|outcome| &outcome.sent_after_fifth);
    let too_late = late.clone().filter(|count| **count > MAX_AFTER_FIFTH);
    let served = outcomes.iter().map(|outcome| outcome.served).sum::<usize>();
    let refused = outcomes.iter().map(|outcome| outcome.refused_by_part);
    println!(
        "{name}: parts by crashes {crashes:?}; sent late at most {:?}, more than allowed for {}; refused {} of {served}",
        late.max(),
        too_late.count(),
        refused.sum::<usize>(),
    );
}

/// Prints a table of many plays, if their number is given.
#[test]
fn crashes_and_refusals_in_many_plays() {
    let plays = std::env::var(PLAYS_VARIABLE).ok();
    let Some(plays) = plays.and_then(|plays| plays.parse().ok()) else {
        return;
    };
    row("one bad part, 2 requests a second", plays, |seed| {
        with_bad_parts(small(seed), 1, 2)
    });
    row("10", plays, |seed| with_bad_parts(small(seed), 1, 10));
    row("30", plays, |seed| with_bad_parts(small(seed), 1, 30));
    row("two at once, 10", plays, |seed| {
        with_bad_parts(small(seed), 2, 10)
    });
    row("ten at once, 20", plays, |seed| {
        with_bad_parts(small(seed), 10, 20)
    });
    row("one, an engine crashes each second", plays, |seed| {
        with_bad_parts(with_outages(small(seed), 1_000, 1), 1, 10)
    });
    row("none, an engine crashes each second", plays, |seed| {
        with_outages(small(seed), 1_000, 1)
    });
    row("none, four each three seconds", plays, |seed| {
        with_outages(small(seed), 3_000, 4)
    });
    row("none, one each 0.2 s", plays, |seed| {
        with_outages(small(seed), 200, 1)
    });
    row("one bad whole request", plays, |seed| CrashScenario {
        bad: 1,
        ..small(seed)
    });
    row("ten bad whole requests", plays, |seed| CrashScenario {
        bad: 10,
        ..small(seed)
    });
    row("a bad request and a bad part", plays, |seed| {
        CrashScenario {
            bad: 1,
            ..with_bad_parts(small(seed), 1, 10)
        }
    });
    let large_plays = plays.div_ceil(20);
    row("195 instances, one bad part, 10", large_plays, |seed| {
        with_bad_parts(large(seed), 1, 10)
    });
    row("195 instances, 60", large_plays, |seed| {
        with_bad_parts(large(seed), 1, 60)
    });
    row("380 instances, 1,000 engines, 30", large_plays, |seed| {
        let scenario = CrashScenario {
            instances: 380,
            engines: 1_000,
            rate: 1_000,
            seconds: 7,
            ..large(seed)
        };
        with_bad_parts(scenario, 1, 30)
    });
}
