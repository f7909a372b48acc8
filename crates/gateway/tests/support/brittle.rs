//! Simulation of a fleet before brittle plain targets, in virtual time. The real tables choose the target of each request
//! and the way to it, and tell each other what they heard.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use bluebellstage_core::{Revision, TargetId, Time};
use bluebellstage_gateway::decide::brittle::ReportedBrittleness;
use bluebellstage_gateway::decide::owner::Way;
use bluebellstage_gateway::decide::placement::Pick;
use bluebellstage_gateway::decide::target::Target;

use super::fleet::Fleet;
use super::{call, target};

/// Refusals that a target bears in a second.
pub const MAX_REFUSALS: u32 = 6;
/// One way between instances, or between an instance and a target.
const HOP: Duration = Duration::from_millis(2);
/// Time that a request takes at a target.
const RUN_TIME: Duration = Duration::from_millis(15);
/// Time for which a target that fell over is away.
const AWAY: Duration = Duration::from_secs(3);
/// Pause of a request that found no room.
const PAUSE: Duration = Duration::from_millis(20);
/// Time after which a request without room is refused.
const PATIENCE: Duration = Duration::from_millis(250);
const SECOND: Duration = Duration::from_secs(1);

/// A request.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Request {
    arrived: Time,
    origin: usize,
    /// The instance that looks for a target, and the target as whose owner it got the request.
    at: usize,
    owned: Option<TargetId>,
    tried: Vec<TargetId>,
    tried_here: Vec<TargetId>,
    hops: usize,
}

/// An attempt at a target.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Attempt {
    request: Request,
    target: usize,
    born: u64,
    sent: Time,
    charged_at: Option<Time>,
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Search(Request),
    Arrive(Attempt),
    Refused(Attempt),
    Unreachable(Attempt),
    Served(Attempt),
}

#[derive(Clone, Debug, Default)]
struct SimulatedTarget {
    slots: u32,
    born: u64,
    running: u32,
    /// Whether it has no room whatever it runs.
    is_full: bool,
    away_until: Option<Time>,
    refusals: Vec<Time>,
}

/// A running simulation.
#[derive(Debug)]
pub struct Simulation {
    pub fleet: Fleet,
    targets: Vec<SimulatedTarget>,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    scheduled: u64,
    /// Requests a second.
    pub rate: u64,
    /// Requests that arrive together.
    pub burst: usize,
    due: u64,
    pub served: usize,
    pub refused: usize,
    /// Times that targets fell over.
    pub falls: usize,
    /// Largest number of refusals of a target in a second.
    pub worst_second: usize,
}

fn id(number: usize) -> TargetId {
    TargetId::try_from(&*format!("c{number}")).unwrap()
}

impl Simulation {
    /// Starts with a fleet whose instances have discovered each other, and were told that the targets are brittle.
    pub fn start(mut fleet: Fleet, targets: usize, slots: u32) -> Self {
        fleet.run_ms(1_500);
        let target = SimulatedTarget {
            slots,
            born: 1,
            ..SimulatedTarget::default()
        };
        let mut simulation = Self {
            fleet,
            targets: vec![target; targets],
            events: BinaryHeap::new(),
            scheduled: 0,
            rate: 0,
            burst: 1,
            due: 0,
            served: 0,
            refused: 0,
            falls: 0,
            worst_second: 0,
        };
        for idx in 0..simulation.fleet.len() {
            simulation.register(idx);
        }
        simulation.tell(0, 0);
        simulation.fleet.run_ms(1_000);
        simulation
    }

    /// Makes one target say to one instance that it is brittle.
    fn tell(&mut self, idx: usize, number: usize) {
        let now = self.fleet.now;
        let target = self.registration(number);
        let reported = ReportedBrittleness::Brittle(MAX_REFUSALS);
        let brittle = &mut self.fleet.tables_mut(idx).brittle;
        brittle.record(&target, target.born, reported, now, now);
    }

    fn registration(&self, number: usize) -> Target {
        Target {
            born: Some(self.targets[number].born),
            slots: self.targets[number].slots,
            ..target(id(number).as_str(), "court")
        }
    }

    /// Registers the targets that are there at an instance.
    fn register(&mut self, idx: usize) {
        let now = self.fleet.now;
        for number in 0..self.targets.len() {
            let target = self.registration(number);
            let revision = Revision(1 + target.born.unwrap());
            let registry = &mut self.fleet.tables_mut(idx).registry;
            registry.put(target, revision, now);
        }
    }

    pub fn restart(&mut self, idx: usize) {
        self.fleet.restart(idx, false);
        self.register(idx);
    }

    /// Sets whether a target has no room, whatever it runs.
    pub fn set_full(&mut self, number: usize, is_full: bool) {
        self.targets[number].is_full = is_full;
    }

    pub fn run_ms(&mut self, ms: u64) {
        for _ in 0..ms / 5 {
            self.fleet.run_ms(5);
            self.bring_back_targets();
            self.due += self.rate * 5;
            let batch = 1_000 * u64::try_from(self.burst).unwrap();
            while self.due >= batch {
                self.due -= batch;
                for _ in 0..self.burst {
                    self.receive();
                }
            }
            let now = self.fleet.now;
            while let Some(Reverse((due, _, _))) = self.events.peek()
                && *due <= now
            {
                let Some(Reverse((_, _, event))) = self.events.pop() else {
                    return;
                };
                self.handle(event);
            }
        }
    }

    fn bring_back_targets(&mut self) {
        let now = self.fleet.now;
        for number in 0..self.targets.len() {
            let target = &mut self.targets[number];
            if target.away_until.is_some_and(|until| until <= now) {
                target.away_until = None;
                target.born += 1;
                target.running = 0;
                for idx in 0..self.fleet.len() {
                    self.register(idx);
                }
            }
        }
    }

    fn receive(&mut self) {
        let idx = self.fleet.random_below(self.fleet.len());
        if !self.fleet.is_running(idx) {
            return;
        }
        let request = Request {
            arrived: self.fleet.now,
            origin: idx,
            at: idx,
            owned: None,
            tried: Vec::new(),
            tried_here: Vec::new(),
            hops: 0,
        };
        self.schedule(Duration::ZERO, Event::Search(request));
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.scheduled += 1;
        let due = self.fleet.now + delay;
        self.events.push(Reverse((due, self.scheduled, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Search(request) => self.search(request),
            Event::Arrive(attempt) => self.arrive(attempt),
            Event::Refused(attempt) => self.end(attempt, true),
            Event::Unreachable(attempt) => self.end_unreachable(attempt),
            Event::Served(attempt) => self.end(attempt, false),
        }
    }

    fn search(&mut self, mut request: Request) {
        let (now, idx) = (self.fleet.now, request.at);
        if !self.fleet.is_running(idx) {
            if request.owned.is_some() {
                self.return_to_origin(request);
            }
            return;
        }
        let sample = self.fleet.random_fraction();
        let tables = self.fleet.tables_mut(idx);
        let call = call("/file/1", Some("key-1"));
        let Ok(mut ticket) = tables.admit_forwarded(&call, None, false, 0, now) else {
            self.refused += 1;
            return;
        };
        ticket.may_go_to_owner = request.owned.is_none() && request.hops < 3;
        let pick = tables.pick(&ticket, &call, &request.tried_here, sample, now);
        let Pick::Send { target, .. } = pick else {
            return self.find_no_room(request);
        };
        match tables.way_to(&target, now) {
            Way::Direct { charged_at } => self.send(request, &target, charged_at),
            Way::Owner(owner) => {
                let at = (0..self.fleet.len())
                    .find(|idx| self.fleet.tables(*idx).local.name == owner.name)
                    .unwrap();
                let forwarded = Request {
                    at,
                    owned: Some(target),
                    tried: request.tried_here,
                    tried_here: Vec::new(),
                    hops: request.hops + 1,
                    ..request
                };
                self.schedule(HOP, Event::Search(forwarded));
            }
            Way::Later => self.schedule(Duration::ZERO, Event::Search(request)),
            Way::None => {
                request.tried_here.push(target);
                self.schedule(Duration::ZERO, Event::Search(request));
            }
        }
    }

    fn send(&mut self, request: Request, target: &TargetId, charged_at: Option<Time>) {
        let now = self.fleet.now;
        self.fleet.tables_mut(request.at).start_request(target, now);
        let number = (0..self.targets.len()).find(|number| id(*number) == *target);
        let number = number.unwrap();
        let attempt = Attempt {
            request,
            target: number,
            born: self.targets[number].born,
            sent: now,
            charged_at,
        };
        self.schedule(HOP, Event::Arrive(attempt));
    }

    fn find_no_room(&mut self, request: Request) {
        if request.owned.is_some() {
            return self.return_to_origin(request);
        }
        if self.fleet.now.since(request.arrived) > PATIENCE {
            self.refused += 1;
            return;
        }
        let again = Request {
            tried_here: Vec::new(),
            hops: 0,
            ..request
        };
        self.schedule(PAUSE, Event::Search(again));
    }

    /// Returns a request that an owner did not serve; its origin leaves the target out.
    fn return_to_origin(&mut self, request: Request) {
        let now = self.fleet.now;
        let mut tried = request.tried;
        if let Some(owned) = request.owned {
            let left = self.fleet.tables(request.at).rest_left(&owned, now);
            let origin = self.fleet.tables_mut(request.origin);
            origin.record_rest_at_owner(&owned, left, now);
            tried.push(owned);
        }
        let returned = Request {
            at: request.origin,
            owned: None,
            tried: Vec::new(),
            tried_here: tried,
            ..request
        };
        self.schedule(HOP, Event::Search(returned));
    }

    fn arrive(&mut self, attempt: Attempt) {
        let now = self.fleet.now;
        let target = &mut self.targets[attempt.target];
        if target.away_until.is_some() || target.born != attempt.born {
            return self.schedule(HOP, Event::Unreachable(attempt));
        }
        if !target.is_full && target.running < target.slots {
            target.running += 1;
            return self.schedule(RUN_TIME, Event::Served(attempt));
        }
        target.refusals.retain(|at| now.since(*at) < SECOND);
        target.refusals.push(now);
        let refusals = target.refusals.len();
        if refusals > usize::try_from(MAX_REFUSALS).unwrap() {
            target.refusals.clear();
            target.away_until = Some(now + AWAY);
            self.falls += 1;
        }
        self.worst_second = self.worst_second.max(refusals);
        self.schedule(HOP, Event::Refused(attempt));
    }

    fn end(&mut self, attempt: Attempt, is_refused: bool) {
        let now = self.fleet.now;
        let is_same = self.targets[attempt.target].born == attempt.born;
        if !is_refused && is_same {
            let target = &mut self.targets[attempt.target];
            target.running = target.running.saturating_sub(1);
        }
        let idx = attempt.request.at;
        if !self.fleet.is_running(idx) {
            return;
        }
        let registration = self.registration(attempt.target);
        let reported = ReportedBrittleness::Brittle(MAX_REFUSALS);
        let id = registration.id.clone();
        let tables = self.fleet.tables_mut(idx);
        let (born, sent) = (Some(attempt.born), attempt.sent);
        tables
            .brittle
            .record(&registration, born, reported, sent, now);
        tables.end_request(&id);
        if is_refused {
            tables.record_refusal(&id, now);
            if let Some(charged_at) = attempt.charged_at {
                tables.brittle.record_refused(&id, charged_at, now);
            }
            return self.search_elsewhere(attempt.request, id);
        }
        tables.rests.record_taken(&id, sent);
        if let Some(charged_at) = attempt.charged_at {
            tables.brittle.record_taken(&id, charged_at);
        }
        self.served += 1;
    }

    fn end_unreachable(&mut self, attempt: Attempt) {
        let idx = attempt.request.at;
        if !self.fleet.is_running(idx) {
            return;
        }
        let id = id(attempt.target);
        let tables = self.fleet.tables_mut(idx);
        tables.end_request(&id);
        if let Some(charged_at) = attempt.charged_at {
            tables.brittle.record_taken(&id, charged_at);
        }
        self.search_elsewhere(attempt.request, id);
    }

    fn search_elsewhere(&mut self, mut request: Request, tried: TargetId) {
        request.tried_here.push(tried);
        self.schedule(Duration::ZERO, Event::Search(request));
    }
}
