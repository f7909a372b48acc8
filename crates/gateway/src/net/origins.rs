//! Stores where streams began, and finds it for requests that continue them.

use std::sync::Arc;
use std::time::Duration;

use bluebellstage_core::Time;

use crate::decide::call::ResumedAttempt;
use crate::decide::config::RouteKind;
use crate::decide::rendezvous::ShortHash;
use crate::decide::streams::origins::{
    KnownVersions, LookupOutcome, LookupStep, OriginLookup, OriginMessage, OriginRecord,
    OriginSource, OutgoingOrigins, StreamKey,
};
use crate::edge::Edge;
use crate::packet::Packet;

use super::batches::batches;
use super::front::Job;
use super::log::{LogEvent, event};
use super::node::{Destination, Node};

/// Time after a caller's timeout for which its stream's origin is kept.
const LIFETIME_MARGIN: Duration = Duration::from_secs(1);

/// Whether a request may be sent, as far as the stream is concerned that it continues.
pub(super) enum Continuation {
    /// It may.
    Allowed,
    /// The software version that began the stream is not known, and there are several.
    Refused,
}

/// Name of an outcome for metrics and the log.
const fn outcome_name(outcome: &LookupOutcome) -> &'static str {
    match outcome {
        LookupOutcome::Found { source, .. } => match source {
            OriginSource::Local => "local",
            OriginSource::Peer => "peer",
        },
        LookupOutcome::Unknown {
            versions: KnownVersions::One,
        } => "unknown",
        LookupOutcome::Unknown { .. } => "unknown_refused",
    }
}

/// Sends origins to the instances that have become replicas of them.
pub(super) fn replicate<E: Edge>(node: &Node<E>) {
    let outgoing = node.tables().replicate_origins(node.now());
    for OutgoingOrigins { to, records } in outgoing {
        for batch in batches(records, OriginRecord::estimated_bytes) {
            let packet = Packet::StreamOrigins(OriginMessage::Copy(batch));
            node.send(Destination::Address(to), packet);
        }
    }
}

/// A lookup that ends when it is dropped, also because its caller gave up.
struct RunningLookup<'a, E: Edge> {
    node: &'a Node<E>,
    lookup: OriginLookup,
}

impl<'a, E: Edge> RunningLookup<'a, E> {
    fn begin(node: &'a Node<E>, key: StreamKey, service: ShortHash) -> Self {
        let lookup = node.tables().begin_lookup(key, service, node.now());
        Self { node, lookup }
    }
}

impl<E: Edge> Drop for RunningLookup<'_, E> {
    fn drop(&mut self) {
        self.node.tables().end_lookup(&self.lookup);
    }
}

impl<E: Edge> Job<E> {
    /// Holds a request that continues a stream to the software version that began it.
    pub(super) async fn hold_to_origin(&mut self) -> Continuation {
        let is_continued = self.call.resume_after.is_some_and(|after| after > 0);
        let is_named = self.call.resumes != ResumedAttempt::Unnamed;
        let may_resume = self.ticket.route().kind == RouteKind::ResumableStream;
        if !may_resume || self.forwarded.is_some() || !(is_continued || is_named) {
            return Continuation::Allowed;
        }
        let (outcome, asked) = self.look_up_origin().await;
        let source = outcome_name(&outcome);
        self.origin_source = Some(source);
        self.node.metrics.streams.origin_looked_up(source);
        let versions = match outcome {
            LookupOutcome::Found { origin, age, .. } => {
                self.origin_age = Some(age);
                self.ticket.hold_to(&origin);
                return Continuation::Allowed;
            }
            LookupOutcome::Unknown { versions } => versions,
        };
        // A caller without an event gets a stream that begins anew.
        let is_refused = versions != KnownVersions::One && is_continued;
        if is_named || is_refused {
            self.log_unknown_origin(asked, versions, is_refused);
        }
        if is_refused {
            Continuation::Refused
        } else {
            Continuation::Allowed
        }
    }

    fn log_unknown_origin(&self, asked: usize, versions: KnownVersions, is_refused: bool) {
        let resumes = match &self.call.resumes {
            ResumedAttempt::Id(id) => id,
            ResumedAttempt::Unnamed => "",
            ResumedAttempt::Malformed => "malformed",
        };
        event(
            LogEvent::OriginUnknown,
            &[
                ("request", &self.call.id),
                ("resumes", resumes),
                ("service", self.ticket.service.as_str()),
                ("asked", &asked.to_string()),
                ("versions", versions.name()),
                ("refused", if is_refused { "true" } else { "false" }),
            ],
        );
    }

    /// Looks up where the stream began that the request continues. Returns the number of instances that were asked,
    /// too.
    async fn look_up_origin(&self) -> (LookupOutcome, usize) {
        let service = ShortHash::of(self.ticket.service.as_str());
        let attempt = match &self.call.resumes {
            ResumedAttempt::Id(attempt) => attempt,
            ResumedAttempt::Unnamed | ResumedAttempt::Malformed => {
                let now = self.node.now();
                let tables = self.node.tables();
                let versions = tables.known_versions(service, Duration::ZERO, now);
                if versions == KnownVersions::Several {
                    return (LookupOutcome::Unknown { versions }, 0);
                }
                // No stream began under the id of this attempt yet: what is asked for are the versions.
                &self.call.id
            }
        };
        let key = StreamKey::of(self.ticket.workspace.as_ref(), attempt);
        let mut running = RunningLookup::begin(&self.node, key, service);
        let outcome = loop {
            let replied = self.node.origin_replied.notified();
            let now = self.node.now();
            let step = self.next_lookup_step(&mut running.lookup, now);
            let pause = match step {
                LookupStep::End(outcome) => break outcome,
                LookupStep::Wait(pause) => pause,
                LookupStep::Ask(peers, pause) => {
                    let query = OriginMessage::Query(running.lookup.query(now));
                    let query = Packet::StreamOrigins(query);
                    for peer in peers {
                        self.node.send(Destination::Address(peer), query.clone());
                    }
                    pause
                }
            };
            let _replied_or_due = tokio::time::timeout(pause, replied).await;
        };
        (outcome, running.lookup.asked_count())
    }

    fn next_lookup_step(&self, lookup: &mut OriginLookup, now: Time) -> LookupStep {
        let mut tables = self.node.tables();
        let step = tables.next_lookup_step(lookup, now);
        if tables.wants_confirmation() {
            self.node.confirmation_wanted.notify_one();
        }
        step
    }

    /// Stores where the stream began, under the ids by which its caller may continue it.
    pub(super) fn store_origin(&self) {
        let route = self.ticket.route();
        let Some(origin) = self.ticket.stream_origin() else {
            return;
        };
        if route.kind != RouteKind::ResumableStream {
            return;
        }
        let timeout = self.call.timeout.unwrap_or(route.timeout);
        let lifetime = timeout + LIFETIME_MARGIN;
        let named = match &self.call.resumes {
            ResumedAttempt::Id(id) => Some(id),
            ResumedAttempt::Unnamed | ResumedAttempt::Malformed => None,
        };
        for attempt in [Some(&self.call.id), named].into_iter().flatten() {
            let key = StreamKey::of(self.ticket.workspace.as_ref(), attempt);
            let now = self.node.now();
            let recorded = self
                .node
                .tables()
                .record_origin(key, origin.clone(), lifetime, now);
            // The instance from which a peer forwards it stores the origin.
            if self.forwarded.is_some() {
                continue;
            }
            let (record, replicas) = recorded;
            for replica in replicas {
                let packet = Packet::StreamOrigins(OriginMessage::Store(record.clone()));
                self.node.send(Destination::Address(replica), packet);
            }
        }
    }
}

/// Handles a message about origins; returns the reply to its sender.
pub(super) fn receive<E: Edge>(
    node: &Arc<Node<E>>,
    message: OriginMessage,
    from: std::net::SocketAddr,
) -> Option<OriginMessage> {
    let is_reply = matches!(message, OriginMessage::Reply(_));
    let now = node.now();
    let mut tables = node.tables();
    let reply = tables.receive_origins(message, from, now);
    if tables.wants_confirmation() {
        node.confirmation_wanted.notify_one();
    }
    drop(tables);
    if is_reply {
        node.origin_replied.notify_waiters();
    }
    reply
}
