//! A caller's generation request: parsed, checked and put again for an engine.

use bluebellstage_core::{AdapterId, AdapterRef, AdapterVersion, CallerWork, RefusalKind, Tokens};
use serde_json::{Map, Value, json};
use sha2::{Digest, Sha256};

use super::CallerKey;

/// The fields of a caller's body that reach an engine, beside the prompt and the length.
///
/// A list of what passes: a field that nobody thought of could carry a key, or switch on something
/// that the catalogue doesn't allow.
const PASSED_FIELDS: [&str; 11] = [
    "temperature",
    "top_p",
    "top_k",
    "min_p",
    "stop",
    "seed",
    "presence_penalty",
    "frequency_penalty",
    "repetition_penalty",
    "response_format",
    "logit_bias",
];

/// Fields of a chat message that reach an engine.
const PASSED_MESSAGE_FIELDS: [&str; 3] = ["role", "content", "name"];

/// Priority by which an engine takes urgent work first.
const URGENT_PRIORITY: u8 = 0;
/// Priority of overnight work.
const BATCH_PRIORITY: u8 = 10;

/// Bytes of text that count as a token in the estimate of a prompt's length.
const BYTES_PER_TOKEN: u64 = 4;
/// Tokens added for each chat message's frame.
const TOKENS_PER_MESSAGE: u64 = 4;
/// How much of a prompt's start decides its prefix-cache affinity, in bytes.
const PREFIX_BYTES: usize = 1_024;

/// Which of the two generation calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Endpoint {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

impl Endpoint {
    /// Its path, here and at engines.
    pub(crate) const fn path(self) -> &'static str {
        match self {
            Self::Chat => "/v1/chat/completions",
            Self::Text => "/v1/completions",
        }
    }
}

/// A generation as the caller asked for it.
#[derive(Clone, Debug)]
pub(crate) struct Generation {
    /// Which call.
    pub(crate) endpoint: Endpoint,
    /// The caller wants a stream.
    pub(crate) is_streamed: bool,
    adapter: AdapterId,
    version: Option<AdapterVersion>,
    max_answer: Option<Tokens>,
    prompt: Prompt,
    passed: Map<String, Value>,
}

#[derive(Clone, Debug)]
enum Prompt {
    Messages(Vec<Value>),
    Text(String),
}

impl Generation {
    /// Parses a caller's body.
    ///
    /// # Errors
    /// [`RefusalKind::Malformed`] if it is no JSON object or lacks a field.
    pub(crate) fn parse(endpoint: Endpoint, body: &[u8]) -> Result<Self, RefusalKind> {
        let parsed = serde_json::from_slice(body);
        let mut fields: Map<String, Value> = parsed.map_err(|_broken| RefusalKind::Malformed)?;
        let (adapter, version) = model(&fields)?;
        Ok(Self {
            endpoint,
            is_streamed: flag(&fields, "stream")?,
            adapter,
            version,
            max_answer: max_answer(&fields)?,
            prompt: Prompt::take(endpoint, &mut fields)?,
            passed: passed(fields, &PASSED_FIELDS),
        })
    }

    /// What the decision core needs to know of it.
    pub(crate) fn work(&self) -> CallerWork {
        CallerWork::Generate {
            adapter: self.adapter.clone(),
            version: self.version,
            prompt: self.prompt.estimate(),
            max_answer: self.max_answer,
            prefix: self.prompt.prefix(),
        }
    }

    /// Whether anything that an engine would see holds the caller's key.
    pub(crate) fn holds(&self, key: &CallerKey<'_>) -> bool {
        let in_prompt = match &self.prompt {
            Prompt::Text(text) => key.is_in(text),
            Prompt::Messages(messages) => messages.iter().any(|message| holds(message, key)),
        };
        in_prompt
            || self.passed.values().any(|value| holds(value, key))
            || key.is_in(self.adapter.as_str())
    }

    /// The body for an engine; `delivered` is the part of the answer that the caller has already.
    pub(crate) fn engine_body(
        &self,
        adapter: &AdapterRef,
        urgent: bool,
        max_answer: Tokens,
        delivered: &str,
    ) -> String {
        let mut body = self.passed.clone();
        let priority = if urgent {
            URGENT_PRIORITY
        } else {
            BATCH_PRIORITY
        };
        body.insert("model".into(), json!(adapter.to_string()));
        body.insert("stream".into(), json!(true));
        body.insert("priority".into(), json!(priority));
        body.insert("max_tokens".into(), json!(max_answer));
        self.prompt.put(&mut body, delivered);
        Value::Object(body).to_string()
    }
}

impl Prompt {
    fn take(endpoint: Endpoint, fields: &mut Map<String, Value>) -> Result<Self, RefusalKind> {
        let name = match endpoint {
            Endpoint::Chat => "messages",
            Endpoint::Text => "prompt",
        };
        match (endpoint, fields.remove(name)) {
            (Endpoint::Chat, Some(Value::Array(messages))) if !messages.is_empty() => {
                let checked = messages
                    .into_iter()
                    .map(message)
                    .collect::<Result<_, _>>()?;
                Ok(Self::Messages(checked))
            }
            (Endpoint::Text, Some(Value::String(text))) => Ok(Self::Text(text)),
            _ => Err(RefusalKind::Malformed),
        }
    }

    fn estimate(&self) -> Tokens {
        let (bytes, frames) = match self {
            Self::Text(text) => (text.len(), 0),
            Self::Messages(messages) => {
                let bytes = messages.iter().map(text_bytes).sum();
                (bytes, messages.len() as u64 * TOKENS_PER_MESSAGE)
            }
        };
        Tokens((bytes as u64).div_ceil(BYTES_PER_TOKEN) + frames)
    }

    fn prefix(&self) -> u64 {
        let mut hash = Sha256::new();
        let mut left = PREFIX_BYTES;
        let mut take = |text: &str| {
            let taken = text.len().min(left);
            hash.update(&text.as_bytes()[..taken]);
            left -= taken;
        };
        match self {
            Self::Text(text) => take(text),
            Self::Messages(messages) => {
                for message in messages {
                    take(message["content"].as_str().unwrap_or_default());
                }
            }
        }
        first_eight(&hash.finalize())
    }

    /// Puts the prompt into an engine's body, with what was delivered already as the start of the
    /// answer that the engine is to go on with.
    fn put(&self, body: &mut Map<String, Value>, delivered: &str) {
        match self {
            Self::Text(text) => {
                body.insert("prompt".into(), json!(format!("{text}{delivered}")));
            }
            Self::Messages(messages) if delivered.is_empty() => {
                body.insert("messages".into(), json!(messages));
            }
            Self::Messages(messages) => {
                let mut messages = messages.clone();
                messages.push(json!({ "role": "assistant", "content": delivered }));
                body.insert("messages".into(), Value::Array(messages));
                body.insert("continue_final_message".into(), json!(true));
                body.insert("add_generation_prompt".into(), json!(false));
            }
        }
    }
}

/// The first eight bytes of a hash as a number.
pub(super) fn first_eight(hash: &[u8]) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hash[..8]);
    u64::from_be_bytes(bytes)
}

/// Parses `adapter` or `adapter@version`.
fn model(fields: &Map<String, Value>) -> Result<(AdapterId, Option<AdapterVersion>), RefusalKind> {
    let model = fields.get("model").and_then(Value::as_str);
    let model = model.ok_or(RefusalKind::Malformed)?;
    let (adapter, version) = match model.split_once('@') {
        Some((adapter, version)) => (adapter, Some(version)),
        None => (model, None),
    };
    let adapter = adapter.parse().map_err(|_no_id| RefusalKind::Malformed)?;
    let version = version.map(str::parse).transpose();
    Ok((
        adapter,
        version.map_err(|_no_number| RefusalKind::Malformed)?,
    ))
}

fn max_answer(fields: &Map<String, Value>) -> Result<Option<Tokens>, RefusalKind> {
    let given = fields
        .get("max_completion_tokens")
        .or_else(|| fields.get("max_tokens"));
    match given {
        None | Some(Value::Null) => Ok(None),
        Some(value) => {
            let count = value.as_u64().filter(|count| *count > 0);
            count
                .map(|count| Some(Tokens(count)))
                .ok_or(RefusalKind::Malformed)
        }
    }
}

fn flag(fields: &Map<String, Value>, name: &str) -> Result<bool, RefusalKind> {
    match fields.get(name) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(flag)) => Ok(*flag),
        Some(_) => Err(RefusalKind::Malformed),
    }
}

fn message(raw: Value) -> Result<Value, RefusalKind> {
    match raw {
        Value::Object(fields) if fields.contains_key("role") && fields.contains_key("content") => {
            Ok(Value::Object(passed(fields, &PASSED_MESSAGE_FIELDS)))
        }
        _ => Err(RefusalKind::Malformed),
    }
}

fn passed(fields: Map<String, Value>, names: &[&str]) -> Map<String, Value> {
    fields
        .into_iter()
        .filter(|(name, _)| names.contains(&name.as_str()))
        .collect()
}

/// Bytes of all text in a message's content, which is text or a list of parts.
fn text_bytes(message: &Value) -> usize {
    match &message["content"] {
        Value::String(text) => text.len(),
        Value::Array(parts) => parts
            .iter()
            .filter_map(|part| part["text"].as_str())
            .map(str::len)
            .sum(),
        _ => 0,
    }
}

/// Whether any text in a value, names of fields included, holds the key.
fn holds(value: &Value, key: &CallerKey<'_>) -> bool {
    match value {
        Value::String(text) => key.is_in(text),
        Value::Array(values) => values.iter().any(|value| holds(value, key)),
        Value::Object(fields) => fields
            .iter()
            .any(|(name, value)| key.is_in(name) || holds(value, key)),
        Value::Null | Value::Bool(_) | Value::Number(_) => false,
    }
}
