//! Software versions of targets.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::CoreError;

/// Maximum length of a software version, in bytes.
const MAX_BYTES: usize = 128;

/// Version of the software that a target runs, as the target names it. Versions have no order: two are equal or
/// different.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(try_from = "Box<str>", into = "Box<str>")]
pub struct SoftwareVersion(Box<str>);

impl SoftwareVersion {
    /// Returns the text of the version.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// The version of targets that name none.
const UNNAMED: &str = "unnamed";

impl Default for SoftwareVersion {
    fn default() -> Self {
        Self(UNNAMED.into())
    }
}

impl FromStr for SoftwareVersion {
    type Err = CoreError;

    fn from_str(s: &str) -> Result<Self, CoreError> {
        s.try_into()
    }
}

impl TryFrom<Box<str>> for SoftwareVersion {
    type Error = CoreError;

    fn try_from(raw: Box<str>) -> Result<Self, CoreError> {
        let fits = !raw.is_empty() && raw.len() <= MAX_BYTES;
        if fits && !raw.chars().any(char::is_control) {
            return Ok(Self(raw));
        }
        Err(CoreError::MalformedId {
            kind: "software version",
            raw: raw.chars().take(MAX_BYTES).collect(),
        })
    }
}

impl TryFrom<&str> for SoftwareVersion {
    type Error = CoreError;

    fn try_from(raw: &str) -> Result<Self, CoreError> {
        Box::<str>::from(raw).try_into()
    }
}

impl From<SoftwareVersion> for Box<str> {
    fn from(version: SoftwareVersion) -> Self {
        version.0
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
