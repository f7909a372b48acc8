//! Identifiers: newtypes over validated text and numbers.

use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;

use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize};

use crate::CoreError;

/// Maximum length of an identifier, in bytes; keeps names usable in paths, logs and object names.
pub const MAX_ID_BYTES: usize = 128;

fn validate(kind: &'static str, raw: &str) -> Result<Box<str>, CoreError> {
    let fits = !raw.is_empty() && raw.len() <= MAX_ID_BYTES;
    let legal = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | '/' | ':');
    if fits && raw.chars().all(legal) {
        return Ok(raw.into());
    }
    Err(CoreError::MalformedId {
        kind,
        raw: raw.chars().take(MAX_ID_BYTES).collect(),
    })
}

/// Maximum length of a name that is taken from outside, in bytes; a batch of requests that each hold one fits a datagram.
pub const MAX_NAME_BYTES: usize = 512;

/// Accepts each name that a header, a line of the log and a hashed key can carry. Other control characters than tabs
/// separate the parts of hashed keys, and blanks around a header's value are no part of it.
fn validate_name(kind: &'static str, raw: &str) -> Result<Box<str>, CoreError> {
    let fits = !raw.is_empty() && raw.len() <= MAX_NAME_BYTES;
    let is_control = |c: char| c.is_ascii_control() && c != '\t';
    if fits && raw.trim_matches([' ', '\t']) == raw && !raw.contains(is_control) {
        return Ok(raw.into());
    }
    Err(CoreError::MalformedName {
        kind,
        raw: raw.chars().take(MAX_ID_BYTES).collect(),
    })
}

/// Deserializes a name that callers or operators of the own interface choose, by the rule for identifiers.
pub(crate) fn deserialize_id<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: FromStr<Err = CoreError>,
{
    let raw = Box::<str>::deserialize(deserializer)?;
    raw.parse().map_err(D::Error::custom)
}

/// Deserializes a set of such names.
pub(crate) fn deserialize_id_set<'de, D, T>(deserializer: D) -> Result<BTreeSet<T>, D::Error>
where
    D: Deserializer<'de>,
    T: FromStr<Err = CoreError> + Ord,
{
    let raw = Vec::<Box<str>>::deserialize(deserializer)?;
    let names = raw.iter().map(|raw| raw.parse().map_err(D::Error::custom));
    names.collect()
}

/// Defines identifiers by the rule for all that is taken from outside. What users of the own interface write is parsed
/// with [`FromStr`], by the rule for identifiers.
macro_rules! text_id {
    ($($(#[$doc:meta])* $name:ident, $kind:literal, $validate:ident;)+) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
        #[serde(try_from = "Box<str>", into = "Box<str>")]
        pub struct $name(Box<str>);

        impl $name {
            /// Returns the text of the identifier.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<&str> for $name {
            type Error = CoreError;

            fn try_from(raw: &str) -> Result<Self, CoreError> {
                $validate($kind, raw).map(Self)
            }
        }

        impl TryFrom<Box<str>> for $name {
            type Error = CoreError;

            fn try_from(raw: Box<str>) -> Result<Self, CoreError> {
                $validate($kind, &raw).map(Self)
            }
        }

        impl From<$name> for Box<str> {
            fn from(id: $name) -> Self {
                id.0
            }
        }

        impl FromStr for $name {
            type Err = CoreError;

            fn from_str(s: &str) -> Result<Self, CoreError> {
                validate($kind, s).map(Self)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    )+};
}

text_id! {
    /// Name of an adapter in the catalogue.
    AdapterId, "adapter", validate;
    /// Name of a base model, shared by engines and adapters.
    BaseModel, "base model", validate_name;
    /// Name of a catalogue change, chosen by its author; makes a retried change idempotent.
    ChangeId, "change", validate;
    /// Name of a failure domain.
    FailureDomain, "failure domain", validate;
    /// Name of a group of engines that one owner schedules together.
    GroupId, "engine group", validate;
    /// Name that a caller chooses for a request that may not be repeated.
    IdempotencyKey, "idempotency key", validate;
    /// Name of an instance; kept across its restarts.
    InstanceId, "instance", validate;
    /// Public name of a workspace's key, not the key itself.
    KeyId, "key", validate;
    /// Name of an object in the platform's object API.
    ObjectName, "object", validate;
    /// Name of a plain service.
    ServiceId, "service", validate_name;
    /// Name of a target: an engine or one replica of a plain service.
    TargetId, "target", validate;
    /// Name of a workspace.
    WorkspaceId, "workspace", validate_name;
}

macro_rules! number_id {
    ($($(#[$doc:meta])* $name:ident($inner:ty), $kind:literal;)+) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:x}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = CoreError;

            fn from_str(s: &str) -> Result<Self, CoreError> {
                <$inner>::from_str_radix(s, 16).map(Self).map_err(|_not_hex| CoreError::MalformedId {
                    kind: $kind,
                    raw: s.chars().take(MAX_ID_BYTES).collect(),
                })
            }
        }
    )+};
}

number_id! {
    /// Number of a platform call, unique within a process.
    CallId(u64), "platform call";
    /// Number of a caller's request, unique across all instances and their restarts.
    RequestId(u128), "request";
}
