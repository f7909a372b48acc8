//! Memory that is held for one connection of a caller.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use bluebellstage_core::WorkspaceId;
use bytes::Bytes;
use futures::task::AtomicWaker;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::decide::memory_budget::{
    ConnectionKey, HeldKind, MIN_RECEIVE_WINDOW, Reservation, kernel_bytes,
};

use super::memory::Memory;

/// Memory that is held for one connection of a caller.
#[derive(Debug)]
pub(super) struct CallerMemory {
    memory: Arc<Memory>,
    key: ConnectionKey,
    ended: Notify,
    /// The response that waits until the caller has taken more.
    response: AtomicWaker,
    /// Bytes that the kernel should buffer of what the caller sends.
    receive_window: AtomicUsize,
}

/// There is no memory for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct OutOfMemory;

impl CallerMemory {
    pub(super) fn new(memory: Arc<Memory>, key: ConnectionKey) -> Self {
        Self {
            memory,
            key,
            ended: Notify::new(),
            response: AtomicWaker::new(),
            receive_window: AtomicUsize::new(MIN_RECEIVE_WINDOW),
        }
    }

    /// Returns how many bytes the kernel should buffer of what the caller sends.
    pub(super) fn receive_window(&self) -> usize {
        self.receive_window.load(Ordering::Relaxed)
    }

    fn set_receive_window(&self, bytes: usize) {
        self.receive_window.store(bytes, Ordering::Relaxed);
    }

    /// Closes the connection.
    pub(super) fn end(&self) {
        self.ended.notify_one();
    }

    /// Waits until the connection must be closed.
    pub(super) async fn until_ended(&self) {
        self.ended.notified().await;
    }

    /// Records that the connection begins a request of a workspace.
    pub(super) fn start_request(&self, workspace: Option<&WorkspaceId>) {
        self.memory.budget().start_request(self.key, workspace);
    }

    /// Returns a guard that holds nothing yet.
    pub(super) const fn hold(self: Arc<Self>, kind: HeldKind) -> Hold {
        Hold {
            caller: self,
            kind,
            bytes: 0,
        }
    }

    /// Makes the receive window small again once the guard is dropped.
    pub(super) fn start_upload(self: &Arc<Self>) -> Upload {
        Upload(Arc::clone(self))
    }

    /// Records that the instance waits for the caller to send or to take bytes.
    pub(super) fn start_turn(self: &Arc<Self>) -> Turn {
        self.memory.budget().start_turn(self.key);
        Turn(Arc::clone(self))
    }

    /// Returns when more of a response may be read.
    pub(super) fn poll_read_ahead(&self, cx: &Context<'_>) -> Poll<()> {
        if self.memory.budget().may_read_ahead(self.key) {
            return Poll::Ready(());
        }
        self.response.register(cx.waker());
        // The caller may have taken the last bytes before the waker was registered.
        if self.memory.budget().may_read_ahead(self.key) {
            return Poll::Ready(());
        }
        Poll::Pending
    }

    /// Returns a buffered response whose bytes count as held until the last copy is dropped.
    pub(super) fn buffered(self: &Arc<Self>, data: Bytes) -> Bytes {
        let mut hold = Arc::clone(self).hold(HeldKind::Response);
        hold.add(data.len());
        Bytes::from_owner(BufferedResponse { data, _hold: hold })
    }

    /// Returns a part of a response whose bytes count as held until the connection has sent them. They are not
    /// counted again if the response `is_counted` as a whole.
    pub(super) fn untaken(self: &Arc<Self>, data: Bytes, is_counted: bool) -> Bytes {
        let mut hold = Arc::clone(self).hold(HeldKind::Untaken);
        if !is_counted {
            hold.add(data.len());
        }
        Bytes::from_owner(UntakenPart {
            data,
            turn: self.start_turn(),
            _hold: hold,
        })
    }
}

impl Drop for CallerMemory {
    fn drop(&mut self) {
        self.memory.close(self.key);
    }
}

/// Bytes that count as held until it is dropped.
#[derive(Debug)]
pub(super) struct Hold {
    caller: Arc<CallerMemory>,
    kind: HeldKind,
    bytes: u64,
}

impl Hold {
    /// Adds bytes if there is room now, and returns whether there is.
    pub(super) fn try_add(&mut self, bytes: usize) -> bool {
        let caller = Arc::clone(&self.caller);
        let _waiting = Waiting(&caller);
        self.ask(bytes) == Reservation::Granted
    }

    /// Widens the receive window of the connection if there is room for what the kernel may then buffer.
    pub(super) fn widen_receive_window(&mut self, window: usize) {
        let before = self.caller.receive_window();
        if window > before && self.try_add(kernel_bytes(window - before)) {
            self.caller.set_receive_window(window);
        }
    }

    fn ask(&mut self, bytes: usize) -> Reservation {
        let CallerMemory { memory, key, .. } = &*self.caller;
        let bytes = as_u64(bytes);
        let reservation = memory.reserve(*key, self.kind, bytes);
        if reservation == Reservation::Granted {
            self.bytes += bytes;
        }
        reservation
    }

    /// Adds bytes when there is room.
    ///
    /// # Errors
    ///
    /// There is no room, or none after `max_wait`.
    pub(super) async fn add_later(
        &mut self,
        bytes: usize,
        max_wait: Duration,
    ) -> Result<(), OutOfMemory> {
        let caller = Arc::clone(&self.caller);
        let _waiting = Waiting(&caller);
        let until = Instant::now() + max_wait;
        loop {
            let mut freed = std::pin::pin!(caller.memory.freed.notified());
            freed.as_mut().enable();
            match self.ask(bytes) {
                Reservation::Granted => return Ok(()),
                Reservation::Refused => return Err(OutOfMemory),
                Reservation::Wait => {}
            }
            if tokio::time::timeout_at(until, freed).await.is_err() {
                return Err(OutOfMemory);
            }
        }
    }

    /// Adds bytes that have been received already.
    pub(super) fn add(&mut self, bytes: usize) {
        let CallerMemory { memory, key, .. } = &*self.caller;
        let bytes = as_u64(bytes);
        memory.budget().hold(*key, self.kind, bytes);
        self.bytes += bytes;
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        if self.bytes == 0 {
            return;
        }
        let CallerMemory { memory, key, .. } = &*self.caller;
        memory.release(*key, self.kind, self.bytes);
        if self.kind == HeldKind::Untaken {
            self.caller.response.wake();
        }
    }
}

/// Counts a caller as one that wants bytes until it is dropped.
struct Waiting<'a>(&'a CallerMemory);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let CallerMemory { memory, key, .. } = self.0;
        memory.budget().stop_waiting(*key);
    }
}

/// The body of a request is received until it is dropped.
#[derive(Debug)]
pub(super) struct Upload(Arc<CallerMemory>);

impl Drop for Upload {
    fn drop(&mut self) {
        self.0.set_receive_window(MIN_RECEIVE_WINDOW);
    }
}

/// The instance waits for a caller until it is dropped.
#[derive(Debug)]
pub(super) struct Turn(Arc<CallerMemory>);

impl Turn {
    /// Records that the caller has sent or taken bytes.
    pub(super) fn record_moved(&self, bytes: usize) {
        let CallerMemory { memory, key, .. } = &*self.0;
        memory.budget().record_moved(*key, as_u64(bytes));
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        let CallerMemory { memory, key, .. } = &*self.0;
        memory.budget().end_turn(*key);
    }
}

/// A buffered response.
struct BufferedResponse {
    data: Bytes,
    _hold: Hold,
}

impl AsRef<[u8]> for BufferedResponse {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

/// A part of a response that the connection has not sent.
struct UntakenPart {
    data: Bytes,
    turn: Turn,
    _hold: Hold,
}

impl AsRef<[u8]> for UntakenPart {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

impl Drop for UntakenPart {
    fn drop(&mut self) {
        self.turn.record_moved(self.data.len());
    }
}

fn as_u64(bytes: usize) -> u64 {
    u64::try_from(bytes).unwrap_or(u64::MAX)
}
