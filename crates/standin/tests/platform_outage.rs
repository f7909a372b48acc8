//! A platform that hangs or loses its answers, under real processes.
//!
//! Each test is bounded in time and ends with what must always hold, by what the fakes saw.

mod support;

use std::time::Duration;

use bluebellstage_standin::caller::Outcome;
use bluebellstage_standin::{CallKind, Fault, FaultKind};
use support::bench::{Bench, all_answered, ask, bounded};
use support::content::{KEY, draft, filing, reading};
use support::traffic::Traffic;

/// Longer than a lease: standing lapses and peers take over.
const LONG_PAUSE: Duration = Duration::from_secs(5);

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
