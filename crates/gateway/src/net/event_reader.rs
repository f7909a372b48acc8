//! Reads the events of a stream from one source.

use bytes::Bytes;
use http_body_util::BodyExt;

use crate::decide::call::Call;
use crate::decide::streams::events::{EventSplitter, SplitResult};
use crate::edge::Edge;

use super::stream_source::Source;

/// What came next from a source.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Received {
    /// Complete events.
    Events(Bytes),
    /// Bytes that are no events, or not those that are due.
    Invalid,
    /// The body ended.
    End,
    /// The connection broke.
    Broken,
}

/// A source of a stream, and what has arrived from it.
#[derive(Debug)]
pub(super) struct EventReader<E: Edge> {
    pub(super) source: Source<E>,
    splitter: EventSplitter,
}

impl<E: Edge> EventReader<E> {
    /// Reads the events of a request that follow the one with the number `last_id`.
    pub(super) fn new(source: Source<E>, call: &Call, last_id: Option<u64>) -> Self {
        Self {
            source,
            splitter: EventSplitter::new(last_id, call.max_output_tokens()),
        }
    }

    /// Returns the next events. What does not complete an event is not returned, nor lost if this is dropped.
    pub(super) async fn next(&mut self) -> Received {
        loop {
            let data = match self.source.body().frame().await {
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
                Some(Err(_cut)) => return Received::Broken,
                None => return Received::End,
            };
            match self.splitter.push(&data) {
                SplitResult::Events(events) if events.is_empty() => {}
                SplitResult::Events(events) => return Received::Events(events),
                SplitResult::Invalid => return Received::Invalid,
            }
        }
    }

    /// Returns the number of the last event.
    pub(super) fn last_id(&self) -> Option<u64> {
        self.splitter.last_id()
    }

    /// Whether what has arrived ends in the middle of an event.
    pub(super) fn is_mid_event(&self) -> bool {
        self.splitter.is_mid_event()
    }
}
