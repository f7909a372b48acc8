//! Writes operators' changes to the catalogue.
//!
//! A change is first written as a log object and then added to the head by a conditional update. If
//! the reply to a write is lost, looking for the change id in the head shows whether it took
//! effect.

use std::collections::VecDeque;
use std::time::Duration;

use crate::platform::PlatformResponse;
use crate::{Action, CallId, Cx, Expected, PlatformOp, PlatformReply, Revision, Time};

use super::core::KnownHead;
use super::head::{Head, LogRef, MAX_OBJECT_BYTES, head_object, to_json};
use super::{ApplyOutcome, CatalogueState, ChangeRequest};

/// How long a change may take before its outcome is reported as unknown.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(5);

/// The next step for the change at the front of the queue.
#[derive(Debug)]
pub(super) enum WriterStep {
    /// Nothing to do.
    Idle,
    /// Read the head first.
    ReadHead,
    /// Make this platform call.
    Call(PlatformOp),
    /// The change is part of the head.
    Committed {
        /// The new head.
        head: KnownHead,
        /// The change that was added.
        request: ChangeRequest,
    },
}

/// Writes changes one at a time.
#[derive(Debug, Default)]
pub(super) struct Writer {
    queue: VecDeque<Pending>,
    committed_changes: Vec<CommittedChange>,
    call: Option<CallId>,
}

#[derive(Debug)]
struct Pending {
    request: ChangeRequest,
    received_at: Time,
    deadline: Time,
    stage: Stage,
    /// A write of the head got no reply, so it may have taken effect.
    is_in_doubt: bool,
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
struct CommittedChange {
    request: ChangeRequest,
    revision: Revision,
    written_at: Time,
    deadline: Time,
}

impl Writer {
    /// Returns the number of changes in progress.
    pub(super) fn len(&self) -> usize {
        self.queue.len() + self.committed_changes.len()
    }

    /// Whether the change at the front of the queue waits for a head read.
    pub(super) fn needs_head(&self) -> bool {
        self.queue
            .front()
            .is_some_and(|pending| matches!(pending.stage, Stage::NeedsHead))
    }

    /// Queues an operator's change.
    pub(super) fn enqueue(&mut self, now: Time, request: ChangeRequest) {
        let deadline = now + CHANGE_TIMEOUT;
        self.queue.push_back(Pending {
            request,
            received_at: now,
            deadline,
            stage: Stage::NeedsHead,
            is_in_doubt: false,
        });
    }

    /// Records that a call was sent.
    pub(super) const fn call_sent(&mut self, id: CallId) {
        self.call = Some(id);
    }

    /// Records that a head was read and the entries have reached it.
    pub(super) fn head_reached(&mut self) {
        if let Some(pending) = self
            .queue
            .front_mut()
            .filter(|pending| matches!(pending.stage, Stage::NeedsHead))
        {
            pending.stage = Stage::Ready;
        }
    }

    /// Handles a head read that was sent at `sent_at` and that the platform rejected as
    /// unavailable.
    ///
    /// A read without a reply is retried. A read that was sent before the change arrived is
    /// ignored, because the platform may be available again, and the change would be reported as
    /// failed anyway.
    pub(super) fn head_unavailable(&mut self, cx: &mut Cx<'_>, sent_at: Time) {
        let Some(pending) = self.queue.front() else {
            return;
        };
        let is_waiting = matches!(pending.stage, Stage::NeedsHead) && !pending.is_in_doubt;
        if is_waiting && sent_at >= pending.received_at {
            self.finish(cx, ApplyOutcome::Unavailable);
        }
    }

    /// Advances the change at the front of the queue. The catalogue calls this when its entries
    /// have reached the head that it last read.
    pub(super) fn step(
        &mut self,
        cx: &mut Cx<'_>,
        head: &KnownHead,
        state: &CatalogueState,
    ) -> WriterStep {
        self.expire_overdue(cx);
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
                self.mark_committed(cx.now, revision);
                continue;
            }
            match rejection(pending, state) {
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
        let (log, value) = LogRef::for_request(&pending.request, revision);
        let name = log.object_name();
        pending.stage = Stage::Log(log);
        WriterStep::Call(PlatformOp::Put {
            name,
            value,
            expected: Expected::Absent,
        })
    }

    /// Handles the reply to a call.
    pub(super) fn handle_reply(
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
            Stage::Log(log) => self.handle_log_reply(cx, &answer.reply, log, known),
            Stage::Head(head) => self.handle_head_reply(cx, &answer.reply, head),
            Stage::NeedsHead | Stage::Ready => WriterStep::Idle,
        }
    }

    fn handle_log_reply(
        &mut self,
        cx: &mut Cx<'_>,
        reply: &PlatformReply,
        log: LogRef,
        known: &KnownHead,
    ) -> WriterStep {
        match reply {
            // An existing object of this name contains the same change, because the name includes
            // the hash of its content.
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
        let head = known.head.with_change(log);
        let value = to_json(&head);
        pending.stage = Stage::Head(head);
        let expected = known.version.map_or(Expected::Absent, Expected::Version);
        WriterStep::Call(PlatformOp::Put {
            name: head_object(),
            value,
            expected,
        })
    }

    fn handle_head_reply(
        &mut self,
        cx: &mut Cx<'_>,
        reply: &PlatformReply,
        head: Head,
    ) -> WriterStep {
        match reply {
            PlatformReply::Written(version) => {
                let Some(request) = self.mark_committed(cx.now, head.revision) else {
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
                // The write may still take effect, even after the next read. From here on the
                // change is only retried under the same id and is never reported as not applied.
                if let Some(pending) = self.queue.front_mut() {
                    pending.is_in_doubt = true;
                }
                WriterStep::ReadHead
            }
        }
    }

    fn fail_unless_in_doubt(&mut self, cx: &mut Cx<'_>) -> WriterStep {
        if self
            .queue
            .front()
            .is_some_and(|pending| pending.is_in_doubt)
        {
            return WriterStep::ReadHead;
        }
        self.finish(cx, ApplyOutcome::Unavailable);
        WriterStep::Idle
    }

    fn mark_committed(&mut self, now: Time, revision: Revision) -> Option<ChangeRequest> {
        let pending = self.queue.pop_front()?;
        let request = pending.request.clone();
        self.committed_changes.push(CommittedChange {
            request: pending.request,
            revision,
            written_at: now,
            deadline: pending.deadline,
        });
        Some(request)
    }

    /// Reports the changes that are known to a majority as accepted.
    ///
    /// Guards against a change that is reported as accepted and then unknown to all remaining
    /// instances. The majority must be that of a map that was confirmed after the change was
    /// written; instances that join later read a head that contains the change.
    pub(super) fn complete_replicated(&mut self, cx: &mut Cx<'_>, majority_revision: Revision) {
        let confirmed_at = cx.ownership.lease_expires_at - cx.ownership.map.terms.lease_duration;
        let has_lease = cx.ownership.has_lease(cx.now);
        let mut completed = Vec::new();
        self.committed_changes.retain(|change| {
            let is_accepted = majority_revision >= change.revision
                && has_lease
                && confirmed_at >= change.written_at;
            let outcome = if is_accepted {
                ApplyOutcome::Accepted {
                    revision: change.revision,
                }
            } else if cx.now >= change.deadline {
                ApplyOutcome::Unknown
            } else {
                return true;
            };
            completed.push(Action::Applied {
                change: change.request.id.clone(),
                outcome,
            });
            false
        });
        cx.out.append(&mut completed);
    }

    /// Reports the changes that have timed out.
    pub(super) fn expire_overdue(&mut self, cx: &mut Cx<'_>) {
        while self
            .queue
            .front()
            .is_some_and(|pending| cx.now >= pending.deadline)
        {
            // Nothing can have changed unless a write of the head is in flight or has an unknown
            // result.
            let is_unchanged = self.queue.front().is_some_and(|pending| {
                !pending.is_in_doubt && !matches!(pending.stage, Stage::Head(_))
            });
            self.call = None;
            self.finish(
                cx,
                if is_unchanged {
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

/// Returns the outcome of a change that can't be written, or `None` if it can be written.
fn rejection(pending: &Pending, state: &CatalogueState) -> Option<ApplyOutcome> {
    let request = &pending.request;
    // A change in doubt may be in force and already removed from the head's list, which takes
    // hundreds of later changes. Its outcome is therefore unknown.
    let is_outdated = request
        .expected
        .is_some_and(|expected| expected != state.revision);
    if is_outdated && pending.is_in_doubt {
        return Some(ApplyOutcome::Unknown);
    }
    if is_outdated {
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
