//! Operators' changes on their way into the catalogue.
//!
//! A change becomes a log object, then part of the head by conditional update. A write whose answer
//! was lost is settled by looking for the change id in the head.

use std::collections::VecDeque;
use std::time::Duration;

use crate::platform::PlatformResponse;
use crate::{Action, CallId, Cx, Expected, PlatformOp, PlatformReply, Revision, Time};

use super::core::KnownHead;
use super::head::{Head, LogRef, MAX_OBJECT_BYTES, head_object, to_json};
use super::{ApplyOutcome, CatalogueState, ChangeRequest};

/// How long a change may take before its author is told that its fate is not known.
const CHANGE_PATIENCE: Duration = Duration::from_secs(5);

/// What is to be done next for the change at the front.
#[derive(Debug)]
pub(super) enum WriterStep {
    /// Nothing now.
    Idle,
    /// Read the head first.
    ReadHead,
    /// Make this write.
    Call(PlatformOp),
    /// The head holds the change: this is the head now.
    Committed {
        /// The new head.
        head: KnownHead,
        /// The change that it holds.
        request: ChangeRequest,
    },
}

/// Writes changes one after the other.
#[derive(Debug, Default)]
pub(super) struct Writer {
    queue: VecDeque<Pending>,
    spreading: Vec<Spreading>,
    call: Option<CallId>,
}

#[derive(Debug)]
struct Pending {
    request: ChangeRequest,
    came: Time,
    give_up: Time,
    stage: Stage,
    /// A write of the head went unanswered: it may have taken effect.
    in_doubt: bool,
}

#[derive(Debug)]
enum Stage {
    /// Waits for a head read.
    NeedsHead,
    /// A current head is known.
    Ready,
    /// The log object is being written.
    Log(LogRef),
    /// The head is being written.
    Head(Head),
}

#[derive(Debug)]
struct Spreading {
    request: ChangeRequest,
    revision: Revision,
    written: Time,
    give_up: Time,
}

impl Writer {
    /// How many changes are under way.
    pub(super) fn len(&self) -> usize {
        self.queue.len() + self.spreading.len()
    }

    /// Whether the change at the front waits for a head read.
    pub(super) fn wants_head(&self) -> bool {
        self.queue
            .front()
            .is_some_and(|pending| matches!(pending.stage, Stage::NeedsHead))
    }

    /// Takes an operator's change.
    pub(super) fn enqueue(&mut self, now: Time, request: ChangeRequest) {
        let give_up = now + CHANGE_PATIENCE;
        self.queue.push_back(Pending {
            request,
            came: now,
            give_up,
            stage: Stage::NeedsHead,
            in_doubt: false,
        });
    }

    /// A write was sent.
    pub(super) const fn asked(&mut self, id: CallId) {
        self.call = Some(id);
    }

    /// A head was read and the entries have reached it.
    pub(super) fn head_reached(&mut self) {
        if let Some(pending) = self
            .queue
            .front_mut()
            .filter(|pending| matches!(pending.stage, Stage::NeedsHead))
        {
            pending.stage = Stage::Ready;
        }
    }

    /// The platform refused a head read that was sent at `asked`.
    ///
    /// A read that went unanswered is tried again, and one that was sent before the change came says
    /// nothing of now: its author would be told that nothing changed by a platform that answers.
    pub(super) fn head_refused(&mut self, cx: &mut Cx<'_>, asked: Time) {
        let Some(pending) = self.queue.front() else {
            return;
        };
        let waits = matches!(pending.stage, Stage::NeedsHead) && !pending.in_doubt;
        if waits && asked >= pending.came {
            self.finish(cx, ApplyOutcome::Unavailable);
        }
    }

    /// Goes on with the change at the front; the catalogue calls it when its entries have reached
    /// the head that it last read.
    pub(super) fn step(
        &mut self,
        cx: &mut Cx<'_>,
        head: &KnownHead,
        state: &CatalogueState,
    ) -> WriterStep {
        self.give_up_late(cx);
        if self.call.is_some() {
            return WriterStep::Idle;
        }
        while let Some(pending) = self.queue.front_mut() {
            if head.head.revision != state.revision {
                pending.stage = Stage::NeedsHead;
            }
            if matches!(pending.stage, Stage::NeedsHead) {
                return WriterStep::ReadHead;
            }
            if let Some(revision) = head.head.revision_of(&pending.request.id) {
                self.spread(cx.now, revision);
                continue;
            }
            match refusal(pending, state) {
                Some(outcome) => self.finish(cx, outcome),
                None => return self.write_log(state.revision.next()),
            }
        }
        WriterStep::Idle
    }

    fn write_log(&mut self, revision: Revision) -> WriterStep {
        let Some(pending) = self.queue.front_mut() else {
            return WriterStep::Idle;
        };
        let (log, value) = LogRef::of(&pending.request, revision);
        let name = log.object();
        pending.stage = Stage::Log(log);
        WriterStep::Call(PlatformOp::Put {
            name,
            value,
            expected: Expected::Absent,
        })
    }

    /// Takes a write's answer.
    pub(super) fn answer(
        &mut self,
        cx: &mut Cx<'_>,
        answer: &PlatformResponse,
        known: &KnownHead,
    ) -> WriterStep {
        if self.call != Some(answer.id) {
            return WriterStep::Idle;
        }
        self.call = None;
        let Some(pending) = self.queue.front_mut() else {
            return WriterStep::Idle;
        };
        match std::mem::replace(&mut pending.stage, Stage::NeedsHead) {
            Stage::Log(log) => self.log_answered(cx, &answer.reply, log, known),
            Stage::Head(head) => self.head_answered(cx, &answer.reply, head),
            Stage::NeedsHead | Stage::Ready => WriterStep::Idle,
        }
    }

    fn log_answered(
        &mut self,
        cx: &mut Cx<'_>,
        reply: &PlatformReply,
        log: LogRef,
        known: &KnownHead,
    ) -> WriterStep {
        match reply {
            // An object of this name holds this very change: the name has its content's hash.
            PlatformReply::Written(_) | PlatformReply::Conflict => self.write_head(log, known),
            PlatformReply::Unavailable => self.fail_unless_in_doubt(cx),
            _ => WriterStep::ReadHead,
        }
    }

    fn write_head(&mut self, log: LogRef, known: &KnownHead) -> WriterStep {
        let Some(pending) = self.queue.front_mut() else {
            return WriterStep::Idle;
        };
        if log.revision != known.head.revision.next() {
            return WriterStep::ReadHead;
        }
        let head = known.head.with(log);
        let value = to_json(&head);
        pending.stage = Stage::Head(head);
        let expected = known.version.map_or(Expected::Absent, Expected::Version);
        WriterStep::Call(PlatformOp::Put {
            name: head_object(),
            value,
            expected,
        })
    }

    fn head_answered(&mut self, cx: &mut Cx<'_>, reply: &PlatformReply, head: Head) -> WriterStep {
        match reply {
            PlatformReply::Written(version) => {
                let Some(request) = self.spread(cx.now, head.revision) else {
                    return WriterStep::Idle;
                };
                WriterStep::Committed {
                    head: KnownHead {
                        head,
                        version: Some(*version),
                    },
                    request,
                }
            }
            PlatformReply::Unavailable => self.fail_unless_in_doubt(cx),
            PlatformReply::Conflict => WriterStep::ReadHead,
            _ => {
                // The write may still take effect, even after the next read: the change is only
                // ever tried again under the same id, and never called undone from here on.
                if let Some(pending) = self.queue.front_mut() {
                    pending.in_doubt = true;
                }
                WriterStep::ReadHead
            }
        }
    }

    fn fail_unless_in_doubt(&mut self, cx: &mut Cx<'_>) -> WriterStep {
        if self.queue.front().is_some_and(|pending| pending.in_doubt) {
            return WriterStep::ReadHead;
        }
        self.finish(cx, ApplyOutcome::Unavailable);
        WriterStep::Idle
    }

    fn spread(&mut self, now: Time, revision: Revision) -> Option<ChangeRequest> {
        let pending = self.queue.pop_front()?;
        let request = pending.request.clone();
        self.spreading.push(Spreading {
            request: pending.request,
            revision,
            written: now,
            give_up: pending.give_up,
        });
        Some(request)
    }

    /// Answers the changes that are known to a majority.
    ///
    /// Guards against a change that is accepted and then unknown to every instance that is left. It
    /// takes a majority of a map that was proved current after the change was written: whoever
    /// joins later reads a head that holds it.
    pub(super) fn settle(&mut self, cx: &mut Cx<'_>, held: Revision) {
        let proved = cx.ownership.lease_expires_at - cx.ownership.map.terms.lease_duration;
        let has_standing = cx.ownership.has_lease(cx.now);
        let mut settled = Vec::new();
        self.spreading.retain(|change| {
            let accepted = held >= change.revision && has_standing && proved >= change.written;
            let outcome = if accepted {
                ApplyOutcome::Accepted {
                    revision: change.revision,
                }
            } else if cx.now >= change.give_up {
                ApplyOutcome::Unknown
            } else {
                return true;
            };
            settled.push(Action::Applied {
                change: change.request.id.clone(),
                outcome,
            });
            false
        });
        cx.out.append(&mut settled);
    }

    /// Answers the changes that took too long.
    pub(super) fn give_up_late(&mut self, cx: &mut Cx<'_>) {
        while self
            .queue
            .front()
            .is_some_and(|pending| cx.now >= pending.give_up)
        {
            // Without a write of the head under way or in doubt, nothing can have changed.
            let safe = self.queue.front().is_some_and(|pending| {
                !pending.in_doubt && !matches!(pending.stage, Stage::Head(_))
            });
            self.call = None;
            self.finish(
                cx,
                if safe {
                    ApplyOutcome::Unavailable
                } else {
                    ApplyOutcome::Unknown
                },
            );
        }
    }

    fn finish(&mut self, cx: &mut Cx<'_>, outcome: ApplyOutcome) {
        if let Some(pending) = self.queue.pop_front() {
            cx.out.push(Action::Applied {
                change: pending.request.id,
                outcome,
            });
        }
    }
}

/// Why a change can't be written, if it can't.
fn refusal(pending: &Pending, state: &CatalogueState) -> Option<ApplyOutcome> {
    let request = &pending.request;
    // A change in doubt may be in force and forgotten by the head only after hundreds of others;
    // nothing sure can be said of it.
    let outdated = request
        .expected
        .is_some_and(|expected| expected != state.revision);
    if outdated && pending.in_doubt {
        return Some(ApplyOutcome::Unknown);
    }
    if outdated {
        return Some(ApplyOutcome::Stale {
            revision: state.revision,
        });
    }
    if to_json(request).len() > MAX_OBJECT_BYTES {
        let cause =
            format!("the change is over {MAX_OBJECT_BYTES} bytes: split it into several changes");
        return Some(ApplyOutcome::Invalid {
            cause: cause.into(),
        });
    }
    let error = state.check(request).err()?;
    Some(ApplyOutcome::Invalid {
        cause: error.to_string().into(),
    })
}
