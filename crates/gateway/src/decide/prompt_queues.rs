//! How long engines take to begin a request: the prompts that wait there, and the speed at which each
//! engine shows that it reads them.
//!
//! An engine may be full although most of its slots are free: a few requests with long prompts keep it
//! reading all the time. So its load is told in time, not in slots.

use std::collections::HashMap;
use std::time::Duration;

use bluebellstage_core::{TargetId, Time};
use slotmap::{SlotMap, new_key_type};

new_key_type! {
    /// Names a request that was sent and has not begun.
    pub struct WaitingKey;
}

/// Weight that what was learned keeps with each new outcome: an engine that turns slow shows after
/// ten of them.
const KEPT: f64 = 0.9;
/// Outcomes of one engine before its own speed is believed; until then it is taken for one like all.
const LEAST_OUTCOMES: u32 = 4;
/// Span in which a long wait is remembered.
const LONG_WAIT_LASTS: Duration = Duration::from_secs(5);
/// Least time that an outcome may have taken, in seconds: clocks tick in milliseconds.
const LEAST_SECONDS: f64 = 0.001;

/// Prompt tokens that were read over the time that passed, recent outcomes weighing more.
#[derive(Clone, Copy, Debug, Default)]
struct Pace {
    tokens: f64,
    seconds: f64,
    outcomes: u32,
}

impl Pace {
    fn learn(&mut self, tokens: f64, seconds: f64) {
        self.tokens = self.tokens * KEPT + tokens;
        self.seconds = self.seconds * KEPT + seconds;
        self.outcomes = self.outcomes.saturating_add(1);
    }

    /// Tokens a second; none before the first outcome.
    fn speed(&self) -> Option<f64> {
        (self.outcomes > 0 && self.tokens > 0.0).then(|| self.tokens / self.seconds)
    }
}

#[derive(Debug)]
struct Waiting {
    target: TargetId,
    tokens: u64,
    /// Tokens before it and its own.
    until_begun: u64,
    since: Time,
}

#[derive(Debug, Default)]
struct Queue {
    /// Tokens of this instance's requests that have not begun.
    own: u64,
    pace: Pace,
    longest: Duration,
    longest_at: Time,
}

/// The queues of all engines, as this instance knows them.
#[derive(Debug, Default)]
pub struct PromptQueues {
    waiting: SlotMap<WaitingKey, Waiting>,
    queues: HashMap<TargetId, Queue>,
    /// Pace of all engines together.
    typical: Pace,
}

#[expect(clippy::cast_precision_loss, reason = "tokens stay far below 2^52")]
fn number(tokens: u64) -> f64 {
    tokens as f64
}

impl PromptQueues {
    /// A request with a prompt of `tokens` goes to `target`, where peers have `others` waiting.
    pub fn sent(&mut self, target: &TargetId, tokens: u64, others: u64, now: Time) -> WaitingKey {
        let queue = self.queues.entry(target.clone()).or_default();
        queue.own += tokens;
        self.waiting.insert(Waiting {
            target: target.clone(),
            tokens,
            until_begun: queue.own + others,
            since: now,
        })
    }

    /// It has begun: how long that took is learned.
    pub fn began(&mut self, key: WaitingKey, now: Time) {
        let Some(waiting) = self.take(key) else {
            return;
        };
        let took = now.since(waiting.since);
        let Some(queue) = self.queues.get_mut(&waiting.target) else {
            return;
        };
        if took >= queue.longest || now.since(queue.longest_at) > LONG_WAIT_LASTS {
            queue.longest = took;
            queue.longest_at = now;
        }
        if waiting.tokens == 0 {
            return;
        }
        let tokens = number(waiting.until_begun);
        let seconds = took.as_secs_f64().max(LEAST_SECONDS);
        queue.pace.learn(tokens, seconds);
        self.typical.learn(tokens, seconds);
    }

    /// It ended without beginning, or was cancelled.
    pub fn gone(&mut self, key: WaitingKey) {
        let _known = self.take(key);
    }

    fn take(&mut self, key: WaitingKey) -> Option<Waiting> {
        let waiting = self.waiting.remove(key)?;
        if let Some(queue) = self.queues.get_mut(&waiting.target) {
            queue.own = queue.own.saturating_sub(waiting.tokens);
        }
        Some(waiting)
    }

    /// Tokens of this instance's requests that wait at `target`.
    #[must_use]
    pub fn own(&self, target: &TargetId) -> u64 {
        self.queues.get(target).map_or(0, |queue| queue.own)
    }

    /// Time that `target` needs to read `tokens`; zero while nothing is known of any engine's speed.
    #[must_use]
    pub fn reading(&self, target: &TargetId, tokens: u64) -> Duration {
        let own = self.queues.get(target).map(|queue| &queue.pace);
        let own = own.filter(|pace| pace.outcomes >= LEAST_OUTCOMES);
        let speed = own.unwrap_or(&self.typical).speed();
        speed.map_or(Duration::ZERO, |speed| {
            Duration::try_from_secs_f64(number(tokens) / speed).unwrap_or(Duration::MAX)
        })
    }

    /// Longest time that a request of this instance took to begin at `target` lately, those that
    /// still wait included.
    #[must_use]
    pub fn longest_wait(&self, target: &TargetId, now: Time) -> Duration {
        let known = self.queues.get(target);
        let lately = known.filter(|queue| now.since(queue.longest_at) <= LONG_WAIT_LASTS);
        let lately = lately.map_or(Duration::ZERO, |queue| queue.longest);
        lately.max(self.oldest(target, now))
    }

    /// Age of the oldest request of this instance that waits at `target`.
    #[must_use]
    pub fn oldest(&self, target: &TargetId, now: Time) -> Duration {
        if self.own(target) == 0 {
            return Duration::ZERO;
        }
        let there = self
            .waiting
            .values()
            .filter(|waiting| waiting.target == *target);
        let ages = there.map(|waiting| now.since(waiting.since));
        ages.max().unwrap_or(Duration::ZERO)
    }

    /// Forgets engines that are gone.
    pub fn keep(&mut self, present: impl Fn(&TargetId) -> bool) {
        self.queues
            .retain(|target, queue| queue.own > 0 || present(target));
    }
}
