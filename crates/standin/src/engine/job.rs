//! A generation inside an engine.

use std::sync::Arc;

use super::stream::Stream;

/// A generation that waits or is in the batch.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) stream: Arc<Stream>,
    /// Index of its entry in the log.
    pub(super) run: usize,
    /// Name of the slot that it uses.
    pub(super) adapter: Box<str>,
    pub(super) prefill_left: usize,
}

/// Order of waiting jobs: by priority, then first come.
pub(super) type JobOrder = (u8, u64);
