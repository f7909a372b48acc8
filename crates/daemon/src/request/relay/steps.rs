//! What a relay does about what happened.

use std::sync::Arc;

use bluebellstage_core::{Finish, Refusal, RefusalKind, RequestAction, Tokens};
use futures::FutureExt;
use tokio_util::bytes::Bytes;

use crate::process::log_event;
use crate::request::engine::{Chunks, Engine, Sent};
use crate::request::sse::{BlockEnd, Scanner, renumber};

use super::stage::{Answer, Run, Stage};
use super::{Piece, Relay};

impl Relay {
    pub(super) fn act(&mut self, action: RequestAction) -> Option<Piece> {
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
                    max_answer,
                };
                self.dispatch(run, body);
                None
            }
            RequestAction::Refuse(refusal) => Some(self.fail(refusal)),
            RequestAction::Interrupt(refusal) => {
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

    pub(super) fn answered(&mut self, answer: Answer) -> Option<Piece> {
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
            Answer::Begun(Sent::Failed(finish @ Finish::Interrupted { .. })) => {
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
        let scanner = Scanner::new(&run.adapter).after(self.delivered - self.offset);
        self.silent_ticks = 0;
        self.stage = Stage::Streaming {
            run,
            chunks,
            scanner,
        };
    }

    pub(super) fn chunk(&mut self, chunk: Option<Result<Bytes, reqwest::Error>>) -> Option<Piece> {
        let Stage::Streaming { scanner, run, .. } = &mut self.stage else {
            return None;
        };
        let Some(Ok(bytes)) = chunk else {
            self.resume();
            return None;
        };
        self.silent_ticks = 0;
        let block = scanner.push(bytes)?;
        if block
            .last_id
            .is_some_and(|last| Tokens(last) > run.max_answer)
        {
            self.overrun();
            return None;
        }
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
    pub(super) fn resume(&mut self) {
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
        let limits = &self.shell().settings.limits;
        let silent = limits.keep_alive * self.silent_ticks;
        let patience = limits.engine_silence.saturating_sub(silent);
        let resumed = run.engine.clone().resume(last, patience);
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
        self.handle.finished(Finish::Interrupted {
            delivered: Tokens(self.delivered),
        });
    }

    /// The engine goes on beyond what it was asked for.
    fn overrun(&mut self) {
        if let Stage::Streaming { run, .. } = std::mem::replace(&mut self.stage, Stage::Deciding) {
            self.break_off(run);
        }
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
}
