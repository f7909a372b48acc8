//! A simulation of the platform's object API that can be unavailable, be slow, or lose replies.

use std::collections::BTreeMap;

use bluebellstage_core::{
    Expected, ObjectName, ObjectVersion, PlatformCall, PlatformOp, PlatformReply, PlatformResponse,
    Time, Versioned,
};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Maximum time after the lost reply at which a late write takes effect.
const MAX_LATE_EFFECT_DELAY_MS: u64 = 3_000;

struct Stored {
    value: Box<str>,
    version: ObjectVersion,
}

/// A call that was sent and has not been replied to.
pub struct PendingCall<C> {
    pub caller: C,
    pub call: PlatformCall,
    pub sent_at: Time,
    effect_at: Option<u64>,
    reply_at: u64,
    is_lost: bool,
    reply: Option<PlatformReply>,
}

/// The stored objects and the injected failures. Times are in microseconds unless the name says
/// otherwise.
pub struct Platform<C> {
    objects: BTreeMap<ObjectName, Stored>,
    pending_calls: Vec<PendingCall<C>>,
    last_version: u64,
    pub unavailable_until: u64,
    pub lost_percent: u32,
    pub max_delay_ms: u64,
    /// Delays until the next call takes effect and until its reply.
    pub next_delays_ms: Option<(u64, u64)>,
    pub writes: u64,
    pub reads: u64,
    pub bytes: u64,
}

impl<C> Platform<C> {
    pub const fn new() -> Self {
        Self {
            objects: BTreeMap::new(),
            pending_calls: Vec::new(),
            last_version: 0,
            unavailable_until: 0,
            lost_percent: 0,
            max_delay_ms: 5,
            next_delays_ms: None,
            writes: 0,
            reads: 0,
            bytes: 0,
        }
    }

    pub fn call(
        &mut self,
        now: u64,
        caller: C,
        call: PlatformCall,
        sent_at: Time,
        rng: &mut ChaCha8Rng,
    ) {
        let delay = |rng: &mut ChaCha8Rng, millis: u64| rng.random_range(0..=millis * 1_000);
        let is_unavailable = now < self.unavailable_until;
        let is_lost = !is_unavailable && rng.random_range(0..100) < self.lost_percent;
        let mut effect_at = now + delay(rng, self.max_delay_ms);
        let mut reply_at = effect_at + delay(rng, self.max_delay_ms);
        if let Some((effect_ms, reply_ms)) = self.next_delays_ms.take() {
            effect_at = now + effect_ms * 1_000;
            reply_at = now + reply_ms * 1_000;
        }
        let effect_at = match (is_unavailable, is_lost, rng.random_range(0..3)) {
            (true, ..) | (false, true, 0) => None,
            (false, true, 1) => Some(reply_at + delay(rng, MAX_LATE_EFFECT_DELAY_MS)),
            _ => Some(effect_at),
        };
        self.pending_calls.push(PendingCall {
            caller,
            call,
            sent_at,
            effect_at,
            reply_at,
            is_lost,
            reply: None,
        });
    }

    /// Executes the calls that are due, and returns the replies that are due.
    pub fn run(&mut self, now: u64) -> Vec<(C, PlatformResponse)>
    where
        C: Clone,
    {
        self.pending_calls
            .sort_by_key(|pending_call| pending_call.effect_at);
        let mut pending_calls = std::mem::take(&mut self.pending_calls);
        let mut due_replies = Vec::new();
        for pending_call in &mut pending_calls {
            if pending_call.effect_at.is_some_and(|at| at <= now) && pending_call.reply.is_none() {
                pending_call.reply = Some(self.execute(&pending_call.call.op));
            }
            if pending_call.reply_at <= now {
                due_replies.push((
                    pending_call.reply_at,
                    pending_call.caller.clone(),
                    reply_to(pending_call),
                ));
                pending_call.reply_at = u64::MAX;
            }
        }
        let is_open = |pending_call: &PendingCall<C>| {
            pending_call.reply_at != u64::MAX
                || (pending_call.effect_at.is_some() && pending_call.reply.is_none())
        };
        self.pending_calls = pending_calls.into_iter().filter(is_open).collect();
        due_replies.sort_by_key(|(at, ..)| *at);
        due_replies
            .into_iter()
            .map(|(_at, caller, answer)| (caller, answer))
            .collect()
    }

    fn execute(&mut self, op: &PlatformOp) -> PlatformReply {
        match op {
            PlatformOp::Get { name } => {
                self.reads += 1;
                let found = self.objects.get(name);
                PlatformReply::Got(found.map(|stored| Versioned {
                    value: stored.value.clone(),
                    version: stored.version,
                }))
            }
            PlatformOp::Put {
                name,
                value,
                expected,
            } => self.put(name, value, *expected),
            other => panic!("the journal makes no such call: {other:?}"),
        }
    }

    fn put(&mut self, name: &ObjectName, value: &str, expected: Expected) -> PlatformReply {
        assert!(value.len() < 1_000_000, "{name} is over a megabyte");
        let found = match self.objects.get(name) {
            None => Expected::Absent,
            Some(stored) => Expected::Version(stored.version),
        };
        self.writes += 1;
        if found != expected {
            return PlatformReply::Conflict;
        }
        self.bytes += value.len() as u64;
        self.last_version += 1;
        let version = ObjectVersion(self.last_version);
        let stored = Stored {
            value: value.into(),
            version,
        };
        self.objects.insert(name.clone(), stored);
        PlatformReply::Written(version)
    }

    /// Returns the number of objects, the length of the longest value, and the total length of all
    /// values.
    pub fn size(&self) -> (usize, usize, u64) {
        let lengths = self.objects.values().map(|stored| stored.value.len());
        let longest = lengths.clone().max().unwrap_or(0);
        (self.objects.len(), longest, lengths.sum::<usize>() as u64)
    }
}

fn reply_to<C>(pending_call: &PendingCall<C>) -> PlatformResponse {
    let reply = match &pending_call.reply {
        _ if pending_call.is_lost => PlatformReply::Unknown,
        None => PlatformReply::Unavailable,
        Some(reply) => reply.clone(),
    };
    PlatformResponse {
        id: pending_call.call.id,
        purpose: pending_call.call.purpose.clone(),
        sent_at: pending_call.sent_at,
        reply,
    }
}
