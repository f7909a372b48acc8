//! Compaction: a snapshot takes the place of the log objects before it.

use crate::platform::PlatformResponse;
use crate::{CallId, Expected, ObjectName, PlatformOp, PlatformReply};

use super::core::KnownHead;
use super::head::{COMPACT_AFTER, Head, SnapshotRef, head_object, pages, to_json};
use super::{CatalogueState, Change};

/// Writes a snapshot page by page, then the head, then removes what the snapshot replaced.
#[derive(Debug, Default)]
pub(super) struct Compaction {
    work: Option<Work>,
    call: Option<CallId>,
    garbage: Vec<ObjectName>,
}

#[derive(Debug)]
struct Work {
    base: KnownHead,
    snapshot: SnapshotRef,
    pages: Vec<Box<str>>,
    written: u32,
    next_head: Option<Head>,
}

impl Compaction {
    /// Whether this answer belongs here.
    pub(super) fn owns(&self, id: CallId) -> bool {
        self.call == Some(id)
    }

    /// A write was sent.
    pub(super) const fn asked(&mut self, id: CallId) {
        self.call = Some(id);
    }

    /// The next write, if there is one to make now.
    pub(super) fn next(&mut self, head: &KnownHead, state: &CatalogueState) -> Option<PlatformOp> {
        if self.call.is_some() {
            return None;
        }
        if self.work.is_none()
            && head.head.after(head.head.snapshot_revision()).count() >= COMPACT_AFTER
        {
            self.work = Some(Work::new(head, state));
        }
        match &mut self.work {
            Some(work) => Some(work.next()),
            None => self.garbage.pop().map(|name| PlatformOp::Delete { name }),
        }
    }

    /// Takes a write's answer; gives the head if it is the new one.
    pub(super) fn answer(&mut self, answer: PlatformResponse) -> Option<KnownHead> {
        self.call = None;
        let work = self.work.as_mut()?;
        match (answer.reply, work.next_head.take()) {
            (PlatformReply::Written(version), Some(head)) => {
                self.garbage = work.replaced();
                self.work = None;
                Some(KnownHead {
                    head,
                    version: Some(version),
                })
            }
            // A page that is there already was written by an earlier try at the same revision, from
            // the same entries.
            (PlatformReply::Written(_) | PlatformReply::Conflict, None) => {
                work.written += 1;
                None
            }
            // The head moved on, or the platform did not answer: a later tick starts over. Pages of
            // a snapshot that no head names are overwritten by nobody and read by nobody.
            _ => {
                self.work = None;
                None
            }
        }
    }
}

impl Work {
    fn new(base: &KnownHead, state: &CatalogueState) -> Self {
        let pages = pages(state.as_changes());
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
            let name = self.snapshot.object(self.written);
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

    /// Names of the objects that the snapshot replaced.
    fn replaced(&self) -> Vec<ObjectName> {
        let old = self.base.head.snapshot;
        let pages = old
            .into_iter()
            .flat_map(|of| (0..of.pages).map(move |page| of.object(page)));
        let logs = self
            .base
            .head
            .after(self.base.head.snapshot_revision())
            .map(super::head::LogRef::object);
        pages.chain(logs).collect()
    }
}

impl CatalogueState {
    /// The changes that build these entries from nothing.
    pub(super) fn as_changes(&self) -> impl Iterator<Item = Change> {
        let workspaces = self.workspaces().cloned().map(Change::PutWorkspace);
        let keys = self.keys().cloned().map(Change::IssueKey);
        let services = self.services().cloned().map(Change::PutService);
        let adapters = self.adapters().cloned().map(Change::PutAdapter);
        workspaces.chain(keys).chain(services).chain(adapters)
    }
}
