//! Catching up with a head: reads the log objects, or the snapshot and the log objects after it.

use std::collections::BTreeMap;

use crate::platform::PlatformResponse;
use crate::{CallId, ObjectName, PlatformReply, Revision};

use super::head::{Head, LogRef, SnapshotRef};
use super::{CatalogueState, Change, ChangeRequest};

/// Most objects read at once.
const MAX_READS: usize = 256;

/// What is to be read next.
#[derive(Debug)]
pub(super) enum ReaderStep {
    /// Nothing, until answers come.
    Idle,
    /// These objects.
    Read(Vec<CatalogueObject>),
    /// The entries have reached the head.
    Done,
    /// A read failed or an object is gone: start over from the head.
    Failed,
    /// An object does not parse.
    Malformed(ObjectName),
}

/// An object that holds a part of the catalogue.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum CatalogueObject {
    /// One change.
    Log(LogRef),
    /// One page of a snapshot.
    Page(SnapshotRef, u32),
}

impl CatalogueObject {
    /// Its name in the platform.
    pub(super) fn name(&self) -> ObjectName {
        match self {
            Self::Log(log) => log.object(),
            Self::Page(snapshot, page) => snapshot.object(*page),
        }
    }
}

/// Reads what lies between the entries in force and a head.
#[derive(Debug, Default)]
pub(super) struct Reader {
    target: Option<Head>,
    pending: BTreeMap<CallId, CatalogueObject>,
    pages: BTreeMap<u32, Vec<Change>>,
    logs: BTreeMap<Revision, ChangeRequest>,
}

impl Reader {
    /// Whether a catch-up is under way.
    pub(super) const fn is_busy(&self) -> bool {
        self.target.is_some()
    }

    /// Starts to catch up from `state` to `head`.
    pub(super) fn start(&mut self, head: &Head, state: &CatalogueState) -> ReaderStep {
        if head.revision == state.revision {
            return ReaderStep::Done;
        }
        let snapshot = head
            .snapshot
            .filter(|snapshot| snapshot.revision > state.revision);
        let from = snapshot.map_or(state.revision, |snapshot| snapshot.revision);
        let pages = snapshot
            .into_iter()
            .flat_map(|of| (0..of.pages).map(move |page| CatalogueObject::Page(of, page)));
        let logs = head.after(from).cloned().map(CatalogueObject::Log);
        let objects: Vec<_> = pages.chain(logs).take(MAX_READS).collect();
        self.target = Some(head.clone());
        ReaderStep::Read(objects)
    }

    /// A read was sent.
    pub(super) fn asked(&mut self, id: CallId, object: CatalogueObject) {
        self.pending.insert(id, object);
    }

    /// Takes a read's answer; brings `state` up to the head once all are there.
    pub(super) fn answer(
        &mut self,
        answer: &PlatformResponse,
        state: &mut CatalogueState,
    ) -> ReaderStep {
        let Some(object) = self.pending.remove(&answer.id) else {
            return ReaderStep::Idle;
        };
        let PlatformReply::Got(Some(found)) = &answer.reply else {
            return self.fail();
        };
        if !self.take(&object, &found.value) {
            self.fail();
            return ReaderStep::Malformed(object.name());
        }
        if !self.pending.is_empty() {
            return ReaderStep::Idle;
        }
        self.finish(state)
    }

    fn take(&mut self, object: &CatalogueObject, value: &str) -> bool {
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
        let Some(head) = self.target.take() else {
            return ReaderStep::Idle;
        };
        if !self.pages.is_empty() {
            let changes = std::mem::take(&mut self.pages).into_values().flatten();
            *state = CatalogueState::restored(head.snapshot_revision(), changes);
        }
        for (revision, request) in std::mem::take(&mut self.logs) {
            let follows = revision == state.revision.next();
            if follows && state.apply(&request).is_err() {
                return ReaderStep::Failed;
            }
        }
        if state.revision >= head.revision {
            ReaderStep::Done
        } else {
            ReaderStep::Failed
        }
    }

    fn fail(&mut self) -> ReaderStep {
        *self = Self::default();
        ReaderStep::Failed
    }
}
