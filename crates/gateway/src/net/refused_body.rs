//! Receives and drops the rest of a refused request's body.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bluebellstage_core::Time;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;

use crate::decide::memory_budget::HeldKind;
use crate::decide::refused_body::{Discard, DiscardStep, RECEIVE_BUFFER, max_at_once};
use crate::edge::Edge;

use super::caller_memory::{CallerMemory, Hold, Turn};
use super::connection_activity::Activity;
use super::node::Node;
use super::request_body::RequestBody;

/// How the receiving of a refused body ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum DiscardOutcome {
    /// It came to its end, and the connection can be used again.
    Whole,
    /// Its sender closed the connection, or broke the framing.
    Broken,
    /// It did not end within its bounds.
    Endless,
    /// Too many others were being received.
    Crowded,
}

impl DiscardOutcome {
    /// Short name for metrics.
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::Broken => "broken",
            Self::Endless => "endless",
            Self::Crowded => "crowded",
        }
    }
}

/// Counts one of the bodies that are received at once until it is dropped.
#[derive(Debug)]
struct Place(Arc<AtomicUsize>);

impl Place {
    fn take<E: Edge>(node: &Node<E>) -> Option<Self> {
        let budget = node.memory.as_ref();
        let max = max_at_once(budget.map(|memory| memory.budget().budget()));
        let taken = node.discarding.fetch_add(1, Ordering::Relaxed);
        let place = Self(Arc::clone(&node.discarding));
        (taken < max).then_some(place)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The rest of a refused request's body.
#[derive(Debug)]
pub(super) struct RefusedBody {
    body: RequestBody,
    discard: Discard,
    place: Option<Place>,
    caller: Option<Arc<CallerMemory>>,
}

impl RefusedBody {
    /// Returns what is left of a body after its request got a response; `None` if nothing is.
    pub(super) fn of<E: Edge>(
        node: &Node<E>,
        body: RequestBody,
        caller: Option<Arc<CallerMemory>>,
    ) -> Option<Self> {
        if body.is_ended() {
            return None;
        }
        Some(Self {
            discard: Discard::new(body.bounds, body.arrived(), node.now()),
            place: Place::take(node),
            body,
            caller,
        })
    }

    /// Whether the connection can't be used again, so that the response must say so.
    pub(super) fn must_close(&self, now: Time) -> bool {
        let Self {
            body,
            discard,
            place,
            ..
        } = self;
        let is_left = place.is_none()
            || discard.next_step(now) == DiscardStep::Leave
            || !discard.fits(body.size_hint().lower());
        is_left || body.is_broken() || body.is_awaiting_continue()
    }

    /// Receives and drops it, and holds `in_use` meanwhile. Before the head of the response is written, its sender would
    /// be told to send it.
    pub(super) fn discard<E: Edge>(
        mut self,
        node: Arc<Node<E>>,
        activity: Arc<Activity>,
        in_use: impl Send + 'static,
    ) {
        // The connection may end before this task learns that the rest is broken.
        activity.begin_discard();
        tokio::spawn(async move {
            let outcome = self.receive(&node).await;
            if outcome == DiscardOutcome::Whole {
                activity.end_discard();
            }
            drop(self);
            node.metrics.callers.discarded(outcome.name());
            drop(in_use);
        });
    }

    async fn receive<E: Edge>(&mut self, node: &Node<E>) -> DiscardOutcome {
        if self.body.is_broken() {
            return DiscardOutcome::Broken;
        }
        if self.place.is_none() {
            return DiscardOutcome::Crowded;
        }
        let counted = self.caller.as_ref().map(count);
        while !self.body.is_ended() {
            let DiscardStep::Receive(span) = self.discard.next_step(node.now()) else {
                return DiscardOutcome::Endless;
            };
            let Ok(frame) = tokio::time::timeout(span, self.body.frame()).await else {
                continue;
            };
            let len = match frame {
                None => break,
                Some(Err(_broken)) => return DiscardOutcome::Broken,
                Some(Ok(frame)) => frame.data_ref().map_or(0, Bytes::len),
            };
            self.discard.record(len, node.now());
            if let Some((turn, _buffer)) = &counted {
                turn.record_moved(len);
            }
        }
        DiscardOutcome::Whole
    }
}

/// Counts what the connection buffers, and the time in which its caller could send.
fn count(caller: &Arc<CallerMemory>) -> (Turn, Hold) {
    let mut buffer = Arc::clone(caller).hold(HeldKind::RequestBody);
    buffer.add(RECEIVE_BUFFER);
    (caller.start_turn(), buffer)
}
