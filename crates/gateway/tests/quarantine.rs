//! Requests under which targets end: which are refused, and who is not.

mod support;

use std::time::Duration;

use bluebellstage_core::{TargetId, WorkspaceId};
use bluebellstage_gateway::decide::quarantine::{
    AgedVerdict, CutRun, Decision, Ended, Fingerprint, JUDGED_AFTER, Quarantine, VERDICT_LASTS,
    Verdict, Word,
};
use bluebellstage_gateway::decide::rendezvous::ShortHash;
use support::at;
use support::crashes::{Crashes, Got};

/// Targets that a request may reach once three have ended under it and all could know.
const MOST_AFTER_THIRD: usize = 3;

fn small(seed: u64) -> Crashes {
    Crashes {
        instances: 8,
        engines: 9,
        rate: 80,
        adapters: 300,
        bad: 0,
        bodies: None,
        outages: Vec::new(),
        loss: 0.02,
        down_ms: 5_000,
        takes_ms: 200..3_000,
        seconds: 30,
        seed,
    }
}

fn large(seed: u64) -> Crashes {
    Crashes {
        instances: 195,
        engines: 117,
        rate: 300,
        adapters: 5_000,
        seconds: 12,
        ..small(seed)
    }
}

/// So many engines end together, again and again.
fn series(gap_ms: u64, engines: usize) -> Vec<(u64, usize)> {
    let ends = 2_000_u64..28_000;
    let ends = ends.step_by(usize::try_from(gap_ms).unwrap());
    ends.map(|at| (at, engines)).collect()
}

fn assert_stopped(seed: u64, got: &Got) {
    let after = got.after_third.iter().copied().max().unwrap_or(0);
    assert!(after <= MOST_AFTER_THIRD, "seed {seed}: {got:?}");
}

/// Guards against refusing bystanders that were on the same engines as the cause.
#[test]
fn one_bad_request_among_many_is_stopped_and_no_other() {
    for seed in 0..12 {
        let got = Crashes {
            bad: 1,
            ..small(seed)
        }
        .play();
        assert_stopped(seed, &got);
        assert_eq!(got.wronged, 0, "seed {seed}: {got:?}");
    }
}

/// Guards against bad requests that hide each other: on the few engines that are left they end together.
#[test]
fn ten_bad_requests_at_once_are_stopped() {
    for seed in 0..12 {
        assert_stopped(
            seed,
            &Crashes {
                bad: 10,
                ..small(seed)
            }
            .play(),
        );
    }
}

/// Guards against counts that don't reach all instances of a large fleet.
#[test]
fn ten_bad_requests_in_a_large_fleet_are_stopped_and_no_other() {
    let got = Crashes {
        bad: 10,
        ..large(1)
    }
    .play();
    assert_stopped(1, &got);
    assert_eq!(got.wronged, 0, "{got:?}");
}

/// Guards against taking bystanders for the cause while engines end for another reason.
#[test]
fn no_request_is_refused_in_an_outage() {
    for seed in 0..8 {
        for outages in [series(1_000, 1), series(3_000, 4)] {
            let got = Crashes {
                outages,
                ..small(seed)
            }
            .play();
            assert_eq!(got.wronged, 0, "seed {seed}: {got:?}");
        }
    }
}

/// Guards against refusing a request that was on three ended engines by chance.
#[test]
fn who_was_on_three_ended_engines_by_chance_is_served() {
    let plays = (0..8).map(|seed| {
        let outages = series(1_000, 1);
        Crashes {
            outages,
            ..small(seed)
        }
        .play()
    });
    let plays = plays.collect::<Vec<_>>();
    let served = plays.iter().map(|got| got.cut_thrice_served).sum::<usize>();
    assert!(served > 0, "nobody was on three: the play shows nothing");
    assert!(plays.iter().all(|got| got.wronged == 0));
}

/// Guards against refusing what many callers ask: it is on every target that ends.
#[test]
fn what_is_asked_all_the_time_is_not_refused() {
    for seed in 0..8 {
        let drafts = Crashes {
            bodies: Some(5),
            outages: series(700, 1),
            ..small(seed)
        };
        let lookups = Crashes {
            bodies: Some(3),
            engines: 3,
            takes_ms: 10..40,
            outages: series(1_500, 1),
            ..small(seed)
        };
        for play in [drafts, lookups] {
            let got = play.play();
            assert_eq!(got.wronged, 0, "seed {seed}: {got:?}");
        }
    }
}

fn request(body: &str) -> Fingerprint {
    let workspace = WorkspaceId::try_from("north").unwrap();
    Fingerprint::of(Some(&workspace), "/draft/1?x=1", body.as_bytes())
}

fn ended(life: &str, cuts: &[(&str, u64)]) -> Ended {
    let cuts = cuts.iter();
    let cuts = cuts.map(|(body, ran)| CutRun::new(request(body), Duration::from_millis(*ran)));
    Ended {
        life: ShortHash::of(life),
        targets: 9,
        age_ms: 0,
        cuts: cuts.collect(),
    }
}

fn on(ended: &Ended) -> Vec<Fingerprint> {
    ended.cuts.iter().map(|cut| cut.request).collect()
}

/// Lets targets end one after the other, a second apart, and judges each end.
fn play(quarantine: &mut Quarantine, ends: &[Ended]) -> Vec<Verdict> {
    let mut refused = Vec::new();
    for (idx, end) in (0_u64..).zip(ends) {
        let now = at(idx * 1_000);
        quarantine.ended(end, now);
        refused.extend(quarantine.judge(&on(end), now + JUDGED_AFTER));
    }
    refused
}

#[test]
fn a_fingerprint_tells_workspace_path_and_body_apart() {
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

/// Guards against counting one end twice: each instance that had requests there tells of it.
#[test]
fn an_end_that_many_tell_of_counts_once() {
    let mut quarantine = Quarantine::default();
    let end = ended("e1", &[("bad", 10)]);
    for _ in 0..8 {
        quarantine.take(&Word::Ended(end.clone()), at(0));
        assert!(quarantine.judge(&on(&end), at(60)).is_empty());
    }
    assert_eq!(quarantine.suspicion(request("bad")), 1);
}

/// Guards against an outage that ends several targets in one moment: the runs there are one piece of evidence.
#[test]
fn ends_in_one_moment_are_one_piece_of_evidence() {
    let mut quarantine = Quarantine::default();
    for life in ["e1", "e2", "e3", "e4", "e5", "e6", "e7"] {
        let end = ended(life, &[("common", 10)]);
        quarantine.ended(&end, at(5));
        assert!(quarantine.judge(&on(&end), at(60)).is_empty());
    }
}

#[test]
fn a_whole_answer_proves_a_request_harmless() {
    let mut quarantine = Quarantine::default();
    let ends = ["e1", "e2", "e3"].map(|life| ended(life, &[("asked often", 40)]));
    assert!(play(&mut quarantine, &ends[..2]).is_empty());
    let word = quarantine.served(request("asked often"), at(1_900));
    assert_eq!(word, Some(Word::Served(request("asked often"))));
    assert!(play(&mut quarantine, &ends[2..]).is_empty());
    assert_eq!(quarantine.suspicion(request("asked often")), 0);
}

/// Guards against blaming a bystander for ends that are explained.
#[test]
fn who_was_there_with_a_known_cause_is_not_blamed() {
    let mut quarantine = Quarantine::default();
    let with = |life| ended(life, &[("bad", 10), ("bystander", 900)]);
    let refused = play(&mut quarantine, &["e1", "e2", "e3"].map(with));
    let refused = refused.iter().map(|verdict| verdict.request);
    assert_eq!(refused.collect::<Vec<_>>(), [request("bad")]);
    assert!(quarantine.refuses(request("bad")));
    let more = ["e4", "e5"].map(|life| ended(life, &[("bystander", 30)]));
    assert!(play(&mut quarantine, &more).is_empty());
}

/// Guards against refusing one of two that were always together: neither stands out.
#[test]
fn two_that_were_on_the_same_targets_are_told_apart_before_one_is_refused() {
    let mut quarantine = Quarantine::default();
    let both = ["e1", "e2", "e3"].map(|life| ended(life, &[("bad", 10), ("twin", 12)]));
    assert!(play(&mut quarantine, &both).is_empty());
    let alone = ended("e4", &[("bad", 10)]);
    quarantine.ended(&alone, at(9_000));
    let refused = quarantine.judge(&on(&alone), at(9_060));
    assert_eq!(refused.len(), 1);
    assert!(!quarantine.refuses(request("twin")));
}

#[test]
fn suspects_are_sent_to_a_part_of_the_targets_that_changes_with_each_end() {
    let mut quarantine = Quarantine::default();
    let targets = (0..90).map(|idx| TargetId::try_from(&*format!("e{idx}")).unwrap());
    let targets = targets.collect::<Vec<_>>();
    let part = |quarantine: &Quarantine| {
        let apart = targets.iter();
        let apart = apart.filter(|target| quarantine.is_apart(request("bad"), target));
        apart.cloned().collect::<Vec<_>>()
    };
    quarantine.ended(&ended("e1", &[("bad", 10)]), at(0));
    let first = part(&quarantine);
    quarantine.ended(&ended("e2", &[("bad", 10)]), at(1_000));
    let second = part(&quarantine);
    assert!((15..45).contains(&first.len()));
    assert_ne!(first, second);
}

#[test]
fn an_operator_lets_a_request_through_and_no_older_word_undoes_it() {
    let mut quarantine = Quarantine::default();
    let ends = ["e1", "e2", "e3"].map(|life| ended(life, &[("bad", 10)]));
    let refused = play(&mut quarantine, &ends);
    let cleared = quarantine.clear(request("bad"), at(4_000)).unwrap();
    assert_eq!(cleared.decision, Decision::Cleared);
    assert!(!quarantine.refuses(request("bad")));
    assert!(!quarantine.take(&Word::Decided(refused[0]), at(4_100)));
    assert!(!quarantine.refuses(request("bad")));
    assert_eq!(quarantine.clear(request("bad"), at(4_200)), None);
}

/// Guards against instances that hold other verdicts and take each other for alike.
#[test]
fn a_digest_tells_verdicts_apart_and_is_zero_without_any() {
    let mut one = Quarantine::default();
    let mut two = Quarantine::default();
    assert_eq!(one.digest(), 0);
    let ends = ["e1", "e2", "e3"].map(|life| ended(life, &[("bad", 10)]));
    play(&mut one, &ends);
    assert_ne!(one.digest(), two.digest());
    let copies = one.verdicts(at(5_000)).collect::<Vec<_>>();
    for AgedVerdict { verdict, age } in copies {
        assert!(two.adopt(verdict, age, at(5_000)));
    }
    assert_eq!(one.digest(), two.digest());
    one.clear(request("bad"), at(6_000));
    assert_ne!(one.digest(), two.digest());
    let later = at(6_000) + VERDICT_LASTS;
    one.sweep(later);
    two.sweep(later);
    assert_eq!((one.digest(), two.digest()), (0, 0));
}

/// Guards against growing without end while targets end and callers send what was never seen before.
#[test]
fn what_is_kept_is_bounded() {
    let mut quarantine = Quarantine::default();
    for idx in 0..3_000_u32 {
        let body = format!("body {idx}");
        let end = ended(&format!("e{idx}"), &[(&body, 10)]);
        let now = at(u64::from(idx) * 10);
        quarantine.take(&Word::Ended(end), now);
        quarantine.served(request(&format!("served {idx}")), now);
        let verdict = Verdict::next(request(&format!("bad {idx}")), Decision::Refused, None);
        quarantine.adopt(verdict, Duration::ZERO, now);
    }
    assert!(quarantine.suspected().count() <= 256);
    assert!(quarantine.verdicts(at(30_000)).count() <= 1_024);
    assert_eq!(quarantine.digest(), 0);
}

/// Guards against a lost datagram: a word is told in three more rounds, with its age.
#[test]
fn words_are_told_again_with_their_age() {
    let mut quarantine = Quarantine::default();
    let words = quarantine.ended(&ended("e1", &[("bad", 10)]), at(0));
    quarantine.tell_again(words);
    let round = Duration::from_millis(100);
    let ages = (0..5).map(|_| match quarantine.tell_round(round).first() {
        Some(Word::Ended(ended)) => Some(ended.age_ms),
        _ => None,
    });
    let ages = ages.collect::<Vec<_>>();
    assert_eq!(ages, [Some(100), Some(200), Some(300), None, None]);
}

/// Guards against a verdict that never ends, as instances copy it from each other in turn.
#[test]
fn a_copied_verdict_ends_with_the_one_that_it_was_copied_from() {
    let mut one = Quarantine::default();
    let mut two = Quarantine::default();
    let verdict = Verdict::next(request("bad"), Decision::Refused, None);
    one.adopt(verdict, Duration::ZERO, at(0));
    let late = at(0) + VERDICT_LASTS - Duration::from_secs(1);
    let copies = one.verdicts(late).collect::<Vec<_>>();
    two.adopt(copies[0].verdict, copies[0].age, late);
    assert!(two.refuses(request("bad")));
    let over = at(0) + VERDICT_LASTS;
    assert_eq!(two.sweep(over), [request("bad")]);
    assert!(!two.refuses(request("bad")));
    assert!(!two.adopt(verdict, VERDICT_LASTS, over));
}

/// Guards against an end that seems later than it was: the next run of its cause would seem to have been under way
/// with it, and count for nothing.
#[test]
fn a_word_that_is_passed_on_keeps_its_age() {
    let mut quarantine = Quarantine::default();
    let word = Word::Ended(ended("e1", &[("bad", 10)]));
    quarantine.pass_on(vec![word], at(0));
    let words = quarantine.take_passed_on(at(25));
    let [Word::Ended(ended)] = words.as_slice() else {
        panic!("{words:?}");
    };
    assert_eq!(ended.age_ms, 25);
    assert!(quarantine.take_passed_on(at(50)).is_empty());
}
