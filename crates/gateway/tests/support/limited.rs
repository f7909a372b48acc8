//! A fleet before plain targets of which some name a limit, in virtual time. The real tables choose the target of
//! each request and tell each other what they heard and sent.

use std::collections::VecDeque;
use std::time::Duration;

use bluebellstage_core::{Revision, TargetId, Time};
use bluebellstage_gateway::decide::limits::{RequestRate, Said};
use bluebellstage_gateway::decide::placement::Pick;

use super::fleet::Fleet;
use super::{call, target};

/// Time that a request takes at a target, in milliseconds.
const WORK_MS: u64 = 15;
/// Time after an answer with a limit from which its instance is bound by it.
const BOUND_AFTER: Duration = Duration::from_millis(500);
/// Window in which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// What is played.
#[derive(Clone, Debug)]
pub struct Limited {
    /// Targets; the first ones name a limit.
    pub targets: usize,
    /// Their limits, in thousandths of a request a second.
    pub limits: Vec<u32>,
    /// Requests a second from all callers.
    pub rate: u64,
    /// When limits are named, in milliseconds, and for how long.
    pub from_ms: u64,
    pub for_ms: u64,
}

#[derive(Debug)]
struct Answer {
    due: Time,
    idx: usize,
    target: usize,
    sent: Time,
}

/// Arrivals at a target that names a limit: when, and whether their instance was bound by it.
type Arrivals = Vec<(Time, bool)>;

/// A play under way.
#[derive(Debug)]
pub struct Play {
    pub fleet: Fleet,
    cfg: Limited,
    began: Time,
    answers: VecDeque<Answer>,
    /// When each instance passed on the first answer of each target that named a limit.
    told: Vec<Vec<Option<Time>>>,
    arrivals: Vec<Arrivals>,
    asked: u64,
    /// Requests that no target took.
    pub refused: u64,
}

fn id(target: usize) -> TargetId {
    TargetId::try_from(&*format!("c{target}")).unwrap()
}

impl Limited {
    /// Begins a play with a fleet that has met.
    pub fn begin(self, mut fleet: Fleet) -> Play {
        fleet.run_ms(3_000);
        for idx in 0..fleet.len() {
            register(&mut fleet, idx, self.targets);
        }
        Play {
            began: fleet.now,
            answers: VecDeque::new(),
            told: vec![vec![None; self.limits.len()]; fleet.len()],
            arrivals: vec![Vec::new(); self.limits.len()],
            asked: 0,
            refused: 0,
            cfg: self,
            fleet,
        }
    }
}

/// Tells an instance of the targets.
fn register(fleet: &mut Fleet, idx: usize, targets: usize) {
    let now = fleet.now;
    for number in 0..targets {
        let target = target(id(number).as_str(), "court");
        let registry = &mut fleet.tables_mut(idx).registry;
        registry.put(target, Revision(2), now);
    }
}

impl Play {
    /// Starts an instance anew.
    pub fn restart(&mut self, idx: usize, moved: bool) {
        self.fleet.restart(idx, moved);
        register(&mut self.fleet, idx, self.cfg.targets);
        self.told[idx].fill(None);
    }

    /// Plays on for so long.
    pub fn run_ms(&mut self, ms: u64) {
        for _ in 0..ms / 5 {
            self.fleet.run_ms(5);
            self.answer();
            let passed = self.fleet.now.since(self.began);
            let due = u64::try_from(passed.as_millis()).unwrap() * self.cfg.rate / 1_000;
            while self.asked < due {
                self.asked += 1;
                self.ask();
            }
        }
    }

    fn ask(&mut self) {
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
        tables.start_request(&target);
        let number = (0..self.cfg.targets).find(|number| id(*number) == target);
        let number = number.unwrap();
        if number < self.cfg.limits.len() {
            let told = self.told[idx][number];
            let bound = told.is_some_and(|told| now.since(told) >= BOUND_AFTER);
            self.arrivals[number].push((now, bound));
        }
        self.answers.push_back(Answer {
            due: now + Duration::from_millis(WORK_MS),
            idx,
            target: number,
            sent: now,
        });
    }

    fn answer(&mut self) {
        let now = self.fleet.now;
        let limited = self.names_limits();
        while let Some(answer) = self.answers.pop_front_if(|answer| answer.due <= now) {
            if !self.fleet.is_running(answer.idx) {
                continue;
            }
            let tables = self.fleet.tables_mut(answer.idx);
            let target = id(answer.target);
            tables.end_request(&target);
            let said = match self.cfg.limits.get(answer.target) {
                Some(milli) if limited => Said::Limit(RequestRate::from_milli(*milli)),
                _ => Said::Unlimited,
            };
            tables.record_reported_limit(&target, said, answer.sent, now);
            if let Said::Limit(_) = said {
                self.told[answer.idx][answer.target].get_or_insert(now);
            }
        }
    }

    fn names_limits(&self) -> bool {
        let passed = self.fleet.now.since(self.began);
        let from = Duration::from_millis(self.cfg.from_ms);
        passed >= from && passed < from + Duration::from_millis(self.cfg.for_ms)
    }

    /// Most arrivals at a target in any window that begins after a time, from instances bound by its limit.
    pub fn most_in_a_window(&self, target: usize, after_ms: u64) -> usize {
        let after = self.began + Duration::from_millis(after_ms);
        let bound = self.arrivals[target].iter();
        let bound = bound.filter(|(at, bound)| *bound && *at >= after);
        let bound = bound.map(|(at, _)| *at).collect::<Vec<_>>();
        let windows = (0..bound.len()).map(|first| {
            let inside = bound[first..].iter();
            inside
                .take_while(|at| at.since(bound[first]) < WINDOW)
                .count()
        });
        windows.max().unwrap_or(0)
    }

    /// Arrivals at a target between two times, from all instances.
    pub fn arrived(&self, target: usize, between_ms: std::ops::Range<u64>) -> usize {
        let at = |ms| self.began + Duration::from_millis(ms);
        let [from, to] = [at(between_ms.start), at(between_ms.end)];
        let inside = self.arrivals[target].iter();
        inside.filter(|(at, _)| *at >= from && *at < to).count()
    }
}

/// Requests that are allowed in a window.
pub fn allowed(milli: u32) -> usize {
    let window = u32::try_from(WINDOW.as_millis()).unwrap();
    let half_more = u64::from(milli) * u64::from(window) * 3 / 2;
    usize::try_from(half_more / 1_000_000).unwrap() + 5
}
