//! Callers that go on while things fail.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use bluebellstage_standin::caller::Work;
use tokio::task::JoinSet;

use super::bench::{Bench, PATIENCE};
use super::content::{KEY, draft, filing, reading};
use super::evidence::Sent;

/// Callers that send one piece of work after the other until they are told to stop.
pub struct Traffic {
    going: Arc<AtomicBool>,
    sent: Arc<AtomicUsize>,
    tasks: JoinSet<Vec<Sent>>,
}

impl Traffic {
    pub fn start(bench: &Bench, callers: u64) -> Self {
        let going = Arc::new(AtomicBool::new(true));
        let sent = Arc::new(AtomicUsize::new(0));
        let mut tasks = JoinSet::new();
        for number in 0..callers {
            let caller = bench.caller(number);
            let (going, sent) = (Arc::clone(&going), Arc::clone(&sent));
            tasks.spawn(async move {
                let mut traces = Vec::new();
                let mut count = 0;
                while going.load(Ordering::Relaxed) {
                    let work = some_work(number, count);
                    let trace = caller.run(KEY, &work, PATIENCE).await;
                    traces.push(Sent { work, trace });
                    sent.fetch_add(1, Ordering::Relaxed);
                    count += 1;
                }
                traces
            });
        }
        Self { going, sent, tasks }
    }

    /// Waits until so many more pieces of work have ended.
    pub async fn more(&self, count: usize) {
        let until = self.sent.load(Ordering::Relaxed) + count;
        while self.sent.load(Ordering::Relaxed) < until {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    pub async fn stop(mut self) -> Vec<Sent> {
        self.going.store(false, Ordering::Relaxed);
        let mut traces = Vec::new();
        while let Some(joined) = self.tasks.join_next().await {
            traces.extend(joined.expect("callers don't panic"));
        }
        traces
    }
}

/// Drafts, readings and filings in turn.
fn some_work(caller: u64, count: usize) -> Work {
    match count % 4 {
        0 | 2 => draft(count, &format!("Plan {count} of caller {caller}."), 24),
        1 => reading(&format!("cases/{caller}-{count}")),
        _ => filing(&format!("filing-{caller}-{count}")),
    }
}
