//! A simulated plain target that falls over when it has to refuse too many requests in a second.

use std::time::Duration;

use bluebellstage_core::Time;

use super::event::Attempt;

const SECOND: Duration = Duration::from_secs(1);
/// Time for which a target that fell over is away.
const AWAY: Duration = Duration::from_secs(3);

/// How the targets of a simulation behave.
#[derive(Clone, Copy, Debug)]
pub struct TargetModel {
    /// Requests that a target says it runs at once.
    pub slots: u32,
    /// Requests that it runs at once.
    pub room: u32,
    /// Refusals that it bears in a second.
    pub max_refusals: u32,
    /// Time that a request takes.
    pub run_time: Duration,
}

impl TargetModel {
    /// Targets that run so many requests at once, bear six refusals a second and are quick.
    pub const fn with_slots(slots: u32) -> Self {
        Self {
            slots,
            room: slots,
            max_refusals: 6,
            run_time: Duration::from_millis(15),
        }
    }
}

/// What a target does with a request that arrives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Arrival {
    /// No process with that incarnation is there.
    Unreachable,
    /// The process stands still and takes the request later.
    Held,
    Runs,
    Refused,
}

#[derive(Clone, Debug)]
pub struct SimulatedTarget {
    model: TargetModel,
    pub born: u64,
    pub running: u32,
    /// Whether it has no room whatever it runs.
    pub is_full: bool,
    away_until: Option<Time>,
    /// Until when the process stands still.
    pub silent_until: Option<Time>,
    /// Requests that arrived while the process stood still.
    held: Vec<Attempt>,
    refusals: Vec<Time>,
    /// Times that it fell over.
    pub falls: usize,
    /// Largest number of refusals in a second.
    pub worst_second: usize,
}

impl SimulatedTarget {
    pub const fn new(model: TargetModel) -> Self {
        Self {
            model,
            born: 1,
            running: 0,
            is_full: false,
            away_until: None,
            silent_until: None,
            held: Vec::new(),
            refusals: Vec::new(),
            falls: 0,
            worst_second: 0,
        }
    }

    pub const fn is_away(&self) -> bool {
        self.away_until.is_some()
    }

    /// Starts again if it has been away for long enough. Returns whether it has.
    pub fn returns(&mut self, now: Time) -> bool {
        if self.away_until.is_none_or(|until| until > now) {
            return false;
        }
        self.away_until = None;
        self.born += 1;
        self.running = 0;
        true
    }

    /// Goes on if it has stood still for long enough. Returns the requests that arrived meanwhile.
    pub fn wake(&mut self, now: Time) -> Vec<Attempt> {
        if self.silent_until.is_none_or(|until| until > now) {
            return Vec::new();
        }
        self.silent_until = None;
        std::mem::take(&mut self.held)
    }

    pub fn arrive(&mut self, attempt: &Attempt, now: Time) -> Arrival {
        if self.is_away() || self.born != attempt.born {
            return Arrival::Unreachable;
        }
        if self.silent_until.is_some() {
            self.held.push(attempt.clone());
            return Arrival::Held;
        }
        if !self.is_full && self.running < self.model.room {
            self.running += 1;
            return Arrival::Runs;
        }
        self.refuse(now);
        Arrival::Refused
    }

    fn refuse(&mut self, now: Time) {
        self.refusals.retain(|at| now.since(*at) < SECOND);
        self.refusals.push(now);
        let refusals = self.refusals.len();
        self.worst_second = self.worst_second.max(refusals);
        if refusals > usize::try_from(self.model.max_refusals).unwrap() {
            self.refusals.clear();
            self.away_until = Some(now + AWAY);
            self.falls += 1;
        }
    }
}
