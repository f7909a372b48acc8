//! The catalogue state machine: the revision in force on this instance, and how long it is
//! confirmed to be current.

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
use super::recent::RecentChanges;
use super::writer::{Writer, WriterStep};
use super::{CatalogueMessage, CatalogueState, ChangeRequest};

/// Delay before a failed read is retried.
const READ_RETRY_DELAY: Duration = Duration::from_millis(200);

/// The head as last read or written.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct KnownHead {
    /// The content of the head.
    pub head: Head,
    /// The object's version in the platform; `None` while the object does not exist.
    pub version: Option<ObjectVersion>,
}

/// Follows the catalogue, confirms that it is current, and writes operators' changes.
#[derive(Debug, Default)]
pub struct Catalogue {
    state: CatalogueState,
    is_loaded: bool,
    head: KnownHead,
    adopted_at: Time,
    announced_revision: Revision,
    fresh_until: Time,
    uncertain_since: Option<Time>,
    head_read_sent_at: Option<Time>,
    next_read_at: Time,
    latest_known_revision: Revision,
    pending_proof: Option<Proof>,
    reader: Reader,
    pushed_changes: BTreeMap<Revision, ChangeRequest>,
    recent_changes: RecentChanges,
    /// The highest revision known to be in force on a majority of instances.
    majority_revision: Revision,
    writer: Writer,
    compaction: Compaction,
    last_call: u64,
}

/// A head read that confirms the catalogue as current once the head's revision is in force here.
#[derive(Clone, Copy, Debug)]
struct Proof {
    sent_at: Time,
    revision: Revision,
}

/// The state of the catalogue on this instance, for status pages.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct CatalogueStatus {
    /// The revision in force on this instance.
    pub revision: Revision,
    /// Whether the revision is confirmed to be current.
    pub fresh: bool,
    /// Number of operators' changes in progress on this instance.
    pub pending_changes: usize,
}

impl Catalogue {
    /// Returns the entries in force on this instance.
    #[must_use]
    pub const fn state(&self) -> &CatalogueState {
        &self.state
    }

    /// Whether the catalogue was read from the platform at least once in this incarnation.
    #[must_use]
    pub const fn is_loaded(&self) -> bool {
        self.is_loaded
    }

    /// Whether the entries in force on this instance are confirmed to be current.
    ///
    /// Guards against a withdrawn key that keeps working on a partitioned instance: such an instance
    /// reaches neither the platform nor a majority, so its last confirmation expires.
    #[must_use]
    pub fn is_fresh(&self, now: Time) -> bool {
        self.is_loaded && now < self.fresh_until
    }

    /// Returns the revision to report in heartbeats.
    #[must_use]
    pub const fn reported_revision(&self) -> Revision {
        if self.is_loaded && self.uncertain_since.is_none() {
            self.state.revision
        } else {
            Revision::UNCERTAIN
        }
    }

    /// Returns a summary for status pages.
    #[must_use]
    pub fn status(&self, now: Time) -> CatalogueStatus {
        CatalogueStatus {
            revision: self.state.revision,
            fresh: self.is_fresh(now),
            pending_changes: self.writer.len(),
        }
    }

    /// Submits an operator's change. [`Action::Applied`] reports its outcome.
    pub fn submit(&mut self, cx: &mut Cx<'_>, request: ChangeRequest) {
        self.writer.enqueue(cx.now, request);
        self.advance_writer(cx);
    }

    /// Handles a watch event that the head changed.
    pub fn head_changed(&mut self, cx: &mut Cx<'_>) {
        self.latest_known_revision = self.latest_known_revision.max(self.state.revision.next());
        self.read_if_due(cx);
    }

    /// Handles the adoption of a newer map.
    ///
    /// Guards against a change that is known only to instances which the new map removed: the
    /// remaining instances would confirm an older revision to each other. A head read that was sent
    /// after the adoption shows such a change, so this instance is uncertain until that read.
    pub fn map_changed(&mut self, cx: &mut Cx<'_>) {
        self.majority_revision = Revision::default();
        self.uncertain_since = Some(cx.now);
        self.next_read_at = cx.now;
        self.read_if_due(cx);
    }

    /// Handles everything that has become due. `quorum` is the catalogue state that a majority
    /// reports.
    pub fn tick(&mut self, cx: &mut Cx<'_>, quorum: Option<CatalogueQuorum>) {
        self.apply_quorum(cx, quorum);
        self.read_if_due(cx);
        self.advance_writer(cx);
        self.compact(cx);
    }

    /// Handles a message from another instance.
    pub fn message(&mut self, cx: &mut Cx<'_>, from: &InstanceId, message: CatalogueMessage) {
        match message {
            CatalogueMessage::Push { revision, change } => {
                self.handle_push(cx, revision, change);
            }
            CatalogueMessage::RequestMissing { revision } => {
                self.send_missing_changes(cx, from, revision);
            }
        }
    }

    /// Handles the reply to a platform call of purpose `CatalogueHead`, `CatalogueRead` or
    /// `CatalogueWrite`.
    pub fn platform(&mut self, cx: &mut Cx<'_>, answer: PlatformResponse) {
        match answer.purpose {
            PlatformPurpose::CatalogueHead => self.handle_head(cx, &answer),
            PlatformPurpose::CatalogueRead => self.handle_read(cx, &answer),
            PlatformPurpose::CatalogueWrite => self.handle_write(cx, answer),
            _ => {}
        }
    }

    fn apply_quorum(&mut self, cx: &Cx<'_>, quorum: Option<CatalogueQuorum>) {
        let Some(quorum) = quorum else {
            return;
        };
        self.majority_revision = self.majority_revision.max(quorum.majority_revision);
        if !self.is_loaded || self.uncertain_since.is_some() {
            return;
        }
        if quorum.highest > self.state.revision {
            self.latest_known_revision = self.latest_known_revision.max(quorum.highest);
            return;
        }
        self.fresh_until = self
            .fresh_until
            .max(quorum.confirmed_at + cx.ownership.map.terms.lease_duration);
    }

    fn read_if_due(&mut self, cx: &mut Cx<'_>) {
        if self.head_read_sent_at.is_some() || self.reader.is_busy() || cx.now < self.next_read_at {
            return;
        }
        let is_behind = !self.is_loaded
            || self.latest_known_revision > self.state.revision
            || self.uncertain_since.is_some();
        let expires_soon =
            self.fresh_until.since(cx.now) < cx.ownership.map.terms.lease_duration / 2;
        if is_behind || expires_soon || self.writer.needs_head() {
            self.read_head(cx);
        }
    }

    fn read_head(&mut self, cx: &mut Cx<'_>) {
        self.head_read_sent_at = Some(cx.now);
        let op = PlatformOp::Get {
            name: head_object(),
        };
        self.call(cx, PlatformPurpose::CatalogueHead, op);
    }

    fn handle_head(&mut self, cx: &mut Cx<'_>, answer: &PlatformResponse) {
        self.head_read_sent_at = None;
        let PlatformReply::Got(found) = &answer.reply else {
            self.next_read_at = cx.now + READ_RETRY_DELAY;
            if answer.reply == PlatformReply::Unavailable {
                self.writer.head_unavailable(cx, answer.sent_at);
            }
            self.request_missing_changes(cx);
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
                    self.next_read_at = cx.now + READ_RETRY_DELAY;
                    cx.out
                        .push(Action::Notice(Notice::ObjectMalformed(head_object())));
                    return;
                }
            },
        };
        // Guards against a platform restored from an old copy and against stale reads, which would
        // revert the catalogue in force. A lower revision confirms nothing and changes nothing.
        if self.is_loaded && known.head.revision < self.state.revision {
            self.next_read_at = cx.now + READ_RETRY_DELAY;
            cx.out
                .push(Action::Notice(Notice::CatalogueBehind(known.head.revision)));
            return;
        }
        self.pending_proof = Some(Proof {
            sent_at: answer.sent_at,
            revision: known.head.revision,
        });
        self.latest_known_revision = known.head.revision;
        self.head = known;
        self.catch_up(cx);
    }

    fn catch_up(&mut self, cx: &mut Cx<'_>) {
        let step = self.reader.start(&self.head.head, &self.state);
        self.execute_read_step(cx, step);
    }

    fn handle_read(&mut self, cx: &mut Cx<'_>, answer: &PlatformResponse) {
        let step = self.reader.handle_reply(answer, &mut self.state);
        self.execute_read_step(cx, step);
    }

    fn execute_read_step(&mut self, cx: &mut Cx<'_>, step: ReaderStep) {
        match step {
            ReaderStep::Idle => {}
            ReaderStep::Read(objects) => {
                for object in objects {
                    let op = PlatformOp::Get {
                        name: object.name(),
                    };
                    let id = self.call(cx, PlatformPurpose::CatalogueRead, op);
                    self.reader.read_sent(id, object);
                }
            }
            ReaderStep::Done => self.finish_catch_up(cx),
            ReaderStep::Failed => self.next_read_at = cx.now + READ_RETRY_DELAY,
            ReaderStep::Malformed(name) => {
                self.next_read_at = cx.now + READ_RETRY_DELAY;
                cx.out.push(Action::Notice(Notice::ObjectMalformed(name)));
            }
        }
    }

    /// Completes a catch-up: the entries have reached the head that was read.
    fn finish_catch_up(&mut self, cx: &mut Cx<'_>) {
        self.is_loaded = true;
        self.apply_pushed_changes();
        if let Some(proof) = self
            .pending_proof
            .take_if(|proof| proof.revision <= self.state.revision)
        {
            self.fresh_until = self
                .fresh_until
                .max(proof.sent_at + cx.ownership.map.terms.lease_duration);
            if self
                .uncertain_since
                .is_some_and(|since| proof.sent_at >= since)
            {
                self.uncertain_since = None;
            }
        }
        self.writer.head_reached();
        self.announce_if_newer(cx);
        self.advance_writer(cx);
    }

    fn handle_push(&mut self, cx: &mut Cx<'_>, revision: Revision, change: ChangeRequest) {
        if revision > self.state.revision {
            self.pushed_changes.insert(revision, change);
            self.latest_known_revision = self.latest_known_revision.max(revision);
        }
        if self.is_loaded && !self.reader.is_busy() {
            self.apply_pushed_changes();
        }
        self.announce_if_newer(cx);
        self.read_if_due(cx);
    }

    /// Applies the pushed changes that follow the current revision without a gap. The head already
    /// contains every pushed change.
    fn apply_pushed_changes(&mut self) {
        self.pushed_changes
            .retain(|revision, _change| *revision > self.state.revision);
        while let Some(change) = self.pushed_changes.remove(&self.state.revision.next()) {
            if self.state.apply(&change).is_err() {
                return;
            }
            self.recent_changes.insert(self.state.revision, &change);
        }
    }

    /// Requests from the peers the changes that can't be read from the platform now.
    ///
    /// Guards against a push that was lost right before an outage: each heartbeat would show this
    /// instance that it is behind, and it would refuse all requests until the platform is back.
    fn request_missing_changes(&self, cx: &mut Cx<'_>) {
        if !self.is_loaded || self.latest_known_revision <= self.state.revision {
            return;
        }
        for id in peers(cx) {
            send(
                cx,
                &id,
                CatalogueMessage::RequestMissing {
                    revision: self.state.revision,
                },
            );
        }
    }

    fn send_missing_changes(&self, cx: &mut Cx<'_>, to: &InstanceId, revision: Revision) {
        for (revision, change) in self.recent_changes.after(revision) {
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

    fn announce_if_newer(&mut self, cx: &mut Cx<'_>) {
        if self.announced_revision == self.state.revision {
            return;
        }
        self.announced_revision = self.state.revision;
        self.adopted_at = cx.now;
        cx.out.push(Action::Notice(Notice::CatalogueAdopted(
            self.state.revision,
        )));
    }

    fn advance_writer(&mut self, cx: &mut Cx<'_>) {
        if !self.is_loaded || self.reader.is_busy() {
            self.writer.expire_overdue(cx);
            return;
        }
        let step = self.writer.step(cx, &self.head, &self.state);
        self.execute_write_step(cx, step);
        self.writer.complete_replicated(cx, self.majority_revision);
    }

    fn execute_write_step(&mut self, cx: &mut Cx<'_>, step: WriterStep) {
        match step {
            WriterStep::Idle => {}
            WriterStep::ReadHead => self.read_if_due(cx),
            WriterStep::Call(op) => {
                let id = self.call(cx, PlatformPurpose::CatalogueWrite, op);
                self.writer.call_sent(id);
            }
            WriterStep::Committed { head, request } => {
                let revision = head.head.revision;
                // Guards against applying a change twice. A read of the head may finish before the
                // reply to the write arrives, and the entries then contain the change already. A
                // second application would move their revision ahead of the head's, and no later
                // change could follow.
                if revision > self.head.head.revision {
                    self.head = head;
                }
                if revision == self.state.revision.next() {
                    self.apply_committed(cx, &request);
                }
            }
        }
    }

    fn apply_committed(&mut self, cx: &mut Cx<'_>, request: &ChangeRequest) {
        if self.state.apply(request).is_err() {
            return;
        }
        let revision = self.state.revision;
        self.recent_changes.insert(revision, request);
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
        self.announce_if_newer(cx);
    }

    fn handle_write(&mut self, cx: &mut Cx<'_>, answer: PlatformResponse) {
        if self.compaction.is_awaiting(answer.id) {
            self.handle_compaction_write(cx, answer);
            return;
        }
        let step = self.writer.handle_reply(cx, &answer, &self.head);
        self.execute_write_step(cx, step);
        self.advance_writer(cx);
    }

    fn compact(&mut self, cx: &mut Cx<'_>) {
        let can_compact = cx.ownership.may_act(cx.now, &OwnershipKey::Catalogue)
            && self.writer.len() == 0
            && !self.reader.is_busy();
        if !can_compact || self.head.head.revision != self.state.revision {
            return;
        }
        if let Some(op) = self.compaction.next(&self.head, &self.state) {
            let id = self.call(cx, PlatformPurpose::CatalogueWrite, op);
            self.compaction.call_sent(id);
        }
    }

    fn handle_compaction_write(&mut self, cx: &mut Cx<'_>, answer: PlatformResponse) {
        if let Some(head) = self.compaction.handle_reply(answer) {
            self.head = head;
        }
        self.compact(cx);
    }

    fn call(&mut self, cx: &mut Cx<'_>, purpose: PlatformPurpose, op: PlatformOp) -> CallId {
        self.last_call += 1;
        let id = CallId(self.last_call);
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
