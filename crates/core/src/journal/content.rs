//! The content of a journal page as it is stored in the platform.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    CoreError, IdempotencyKey, MemberRef, ObjectName, RequestId, ServiceId, StoredResponse,
    WorkspaceId,
};

use super::CallIntent;

/// Maximum length at which a workspace name is used unchanged in object names, if all its
/// characters are legal there.
const PLAIN_NAME_BYTES: usize = 48;

/// Length of the digest that replaces any other workspace name.
const NAME_DIGEST_BYTES: usize = 16;

/// The recorded state of one call.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordState {
    /// Only the call's sender may send it.
    Intent,
    /// The call ran.
    Answered(StoredResponse),
    /// The sender can't tell whether the call ran.
    Unknown,
}

/// The record of one call.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Record {
    /// The request whose intent was recorded.
    pub request: RequestId,
    /// The service to call.
    pub service: ServiceId,
    /// Hash that distinguishes a repeat from another call under the same key.
    pub fingerprint: u64,
    /// The only incarnation that may send the call.
    pub sender: MemberRef,
    /// The page clock, in milliseconds, when the record last changed.
    pub at: u64,
    /// The state of the call.
    pub state: RecordState,
}

impl Record {
    /// Whether `intent` repeats the recorded call.
    pub fn is_same_call(&self, intent: &CallIntent) -> bool {
        self.fingerprint == intent.fingerprint && self.service == intent.service
    }

    /// Returns the intent of the recorded call.
    pub fn intent(&self, workspace: &WorkspaceId, key: &IdempotencyKey) -> CallIntent {
        CallIntent {
            request: self.request,
            workspace: workspace.clone(),
            service: self.service.clone(),
            key: key.clone(),
            fingerprint: self.fingerprint,
        }
    }
}

/// The name of a page within its workspace's journal.
pub type PageName = Box<str>;

/// The value of one object: the records of a part of a workspace's calls.
///
/// A full page splits by one more bit of the keys' hash. One half moves to a page with a new name,
/// which is not in use before the parent lists it. The name contains the epoch, so that a late
/// split by a former owner can't change a page of a later owner.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct PageContent {
    /// The workspace that the journal belongs to.
    pub workspace: WorkspaceId,
    /// Increases with each takeover. The update that raises it makes writes of a former owner
    /// conflict.
    pub epoch: u64,
    /// Milliseconds counted by the owners while they had the page loaded. The clock stops between
    /// two owners, so an outcome may be kept longer than the retention but never shorter.
    pub clock: u64,
    /// Number of low bits of a key's hash that select this page.
    pub depth: u32,
    /// The value of these bits.
    pub bits: u64,
    /// The pages that received the other half at each split of this page, oldest split first.
    pub children: Vec<PageName>,
    /// The records, by idempotency key.
    pub records: BTreeMap<IdempotencyKey, Record>,
}

impl PageContent {
    /// Creates the content of an empty journal.
    pub const fn new(workspace: WorkspaceId) -> Self {
        Self {
            workspace,
            epoch: 0,
            clock: 0,
            depth: 0,
            bits: 0,
            children: Vec::new(),
            records: BTreeMap::new(),
        }
    }

    /// Parses the value of the object `name`.
    pub fn parse(name: &ObjectName, workspace: &WorkspaceId, raw: &str) -> Result<Self, CoreError> {
        let malformed = |cause: &str| CoreError::MalformedObject {
            object: name.as_str().into(),
            cause: cause.into(),
        };
        let content: Self =
            serde_json::from_str(raw).map_err(|error| malformed(&error.to_string()))?;
        // Keys of two workspaces must never mix, even if the workspace names have the same digest.
        if content.workspace != *workspace {
            return Err(malformed("it belongs to another workspace"));
        }
        Ok(content)
    }

    /// Returns the content serialised as the object's value.
    pub fn value(&self) -> Box<str> {
        serde_json::to_string(self).unwrap_or_default().into()
    }

    /// Returns the page that this key moved to at a split, or `None` if the key belongs to this
    /// page.
    pub fn child_page_of(&self, key: &IdempotencyKey) -> Option<&PageName> {
        let first = self
            .depth
            .saturating_sub(u32::try_from(self.children.len()).unwrap_or(0));
        let rest = xxh3_64(key.as_str().as_bytes()) >> first;
        let step = usize::try_from(rest.trailing_zeros()).unwrap_or(usize::MAX);
        self.children.get(step)
    }

    /// Splits the page by the next hash bit. Returns the new page's name, the new page, and this
    /// page after the split.
    pub fn split(&self) -> (PageName, Self, Self) {
        let bits = self.bits | (1 << self.depth);
        let name: PageName = format!("{:x}-{}-{}", bits, self.depth + 1, self.epoch).into();
        let mut parent = self.clone();
        parent.depth += 1;
        parent.children.push(name.clone());
        let mut child = Self {
            bits,
            children: Vec::new(),
            records: BTreeMap::new(),
            ..parent.clone()
        };
        let moved: Vec<_> = parent
            .records
            .keys()
            .filter(|key| parent.child_page_of(key).is_some())
            .cloned()
            .collect();
        for key in moved {
            if let Some(record) = parent.records.remove(&key) {
                child.records.insert(key, record);
            }
        }
        (name, child, parent)
    }

    /// Removes records older than `retention`.
    pub fn prune(&mut self, retention: Duration) {
        let clock = self.clock;
        self.records.retain(|_key, record| {
            u128::from(clock.saturating_sub(record.at)) <= retention.as_millis()
        });
    }
}

/// Returns the name of the object that stores a page.
pub fn object_name(workspace: &WorkspaceId, page: &str) -> Option<ObjectName> {
    ObjectName::try_from(format!("journal-{}-{page}", encode_workspace_name(workspace)).as_str())
        .ok()
}

fn encode_workspace_name(workspace: &WorkspaceId) -> String {
    let raw = workspace.as_str();
    let is_plain = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    if raw.len() <= PLAIN_NAME_BYTES && raw.chars().all(is_plain) {
        return format!("w.{raw}");
    }
    let digest = Sha256::digest(raw.as_bytes());
    let mut hex = String::from("h.");
    for byte in digest.iter().take(NAME_DIGEST_BYTES) {
        // Writing to a string can't fail.
        let _ = write!(hex, "{byte:02x}");
    }
    hex
}
