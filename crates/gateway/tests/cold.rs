//! Cold targets: no more requests arrive there in any second than they accept from all instances together.

mod support;

use std::time::Duration;

use bluebellstage_core::{Revision, TargetId, Time};
use bluebellstage_gateway::decide::cold::{ColdSign, ColdTargets};
use bluebellstage_gateway::decide::placement::Pick;
use bluebellstage_gateway::decide::tables::Tables;
use bluebellstage_gateway::decide::target::Target;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::{adapter_at, at, cold_start, config, draft, inform, member, peer, target};

/// Requests that may arrive at a cold target in one second: 7.5 x 1.5 + 5, as the deployment promises it.
const BOUND: usize = 16;
/// Adapters; each engine holds all.
const ADAPTERS: u32 = 6;
/// Step of the virtual time.
const TICK_MS: u64 = 10;

/// What happens to the engines.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    /// Engines are down for a second and restart empty; loading the base model takes a second. Their
    /// registrations arrive up to two seconds late.
    Restart {
        /// Fraction of the engines.
        fraction: f64,
    },
    /// The engines of a failure domain are evacuated and are cold when it is taken back.
    Evacuation,
}

#[derive(Clone, Copy, Debug)]
struct Scenario {
    instances: usize,
    engines: usize,
    requests_per_second: f64,
    trouble: Trouble,
    /// Instances that reach no peer.
    cut_off: usize,
    /// Signs of coldness are ignored.
    unguarded: bool,
    seed: u64,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            instances: 8,
            engines: 9,
            requests_per_second: 300.0,
            trouble: Trouble::Restart { fraction: 0.34 },
            cut_off: 0,
            unguarded: false,
            seed: 1,
        }
    }
}

/// What the callers and the engines saw.
#[derive(Debug, Default)]
struct Observed {
    served: usize,
    refused: usize,
    /// Requests that were served while engines were cold.
    served_while_cold: usize,
    /// Most arrivals at a cold engine in one second.
    most_in_a_second: usize,
}

struct Engine {
    id: TargetId,
    domain: &'static str,
    down: bool,
    /// It rejects requests until then, as it does not hold the base model.
    empty_until: Time,
    cold_until: Time,
    /// Arrivals while it was cold.
    arrivals: Vec<Time>,
}

struct Simulation {
    scenario: Scenario,
    rng: ChaCha8Rng,
    tables: Vec<Tables>,
    engines: Vec<Engine>,
    /// Requests that are running: when they end, and at which instance and engine.
    running: Vec<(Time, usize, TargetId)>,
    /// Registrations under way to an instance.
    registrations: Vec<(Time, usize, Target)>,
    observed: Observed,
}

const DOMAINS: [&str; 3] = ["north", "south", "west"];

fn registration(id: &TargetId, domain: &str, born: u64, cold_left: Duration) -> Target {
    Target {
        born: Some(born),
        slots: 64,
        failure_domain: domain.try_into().unwrap(),
        adapters: (0..ADAPTERS)
            .map(|idx| adapter_at(&format!("a{idx}"), 1))
            .collect(),
        cold_left: Some(cold_left),
        ..target(id.as_str(), "writers")
    }
}

impl Scenario {
    fn run(self) -> Observed {
        let mut simulation = Simulation::new(self);
        for ms in (0..12_000).step_by(usize::try_from(TICK_MS).unwrap()) {
            simulation.tick(ms);
        }
        simulation.observe_arrivals();
        simulation.observed
    }
}

impl Simulation {
    fn new(scenario: Scenario) -> Self {
        let engines = (0..scenario.engines).map(|idx| Engine {
            id: TargetId::try_from(&*format!("e{idx}")).unwrap(),
            domain: DOMAINS[idx % DOMAINS.len()],
            down: false,
            empty_until: at(0),
            cold_until: at(0),
            arrivals: Vec::new(),
        });
        let engines = engines.collect::<Vec<_>>();
        let mut cfg = config(1);
        cfg.services[0].cold_start = (!scenario.unguarded).then(cold_start);
        cfg.services[0].max_connections = 100_000;
        let tables = (0..scenario.instances).map(|idx| {
            let mut tables =
                Tables::new(member(&format!("i{idx}"), "north"), support::retry_budget());
            assert!(tables.adopt(cfg.clone(), at(0)));
            inform(&mut tables);
            for engine in &engines {
                let entry = registration(&engine.id, engine.domain, 1, Duration::ZERO);
                tables.residency.apply_registration(&entry, at(0));
                tables.registry.put(entry, Revision(1), at(0));
            }
            tables
        });
        Self {
            tables: tables.collect(),
            engines,
            rng: ChaCha8Rng::seed_from_u64(scenario.seed),
            running: Vec::new(),
            registrations: Vec::new(),
            observed: Observed::default(),
            scenario,
        }
    }

    fn tick(&mut self, ms: u64) {
        let now = at(ms);
        match self.scenario.trouble {
            Trouble::Restart { fraction } => self.restart(fraction, ms),
            Trouble::Evacuation => self.evacuate(ms),
        }
        self.deliver_registrations(now);
        if ms.is_multiple_of(500) {
            self.exchange(now);
        }
        self.end_requests(now);
        let expected =
            self.scenario.requests_per_second * 0.001 * f64::from(u32::try_from(TICK_MS).unwrap());
        let mut count =
            expected.floor() + f64::from(u8::from(self.rng.random_bool(expected.fract())));
        // Callers that were refused during the trouble return at once.
        if ms == 5_100 || ms == 8_000 {
            count += 30.0;
        }
        while count >= 1.0 {
            count -= 1.0;
            self.send(now);
        }
    }

    fn restart(&mut self, fraction: f64, ms: u64) {
        let affected = f64::from(u32::try_from(self.engines.len()).unwrap()) * fraction;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a small count"
        )]
        let affected = affected.round() as usize;
        if ms == 4_000 {
            for engine in &mut self.engines[..affected] {
                engine.down = true;
            }
        }
        if ms == 5_000 {
            for engine in &mut self.engines[..affected] {
                engine.down = false;
                engine.empty_until = at(ms + 1_000);
                engine.cold_until = at(ms) + cold_start().duration;
                let entry = registration(&engine.id, engine.domain, 2, cold_start().duration);
                for instance in 0..self.tables.len() {
                    let delay = Duration::from_millis(self.rng.random_range(50..2_000));
                    self.registrations
                        .push((at(ms) + delay, instance, entry.clone()));
                }
            }
        }
    }

    fn evacuate(&mut self, ms: u64) {
        let change = match ms {
            3_000 => true,
            8_000 => false,
            _ => return,
        };
        if !change {
            let affected = self
                .engines
                .iter_mut()
                .filter(|engine| engine.domain == "south");
            for engine in affected {
                engine.cold_until = at(ms) + cold_start().duration;
            }
        }
        for tables in &mut self.tables {
            let changes = vec![("south".try_into().unwrap(), change)];
            let changes = tables
                .evacuations
                .apply_changes(changes, Revision(ms), at(ms));
            tables.record_evacuations(&changes, at(ms));
        }
    }

    fn deliver_registrations(&mut self, now: Time) {
        let arrived = self.registrations.extract_if(.., |(due, _, _)| *due <= now);
        for (_, instance, entry) in arrived {
            let tables = &mut self.tables[instance];
            tables.residency.apply_registration(&entry, now);
            tables.registry.put(entry, Revision(2), now);
        }
    }

    fn exchange(&mut self, now: Time) {
        let reachable = self.scenario.cut_off..self.tables.len();
        for idx in 0..self.tables.len() {
            for other in (0..self.tables.len()).filter(|other| *other != idx) {
                let name = format!("i{other}");
                let is_reachable = reachable.contains(&idx) && reachable.contains(&other);
                let peers = &mut self.tables[idx].peers;
                if is_reachable {
                    peers.update(peer(&name, now));
                } else {
                    peers.register(member(&name, "north"));
                }
            }
        }
    }

    fn end_requests(&mut self, now: Time) {
        let ended = self
            .running
            .extract_if(.., |(ends_at, _, _)| *ends_at <= now);
        for (_, instance, target) in ended {
            self.tables[instance].end_request(&target);
        }
    }

    fn send(&mut self, now: Time) {
        let call = draft(&format!("a{}", self.rng.random_range(0..ADAPTERS)));
        let instance = self.rng.random_range(0..self.tables.len());
        let tables = &mut self.tables[instance];
        let ticket = tables.admit(&call, 0, now).unwrap();
        let mut tried = Vec::new();
        while let Pick::Send { target, .. } =
            tables.pick(&ticket, &call, &tried, self.rng.random(), now)
        {
            let idx = self.engines.iter().position(|engine| engine.id == target);
            let engine = &mut self.engines[idx.unwrap()];
            if engine.down {
                tables.record_unreachable(&target, now);
                tried.push(target);
                continue;
            }
            if now < engine.empty_until {
                tried.push(target);
                continue;
            }
            if now < engine.cold_until {
                engine.arrivals.push(now);
            }
            self.observed.served += 1;
            if self.engines.iter().any(|engine| now < engine.cold_until) {
                self.observed.served_while_cold += 1;
            }
            tables.start_request(&target, now);
            let duration = Duration::from_millis(self.rng.random_range(100..400));
            self.running.push((now + duration, instance, target));
            return;
        }
        self.observed.refused += 1;
    }

    fn observe_arrivals(&mut self) {
        for engine in &self.engines {
            for (first, since) in engine.arrivals.iter().enumerate() {
                let within = engine.arrivals[first..]
                    .iter()
                    .take_while(|at| at.since(*since) < Duration::from_secs(1));
                let count = within.count();
                self.observed.most_in_a_second = self.observed.most_in_a_second.max(count);
            }
        }
    }
}

fn worst(scenario: Scenario, seeds: u64) -> usize {
    let runs = (1..=seeds).map(|seed| Scenario { seed, ..scenario }.run());
    runs.map(|observed| observed.most_in_a_second)
        .max()
        .unwrap()
}

/// Guards against a herd of requests on engines that have restarted.
#[test]
fn restarted_engines_get_no_more_than_they_accept() {
    for instances in [8, 60, 195] {
        let scenario = Scenario {
            instances,
            ..Scenario::default()
        };
        assert!(worst(scenario, 3) <= BOUND, "{instances} instances");
        let unguarded = Scenario {
            unguarded: true,
            ..scenario
        };
        assert!(
            worst(unguarded, 1) > BOUND,
            "the load does not test the guard"
        );
    }
}

/// Guards against a herd of requests on the engines of a domain that is taken back.
#[test]
fn engines_of_a_domain_that_is_taken_back_get_no_more_than_they_accept() {
    for instances in [8, 60, 195] {
        let scenario = Scenario {
            instances,
            trouble: Trouble::Evacuation,
            ..Scenario::default()
        };
        assert!(worst(scenario, 3) <= BOUND, "{instances} instances");
        let unguarded = Scenario {
            unguarded: true,
            ..scenario
        };
        assert!(
            worst(unguarded, 1) > BOUND,
            "the load does not test the guard"
        );
    }
}

/// Guards against instances that are cut off and admit requests in addition to the others.
#[test]
fn with_all_engines_cold_some_requests_are_served_within_the_bound() {
    let all_cold = Scenario {
        instances: 60,
        trouble: Trouble::Restart { fraction: 1.0 },
        ..Scenario::default()
    };
    for cut_off in [0, 7, 40] {
        let scenario = Scenario {
            cut_off,
            ..all_cold
        };
        assert!(worst(scenario, 3) <= BOUND, "{cut_off} cut off");
    }
    let observed = all_cold.run();
    assert!(observed.served_while_cold > 0, "{observed:?}");
}

/// Guards against a registration that would take a target out for good.
#[test]
fn a_report_of_a_long_cold_time_is_cut() {
    let mut cold = ColdTargets::default();
    let id = TargetId::try_from("e1").unwrap();
    assert_eq!(cold.time_left(&id, cold_start(), at(0)), Duration::ZERO);
    let far = ColdSign::Reported(Duration::from_secs(1_000_000_000));
    cold.record(&id, far, at(0));
    let left = cold.time_left(&id, cold_start(), at(0));
    assert_eq!(left, cold_start().duration * 2);
    assert_eq!(cold.time_left(&id, cold_start(), at(6_000)), Duration::ZERO);
}
