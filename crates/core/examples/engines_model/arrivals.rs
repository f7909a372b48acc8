//! Requests that arrive, the same for every policy at one seed.

use std::time::Duration;

use bluebellstage_core::Tokens;
use bluebellstage_core::engines::PermitRequest;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::deployment::Deployment;
use super::support::fleet::{ask, workspace};

/// Microseconds a second.
pub const SECOND: u64 = 1_000_000;

/// Requests that arrive earlier fill the slots and are not measured.
pub const WARM_UP: u64 = 45 * SECOND;

/// When the last request arrives.
pub const END: u64 = 165 * SECOND;

/// When popularity shifts, and the span in which a workspace sends more.
const SHIFT: u64 = 90 * SECOND;
const FLOOD: std::ops::Range<u64> = 60 * SECOND..140 * SECOND;

/// The workspace that sends more, and how much more.
pub const FLOODING: usize = 2;
const FLOOD_FACTOR: f64 = 5.0;

/// Zipf exponent of the popularity of a workspace's adapters.
const SKEW: f64 = 1.5;

/// Mean of a request's prompt and answer, in tokens.
const MEAN_TOKENS: f64 = 700.0;

/// A workspace's rate over what it sends on average, and its burst in seconds of that rate.
const RATE_MARGIN: f64 = 1.5;
const BURST_SECONDS: f64 = 20.0;

/// What is special about a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scenario {
    /// Steady skew.
    Steady,
    /// Two workspaces' popular adapters change.
    Shift,
    /// One workspace sends five times its rate, and nothing stops it before the engines.
    Flood,
    /// The same behind each workspace's rate and burst, as in the whole system.
    LimitedFlood,
}

impl Scenario {
    pub const ALL: [Self; 4] = [Self::Steady, Self::Shift, Self::Flood, Self::LimitedFlood];

    pub const fn name(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::Shift => "shift",
            Self::Flood => "flood",
            Self::LimitedFlood => "limited-flood",
        }
    }

    /// Whether one workspace sends more than its rate.
    pub const fn floods(self) -> bool {
        matches!(self, Self::Flood | Self::LimitedFlood)
    }
}

/// One request that arrives.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: u64,
    pub node: usize,
    pub ask: PermitRequest,
    pub answer: u64,
}

/// All requests of a run, in order.
pub fn arrivals(deployment: &Deployment, scenario: Scenario, seed: u64) -> Vec<Arrival> {
    let mut all = Vec::new();
    for owner in 0..deployment.workspaces.len() {
        // Each workspace draws from a stream of its own, so that one that floods changes no other.
        let stream = seed * 100 + u64::try_from(owner).unwrap();
        let mut rng = ChaCha8Rng::seed_from_u64(stream);
        all.extend(of_workspace(deployment, scenario, owner, &mut rng));
    }
    all.sort_by_key(|arrival| arrival.at);
    all
}

fn of_workspace(
    deployment: &Deployment,
    scenario: Scenario,
    owner: usize,
    rng: &mut ChaCha8Rng,
) -> Vec<Arrival> {
    let part = f64::from(deployment.workspaces[owner]) / 100.0;
    let steady = deployment.requests_per_second * part;
    let adapters = deployment.adapters * deployment.workspaces[owner] / 100;
    let ranks = Zipf::new(adapters);
    let mut arrivals = Vec::new();
    let mut bucket = Bucket::new(steady);
    let mut at = 0;
    loop {
        let floods = scenario.floods() && owner == FLOODING && FLOOD.contains(&at);
        let rate = if floods {
            steady * FLOOD_FACTOR
        } else {
            steady
        };
        at += exponential(rng, rate);
        if at >= END {
            return arrivals;
        }
        let shifted = scenario == Scenario::Shift && owner.is_multiple_of(2) && at >= SHIFT;
        let rank = ranks.draw(rng);
        let index = if shifted {
            (rank + adapters / 2) % adapters
        } else {
            rank
        };
        let arrival = arrival(deployment, owner, index, at, rng);
        if scenario != Scenario::LimitedFlood || bucket.admits(&arrival) {
            arrivals.push(arrival);
        }
    }
}

/// A workspace's rate and burst: half more than it sends on average, and twenty seconds of that.
struct Bucket {
    tokens_per_second: f64,
    level: f64,
    at: u64,
}

impl Bucket {
    fn new(requests_per_second: f64) -> Self {
        let tokens_per_second = requests_per_second * MEAN_TOKENS * RATE_MARGIN;
        Self {
            tokens_per_second,
            level: tokens_per_second * BURST_SECONDS,
            at: 0,
        }
    }

    fn admits(&mut self, arrival: &Arrival) -> bool {
        let seconds = Duration::from_micros(arrival.at - self.at).as_secs_f64();
        self.at = arrival.at;
        let full = self.tokens_per_second * BURST_SECONDS;
        self.level = (self.level + seconds * self.tokens_per_second).min(full);
        let charge = f64::from(u32::try_from(arrival.ask.prompt.0 + arrival.answer).unwrap());
        let admitted = charge <= self.level;
        if admitted {
            self.level -= charge;
        }
        admitted
    }
}

fn arrival(
    deployment: &Deployment,
    owner: usize,
    index: u32,
    at: u64,
    rng: &mut ChaCha8Rng,
) -> Arrival {
    let owner = u32::try_from(owner).unwrap();
    let answer = rng.random_range(60..540);
    let mut ask = ask(owner * 10_000 + index);
    ask.workspace = workspace(owner);
    ask.urgent = rng.random_range(0..100) < deployment.urgent_percent;
    ask.prompt = Tokens(rng.random_range(100..700));
    ask.max_answer = Tokens(600);
    Arrival {
        at,
        node: rng.random_range(0..deployment.instances),
        ask,
        answer,
    }
}

/// Microseconds until the next of `rate` events a second.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a positive span of at most minutes"
)]
fn exponential(rng: &mut ChaCha8Rng, rate: f64) -> u64 {
    let uniform: f64 = rng.random_range(1e-9..1.0);
    (-uniform.ln() / rate * 1e6) as u64
}

/// Ranks from 0 with a probability that falls with the rank.
struct Zipf {
    sums: Vec<f64>,
}

impl Zipf {
    fn new(count: u32) -> Self {
        let mut sum = 0.0;
        let weigh = |rank| {
            sum += f64::from(rank).powf(-SKEW);
            sum
        };
        Self {
            sums: (1..=count).map(weigh).collect(),
        }
    }

    fn draw(&self, rng: &mut ChaCha8Rng) -> u32 {
        let total = self.sums.last().copied().unwrap_or(1.0);
        let drawn = rng.random_range(0.0..total);
        let rank = self.sums.partition_point(|sum| *sum <= drawn);
        u32::try_from(rank).unwrap()
    }
}
