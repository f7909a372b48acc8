//! Tests of the budget of retries that all instances share.

mod support;

use std::time::Duration;

use bluebellstage_core::{ServiceId, Time};
use bluebellstage_gateway::decide::retry_budget::RetryBudget;
use support::fleet::Fleet;

const WINDOW: Duration = Duration::from_secs(10);
const BUDGET: RetryBudget = RetryBudget {
    ratio: 0.2,
    window: WINDOW,
    slack: 56.0,
};
/// Requests a second of all callers.
const RATE: u64 = 100;
/// Time after a kill until the process runs again.
const DOWN_MS: u64 = 500;

fn court() -> ServiceId {
    ServiceId::try_from("court").unwrap()
}

/// A fleet whose instances send requests once more whenever their budget allows it.
struct EagerFleet {
    fleet: Fleet,
    requests: Vec<Time>,
    retries: Vec<Time>,
    due: u64,
}

impl EagerFleet {
    fn start(count: usize, domains: usize, seed: u64) -> Self {
        let mut fleet = Fleet::start(count, domains, seed);
        for idx in 0..count {
            fleet.tables_mut(idx).set_retry_budget(BUDGET);
        }
        Self {
            fleet,
            requests: Vec::new(),
            retries: Vec::new(),
            due: 0,
        }
    }

    /// Runs for a while, with as many retries as the budget allows if `is_eager`.
    fn run_ms(&mut self, ms: u64, is_eager: bool) {
        for _ in 0..ms / 5 {
            self.fleet.run_ms(5);
            self.due += RATE * 5;
            while self.due >= 1_000 {
                self.due -= 1_000;
                self.receive();
            }
            if is_eager {
                self.retry_at_all();
            }
        }
    }

    fn receive(&mut self) {
        let now = self.fleet.now;
        self.requests.push(now);
        let idx = self.fleet.random_below(self.fleet.len());
        if self.fleet.is_running(idx) {
            let tables = self.fleet.tables_mut(idx);
            tables.retries.record_request(&court(), now);
        }
    }

    fn retry_at_all(&mut self) {
        let now = self.fleet.now;
        for idx in 0..self.fleet.len() {
            while self.fleet.is_running(idx) && self.fleet.tables_mut(idx).take_retry(&court(), now)
            {
                self.retries.push(now);
            }
        }
    }

    /// Kills instances, which are back after a short time.
    fn kill(&mut self, killed: &[usize]) {
        for idx in killed {
            self.fleet.kill(*idx);
        }
        self.run_ms(DOWN_MS, true);
        for idx in killed {
            self.fleet.restart(*idx, false);
            self.fleet.tables_mut(*idx).set_retry_budget(BUDGET);
        }
    }

    /// Checks each window. The requests for it are those in it, in the window before it or in the one half a window
    /// before it, whichever are most.
    fn assert_within_budget(&self) {
        let count = |times: &[Time], from: Time| {
            let inside = times.iter();
            inside
                .filter(|at| **at >= from && at.since(from) < WINDOW)
                .count()
        };
        for from in &self.retries {
            let retries = u32::try_from(count(&self.retries, *from)).unwrap();
            let earlier = [Duration::ZERO, WINDOW / 2, WINDOW];
            let requests = earlier.map(|earlier| count(&self.requests, *from - earlier));
            let requests = u32::try_from(requests.into_iter().max().unwrap()).unwrap();
            let allowed = BUDGET.ratio * f64::from(requests) + BUDGET.slack;
            assert!(
                f64::from(retries) <= allowed,
                "{retries} retries for {requests} requests, allowed {allowed}"
            );
        }
    }
}

/// Guards against a new process that takes its part of the budget once more.
#[test]
fn kills_of_all_instances_in_series_leave_retries_within_their_budget() {
    for (count, domains, seed) in [(8, 3, 81), (8, 3, 82), (72, 3, 83)] {
        let mut eager = EagerFleet::start(count, domains, seed);
        eager.run_ms(12_000, false);
        eager.run_ms(500, true);
        let all = (0..count).collect::<Vec<_>>();
        for _ in 0..5 {
            eager.kill(&all);
            eager.run_ms(1_500, true);
        }
        eager.run_ms(6_000, true);
        eager.assert_within_budget();
    }
}

/// Guards against new processes that grant what the former ones have spent, when instances are killed in turn.
#[test]
fn kills_of_single_instances_leave_retries_within_their_budget() {
    let mut eager = EagerFleet::start(8, 3, 84);
    eager.run_ms(12_000, true);
    for round in 0..16 {
        eager.kill(&[round % 8]);
        eager.run_ms(200, true);
    }
    eager.run_ms(6_000, true);
    eager.assert_within_budget();
}

/// Guards against a budget that calm fleets can't use.
#[test]
fn a_calm_fleet_uses_half_of_its_budget_at_least() {
    let mut eager = EagerFleet::start(8, 3, 85);
    eager.run_ms(12_000, false);
    eager.run_ms(10_000, true);
    eager.assert_within_budget();
    let requests = RATE * WINDOW.as_secs();
    let allowed = BUDGET.ratio * f64::from(u32::try_from(requests).unwrap()) + BUDGET.slack;
    let retries = f64::from(u32::try_from(eager.retries.len()).unwrap());
    assert!(retries >= allowed / 2.0, "{retries} of {allowed}");
}
