//! What shows that targets can be reached: connections, answers and probes of a large fleet, in virtual time.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bluebellstage_core::{Revision, ServiceId, Time};
use bluebellstage_gateway::decide::partition::PathChange;
use bluebellstage_gateway::decide::paths::ConnectOutcome;
use bluebellstage_gateway::decide::tables::Tables;
use support::fleet::{Fleet, TARGETS, target_id};
use support::{at, engine, tables, tables_with_engines, target};

const INSTANCES: usize = 72;
const DOMAINS: usize = 3;
const ENGINES: usize = 112;
/// Time until all instances know each other and keep connections.
const SETTLING_MS: u64 = 2_000;
const TICK: Duration = Duration::from_millis(5);
/// Probability that a request arrives at an instance in a tick: ten a second.
const ARRIVAL: f64 = 0.05;
const EVENT_INTERVAL: Duration = Duration::from_millis(35);
const STREAM_SPAN: Duration = Duration::from_millis(400);
/// Time for which an idle connection is kept.
const KEPT_FOR: Duration = Duration::from_secs(4);
/// Time for which a target that refused a connection gets no requests.
const EJECTION: Duration = Duration::from_millis(700);
/// Time after which a connection without a response has failed.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// How a target can't be reached.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Lost {
    Refuses,
    Silent,
}

#[derive(Debug)]
struct Stream {
    engine: usize,
    next_event: Time,
    ends: Time,
}

/// Traffic of one instance.
#[derive(Debug, Default)]
struct Traffic {
    streams: Vec<Stream>,
    kept_until: BTreeMap<usize, Time>,
    ejected_until: BTreeMap<usize, Time>,
    /// Connections that will fail.
    hanging: Vec<(Time, usize)>,
    /// Times at which the paths were taken for lost.
    lost_at: Vec<Time>,
}

struct Simulation {
    fleet: Fleet,
    traffic: Vec<Traffic>,
    /// Engines that instances can't reach.
    lost: BTreeMap<(usize, usize), Lost>,
}

impl Simulation {
    fn settled() -> Self {
        let mut fleet = Fleet::start(INSTANCES, DOMAINS, 11);
        let now = fleet.now;
        for idx in 0..INSTANCES {
            for engine in TARGETS..ENGINES {
                let target = target(target_id(engine).as_str(), "writers");
                let registry = &mut fleet.tables_mut(idx).registry;
                registry.put(target, Revision(1), now);
            }
        }
        let traffic = (0..INSTANCES).map(|_| Traffic::default()).collect();
        let lost = BTreeMap::new();
        let mut simulation = Self {
            fleet,
            traffic,
            lost,
        };
        simulation.run_ms(SETTLING_MS);
        simulation
    }

    fn run_ms(&mut self, ms: u64) {
        let until = self.fleet.now + Duration::from_millis(ms);
        while self.fleet.now < until {
            self.fleet.run(TICK);
            for idx in 0..INSTANCES {
                self.step(idx);
            }
        }
    }

    /// Makes engines unreachable from instances, and breaks the connections between them.
    fn lose(&mut self, instances: &[usize], engines: &[usize], lost: Lost) {
        self.fleet.run(TICK);
        for idx in instances {
            let pairs = engines.iter().map(|engine| ((*idx, *engine), lost));
            self.lost.extend(pairs);
            let is_reached = |engine: usize| !engines.contains(&engine);
            let traffic = &mut self.traffic[*idx];
            let streams = traffic.streams.len();
            traffic.streams.retain(|stream| is_reached(stream.engine));
            traffic.kept_until.retain(|engine, _| is_reached(*engine));
            let broken = streams - self.traffic[*idx].streams.len();
            if lost == Lost::Refuses {
                (0..broken).for_each(|_| self.send(*idx));
            }
        }
    }

    fn step(&mut self, idx: usize) {
        let now = self.fleet.now;
        let hanging = std::mem::take(&mut self.traffic[idx].hanging);
        let (failed, hanging) = hanging
            .into_iter()
            .partition::<Vec<_>, _>(|(at, _)| *at <= now);
        self.traffic[idx].hanging = hanging;
        for (_, engine) in failed {
            self.record(idx, engine, ConnectOutcome::TimedOut);
        }
        for stream in std::mem::take(&mut self.traffic[idx].streams) {
            self.continue_stream(idx, stream);
        }
        if self.fleet.random_fraction() < ARRIVAL {
            self.send(idx);
        }
        self.probe(idx);
    }

    fn continue_stream(&mut self, idx: usize, mut stream: Stream) {
        let now = self.fleet.now;
        if stream.next_event <= now {
            stream.next_event = now + EVENT_INTERVAL;
            let tables = self.fleet.tables_mut(idx);
            let change = tables.record_answer(&target_id(stream.engine), now);
            self.note(idx, &change);
        }
        let traffic = &mut self.traffic[idx];
        if stream.ends <= now {
            traffic.kept_until.insert(stream.engine, now + KEPT_FOR);
        } else {
            traffic.streams.push(stream);
        }
    }

    /// Sends a request to an engine, and again while engines refuse connections.
    fn send(&mut self, idx: usize) {
        for _ in 0..ENGINES {
            let engine = self.fleet.random_below(ENGINES);
            let now = self.fleet.now;
            let traffic = &mut self.traffic[idx];
            if traffic
                .ejected_until
                .get(&engine)
                .is_some_and(|until| now < *until)
            {
                continue;
            }
            let kept = traffic.kept_until.remove(&engine);
            let is_kept = kept.is_some_and(|until| now < until);
            if is_kept || self.connect(idx, engine) {
                self.traffic[idx].streams.push(Stream {
                    engine,
                    next_event: now + EVENT_INTERVAL,
                    ends: now + STREAM_SPAN,
                });
                return;
            }
            if self.lost.get(&(idx, engine)) == Some(&Lost::Silent) {
                return;
            }
        }
    }

    fn connect(&mut self, idx: usize, engine: usize) -> bool {
        let now = self.fleet.now;
        match self.lost.get(&(idx, engine)) {
            None => self.record(idx, engine, ConnectOutcome::Opened),
            Some(Lost::Refuses) => self.record(idx, engine, ConnectOutcome::Refused),
            Some(Lost::Silent) => {
                let hanging = &mut self.traffic[idx].hanging;
                hanging.push((now + CONNECT_TIMEOUT, engine));
            }
        }
        !self.lost.contains_key(&(idx, engine))
    }

    fn record(&mut self, idx: usize, engine: usize, outcome: ConnectOutcome) {
        let now = self.fleet.now;
        let tables = self.fleet.tables_mut(idx);
        let change = tables.record_connect(&target_id(engine), outcome, now);
        if outcome != ConnectOutcome::Opened {
            let ejected_until = &mut self.traffic[idx].ejected_until;
            ejected_until.insert(engine, now + EJECTION);
        }
        self.note(idx, &change);
    }

    fn note(&mut self, idx: usize, change: &PathChange) {
        if let PathChange::Lost(..) = change {
            self.traffic[idx].lost_at.push(self.fleet.now);
        }
    }

    /// Probes until no probe is due: a failed connection is followed by the next check at once.
    fn probe(&mut self, idx: usize) {
        loop {
            let now = self.fleet.now;
            let due = self.fleet.tables_mut(idx).due_probes(now);
            if due.is_empty() {
                return;
            }
            for target in due {
                let engine = target.as_str()[1..].parse().unwrap();
                self.connect(idx, engine);
            }
        }
    }

    fn instances_that_lost_paths(&self) -> BTreeSet<usize> {
        let all = 0..INSTANCES;
        all.filter(|idx| !self.traffic[*idx].lost_at.is_empty())
            .collect()
    }
}

/// Guards against instances that take a quarter of the engines that crash at once for a lost path of their own,
/// although answers arrive over connections that they keep.
#[test]
fn a_quarter_of_the_engines_that_crashes_at_once_is_no_lost_path() {
    for lost in [Lost::Refuses, Lost::Silent] {
        let mut simulation = Simulation::settled();
        let all = (0..INSTANCES).collect::<Vec<_>>();
        let quarter = (0..ENGINES).step_by(4).collect::<Vec<_>>();
        simulation.lose(&all, &quarter, lost);
        simulation.run_ms(3_000);
        let mistaken = simulation.instances_that_lost_paths();
        assert!(mistaken.is_empty(), "{lost:?}: {mistaken:?}");
    }
}

/// Guards against lost paths that go unnoticed while many targets have not been tried.
#[test]
fn paths_to_all_engines_that_are_lost_are_noticed_at_once() {
    for (lost, within_ms) in [(Lost::Refuses, 1_000), (Lost::Silent, 1_500)] {
        let mut simulation = Simulation::settled();
        let third = (0..INSTANCES).step_by(3).collect::<Vec<_>>();
        let engines = (0..ENGINES).collect::<Vec<_>>();
        simulation.lose(&third, &engines, lost);
        simulation.run_ms(within_ms);
        let noticed = simulation.instances_that_lost_paths();
        assert_eq!(noticed.into_iter().collect::<Vec<_>>(), third, "{lost:?}");
    }
}

/// Guards against a silent target that is probed once only: whether it is down shows after a longer silence.
#[test]
fn the_lost_path_to_a_single_target_is_noticed_by_probes_alone() {
    let court = ServiceId::try_from("court").unwrap();
    let mut tables = tables();
    let single = target("c1", "court");
    tables.registry.put(single.clone(), Revision(2), at(0));
    let fail = |tables: &mut Tables, ms| {
        let _change = tables.record_connect(&single.id, ConnectOutcome::TimedOut, at(ms));
    };
    fail(&mut tables, 1_000);
    for ms in (1_000..3_000).step_by(50) {
        if !tables.due_probes(at(ms)).is_empty() {
            fail(&mut tables, ms + 250);
        }
    }
    assert!(tables.is_partitioned_from(&court));
}

/// Guards against a request that is tried at one target after another while new connections fail and kept ones go on.
#[test]
fn a_request_that_reaches_none_of_three_targets_goes_to_a_peer() {
    let writers = ServiceId::try_from("writers").unwrap();
    let engines = (0..ENGINES).map(|idx| engine(target_id(idx).as_str(), 1, &[]));
    let mut tables = tables_with_engines(&engines.collect::<Vec<_>>());
    let tried = (0..3).map(target_id).collect::<Vec<_>>();
    let _change = tables.record_answer(&target_id(9), at(1_000));
    for target in &tried {
        let _change = tables.record_connect(target, ConnectOutcome::Refused, at(1_001));
    }
    let is_doubtful = |tried| tables.is_path_in_doubt(&writers, tried, at(1_001), at(1_002));
    assert!(!is_doubtful(&tried[..2]));
    assert!(is_doubtful(&tried));
}
