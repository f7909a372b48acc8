//! Requests, keys and operators' changes through real processes.
//!
//! Each test is bounded in time and ends with what must always hold, by what the fakes saw.

mod support;

use std::time::Duration;

use bluebellstage_core::KeyId;
use bluebellstage_core::Revision;
use bluebellstage_core::catalogue::{ApplyOutcome, Change, ChangeRequest};
use bluebellstage_standin::caller::Outcome;
use support::bench::{Bench, PATIENCE, all_answered, ask, bounded, engine_runs};
use support::content::{KEY, OTHER_KEY, draft, filing, issue, reading};
use support::evidence::Sent;

/// Time between two looks at a stand-in's log.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);

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
                        expected: Some(Revision(revision)),
                        changes: vec![issue(&name, &one, &name)],
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
