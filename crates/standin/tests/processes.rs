//! Real processes against the fakes: what only processes show.
//!
//! Each test is bounded in time and holds at its end, by what the fakes saw: no key reached them, no
//! filing ran twice, no adapter in use was evicted, every "not run" was true, every answer was whole,
//! its own, and from what it asked for.

mod support;

use std::time::Duration;

use bluebellstage_core::KeyId;
use bluebellstage_core::catalogue::{ApplyOutcome, Change, ChangeRequest};
use bluebellstage_standin::caller::{Outcome, Work};
use bluebellstage_standin::fleet::Signal;
use bluebellstage_standin::{CallKind, Fault, FaultKind};
use support::bench::{Bench, KEY, OTHER_KEY, PATIENCE, Sent, Traffic, draft, filing, reading};
use tokio::sync::Semaphore;
use tokio::time::timeout;

/// Bound on each test; a verdict comes long before, or never.
const LIMIT: Duration = Duration::from_mins(3);

/// How long a stopped instance may take for what it has under way.
const STOP_LIMIT: Duration = Duration::from_mins(1);

/// Longer than a lease: standing lapses and peers take over.
const LONG_PAUSE: Duration = Duration::from_secs(5);

/// Each test starts a dozen processes: a few at once are enough for a shared machine.
static AT_ONCE: Semaphore = Semaphore::const_new(2);

/// Time between two looks at a stand-in's log.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);

/// A write of the platform that takes longer than a filing needs to get there.
const SLOW_WRITE_MS: u64 = 1_500;

/// Time after which a filing's intent is on its way and not answered.
const IN_HAND: Duration = Duration::from_millis(500);

async fn bounded(test: impl Future<Output = ()>) {
    let _permit = AT_ONCE.acquire().await.expect("it is never closed");
    timeout(LIMIT, test).await.expect("the test ends in time");
}

async fn ask(bench: &Bench, key: &str, work: Work) -> Sent {
    let trace = bench.caller(0).run(key, &work, PATIENCE).await;
    Sent { work, trace }
}

fn all_answered(traces: &[Sent]) {
    for sent in traces {
        assert_eq!(sent.last().outcome, Outcome::Answered, "{sent:?}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_path_drafts_reads_and_files_once() {
    bounded(async {
        let bench = Bench::start("path").await;
        let mut traces = Vec::new();
        traces.push(ask(&bench, KEY, draft(0, "A plan.", 30)).await);
        traces.push(ask(&bench, KEY, reading("cases/7")).await);
        traces.push(ask(&bench, KEY, filing("filing-1")).await);
        all_answered(&traces);

        for index in 0..3 {
            let work = filing("filing-1");
            let trace = bench.caller_of(index).run(KEY, &work, PATIENCE).await;
            let repeat = Sent { work, trace };
            assert!(repeat.last().replayed, "{repeat:?}");
            assert_eq!(repeat.last().text, traces[2].last().text);
        }
        let unknown = ask(&bench, "no-such-key", draft(0, "A plan.", 5)).await;
        assert_eq!(unknown.refusals().collect::<Vec<_>>(), ["key_refused"]);
        let foreign = ask(&bench, OTHER_KEY, draft(0, "A plan.", 5)).await;
        assert_eq!(foreign.refusals().collect::<Vec<_>>(), ["not_found"]);
        // What callers write reaches targets: a key among it is refused at the door.
        let leak = ask(&bench, KEY, draft(0, &format!("My key is {KEY}."), 5)).await;
        assert_eq!(leak.refusals().collect::<Vec<_>>(), ["malformed"]);
        let leak = ask(&bench, KEY, reading(&format!("cases?key={KEY}"))).await;
        assert_eq!(leak.refusals().collect::<Vec<_>>(), ["malformed"]);
        bench.finish(&traces).await;
    })
    .await;
}

/// A caller sees its work go on although an instance is killed under load: streams at the killed
/// instance break, their callers ask another one. The killed instance was home of workspaces and
/// engines; without a takeover their work would stand still.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn killed_instance_stops_no_work_and_doubles_none() {
    bounded(async {
        let mut bench = Bench::start("killed").await;
        let traffic = Traffic::start(&bench, 6);
        traffic.more(20).await;
        bench.fleet.kill_instance(0).await;
        traffic.more(40).await;
        bench
            .fleet
            .start_instance(0)
            .await
            .expect("a new life starts");
        traffic.more(20).await;
        let traces = traffic.stop().await;
        for sent in &traces {
            let in_doubt = sent.refusals().any(|kind| kind == "in_doubt");
            let answered = sent.last().outcome == Outcome::Answered;
            assert!(answered || in_doubt, "{sent:?}");
        }
        bench.finish(&traces).await;
    })
    .await;
}

/// A filing arrives at an instance that is frozen past its lease; others take its homes over. When
/// it thaws it still believes that it may act, and what it had in hand would run a second time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn frozen_instance_doubles_nothing_after_its_thaw() {
    bounded(async {
        let bench = Bench::start("frozen").await;
        let traffic = Traffic::start(&bench, 6);
        for index in 0..3 {
            traffic.more(10).await;
            signal(&bench, index, Signal::Stop).await;
            tokio::time::sleep(LONG_PAUSE).await;
            signal(&bench, index, Signal::Continue).await;
        }
        traffic.more(20).await;
        let traces = traffic.stop().await;
        bench.finish(&traces).await;
    })
    .await;
}

/// A caller sees one whole answer although the engine's connection was cut in its middle: the
/// instance resumes the stream from the last token that it delivered, or the answer would have a
/// gap or a doubled piece.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cut_streams_arrive_whole() {
    bounded(async {
        let bench = Bench::start("cut").await;
        for (number, engine) in bench.fleet.engines.iter().enumerate() {
            let cut = Fault::new(CallKind::Generate, FaultKind::Cut);
            let after = 3 + 4 * u64::try_from(number).expect("a few engines");
            engine
                .fault(&cut.after_tokens(after))
                .await
                .expect("a fault");
        }
        let mut traces = Vec::new();
        for number in 0..12 {
            let work = draft(number, &format!("Plan {number}."), 40);
            traces.push(ask(&bench, KEY, work).await);
        }
        all_answered(&traces);
        bench.finish(&traces).await;
    })
    .await;
}

/// A caller sees one whole answer although its engine restarted in mid-answer and forgot the stream:
/// the draft goes on at another engine, on the same adapter, from what was delivered.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restarted_engines_leave_whole_answers() {
    bounded(async {
        let bench = Bench::start("restart").await;
        let traffic = Traffic::start(&bench, 6);
        for round in 0..6 {
            traffic.more(8).await;
            bench.fleet.engines[round % 3]
                .restart()
                .await
                .expect("a restart");
        }
        traffic.more(10).await;
        let traces = traffic.stop().await;
        all_answered(&traces);
        bench.finish(&traces).await;
    })
    .await;
}

/// The platform takes calls and answers none. Drafts and readings go on; a filing can't be recorded
/// and is refused as not run, which its caller may believe: the service never saw it. When the
/// platform is back the same filing runs, once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn hanging_platform_stops_filings_only_and_truly() {
    bounded(async {
        let bench = Bench::start("hanging").await;
        let mut traces = vec![ask(&bench, KEY, draft(0, "Before.", 10)).await];
        let freeze = Fault::new(CallKind::All, FaultKind::Freeze);
        bench.fleet.platform.fault(&freeze).await.expect("a fault");
        tokio::time::sleep(LONG_PAUSE).await;

        traces.push(ask(&bench, KEY, draft(1, "Meanwhile.", 10)).await);
        traces.push(ask(&bench, KEY, reading("cases/9")).await);
        all_answered(&traces);
        let attempt = bench.caller(1).attempt(KEY, &filing("filing-away")).await;
        let Outcome::Refused(refused) = &attempt.outcome else {
            panic!("refused without the platform: {attempt:?}");
        };
        assert_eq!(
            (&*refused.kind, &*refused.ran),
            ("platform_unavailable", "no")
        );
        assert!(refused.retry_after.is_some());
        assert_eq!(bench.service_runs().await.get("filing-away"), None);

        bench
            .fleet
            .platform
            .heal()
            .await
            .expect("the platform is back");
        let again = ask(&bench, KEY, filing("filing-away")).await;
        traces.push(again);
        all_answered(&traces);
        assert_eq!(bench.service_runs().await.get("filing-away"), Some(&1));
        bench.finish(&traces).await;
    })
    .await;
}

/// The platform does what it is told to, but its answers are lost: the instance can't know whether
/// its intent stands. Dispatching in the belief that it does not, or writing a second one, would run
/// a filing twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_answers_of_the_platform_double_no_filing() {
    bounded(async {
        let bench = Bench::start("lost").await;
        let traffic = Traffic::start(&bench, 6);
        for _ in 0..8 {
            traffic.more(6).await;
            let lose = Fault::new(CallKind::Put, FaultKind::LoseAnswer).times(3);
            bench.fleet.platform.fault(&lose).await.expect("a fault");
        }
        traffic.more(10).await;
        let traces = traffic.stop().await;
        bench.finish(&traces).await;
    })
    .await;
}

/// A service files and dies before it answers. Nobody knows whether the filing ran; the caller is
/// told so, and repeats under the same key at every instance never send it again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn filing_whose_answer_is_lost_stays_in_doubt() {
    bounded(async {
        let bench = Bench::start("doubt").await;
        for service in &bench.fleet.services {
            let lose = Fault::new(CallKind::Call, FaultKind::LoseAnswer);
            service.fault(&lose).await.expect("a fault");
        }
        let attempt = bench.caller(0).attempt(KEY, &filing("filing-lost")).await;
        let Outcome::Refused(refused) = &attempt.outcome else {
            panic!("the service gave no answer: {attempt:?}");
        };
        assert_eq!(&*refused.ran, "unknown");
        for service in &bench.fleet.services {
            service.heal().await.expect("the service answers again");
        }
        for index in 0..3 {
            let work = filing("filing-lost");
            let again = bench.caller_of(index).attempt(KEY, &work).await;
            let Outcome::Refused(refused) = &again.outcome else {
                panic!("in doubt: {again:?}");
            };
            assert_eq!((&*refused.kind, &*refused.ran), ("in_doubt", "unknown"));
        }
        assert_eq!(bench.service_runs().await.get("filing-lost"), Some(&1));
        bench.finish(&[]).await;
    })
    .await;
}

/// All instances are replaced one after the other under load. A planned stop cuts off nobody: no
/// connection breaks in the middle of an answer, and no caller finds its instance's port closed
/// while the answer of `/v1/entry` that named it is still fresh.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn rolling_all_instances_cuts_no_request() {
    bounded(async {
        let mut bench = Bench::start("rolling").await;
        let traffic = Traffic::start(&bench, 6);
        for index in 0..3 {
            traffic.more(10).await;
            signal(&bench, index, Signal::Terminate).await;
            let process = bench.fleet.instances[index].process.as_mut();
            let status = process.expect("it runs").wait(STOP_LIMIT).await;
            assert!(status.is_some_and(|status| status.success()), "{status:?}");
            bench
                .fleet
                .start_instance(index)
                .await
                .expect("a new life starts");
            bench.fleet.wait_ready().await.expect("it gets ready");
        }
        traffic.more(10).await;
        let traces = traffic.stop().await;
        for sent in &traces {
            for attempt in &sent.trace.attempts {
                let cut = matches!(attempt.outcome, Outcome::Broken | Outcome::NotConnected);
                assert!(!cut, "a planned stop cut a request: {sent:?}");
            }
        }
        all_answered(&traces);
        bench.finish(&traces).await;
    })
    .await;
}

/// An operator withdraws a key through one instance while an answer for it streams through another.
/// Within seconds the stream ends with the refusal, and every instance refuses the key: a key in
/// wrong hands must not live on in an open connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn withdrawn_key_ends_its_open_stream_and_works_nowhere() {
    bounded(async {
        let bench = Bench::start("withdrawn").await;
        let before = engine_runs(&bench).await;
        let caller = bench.caller_of(1);
        let work = draft(0, "A long plan, all of it.", 1_900);
        let stream = tokio::spawn(async move {
            let trace = caller.attempt(KEY, &work).await;
            (work, trace)
        });
        while engine_runs(&bench).await == before {
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
        let withdrawal = Change::WithdrawKey(KeyId::try_from("one-key").expect("a name"));
        let admin = &bench.fleet.instances[0].admin;
        let revision = admin
            .apply("withdrawal", &[withdrawal])
            .await
            .expect("accepted");
        bench.fleet.wait_revision(revision).await.expect("in force");
        for index in 0..3 {
            let attempt = bench
                .caller_of(index)
                .attempt(KEY, &draft(0, "More.", 5))
                .await;
            let refused =
                matches!(&attempt.outcome, Outcome::Refused(one) if &*one.kind == "key_refused");
            assert!(refused, "{attempt:?}");
        }
        let (_, attempt) = stream.await.expect("the caller does not panic");
        assert!(
            matches!(&attempt.outcome, Outcome::Refused(one) if &*one.kind == "key_refused"),
            "the stream is ended: {:?}",
            attempt.outcome
        );
        bench.finish(&[]).await;
    })
    .await;
}

/// Three operators change the catalogue from the same revision through three instances at once. One
/// wins; the others are told that they are stale, and nothing of theirs is in force: else one of
/// them would have overwritten what it never saw.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn racing_operators_overwrite_nothing() {
    bounded(async {
        let bench = Bench::start("racing").await;
        let one = "one".try_into().expect("a name");
        for round in 0..5 {
            let shown = bench.fleet.instances[0].admin.read("catalogue").await;
            let revision = shown.expect("a catalogue")["revision"]
                .as_u64()
                .expect("a number");
            let offers = bench
                .fleet
                .instances
                .iter()
                .enumerate()
                .map(|(index, instance)| {
                    let name = format!("race-{round}-{index}");
                    let request = ChangeRequest {
                        id: name.as_str().try_into().expect("a name"),
                        expected: Some(bluebellstage_core::Revision(revision)),
                        changes: vec![support::bench::issue(&name, &one, &name)],
                    };
                    let admin = instance.admin.clone();
                    async move { admin.offer(&request).await.expect("an outcome") }
                });
            let outcomes = futures::future::join_all(offers).await;
            let accepted: Vec<_> = outcomes
                .iter()
                .enumerate()
                .filter(|(_, outcome)| matches!(outcome, ApplyOutcome::Accepted { .. }))
                .collect();
            let [(winner, ApplyOutcome::Accepted { revision })] = *accepted else {
                panic!("exactly one is accepted: {outcomes:?}");
            };
            bench
                .fleet
                .wait_revision(revision.0)
                .await
                .expect("in force");
            for instance in &bench.fleet.instances {
                let shown = instance.admin.read("catalogue").await.expect("a catalogue");
                let text = shown["keys"].to_string();
                for index in 0..3 {
                    let there = text.contains(&format!("\"race-{round}-{index}\""));
                    assert_eq!(there, index == winner, "{text}");
                }
            }
        }
        bench.finish(&[]).await;
    })
    .await;
}

/// A filing waits for its intent's write, which is slow, at an instance that then freezes. Its caller
/// repeats it at another instance, which takes the journal over. The first one thaws, its write
/// answered or not: if it dispatched now, the filing would run twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn filing_in_hand_of_a_frozen_instance_runs_once() {
    bounded(async {
        let bench = Bench::start("in-hand").await;
        for index in 0..3 {
            let name = format!("filing-in-hand-{index}");
            let slow = Fault::new(CallKind::Put, FaultKind::Delay);
            let slow = slow.delay_ms(SLOW_WRITE_MS);
            bench.fleet.platform.fault(&slow).await.expect("a fault");
            let caller = bench.caller_of(index);
            let work = filing(&name);
            let first = tokio::spawn(async move { caller.attempt(KEY, &work).await });
            tokio::time::sleep(IN_HAND).await;
            signal(&bench, index, Signal::Stop).await;
            tokio::time::sleep(LONG_PAUSE).await;
            bench
                .fleet
                .platform
                .heal()
                .await
                .expect("writes are quick again");
            let repeat = bench
                .caller_of((index + 1) % 3)
                .attempt(KEY, &filing(&name))
                .await;
            signal(&bench, index, Signal::Continue).await;
            let first = first.await.expect("the caller does not panic");
            let last = ask(&bench, KEY, filing(&name)).await;
            let runs = bench.service_runs().await.get(&name).copied().unwrap_or(0);
            assert!(runs <= 1, "ran {runs} times: {first:?} {repeat:?} {last:?}");
            let answered = last.last().outcome == Outcome::Answered;
            let in_doubt = last.refusals().any(|kind| kind == "in_doubt");
            assert!(answered || in_doubt, "{last:?}");
        }
        bench.finish(&[]).await;
    })
    .await;
}

/// An operator's change is accepted, and the instance that accepted it is killed at once. The change
/// is in force on the others all the same, and on the new life: "accepted" never reverts.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn accepted_change_outlives_the_instance_that_accepted_it() {
    bounded(async {
        let mut bench = Bench::start("accepted").await;
        let one = "one".try_into().expect("a name");
        for index in 0..3 {
            let name = format!("outlives-{index}");
            let change = support::bench::issue(&name, &one, &name);
            let admin = bench.fleet.instances[index].admin.clone();
            let revision = admin.apply(&name, &[change]).await.expect("accepted");
            bench.fleet.kill_instance(index).await;
            bench
                .fleet
                .wait_revision(revision)
                .await
                .expect("in force on the others");
            bench
                .fleet
                .start_instance(index)
                .await
                .expect("a new life starts");
            bench.fleet.wait_ready().await.expect("it gets ready");
            bench
                .fleet
                .wait_revision(revision)
                .await
                .expect("in force on the new life");
            for other in 0..3 {
                let caller = bench.caller_of(other);
                let trace = caller.run(&name, &reading("cases/1"), PATIENCE).await;
                assert!(trace.is_answered(), "{trace:?}");
            }
        }
        bench.finish(&[]).await;
    })
    .await;
}

/// An engine refuses new work because it is leaving. Its drafts go on elsewhere, and no caller sees
/// more of it than a moment's wait.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leaving_engine_loses_no_draft() {
    bounded(async {
        let bench = Bench::start("leaving").await;
        let traffic = Traffic::start(&bench, 6);
        traffic.more(20).await;
        let leaving = &bench.fleet.engines[0];
        leaving
            .post("/control/drain", &())
            .await
            .expect("it drains");
        traffic.more(40).await;
        let traces = traffic.stop().await;
        all_answered(&traces);
        bench.finish(&traces).await;
    })
    .await;
}

async fn engine_runs(bench: &Bench) -> usize {
    let logs = bench.engine_logs().await;
    logs.iter().map(|log| log.runs.len()).sum()
}

async fn signal(bench: &Bench, index: usize, signal: Signal) {
    let process = bench.fleet.instances[index].process.as_ref();
    process
        .expect("it runs")
        .signal(signal)
        .await
        .expect("a signal");
}
