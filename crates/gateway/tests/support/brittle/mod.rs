//! Simulation of a fleet before brittle plain targets, in virtual time. The real tables choose the target of each request
//! and the way to it, and tell each other what they heard.

mod event;
mod restarts;
mod target;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use bluebellstage_core::{Revision, TargetId, Time};
use bluebellstage_gateway::decide::brittle::ReportedBrittleness;
use bluebellstage_gateway::decide::owner::Way;
use bluebellstage_gateway::decide::placement::Pick;
use bluebellstage_gateway::decide::target::Target;

use self::event::{Attempt, Event, Request};
pub use self::target::TargetModel;
use self::target::{Arrival, SimulatedTarget};
use super::fleet::Fleet;
use super::{call, target};

/// Refusals that a target bears in a second, unless a test says otherwise.
pub const MAX_REFUSALS: u32 = 6;
/// One way between instances, or between an instance and a target.
const HOP: Duration = Duration::from_millis(2);
/// Pause of a request that found no room.
const PAUSE: Duration = Duration::from_millis(20);
/// Owners that a request is forwarded to before it pauses.
const MAX_HOPS: usize = 3;
/// Time for which a request waits at the last owner, where it is woken when a request of the target ends.
const OWNER_PATIENCE: Duration = Duration::from_millis(40);
const OWNER_PAUSE: Duration = Duration::from_millis(5);
/// Pause of a request at an instance that does not send requests yet.
const PREPARATION_PAUSE: Duration = Duration::from_millis(5);
/// Longest wait of a new process for what targets report.
const MAX_REPORT_WAIT: Duration = Duration::from_millis(150);
/// Time after which a request without room is refused.
const PATIENCE: Duration = Duration::from_millis(250);

/// A running simulation.
#[derive(Debug)]
pub struct Simulation {
    pub fleet: Fleet,
    model: TargetModel,
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
}

fn id(number: usize) -> TargetId {
    TargetId::try_from(&*format!("c{number}")).unwrap()
}

impl Simulation {
    /// Starts with a fleet whose instances have discovered each other, and were told that the targets are brittle.
    pub fn start(fleet: Fleet, targets: usize, slots: u32) -> Self {
        Self::with(fleet, targets, TargetModel::with_slots(slots))
    }

    /// Starts like [`Simulation::start`], with targets that behave as `model` says.
    pub fn with(fleet: Fleet, targets: usize, model: TargetModel) -> Self {
        let mut simulation = Self::untold(fleet, targets, model);
        simulation.tell(0, 0);
        simulation.fleet.run_ms(1_000);
        simulation
    }

    /// Starts with a fleet whose instances have discovered each other, and know of no brittle target.
    pub fn untold(mut fleet: Fleet, targets: usize, model: TargetModel) -> Self {
        fleet.run_ms(1_500);
        let mut simulation = Self {
            fleet,
            model,
            targets: vec![SimulatedTarget::new(model); targets],
            events: BinaryHeap::new(),
            scheduled: 0,
            rate: 0,
            burst: 1,
            due: 0,
            served: 0,
            refused: 0,
        };
        for idx in 0..simulation.fleet.len() {
            simulation.register(idx);
        }
        simulation
    }

    /// Times that targets fell over.
    pub fn falls(&self) -> usize {
        self.targets.iter().map(|target| target.falls).sum()
    }

    /// Largest number of refusals of a target in a second.
    pub fn worst_second(&self) -> usize {
        let worst = self.targets.iter().map(|target| target.worst_second);
        worst.max().unwrap()
    }

    /// A request in a thousand may be refused where the other targets have room.
    pub fn assert_served(&self) {
        let Self {
            served, refused, ..
        } = self;
        assert!(*served > 0);
        assert!(
            refused * 1_000 <= *served,
            "{refused} refused, {served} served by {} instances",
            self.fleet.len()
        );
    }

    const fn reported(&self) -> ReportedBrittleness {
        ReportedBrittleness::Brittle(self.model.max_refusals)
    }

    /// Makes one target say to one instance that it is brittle.
    fn tell(&mut self, idx: usize, number: usize) {
        let now = self.fleet.now;
        let target = self.registration(number);
        let reported = self.reported();
        let brittle = &mut self.fleet.tables_mut(idx).brittle;
        brittle.record(&target, target.born, reported, now, now);
    }

    fn registration(&self, number: usize) -> Target {
        Target {
            born: Some(self.targets[number].born),
            slots: self.model.slots,
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

    /// Sets whether a target has no room, whatever it runs.
    pub fn set_full(&mut self, number: usize, is_full: bool) {
        self.targets[number].is_full = is_full;
    }

    /// Makes the process of a target stand still for a while.
    pub fn silence(&mut self, number: usize, span: Duration) {
        self.targets[number].silent_until = Some(self.fleet.now + span);
    }

    /// Runs for so many milliseconds, in steps of five.
    pub fn run_ms(&mut self, ms: u64) {
        for _ in 0..ms / 5 {
            self.fleet.run_ms(5);
            self.bring_back_targets();
            self.send_checks();
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
            for attempt in self.targets[number].wake(now) {
                self.arrive(attempt);
            }
            if self.targets[number].returns(now) {
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
            waits_since: None,
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
            Event::Check(idx, number) => self.check(idx, number),
            Event::Sign(idx, number) => self.receive_sign(idx, number),
            Event::FirstReport(idx, asker, number) => self.receive_report(idx, asker, number),
        }
    }

    fn send_checks(&mut self) {
        let now = self.fleet.now;
        for idx in (0..self.fleet.len())
            .filter(|idx| self.fleet.is_running(*idx))
            .collect::<Vec<_>>()
        {
            for target in self.fleet.tables_mut(idx).take_brittle_checks(now) {
                let number = (0..self.targets.len()).find(|number| id(*number) == target);
                self.schedule(HOP, Event::Check(idx, number.unwrap()));
            }
        }
    }

    fn check(&mut self, idx: usize, number: usize) {
        let target = &self.targets[number];
        if !target.is_away() {
            let silent = target.silent_until.map(|until| until.since(self.fleet.now));
            self.schedule(silent.unwrap_or_default() + HOP, Event::Sign(idx, number));
        }
    }

    fn receive_sign(&mut self, idx: usize, number: usize) {
        if self.fleet.is_running(idx) {
            let now = self.fleet.now;
            self.fleet.tables_mut(idx).record_answer(&id(number), now);
        }
    }

    fn search(&mut self, mut request: Request) {
        let (now, idx) = (self.fleet.now, request.at);
        if !self.fleet.is_running(idx) {
            if request.owned.is_some() {
                self.return_unsent(request);
            }
            return;
        }
        if !self.fleet.tables(idx).is_prepared() {
            if request.owned.is_some() {
                return self.return_to_origin(request);
            }
            return self.schedule(PREPARATION_PAUSE, Event::Search(request));
        }
        let sample = self.fleet.random_fraction();
        let tables = self.fleet.tables_mut(idx);
        let call = call("/file/1", Some("key-1"));
        let Ok(mut ticket) = tables.admit_forwarded(&call, None, false, 0, now) else {
            self.refused += 1;
            return;
        };
        ticket.may_go_to_owner = request.owned.is_none() && request.hops < MAX_HOPS;
        let pick = tables.pick(&ticket, &call, &request.tried_here, sample, now);
        let Pick::Send { target, .. } = pick else {
            return self.find_no_room(request, &pick);
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
                    waits_since: None,
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
            sender: self.fleet.tables(request.at).local.incarnation,
            request,
            target: number,
            born: self.targets[number].born,
            sent: now,
            charged_at,
        };
        self.schedule(HOP, Event::Arrive(attempt));
    }

    fn find_no_room(&mut self, request: Request, pick: &Pick) {
        let now = self.fleet.now;
        let is_patient = now.since(request.arrived) <= PATIENCE;
        let waits_since = request.waits_since.unwrap_or(now);
        let waits = request.hops >= MAX_HOPS && now.since(waits_since) < OWNER_PATIENCE;
        if request.owned.is_some() && waits && *pick == Pick::Full {
            let waiting = Request {
                waits_since: Some(waits_since),
                ..request
            };
            return self.schedule(OWNER_PAUSE, Event::Search(waiting));
        }
        if request.owned.is_some() {
            return self.return_to_origin(request);
        }
        if !is_patient {
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

    /// Returns a request that could not be sent to an owner, as its process has ended.
    fn return_unsent(&mut self, request: Request) {
        let now = self.fleet.now;
        let owner = self.fleet.tables(request.at).local.name.clone();
        let origin = self.fleet.tables_mut(request.origin);
        origin.record_owner_unreached(&owner, now);
        let returned = Request {
            at: request.origin,
            owned: None,
            tried_here: request.tried,
            tried: Vec::new(),
            ..request
        };
        self.schedule(HOP, Event::Search(returned));
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
        match self.targets[attempt.target].arrive(&attempt, now) {
            Arrival::Unreachable => self.schedule(HOP, Event::Unreachable(attempt)),
            Arrival::Held => {}
            Arrival::Runs => self.schedule(self.model.run_time, Event::Served(attempt)),
            Arrival::Refused => self.schedule(HOP, Event::Refused(attempt)),
        }
    }

    /// Whether the process that sent an attempt still runs.
    fn is_sender_running(&self, attempt: &Attempt) -> bool {
        let idx = attempt.request.at;
        let incarnation = self.fleet.tables(idx).local.incarnation;
        self.fleet.is_running(idx) && incarnation == attempt.sender
    }

    fn end(&mut self, attempt: Attempt, is_refused: bool) {
        let now = self.fleet.now;
        let target = &mut self.targets[attempt.target];
        if let Some(until) = target.silent_until
            && !is_refused
        {
            return self.schedule(until.since(now), Event::Served(attempt));
        }
        if !is_refused && (target.is_away() || target.born != attempt.born) {
            return self.end_unreachable(attempt);
        }
        if !is_refused {
            target.running -= 1;
        }
        if !self.is_sender_running(&attempt) {
            return;
        }
        let idx = attempt.request.at;
        let registration = self.registration(attempt.target);
        let reported = self.reported();
        let id = registration.id.clone();
        let tables = self.fleet.tables_mut(idx);
        tables.record_answer(&id, now);
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
            let mut request = attempt.request;
            // A target that stood still does not use up the patience of its requests.
            request.arrived = request.arrived + now.since(sent + HOP * 2);
            return self.search_elsewhere(request, id);
        }
        tables.rests.record_taken(&id, sent);
        if let Some(charged_at) = attempt.charged_at {
            tables.brittle.record_taken(&id, charged_at);
        }
        self.served += 1;
    }

    fn end_unreachable(&mut self, attempt: Attempt) {
        if !self.is_sender_running(&attempt) {
            return;
        }
        let idx = attempt.request.at;
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
