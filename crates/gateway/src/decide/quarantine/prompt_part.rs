//! Identifies the parts of prompts that requests share.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// A part of a prompt, by its id. The part is the same whatever stands before it in a prompt.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct PromptPart(pub u64);

impl fmt::Display for PromptPart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

/// Error for a text that is not the id of a prompt part.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("not a prompt part: give its id, at most 16 hexadecimal digits")]
pub struct BadPromptPart;

impl FromStr for PromptPart {
    type Err = BadPromptPart;

    fn from_str(text: &str) -> Result<Self, BadPromptPart> {
        if !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(BadPromptPart);
        }
        let id = u64::from_str_radix(text, 16).map_err(|_empty_or_too_long| BadPromptPart)?;
        Ok(Self(id))
    }
}
