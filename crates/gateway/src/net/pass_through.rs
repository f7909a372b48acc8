//! Passes a target's response through to the caller without buffering it.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::stream::unfold;
use http::response;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Body, Frame, Incoming};

use crate::decide::health::{MAX_SILENCE, TargetOutcome};
use crate::decide::memory_budget::HeldKind;
use crate::edge::Edge;

use super::attempt::{MAX_BUFFERED_BYTES, TargetStream};
use super::caller_memory::CallerMemory;
use super::held_buffer::HeldBuffer;
use super::local_response::ResponseBody;

/// A response that was read from a target.
pub(super) enum Collected {
    /// The complete response.
    Whole(response::Parts, Bytes),
    /// There is no room to buffer it: the body reads the rest as the caller takes it.
    PassedThrough(response::Parts, ResponseBody),
}

/// What was read of a body within the memory budget.
pub(super) enum Buffered {
    /// All of it.
    Whole(Bytes),
    /// There is no room for more: what was buffered, and the part that was read last.
    Part([Bytes; 2]),
}

/// Reads a body as far as there is room for it.
///
/// # Errors
///
/// The connection broke.
pub(super) async fn buffer(
    body: &mut Incoming,
    caller: &Arc<CallerMemory>,
) -> hyper::Result<Buffered> {
    let mut buf = HeldBuffer::new(Arc::clone(caller).hold(HeldKind::Response));
    let len = body.size_hint().exact();
    let len = len.map(|len| usize::try_from(len).unwrap_or(usize::MAX));
    if let Some(len) = len
        && (len > MAX_BUFFERED_BYTES || !buf.try_reserve_exact(len))
    {
        return Ok(Buffered::Part([Bytes::new(), Bytes::new()]));
    }
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        let is_too_long = buf.len() + data.len() > MAX_BUFFERED_BYTES;
        if is_too_long || !buf.try_extend(&data) {
            return Ok(Buffered::Part([buf.into_bytes(), data]));
        }
    }
    Ok(Buffered::Whole(buf.into_bytes()))
}

/// State of a body that is passed through.
struct Passing<E: Edge> {
    /// Parts that were read before, last one first.
    read: Vec<Bytes>,
    source: TargetStream<E>,
    max_silence: Duration,
}

/// Returns a body that sends what was `read` and then the rest of the `source`. The target must send something in
/// each `max_wait`.
pub(super) fn pass_through<E: Edge>(
    read: [Bytes; 2],
    source: TargetStream<E>,
    max_wait: Duration,
) -> ResponseBody {
    let mut read = Vec::from(read);
    read.reverse();
    let passing = Passing {
        read,
        source,
        max_silence: max_wait.max(MAX_SILENCE),
    };
    let frames = unfold(Some(passing), |passing| async move {
        let mut passing = passing?;
        match passing.next().await {
            Ok(Some(data)) => Some((Ok(Frame::data(data)), Some(passing))),
            Ok(None) => {
                passing.finish();
                None
            }
            Err(err) => {
                passing.source.in_flight.record_failure();
                Some((Err(err), None))
            }
        }
    });
    StreamBody::new(frames).boxed_unsync()
}

impl<E: Edge> Passing<E> {
    async fn next(&mut self) -> io::Result<Option<Bytes>> {
        while let Some(read) = self.read.pop() {
            if !read.is_empty() {
                return Ok(Some(read));
            }
        }
        loop {
            let frame = tokio::time::timeout(self.max_silence, self.source.body.frame()).await?;
            let Some(frame) = frame else {
                let in_flight = &mut self.source.in_flight;
                in_flight.extend(in_flight.node.now() + self.max_silence);
                let is_whole = self.source.confirms_end().await;
                let broken = || io::Error::other("the connection and the target ended");
                return is_whole.then_some(None).ok_or_else(broken);
            };
            if let Ok(data) = frame.map_err(io::Error::other)?.into_data() {
                return Ok(Some(data));
            }
        }
    }

    fn finish(mut self) {
        let age = self.source.in_flight.age();
        let outcome = TargetOutcome::Answer(age);
        self.source.in_flight.record_outcome(outcome);
        self.source.finish();
    }
}
