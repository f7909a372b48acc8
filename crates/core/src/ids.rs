//! Identifiers: newtypes over validated text and numbers.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

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

macro_rules! text_id {
    ($($(#[$doc:meta])* $name:ident, $kind:literal;)+) => {$(
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
                validate($kind, raw).map(Self)
            }
        }

        impl TryFrom<Box<str>> for $name {
            type Error = CoreError;

            fn try_from(raw: Box<str>) -> Result<Self, CoreError> {
                validate($kind, &raw).map(Self)
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
    AdapterId, "adapter";
    /// Name of a base model, shared by engines and adapters.
    BaseModel, "base model";
    /// Name of a catalogue change, chosen by its author; makes a retried change idempotent.
    ChangeId, "change";
    /// Name of a failure domain.
    FailureDomain, "failure domain";
    /// Name of a group of engines that one owner schedules together.
    GroupId, "engine group";
    /// Name that a caller chooses for a request that may not be repeated.
    IdempotencyKey, "idempotency key";
    /// Name of an instance; kept across its restarts.
    InstanceId, "instance";
    /// Public name of a workspace's key, not the key itself.
    KeyId, "key";
    /// Name of an object in the platform's object API.
    ObjectName, "object";
    /// Name of a plain service.
    ServiceId, "service";
    /// Name of a target: an engine or one replica of a plain service.
    TargetId, "target";
    /// Name of a workspace.
    WorkspaceId, "workspace";
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
