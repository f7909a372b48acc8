//! The body of a response on a caller's connection.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use super::caller_memory::CallerMemory;
use super::local_response::ResponseBody;

/// Largest part that is given to a connection at once, so that each part that the caller takes shows its progress.
const MAX_PART: usize = 16 * 1_024;

/// A body of which every part counts as held until its connection has sent it, if memory is limited.
pub(super) struct CountedBody {
    body: ResponseBody,
    caller: Option<Arc<CallerMemory>>,
    /// Whether the body is buffered, and therefore counted as a whole. Only these have a known length.
    is_buffered: bool,
    /// What has been read and not been given to the connection.
    rest: Bytes,
}

impl CountedBody {
    pub(super) fn new(body: ResponseBody, caller: Option<Arc<CallerMemory>>) -> Self {
        let is_buffered = body.size_hint().exact().is_some();
        Self {
            body,
            caller,
            is_buffered,
            rest: Bytes::new(),
        }
    }

    /// Returns the next part of what has been read.
    fn next_part(&mut self, caller: &Arc<CallerMemory>) -> Frame<Bytes> {
        let len = self.rest.len().min(MAX_PART);
        let part = self.rest.split_to(len);
        Frame::data(caller.untaken(part, self.is_buffered))
    }
}

impl Body for CountedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let Some(caller) = self.caller.clone() else {
            return Pin::new(&mut self.body).poll_frame(cx);
        };
        if !self.rest.is_empty() {
            return Poll::Ready(Some(Ok(self.next_part(&caller))));
        }
        ready!(caller.poll_read_ahead(cx));
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        let frame = match frame {
            Some(Ok(frame)) => frame,
            end_or_failure => return Poll::Ready(end_or_failure),
        };
        match frame.into_data() {
            Ok(data) => {
                self.rest = data;
                Poll::Ready(Some(Ok(self.next_part(&caller))))
            }
            Err(trailers) => Poll::Ready(Some(Ok(trailers))),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let rest = u64::try_from(self.rest.len()).unwrap_or(u64::MAX);
        let body = self.body.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(body.lower() + rest);
        if let Some(upper) = body.upper() {
            hint.set_upper(upper + rest);
        }
        hint
    }
}
