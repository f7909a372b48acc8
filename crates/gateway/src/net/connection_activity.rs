//! What an accepted connection does, shared by its socket, its requests and the checks of its end.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bluebellstage_core::Time;

use crate::decide::connection_cap::Standing;
use crate::decide::streams::connection_end::Use;
use crate::edge::Edge;

use super::caller_stream::CloseReason;
use super::node::Node;

/// Bytes that a caller must send to show progress.
const PROGRESS_BYTES: usize = 4 * 1_024;

#[derive(Debug)]
struct State {
    open_requests: usize,
    /// Whether a whole head of a request has come.
    has_carried: bool,
    /// Bodies of requests that are received.
    receiving: usize,
    /// When the caller last sent a head, or as many bytes as show progress.
    progressed_at: Time,
    /// Bytes since then.
    moved: usize,
    /// When the last response ended or the connection was accepted.
    idle_since: Time,
    /// When the first bytes of the next request arrived.
    head_since: Option<Time>,
    /// The idle timeout when the last response began.
    idle_timeout: Duration,
    /// Whether the last response said that the connection closes.
    is_close_told: bool,
    /// Why the instance closes it.
    close_reason: Option<CloseReason>,
    /// Bodies of refused requests that have not come to their end: at most one, once what was received is read.
    open_discards: usize,
    /// Whether its last response was sent, and what its caller still sends is dropped.
    is_ending: bool,
}

/// What an accepted connection does.
#[derive(Debug)]
pub(super) struct Activity(Mutex<State>);

impl Activity {
    pub(super) fn new(now: Time, idle_timeout: Duration) -> Self {
        Self(Mutex::new(State {
            open_requests: 0,
            has_carried: false,
            receiving: 0,
            progressed_at: now,
            moved: 0,
            idle_since: now,
            head_since: None,
            idle_timeout,
            is_close_told: false,
            close_reason: None,
            open_discards: 0,
            is_ending: false,
        }))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that bytes were read, which begin a request unless one is open.
    pub(super) fn record_read(&self, bytes: usize, now: Time) {
        let mut state = self.lock();
        state.moved += bytes;
        if state.moved >= PROGRESS_BYTES {
            state.progressed_at = now;
            state.moved = 0;
        }
        if state.open_requests == 0 {
            state.head_since.get_or_insert(now);
        }
    }

    /// Records what the head of a response tells its caller.
    pub(super) fn record_response(&self, idle_timeout: Duration, is_close_told: bool) {
        let mut state = self.lock();
        state.idle_timeout = idle_timeout;
        state.is_close_told = is_close_told;
    }

    /// Returns what it does now.
    pub(super) fn current_use(&self, now: Time) -> Use {
        let state = self.lock();
        match state.head_since {
            _ if state.is_ending => Use::Ending(now.since(state.progressed_at)),
            _ if state.receiving > 0 => Use::Receiving(now.since(state.progressed_at)),
            _ if state.open_requests > 0 => Use::Request,
            Some(since) => Use::PartialHead(now.since(since)),
            None => Use::Idle(now.since(state.idle_since)),
        }
    }

    /// Returns what decides whether it makes room for others.
    pub(super) fn standing(&self, now: Time) -> Standing {
        Standing {
            now: self.current_use(now),
            has_carried: self.lock().has_carried,
        }
    }

    /// Returns the idle timeout when the last response began, and whether that said that the connection closes.
    pub(super) fn told(&self) -> (Duration, bool) {
        let state = self.lock();
        (state.idle_timeout, state.is_close_told)
    }

    /// Lets it close. A request that begins before that keeps it open.
    pub(super) fn close(&self, reason: CloseReason) {
        self.lock().close_reason = Some(reason);
    }

    /// Returns why the instance closes it, if it does.
    pub(super) fn close_reason(&self) -> Option<CloseReason> {
        self.lock().close_reason
    }

    /// Records that the body of a refused request has not come to its end.
    pub(super) fn begin_discard(&self) {
        self.lock().open_discards += 1;
    }

    /// Records that the body of a refused request has come to its end.
    pub(super) fn end_discard(&self) {
        self.lock().open_discards -= 1;
    }

    /// Records that the body of a request is received until the guard is dropped.
    pub(super) fn start_receiving(self: &Arc<Self>) -> Receiving {
        self.lock().receiving += 1;
        Receiving(Arc::clone(self))
    }

    /// Ends its requests, and returns whether its caller may still send what is not read: the rest of a refused body or
    /// of a malformed head.
    pub(super) fn end_requests(&self) -> bool {
        let mut state = self.lock();
        state.is_ending = state.open_discards > 0 || state.head_since.is_some();
        state.is_ending
    }

    /// Whether it closes, and no request has begun.
    pub(super) fn is_close_due(&self) -> bool {
        let state = self.lock();
        state.close_reason.is_some() && state.open_requests == 0 && state.head_since.is_none()
    }
}

/// The body of a request that is received, until it is whole or dropped.
#[derive(Debug)]
pub(super) struct Receiving(Arc<Activity>);

impl Drop for Receiving {
    fn drop(&mut self) {
        self.0.lock().receiving -= 1;
    }
}

/// A request on a connection, until its response is sent.
#[derive(Debug)]
pub(super) struct OpenRequest<E: Edge> {
    node: Arc<Node<E>>,
    activity: Arc<Activity>,
}

impl<E: Edge> OpenRequest<E> {
    pub(super) fn begin(node: &Arc<Node<E>>, activity: &Arc<Activity>) -> Self {
        let mut state = activity.lock();
        let now = node.now();
        state.open_requests += 1;
        state.has_carried = true;
        state.progressed_at = now;
        state.moved = 0;
        state.head_since = None;
        state.close_reason = None;
        drop(state);
        Self {
            node: Arc::clone(node),
            activity: Arc::clone(activity),
        }
    }
}

impl<E: Edge> Drop for OpenRequest<E> {
    fn drop(&mut self) {
        let now = self.node.now();
        let mut state = self.activity.lock();
        state.open_requests -= 1;
        state.idle_since = now;
    }
}
