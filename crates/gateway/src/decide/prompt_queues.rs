//! Prompts of this instance's requests that engines have not started.
//!
//! An engine may be saturated although most of its slots are free: a few requests with long prompts
//! keep it processing prompts all the time. Its load is therefore measured in time, by its
//! [speed](super::pace), not in slots.

use std::collections::HashMap;
use std::time::Duration;

use bluebellstage_core::{TargetId, Time};
use slotmap::{SlotMap, new_key_type};

use super::ranked_tokens::{RankClass, RankedTokens};

new_key_type! {
    /// Identifies a request that was sent and has not started.
    pub struct WaitingKey;
}

/// How long a long wait is remembered.
const MAX_WAIT_RETENTION: Duration = Duration::from_secs(5);

/// A request that its engine has started.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StartedPrompt {
    /// The engine.
    pub target: TargetId,
    /// Prompt tokens that the engine processed since the request was sent.
    pub tokens: u64,
    /// Time since the request was sent.
    pub elapsed: Duration,
}

#[derive(Debug)]
struct WaitingPrompt {
    target: TargetId,
    class: RankClass,
    tokens: u64,
    /// Tokens that the engine processes before it, plus its own.
    queued_tokens: u64,
    sent_at: Time,
}

impl WaitingPrompt {
    /// Whether prompts that were sent later may have been processed before it. Then its wait does not show the
    /// engine's speed.
    const fn may_be_overtaken(&self) -> bool {
        !self.class.is_first() && self.queued_tokens > self.tokens
    }
}

#[derive(Debug, Default)]
struct Queue {
    /// Tokens of this instance's requests that have not started.
    local_tokens: RankedTokens,
    max_wait: Duration,
    max_wait_at: Time,
}

/// Prompt queues of all engines, as this instance knows them.
#[derive(Debug, Default)]
pub struct PromptQueues {
    waiting: SlotMap<WaitingKey, WaitingPrompt>,
    queues: HashMap<TargetId, Queue>,
}

impl PromptQueues {
    /// Records that a request of `class` with a prompt of `tokens` is sent to `target`, where peers have
    /// `others` queued.
    pub fn record_sent(
        &mut self,
        target: &TargetId,
        (class, tokens): (RankClass, u64),
        others: RankedTokens,
        now: Time,
    ) -> WaitingKey {
        let queue = self.queues.entry(target.clone()).or_default();
        queue.local_tokens.add(RankedTokens::of(class, tokens));
        let local = queue.local_tokens.ahead_of(class);
        self.waiting.insert(WaitingPrompt {
            target: target.clone(),
            class,
            tokens,
            queued_tokens: local.saturating_add(others.ahead_of(class)),
            sent_at: now,
        })
    }

    /// Records that the request has started. Returns what its engine did meanwhile; `None` if the request has no
    /// prompt or is unknown.
    pub fn record_started(&mut self, key: WaitingKey, now: Time) -> Option<StartedPrompt> {
        let waiting = self.take(key)?;
        let elapsed = now.since(waiting.sent_at);
        let queue = self.queues.get_mut(&waiting.target)?;
        if elapsed >= queue.max_wait || now.since(queue.max_wait_at) > MAX_WAIT_RETENTION {
            queue.max_wait = elapsed;
            queue.max_wait_at = now;
        }
        let shows_speed = waiting.tokens > 0 && !waiting.may_be_overtaken();
        shows_speed.then_some(StartedPrompt {
            target: waiting.target,
            tokens: waiting.queued_tokens,
            elapsed,
        })
    }

    /// Removes a request that ended without starting or was cancelled.
    pub fn remove(&mut self, key: WaitingKey) {
        let _known = self.take(key);
    }

    fn take(&mut self, key: WaitingKey) -> Option<WaitingPrompt> {
        let waiting = self.waiting.remove(key)?;
        if let Some(queue) = self.queues.get_mut(&waiting.target) {
            let tokens = RankedTokens::of(waiting.class, waiting.tokens);
            queue.local_tokens.subtract(tokens);
        }
        Some(waiting)
    }

    /// Returns the tokens of this instance's requests that wait at `target`.
    #[must_use]
    pub fn local_tokens(&self, target: &TargetId) -> RankedTokens {
        let queue = self.queues.get(target);
        queue.map_or_else(RankedTokens::default, |queue| queue.local_tokens)
    }

    /// Returns the longest time that a request of this instance recently took to start at `target`,
    /// including those still waiting.
    #[must_use]
    pub fn recent_max_wait(&self, target: &TargetId, now: Time) -> Duration {
        let known = self.queues.get(target);
        let recent = known.filter(|queue| now.since(queue.max_wait_at) <= MAX_WAIT_RETENTION);
        let recent = recent.map_or(Duration::ZERO, |queue| queue.max_wait);
        recent.max(self.oldest_wait(target, now))
    }

    /// Returns the age of the oldest request of this instance that waits at `target`.
    #[must_use]
    pub fn oldest_wait(&self, target: &TargetId, now: Time) -> Duration {
        if self.local_tokens(target).total() == 0 {
            return Duration::ZERO;
        }
        let at_target = self
            .waiting
            .values()
            .filter(|waiting| waiting.target == *target);
        let ages = at_target.map(|waiting| now.since(waiting.sent_at));
        ages.max().unwrap_or(Duration::ZERO)
    }

    /// Removes engines that no longer exist.
    pub fn retain_targets(&mut self, is_present: impl Fn(&TargetId) -> bool) {
        self.queues
            .retain(|target, queue| queue.local_tokens.total() > 0 || is_present(target));
    }
}
