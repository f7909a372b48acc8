//! The side of an instance that asks for its callers' requests.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    AdapterRef, GroupId, InstanceId, OwnershipKey, Refusal, RefusalKind, RequestId, Revision,
    TargetId, Time,
};

use super::candidates::{Candidates, Choice};
use super::io::Io;
use super::message::{GroupStatus, QueueAsk, Residency};
use super::targets::Targets;
use super::timing::{ANSWER_WAIT, ASK_REFRESH};
use super::view::GroupView;
use super::{AskNumber, EnginesMessage, PermitAsk, PermitEnd, PermitRef};

/// A request that no group's home has in its queue waits this long before it tries all again.
const RETRY_WAIT: Duration = Duration::from_millis(200);

/// Where an open ask stands.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Stage {
    /// No group is left to try before this time.
    Unplaced { until: Time },
    /// Sent to a home that has not answered.
    Sent {
        group: GroupId,
        home: InstanceId,
        at: Time,
    },
    /// In a home's queue.
    Queued {
        group: GroupId,
        home: InstanceId,
        refresh_at: Time,
    },
}

/// A request that waits for a permit.
#[derive(Debug)]
pub(super) struct OpenAsk {
    pub(super) ask: PermitAsk,
    since: Time,
    stage: Stage,
    tried: BTreeSet<GroupId>,
    stray: bool,
}

/// A permit in use.
#[derive(Debug)]
pub(super) struct Held {
    pub(super) group: GroupId,
    pub(super) permit: PermitRef,
    pub(super) target: TargetId,
    pub(super) adapter: AdapterRef,
}

/// An end that its home has not noted yet.
#[derive(Debug)]
pub(super) struct UnnotedEnd {
    end: PermitEnd,
    send_at: Time,
}

/// Places the requests of this instance's callers.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) open: BTreeMap<AskNumber, OpenAsk>,
    pub(super) numbers: BTreeMap<RequestId, AskNumber>,
    pub(super) held: BTreeMap<RequestId, Held>,
    pub(super) ends: BTreeMap<(GroupId, PermitRef), UnnotedEnd>,
    /// Permits granted under an older revision are not taken: their home was told what is held.
    pub(super) floors: BTreeMap<GroupId, Revision>,
    pub(super) views: BTreeMap<GroupId, GroupView>,
    next_number: u64,
    random: u64,
}

impl Entry {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            open: BTreeMap::new(),
            numbers: BTreeMap::new(),
            held: BTreeMap::new(),
            ends: BTreeMap::new(),
            floors: BTreeMap::new(),
            views: BTreeMap::new(),
            next_number: 0,
            random: seed,
        }
    }

    pub(super) fn ask(&mut self, io: &mut Io<'_, '_>, targets: &Targets, ask: PermitAsk) {
        if !Candidates::any(targets, &ask.base_model) {
            let refusal = Refusal::retry_after(RefusalKind::NoTarget, io.cfg.list_interval);
            io.decide(ask.request, Err(refusal));
            return;
        }
        let open = OpenAsk {
            ask,
            since: io.now(),
            stage: Stage::Unplaced { until: io.now() },
            tried: BTreeSet::new(),
            stray: false,
        };
        self.place(io, targets, open);
    }

    /// Sends an open ask to the next candidate, under a new number, so that a late answer to an
    /// earlier number is told apart.
    fn place(&mut self, io: &mut Io<'_, '_>, targets: &Targets, mut open: OpenAsk) {
        let number = AskNumber(self.next_number);
        self.next_number += 1;
        let request = open.ask.request;
        open.stage = if let Some((choice, home)) = self.choose(io, targets, &open) {
            let group = choice.group;
            open.stray = choice.stray;
            let message = queue_ask(io, number, &group, &open);
            io.send(&home, message);
            self.views.entry(group.clone()).or_default().sent();
            let at = io.now();
            Stage::Sent { group, home, at }
        } else {
            open.tried.clear();
            let until = io.now() + RETRY_WAIT;
            Stage::Unplaced { until }
        };
        self.numbers.insert(request, number);
        self.open.insert(number, open);
    }

    fn choose(
        &mut self,
        io: &Io<'_, '_>,
        targets: &Targets,
        open: &OpenAsk,
    ) -> Option<(Choice, InstanceId)> {
        self.random = xxh3_64(&self.random.to_le_bytes());
        let ask = &open.ask;
        let candidates = Candidates {
            targets,
            views: &self.views,
            tried: &open.tried,
            now: io.now(),
            own: io.cx.own,
        };
        let placement = io.cfg.placement;
        let choice = candidates.choose(placement, &ask.base_model, &ask.adapter, self.random)?;
        let home = io
            .cx
            .own
            .owner(&OwnershipKey::Group(choice.group.clone()))?;
        Some((choice, home.clone()))
    }

    /// Takes an open ask back from where it stands and sends it elsewhere.
    fn move_on(&mut self, io: &mut Io<'_, '_>, targets: &Targets, number: AskNumber, tell: bool) {
        let Some(mut open) = self.open.remove(&number) else {
            return;
        };
        if let Stage::Sent { group, home, .. } | Stage::Queued { group, home, .. } = &open.stage {
            open.tried.insert(group.clone());
            if tell {
                send_cancel(io, group, home, number);
            }
        }
        self.place(io, targets, open);
    }

    pub(super) fn cancel(&mut self, io: &mut Io<'_, '_>, request: RequestId) {
        let Some(number) = self.numbers.remove(&request) else {
            return;
        };
        let Some(open) = self.open.remove(&number) else {
            return;
        };
        if let Stage::Sent { group, home, .. } | Stage::Queued { group, home, .. } = &open.stage {
            send_cancel(io, group, home, number);
        }
    }

    pub(super) fn finished(&mut self, io: &mut Io<'_, '_>, request: RequestId, end: PermitEnd) {
        let Some(held) = self.held.remove(&request) else {
            return;
        };
        if end == PermitEnd::WrongAdapter {
            let view = self.views.entry(held.group.clone()).or_default();
            view.lacks(&held.adapter);
        }
        let name = (held.group, held.permit);
        let due = UnnotedEnd {
            end,
            send_at: io.now(),
        };
        self.ends.insert(name, due);
        self.send_ends(io);
    }

    pub(super) fn end_noted(&mut self, group: GroupId, permit: PermitRef) {
        self.ends.remove(&(group, permit));
    }

    /// Sends the ends that are due; each is repeated until its group's home has noted it.
    pub(super) fn send_ends(&mut self, io: &mut Io<'_, '_>) {
        let now = io.now();
        for ((group, permit), end) in &mut self.ends {
            if now < end.send_at {
                continue;
            }
            end.send_at = now + ANSWER_WAIT;
            let Some(home) = io
                .cx
                .own
                .owner(&OwnershipKey::Group(group.clone()))
                .cloned()
            else {
                continue;
            };
            let message = EnginesMessage::Ended {
                group: group.clone(),
                permit: *permit,
                end: end.end,
            };
            io.send(&home, message);
        }
    }

    pub(super) fn heard(&mut self, group: GroupId, status: GroupStatus) {
        self.views.entry(group).or_default().heard(status);
    }

    pub(super) fn told(&mut self, group: GroupId, status: GroupStatus, residency: Residency) {
        let view = self.views.entry(group).or_default();
        view.heard(status);
        view.holds_now(residency);
    }

    pub(super) fn queued(
        &mut self,
        io: &Io<'_, '_>,
        from: &InstanceId,
        number: AskNumber,
        group: GroupId,
        status: GroupStatus,
    ) {
        self.heard(group, status);
        let refresh_at = io.now() + ASK_REFRESH;
        let Some(open) = self.open.get_mut(&number) else {
            return;
        };
        if let Stage::Sent { group, home, .. } | Stage::Queued { group, home, .. } = &open.stage
            && home == from
        {
            open.stage = Stage::Queued {
                group: group.clone(),
                home: home.clone(),
                refresh_at,
            };
        }
    }

    pub(super) fn turned_away(
        &mut self,
        io: &mut Io<'_, '_>,
        targets: &Targets,
        number: AskNumber,
        group: GroupId,
    ) {
        let view = self.views.entry(group).or_default();
        view.avoid_until = io.now() + RETRY_WAIT;
        self.move_on(io, targets, number, false);
    }

    /// Asks whose home moved go on to the new one; others stay where they are queued.
    pub(super) fn map_changed(&mut self, io: &mut Io<'_, '_>, targets: &Targets) {
        let moved: Vec<AskNumber> = self
            .open
            .iter()
            .filter(|(_, open)| match &open.stage {
                Stage::Unplaced { .. } => false,
                Stage::Sent { group, home, .. } | Stage::Queued { group, home, .. } => {
                    io.cx.own.owner(&OwnershipKey::Group(group.clone())) != Some(home)
                }
            })
            .map(|(number, _)| *number)
            .collect();
        for number in moved {
            if let Some(open) = self.open.get_mut(&number) {
                open.tried.clear();
            }
            self.replace(io, targets, number);
        }
        for end in self.ends.values_mut() {
            end.send_at = io.now();
        }
        self.send_ends(io);
    }

    /// A group's new home began to act: asks that wait elsewhere though this group comes first for
    /// them go back to it.
    ///
    /// Guards against requests that went to the next group while a dead home was being replaced, and
    /// wait there for a load that they do not need.
    pub(super) fn home_acts(&mut self, io: &mut Io<'_, '_>, targets: &Targets, group: &GroupId) {
        self.views.entry(group.clone()).or_default().avoid_until = io.now();
        let strayed: Vec<AskNumber> = self
            .open
            .iter()
            .filter(|(_, open)| match &open.stage {
                Stage::Unplaced { .. } => true,
                Stage::Sent { group: at, .. } | Stage::Queued { group: at, .. } => at != group,
            })
            .map(|(number, _)| *number)
            .collect();
        for number in strayed {
            let Some(open) = self.open.get_mut(&number) else {
                continue;
            };
            let tried = std::mem::take(&mut open.tried);
            let ask = open.ask.clone();
            if self.first_choice(io, targets, &ask).as_ref() == Some(group) {
                self.move_on(io, targets, number, true);
            } else if let Some(open) = self.open.get_mut(&number) {
                open.tried = tried;
            }
        }
    }

    fn first_choice(&self, io: &Io<'_, '_>, targets: &Targets, ask: &PermitAsk) -> Option<GroupId> {
        let candidates = Candidates {
            targets,
            views: &self.views,
            tried: &BTreeSet::new(),
            now: io.now(),
            own: io.cx.own,
        };
        let placement = io.cfg.placement;
        let choice = candidates.choose(placement, &ask.base_model, &ask.adapter, self.random);
        choice.map(|choice| choice.group)
    }

    fn replace(&mut self, io: &mut Io<'_, '_>, targets: &Targets, number: AskNumber) {
        if let Some(open) = self.open.remove(&number) {
            self.place(io, targets, open);
        }
    }

    pub(super) fn tick(&mut self, io: &mut Io<'_, '_>, targets: &Targets) {
        self.give_up(io);
        self.send_ends(io);
        let numbers: Vec<AskNumber> = self.open.keys().copied().collect();
        for number in numbers {
            self.push_on(io, targets, number);
        }
    }

    /// Refuses what waited its whole time.
    fn give_up(&mut self, io: &mut Io<'_, '_>) {
        let before = io.now() - io.cfg.queue_patience;
        let late: Vec<(RequestId, Stage)> = self
            .open
            .values()
            .filter(|open| open.since <= before)
            .map(|open| (open.ask.request, open.stage.clone()))
            .collect();
        for (request, stage) in late {
            self.cancel(io, request);
            let refusal = self.refusal(io, &stage);
            io.decide(request, Err(refusal));
        }
    }

    fn refusal(&self, io: &Io<'_, '_>, stage: &Stage) -> Refusal {
        let Stage::Queued { group, .. } = stage else {
            return Refusal::retry_after(RefusalKind::NoTarget, ASK_REFRESH);
        };
        let view = self.views.get(group);
        let span = view.map_or(ASK_REFRESH, |view| {
            view.retry_after(io.cfg.store_loads_per_second)
        });
        Refusal::retry_after(RefusalKind::Overloaded, span)
    }

    fn push_on(&mut self, io: &mut Io<'_, '_>, targets: &Targets, number: AskNumber) {
        let now = io.now();
        let Some(open) = self.open.get_mut(&number) else {
            return;
        };
        match &mut open.stage {
            Stage::Unplaced { until } => {
                if now >= *until {
                    self.replace(io, targets, number);
                }
            }
            Stage::Sent { group, at, .. } => {
                if now >= *at + ANSWER_WAIT {
                    let view = self.views.entry(group.clone()).or_default();
                    view.avoid_until = now + ANSWER_WAIT;
                    self.move_on(io, targets, number, true);
                }
            }
            Stage::Queued {
                group,
                home,
                refresh_at,
            } => {
                if now >= *refresh_at {
                    let stage = Stage::Sent {
                        group: group.clone(),
                        home: home.clone(),
                        at: now,
                    };
                    let home = home.clone();
                    let message = queue_ask(io, number, &group.clone(), open);
                    io.send(&home, message);
                    open.stage = stage;
                }
            }
        }
    }
}

fn queue_ask(
    io: &Io<'_, '_>,
    number: AskNumber,
    group: &GroupId,
    open: &OpenAsk,
) -> EnginesMessage {
    EnginesMessage::Ask(Box::new(QueueAsk {
        number,
        incarnation: io.me().incarnation,
        group: group.clone(),
        ask: open.ask.clone(),
        stray: open.stray,
    }))
}

fn send_cancel(io: &mut Io<'_, '_>, group: &GroupId, home: &InstanceId, number: AskNumber) {
    let message = EnginesMessage::Cancel {
        group: group.clone(),
        incarnation: io.me().incarnation,
        number,
    };
    io.send(home, message);
}
