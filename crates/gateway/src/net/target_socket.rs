//! The socket of a connection to a target or peer, which gives a response up whose informational heads don't end.

use std::io;
use std::pin::{Pin, pin};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::decide::response_heads::{NextRead, PART_BYTES, ResponseHeads};

/// What has arrived since the last request, shared by a socket and the exchange that uses it.
#[derive(Clone, Debug, Default)]
pub(super) struct SharedHeads(Arc<Mutex<ResponseHeads>>);

impl SharedHeads {
    pub(super) fn lock(&self) -> MutexGuard<'_, ResponseHeads> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The socket of a connection to a target or peer.
#[derive(Debug)]
pub(super) struct TargetSocket {
    stream: TcpStream,
    heads: SharedHeads,
}

impl TargetSocket {
    pub(super) fn new(stream: TcpStream, heads: SharedHeads) -> Self {
        Self { stream, heads }
    }

    fn poll_read_any(
        &mut self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        self.heads.lock().record_read(buf.filled().len() - before);
        Poll::Ready(Ok(()))
    }

    fn poll_read_part(
        &mut self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
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
        mut self: Pin<&mut Self>,
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
