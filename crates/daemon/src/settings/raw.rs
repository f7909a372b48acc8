//! The settings file as it is written, before any check of values.

use serde::Deserialize;
use serde_saphyr::Spanned;

use bluebellstage_core::{Grouping, Placement, QueueOrder, RatePolicy};

use super::Problem;

/// A value with its place in the file; nothing where the file doesn't name it.
#[derive(Debug, Deserialize)]
#[serde(transparent)]
pub(super) struct Value<T>(Option<Spanned<T>>);

impl<T> Default for Value<T> {
    fn default() -> Self {
        Self(None)
    }
}

impl<T> Value<T> {
    /// The value.
    pub(super) fn get(&self) -> Option<&T> {
        self.0.as_ref().map(|spanned| &spanned.value)
    }

    /// The line that it stands on, from 1.
    pub(super) fn line(&self) -> Option<u64> {
        self.0.as_ref().map(|spanned| spanned.referenced.line())
    }
}

/// The whole file.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct RawSettings {
    pub(super) instance: Value<Box<str>>,
    pub(super) failure_domain: Value<Box<str>>,
    pub(super) caller_address: Value<Box<str>>,
    pub(super) peer_address: Value<Box<str>>,
    pub(super) admin_address: Value<Box<str>>,
    pub(super) admin_tokens: Value<Vec<Box<str>>>,
    pub(super) platform: RawPlatform,
    pub(super) policies: RawPolicies,
    pub(super) timing: RawTiming,
    pub(super) weight_store: RawWeightStore,
    pub(super) limits: RawLimits,
}

/// The section `platform`.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct RawPlatform {
    pub(super) url: Value<Box<str>>,
    pub(super) namespace: Value<Box<str>>,
    pub(super) pod: Value<Box<str>>,
    pub(super) timeout_ms: Value<u64>,
}

/// The section `policies`.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct RawPolicies {
    pub(super) grouping: Option<Grouping>,
    pub(super) placement: Option<Placement>,
    pub(super) queue: Option<QueueOrder>,
    pub(super) rates: Option<RatePolicy>,
}

/// The section `timing`.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct RawTiming {
    pub(super) heartbeat_ms: Value<u64>,
    pub(super) suspect_ms: Value<u64>,
    pub(super) standing_ms: Value<u64>,
    pub(super) drift_ms: Value<u64>,
    pub(super) map_read_ms: Value<u64>,
    pub(super) list_ms: Value<u64>,
    pub(super) entry_max_age_ms: Value<u64>,
    pub(super) rate_patience_ms: Value<u64>,
    pub(super) queue_patience_ms: Value<u64>,
    pub(super) permit_start_ms: Value<u64>,
    pub(super) outcome_retention_s: Value<u64>,
    pub(super) report_ms: Value<u64>,
}

/// The section `weight_store`.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct RawWeightStore {
    pub(super) loads_per_second: Value<u64>,
    pub(super) in_flight: Value<u64>,
}

/// The section `limits`.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct RawLimits {
    pub(super) body_bytes: Value<u64>,
    pub(super) body_memory_bytes: Value<u64>,
    pub(super) body_timeout_ms: Value<u64>,
    pub(super) keep_alive_ms: Value<u64>,
    pub(super) connect_timeout_ms: Value<u64>,
    pub(super) engine_silence_ms: Value<u64>,
    pub(super) service_timeout_ms: Value<u64>,
    pub(super) service_answer_bytes: Value<u64>,
    pub(super) order_timeout_ms: Value<u64>,
    pub(super) peer_queue: Value<u64>,
    pub(super) flush_timeout_ms: Value<u64>,
}

impl RawSettings {
    /// Parses the text; values are not checked yet.
    pub(super) fn parse(text: &str) -> Result<Self, Vec<Problem>> {
        serde_saphyr::from_str(text).map_err(|error| vec![unparsable(text, &error)])
    }
}

fn unparsable(text: &str, error: &serde_saphyr::Error) -> Problem {
    let cause = error.without_snippet().to_string();
    let stated = error.location().map(|location| location.line());
    let line = stated.or_else(|| line_of(text, quoted(&cause)?));
    Problem {
        line,
        key: line.map_or_else(Box::default, |line| key_on(text, line)),
        cause: cause.into(),
        remedy: "see docs/SETTINGS.md for the keys and what each takes".into(),
    }
}

/// The text that an error quotes first: an unknown key or value comes without its place.
fn quoted(cause: &str) -> Option<&str> {
    cause.split('`').nth(1)
}

/// The first line that has `word` as its key or its value.
fn line_of(text: &str, word: &str) -> Option<u64> {
    let has = |line: &str| {
        let mut parts = line.split([':', ',', '{', '}', ' ']);
        parts.any(|part| part == word)
    };
    let at = text.lines().position(has)?;
    u64::try_from(at + 1).ok()
}

/// The key written on a line.
fn key_on(text: &str, line: u64) -> Box<str> {
    let index = usize::try_from(line.saturating_sub(1)).unwrap_or(usize::MAX);
    let line = text.lines().nth(index).unwrap_or_default();
    let key = line.split(':').next().unwrap_or_default();
    key.trim().trim_start_matches("- ").into()
}
