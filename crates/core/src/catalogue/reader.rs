//! Catching up with a head by reading the log objects, or the snapshot and the log objects after
//! it.

use std::collections::BTreeMap;

use crate::platform::PlatformResponse;
use crate::{CallId, ObjectName, PlatformReply, Revision};

use super::head::{Head, LogRef, SnapshotRef};
use super::{CatalogueState, Change, ChangeRequest};

/// Maximum number of objects read at once.
const MAX_READS: usize = 256;

/// The next step of a catch-up.
#[derive(Debug)]
pub(super) enum ReaderStep {
    /// Nothing to do until replies arrive.
    Idle,
    /// Read these objects.
    Read(Vec<CatalogueObject>),
    /// The entries have reached the head.
    Done,
    /// A read failed or an object no longer exists: start over from the head.
    Failed,
    /// An object can't be parsed.
    Malformed(ObjectName),
}

/// An object that stores a part of the catalogue.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum CatalogueObject {
    /// One change.
    Log(LogRef),
    /// One page of a snapshot.
    Page(SnapshotRef, u32),
}

impl CatalogueObject {
    /// Returns the object's name in the platform.
    pub(super) fn name(&self) -> ObjectName {
        match self {
            Self::Log(log) => log.object_name(),
            Self::Page(snapshot, page) => snapshot.object_name(*page),
        }
    }
}

/// Reads the changes between the entries in force and a head.
#[derive(Debug, Default)]
pub(super) struct Reader {
    target_head: Option<Head>,
    pending: BTreeMap<CallId, CatalogueObject>,
    pages: BTreeMap<u32, Vec<Change>>,
    logs: BTreeMap<Revision, ChangeRequest>,
}

impl Reader {
    /// Whether a catch-up is in progress.
    pub(super) const fn is_busy(&self) -> bool {
        self.target_head.is_some()
    }

    /// Starts a catch-up from `state` to `head`.
    pub(super) fn start(&mut self, head: &Head, state: &CatalogueState) -> ReaderStep {
        if head.revision == state.revision {
            return ReaderStep::Done;
        }
        let snapshot = head
            .snapshot
            .filter(|snapshot| snapshot.revision > state.revision);
        let from = snapshot.map_or(state.revision, |snapshot| snapshot.revision);
        let pages = snapshot.into_iter().flat_map(|snapshot| {
            (0..snapshot.pages).map(move |page| CatalogueObject::Page(snapshot, page))
        });
        let logs = head.changes_after(from).cloned().map(CatalogueObject::Log);
        let objects: Vec<_> = pages.chain(logs).take(MAX_READS).collect();
        self.target_head = Some(head.clone());
        ReaderStep::Read(objects)
    }

    /// Records that a read was sent.
    pub(super) fn read_sent(&mut self, id: CallId, object: CatalogueObject) {
        self.pending.insert(id, object);
    }

    /// Handles the reply to a read. Updates `state` to the head once all replies have arrived.
    pub(super) fn handle_reply(
        &mut self,
        answer: &PlatformResponse,
        state: &mut CatalogueState,
    ) -> ReaderStep {
        let Some(object) = self.pending.remove(&answer.id) else {
            return ReaderStep::Idle;
        };
        let PlatformReply::Got(Some(found)) = &answer.reply else {
            return self.reset();
        };
        if !self.store(&object, &found.value) {
            self.reset();
            return ReaderStep::Malformed(object.name());
        }
        if !self.pending.is_empty() {
            return ReaderStep::Idle;
        }
        self.finish(state)
    }

    fn store(&mut self, object: &CatalogueObject, value: &str) -> bool {
        match object {
            CatalogueObject::Log(log) => serde_json::from_str(value)
                .map(|request| self.logs.insert(log.revision, request))
                .is_ok(),
            CatalogueObject::Page(_snapshot, page) => serde_json::from_str(value)
                .map(|changes| self.pages.insert(*page, changes))
                .is_ok(),
        }
    }

    fn finish(&mut self, state: &mut CatalogueState) -> ReaderStep {
        let Some(head) = self.target_head.take() else {
            return ReaderStep::Idle;
        };
        if !self.pages.is_empty() {
            let changes = std::mem::take(&mut self.pages).into_values().flatten();
            *state = CatalogueState::from_snapshot(head.snapshot_revision(), changes);
        }
        for (revision, request) in std::mem::take(&mut self.logs) {
            let is_next = revision == state.revision.next();
            if is_next && state.apply(&request).is_err() {
                return ReaderStep::Failed;
            }
        }
        if state.revision >= head.revision {
            ReaderStep::Done
        } else {
            ReaderStep::Failed
        }
    }

    fn reset(&mut self) -> ReaderStep {
        *self = Self::default();
        ReaderStep::Failed
    }
}
