//! A page of a workspace's journal as the platform keeps it.

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

use super::JournalAsk;

/// Workspace names up to this length that are legal in object names stand in them as they are.
const PLAIN_NAME_BYTES: usize = 48;

/// Bytes of the digest that stands for any other workspace name.
const NAME_DIGEST_BYTES: usize = 16;

/// What is known of one call.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordState {
    /// It may be sent by its sender, and by nobody else.
    Intent,
    /// It ran.
    Answered(StoredResponse),
    /// Its sender can't tell whether it ran.
    Unknown,
}

/// One call in the journal.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Record {
    /// The request that was let through.
    pub request: RequestId,
    /// Which service it calls.
    pub service: ServiceId,
    /// Tells a repeat from another call under the same key.
    pub fingerprint: u64,
    /// The life that alone may send it.
    pub sender: MemberRef,
    /// The page's clock when the record last changed.
    pub at: u64,
    /// What is known of it.
    pub state: RecordState,
}

impl Record {
    /// Whether `ask` repeats the recorded call.
    pub fn is_same_call(&self, ask: &JournalAsk) -> bool {
        self.fingerprint == ask.fingerprint && self.service == ask.service
    }

    /// The recorded call as it was asked for.
    pub fn ask(&self, workspace: &WorkspaceId, key: &IdempotencyKey) -> JournalAsk {
        JournalAsk {
            request: self.request,
            workspace: workspace.clone(),
            service: self.service.clone(),
            key: key.clone(),
            fingerprint: self.fingerprint,
        }
    }
}

/// Name of one page within its workspace's journal.
pub type PageName = Box<str>;

/// The value of one object: a part of the calls of one workspace.
///
/// A full page splits by one more bit of the keys' hash. The half that leaves goes to a page of a
/// new name, which holds nothing before the parent names it; the name carries the epoch, so that a
/// former home's late split can't touch the page of a later one.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Content {
    /// Whose journal this is.
    pub workspace: WorkspaceId,
    /// Grows with each takeover: the update that raises it makes a former home's writes conflict.
    pub epoch: u64,
    /// Milliseconds counted by the homes while they held the page; stands still between two homes, so
    /// that an outcome may be kept longer than the retention but never shorter.
    pub clock: u64,
    /// How many low bits of a key's hash decide that it belongs here.
    pub depth: u32,
    /// What these bits are.
    pub bits: u64,
    /// Pages that took the other half at each split of this one, the earliest first.
    pub children: Vec<PageName>,
    /// The calls, by key.
    pub records: BTreeMap<IdempotencyKey, Record>,
}

impl Content {
    /// An empty journal.
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

    /// Parses an object's value.
    pub fn parse(name: &ObjectName, workspace: &WorkspaceId, raw: &str) -> Result<Self, CoreError> {
        let malformed = |cause: &str| CoreError::MalformedObject {
            object: name.as_str().into(),
            cause: cause.into(),
        };
        let content: Self =
            serde_json::from_str(raw).map_err(|error| malformed(&error.to_string()))?;
        // Two workspaces' keys must never mix, also if their names shared a digest.
        if content.workspace != *workspace {
            return Err(malformed("it belongs to another workspace"));
        }
        Ok(content)
    }

    /// The object's value.
    pub fn value(&self) -> Box<str> {
        serde_json::to_string(self).unwrap_or_default().into()
    }

    /// The page that took this key at a split; none if it belongs here.
    pub fn elsewhere(&self, key: &IdempotencyKey) -> Option<&PageName> {
        let first = self
            .depth
            .saturating_sub(u32::try_from(self.children.len()).unwrap_or(0));
        let rest = xxh3_64(key.as_str().as_bytes()) >> first;
        let step = usize::try_from(rest.trailing_zeros()).unwrap_or(usize::MAX);
        self.children.get(step)
    }

    /// Splits off the half that the next bit decides: the new page's name, it, and what stays.
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
            .filter(|key| parent.elsewhere(key).is_some())
            .cloned()
            .collect();
        for key in moved {
            if let Some(record) = parent.records.remove(&key) {
                child.records.insert(key, record);
            }
        }
        (name, child, parent)
    }

    /// Forgets calls older than `retention`.
    pub fn prune(&mut self, retention: Duration) {
        let clock = self.clock;
        self.records.retain(|_key, record| {
            u128::from(clock.saturating_sub(record.at)) <= retention.as_millis()
        });
    }
}

/// The object that holds a page.
pub fn object_name(workspace: &WorkspaceId, page: &str) -> Option<ObjectName> {
    ObjectName::try_from(format!("journal-{}-{page}", encoded(workspace)).as_str()).ok()
}

fn encoded(workspace: &WorkspaceId) -> String {
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
