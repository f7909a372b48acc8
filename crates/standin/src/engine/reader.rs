//! One connection's reading of a stream.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::{self, BoxStream};
use tokio::sync::watch;

use super::RunEnd;
use super::stream::{DONE, Progress, Stream};
use crate::{CallKind, Faults};

/// Time for what was delivered to reach the wire before the connection closes.
const FLUSH: Duration = Duration::from_millis(5);

/// A connection that reads a stream; the stream knows of it until it is dropped.
pub(super) struct Reader {
    stream: Arc<Stream>,
    progress: watch::Receiver<Progress>,
    delivered: usize,
    // The connection is cut when so many tokens were delivered.
    cut_at: Option<usize>,
    done: bool,
}

/// What a reader does next.
enum Next {
    Send(Vec<u8>),
    Wait,
    Close,
}

impl Reader {
    pub(super) fn new(stream: Arc<Stream>, delivered: usize) -> Self {
        stream.attach();
        Self {
            progress: stream.subscribe(),
            stream,
            delivered,
            cut_at: None,
            done: false,
        }
    }

    pub(super) const fn delivered(&self) -> usize {
        self.delivered
    }

    pub(super) const fn cut_after(mut self, tokens: Option<usize>) -> Self {
        self.cut_at = match tokens {
            Some(tokens) => Some(self.delivered + tokens),
            None => None,
        };
        self
    }

    /// Waits until the answer is whole or broken off.
    pub(super) async fn finish(mut self) -> RunEnd {
        loop {
            let end = self.progress.borrow_and_update().end;
            if let Some(end) = end {
                return end;
            }
            if self.progress.changed().await.is_err() {
                return RunEnd::Restarted;
            }
        }
    }

    pub(super) fn events(self, faults: Arc<Faults>) -> BoxStream<'static, Vec<u8>> {
        stream::unfold((self, faults), |(mut reader, faults)| async move {
            let events = reader.next(&faults).await?;
            Some((events, (reader, faults)))
        })
        .boxed()
    }

    async fn next(&mut self, faults: &Faults) -> Option<Vec<u8>> {
        loop {
            faults.thaw(CallKind::Generate).await;
            match self.step() {
                Next::Send(events) => return Some(events),
                Next::Wait => self.progress.changed().await.ok()?,
                Next::Close => {
                    // A server that sees the end at once drops what it has not flushed yet: without
                    // a pause a cut would take the last tokens with it.
                    tokio::time::sleep(FLUSH).await;
                    return None;
                }
            }
        }
    }

    fn step(&mut self) -> Next {
        let Progress { produced, end } = *self.progress.borrow_and_update();
        let limit = self.cut_at.unwrap_or(usize::MAX);
        let ready = produced.min(limit);
        if self.delivered < ready {
            let events = (self.delivered..ready).flat_map(|index| self.stream.event(index));
            let events = events.collect();
            self.delivered = ready;
            return Next::Send(events);
        }
        if self.done || self.delivered >= limit {
            return Next::Close;
        }
        match end {
            None => Next::Wait,
            Some(RunEnd::Complete) => {
                self.done = true;
                Next::Send(DONE.to_vec())
            }
            Some(_) => Next::Close,
        }
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.stream.detach();
    }
}
