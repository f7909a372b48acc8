//! Simulation of a fleet whose targets report in their responses that they leave, or ask for rest, in virtual
//! time. The real
//! tables choose the target of each request; the store says nothing, or says that the targets are ready.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use bluebellstage_core::{Revision, TargetId, Time};
use bluebellstage_gateway::decide::placement::Pick;
use bluebellstage_gateway::decide::target::Target;

use super::fleet::Fleet;
use super::{call, target};

/// Time after a forwarded report within which new requests may still arrive at the target.
const DRAIN_BOUND: Duration = Duration::from_secs(2);
/// Time after a refusal that asks for rest within which requests may still arrive at the target.
const REST_BEGINS: Duration = Duration::from_millis(500);
/// Number of requests that may arrive during a rest.
const MAX_DURING_REST: usize = 2;
/// Time that a request takes at a target, in milliseconds.
const REQUEST_MS: u64 = 15;
/// One response in this many is late.
const LATE_ONE_IN: usize = 20;
/// Time that a late response takes at most, in milliseconds.
const LATE_MS: usize = 1_500;
/// Interval of heartbeats that repeat the targets' registrations, in milliseconds.
const HEARTBEAT_MS: u64 = 1_200;

/// Parameters of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct AnswerScenario {
    /// Number of targets.
    pub targets: usize,
    /// How many of them, from the first, leave.
    pub leaving: usize,
    /// When they begin to report that they leave, in milliseconds.
    pub from_ms: u64,
    /// How many of the targets, from the first, refuse requests and ask for rest; for how long each time, and for
    /// how long altogether, in milliseconds.
    pub resting: usize,
    pub rest_ms: u64,
    pub resting_for_ms: u64,
    /// Requests per second from all callers.
    pub rate: u64,
}

/// A refusal that an instance received: the target, when, and the requests that arrived there during the rest.
#[derive(Debug)]
struct Refusal {
    target: usize,
    at: Time,
    arrivals: usize,
}

/// A response on its way: when it arrives, its number, its instance and that one's incarnation, the target, and
/// when the request was sent.
type Response = (Time, u64, usize, u64, usize, Time);

/// A running simulation.
#[derive(Debug)]
pub struct Simulation {
    pub fleet: Fleet,
    scenario: AnswerScenario,
    started_at: Time,
    responses: BinaryHeap<Reverse<Response>>,
    /// Restarts of each instance.
    incarnations: Vec<u64>,
    /// When each instance first forwarded a report of each target, unless it has restarted or frozen since.
    forwarded: Vec<Vec<Option<Time>>>,
    /// Refusals that each instance received, unless it has restarted or frozen since.
    refusals: Vec<Vec<Refusal>>,
    /// Number of refusals that asked for rest.
    pub refusal_count: usize,
    sent: u64,
    revision: u64,
    /// Requests that arrived at a target although the instance had to leave it alone.
    pub violations: Vec<String>,
    /// Requests that reached no target.
    pub refused: u64,
}

fn id(number: usize) -> TargetId {
    TargetId::try_from(&*format!("c{number}")).unwrap()
}

fn registered(number: usize) -> Target {
    target(id(number).as_str(), "court")
}

impl AnswerScenario {
    /// Starts a simulation with a fleet whose instances have discovered each other.
    pub fn start(self, mut fleet: Fleet) -> Simulation {
        fleet.run_ms(3_000);
        let mut simulation = Simulation {
            started_at: fleet.now,
            responses: BinaryHeap::new(),
            incarnations: vec![0; fleet.len()],
            forwarded: vec![vec![None; self.targets]; fleet.len()],
            refusals: (0..fleet.len()).map(|_| Vec::new()).collect(),
            refusal_count: 0,
            sent: 0,
            revision: 2,
            violations: Vec::new(),
            refused: 0,
            scenario: self,
            fleet,
        };
        for idx in 0..simulation.fleet.len() {
            simulation.register(idx);
        }
        simulation
    }
}

impl Simulation {
    /// Puts the registrations of all targets, which say that they are ready, at an instance.
    fn register(&mut self, idx: usize) {
        let now = self.fleet.now;
        self.revision += 1;
        for number in 0..self.scenario.targets {
            let registry = &mut self.fleet.tables_mut(idx).registry;
            registry.put(registered(number), Revision(self.revision), now);
        }
    }

    /// Restarts an instance; it knows nothing of before.
    pub fn restart(&mut self, idx: usize) {
        self.fleet.restart(idx, idx.is_multiple_of(2));
        self.register(idx);
        self.incarnations[idx] += 1;
        self.excuse(idx);
    }

    /// Forgets what bound an instance.
    fn excuse(&mut self, idx: usize) {
        self.forwarded[idx].fill(None);
        self.refusals[idx].clear();
    }

    /// Resumes a suspended instance.
    pub fn resume(&mut self, idx: usize) {
        self.fleet.resume(idx);
        self.excuse(idx);
    }

    /// Runs the simulation for `ms` milliseconds.
    pub fn run_ms(&mut self, ms: u64) {
        for _ in 0..ms / 5 {
            self.fleet.run_ms(5);
            self.deliver_responses();
            let elapsed = self.elapsed_ms();
            if elapsed.is_multiple_of(HEARTBEAT_MS) {
                let idx = self.fleet.random_below(self.fleet.len());
                self.register(idx);
            }
            while self.sent < elapsed * self.scenario.rate / 1_000 {
                self.sent += 1;
                self.send_request();
            }
        }
    }

    /// Runs the simulation with so many rounds of faults: a cut between two failure domains, a frozen instance and
    /// a restarted one.
    pub fn run_with_faults(&mut self, rounds: usize) {
        for round in 0..rounds {
            let count = self.fleet.len();
            let [frozen, restarted] = [0, 0].map(|_| self.fleet.random_below(count));
            self.fleet.partitions = vec![(round % 3, (round + 1) % 3)];
            self.fleet.suspend(frozen);
            self.run_ms(700);
            self.resume(frozen);
            self.restart(restarted);
            self.run_ms(700);
        }
    }

    fn elapsed_ms(&self) -> u64 {
        let elapsed = self.fleet.now.since(self.started_at);
        u64::try_from(elapsed.as_millis()).unwrap()
    }

    fn send_request(&mut self) {
        let idx = self.fleet.random_below(self.fleet.len());
        if !self.fleet.is_running(idx) {
            return;
        }
        let now = self.fleet.now;
        let draw = self.fleet.random_fraction();
        let tables = self.fleet.tables_mut(idx);
        let call = call("/file/1", Some("key-1"));
        let ticket = tables.admit(&call, 0, now).unwrap();
        let Pick::Send { target, .. } = tables.pick(&ticket, &call, &[], draw, now) else {
            self.refused += 1;
            return;
        };
        tables.start_request(&target, now);
        let number = (0..self.scenario.targets).find(|number| id(*number) == target);
        let number = number.unwrap();
        if let Some(since) = self.forwarded[idx][number]
            && now.since(since) > DRAIN_BOUND
        {
            let age = now.since(since);
            self.violations
                .push(format!("i{idx} at c{number}: {age:?}"));
        }
        self.count_during_rest(idx, number);
        let due = now + Duration::from_millis(self.response_ms());
        let incarnation = self.incarnations[idx];
        let response = (due, self.sent, idx, incarnation, number, now);
        self.responses.push(Reverse(response));
    }

    fn response_ms(&mut self) -> u64 {
        if self.fleet.random_below(LATE_ONE_IN) > 0 {
            return REQUEST_MS;
        }
        u64::try_from(self.fleet.random_below(LATE_MS)).unwrap()
    }

    fn deliver_responses(&mut self) {
        while let Some(Reverse((due, ..))) = self.responses.peek()
            && *due <= self.fleet.now
        {
            let Some(Reverse((_, _, idx, incarnation, number, sent_at))) = self.responses.pop()
            else {
                return;
            };
            if self.fleet.is_running(idx) && self.incarnations[idx] == incarnation {
                self.deliver(idx, number, sent_at);
            }
        }
    }

    /// Counts a request that arrives at a target against the rests that the target asked for.
    fn count_during_rest(&mut self, idx: usize, number: usize) {
        let now = self.fleet.now;
        let rest = Duration::from_millis(self.scenario.rest_ms);
        for refusal in &mut self.refusals[idx] {
            let since = now.since(refusal.at);
            if refusal.target != number || since < REST_BEGINS || since > rest {
                continue;
            }
            refusal.arrivals += 1;
            if refusal.arrivals > MAX_DURING_REST {
                let arrivals = refusal.arrivals;
                self.violations
                    .push(format!("i{idx} at c{number}: {arrivals} in a rest"));
            }
        }
    }

    fn is_refusing(&self, number: usize) -> bool {
        let elapsed = self.elapsed_ms();
        let until = self.scenario.from_ms + self.scenario.resting_for_ms;
        number < self.scenario.resting && (self.scenario.from_ms..until).contains(&elapsed)
    }

    fn deliver(&mut self, idx: usize, number: usize, sent_at: Time) {
        let now = self.fleet.now;
        let is_refusing = self.is_refusing(number);
        let is_leaving =
            number < self.scenario.leaving && self.elapsed_ms() >= self.scenario.from_ms;
        let tables = self.fleet.tables_mut(idx);
        tables.end_request(&id(number));
        if is_refusing {
            let rest = Duration::from_millis(self.scenario.rest_ms);
            tables
                .rests
                .record(&id(number), registered(number).born, rest, now);
            self.refusal_count += 1;
            self.refusals[idx].push(Refusal {
                target: number,
                at: now,
                arrivals: 0,
            });
        } else {
            tables.rests.record_taken(&id(number), sent_at);
        }
        let tables = self.fleet.tables_mut(idx);
        if is_leaving {
            tables
                .departures
                .record(&id(number), registered(number).born, now);
            self.forwarded[idx][number].get_or_insert(now);
        }
    }

    /// Returns the number of instances that have forwarded a report of a target.
    pub fn instances_told(&self, number: usize) -> usize {
        let told = self
            .forwarded
            .iter()
            .filter(|by_target| by_target[number].is_some());
        told.count()
    }
}
