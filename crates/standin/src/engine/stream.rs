//! Streams: answers under way, kept for a while when nobody reads them.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::sync::watch;

use super::{Answer, RunEnd};

/// How an answer is framed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Framing {
    Chat,
    Completion,
}

/// How far an answer is.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Progress {
    pub(super) produced: usize,
    pub(super) end: Option<RunEnd>,
}

/// An answer under way.
#[derive(Debug)]
pub(super) struct Stream {
    pub(super) id: Box<str>,
    answer: Answer,
    // Tokens of the answer that were delivered elsewhere, before this stream.
    begun: usize,
    framing: Framing,
    progress: watch::Sender<Progress>,
    readers: Mutex<Readers>,
}

#[derive(Debug)]
struct Readers {
    count: usize,
    since: Instant,
}

/// The end mark of a stream of server-sent events.
pub(super) const DONE: &[u8] = b"data: [DONE]\n\n";

impl Stream {
    pub(super) fn new(id: Box<str>, answer: Answer, begun: usize, framing: Framing) -> Self {
        Self {
            id,
            answer,
            begun,
            framing,
            progress: watch::Sender::new(Progress::default()),
            readers: Mutex::new(Readers {
                count: 0,
                since: Instant::now(),
            }),
        }
    }

    /// Tokens that it has.
    pub(super) const fn len(&self) -> usize {
        self.answer.len().saturating_sub(self.begun)
    }

    pub(super) fn progress(&self) -> Progress {
        *self.progress.borrow()
    }

    pub(super) fn subscribe(&self) -> watch::Receiver<Progress> {
        self.progress.subscribe()
    }

    /// One more token is there; true if it was the last one.
    pub(super) fn advance(&self) -> bool {
        let last = self.len();
        self.progress.send_modify(|progress| {
            progress.produced += 1;
            if progress.produced == last {
                progress.end = Some(RunEnd::Complete);
            }
        });
        self.progress().end.is_some()
    }

    /// Ends it, unless it has ended; true if it had not.
    pub(super) fn end(&self, end: RunEnd) -> bool {
        self.progress.send_if_modified(|progress| {
            let first = progress.end.is_none();
            if first {
                progress.end = Some(end);
            }
            first
        })
    }

    pub(super) fn attach(&self) {
        self.readers().count += 1;
    }

    pub(super) fn detach(&self) {
        let mut readers = self.readers();
        readers.count -= 1;
        readers.since = Instant::now();
    }

    /// Nobody has read it for longer than `kept`.
    pub(super) fn abandoned(&self, kept: Duration) -> bool {
        let readers = self.readers();
        readers.count == 0 && readers.since.elapsed() > kept
    }

    /// The event of the token at `index`, counted from 0.
    pub(super) fn event(&self, index: usize) -> Vec<u8> {
        let chunk = self.chunk(
            &self.answer.token(self.begun + index),
            index + 1 == self.len(),
        );
        format!("id: {}\ndata: {chunk}\n\n", index + 1).into_bytes()
    }

    /// Bytes of all events after `delivered` tokens and the end mark.
    pub(super) fn length_after(&self, delivered: usize) -> usize {
        let events = (delivered..self.len()).map(|index| self.event(index).len());
        events.sum::<usize>() + DONE.len()
    }

    fn chunk(&self, token: &str, last: bool) -> Value {
        let finish = if last { json!("stop") } else { Value::Null };
        let (object, choice) = match self.framing {
            Framing::Chat => (
                "chat.completion.chunk",
                json!({"index": 0, "delta": {"content": token}, "finish_reason": finish}),
            ),
            Framing::Completion => (
                "text_completion",
                json!({"index": 0, "text": token, "finish_reason": finish}),
            ),
        };
        json!({
            "id": self.id,
            "object": object,
            "model": self.answer.adapter(),
            "system_fingerprint": self.answer.adapter(),
            "choices": [choice],
        })
    }

    /// The whole answer as one body.
    pub(super) fn whole(&self, prompt_tokens: usize) -> Value {
        let text: String = (self.begun..self.answer.len())
            .map(|index| self.answer.token(index))
            .collect();
        let (object, choice) = match self.framing {
            Framing::Chat => (
                "chat.completion",
                json!({
                    "index": 0,
                    "message": {"role": "assistant", "content": text},
                    "finish_reason": "stop",
                }),
            ),
            Framing::Completion => (
                "text_completion",
                json!({"index": 0, "text": text, "finish_reason": "stop"}),
            ),
        };
        let answer_tokens = self.len();
        json!({
            "id": self.id,
            "object": object,
            "model": self.answer.adapter(),
            "system_fingerprint": self.answer.adapter(),
            "choices": [choice],
            "usage": {
                "prompt_tokens": prompt_tokens,
                "completion_tokens": answer_tokens,
                "total_tokens": prompt_tokens + answer_tokens,
            },
        })
    }

    fn readers(&self) -> MutexGuard<'_, Readers> {
        self.readers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
