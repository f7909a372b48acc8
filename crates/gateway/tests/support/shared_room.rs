//! Simulation of workspaces that share engines in virtual time. The real tables admit each request, exchange what
//! workspaces spend and decide who gives way; the engines are one queue that is processed at a fixed rate.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use bluebellstage_core::{ServiceId, Time, Tokens};
use bluebellstage_gateway::decide::call::Call;
use bluebellstage_gateway::decide::config::{Config, Quota, Route};
use bluebellstage_gateway::decide::fair_share::{Room, ShareChange};
use bluebellstage_gateway::decide::tables::Ticket;

use super::fleet::Fleet;
use super::{config, draft, quota, workspace};

/// Tokens that a request counts as.
const TOKENS: u64 = 1_000;
/// Requests that the engines begin in a second.
pub const CAPACITY: f64 = 300.0;
/// Target time to the first event.
const TARGET_LATENCY: Duration = Duration::from_millis(500);
/// Time from a request's begin to its first event.
const PROMPT_TIME: Duration = Duration::from_millis(60);
/// Wait, as a fraction of the target latency, from which room is scarce, and from which a request is late.
const SCARCE_FRACTION: f64 = 0.25;
const LATE_FRACTION: f64 = 1.25;
/// Time for which a request waits for room.
const MAX_WAIT: Duration = Duration::from_millis(250);
/// Age of what an instance knows of the queue.
const QUEUE_NEWS_AGE: usize = 20;
/// Step of the virtual time in milliseconds.
const STEP_MS: u64 = 5;
/// Time between two reviews of shares.
const REVIEW_INTERVAL_MS: u64 = 100;

/// A workspace and its traffic.
#[derive(Clone, Debug)]
pub struct Sender {
    /// Requests a second that it usually sends.
    pub usual: f64,
    /// What it sends now, as a multiple.
    pub factor: f64,
    /// The rate of its quota, in requests a second.
    pub quota: f64,
}

/// What a workspace got.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    pub sent: u32,
    pub over_quota: u32,
    pub gave_way: u32,
    pub late: u32,
    pub served: u32,
    first_event: Duration,
}

impl Outcome {
    pub fn served_fraction(&self) -> f64 {
        f64::from(self.served) / f64::from(self.sent.max(1))
    }

    /// Mean time to the first event of admitted requests; one that waited in vain counts as the target latency.
    pub fn mean_first_event(&self) -> Duration {
        self.first_event / (self.served + self.late).max(1)
    }
}

/// An admitted request that waits for room.
#[derive(Debug)]
struct Waiting {
    sender: usize,
    idx: usize,
    ticket: Ticket,
    arrived: Time,
}

/// A running simulation.
#[derive(Debug)]
pub struct Simulation {
    pub fleet: Fleet,
    senders: Vec<Sender>,
    /// Whether requests give way.
    decides: bool,
    /// Requests that the engines have not begun, now and lately.
    queue: f64,
    queue_news: VecDeque<f64>,
    waiting: VecDeque<Waiting>,
    /// Number of requests that waited at the last review, as it is known at the next.
    waiting_news: u32,
    steps: u64,
    outcomes: Vec<Outcome>,
    counted_from: Time,
    pub changes: Vec<ShareChange>,
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "rates of tests are small"
)]
fn tokens(requests: f64) -> u64 {
    (requests * 1_000.0) as u64
}

pub fn service() -> ServiceId {
    ServiceId::try_from("writers").unwrap()
}

fn quota_of(sender: &Sender) -> Quota {
    quota(tokens(sender.quota), tokens(sender.quota * 2.0))
}

pub fn shared_config(senders: &[Sender]) -> Config {
    let workspaces = senders.iter().enumerate().map(|(number, sender)| {
        let name = format!("w{number}");
        workspace(&name, &name, Some(quota_of(sender)))
    });
    let mut cfg = config(2);
    let later = Route {
        name: "later".into(),
        prefix: "/later/".into(),
        rank: cfg.routes[0].rank + 1,
        target_latency: cfg.routes[0].target_latency * 4,
        ..cfg.routes[0].clone()
    };
    cfg.routes.push(later);
    Config {
        workspaces: workspaces.collect(),
        ..cfg
    }
}

fn request(sender: usize) -> Call {
    Call {
        key: Some(format!("w{sender}").into()),
        tokens: Some(Tokens(TOKENS)),
        ..draft("a1")
    }
}

impl Simulation {
    /// Starts a simulation with a fleet whose instances have discovered each other.
    pub fn start(mut fleet: Fleet, senders: Vec<Sender>, decides: bool) -> Self {
        let now = fleet.now;
        for idx in 0..fleet.len() {
            assert!(fleet.tables_mut(idx).adopt(shared_config(&senders), now));
        }
        fleet.run_ms(3_000);
        Self {
            outcomes: vec![Outcome::default(); senders.len()],
            counted_from: fleet.now,
            fleet,
            senders,
            decides,
            queue: 0.0,
            queue_news: VecDeque::from([0.0; QUEUE_NEWS_AGE]),
            waiting: VecDeque::new(),
            waiting_news: 0,
            steps: 0,
            changes: Vec::new(),
        }
    }

    /// Restarts an instance.
    pub fn restart(&mut self, idx: usize) {
        self.fleet.restart(idx, false);
        let now = self.fleet.now;
        let tables = self.fleet.tables_mut(idx);
        assert!(tables.adopt(shared_config(&self.senders), now));
    }

    /// Sets what a workspace sends, as a multiple of its usual traffic.
    pub fn set_factor(&mut self, sender: usize, factor: f64) {
        self.senders[sender].factor = factor;
    }

    /// Returns what each workspace got in the next `ms` milliseconds.
    pub fn outcomes_of_ms(&mut self, ms: u64) -> Vec<Outcome> {
        self.outcomes.fill(Outcome::default());
        self.counted_from = self.fleet.now;
        self.run_ms(ms);
        self.outcomes.clone()
    }

    /// Runs the simulation for `ms` milliseconds.
    pub fn run_ms(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.step();
        }
    }

    fn step(&mut self) {
        self.fleet.run_ms(STEP_MS);
        let seconds = Duration::from_millis(STEP_MS).as_secs_f64();
        self.queue = (self.queue - CAPACITY * seconds).max(0.0);
        self.queue_news.push_back(self.queue);
        self.queue_news.pop_front();
        self.steps += 1;
        self.serve_waiting();
        if (self.steps * STEP_MS).is_multiple_of(REVIEW_INTERVAL_MS) {
            self.review();
        }
        let mut order = (0..self.senders.len()).collect::<Vec<_>>();
        for last in (1..order.len()).rev() {
            order.swap(last, self.fleet.random_below(last + 1));
        }
        for sender in order {
            let rate = self.senders[sender].usual * self.senders[sender].factor;
            let mut expected = rate * seconds;
            while expected > 0.0 {
                if self.fleet.random_fraction() < expected.min(1.0) {
                    self.arrive(sender);
                }
                expected -= 1.0;
            }
        }
        self.serve_waiting();
    }

    fn review(&mut self) {
        let now = self.fleet.now;
        let waiting = BTreeMap::from([(service(), self.waiting_news)]);
        self.waiting_news = u32::try_from(self.waiting.len()).unwrap();
        for idx in 0..self.fleet.len() {
            if self.fleet.is_running(idx) {
                let tables = self.fleet.tables_mut(idx);
                tables.fair_shares.record_waiting(&waiting, now);
                let changes = tables.review_shares(now);
                self.changes.extend(changes);
            }
        }
    }

    fn arrive(&mut self, sender: usize) {
        let idx = self.fleet.random_below(self.fleet.len());
        if !self.fleet.is_running(idx) {
            return;
        }
        let now = self.fleet.now;
        let outcome = &mut self.outcomes[sender];
        outcome.sent += 1;
        let tables = self.fleet.tables_mut(idx);
        let Ok(ticket) = tables.admit(&request(sender), 0, now) else {
            outcome.over_quota += 1;
            return;
        };
        let room = room(self.queue_news[0]);
        let workspace = ticket.workspace.as_ref().unwrap();
        let back_in = tables
            .fair_shares
            .gives_way(workspace, &service(), room, now);
        if self.decides && back_in.is_some() {
            outcome.gave_way += 1;
            tables.refund(&ticket);
            return;
        }
        self.waiting.push_back(Waiting {
            sender,
            idx,
            ticket,
            arrived: now,
        });
    }

    /// Begins requests in the order of their arrival while the engines have room, and refuses those that waited in vain.
    fn serve_waiting(&mut self) {
        let now = self.fleet.now;
        while let Some(first) = self.waiting.front() {
            let waited = now.since(first.arrived);
            let is_full = room(self.queue) == Room::Late;
            if is_full && waited < MAX_WAIT {
                return;
            }
            let first = self.waiting.pop_front().unwrap();
            let first_event = waited + wait(self.queue) + PROMPT_TIME;
            if is_full {
                self.fleet.tables_mut(first.idx).refund(&first.ticket);
            } else {
                self.queue += 1.0;
            }
            if first.arrived >= self.counted_from {
                let outcome = &mut self.outcomes[first.sender];
                outcome.late += u32::from(is_full);
                outcome.served += u32::from(!is_full);
                outcome.first_event += if is_full { TARGET_LATENCY } else { first_event };
            }
        }
    }
}

fn wait(queue: f64) -> Duration {
    Duration::from_secs_f64(queue / CAPACITY)
}

fn room(queue: f64) -> Room {
    let wait = wait(queue);
    if wait > TARGET_LATENCY.mul_f64(LATE_FRACTION) {
        Room::Late
    } else if wait > TARGET_LATENCY.mul_f64(SCARCE_FRACTION) {
        Room::Scarce
    } else {
        Room::Free
    }
}
