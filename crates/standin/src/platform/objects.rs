//! Objects with versions, and the changes that watches follow.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

/// Longest value of an object, in bytes.
const VALUE_LIMIT: usize = 1_048_576;

/// An object, as the object API shows it.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub(super) struct Object {
    pub(super) metadata: ObjectMetadata,
    pub(super) data: ObjectData,
}

#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, rename_all = "camelCase")]
pub(super) struct ObjectMetadata {
    pub(super) name: String,
    pub(super) resource_version: Option<String>,
}

#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub(super) struct ObjectData {
    pub(super) value: String,
}

/// One change of one object, as a watch shows it.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Change {
    #[serde(rename = "type")]
    pub(super) kind: &'static str,
    pub(super) object: ChangedObject,
    #[serde(skip)]
    pub(super) namespace: Box<str>,
    #[serde(skip)]
    pub(super) version: u64,
}

#[derive(Clone, Debug, Serialize)]
pub(super) struct ChangedObject {
    pub(super) metadata: ObjectMetadata,
}

/// What became of a write.
#[derive(Debug)]
pub(super) enum Written {
    Done(Object),
    Conflict,
    Missing,
    TooLarge,
    Malformed,
}

#[derive(Debug)]
pub(super) struct Objects {
    version: u64,
    stored: BTreeMap<(Box<str>, Box<str>), Stored>,
    changes: VecDeque<Change>,
    kept_changes: usize,
}

#[derive(Debug)]
struct Stored {
    version: u64,
    value: String,
}

impl Objects {
    pub(super) const fn new(kept_changes: usize) -> Self {
        Self {
            version: 0,
            stored: BTreeMap::new(),
            changes: VecDeque::new(),
            kept_changes,
        }
    }

    pub(super) const fn version(&self) -> u64 {
        self.version
    }

    pub(super) fn get(&self, namespace: &str, name: &str) -> Option<Object> {
        let stored = self.stored.get(&key(namespace, name))?;
        Some(object(name, stored))
    }

    pub(super) fn create(&mut self, namespace: &str, new: Object) -> Written {
        if !legal(&new.metadata.name) {
            return Written::Malformed;
        }
        if self
            .stored
            .contains_key(&key(namespace, &new.metadata.name))
        {
            return Written::Conflict;
        }
        self.store(namespace, &new.metadata.name, new.data.value, "ADDED")
    }

    pub(super) fn update(&mut self, namespace: &str, name: &str, new: Object) -> Written {
        let Some(stored) = self.stored.get(&key(namespace, name)) else {
            return Written::Missing;
        };
        let Some(expected) = new.metadata.resource_version else {
            return Written::Malformed;
        };
        if expected != stored.version.to_string() {
            return Written::Conflict;
        }
        self.store(namespace, name, new.data.value, "MODIFIED")
    }

    pub(super) fn remove(&mut self, namespace: &str, name: &str) -> bool {
        if self.stored.remove(&key(namespace, name)).is_none() {
            return false;
        }
        self.note(namespace, name, "DELETED");
        true
    }

    /// Changes of a namespace after a version; none if some are no longer kept.
    pub(super) fn changes_after(&self, namespace: &str, version: u64) -> Option<Vec<Change>> {
        let oldest_kept = self
            .changes
            .front()
            .map_or(self.version, |first| first.version - 1);
        if version < oldest_kept {
            return None;
        }
        let changes = self
            .changes
            .iter()
            .filter(|change| change.version > version && &*change.namespace == namespace);
        Some(changes.cloned().collect())
    }

    fn store(&mut self, namespace: &str, name: &str, value: String, kind: &'static str) -> Written {
        if value.len() > VALUE_LIMIT {
            return Written::TooLarge;
        }
        let version = self.note(namespace, name, kind);
        let stored = Stored { version, value };
        let object = object(name, &stored);
        self.stored.insert(key(namespace, name), stored);
        Written::Done(object)
    }

    fn note(&mut self, namespace: &str, name: &str, kind: &'static str) -> u64 {
        self.version += 1;
        let metadata = ObjectMetadata {
            name: name.into(),
            resource_version: Some(self.version.to_string()),
        };
        self.changes.push_back(Change {
            kind,
            object: ChangedObject { metadata },
            namespace: namespace.into(),
            version: self.version,
        });
        if self.changes.len() > self.kept_changes {
            self.changes.pop_front();
        }
        self.version
    }
}

fn key(namespace: &str, name: &str) -> (Box<str>, Box<str>) {
    (namespace.into(), name.into())
}

fn object(name: &str, stored: &Stored) -> Object {
    Object {
        metadata: ObjectMetadata {
            name: name.into(),
            resource_version: Some(stored.version.to_string()),
        },
        data: ObjectData {
            value: stored.value.clone(),
        },
    }
}

fn legal(name: &str) -> bool {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || matches!(c, '-' | '.');
    !name.is_empty() && name.chars().all(allowed)
}
