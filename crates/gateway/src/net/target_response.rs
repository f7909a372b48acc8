//! A target's response, from its head to the end of its body.

use std::sync::Arc;

use bluebellstage_core::{SoftwareVersion, TargetId, Time};
use http::response;
use hyper::body::Incoming;

use crate::decide::call::ResponseHead;
use crate::decide::health::TargetOutcome;
use crate::edge::Edge;

use super::attempt::{Attempt, Failure, SendParams, record_failed_attempt};
use super::caller_memory::CallerMemory;
use super::framing::Framing;
use super::in_flight::InFlight;
use super::pass_through::{Buffered, CollectedBody, Passing, collect};
use super::pool::Connection;

/// A response of a target whose body has not been read.
#[derive(Debug)]
pub(super) struct TargetResponse<E: Edge> {
    pub(super) parts: response::Parts,
    pub(super) head: ResponseHead,
    pub(super) body: Incoming,
    pub(super) in_flight: InFlight<E>,
    pub(super) framing: Framing,
    pub(super) connection: Connection,
    /// Counts what is buffered, if memory is limited.
    pub(super) caller: Option<Arc<CallerMemory>>,
}

/// A response of a target that is no stream.
#[derive(Debug)]
pub(super) struct CollectedResponse<E: Edge> {
    pub(super) parts: response::Parts,
    pub(super) body: CollectedBody<E>,
    pub(super) target: TargetId,
    /// Software version of the target when the request was sent.
    pub(super) software: SoftwareVersion,
    pub(super) sent: Time,
}

impl<E: Edge> TargetResponse<E> {
    /// Reads the complete body, then returns the connection to the pool if it can be reused.
    /// If memory is limited and there is no room for it, it is passed through.
    pub(super) async fn collect(self, params: SendParams<'_>) -> Attempt<E> {
        let time_left = params.max_wait.saturating_sub(self.in_flight.age());
        let caller = self.caller.clone();
        let (parts, mut source) = self.into_stream();
        let end_by = source.in_flight.node.now() + time_left;
        let reading = collect(&mut source.body, caller.as_ref());
        let failure = match tokio::time::timeout(time_left, reading).await {
            Ok(Ok(Buffered::Part(read))) => {
                source.in_flight.node.metrics.memory.passed_through();
                return source.collected(parts, |source| {
                    CollectedBody::PassedThrough(Box::new(Passing::new(read, source, end_by)))
                });
            }
            Ok(Ok(Buffered::TooLong)) => Failure::TooLong,
            Ok(Ok(Buffered::Whole(_))) if !source.confirms_end().await => Failure::Broken,
            Ok(Ok(Buffered::Whole(body))) => {
                let outcome = if parts.status.is_server_error() {
                    TargetOutcome::Failure
                } else {
                    TargetOutcome::Answer(source.in_flight.age())
                };
                source.in_flight.record_outcome(outcome);
                return source.collected(parts, |source| {
                    source.finish();
                    CollectedBody::Whole(body)
                });
            }
            Ok(Err(_cut)) => Failure::Broken,
            Err(_elapsed) => Failure::Silent,
        };
        record_failed_attempt(&mut source.in_flight, failure, params);
        source.in_flight.failed_attempt(failure)
    }

    /// Splits the response into its head and its stream.
    pub(super) fn into_stream(self) -> (response::Parts, TargetStream<E>) {
        let source = TargetStream {
            head: self.head,
            body: self.body,
            in_flight: self.in_flight,
            framing: self.framing,
            connection: self.connection,
        };
        (self.parts, source)
    }
}

/// The body of a response that is being read.
#[derive(Debug)]
pub(super) struct TargetStream<E: Edge> {
    head: ResponseHead,
    pub(super) body: Incoming,
    pub(super) in_flight: InFlight<E>,
    framing: Framing,
    connection: Connection,
}

impl<E: Edge> TargetStream<E> {
    /// Returns whether the end of the body shows that the stream is complete.
    pub(super) async fn confirms_end(&mut self) -> bool {
        self.in_flight.confirms_end(self.framing).await
    }

    /// Returns the response with the body that `body` makes of the rest.
    fn collected(
        self,
        parts: response::Parts,
        body: impl FnOnce(Self) -> CollectedBody<E>,
    ) -> Attempt<E> {
        let InFlight {
            target,
            software,
            sent,
            ..
        } = &self.in_flight;
        Attempt::Collected(Box::new(CollectedResponse {
            parts,
            target: target.clone(),
            software: software.clone(),
            sent: *sent,
            body: body(self),
        }))
    }

    /// Handles the regular end of the body: returns the connection to the pool.
    pub(super) fn finish(self) {
        self.in_flight.record_complete();
        return_to_pool(&self.in_flight, &self.head, self.connection);
    }
}

fn return_to_pool<E: Edge>(in_flight: &InFlight<E>, head: &ResponseHead, connection: Connection) {
    if !head.closes_connection {
        let pool = &in_flight.node.pool;
        pool.put(&in_flight.target, connection, head.idle_timeout);
    }
}
