//! Reading a streamed answer.

use reqwest::Response;
use serde::Deserialize;

use super::{Attempt, Outcome, Refused};
use crate::clock::now;

/// Status of an answer whose refusal came in its stream.
const STREAM_STATUS: u16 = 200;

/// Reads a streamed answer into an attempt.
pub(super) struct AnswerReader<'a> {
    attempt: &'a mut Attempt,
    buf: Vec<u8>,
    last_token: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct Chunk {
    #[serde(default)]
    system_fingerprint: Option<Box<str>>,
    #[serde(default)]
    choices: Vec<Choice>,
}

#[derive(Debug, Deserialize)]
struct Choice {
    #[serde(default)]
    delta: Delta,
}

#[derive(Debug, Default, Deserialize)]
struct Delta {
    #[serde(default)]
    content: Option<String>,
}

impl<'a> AnswerReader<'a> {
    pub(super) const fn new(attempt: &'a mut Attempt) -> Self {
        Self {
            attempt,
            buf: Vec::new(),
            last_token: None,
        }
    }

    pub(super) async fn read(mut self, mut response: Response) {
        self.attempt.outcome = Outcome::Broken;
        while let Ok(Some(bytes)) = response.chunk().await {
            self.buf.extend_from_slice(&bytes);
            while let Some(event) = self.take_event() {
                self.event(&event);
            }
        }
    }

    /// The next whole event: all up to an empty line.
    fn take_event(&mut self) -> Option<String> {
        let end = self.buf.windows(2).position(|pair| pair == b"\n\n")?;
        let event = self.buf.drain(..end + 2).collect::<Vec<_>>();
        Some(String::from_utf8_lossy(&event).into_owned())
    }

    fn event(&mut self, event: &str) {
        let is_error = event.lines().any(|line| line == "event: error");
        let Some(data) = event.lines().find_map(|line| line.strip_prefix("data: ")) else {
            return;
        };
        if data == "[DONE]" {
            self.attempt.outcome = Outcome::Answered;
            return;
        }
        if is_error {
            if let Some(refused) = Refused::parse(STREAM_STATUS, data) {
                self.attempt.outcome = Outcome::Refused(refused);
            }
            return;
        }
        if let Ok(chunk) = serde_json::from_str(data) {
            self.chunk(chunk);
        }
    }

    fn chunk(&mut self, chunk: Chunk) {
        let content = chunk
            .choices
            .into_iter()
            .find_map(|choice| choice.delta.content);
        let Some(content) = content else {
            return;
        };
        let at = now();
        self.attempt.first_token.get_or_insert(at);
        if let Some(last) = self.last_token {
            self.attempt.gaps.push(at.saturating_sub(last));
        }
        self.last_token = Some(at);
        self.attempt.text.push_str(&content);
        let earlier = self.attempt.ran.take();
        let differs = earlier.is_some() && earlier != chunk.system_fingerprint;
        self.attempt.mixed |= differs;
        self.attempt.ran = chunk.system_fingerprint;
    }
}
