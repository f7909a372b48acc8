//! The catalogue state machine: which revision is in force here, and for how long that is sure.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

use crate::membership::CatalogueQuorum;
use crate::platform::PlatformResponse;
use crate::{
    Action, CallId, Cx, InstanceId, Notice, ObjectVersion, OwnershipKey, PeerMessage, PlatformCall,
    PlatformOp, PlatformPurpose, PlatformReply, Revision, Time,
};

use super::compact::Compaction;
use super::head::{Head, head_object};
use super::reader::{Reader, ReaderStep};
use super::recent::Recent;
use super::writer::{Writer, WriterStep};
use super::{CatalogueMessage, CatalogueState, ChangeRequest};

/// Pause before a read that failed is tried again.
const READ_PAUSE: Duration = Duration::from_millis(200);

/// The head as last read or written.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct KnownHead {
    /// Its content.
    pub head: Head,
    /// Its version in the platform; none while there is no such object.
    pub version: Option<ObjectVersion>,
}

/// Follows the catalogue, proves it current and writes operators' changes.
#[derive(Debug, Default)]
pub struct Catalogue {
    state: CatalogueState,
    loaded: bool,
    head: KnownHead,
    adopted: Time,
    announced: Revision,
    fresh_until: Time,
    unsure_since: Option<Time>,
    head_read: Option<Time>,
    next_read: Time,
    wanted: Revision,
    proof: Option<Proof>,
    reader: Reader,
    pushed: BTreeMap<Revision, ChangeRequest>,
    recent: Recent,
    /// The highest revision that a majority was known to have in force.
    held: Revision,
    writer: Writer,
    compaction: Compaction,
    calls: u64,
}

/// A head read that proves the catalogue current once its revision is in force here.
#[derive(Clone, Copy, Debug)]
struct Proof {
    asked: Time,
    revision: Revision,
}

/// How current the catalogue is here, for status pages.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct CatalogueStatus {
    /// The revision in force here.
    pub revision: Revision,
    /// It is proved current.
    pub fresh: bool,
    /// Changes of operators under way here.
    pub pending_changes: usize,
}

impl Catalogue {
    /// The entries in force here.
    #[must_use]
    pub const fn state(&self) -> &CatalogueState {
        &self.state
    }

    /// Whether the platform's catalogue was read at least once in this life.
    #[must_use]
    pub const fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Whether the entries in force here are proved current.
    ///
    /// Guards against a withdrawn key that goes on working at an instance that is cut off: such an
    /// instance finds neither the platform nor a majority, and its last proof runs out.
    #[must_use]
    pub fn is_fresh(&self, now: Time) -> bool {
        self.loaded && now < self.fresh_until
    }

    /// The revision to report in heartbeats.
    #[must_use]
    pub const fn reported(&self) -> Revision {
        if self.loaded && self.unsure_since.is_none() {
            self.state.revision
        } else {
            Revision::UNCERTAIN
        }
    }

    /// A summary for status pages.
    #[must_use]
    pub fn status(&self, now: Time) -> CatalogueStatus {
        CatalogueStatus {
            revision: self.state.revision,
            fresh: self.is_fresh(now),
            pending_changes: self.writer.len(),
        }
    }

    /// An operator's change; answered by [`Action::Applied`].
    pub fn change(&mut self, cx: &mut Cx<'_>, request: ChangeRequest) {
        self.writer.enqueue(cx.now, request);
        self.write_on(cx);
    }

    /// A watch saw the head change.
    pub fn head_hint(&mut self, cx: &mut Cx<'_>) {
        self.wanted = self.wanted.max(self.state.revision.next());
        self.read_if_due(cx);
    }

    /// A newer map is in force.
    ///
    /// Guards against a change that only lives on at instances which the new map dropped: the rest
    /// would prove an older revision current among themselves. A head read that was sent after the
    /// map came in force shows that change, so until then this instance is not sure.
    pub fn map_changed(&mut self, cx: &mut Cx<'_>) {
        self.held = Revision::default();
        self.unsure_since = Some(cx.now);
        self.next_read = cx.now;
        self.read_if_due(cx);
    }

    /// Time passed; `quorum` is what a majority says of the catalogue.
    pub fn tick(&mut self, cx: &mut Cx<'_>, quorum: Option<CatalogueQuorum>) {
        self.take_quorum(cx, quorum);
        self.read_if_due(cx);
        self.write_on(cx);
        self.compact(cx);
    }

    /// Takes a message.
    pub fn message(&mut self, cx: &mut Cx<'_>, from: &InstanceId, message: CatalogueMessage) {
        match message {
            CatalogueMessage::Push { revision, change } => {
                self.take_push(cx, revision, change);
            }
            CatalogueMessage::Missing { revision } => self.make_up(cx, from, revision),
        }
    }

    /// Takes an answer to `CatalogueHead`, `CatalogueRead` or `CatalogueWrite`.
    pub fn platform(&mut self, cx: &mut Cx<'_>, answer: PlatformResponse) {
        match answer.purpose {
            PlatformPurpose::CatalogueHead => self.take_head(cx, &answer),
            PlatformPurpose::CatalogueRead => self.take_read(cx, &answer),
            PlatformPurpose::CatalogueWrite => self.take_write(cx, answer),
            _ => {}
        }
    }

    fn take_quorum(&mut self, cx: &Cx<'_>, quorum: Option<CatalogueQuorum>) {
        let Some(quorum) = quorum else {
            return;
        };
        self.held = self.held.max(quorum.majority_revision);
        if !self.loaded || self.unsure_since.is_some() {
            return;
        }
        if quorum.highest > self.state.revision {
            self.wanted = self.wanted.max(quorum.highest);
            return;
        }
        self.fresh_until = self
            .fresh_until
            .max(quorum.confirmed_at + cx.ownership.map.terms.lease_duration);
    }

    fn read_if_due(&mut self, cx: &mut Cx<'_>) {
        if self.head_read.is_some() || self.reader.is_busy() || cx.now < self.next_read {
            return;
        }
        let behind =
            !self.loaded || self.wanted > self.state.revision || self.unsure_since.is_some();
        let running_out =
            self.fresh_until.since(cx.now) < cx.ownership.map.terms.lease_duration / 2;
        if behind || running_out || self.writer.wants_head() {
            self.read_head(cx);
        }
    }

    fn read_head(&mut self, cx: &mut Cx<'_>) {
        self.head_read = Some(cx.now);
        let op = PlatformOp::Get {
            name: head_object(),
        };
        self.call(cx, PlatformPurpose::CatalogueHead, op);
    }

    fn take_head(&mut self, cx: &mut Cx<'_>, answer: &PlatformResponse) {
        self.head_read = None;
        let PlatformReply::Got(found) = &answer.reply else {
            self.next_read = cx.now + READ_PAUSE;
            if answer.reply == PlatformReply::Unavailable {
                self.writer.head_refused(cx, answer.sent_at);
            }
            self.ask_peers(cx);
            return;
        };
        let known = match found {
            None => KnownHead::default(),
            Some(versioned) => match serde_json::from_str(&versioned.value) {
                Ok(head) => KnownHead {
                    head,
                    version: Some(versioned.version),
                },
                Err(_malformed) => {
                    self.next_read = cx.now + READ_PAUSE;
                    cx.out
                        .push(Action::Notice(Notice::ObjectMalformed(head_object())));
                    return;
                }
            },
        };
        // Guards against a platform restored from an old copy, or a read that lags: the catalogue
        // in force would revert. A lower revision proves nothing and changes nothing.
        if self.loaded && known.head.revision < self.state.revision {
            self.next_read = cx.now + READ_PAUSE;
            cx.out
                .push(Action::Notice(Notice::CatalogueBehind(known.head.revision)));
            return;
        }
        self.proof = Some(Proof {
            asked: answer.sent_at,
            revision: known.head.revision,
        });
        self.wanted = known.head.revision;
        self.head = known;
        self.catch_up(cx);
    }

    fn catch_up(&mut self, cx: &mut Cx<'_>) {
        let step = self.reader.start(&self.head.head, &self.state);
        self.carry_out_read(cx, step);
    }

    fn take_read(&mut self, cx: &mut Cx<'_>, answer: &PlatformResponse) {
        let step = self.reader.answer(answer, &mut self.state);
        self.carry_out_read(cx, step);
    }

    fn carry_out_read(&mut self, cx: &mut Cx<'_>, step: ReaderStep) {
        match step {
            ReaderStep::Idle => {}
            ReaderStep::Read(objects) => {
                for object in objects {
                    let op = PlatformOp::Get {
                        name: object.name(),
                    };
                    let id = self.call(cx, PlatformPurpose::CatalogueRead, op);
                    self.reader.asked(id, object);
                }
            }
            ReaderStep::Done => self.reached(cx),
            ReaderStep::Failed => self.next_read = cx.now + READ_PAUSE,
            ReaderStep::Malformed(name) => {
                self.next_read = cx.now + READ_PAUSE;
                cx.out.push(Action::Notice(Notice::ObjectMalformed(name)));
            }
        }
    }

    /// The entries reached the head that was read.
    fn reached(&mut self, cx: &mut Cx<'_>) {
        self.loaded = true;
        self.apply_pushed();
        if let Some(proof) = self
            .proof
            .take_if(|proof| proof.revision <= self.state.revision)
        {
            self.fresh_until = self
                .fresh_until
                .max(proof.asked + cx.ownership.map.terms.lease_duration);
            if self.unsure_since.is_some_and(|since| proof.asked >= since) {
                self.unsure_since = None;
            }
        }
        self.writer.head_reached();
        self.adopted_if_newer(cx);
        self.write_on(cx);
    }

    fn take_push(&mut self, cx: &mut Cx<'_>, revision: Revision, change: ChangeRequest) {
        if revision > self.state.revision {
            self.pushed.insert(revision, change);
            self.wanted = self.wanted.max(revision);
        }
        if self.loaded && !self.reader.is_busy() {
            self.apply_pushed();
        }
        self.adopted_if_newer(cx);
        self.read_if_due(cx);
    }

    /// Applies pushed changes that follow on without a gap; a pushed change is one that the head
    /// holds already.
    fn apply_pushed(&mut self) {
        self.pushed
            .retain(|revision, _change| *revision > self.state.revision);
        while let Some(change) = self.pushed.remove(&self.state.revision.next()) {
            if self.state.apply(&change).is_err() {
                return;
            }
            self.recent.keep(self.state.revision, &change);
        }
    }

    /// Asks the peers for changes that the platform can't give now.
    ///
    /// Guards against a push that was lost right before an outage: each heartbeat would tell this
    /// instance that it is behind, and it would refuse everybody until the platform is back.
    fn ask_peers(&self, cx: &mut Cx<'_>) {
        if !self.loaded || self.wanted <= self.state.revision {
            return;
        }
        for id in peers(cx) {
            send(
                cx,
                &id,
                CatalogueMessage::Missing {
                    revision: self.state.revision,
                },
            );
        }
    }

    fn make_up(&self, cx: &mut Cx<'_>, to: &InstanceId, revision: Revision) {
        for (revision, change) in self.recent.after(revision) {
            send(
                cx,
                to,
                CatalogueMessage::Push {
                    revision,
                    change: change.clone(),
                },
            );
        }
    }

    fn adopted_if_newer(&mut self, cx: &mut Cx<'_>) {
        if self.announced == self.state.revision {
            return;
        }
        self.announced = self.state.revision;
        self.adopted = cx.now;
        cx.out.push(Action::Notice(Notice::CatalogueAdopted(
            self.state.revision,
        )));
    }

    fn write_on(&mut self, cx: &mut Cx<'_>) {
        if !self.loaded || self.reader.is_busy() {
            self.writer.give_up_late(cx);
            return;
        }
        let step = self.writer.step(cx, &self.head, &self.state);
        self.carry_out_write(cx, step);
        self.writer.settle(cx, self.held);
    }

    fn carry_out_write(&mut self, cx: &mut Cx<'_>, step: WriterStep) {
        match step {
            WriterStep::Idle => {}
            WriterStep::ReadHead => self.read_if_due(cx),
            WriterStep::Call(op) => {
                let id = self.call(cx, PlatformPurpose::CatalogueWrite, op);
                self.writer.asked(id);
            }
            WriterStep::Committed { head, request } => {
                let revision = head.head.revision;
                // Guards against a change that is applied twice: a read of the head may overtake the
                // write's own answer, and then the entries hold the change already. Their revision
                // would run ahead of the head's, and no later change could follow it.
                if revision > self.head.head.revision {
                    self.head = head;
                }
                if revision == self.state.revision.next() {
                    self.committed(cx, &request);
                }
            }
        }
    }

    fn committed(&mut self, cx: &mut Cx<'_>, request: &ChangeRequest) {
        if self.state.apply(request).is_err() {
            return;
        }
        let revision = self.state.revision;
        self.recent.keep(revision, request);
        for id in peers(cx) {
            send(
                cx,
                &id,
                CatalogueMessage::Push {
                    revision,
                    change: request.clone(),
                },
            );
        }
        self.adopted_if_newer(cx);
    }

    fn take_write(&mut self, cx: &mut Cx<'_>, answer: PlatformResponse) {
        if self.compaction.owns(answer.id) {
            self.take_compaction(cx, answer);
            return;
        }
        let step = self.writer.answer(cx, &answer, &self.head);
        self.carry_out_write(cx, step);
        self.write_on(cx);
    }

    fn compact(&mut self, cx: &mut Cx<'_>) {
        let may = cx.ownership.may_act(cx.now, &OwnershipKey::Catalogue)
            && self.writer.len() == 0
            && !self.reader.is_busy();
        if !may || self.head.head.revision != self.state.revision {
            return;
        }
        if let Some(op) = self.compaction.next(&self.head, &self.state) {
            let id = self.call(cx, PlatformPurpose::CatalogueWrite, op);
            self.compaction.asked(id);
        }
    }

    fn take_compaction(&mut self, cx: &mut Cx<'_>, answer: PlatformResponse) {
        if let Some(head) = self.compaction.answer(answer) {
            self.head = head;
        }
        self.compact(cx);
    }

    fn call(&mut self, cx: &mut Cx<'_>, purpose: PlatformPurpose, op: PlatformOp) -> CallId {
        self.calls += 1;
        let id = CallId(self.calls);
        cx.out
            .push(Action::Platform(PlatformCall { id, purpose, op }));
        id
    }
}

fn peers(cx: &Cx<'_>) -> Vec<InstanceId> {
    let members = cx.ownership.map.members.iter();
    members
        .filter(|member| member.id != cx.ownership.local.id)
        .map(|member| member.id.clone())
        .collect()
}

fn send(cx: &mut Cx<'_>, to: &InstanceId, message: CatalogueMessage) {
    cx.out.push(Action::Send {
        to: to.clone(),
        message: Box::new(PeerMessage::Catalogue(message)),
    });
}
