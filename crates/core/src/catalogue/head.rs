//! The catalogue's objects in the platform: head, log objects and snapshot pages.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{ChangeId, ObjectName, Revision};

use super::ChangeRequest;

/// Largest change or page, in bytes of JSON; below the platform's limit of a megabyte.
pub const MAX_OBJECT_BYTES: usize = 900_000;

/// How many change ids the head remembers beyond its snapshot, so that a retry of one of them is
/// recognised and not applied twice.
pub const REMEMBERED_CHANGES: usize = 256;

/// How many log objects gather before a snapshot replaces them.
pub const COMPACT_AFTER: usize = 128;

/// Bytes of JSON after which a snapshot page is full.
const PAGE_BYTES: usize = 500_000;

/// The head object: the one place that decides which change has which revision.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Head {
    /// The revision in force.
    pub revision: Revision,
    /// The snapshot to start from; none for an empty catalogue.
    pub snapshot: Option<SnapshotRef>,
    /// The latest changes, oldest first.
    pub tail: Vec<LogRef>,
}

/// Where a snapshot's pages are.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct SnapshotRef {
    /// The revision that it holds.
    pub revision: Revision,
    /// How many pages it has.
    pub pages: u32,
}

/// Where a change is.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct LogRef {
    /// The revision that it gave.
    pub revision: Revision,
    /// Its author's name for it.
    pub change: ChangeId,
    /// Its content's hash; part of its object's name.
    pub content: u64,
}

impl Head {
    /// The revision that `change` gave, if the head remembers it.
    #[must_use]
    pub fn revision_of(&self, change: &ChangeId) -> Option<Revision> {
        self.tail
            .iter()
            .find(|log| log.change == *change)
            .map(|log| log.revision)
    }

    /// The log entries after `revision`.
    pub fn after(&self, revision: Revision) -> impl Iterator<Item = &LogRef> {
        self.tail.iter().filter(move |log| log.revision > revision)
    }

    /// The revision up to which the snapshot reaches.
    #[must_use]
    pub fn snapshot_revision(&self) -> Revision {
        self.snapshot
            .map(|snapshot| snapshot.revision)
            .unwrap_or_default()
    }

    /// The head after one more change.
    #[must_use]
    pub fn with(&self, log: LogRef) -> Self {
        let mut next = self.clone();
        next.revision = log.revision;
        next.tail.push(log);
        next.forget_old();
        next
    }

    /// The head after a snapshot of its own revision.
    #[must_use]
    pub fn compacted(&self, pages: u32) -> Self {
        let mut next = self.clone();
        next.snapshot = Some(SnapshotRef {
            revision: self.revision,
            pages,
        });
        next.forget_old();
        next
    }

    fn forget_old(&mut self) {
        let needed = self
            .after(self.snapshot_revision())
            .count()
            .max(REMEMBERED_CHANGES);
        let surplus = self.tail.len().saturating_sub(needed);
        self.tail.drain(..surplus);
    }
}

impl LogRef {
    /// The entry of `request` at `revision`, with its log object's value.
    #[must_use]
    pub fn of(request: &ChangeRequest, revision: Revision) -> (Self, Box<str>) {
        let value = to_json(request);
        let content = xxh3_64(value.as_bytes());
        (
            Self {
                revision,
                change: request.id.clone(),
                content,
            },
            value,
        )
    }

    /// Name of the log object.
    ///
    /// The content's hash is part of it: two writers that race for one revision write two objects,
    /// and only the one that the head names counts.
    #[must_use]
    pub fn object(&self) -> ObjectName {
        object(&format!(
            "catalogue-log-{}-{:016x}",
            self.revision, self.content
        ))
    }
}

impl SnapshotRef {
    /// Name of one page's object.
    #[must_use]
    pub fn object(&self, page: u32) -> ObjectName {
        object(&format!("catalogue-page-{}-{page}", self.revision))
    }
}

/// Name of the head object.
#[must_use]
pub fn head_object() -> ObjectName {
    object("catalogue-head")
}

/// Cuts items into pages of JSON below the platform's limit.
#[must_use]
pub fn pages<T: Serialize>(items: impl Iterator<Item = T>) -> Vec<Box<str>> {
    let mut pages = Vec::new();
    let mut page = String::from("[");
    for item in items {
        if page.len() > 1 {
            page.push(',');
        }
        page.push_str(&to_json(&item));
        if page.len() >= PAGE_BYTES {
            page.push(']');
            pages.push(std::mem::replace(&mut page, String::from("[")).into_boxed_str());
        }
    }
    page.push(']');
    pages.push(page.into_boxed_str());
    pages
}

/// JSON of one of our own types.
#[expect(
    clippy::expect_used,
    reason = "these types hold no maps with other keys than text, the only cause of an error"
)]
pub fn to_json(value: &impl Serialize) -> Box<str> {
    serde_json::to_string(value)
        .expect("types of the catalogue are valid JSON")
        .into()
}

#[expect(
    clippy::expect_used,
    reason = "all names given here are short and of legal letters"
)]
fn object(name: &str) -> ObjectName {
    ObjectName::try_from(name).expect("object names made here are legal")
}
