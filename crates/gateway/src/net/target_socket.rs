//! The socket of a connection to a target or peer, which gives a response up whose informational heads don't end.

use std::io;
use std::mem::MaybeUninit;
use std::pin::{Pin, pin};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::task::{Context, Poll, ready};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::decide::response_heads::{NextRead, PART_BYTES, ResponseHeads};

use super::sockets::set_reset_on_close;

/// What has arrived since the last request, shared by a socket and the exchange that uses it.
#[derive(Clone, Debug, Default)]
pub(super) struct SharedHeads(Arc<Mutex<ResponseHeads>>);

impl SharedHeads {
    pub(super) fn lock(&self) -> MutexGuard<'_, ResponseHeads> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn lock(stream: &Mutex<TcpStream>) -> MutexGuard<'_, TcpStream> {
    stream.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The socket of a connection, which it does not keep open.
#[derive(Debug)]
pub(super) struct SocketHandle(Weak<Mutex<TcpStream>>);

impl SocketHandle {
    /// Whether the connection is open and nothing lies unread on it, as the kernel knows: the end of the stream may not
    /// have been reported to this process yet, and bytes that belong to no request make the connection useless.
    pub(super) fn is_open_and_empty(&self) -> bool {
        let Some(stream) = self.0.upgrade() else {
            return false;
        };
        let peeked = SockRef::from(&*lock(&stream)).peek(&mut [MaybeUninit::uninit()]);
        peeked.is_err_and(|err| err.kind() == io::ErrorKind::WouldBlock)
    }

    /// Makes the close of the connection discard what has not been delivered. Otherwise the kernel goes on sending it,
    /// and a request that was given up arrives once its path heals. A failure is only logged.
    pub(super) fn discard_on_close(&self) {
        if let Some(stream) = self.0.upgrade() {
            set_reset_on_close(&lock(&stream));
        }
    }
}

/// The socket of a connection to a target or peer.
#[derive(Debug)]
pub(super) struct TargetSocket {
    stream: Arc<Mutex<TcpStream>>,
    heads: SharedHeads,
}

impl TargetSocket {
    pub(super) fn new(stream: TcpStream, heads: SharedHeads) -> Self {
        Self {
            stream: Arc::new(Mutex::new(stream)),
            heads,
        }
    }

    pub(super) fn handle(&self) -> SocketHandle {
        SocketHandle(Arc::downgrade(&self.stream))
    }

    fn poll_read_any(&self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut *lock(&self.stream)).poll_read(cx, buf))?;
        self.heads.lock().record_read(buf.filled().len() - before);
        Poll::Ready(Ok(()))
    }

    fn poll_read_part(&self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let len = buf.remaining().min(PART_BYTES);
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(len));
        ready!(self.poll_read_any(cx, &mut part))?;
        let read = part.filled().len();
        buf.advance(read);
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for TargetSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let next = self.heads.lock().next();
        match next {
            NextRead::Any => self.poll_read_any(cx, buf),
            NextRead::Part => self.poll_read_part(cx, buf),
            NextRead::AfterOthers => {
                // The runtime wakes this task after it has looked for news of other connections.
                let _pending = pin!(tokio::task::yield_now()).poll(cx);
                Poll::Pending
            }
            NextRead::Fail => Poll::Ready(Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "informational heads without end",
            ))),
        }
    }
}

impl AsyncWrite for TargetSocket {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut *lock(&self.stream)).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut *lock(&self.stream)).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        lock(&self.stream).is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *lock(&self.stream)).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *lock(&self.stream)).poll_shutdown(cx)
    }
}
