//! Why and how the stream of one target ends before it is whole.

use std::sync::Arc;
use std::time::Duration;

use crate::decide::call::Call;
use crate::decide::quarantine::{Fingerprint, InterruptedRun};
use crate::edge::Edge;

use super::crash_check::record_interruption;
use super::event_reader::{EventReader, Received};
use super::front::Job;
use super::node::Node;
use super::stream_source::Source;

/// Cause of a search while the connection to the target is open.
pub(super) const SILENT: &str = "the target fell silent";
/// Cause of a search after the target has sent something else than the events that are due.
pub(super) const NO_EVENTS: &str = "the target sent no valid events";
/// Cause of a search after the connection to the target has broken.
pub(super) const CONNECTION_BROKE: &str = "the connection to the target broke";

/// Why a target's stream can't continue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum StreamFailure {
    /// The connection ended.
    Interrupted(&'static str),
    /// The target is connected but its stream can't be used.
    Unusable(&'static str),
    /// The time of the request is over.
    TimedOut,
}

impl StreamFailure {
    pub(super) const fn reason(self) -> &'static str {
        match self {
            Self::Interrupted(reason) | Self::Unusable(reason) => reason,
            Self::TimedOut => "the time of the request is over",
        }
    }
}

/// Returns why a stream can't go on after what was received; `None` if it can or has ended.
pub(super) const fn failure_of(received: &Received) -> Option<StreamFailure> {
    match received {
        Received::Invalid => Some(StreamFailure::Unusable(NO_EVENTS)),
        Received::Broken => Some(StreamFailure::Interrupted(CONNECTION_BROKE)),
        Received::Events(_) | Received::End => None,
    }
}

/// Short name for metrics of what ends a silence.
pub(super) const fn silence_end(received: &Received) -> &'static str {
    match received {
        Received::Events(_) => "went_on",
        Received::Invalid => "no_events",
        Received::End => "ended",
        Received::Broken => "broke",
    }
}

/// A run that can't go on, and what a crash check must know of its request.
pub(super) struct BrokenRun<E: Edge> {
    node: Arc<Node<E>>,
    fingerprint: Fingerprint,
    call: Arc<Call>,
}

impl<E: Edge> BrokenRun<E> {
    pub(super) fn new(job: &Job<E>) -> Self {
        Self {
            node: Arc::clone(&job.node),
            fingerprint: job.fingerprint,
            call: Arc::clone(&job.call),
        }
    }

    /// Ends the run. If its connection broke, it is checked whether its target crashed.
    pub(super) async fn end(self, reader: Option<EventReader<E>>, failure: StreamFailure) {
        let source = reader.map(|reader| reader.source);
        let Some(Source::Target(mut source)) = source else {
            return;
        };
        if failure != StreamFailure::TimedOut {
            source.in_flight.record_failure();
        }
        let (target, run_time) = (source.in_flight.target.clone(), source.in_flight.run_time());
        // The connection is closed, so that this target stops before another one starts.
        drop(source);
        if let StreamFailure::Interrupted(_) = failure {
            let run = InterruptedRun::new(self.fingerprint, run_time);
            record_interruption(&self.node, &target, run, &self.call.prompt_parts).await;
        }
    }
}

/// A source that a stream no longer has.
#[derive(Clone, Debug)]
pub(super) struct EndedSource {
    /// Names of the target or peer and of its software version.
    pub(super) names: [String; 2],
    pub(super) cause: &'static str,
}

/// Why no other target took a stream up.
#[derive(Clone, Copy, Debug)]
pub(super) struct SearchReport {
    pub(super) reason: &'static str,
    pub(super) took: Duration,
}

impl SearchReport {
    pub(super) const fn not_made() -> Self {
        Self {
            reason: "no further attempt is allowed",
            took: Duration::ZERO,
        }
    }
}
