//! Simulates an instance of 120 MB under large bodies, slow readers and a silent target, beside ordinary callers.

mod support;

use bluebellstage_core::TargetId;
use bluebellstage_gateway::decide::memory_budget::{
    ConnectionKey, HeldKind, MemoryBudget, MemoryLimit, Reservation,
};
use support::at;

const MB: u64 = 1_000_000;
const TICK_MS: u64 = 10;
/// Time for which a target runs a request.
const RUN_MS: u64 = 200;
/// How long a body waits for room.
const MAX_WAIT_MS: u64 = 500;
/// Bytes that a connection takes from a response before its caller does.
const CONNECTION_BUFFER: u64 = 80_000;

/// What arrives in the first second beside ordinary callers.
#[derive(Clone, Copy, Debug, Default)]
struct Load {
    large_bodies: usize,
    /// Callers that take one byte a second of an answer of 1 MB.
    slow_readers: usize,
    /// Whether one of two targets answers nothing for 3 s.
    has_silent_target: bool,
}

#[derive(Debug, Default, Eq, PartialEq)]
struct Outcome {
    max_held: u64,
    ordinary_refused: usize,
    large_served: usize,
    large_refused: usize,
    ended: usize,
}

struct Simulation {
    budget: MemoryBudget,
    /// With the decisions off, all bytes are held at once.
    is_on: bool,
    ms: u64,
    waiting: Vec<(ConnectionKey, u64)>,
    running: Vec<(ConnectionKey, u64, u64)>,
    slow: Vec<(ConnectionKey, u64)>,
    outcome: Outcome,
}

impl Simulation {
    fn run(load: Load, is_on: bool) -> Outcome {
        let limit = MemoryLimit::try_from(120 * MB).unwrap();
        let mut simulation = Self {
            budget: MemoryBudget::new(limit),
            is_on,
            ms: 0,
            waiting: Vec::new(),
            running: Vec::new(),
            slow: Vec::new(),
            outcome: Outcome::default(),
        };
        for _ in 0..load.large_bodies {
            let key = simulation.budget.open();
            simulation.waiting.push((key, MAX_WAIT_MS));
        }
        for _ in 0..load.slow_readers {
            let key = simulation.budget.open();
            simulation.budget.start_turn(key);
            simulation.slow.push((key, 0));
        }
        while simulation.ms < 20_000 {
            simulation.tick(load);
            simulation.ms += TICK_MS;
        }
        simulation.outcome
    }

    fn tick(&mut self, load: Load) {
        self.finish_runs();
        if self.ms.is_multiple_of(20) {
            self.serve_ordinary();
        }
        self.serve_large(load);
        self.read_ahead();
        let held = self.budget.held();
        self.outcome.max_held = self.outcome.max_held.max(held);
        if self.ms.is_multiple_of(200) && self.is_on {
            self.end_stalled();
        }
    }

    fn reserve(&mut self, key: ConnectionKey, bytes: u64) -> Reservation {
        if self.is_on {
            return self
                .budget
                .reserve(key, HeldKind::RequestBody, bytes, at(self.ms));
        }
        self.budget.hold(key, HeldKind::RequestBody, bytes);
        Reservation::Granted
    }

    fn serve_ordinary(&mut self) {
        let key = self.budget.open();
        if self.reserve(key, 2_000) == Reservation::Granted {
            self.running.push((key, 2_000, self.ms + RUN_MS));
        } else {
            self.outcome.ordinary_refused += 1;
            self.budget.close(key);
        }
    }

    fn serve_large(&mut self, load: Load) {
        for (key, until) in std::mem::take(&mut self.waiting) {
            match self.reserve(key, 4 * MB) {
                Reservation::Granted => self.send_large(key, load),
                Reservation::Wait if self.ms < until => self.waiting.push((key, until)),
                Reservation::Wait | Reservation::Refused => {
                    self.outcome.large_refused += 1;
                    self.budget.stop_waiting(key);
                    self.budget.close(key);
                }
            }
        }
    }

    fn send_large(&mut self, key: ConnectionKey, load: Load) {
        let silent = TargetId::try_from("silent").unwrap();
        let is_silent = load.has_silent_target
            && (!self.is_on || self.budget.targets.start(&silent, 4 * MB, 72));
        let until = if is_silent { 3_000 } else { self.ms + RUN_MS };
        self.running.push((key, 4 * MB, until));
        self.outcome.large_served += 1;
    }

    fn finish_runs(&mut self) {
        let now = self.ms;
        let ended = self.running.extract_if(.., |(_, _, until)| *until <= now);
        for (key, bytes, _) in ended {
            self.budget.release(key, HeldKind::RequestBody, bytes);
            self.budget.close(key);
        }
    }

    fn read_ahead(&mut self) {
        for (key, held) in &mut self.slow {
            let is_full = *held >= CONNECTION_BUFFER || !self.budget.may_read_ahead(*key);
            let more = match (self.is_on, is_full) {
                (true, true) => continue,
                (true, false) => 16_000,
                (false, _) => MB - *held,
            };
            self.budget.hold(*key, HeldKind::Untaken, more);
            *held += more;
        }
        if self.ms.is_multiple_of(1_000) {
            for (key, _) in &self.slow {
                self.budget.record_moved(*key, 1);
            }
        }
    }

    fn end_stalled(&mut self) {
        for ended in self.budget.check(at(self.ms)).ended {
            self.outcome.ended += 1;
            let gone = self.slow.extract_if(.., |(key, _)| *key == ended.key);
            for (key, held) in gone {
                self.budget.release(key, HeldKind::Untaken, held);
                self.budget.close(key);
            }
        }
    }
}

/// Guards against loads that take an instance past its memory limit, or the room of ordinary callers.
#[test]
fn ordinary_callers_are_served_within_the_budget() {
    let crowd = Load {
        large_bodies: 200,
        ..Load::default()
    };
    let slow = Load {
        slow_readers: 300,
        ..Load::default()
    };
    let silent = Load {
        has_silent_target: true,
        ..crowd
    };
    let all = Load {
        slow_readers: 300,
        ..silent
    };
    let budget = 80 * MB;
    for load in [crowd, slow, silent, all] {
        let outcome = Simulation::run(load, true);
        assert!(outcome.max_held <= budget, "{load:?}: {outcome:?}");
        assert_eq!(outcome.ordinary_refused, 0, "{load:?}: {outcome:?}");
        let is_any_large_served = load.large_bodies == 0 || outcome.large_served >= 8;
        assert!(is_any_large_served, "{load:?}: {outcome:?}");
        let without = Simulation::run(load, false);
        assert!(without.max_held > budget, "{load:?}: {without:?}");
    }
}
