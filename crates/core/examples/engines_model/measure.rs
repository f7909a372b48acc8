//! One run, and what it measured.

#![expect(
    clippy::cast_precision_loss,
    reason = "counts far below the precision of the figures that people read"
)]

use std::fmt;

use super::arrivals::{Arrival, END, FLOODING, SECOND, Scenario, WARM_UP, arrivals};
use super::deployment::Deployment;
use super::policy::Policy;
use super::support::fleet::workspace;
use super::support::record::Record;
use super::support::world::World;

/// What one run measured.
#[derive(Clone, Debug)]
pub struct Measures {
    /// Requests that waited for a load.
    pub stalls: f64,
    /// Seconds that they waited, together.
    pub stall_seconds: f64,
    /// 95th percentile of the wait for a load, over those that waited, in seconds.
    pub stall_p95: f64,
    /// Tokens for each second in which an engine computed.
    pub tokens_per_second: f64,
    /// Part of the batches' places in use while a request waited, in percent.
    pub occupancy: f64,
    /// 95th percentile of urgent requests' time to the first token, of the workspace where it is
    /// longest, in seconds; one that floods is left out.
    pub worst_p95: f64,
    pub refused: f64,
    pub loads: f64,
    /// Messages between instances for each request.
    pub messages: f64,
}

pub fn run(deployment: &Deployment, scenario: Scenario, policy: Policy, seed: u64) -> Measures {
    let cfg = policy.tuning(deployment);
    let world = World::new(cfg, seed, deployment.instances);
    let list = deployment
        .spec
        .many(deployment.engines, deployment.failure_domains);
    let mut world = world.engines(list, deployment.speed);
    let arrivals = arrivals(deployment, scenario, seed);
    for Arrival {
        at,
        node,
        ask,
        answer,
    } in arrivals
    {
        let span = at.saturating_sub(world.now);
        world.run_for(span);
        world.ask(node, ask, answer);
    }
    world.run_for(END + 40 * SECOND - world.now);
    assert_eq!(world.record.violations, Vec::<String>::new());
    measure(&world, scenario)
}

fn measure(world: &World, scenario: Scenario) -> Measures {
    let requests = world.record.requests.values();
    let counted: Vec<&Record> = requests.filter(|it| it.arrived >= WARM_UP).collect();
    let mut waits: Vec<u64> = counted.iter().filter_map(|it| it.stalled).collect();
    waits.sort_unstable();
    let engines = world.engines.values();
    let busy: u64 = engines.clone().map(|it| it.busy_us).sum();
    let tokens: u64 = engines.map(|it| it.tokens).sum();
    let places = world.record.places_while_waiting.max(1);
    Measures {
        stalls: waits.len() as f64,
        stall_seconds: seconds(waits.iter().sum()),
        stall_p95: seconds(percentile(&waits, 95)),
        tokens_per_second: tokens as f64 / seconds(busy),
        occupancy: world.record.batch_while_waiting as f64 / places as f64 * 100.0,
        worst_p95: worst(&counted, scenario),
        refused: counted.iter().filter(|it| it.refused.is_some()).count() as f64,
        loads: world.record.loads.len() as f64,
        messages: world.record.messages as f64 / world.record.requests.len() as f64,
    }
}

fn worst(counted: &[&Record], scenario: Scenario) -> f64 {
    let flooding = |owner: &usize| scenario.floods() && *owner == FLOODING;
    (0..5_usize)
        .filter(|owner| !flooding(owner))
        .map(|owner| {
            let name = workspace(u32::try_from(owner).unwrap());
            let own = counted.iter().filter(|it| it.ask.workspace == name);
            let urgent = own.filter(|it| it.ask.urgent);
            let mut waits: Vec<u64> = urgent.map(|it| wait(it)).collect();
            waits.sort_unstable();
            seconds(percentile(&waits, 95))
        })
        .fold(0.0, f64::max)
}

/// Time to the first token; one that got none counts as waiting to the end of its patience.
fn wait(record: &Record) -> u64 {
    record
        .first_token
        .map_or(30 * SECOND, |at| at - record.arrived)
}

fn percentile(sorted: &[u64], percent: usize) -> u64 {
    let index = (sorted.len() * percent / 100).min(sorted.len().saturating_sub(1));
    sorted.get(index).copied().unwrap_or_default()
}

fn seconds(micros: u64) -> f64 {
    micros as f64 / SECOND as f64
}

/// Several runs, as a line of the table.
pub struct Summary<'a>(pub &'a [Measures]);

impl Summary<'_> {
    pub const HEADER: &'static str = "policy                 stalls          stall s         \
        stall p95 s     tok/engine-s    occupancy %     worst p95 s     refused   loads   msg/req";

    fn column(&self, get: impl Fn(&Measures) -> f64) -> String {
        let values: Vec<f64> = self.0.iter().map(get).collect();
        let mean = values.iter().sum::<f64>() / values.len() as f64;
        let least = values.iter().copied().fold(f64::INFINITY, f64::min);
        let most = values.iter().copied().fold(0.0, f64::max);
        let digits = if mean < 100.0 { 2 } else { 0 };
        format!("{mean:.digits$} ({least:.digits$}-{most:.digits$})")
    }
}

impl fmt::Display for Summary<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mean =
            |get: fn(&Measures) -> f64| self.0.iter().map(get).sum::<f64>() / self.0.len() as f64;
        write!(
            f,
            "{:<16}{:<16}{:<18}{:<15}{:<20}{:<20}{:<9.1}{:<8.0}{:.1}",
            self.column(|it| it.stalls),
            self.column(|it| it.stall_seconds),
            self.column(|it| it.stall_p95),
            self.column(|it| it.tokens_per_second),
            self.column(|it| it.occupancy),
            self.column(|it| it.worst_p95),
            mean(|it| it.refused),
            mean(|it| it.loads),
            mean(|it| it.messages),
        )
    }
}
