//! Simulation of a fleet with plain targets of which some report a limit, in virtual time. The real tables
//! choose the target of each request and exchange the limits that they received and the requests that they
//! sent.

use std::collections::VecDeque;
use std::time::Duration;

use bluebellstage_core::{Revision, TargetId, Time};
use bluebellstage_gateway::decide::limits::{ReportedLimit, RequestRate};
use bluebellstage_gateway::decide::placement::Pick;

use super::fleet::Fleet;
use super::{call, target};

/// Time that a request takes at a target, in milliseconds.
const REQUEST_DURATION_MS: u64 = 15;
/// Time after the first response with a limit from which the instance must keep the limit.
const ENFORCEMENT_DELAY: Duration = Duration::from_millis(500);
/// Window in which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Parameters of a simulation.
#[derive(Clone, Debug)]
pub struct LimitScenario {
    /// Number of targets; the first ones report a limit.
    pub targets: usize,
    /// Their limits, in thousandths of a request per second.
    pub limits: Vec<u32>,
    /// Requests per second from all callers.
    pub rate: u64,
    /// When targets report limits, in milliseconds, and for how long.
    pub from_ms: u64,
    pub for_ms: u64,
}

#[derive(Debug)]
struct Response {
    due: Time,
    idx: usize,
    target: usize,
    sent_at: Time,
}

/// Arrivals at a target that reports a limit: when, and whether the instance had to keep the limit.
type Arrivals = Vec<(Time, bool)>;

/// A running simulation.
#[derive(Debug)]
pub struct Simulation {
    pub fleet: Fleet,
    scenario: LimitScenario,
    started_at: Time,
    responses: VecDeque<Response>,
    /// When each instance processed the first response with a limit from each target.
    first_limits: Vec<Vec<Option<Time>>>,
    arrivals: Vec<Arrivals>,
    requests_sent: u64,
    /// Requests that no target took.
    pub refused: u64,
}

fn id(target: usize) -> TargetId {
    TargetId::try_from(&*format!("c{target}")).unwrap()
}

impl LimitScenario {
    /// Starts a simulation with a fleet whose instances have discovered each other.
    pub fn start(self, mut fleet: Fleet) -> Simulation {
        fleet.run_ms(3_000);
        for idx in 0..fleet.len() {
            register(&mut fleet, idx, self.targets);
        }
        Simulation {
            started_at: fleet.now,
            responses: VecDeque::new(),
            first_limits: vec![vec![None; self.limits.len()]; fleet.len()],
            arrivals: vec![Vec::new(); self.limits.len()],
            requests_sent: 0,
            refused: 0,
            scenario: self,
            fleet,
        }
    }
}

/// Registers the targets at an instance.
fn register(fleet: &mut Fleet, idx: usize, targets: usize) {
    let now = fleet.now;
    for number in 0..targets {
        let target = target(id(number).as_str(), "court");
        let registry = &mut fleet.tables_mut(idx).registry;
        registry.put(target, Revision(2), now);
    }
}

impl Simulation {
    /// Restarts an instance.
    pub fn restart(&mut self, idx: usize, moved: bool) {
        self.fleet.restart(idx, moved);
        register(&mut self.fleet, idx, self.scenario.targets);
        self.first_limits[idx].fill(None);
    }

    /// Runs the simulation for `ms` milliseconds.
    pub fn run_ms(&mut self, ms: u64) {
        for _ in 0..ms / 5 {
            self.fleet.run_ms(5);
            self.deliver_responses();
            let elapsed = self.fleet.now.since(self.started_at);
            let due = u64::try_from(elapsed.as_millis()).unwrap() * self.scenario.rate / 1_000;
            while self.requests_sent < due {
                self.requests_sent += 1;
                self.send_request();
            }
        }
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
        if number < self.scenario.limits.len() {
            let first_limit = self.first_limits[idx][number];
            let is_bound =
                first_limit.is_some_and(|received_at| now.since(received_at) >= ENFORCEMENT_DELAY);
            self.arrivals[number].push((now, is_bound));
        }
        self.responses.push_back(Response {
            due: now + Duration::from_millis(REQUEST_DURATION_MS),
            idx,
            target: number,
            sent_at: now,
        });
    }

    fn deliver_responses(&mut self) {
        let now = self.fleet.now;
        let is_limiting = self.reports_limits();
        while let Some(response) = self.responses.pop_front_if(|response| response.due <= now) {
            if !self.fleet.is_running(response.idx) {
                continue;
            }
            let tables = self.fleet.tables_mut(response.idx);
            let target = id(response.target);
            tables.end_request(&target);
            let reported = match self.scenario.limits.get(response.target) {
                Some(milli) if is_limiting => ReportedLimit::Limit(RequestRate::from_milli(*milli)),
                _ => ReportedLimit::Unlimited,
            };
            tables.record_reported_limit(&target, reported, response.sent_at, now);
            if let ReportedLimit::Limit(_) = reported {
                self.first_limits[response.idx][response.target].get_or_insert(now);
            }
        }
    }

    fn reports_limits(&self) -> bool {
        let elapsed = self.fleet.now.since(self.started_at);
        let from = Duration::from_millis(self.scenario.from_ms);
        elapsed >= from && elapsed < from + Duration::from_millis(self.scenario.for_ms)
    }

    /// Returns the maximum number of arrivals at a target in any window that starts after `after_ms`, from
    /// instances that had to keep its limit.
    pub fn max_arrivals_in_a_window(&self, target: usize, after_ms: u64) -> usize {
        let after = self.started_at + Duration::from_millis(after_ms);
        let bound = self.arrivals[target].iter();
        let bound = bound.filter(|(at, is_bound)| *is_bound && *at >= after);
        let bound = bound.map(|(at, _)| *at).collect::<Vec<_>>();
        let windows = (0..bound.len()).map(|first| {
            let inside = bound[first..].iter();
            inside
                .take_while(|at| at.since(bound[first]) < WINDOW)
                .count()
        });
        windows.max().unwrap_or(0)
    }

    /// Returns the arrivals at a target between two times, from all instances.
    pub fn arrived(&self, target: usize, between_ms: std::ops::Range<u64>) -> usize {
        let at = |ms| self.started_at + Duration::from_millis(ms);
        let [from, to] = [at(between_ms.start), at(between_ms.end)];
        let inside = self.arrivals[target].iter();
        inside.filter(|(at, _)| *at >= from && *at < to).count()
    }
}

/// Returns how many requests are allowed in a window: half more than the limit, and 5.
pub fn allowed(milli: u32) -> usize {
    let window = u32::try_from(WINDOW.as_millis()).unwrap();
    let half_more = u64::from(milli) * u64::from(window) * 3 / 2;
    usize::try_from(half_more / 1_000_000).unwrap() + 5
}
