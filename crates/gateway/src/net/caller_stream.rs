//! The socket of an accepted connection, which is closed by the instance only when nothing lies unread on it.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use rustix::io::ioctl_fionread;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::edge::Edge;

use super::connection_activity::Activity;
use super::log::{LogEvent, event};
use super::node::Node;

/// Name of the end of a connection that its caller closed, or that broke or was refused as malformed.
const ENDED: &str = "ended";

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
}

impl CloseReason {
    /// Short name for logs and metrics.
    const fn name(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::Stop => "stop",
            Self::SlowHead => "slow_head",
            Self::Memory => "memory",
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
    /// Whether a part of a response waits for the caller to take more.
    is_write_blocked: bool,
}

impl<E: Edge> CallerStream<E> {
    pub(super) fn new(stream: TcpStream, activity: Arc<Activity>, node: Arc<Node<E>>) -> Self {
        Self {
            stream,
            activity,
            node,
            is_write_blocked: false,
        }
    }

    /// Returns the number of received bytes that were not read.
    fn unread(&self) -> u64 {
        // A socket that can't tell has been reset, so that nothing can be read.
        ioctl_fionread(&self.stream).unwrap_or(0)
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
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if read.is_pending() && self.is_close_due() {
            return Poll::Ready(Ok(()));
        }
        if buf.filled().len() > before {
            self.activity.record_read(self.node.now());
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
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
