//! The socket of an accepted connection, which is closed by the instance only when nothing lies unread on it.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use rustix::io::ioctl_fionread;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;

use crate::decide::memory_budget::MIN_RECEIVE_WINDOW;
use crate::decide::refused_body::{Discard, DiscardStep, UploadBounds};
use crate::edge::Edge;

use super::caller_memory::CallerMemory;
use super::connection_activity::Activity;
use super::log::{LogEvent, event};
use super::node::Node;
use super::sockets::set_receive_window;

/// Name of the end of a connection that its caller closed, or that broke or was refused as malformed.
const ENDED: &str = "ended";

/// Size of the parts in which discarded bytes are read.
const DISCARD_PART: usize = 4 * 1_024;

/// Why an instance closes a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum CloseReason {
    /// It was idle for longer than its timeout.
    Idle,
    /// The instance stops.
    Stop,
    /// Its caller did not complete the head of a request in time.
    SlowHead,
    /// Memory is short.
    Memory,
    /// There are as many connections as the instance may keep, and this one gave least.
    Crowded,
}

impl CloseReason {
    /// Short name for logs and metrics.
    const fn name(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::Stop => "stop",
            Self::SlowHead => "slow_head",
            Self::Memory => "memory",
            Self::Crowded => "crowded",
        }
    }
}

/// The socket of an accepted connection.
///
/// When the connection is due to close, it is read until nothing is left in the kernel, and only then the socket reports
/// the end of its stream. So a request that was received before is served.
#[derive(Debug)]
pub(super) struct CallerStream<E: Edge> {
    stream: TcpStream,
    activity: Arc<Activity>,
    node: Arc<Node<E>>,
    /// What is held for the caller, if memory is limited.
    memory: Option<Arc<CallerMemory>>,
    /// The window that was set last, in bytes.
    receive_window: usize,
    /// Whether a part of a response waits for the caller to take more.
    is_write_blocked: bool,
    /// Set once the last response has been sent, while its caller may still send.
    lingering: Option<Lingering>,
}

/// The end of a connection whose caller may still send, and would lose the last response by a reset.
#[derive(Debug)]
struct Lingering {
    discard: Discard,
    until: Pin<Box<Sleep>>,
}

impl<E: Edge> CallerStream<E> {
    pub(super) fn new(
        stream: TcpStream,
        activity: Arc<Activity>,
        node: Arc<Node<E>>,
        memory: Option<Arc<CallerMemory>>,
    ) -> Self {
        Self {
            stream,
            activity,
            node,
            memory,
            receive_window: MIN_RECEIVE_WINDOW,
            is_write_blocked: false,
            lingering: None,
        }
    }

    /// Returns the number of received bytes that were not read.
    fn unread(&self) -> u64 {
        // A socket that can't tell has been reset, so that nothing can be read.
        ioctl_fionread(&self.stream).unwrap_or(0)
    }

    /// Sets the receive window if another one is wanted now.
    fn update_receive_window(&mut self) {
        let Some(memory) = &self.memory else { return };
        let wanted = memory.receive_window();
        if wanted != self.receive_window {
            set_receive_window(&self.stream, wanted);
            self.receive_window = wanted;
        }
    }

    /// Begins to read and drop what its caller still sends, and returns whether it may send anything.
    fn begin_lingering(&mut self) -> bool {
        let may_send = self.activity.end_requests();
        if !may_send && self.unread() == 0 {
            return false;
        }
        let limits = self.node.tables().routes.config().limits;
        let bounds = UploadBounds::of_anyone(&limits);
        let now = self.node.now();
        self.lingering = Some(Lingering {
            discard: Discard::new(bounds, now, now),
            until: Box::pin(tokio::time::sleep(bounds.time)),
        });
        true
    }

    /// Returns once its caller has closed the connection, or sends too much or for too long.
    fn poll_lingered(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let Some(lingering) = &mut self.lingering else {
            return Poll::Ready(());
        };
        // Before the read, as a caller that always sends would use up what the task may do at once.
        if lingering.until.as_mut().poll(cx).is_ready() {
            return Poll::Ready(());
        }
        let mut part = [0; DISCARD_PART];
        while lingering.discard.next_step(self.node.now()) != DiscardStep::Leave {
            let mut buf = ReadBuf::new(&mut part);
            let read = ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buf));
            if read.is_err() || buf.filled().is_empty() {
                break;
            }
            let now = self.node.now();
            lingering.discard.record(buf.filled().len(), now);
            self.activity.record_read(buf.filled().len(), now);
        }
        Poll::Ready(())
    }

    /// Whether the connection ends now, although its caller could send more.
    fn is_close_due(&self) -> bool {
        // What has just arrived may not have been reported by the reactor yet.
        self.activity.is_close_due() && !self.is_write_blocked && self.unread() == 0
    }
}

impl<E: Edge> Drop for CallerStream<E> {
    fn drop(&mut self) {
        let unread = self.unread();
        let reason = self.activity.close_reason();
        let reason = reason.map_or(ENDED, CloseReason::name);
        self.node.metrics.callers.closed(reason, unread > 0);
        if unread > 0 {
            let unread = unread.to_string();
            let fields = [("reason", reason), ("unread", &unread)];
            event(LogEvent::ClosedUnread, &fields);
        }
    }
}

impl<E: Edge> AsyncRead for CallerStream<E> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.update_receive_window();
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if read.is_pending() && self.is_close_due() {
            return Poll::Ready(Ok(()));
        }
        let bytes = buf.filled().len() - before;
        if bytes > 0 {
            self.activity.record_read(bytes, self.node.now());
        }
        read
    }
}

impl<E: Edge> AsyncWrite for CallerStream<E> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.is_write_blocked = written.is_pending();
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.is_write_blocked = written.is_pending();
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.lingering.is_none() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
            if !self.begin_lingering() {
                return Poll::Ready(Ok(()));
            }
        }
        self.poll_lingered(cx).map(Ok)
    }
}
