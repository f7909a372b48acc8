//! Passes a target's response through to the caller without buffering it.

use std::io;
use std::sync::Arc;

use bluebellstage_core::Time;
use bytes::{Bytes, BytesMut};
use futures::stream::unfold;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Body, Frame, Incoming};

use crate::decide::health::TargetOutcome;
use crate::decide::memory_budget::HeldKind;
use crate::edge::Edge;

use super::attempt::MAX_BUFFERED_BYTES;
use super::caller_memory::CallerMemory;
use super::held_buffer::HeldBuffer;
use super::local_response::{ResponseBody, full_body};
use super::target_response::TargetStream;

/// What was read of a body.
pub(super) enum Buffered {
    /// All of it.
    Whole(Bytes),
    /// There is no room for more: what was buffered, and the part that was read last.
    Part([Bytes; 2]),
    /// It is longer than an answer may be.
    TooLong,
}

/// Reads a body, if memory is limited as far as there is room for it.
///
/// # Errors
///
/// The connection broke.
pub(super) async fn collect(
    body: &mut Incoming,
    caller: Option<&Arc<CallerMemory>>,
) -> hyper::Result<Buffered> {
    let len = body.size_hint().exact();
    let len = len.map(|len| usize::try_from(len).unwrap_or(usize::MAX));
    if len.is_some_and(|len| len > MAX_BUFFERED_BYTES) {
        return Ok(Buffered::TooLong);
    }
    match caller {
        Some(caller) => collect_within_budget(body, len, caller).await,
        None => collect_all(body).await,
    }
}

/// Reads a body of any length up to the maximum. What arrives in small parts is copied: each of them would keep the
/// whole buffer that it was read into.
async fn collect_all(body: &mut Incoming) -> hyper::Result<Buffered> {
    let mut buf = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let data = frame?.into_data().unwrap_or_default();
        if buf.len() + data.len() > MAX_BUFFERED_BYTES {
            return Ok(Buffered::TooLong);
        }
        if buf.is_empty() && body.is_end_stream() {
            return Ok(Buffered::Whole(data));
        }
        buf.extend_from_slice(&data);
    }
    Ok(Buffered::Whole(buf.freeze()))
}

async fn collect_within_budget(
    body: &mut Incoming,
    len: Option<usize>,
    caller: &Arc<CallerMemory>,
) -> hyper::Result<Buffered> {
    let mut buf = HeldBuffer::new(Arc::clone(caller).hold(HeldKind::Response));
    if len.is_some_and(|len| !buf.try_reserve_exact(len)) {
        return Ok(Buffered::Part([Bytes::new(), Bytes::new()]));
    }
    while let Some(frame) = body.frame().await {
        let data = frame?.into_data().unwrap_or_default();
        if buf.len() + data.len() > MAX_BUFFERED_BYTES {
            return Ok(Buffered::TooLong);
        }
        if !buf.try_extend(&data) {
            return Ok(Buffered::Part([buf.into_bytes(), data]));
        }
    }
    Ok(Buffered::Whole(buf.into_bytes()))
}

/// The body of a response that is no stream.
#[derive(Debug)]
pub(super) enum CollectedBody<E: Edge> {
    Whole(Bytes),
    /// There is no room for all of it: it is read as the caller takes it.
    PassedThrough(Box<Passing<E>>),
}

impl<E: Edge> CollectedBody<E> {
    pub(super) const fn is_whole(&self) -> bool {
        matches!(self, Self::Whole(_))
    }

    pub(super) fn into_body(self) -> ResponseBody {
        match self {
            Self::Whole(bytes) => full_body(bytes),
            Self::PassedThrough(passing) => passing.into_body(),
        }
    }
}

/// A body that is passed through.
#[derive(Debug)]
pub(super) struct Passing<E: Edge> {
    /// Parts that were read before, last one first.
    read: Vec<Bytes>,
    source: TargetStream<E>,
    /// When the time of the request is over.
    end_by: Time,
    /// Bytes that may still come.
    bytes_left: usize,
}

impl<E: Edge> Passing<E> {
    /// Passes on what was `read` and then the rest of the `source`, which must come by `end_by`.
    pub(super) fn new(read: [Bytes; 2], source: TargetStream<E>, end_by: Time) -> Self {
        let mut read = Vec::from(read);
        read.reverse();
        let len = read.iter().map(Bytes::len).sum::<usize>();
        Self {
            end_by,
            read,
            source,
            bytes_left: MAX_BUFFERED_BYTES.saturating_sub(len),
        }
    }

    fn into_body(self) -> ResponseBody {
        let frames = unfold(Some(self), |passing| async move {
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

    async fn next(&mut self) -> io::Result<Option<Bytes>> {
        while let Some(read) = self.read.pop() {
            if !read.is_empty() {
                return Ok(Some(read));
            }
        }
        loop {
            let time_left = self.end_by.since(self.source.in_flight.node.now());
            if time_left.is_zero() {
                return Err(io::Error::other("the time of the request is over"));
            }
            let frame = tokio::time::timeout(time_left, self.source.body.frame()).await?;
            let Some(frame) = frame else {
                let is_whole = self.source.confirms_end().await;
                let broken = || io::Error::other("the connection and the target ended");
                return is_whole.then_some(None).ok_or_else(broken);
            };
            let Ok(data) = frame.map_err(io::Error::other)?.into_data() else {
                continue;
            };
            let Some(left) = self.bytes_left.checked_sub(data.len()) else {
                return Err(io::Error::other("the answer is too long"));
            };
            self.bytes_left = left;
            return Ok(Some(data));
        }
    }

    fn finish(mut self) {
        let age = self.source.in_flight.age();
        let outcome = TargetOutcome::Answer(age);
        self.source.in_flight.record_outcome(outcome);
        self.source.finish();
    }
}
