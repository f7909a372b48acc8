//! The catalogue's objects in the platform: head, log objects and snapshot pages.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{ChangeId, ObjectName, Revision};

use super::ChangeRequest;

/// Maximum size of a change or page, in bytes of JSON. Below the platform's limit of a megabyte.
pub const MAX_OBJECT_BYTES: usize = 900_000;

/// Minimum number of change ids that the head keeps, also for changes that the snapshot contains,
/// so that a retry of such a change is recognised and not applied twice.
pub const MIN_REMEMBERED_CHANGES: usize = 256;

/// Number of log objects at which a snapshot replaces them.
pub const COMPACTION_THRESHOLD: usize = 128;

/// Size at which a snapshot page is full, in bytes of JSON.
const FULL_PAGE_BYTES: usize = 500_000;

/// The head object. It alone decides which change has which revision.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Head {
    /// The revision in force.
    pub revision: Revision,
    /// The snapshot to start from; `None` starts from an empty catalogue.
    pub snapshot: Option<SnapshotRef>,
    /// The latest changes, oldest first.
    pub tail: Vec<LogRef>,
}

/// A reference to the pages of a snapshot.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct SnapshotRef {
    /// The revision of the snapshot.
    pub revision: Revision,
    /// Number of pages.
    pub pages: u32,
}

/// A reference to the log object of a change.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct LogRef {
    /// The revision that the change created.
    pub revision: Revision,
    /// The change id, chosen by the change's author.
    pub change: ChangeId,
    /// Hash of the change's content; part of the object's name.
    pub content: u64,
}

impl Head {
    /// Returns the revision that `change` created, if the head still lists the change.
    #[must_use]
    pub fn revision_of(&self, change: &ChangeId) -> Option<Revision> {
        self.tail
            .iter()
            .find(|log| log.change == *change)
            .map(|log| log.revision)
    }

    /// Returns the references to the changes after `revision`.
    pub fn changes_after(&self, revision: Revision) -> impl Iterator<Item = &LogRef> {
        self.tail.iter().filter(move |log| log.revision > revision)
    }

    /// Returns the revision of the snapshot, or zero without a snapshot.
    #[must_use]
    pub fn snapshot_revision(&self) -> Revision {
        self.snapshot
            .map(|snapshot| snapshot.revision)
            .unwrap_or_default()
    }

    /// Returns the head after one more change.
    #[must_use]
    pub fn with_change(&self, log: LogRef) -> Self {
        let mut next = self.clone();
        next.revision = log.revision;
        next.tail.push(log);
        next.trim_tail();
        next
    }

    /// Returns the head with a snapshot of the current revision.
    #[must_use]
    pub fn compacted(&self, pages: u32) -> Self {
        let mut next = self.clone();
        next.snapshot = Some(SnapshotRef {
            revision: self.revision,
            pages,
        });
        next.trim_tail();
        next
    }

    fn trim_tail(&mut self) {
        let needed = self
            .changes_after(self.snapshot_revision())
            .count()
            .max(MIN_REMEMBERED_CHANGES);
        let surplus = self.tail.len().saturating_sub(needed);
        self.tail.drain(..surplus);
    }
}

impl LogRef {
    /// Returns the reference to `request` at `revision`, and the value of its log object.
    #[must_use]
    pub fn for_request(request: &ChangeRequest, revision: Revision) -> (Self, Box<str>) {
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

    /// Returns the name of the log object.
    ///
    /// The name contains the content's hash: two writers that race for one revision write two
    /// objects, and only the one that the head refers to is used.
    #[must_use]
    pub fn object_name(&self) -> ObjectName {
        legal_object_name(&format!(
            "catalogue-log-{}-{:016x}",
            self.revision, self.content
        ))
    }
}

impl SnapshotRef {
    /// Returns the name of a page's object.
    #[must_use]
    pub fn object_name(&self, page: u32) -> ObjectName {
        legal_object_name(&format!("catalogue-page-{}-{page}", self.revision))
    }
}

/// Returns the name of the head object.
#[must_use]
pub fn head_object() -> ObjectName {
    legal_object_name("catalogue-head")
}

/// Splits items into pages of JSON below the platform's size limit.
#[must_use]
pub fn split_into_pages<T: Serialize>(items: impl Iterator<Item = T>) -> Vec<Box<str>> {
    let mut pages = Vec::new();
    let mut page = String::from("[");
    for item in items {
        if page.len() > 1 {
            page.push(',');
        }
        page.push_str(&to_json(&item));
        if page.len() >= FULL_PAGE_BYTES {
            page.push(']');
            pages.push(std::mem::replace(&mut page, String::from("[")).into_boxed_str());
        }
    }
    page.push(']');
    pages.push(page.into_boxed_str());
    pages
}

/// Serialises a type of the catalogue as JSON.
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
    reason = "all names passed here are short and contain only legal characters"
)]
fn legal_object_name(name: &str) -> ObjectName {
    ObjectName::try_from(name).expect("object names made here are legal")
}
