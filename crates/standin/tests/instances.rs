//! Instances that are killed, frozen or replaced, as real processes.
//!
//! Each test is bounded in time and ends with what must always hold, by what the fakes saw.

mod support;

use std::time::Duration;

use bluebellstage_standin::caller::Outcome;
use bluebellstage_standin::fleet::Signal;
use bluebellstage_standin::{CallKind, Fault, FaultKind};
use support::bench::{Bench, PATIENCE, all_answered, ask, bounded, signal};
use support::content::{KEY, filing, issue, reading};
use support::traffic::Traffic;

/// How long a stopped instance may take for what it has under way.
const STOP_LIMIT: Duration = Duration::from_mins(1);

/// Longer than a lease: standing lapses and peers take over.
const LONG_PAUSE: Duration = Duration::from_secs(5);

/// A write of the platform that takes longer than a filing needs to get there.
const SLOW_WRITE_MS: u64 = 1_500;

/// Time after which a filing's intent is on its way and not answered.
const IN_HAND: Duration = Duration::from_millis(500);

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

/// An operator's change is accepted, and the instance that accepted it is killed at once. The change
/// is in force on the others all the same, and on the new life: "accepted" never reverts.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn accepted_change_outlives_the_instance_that_accepted_it() {
    bounded(async {
        let mut bench = Bench::start("accepted").await;
        let one = "one".try_into().expect("a name");
        for index in 0..3 {
            let name = format!("outlives-{index}");
            let change = issue(&name, &one, &name);
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
