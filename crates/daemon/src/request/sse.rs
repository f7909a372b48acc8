//! Server-sent events on their way from an engine, scanned but not parsed.

use tokio_util::bytes::{Bytes, BytesMut};

use super::chunk::ErrorChunk;

/// An event longer than this is no token, nor are as many bytes without one: the engine is at fault.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Bytes in which the end of an event may lie across two chunks.
const MAX_END_BYTES: usize = 3;

const DONE: &[u8] = b"[DONE]";

/// Cuts an engine's bytes into blocks of whole events and checks what ran.
///
/// A caller never gets half an event: when a connection breaks, the answer goes on after the last
/// whole one.
#[derive(Debug)]
pub struct Scanner {
    // `"system_fingerprint":"adapter@version"`, as an engine writes it without spaces.
    stamp: Box<str>,
    ran: Box<str>,
    buf: BytesMut,
    // Bytes at the beginning of the buffer that hold no end of an event.
    searched: usize,
    last_id: u64,
    // Bytes since the last token.
    idle_bytes: usize,
}

/// Whole events that arrived together.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Block {
    /// The events as they came.
    pub bytes: Bytes,
    /// The number of the last token in them; none where they hold no token.
    pub last_id: Option<u64>,
    /// How the block ends.
    pub end: BlockEnd,
}

/// How a block ends.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BlockEnd {
    /// More is to come.
    More,
    /// The answer is whole.
    Done,
    /// The engine reported a failure; the block holds nothing to deliver.
    Failed,
    /// Another adapter or version ran, or the engine doesn't say which; the block holds nothing to
    /// deliver.
    WrongAdapter,
}

impl Scanner {
    /// A scanner of what `adapter` at its version answers, named as `adapter@version`.
    #[must_use]
    pub fn new(adapter: &str) -> Self {
        Self {
            stamp: format!("\"system_fingerprint\":\"{adapter}\"").into(),
            ran: adapter.into(),
            buf: BytesMut::new(),
            searched: 0,
            last_id: 0,
            idle_bytes: 0,
        }
    }

    /// The same for what comes after the token `last`.
    #[must_use]
    pub fn after(mut self, last: u64) -> Self {
        self.last_id = last;
        self
    }

    /// Takes bytes; gives the whole events that are there now, if any.
    #[must_use]
    pub fn push(&mut self, chunk: Bytes) -> Option<Block> {
        let whole = if self.buf.is_empty() && chunk.ends_with(b"\n\n") {
            chunk
        } else {
            self.buf.extend_from_slice(&chunk);
            self.take_whole()?
        };
        Some(self.inspect(whole))
    }

    fn take_whole(&mut self) -> Option<Bytes> {
        let from = self.searched.saturating_sub(MAX_END_BYTES);
        let Some(end) = end_of_last_event(&self.buf[from..]) else {
            self.searched = self.buf.len();
            if self.buf.len() > MAX_EVENT_BYTES {
                // Ends the stream as failed: the buffer must not grow without bound.
                self.buf.clear();
                self.searched = 0;
                return Some(Bytes::from_static(b"data: {\"error\":{}}\n\n"));
            }
            return None;
        };
        let whole = self.buf.split_to(from + end).freeze();
        self.searched = self.buf.len();
        Some(whole)
    }

    fn inspect(&mut self, bytes: Bytes) -> Block {
        let mut last_id = None;
        let mut end = BlockEnd::More;
        for line in bytes.split(|byte| *byte == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if let Some(id) = field(line, b"id:") {
                match number(id) {
                    // A token that came before, or none that can be.
                    Some(id) if id <= last_id.unwrap_or(self.last_id) => end = BlockEnd::Failed,
                    Some(id) => last_id = Some(id),
                    None => {}
                }
            } else if let Some(data) = field(line, b"data:") {
                end = self.inspect_data(data);
            }
            if end != BlockEnd::More {
                break;
            }
        }
        match last_id {
            Some(id) => {
                self.last_id = id;
                self.idle_bytes = 0;
            }
            None => self.idle_bytes += bytes.len(),
        }
        if self.idle_bytes > MAX_EVENT_BYTES && end == BlockEnd::More {
            end = BlockEnd::Failed;
        }
        Block {
            bytes,
            last_id,
            end,
        }
    }

    fn inspect_data(&self, data: &[u8]) -> BlockEnd {
        if data == DONE {
            return BlockEnd::Done;
        }
        let Ok(text) = std::str::from_utf8(data) else {
            return BlockEnd::Failed;
        };
        if text.contains(&*self.stamp) {
            return BlockEnd::More;
        }
        match serde_json::from_str::<ErrorChunk>(text) {
            Ok(chunk) if chunk.error.is_some() => BlockEnd::Failed,
            Ok(chunk) if chunk.system_fingerprint.as_deref() == Some(&*self.ran) => BlockEnd::More,
            Ok(_) => BlockEnd::WrongAdapter,
            Err(_) => BlockEnd::Failed,
        }
    }
}

/// The value of a line's field.
pub(super) fn field<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}

/// Adds `offset` to the number of each event.
///
/// An engine that goes on with another's answer counts from 1 again; the caller's count goes on.
pub(super) fn renumber(bytes: &Bytes, offset: u64) -> Bytes {
    let mut out = Vec::with_capacity(bytes.len() + 16);
    for line in bytes.split_inclusive(|byte| *byte == b'\n') {
        match field(line.trim_ascii_end(), b"id:").and_then(number) {
            Some(id) => out.extend_from_slice(format!("id: {}\n", id + offset).as_bytes()),
            None => out.extend_from_slice(line),
        }
    }
    out.into()
}

fn number(raw: &[u8]) -> Option<u64> {
    std::str::from_utf8(raw).ok()?.trim().parse().ok()
}

/// Where the last event ends that is whole: after an empty line.
fn end_of_last_event(buf: &[u8]) -> Option<usize> {
    let mut end = buf.len();
    while let Some(at) = buf[..end].iter().rposition(|byte| *byte == b'\n') {
        let before = &buf[..at];
        let before = before.strip_suffix(b"\r").unwrap_or(before);
        if before.ends_with(b"\n") {
            return Some(at + 1);
        }
        end = at;
    }
    None
}
