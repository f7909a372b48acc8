//! Measures how the cost of rate limits grows with instances and workspaces; prints the table of
//! docs/design/rates.md.
//!
//! `cargo run --release -p bluebellstage-core --example rates_slopes`. Messages are counted as
//! JSON, an upper bound for the binary codec. Memory is the growth of the process's resident set.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

use bluebellstage_core::rates::{Limits, Rates, RatesMessage};
use bluebellstage_core::{
    Action, Adoption, Cx, Incarnation, InstanceId, Map, Member, MemberState, Ownership, PastMap,
    PeerMessage, Rate, RequestId, Revision, Terms, Time, Tokens, Tuning, WorkspaceId,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Virtual time between two steps.
const STEP: Duration = Duration::from_millis(10);

/// Steps between two ticks of an instance.
const STEPS_PER_TICK: u32 = 5;

/// Duration of each measurement in virtual seconds.
const SECONDS: u32 = 10;

const LIMITS: Limits = Limits {
    rate: Rate(1_000),
    burst: Tokens(5_000),
};

struct Node {
    rates: Rates,
    own: Ownership,
}

#[derive(Clone, Copy, Default)]
struct Cost {
    messages: u64,
    bytes: u64,
    elapsed: Duration,
}

struct Simulation {
    nodes: Vec<Node>,
    workspaces: Vec<WorkspaceId>,
    queue: VecDeque<(InstanceId, InstanceId, RatesMessage)>,
    now: Time,
    steps: u32,
    requests: u64,
    cost: Cost,
    rng: ChaCha8Rng,
}

fn member(number: usize) -> Member {
    Member {
        id: format!("i{number}").parse().expect("legal name"),
        incarnation: Incarnation(1),
        failure_domain: "a".parse().expect("legal name"),
        caller_address: "127.0.0.1:1".parse().expect("legal address"),
        peer_address: "127.0.0.1:2".parse().expect("legal address"),
        state: MemberState::Active,
    }
}

impl Simulation {
    fn new(instances: usize, workspaces: usize) -> Self {
        let mut members: Vec<_> = (0..instances).map(member).collect();
        members.sort_by(|a, b| a.id.cmp(&b.id));
        let map = Map {
            revision: Revision(1),
            terms: Terms::from(&Tuning::default()),
            members,
            history: Vec::new(),
        };
        let nodes = map.members.iter().map(|member| Node {
            rates: Rates::new(&Tuning::default()),
            own: Ownership {
                lease_expires_at: Time(u64::MAX),
                past_retired_at: Some(Time(0)),
                ..Ownership::new(member.member_ref(), map.clone())
            },
        });
        let name = |number| format!("workspace-{number}").parse().expect("legal name");
        let mut simulation = Self {
            nodes: nodes.collect(),
            workspaces: (0..workspaces).map(name).collect(),
            queue: VecDeque::new(),
            now: Time::from_millis(1_000),
            steps: 0,
            requests: 0,
            cost: Cost::default(),
            rng: ChaCha8Rng::seed_from_u64(1),
        };
        for index in 0..instances {
            for workspace in simulation.workspaces.clone() {
                simulation.with_node(index, |rates, cx| {
                    rates.set_limits(cx, &workspace, Some(LIMITS));
                });
            }
        }
        simulation.run(100, 0);
        simulation
    }

    fn with_node<R>(
        &mut self,
        index: usize,
        apply: impl FnOnce(&mut Rates, &mut Cx<'_>) -> R,
    ) -> R {
        let node = &mut self.nodes[index];
        let mut out = Vec::new();
        let mut cx = Cx {
            now: self.now,
            ownership: &node.own,
            out: &mut out,
        };
        let started_at = Instant::now();
        let result = apply(&mut node.rates, &mut cx);
        self.cost.elapsed += started_at.elapsed();
        for action in out {
            let Action::Send { to, message } = action else {
                continue;
            };
            self.cost.messages += 1;
            self.cost.bytes += serde_json::to_vec(&message).expect("serialises").len() as u64;
            if let PeerMessage::Rates(message) = *message {
                self.queue
                    .push_back((node.own.local.id.clone(), to, message));
            }
        }
        result
    }

    // Runs the simulation with `per_second` requests, at instances and workspaces chosen uniformly
    // at random.
    fn run(&mut self, steps: u32, per_second: u32) {
        for step in 0..steps {
            let due = |step: u32| u64::from(step) * u64::from(per_second) / 100;
            self.now = self.now + STEP;
            self.steps += 1;
            for (from, to, message) in std::mem::take(&mut self.queue) {
                let to = self.nodes.iter().position(|node| node.own.local.id == to);
                let Some(to) = to else {
                    continue;
                };
                self.with_node(to, |rates, cx| rates.message(cx, &from, message));
            }
            for _ in due(step)..due(step + 1) {
                self.request();
            }
            if self.steps.is_multiple_of(STEPS_PER_TICK) {
                for index in 0..self.nodes.len() {
                    self.with_node(index, Rates::tick);
                }
            }
        }
    }

    fn request(&mut self) {
        let index = self.rng.random_range(0..self.nodes.len());
        let workspace_index = self.rng.random_range(0..self.workspaces.len());
        let workspace = self.workspaces[workspace_index].clone();
        self.requests += 1;
        let request = RequestId(self.requests.into());
        self.with_node(index, |rates, cx| {
            rates.admit(cx, request, &workspace, LIMITS, Tokens(100))
        });
    }

    fn measure(&mut self, per_second: u32) -> Cost {
        self.cost = Cost::default();
        self.run(SECONDS * 100, per_second);
        self.cost
    }

    // Removes a member, after which all instances recount their shares.
    fn change_map(&mut self) -> Cost {
        self.cost = Cost::default();
        self.nodes.pop();
        let mut map = self.nodes[0].own.map.clone();
        map.history = vec![PastMap {
            revision: map.revision,
            members: map.members.iter().map(Member::member_ref).collect(),
            active: map.active().cloned().collect(),
        }];
        map.members.pop();
        map.revision = map.revision.next();
        let adoption = |member: &Member| Adoption {
            member_ref: member.member_ref(),
            map: map.revision,
        };
        let adopted: BTreeSet<Adoption> = map.members.iter().map(adoption).collect();
        for node in &mut self.nodes {
            node.own.map = map.clone();
            node.own.adopted.clone_from(&adopted);
        }
        self.run(100, 0);
        self.cost
    }
}

fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1_024
}

fn row(instances: usize, workspaces: usize) {
    let before = resident_bytes();
    let mut simulation = Simulation::new(instances, workspaces);
    let entries = (instances * workspaces) as u64;
    let memory = resident_bytes().saturating_sub(before) / entries;
    let idle = simulation.measure(0);
    // Each workspace uses 80% of its rate: 8 requests per second of 100 tokens.
    let requests = u32::try_from(workspaces * 8).expect("small");
    simulation.measure(requests);
    let busy = simulation.measure(requests);
    let change = simulation.change_map();
    let nodes = instances as u64;
    let per_second = |value: u64| value / nodes / u64::from(SECONDS);
    let micros = |elapsed: Duration| u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
    println!(
        "| {instances} | {workspaces} | {memory} | {} | {} | {} | {} | {} | {} | {} | {} |",
        per_second(idle.messages),
        per_second(micros(idle.elapsed)),
        u64::from(requests) / nodes,
        per_second(busy.messages),
        per_second(busy.bytes),
        per_second(micros(busy.elapsed)),
        change.bytes / nodes,
        micros(change.elapsed) / nodes,
    );
}

fn main() {
    println!("Each instance, each second, except where said otherwise.");
    println!(
        "| instances | workspaces | memory, bytes a workspace | idle messages | idle us | requests | busy messages | busy bytes | busy us | bytes of a map change | us of a map change |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    // A single row in a fresh process gives the most accurate memory figure.
    let mut sizes = std::env::args().skip(1).filter_map(|raw| raw.parse().ok());
    if let (Some(instances), Some(workspaces)) = (sizes.next(), sizes.next()) {
        row(instances, workspaces);
        return;
    }
    for instances in [3, 8, 20, 60] {
        for workspaces in [5, 100, 500, 2_000] {
            row(instances, workspaces);
        }
    }
}
