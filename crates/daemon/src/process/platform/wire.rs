//! The platform's objects as they cross the wire.

use std::collections::BTreeMap;

use bluebellstage_core::{ObjectVersion, Versioned};
use serde::{Deserialize, Serialize};

/// An object with one value.
#[derive(Debug, Deserialize, Serialize)]
pub(super) struct ConfigMap {
    pub(super) metadata: Metadata,
    pub(super) data: Option<Data>,
}

/// Name and version of an object.
#[derive(Debug, Deserialize, Serialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct Metadata {
    pub(super) name: Box<str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) resource_version: Option<Box<str>>,
}

/// An object's content.
#[derive(Debug, Deserialize, Serialize)]
pub(super) struct Data {
    pub(super) value: Box<str>,
}

impl ConfigMap {
    /// An object to be written: absent before, or at a version.
    pub(super) fn to_write(name: &str, value: Box<str>, version: Option<ObjectVersion>) -> Self {
        Self {
            metadata: Metadata {
                name: name.into(),
                resource_version: version.map(|version| version.to_string().into()),
            },
            data: Some(Data { value }),
        }
    }

    /// Its version; none when it is missing or no number.
    pub(super) fn version(&self) -> Option<ObjectVersion> {
        self.metadata.resource_version.as_ref()?.parse().ok()
    }

    /// Its value and version; none when one of them is missing.
    pub(super) fn into_versioned(self) -> Option<Versioned> {
        let version = self.version()?;
        let value = self.data?.value;
        Some(Versioned { value, version })
    }
}

/// One line of a watch.
#[derive(Debug, Deserialize)]
pub(super) struct WatchLine {
    pub(super) object: WatchedObject,
}

/// An object that changed.
#[derive(Debug, Deserialize)]
pub(super) struct WatchedObject {
    pub(super) metadata: Metadata,
}

/// A list of pods.
#[derive(Debug, Deserialize)]
pub(super) struct PodList {
    pub(super) items: Vec<Pod>,
}

/// A pod: one of our instances or a target.
#[derive(Debug, Deserialize)]
pub(super) struct Pod {
    pub(super) metadata: PodMetadata,
    #[serde(default)]
    pub(super) status: PodStatus,
}

/// What a pod says of itself.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct PodMetadata {
    pub(super) name: Box<str>,
    #[serde(default)]
    pub(super) annotations: BTreeMap<Box<str>, Box<str>>,
    #[serde(default)]
    pub(super) deletion_timestamp: Option<Box<str>>,
}

/// Where a pod runs.
#[derive(Debug, Default, Deserialize)]
pub(super) struct PodStatus {
    #[serde(rename = "podIP", default)]
    pub(super) pod_ip: Option<Box<str>>,
}
