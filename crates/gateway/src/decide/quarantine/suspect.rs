//! What may be the cause of crashes: a request, or a part of prompts.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::fingerprint::Fingerprint;
use super::prompt_part::PromptPart;

/// Start of a suspect's text if it is a part.
const PART_PREFIX: &str = "part-";

/// What may be the cause of crashes.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(try_from = "Box<str>", into = "Box<str>")]
pub enum Suspect {
    /// A request, which is sent again with the same content.
    Request(Fingerprint),
    /// A part of the prompts of requests that have nothing else in common.
    Part(PromptPart),
}

impl Suspect {
    /// Returns a hash of the suspect and a number.
    #[must_use]
    pub(super) fn hash_with(self, seed: u64) -> u64 {
        match self {
            Self::Request(request) => xxh3_64_with_seed(&request.bits().to_le_bytes(), seed),
            Self::Part(part) => {
                let text = format!("{PART_PREFIX}{part}");
                xxh3_64_with_seed(text.as_bytes(), seed)
            }
        }
    }
}

impl From<Fingerprint> for Suspect {
    fn from(request: Fingerprint) -> Self {
        Self::Request(request)
    }
}

impl From<PromptPart> for Suspect {
    fn from(part: PromptPart) -> Self {
        Self::Part(part)
    }
}

impl fmt::Display for Suspect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(request) => request.fmt(f),
            Self::Part(part) => write!(f, "{PART_PREFIX}{part}"),
        }
    }
}

/// Error for a text that names neither a request nor a prompt part.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error(
    "neither a request nor a prompt part: give a fingerprint as the log shows it, or {PART_PREFIX} and the id of a part"
)]
pub struct BadSuspect;

impl FromStr for Suspect {
    type Err = BadSuspect;

    fn from_str(text: &str) -> Result<Self, BadSuspect> {
        let parsed = match text.strip_prefix(PART_PREFIX) {
            Some(part) => part.parse().ok().map(Self::Part),
            None => text.parse().ok().map(Self::Request),
        };
        parsed.ok_or(BadSuspect)
    }
}

impl From<Suspect> for Box<str> {
    fn from(suspect: Suspect) -> Self {
        suspect.to_string().into()
    }
}

impl TryFrom<Box<str>> for Suspect {
    type Error = BadSuspect;

    fn try_from(text: Box<str>) -> Result<Self, BadSuspect> {
        text.parse()
    }
}
