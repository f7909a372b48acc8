//! A fake of the platform's object API that may be away, slow, or lose its answers.

use std::collections::BTreeMap;

use bluebellstage_core::{
    Expected, ObjectName, ObjectVersion, PlatformCall, PlatformOp, PlatformReply, PlatformResponse,
    Time, Versioned,
};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// A late write takes effect this long after its answer was lost, at most.
const LATEST_EFFECT_MS: u64 = 3_000;

struct Stored {
    value: Box<str>,
    version: ObjectVersion,
}

/// A call between its sending and its answer.
pub struct Flight<C> {
    pub caller: C,
    pub call: PlatformCall,
    pub asked: Time,
    effect_at: Option<u64>,
    answer_at: u64,
    is_lost: bool,
    reply: Option<PlatformReply>,
}

/// The objects, and how calls go wrong; times in microseconds.
pub struct Platform<C> {
    objects: BTreeMap<ObjectName, Stored>,
    flights: Vec<Flight<C>>,
    last_version: u64,
    pub away_until: u64,
    pub lost_percent: u32,
    pub longest_delay_ms: u64,
    /// The next call takes effect and is answered after these times.
    pub next_delays_ms: Option<(u64, u64)>,
    pub writes: u64,
    pub reads: u64,
    pub bytes: u64,
}

impl<C> Platform<C> {
    pub const fn new() -> Self {
        Self {
            objects: BTreeMap::new(),
            flights: Vec::new(),
            last_version: 0,
            away_until: 0,
            lost_percent: 0,
            longest_delay_ms: 5,
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
        asked: Time,
        rng: &mut ChaCha8Rng,
    ) {
        let delay = |rng: &mut ChaCha8Rng, millis: u64| rng.random_range(0..=millis * 1_000);
        let away = now < self.away_until;
        let is_lost = !away && rng.random_range(0..100) < self.lost_percent;
        let mut effect_at = now + delay(rng, self.longest_delay_ms);
        let mut answer_at = effect_at + delay(rng, self.longest_delay_ms);
        if let Some((effect_ms, answer_ms)) = self.next_delays_ms.take() {
            effect_at = now + effect_ms * 1_000;
            answer_at = now + answer_ms * 1_000;
        }
        let effect_at = match (away, is_lost, rng.random_range(0..3)) {
            (true, ..) | (false, true, 0) => None,
            (false, true, 1) => Some(answer_at + delay(rng, LATEST_EFFECT_MS)),
            _ => Some(effect_at),
        };
        self.flights.push(Flight {
            caller,
            call,
            asked,
            effect_at,
            answer_at,
            is_lost,
            reply: None,
        });
    }

    /// Lets calls take effect, and gives those whose answer is due.
    pub fn run(&mut self, now: u64) -> Vec<(C, PlatformResponse)>
    where
        C: Clone,
    {
        self.flights.sort_by_key(|flight| flight.effect_at);
        let mut flights = std::mem::take(&mut self.flights);
        let mut answers = Vec::new();
        for flight in &mut flights {
            if flight.effect_at.is_some_and(|at| at <= now) && flight.reply.is_none() {
                flight.reply = Some(self.execute(&flight.call.op));
            }
            if flight.answer_at <= now {
                answers.push((flight.answer_at, flight.caller.clone(), answer(flight)));
                flight.answer_at = u64::MAX;
            }
        }
        let is_open = |flight: &Flight<C>| {
            flight.answer_at != u64::MAX || (flight.effect_at.is_some() && flight.reply.is_none())
        };
        self.flights = flights.into_iter().filter(is_open).collect();
        answers.sort_by_key(|(at, ..)| *at);
        answers
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

    /// How many objects there are, the longest value among them, and all values together.
    pub fn size(&self) -> (usize, usize, u64) {
        let lengths = self.objects.values().map(|stored| stored.value.len());
        let longest = lengths.clone().max().unwrap_or(0);
        (self.objects.len(), longest, lengths.sum::<usize>() as u64)
    }
}

fn answer<C>(flight: &Flight<C>) -> PlatformResponse {
    let reply = match &flight.reply {
        _ if flight.is_lost => PlatformReply::Unknown,
        None => PlatformReply::Unavailable,
        Some(reply) => reply.clone(),
    };
    PlatformResponse {
        id: flight.call.id,
        purpose: flight.call.purpose.clone(),
        sent_at: flight.asked,
        reply,
    }
}
