//! One generation from arrival to its last token, over as many engines as it takes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use bluebellstage_core::{Finish, Refusal, RefusalKind, RequestAction, TargetId, Tokens};
use futures::future::BoxFuture;
use futures::{FutureExt, StreamExt};
use tokio::time::{Interval, MissedTickBehavior, interval};
use tokio_util::bytes::Bytes;

use crate::process::{RequestHandle, Shell, log_event};

use super::engine::{Chunks, Engine, Sent};
use super::sse::{BlockEnd, Scanner, renumber};
use super::transcript::Transcript;
use super::{Generation, Refused};

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

enum Stage {
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
struct Run {
    target: TargetId,
    engine: Engine,
    adapter: Box<str>,
}

enum Answer {
    Begun(Sent),
    Resumed(Option<Chunks>),
}

/// What happened next at a stage.
enum Happened {
    Action(RequestAction),
    Answer(Answer),
    Chunk(Option<Result<Bytes, reqwest::Error>>),
    Tick,
}

impl Relay {
    pub(crate) fn new(handle: RequestHandle, work: Generation, caller: Option<SocketAddr>) -> Self {
        let mut ticks = interval(handle.shell().settings.limits.keep_alive);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        ticks.reset();
        Self {
            handle,
            work,
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
    pub(super) const fn transcript(&mut self) -> &mut Transcript {
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

    fn act(&mut self, action: RequestAction) -> Option<Piece> {
        match action {
            RequestAction::Generate {
                target,
                address,
                adapter,
                max_answer,
                urgent,
                ..
            } => {
                let body =
                    self.work
                        .engine_body(&adapter, urgent, max_answer, self.transcript.text());
                let engine = Engine {
                    shell: Arc::clone(self.shell()),
                    address,
                    request: self.handle.id(),
                };
                let run = Run {
                    target,
                    engine,
                    adapter: adapter.to_string().into(),
                };
                self.dispatch(run, body);
                None
            }
            RequestAction::Refuse(refusal) => Some(self.fail(refusal)),
            RequestAction::Cut(refusal) => {
                log_event!(StreamCut, "request" = self.handle.id());
                self.cancel();
                Some(self.fail(refusal))
            }
            // Only calls to services get these.
            RequestAction::Call { .. } | RequestAction::Replay(_) => {
                self.cancel();
                Some(self.fail(Refusal::not_run(RefusalKind::NoTarget)))
            }
        }
    }

    /// Sends the request to an engine, unless it may no longer be sent.
    fn dispatch(&mut self, run: Run, body: String) {
        // The clock is read in here, after all that may take long: this process may have been
        // frozen since the permit was given, and its place may be another's by now.
        if !self.shell().may_send(self.handle.id()) {
            self.handle.finished(Finish::NotSent);
            self.stage = Stage::Deciding;
            return;
        }
        if self.delivered == 0 {
            self.shell().metrics.dispatched(self.arrived.elapsed());
        } else {
            log_event!(
                AnswerResumed,
                "request" = self.handle.id(),
                "target" = run.target,
                "delivered" = self.delivered
            );
        }
        self.offset = self.delivered;
        self.resumed_at = None;
        self.model = run.adapter.clone();
        let sent = run
            .engine
            .clone()
            .generate(self.work.endpoint, body, Tokens(self.delivered));
        let answer = sent.map(Answer::Begun).boxed();
        self.stage = Stage::Asking { run, answer };
    }

    fn answered(&mut self, answer: Answer) -> Option<Piece> {
        let Stage::Asking { run, .. } = std::mem::replace(&mut self.stage, Stage::Deciding) else {
            return None;
        };
        match answer {
            Answer::Begun(Sent::Streaming(chunks)) => {
                self.stream(run, chunks);
                Some(Piece::Started)
            }
            Answer::Resumed(Some(chunks)) => {
                self.stream(run, chunks);
                None
            }
            Answer::Resumed(None) => {
                self.break_off(run);
                None
            }
            Answer::Begun(Sent::Failed(finish @ Finish::BrokenOff { .. })) => {
                run.engine.cancel();
                self.handle.finished(finish);
                None
            }
            Answer::Begun(Sent::Failed(finish)) => {
                self.handle.finished(finish);
                None
            }
            Answer::Begun(Sent::Malformed) => {
                // The place is free again and nothing but the prompt stays charged.
                self.complete();
                let refusal = Refusal::not_run(RefusalKind::Malformed);
                Some(self.fail(refusal))
            }
        }
    }

    fn stream(&mut self, run: Run, chunks: Chunks) {
        let scanner = Scanner::new(&run.adapter);
        self.silent_ticks = 0;
        self.stage = Stage::Streaming {
            run,
            chunks,
            scanner,
        };
    }

    fn chunk(&mut self, chunk: Option<Result<Bytes, reqwest::Error>>) -> Option<Piece> {
        let Stage::Streaming { scanner, .. } = &mut self.stage else {
            return None;
        };
        let Some(Ok(bytes)) = chunk else {
            self.resume();
            return None;
        };
        self.silent_ticks = 0;
        let block = scanner.push(bytes)?;
        match block.end {
            BlockEnd::More | BlockEnd::Done => {
                let is_done = block.end == BlockEnd::Done;
                let events = self.deliver(block.bytes, block.last_id);
                if is_done {
                    self.complete();
                    self.stage = Stage::Ended;
                }
                Some(Piece::Events(events))
            }
            BlockEnd::Failed => {
                self.resume();
                None
            }
            BlockEnd::WrongAdapter => {
                self.wrong_adapter();
                None
            }
        }
    }

    /// Counts and keeps events on their way to the caller.
    fn deliver(&mut self, events: Bytes, last_id: Option<u64>) -> Bytes {
        let events = if self.offset > 0 {
            renumber(&events, self.offset)
        } else {
            events
        };
        if let Some(last) = last_id {
            if self.delivered == 0 {
                self.shell().metrics.first_token(self.arrived.elapsed());
            }
            self.delivered = self.delivered.max(last + self.offset);
            self.handle.note_delivered(Tokens(self.delivered));
        }
        self.transcript.push(events.clone());
        events
    }

    /// The stream broke: asks the same engine for the rest, or gives up on it.
    fn resume(&mut self) {
        let Stage::Streaming { run, .. } = std::mem::replace(&mut self.stage, Stage::Deciding)
        else {
            return;
        };
        // An engine that breaks off twice at the same token would do it for ever.
        if self.resumed_at == Some(self.delivered) {
            self.break_off(run);
            return;
        }
        self.resumed_at = Some(self.delivered);
        let last = self.delivered - self.offset;
        let resumed = run.engine.clone().resume(last);
        let answer = resumed.map(Answer::Resumed).boxed();
        self.stage = Stage::Asking { run, answer };
    }

    /// Gives up on an engine; the core says where the answer goes on.
    fn break_off(&mut self, run: Run) {
        log_event!(
            AnswerBrokenOff,
            "request" = self.handle.id(),
            "target" = run.target,
            "delivered" = self.delivered
        );
        run.engine.cancel();
        self.stage = Stage::Deciding;
        self.handle.finished(Finish::BrokenOff {
            delivered: Tokens(self.delivered),
        });
    }

    /// What ran was not what was asked for: nothing of it reaches the caller.
    fn wrong_adapter(&mut self) {
        let Stage::Streaming { run, .. } = std::mem::replace(&mut self.stage, Stage::Deciding)
        else {
            return;
        };
        log_event!(
            WrongAdapter,
            "request" = self.handle.id(),
            "target" = run.target,
            "asked" = run.adapter
        );
        run.engine.cancel();
        self.handle.progress(Tokens(self.delivered));
        self.handle.finished(Finish::WrongAdapter);
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
