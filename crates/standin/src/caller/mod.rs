//! A caller as the users write them: asks which instance to use, keeps the answer a while, connects
//! itself, honours `Retry-After`.

mod answer;
mod entry;
mod outcome;
mod work;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use reqwest::{Client, Response};
use tokio::time::timeout;

use self::answer::AnswerReader;
use self::entry::EntryCache;
pub use self::outcome::{Attempt, Outcome, Refused, Trace};
pub use self::work::{Draft, ServiceCall, Work};
use crate::clock::now;

/// Time to connect.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// Time without a byte after which a caller takes its connection for dead.
const SILENCE_LIMIT: Duration = Duration::from_mins(1);

/// Patience of a caller that waits for as long as its connection lives.
const NO_END: Duration = Duration::from_hours(1);

/// Pause before another instance is tried where no time was named.
const OTHER_PAUSE: Duration = Duration::from_millis(50);

/// One program that calls.
#[derive(Debug)]
pub struct Caller {
    http: Client,
    entries: EntryCache,
}

/// How a caller goes on after an attempt.
enum Next {
    Done,
    Again { after: Duration, elsewhere: bool },
}

impl Caller {
    /// A caller that knows some of the instances to ask.
    ///
    /// # Errors
    /// If no HTTP client can be made.
    pub fn new(known: Vec<SocketAddr>, seed: u64) -> eyre::Result<Self> {
        let http = Client::builder()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never())
            .tcp_nodelay(true)
            .connect_timeout(CONNECT_LIMIT)
            .read_timeout(SILENCE_LIMIT)
            .build()?;
        Ok(Self {
            entries: EntryCache::new(http.clone(), known, seed),
            http,
        })
    }

    /// Does a piece of work, with as many attempts as `patience` allows.
    pub async fn run(&self, key: &str, work: &Work, patience: Duration) -> Trace {
        let begun = Instant::now();
        let mut trace = Trace::new(now());
        loop {
            let left = patience.saturating_sub(begun.elapsed());
            let attempt = self.attempt_within(key, work, left).await;
            let next = next(&attempt, work);
            let address = attempt.address;
            trace.attempts.push(attempt);
            let Next::Again { after, elsewhere } = next else {
                return trace;
            };
            if begun.elapsed() + after > patience {
                return trace;
            }
            if let (true, Some(address)) = (elsewhere, address) {
                self.entries.avoid(address);
            }
            tokio::time::sleep(after).await;
        }
    }

    /// One attempt, without an end to its patience.
    pub async fn attempt(&self, key: &str, work: &Work) -> Attempt {
        self.attempt_within(key, work, NO_END).await
    }

    /// One attempt at a given instance, without an end to its patience.
    pub async fn attempt_at(&self, address: SocketAddr, key: &str, work: &Work) -> Attempt {
        self.attempt_at_within(address, key, work, NO_END).await
    }

    async fn attempt_within(&self, key: &str, work: &Work, patience: Duration) -> Attempt {
        let Some(address) = self.entries.pick().await else {
            return Attempt::nowhere(now());
        };
        self.attempt_at_within(address, key, work, patience).await
    }

    async fn attempt_at_within(
        &self,
        address: SocketAddr,
        key: &str,
        work: &Work,
        patience: Duration,
    ) -> Attempt {
        let sent = now();
        let sending = work.request(&self.http, address, key).send();
        let response = timeout(patience, sending).await;
        let mut attempt = Attempt::sent(sent, address);
        match response {
            Ok(Ok(response)) => read(&mut attempt, response, work).await,
            Ok(Err(err)) if err.is_connect() => attempt.outcome = Outcome::NotConnected,
            Ok(Err(_)) => attempt.outcome = Outcome::Broken,
            Err(_elapsed) => attempt.outcome = Outcome::HungUp,
        }
        attempt.ended = now();
        attempt
    }
}

async fn read(attempt: &mut Attempt, response: Response, work: &Work) {
    let id = response.headers().get("x-request-id");
    attempt.request_id = id.and_then(|id| id.to_str().ok()).map(Into::into);
    attempt.replayed = response.headers().contains_key("idempotent-replayed");
    let status = response.status();
    if !status.is_success() {
        let text = response.text().await.unwrap_or_default();
        attempt.outcome = Refused::parse(status.as_u16(), &text)
            .map_or(Outcome::Failed(status.as_u16()), Outcome::Refused);
        return;
    }
    match work {
        Work::Draft(_) => AnswerReader::new(attempt).read(response).await,
        Work::Call(_) => match response.text().await {
            Ok(text) => {
                attempt.text = text;
                attempt.outcome = Outcome::Answered;
            }
            Err(_) => attempt.outcome = Outcome::Broken,
        },
    }
}

fn next(attempt: &Attempt, work: &Work) -> Next {
    match &attempt.outcome {
        Outcome::Answered | Outcome::Failed(_) | Outcome::HungUp => Next::Done,
        Outcome::Refused(refused) => after_refusal(refused, work),
        // A filing goes out again under its own key, which makes the repeat safe.
        Outcome::NotConnected | Outcome::Nowhere | Outcome::Broken => Next::Again {
            after: OTHER_PAUSE,
            elsewhere: true,
        },
    }
}

fn after_refusal(refused: &Refused, work: &Work) -> Next {
    if let Some(after) = refused.retry_after {
        return Next::Again {
            after,
            elsewhere: false,
        };
    }
    let elsewhere = matches!(&*refused.kind, "no_standing" | "stopping");
    let broken = &*refused.kind == "target_failed" && work.is_idempotent();
    if elsewhere || broken {
        return Next::Again {
            after: OTHER_PAUSE,
            elsewhere,
        };
    }
    Next::Done
}
