//! The JSON of an engine's events, for the rare cases that need it parsed.

use serde::Deserialize;

/// An event, as far as failures show in it.
#[derive(Debug, Deserialize)]
pub(super) struct ErrorChunk {
    pub(super) error: Option<serde::de::IgnoredAny>,
    pub(super) system_fingerprint: Option<Box<str>>,
}

/// An event, as far as its text goes.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Chunk {
    pub(super) id: Option<Box<str>>,
    pub(super) created: Option<u64>,
    pub(super) choices: Vec<Choice>,
}

/// One of an event's choices.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Choice {
    pub(super) delta: Option<Delta>,
    pub(super) text: Option<String>,
    pub(super) finish_reason: Option<Box<str>>,
}

/// A piece of a chat message.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Delta {
    pub(super) content: Option<String>,
}

impl Chunk {
    /// The text of the first choice.
    pub(super) fn text(&self) -> &str {
        let Some(choice) = self.choices.first() else {
            return "";
        };
        let delta = choice
            .delta
            .as_ref()
            .and_then(|delta| delta.content.as_deref());
        delta.or(choice.text.as_deref()).unwrap_or_default()
    }
}

/// An error as engines answer it.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct EngineError {
    pub(super) error: EngineErrorBody,
}

/// What an engine's error says.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct EngineErrorBody {
    pub(super) code: Box<str>,
}
