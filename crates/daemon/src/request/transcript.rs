//! The text delivered so far, from which an answer goes on elsewhere.

use tokio_util::bytes::Bytes;

use super::chunk::Chunk;
use super::sse::field;

/// Bytes of raw events kept before they are reduced to their text.
const REDUCE_AFTER: usize = 32 * 1_024;

/// Delivered events: the newest raw, for parsing each as it passes would cost more than relaying it;
/// the older reduced to their text, for raw events are some fifty times as long.
#[derive(Debug, Default)]
pub(super) struct Transcript {
    text: String,
    raw: Vec<Bytes>,
    raw_bytes: usize,
    head: Head,
}

/// What else an answer that is not streamed needs of its events.
#[derive(Clone, Debug, Default)]
pub(super) struct Head {
    pub(super) id: Option<Box<str>>,
    pub(super) created: Option<u64>,
    pub(super) finish_reason: Option<Box<str>>,
}

impl Transcript {
    /// Keeps delivered events.
    pub(super) fn push(&mut self, events: Bytes) {
        self.raw_bytes += events.len();
        self.raw.push(events);
        if self.raw_bytes > REDUCE_AFTER {
            self.reduce();
        }
    }

    /// The text delivered so far.
    pub(super) fn text(&mut self) -> &str {
        self.reduce();
        &self.text
    }

    /// What else the events said.
    pub(super) fn head(&mut self) -> &Head {
        self.reduce();
        &self.head
    }

    fn reduce(&mut self) {
        for events in std::mem::take(&mut self.raw) {
            for line in events.split(|byte| *byte == b'\n') {
                if let Some(data) = field(line, b"data:") {
                    self.take(data);
                }
            }
        }
        self.raw_bytes = 0;
    }

    fn take(&mut self, data: &[u8]) {
        // `[DONE]` is no JSON; all else was checked as it passed.
        let Ok(chunk) = serde_json::from_slice::<Chunk>(data) else {
            return;
        };
        self.text.push_str(chunk.text());
        self.head.id = self.head.id.take().or_else(|| chunk.id.clone());
        self.head.created = self.head.created.or(chunk.created);
        let finish = chunk
            .choices
            .into_iter()
            .next()
            .and_then(|choice| choice.finish_reason);
        self.head.finish_reason = finish.or_else(|| self.head.finish_reason.take());
    }
}
