//! Reads the bodies of requests within the memory budget.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bluebellstage_core::Time;
use bytes::Bytes;
use http::{StatusCode, Version, header, request};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Frame, Incoming, SizeHint};

use crate::decide::memory_budget::HeldKind;
use crate::decide::refused_body::{RECEIVE_BUFFER, UploadBounds};

use super::caller_memory::{CallerMemory, OutOfMemory};
use super::connection_activity::{Activity, Receiving};
use super::held_buffer::HeldBuffer;

/// Longest wait for memory, with nothing read from the caller. Callers give up on an instance that does not read
/// their request for a second.
const MAX_ROOM_WAIT: Duration = Duration::from_millis(500);
/// What a caller expects that sends a body only when it is told to.
const CONTINUE: &str = "100-continue";

/// Why a body was not read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum BodyFailure {
    /// It is longer than the limit.
    TooLong,
    /// It ended early.
    Cut,
    /// There is no memory for it.
    OutOfMemory,
    /// It was not complete when the request's time was over.
    Late,
    /// It was not complete when the instance began to close its connections.
    Stopping,
}

impl BodyFailure {
    /// Returns the status of the response; each means that the request has not run.
    pub(super) const fn status(self) -> StatusCode {
        match self {
            Self::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Cut => StatusCode::BAD_REQUEST,
            Self::OutOfMemory | Self::Stopping => StatusCode::SERVICE_UNAVAILABLE,
            Self::Late => StatusCode::REQUEST_TIMEOUT,
        }
    }

    /// Short name for metrics and the log.
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::TooLong => "body_too_long",
            Self::Cut => "body_cut",
            Self::OutOfMemory => "memory_short",
            Self::Late => "body_late",
            Self::Stopping => "stopping",
        }
    }
}

impl From<OutOfMemory> for BodyFailure {
    fn from(OutOfMemory: OutOfMemory) -> Self {
        Self::OutOfMemory
    }
}

/// The body of a request, which knows how much of it was read.
#[derive(Debug)]
pub(super) struct RequestBody {
    body: Incoming,
    arrived: Time,
    /// What its sender may send, if the request is refused.
    pub(super) bounds: UploadBounds,
    /// Whether its sender waits until it is told to send.
    awaits_continue: bool,
    progress: Progress,
    /// Set until it is received.
    receiving: Option<Receiving>,
}

/// How much of a body was read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Progress {
    /// Its request has none.
    None,
    Unread,
    Partly,
    Whole,
    /// It was cut or its framing is broken, so that nothing more can be read.
    Broken,
}

impl RequestBody {
    pub(super) fn new(
        head: &request::Parts,
        body: Incoming,
        arrived: Time,
        bounds: UploadBounds,
        activity: &Arc<Activity>,
    ) -> Self {
        let expected = head.headers.get(header::EXPECT);
        let expected = expected.and_then(|value| value.to_str().ok());
        let expects_continue = expected.is_some_and(|value| value.eq_ignore_ascii_case(CONTINUE));
        let progress = if body.is_end_stream() {
            Progress::None
        } else {
            Progress::Unread
        };
        Self {
            body,
            arrived,
            bounds,
            awaits_continue: expects_continue && head.version > Version::HTTP_10,
            receiving: (progress == Progress::Unread).then(|| activity.start_receiving()),
            progress,
        }
    }

    /// Returns when its request arrived.
    pub(super) const fn arrived(&self) -> Time {
        self.arrived
    }

    /// Whether nothing of it is left to read.
    pub(super) const fn is_ended(&self) -> bool {
        matches!(self.progress, Progress::None | Progress::Whole)
    }

    /// Whether nothing more of it can be read.
    pub(super) const fn is_broken(&self) -> bool {
        matches!(self.progress, Progress::Broken)
    }

    /// Whether its sender was not told to send it. What comes next on the connection may be the body or not.
    pub(super) const fn is_awaiting_continue(&self) -> bool {
        self.awaits_continue && matches!(self.progress, Progress::Unread)
    }

    /// Short name of how much was read, for the log.
    pub(super) const fn progress(&self) -> &'static str {
        match self.progress {
            Progress::None => "none",
            Progress::Unread => "unread",
            Progress::Partly => "partly",
            Progress::Whole => "whole",
            Progress::Broken => "broken",
        }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        if self.progress == Progress::Unread {
            self.progress = Progress::Partly;
        }
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        self.progress = match &frame {
            Some(Err(_)) => Progress::Broken,
            // On a connection that waits for the next request, the end of the stream isn't reported after these.
            Some(Ok(frame)) if frame.is_trailers() || self.body.is_end_stream() => Progress::Whole,
            Some(Ok(_)) => Progress::Partly,
            None => Progress::Whole,
        };
        if self.progress != Progress::Partly {
            self.receiving = None;
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Reads a body of at most `limit` bytes; its bytes are counted if memory is limited.
///
/// # Errors
///
/// The body is too long or cut, or there is no memory for it.
pub(super) async fn read_body(
    body: &mut RequestBody,
    caller: Option<&Arc<CallerMemory>>,
    limit: usize,
) -> Result<Bytes, BodyFailure> {
    let declared = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if declared > limit {
        return Err(BodyFailure::TooLong);
    }
    match caller {
        Some(caller) => read_counted(body, caller, limit).await,
        None => read_uncounted(body, limit).await,
    }
}

async fn read_uncounted(body: &mut RequestBody, limit: usize) -> Result<Bytes, BodyFailure> {
    match Limited::new(body, limit).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(err) if err.is::<LengthLimitError>() => Err(BodyFailure::TooLong),
        Err(_cut) => Err(BodyFailure::Cut),
    }
}

/// Reads a body. Memory for one of known length is taken at once, so that bodies that have been begun don't wait for
/// each other.
async fn read_counted(
    body: &mut RequestBody,
    caller: &Arc<CallerMemory>,
    limit: usize,
) -> Result<Bytes, BodyFailure> {
    let mut buf = HeldBuffer::new(Arc::clone(caller).hold(HeldKind::RequestBody));
    let _upload = caller.start_upload();
    if let Some(len) = body.size_hint().exact() {
        let len = usize::try_from(len).unwrap_or(usize::MAX);
        buf.reserve_exact(len, MAX_ROOM_WAIT).await?;
        buf.widen_receive_window(len);
    }
    let mut receiving = Arc::clone(caller).hold(HeldKind::RequestBody);
    receiving.add(RECEIVE_BUFFER);
    let turn = caller.start_turn();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_cut| BodyFailure::Cut)?.into_data() else {
            continue;
        };
        turn.record_moved(data.len());
        if buf.len() + data.len() > limit {
            return Err(BodyFailure::TooLong);
        }
        buf.extend(&data, MAX_ROOM_WAIT).await?;
        buf.widen_receive_window(buf.len());
    }
    Ok(buf.into_bytes())
}
