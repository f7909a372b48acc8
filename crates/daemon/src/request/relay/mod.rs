//! One generation from arrival to its last token, over as many engines as it takes.

mod stage;
mod steps;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use bluebellstage_core::{Finish, Refusal, Tokens};
use futures::StreamExt;
use tokio::time::{Interval, MissedTickBehavior, interval};
use tokio_util::bytes::Bytes;

use crate::process::{RequestHandle, Shell, log_event};

use self::stage::{Happened, Stage};
use super::transcript::Transcript;
use super::{BodyHold, Generation, Refused};

/// What a caller is to get next.
#[derive(Debug)]
pub(crate) enum Piece {
    /// An engine has begun: the answer's status is sure.
    Started,
    /// Whole events.
    Events(Bytes),
    /// Nothing for a while: a sign of life.
    KeepAlive,
    /// Refused, or broken off for good.
    Failed(Refused),
    /// The caller's connection is gone.
    CallerGone,
    /// The answer is whole.
    End,
}

/// A generation under way. Dropped before its end, it cancels the engine's work.
pub(crate) struct Relay {
    handle: RequestHandle,
    work: Generation,
    /// Counts the body of the request, which `work` has most of.
    _body: BodyHold,
    caller: Option<SocketAddr>,
    stage: Stage,
    transcript: Transcript,
    delivered: u64,
    // Delivered by engines before the one that answers now.
    offset: u64,
    // Delivered when the present engine's stream was last resumed: a resume must bring it forward.
    resumed_at: Option<u64>,
    arrived: Instant,
    model: Box<str>,
    ticks: Interval,
    silent_ticks: u32,
}

impl Relay {
    pub(crate) fn new(
        handle: RequestHandle,
        work: Generation,
        body: BodyHold,
        caller: Option<SocketAddr>,
    ) -> Self {
        let mut ticks = interval(handle.shell().settings.limits.keep_alive);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        ticks.reset();
        Self {
            handle,
            work,
            _body: body,
            caller,
            stage: Stage::Deciding,
            transcript: Transcript::default(),
            delivered: 0,
            offset: 0,
            resumed_at: None,
            arrived: Instant::now(),
            model: Box::default(),
            ticks,
            silent_ticks: 0,
        }
    }

    /// The request's name.
    pub(crate) const fn handle(&self) -> &RequestHandle {
        &self.handle
    }

    /// The generation that is relayed.
    pub(crate) const fn work(&self) -> &Generation {
        &self.work
    }

    /// What runs, as `adapter@version`; empty before the first dispatch.
    pub(crate) fn model(&self) -> &str {
        &self.model
    }

    /// Tokens delivered so far.
    pub(crate) const fn delivered(&self) -> u64 {
        self.delivered
    }

    /// The text and other facts of the events delivered so far.
    pub(in crate::request) const fn transcript(&mut self) -> &mut Transcript {
        &mut self.transcript
    }

    /// What the caller is to get next.
    pub(crate) async fn next(&mut self) -> Piece {
        loop {
            let happened = self.happens().await;
            let piece = match happened {
                Happened::Action(action) => self.act(action),
                Happened::Answer(answer) => self.answered(answer),
                Happened::Chunk(chunk) => self.chunk(chunk),
                Happened::Tick => self.tick(),
            };
            if let Some(piece) = piece {
                return piece;
            }
            if matches!(self.stage, Stage::Ended) {
                return Piece::End;
            }
        }
    }

    async fn happens(&mut self) -> Happened {
        match &mut self.stage {
            Stage::Deciding => tokio::select! {
                action = self.handle.action() => Happened::Action(action),
                _ = self.ticks.tick() => Happened::Tick,
            },
            Stage::Asking { answer, .. } => tokio::select! {
                biased;
                action = self.handle.action() => Happened::Action(action),
                answer = answer => Happened::Answer(answer),
                _ = self.ticks.tick() => Happened::Tick,
            },
            Stage::Streaming { chunks, .. } => tokio::select! {
                biased;
                action = self.handle.action() => Happened::Action(action),
                chunk = chunks.next() => Happened::Chunk(chunk),
                _ = self.ticks.tick() => Happened::Tick,
            },
            Stage::Ended => Happened::Tick,
        }
    }

    fn tick(&mut self) -> Option<Piece> {
        if matches!(self.stage, Stage::Ended) {
            return None;
        }
        if self.is_caller_gone() {
            return Some(Piece::CallerGone);
        }
        if !matches!(self.stage, Stage::Streaming { .. }) {
            return Some(Piece::KeepAlive);
        }
        self.handle.progress(Tokens(self.delivered));
        self.silent_ticks += 1;
        let limits = &self.shell().settings.limits;
        if limits.keep_alive * self.silent_ticks > limits.engine_silence {
            self.resume();
        }
        // Also where tokens flow: one comment a second costs nothing and needs no bookkeeping.
        Some(Piece::KeepAlive)
    }

    fn is_caller_gone(&self) -> bool {
        let sockets = &self.shell().sockets;
        self.caller
            .is_some_and(|caller| sockets.is_gone(caller, self.arrived))
    }

    /// Tells the core that the answer is whole.
    fn complete(&mut self) {
        self.shell().metrics.tokens(self.delivered);
        log_event!(
            RequestEnded,
            "request" = self.handle.id(),
            "tokens" = self.delivered,
            "ms" = self.arrived.elapsed().as_millis()
        );
        self.handle.finished(Finish::Complete {
            answer: Tokens(self.delivered),
            stored: None,
        });
    }

    fn fail(&mut self, refusal: Refusal) -> Piece {
        self.stage = Stage::Ended;
        Piece::Failed(Refused::new(refusal, self.handle.id()))
    }

    /// Ends the engine's work, if there is any.
    fn cancel(&mut self) {
        match std::mem::replace(&mut self.stage, Stage::Ended) {
            Stage::Asking { run, .. } | Stage::Streaming { run, .. } => run.engine.cancel(),
            Stage::Deciding | Stage::Ended => {}
        }
    }

    fn shell(&self) -> &Arc<Shell> {
        self.handle.shell()
    }
}

impl Drop for Relay {
    // The caller hung up: the library drops the body that it was reading. The handle's own drop,
    // which follows, gives the permit back.
    fn drop(&mut self) {
        if !self.handle.is_ended() && !matches!(self.stage, Stage::Ended) {
            log_event!(
                CallerGone,
                "request" = self.handle.id(),
                "delivered" = self.delivered
            );
            self.cancel();
        }
    }
}
