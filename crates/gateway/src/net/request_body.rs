//! Reads the bodies of requests within the memory budget.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};

use crate::decide::memory_budget::HeldKind;

use super::caller_memory::{CallerMemory, OutOfMemory};
use super::held_buffer::HeldBuffer;

/// Longest wait for memory, with nothing read from the caller. Callers give up on an instance that does not read
/// their request for a second.
const MAX_ROOM_WAIT: Duration = Duration::from_millis(500);
/// For how long the connection of a refused request is kept. One that is closed with unread bytes is reset, and its
/// caller may not get the refusal.
const LINGER_TIME: Duration = Duration::from_secs(1);
/// How much of a refused body is received and dropped meanwhile. What is longer is left with its sender.
const MAX_DISCARDED: usize = 16 * 1_024;
/// What a connection buffers of a body while it is received.
const RECEIVE_BUFFER: usize = 32 * 1_024;

/// Why a body was not read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum BodyFailure {
    /// It is longer than the limit.
    TooLong,
    /// It ended early.
    Cut,
    /// There is no memory for it.
    OutOfMemory,
}

impl BodyFailure {
    /// Returns the status of the response; each means that the request has not run.
    pub(super) const fn status(self) -> StatusCode {
        match self {
            Self::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Cut => StatusCode::BAD_REQUEST,
            Self::OutOfMemory => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

impl From<OutOfMemory> for BodyFailure {
    fn from(OutOfMemory: OutOfMemory) -> Self {
        Self::OutOfMemory
    }
}

/// Reads a body of at most `limit` bytes; its bytes are counted if memory is limited.
///
/// # Errors
///
/// The body is too long or cut, or there is no memory for it.
pub(super) async fn read_body(
    body: Incoming,
    caller: Option<&Arc<CallerMemory>>,
    limit: usize,
) -> Result<Bytes, BodyFailure> {
    let Some(caller) = caller else {
        return read_uncounted(body, limit).await;
    };
    let mut body = body;
    let read = read_counted(&mut body, caller, limit).await;
    if read == Err(BodyFailure::OutOfMemory) {
        tokio::spawn(linger(body, Arc::clone(caller)));
    }
    read
}

async fn read_uncounted(body: Incoming, limit: usize) -> Result<Bytes, BodyFailure> {
    match Limited::new(body, limit).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(err) if err.is::<LengthLimitError>() => Err(BodyFailure::TooLong),
        Err(_cut) => Err(BodyFailure::Cut),
    }
}

/// Reads a body. Memory for one of known length is taken at once, so that bodies that have been begun don't wait for
/// each other.
async fn read_counted(
    body: &mut Incoming,
    caller: &Arc<CallerMemory>,
    limit: usize,
) -> Result<Bytes, BodyFailure> {
    let mut buf = HeldBuffer::new(Arc::clone(caller).hold(HeldKind::RequestBody));
    if let Some(len) = body.size_hint().exact() {
        let len = usize::try_from(len).unwrap_or(usize::MAX);
        if len > limit {
            return Err(BodyFailure::TooLong);
        }
        buf.reserve_exact(len, MAX_ROOM_WAIT).await?;
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
    }
    Ok(buf.into_bytes())
}

/// Keeps the connection of a refused body while its caller gets the response.
async fn linger(mut body: Incoming, caller: Arc<CallerMemory>) {
    let mut receiving = caller.hold(HeldKind::RequestBody);
    receiving.add(RECEIVE_BUFFER);
    let _received_or_late = tokio::time::timeout(LINGER_TIME, discard(&mut body)).await;
}

/// Receives a body and drops it, up to [`MAX_DISCARDED`].
async fn discard(body: &mut Incoming) {
    let mut discarded = 0;
    while let Some(Ok(frame)) = body.frame().await {
        discarded += frame.data_ref().map_or(0, Bytes::len);
        if discarded > MAX_DISCARDED {
            return std::future::pending().await;
        }
    }
}
