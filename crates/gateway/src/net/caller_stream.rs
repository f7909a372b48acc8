//! The socket of an accepted connection, which tells what lies unread on it when it is closed.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::task::{Context, Poll};

use rustix::io::ioctl_fionread;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::edge::Edge;

use super::log::{LogEvent, event};
use super::node::Node;

/// Why a connection ends.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[repr(u8)]
pub(super) enum CloseReason {
    /// Its caller closed it, or it broke or was refused as malformed.
    #[default]
    Ended,
    /// It was idle for longer than the limit.
    Idle,
    /// The instance stops.
    Stop,
    /// Memory is short.
    Memory,
}

impl CloseReason {
    const ALL: [Self; 4] = [Self::Ended, Self::Idle, Self::Stop, Self::Memory];

    /// Short name for logs and metrics.
    const fn name(self) -> &'static str {
        match self {
            Self::Ended => "ended",
            Self::Idle => "idle",
            Self::Stop => "stop",
            Self::Memory => "memory",
        }
    }
}

/// The reason for which a connection is closed, shared with its socket.
#[derive(Debug, Default)]
pub(super) struct SharedCloseReason(AtomicU8);

impl SharedCloseReason {
    pub(super) fn set(&self, reason: CloseReason) {
        self.0.store(reason as u8, Ordering::Relaxed);
    }

    fn get(&self) -> CloseReason {
        let idx = usize::from(self.0.load(Ordering::Relaxed));
        CloseReason::ALL[idx]
    }
}

/// The socket of an accepted connection.
#[derive(Debug)]
pub(super) struct CallerStream<E: Edge> {
    stream: TcpStream,
    reason: Arc<SharedCloseReason>,
    node: Arc<Node<E>>,
}

impl<E: Edge> CallerStream<E> {
    pub(super) fn new(
        stream: TcpStream,
        reason: Arc<SharedCloseReason>,
        node: Arc<Node<E>>,
    ) -> Self {
        Self {
            stream,
            reason,
            node,
        }
    }

    /// Returns the number of received bytes that were not read.
    fn unread(&self) -> u64 {
        // A socket that can't tell has been reset, so that nothing can be read.
        ioctl_fionread(&self.stream).unwrap_or(0)
    }
}

impl<E: Edge> Drop for CallerStream<E> {
    fn drop(&mut self) {
        let unread = self.unread();
        let reason = self.reason.get().name();
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
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<E: Edge> AsyncWrite for CallerStream<E> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
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
