//! Compaction: replaces log objects by a snapshot.

use crate::platform::PlatformResponse;
use crate::{CallId, Expected, ObjectName, PlatformOp, PlatformReply};

use super::core::KnownHead;
use super::head::{
    COMPACTION_THRESHOLD, Head, SnapshotRef, head_object, split_into_pages, to_json,
};
use super::{CatalogueState, Change};

/// Writes a snapshot page by page, then the head, then deletes the objects that the snapshot
/// replaced.
#[derive(Debug, Default)]
pub(super) struct Compaction {
    snapshot_write: Option<SnapshotWrite>,
    call: Option<CallId>,
    obsolete_objects: Vec<ObjectName>,
}

#[derive(Debug)]
struct SnapshotWrite {
    base: KnownHead,
    snapshot: SnapshotRef,
    pages: Vec<Box<str>>,
    written: u32,
    next_head: Option<Head>,
}

impl Compaction {
    /// Whether the call `id` was made by the compaction.
    pub(super) fn is_awaiting(&self, id: CallId) -> bool {
        self.call == Some(id)
    }

    /// Records that a call was sent.
    pub(super) const fn call_sent(&mut self, id: CallId) {
        self.call = Some(id);
    }

    /// Returns the next write or deletion, if one is due.
    pub(super) fn next(&mut self, head: &KnownHead, state: &CatalogueState) -> Option<PlatformOp> {
        if self.call.is_some() {
            return None;
        }
        if self.snapshot_write.is_none()
            && head
                .head
                .changes_after(head.head.snapshot_revision())
                .count()
                >= COMPACTION_THRESHOLD
        {
            self.snapshot_write = Some(SnapshotWrite::new(head, state));
        }
        match &mut self.snapshot_write {
            Some(snapshot_write) => Some(snapshot_write.next()),
            None => self
                .obsolete_objects
                .pop()
                .map(|name| PlatformOp::Delete { name }),
        }
    }

    /// Handles the reply to a call. Returns the new head once it has been written.
    pub(super) fn handle_reply(&mut self, answer: PlatformResponse) -> Option<KnownHead> {
        self.call = None;
        let snapshot_write = self.snapshot_write.as_mut()?;
        match (answer.reply, snapshot_write.next_head.take()) {
            (PlatformReply::Written(version), Some(head)) => {
                self.obsolete_objects = snapshot_write.replaced_objects();
                self.snapshot_write = None;
                Some(KnownHead {
                    head,
                    version: Some(version),
                })
            }
            // A page that already exists was written by an earlier attempt at the same revision,
            // from the same entries.
            (PlatformReply::Written(_) | PlatformReply::Conflict, None) => {
                snapshot_write.written += 1;
                None
            }
            // The head changed, or the platform did not respond: a later tick starts over. Snapshot
            // pages that no head refers to are never read or overwritten.
            _ => {
                self.snapshot_write = None;
                None
            }
        }
    }
}

impl SnapshotWrite {
    fn new(base: &KnownHead, state: &CatalogueState) -> Self {
        let pages = split_into_pages(state.as_changes());
        let count = u32::try_from(pages.len()).unwrap_or(u32::MAX);
        let snapshot = SnapshotRef {
            revision: state.revision,
            pages: count,
        };
        Self {
            base: base.clone(),
            snapshot,
            pages,
            written: 0,
            next_head: None,
        }
    }

    fn next(&mut self) -> PlatformOp {
        if let Some(value) = self.pages.get(self.written as usize) {
            let name = self.snapshot.object_name(self.written);
            return PlatformOp::Put {
                name,
                value: value.clone(),
                expected: Expected::Absent,
            };
        }
        let head = self.base.head.compacted(self.snapshot.pages);
        let value = to_json(&head);
        self.next_head = Some(head);
        let expected = self
            .base
            .version
            .map_or(Expected::Absent, Expected::Version);
        PlatformOp::Put {
            name: head_object(),
            value,
            expected,
        }
    }

    /// Returns the names of the objects that the snapshot replaced.
    fn replaced_objects(&self) -> Vec<ObjectName> {
        let old_snapshot = self.base.head.snapshot;
        let pages = old_snapshot
            .into_iter()
            .flat_map(|snapshot| (0..snapshot.pages).map(move |page| snapshot.object_name(page)));
        let logs = self
            .base
            .head
            .changes_after(self.base.head.snapshot_revision())
            .map(super::head::LogRef::object_name);
        pages.chain(logs).collect()
    }
}

impl CatalogueState {
    /// Returns the changes that build these entries from an empty catalogue.
    pub(super) fn as_changes(&self) -> impl Iterator<Item = Change> {
        let workspaces = self.workspaces().cloned().map(Change::PutWorkspace);
        let keys = self.keys().cloned().map(Change::IssueKey);
        let services = self.services().cloned().map(Change::PutService);
        let adapters = self.adapters().cloned().map(Change::PutAdapter);
        workspaces.chain(keys).chain(services).chain(adapters)
    }
}
