//! Where a relay stands.

use bluebellstage_core::{RequestAction, TargetId, Tokens};
use futures::future::BoxFuture;
use tokio_util::bytes::Bytes;

use crate::request::engine::{Chunks, Engine, Sent};
use crate::request::sse::Scanner;

/// Where a relay stands.
pub(super) enum Stage {
    /// The core decides.
    Deciding,
    /// An engine was asked to begin or to go on.
    Asking {
        run: Run,
        answer: BoxFuture<'static, Answer>,
    },
    /// An engine answers.
    Streaming {
        run: Run,
        chunks: Chunks,
        scanner: Scanner,
    },
    /// All is said.
    Ended,
}

/// A dispatch to one engine.
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) target: TargetId,
    pub(super) engine: Engine,
    /// What must run, as `adapter@version`.
    pub(super) adapter: Box<str>,
    /// Most tokens that it may add.
    pub(super) max_answer: Tokens,
}

/// An engine's answer to a call.
pub(super) enum Answer {
    /// To a dispatch.
    Begun(Sent),
    /// To a request for the rest of a stream.
    Resumed(Option<Chunks>),
}

/// What happened next at a stage.
pub(super) enum Happened {
    Action(RequestAction),
    Answer(Answer),
    Chunk(Option<Result<Bytes, reqwest::Error>>),
    Tick,
}
