//! Forwards a stream of events to the caller, and resumes it at another target if the route allows that.

use std::io;
use std::time::Duration;

use bluebellstage_core::SoftwareVersion;
use bytes::Bytes;
use futures::stream::unfold;
use http::{Response, response};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};

use crate::decide::event_stream::{EventSplitter, SplitResult};
use crate::decide::health::{MAX_SILENCE, TargetOutcome};
use crate::decide::rendezvous::ShortHash;
use crate::decide::stream_origins::StreamOrigin;
use crate::decide::stream_times::StreamTimes;
use crate::decide::tables::Ticket;
use crate::edge::Edge;

use super::attempt::{FailedRun, TargetResponse, TargetStream};
use super::front::Job;
use super::local_response::ResponseBody;
use super::log::{LogEvent, event};
use super::peer_forwarding::{PeerResponse, PeerStream};
use super::search_outcome::SearchOutcome;

/// Time without an event, as a multiple of the route's target gap between events, after which the stream is
/// resumed at another target. Callers time out after eight.
const GAP_FACTOR: u32 = 4;
/// The same before the first event, as a multiple of the target latency.
const FIRST_EVENT_FACTOR: u32 = 3;
/// Minimum of these timeouts.
const MIN_STREAM_TIMEOUT: Duration = MAX_SILENCE;

/// Where the events of a stream come from.
#[derive(Debug)]
enum Source<E: Edge> {
    Target(Box<TargetStream<E>>),
    /// A peer to which the request was forwarded.
    Peer(PeerStream<E>),
}

impl<E: Edge> Source<E> {
    fn body(&mut self) -> &mut Incoming {
        match self {
            Self::Target(source) => &mut source.body,
            Self::Peer(source) => &mut source.body,
        }
    }

    /// Returns the names of the target or peer and of the target's software version, as far as known.
    fn names(&self) -> [String; 2] {
        match self {
            Self::Target(source) => {
                let in_flight = &source.in_flight;
                [in_flight.target.to_string(), in_flight.software.to_string()]
            }
            Self::Peer(source) => {
                let software = source
                    .origin
                    .as_ref()
                    .map(|origin| origin.software.to_string());
                [source.peer().to_string(), software.unwrap_or_default()]
            }
        }
    }

    /// Whether the events are of this software version; `None` is that of a peer that does not report one.
    fn has_version(&self, software: Option<&SoftwareVersion>) -> bool {
        match self {
            Self::Target(source) => {
                software.is_some_and(|software| source.in_flight.runs(software))
            }
            Self::Peer(source) => source.origin.as_ref().map(|origin| &origin.software) == software,
        }
    }

    /// Returns service and software version of the target that sends the events; `None` if the peer that forwards
    /// them does not report that.
    fn origin(&self, ticket: &Ticket) -> Option<StreamOrigin> {
        match self {
            Self::Target(source) => Some(StreamOrigin {
                service: ShortHash::of(ticket.service.as_str()),
                software: source.in_flight.current_software(),
            }),
            Self::Peer(source) => source.origin.clone(),
        }
    }

    /// Records that events arrived.
    fn record_arrival(&mut self) {
        if let Self::Target(source) = self {
            source.in_flight.record_answer();
        }
    }

    fn record_first_event(&mut self) {
        if let Self::Target(source) = self {
            let age = source.in_flight.age();
            source.in_flight.record_outcome(TargetOutcome::Answer(age));
        }
    }

    /// Returns whether the end of the body shows that the stream is complete. A peer's body has chunks.
    async fn confirms_end(&self) -> bool {
        match self {
            Self::Target(source) => source.confirms_end().await,
            Self::Peer(_) => true,
        }
    }

    fn finish(self) {
        match self {
            Self::Target(source) => source.finish(),
            Self::Peer(source) => source.finish(),
        }
    }
}

#[derive(Debug)]
struct StreamForwarder<E: Edge> {
    job: Job<E>,
    source: Option<Source<E>>,
    splitter: EventSplitter,
    has_started: bool,
    /// Whether all events of the stream are from the present source.
    is_single_source: bool,
    /// Whether the replicas have been told where the stream began.
    is_origin_stored: bool,
    times: StreamTimes,
    /// Name of the present or last target or peer.
    source_name: String,
}

enum Chunk {
    Data(Bytes),
    End,
    Broken(StreamFailure),
}

/// Why a target's stream can't continue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StreamFailure {
    /// The connection ended.
    Interrupted(&'static str),
    /// The target is connected but its stream can't be used.
    Unusable(&'static str),
}

impl StreamFailure {
    const fn reason(self) -> &'static str {
        match self {
            Self::Interrupted(reason) | Self::Unusable(reason) => reason,
        }
    }
}

/// Returns the response to the caller; its body forwards the events as the target sends them.
pub(super) fn forward<E: Edge>(job: Job<E>, response: TargetResponse<E>) -> Response<ResponseBody> {
    let (parts, source) = response.into_stream();
    forward_source(job, &parts, Source::Target(Box::new(source)))
}

/// Returns the response to the caller; its body forwards the events as a peer sends them.
pub(super) fn forward_from_peer<E: Edge>(
    job: Job<E>,
    response: Box<PeerResponse<E>>,
) -> Response<ResponseBody> {
    let PeerResponse { parts, stream, .. } = *response;
    forward_source(job, &parts, Source::Peer(stream))
}

fn forward_source<E: Edge>(
    job: Job<E>,
    parts: &response::Parts,
    source: Source<E>,
) -> Response<ResponseBody> {
    let splitter = EventSplitter::new(job.call.resume_after);
    let is_single_source = job.ticket.software.is_none();
    let mut res = job.forward_response(parts, super::local_response::full_body(Bytes::new()));
    let [source_name, _software] = source.names();
    let forwarder = StreamForwarder {
        job,
        source: Some(source),
        splitter,
        has_started: false,
        is_single_source,
        is_origin_stored: false,
        times: StreamTimes::default(),
        source_name,
    };
    let frames = unfold(Some(forwarder), |forwarder| async move {
        let mut forwarder = forwarder?;
        match forwarder.next().await {
            Ok(Some(events)) => Some((Ok(Frame::data(events)), Some(forwarder))),
            Ok(None) => None,
            Err(err) => Some((Err(err), None)),
        }
    });
    *res.body_mut() = StreamBody::new(frames).boxed_unsync();
    res
}

impl<E: Edge> StreamForwarder<E> {
    /// Returns the next events, or `None` at the end of the stream.
    async fn next(&mut self) -> io::Result<Option<Bytes>> {
        self.times.record_asked(self.job.node.now());
        loop {
            let last_id = self.splitter.last_id();
            let failure = match self.next_chunk().await {
                Chunk::Data(_) if !self.is_of_version() => {
                    StreamFailure::Unusable("the target runs another software version")
                }
                Chunk::Data(data) => match self.push(&data) {
                    SplitResult::Events(events) if events.is_empty() => continue,
                    SplitResult::Events(events) => {
                        self.record_events(last_id);
                        return Ok(Some(events));
                    }
                    SplitResult::Invalid => StreamFailure::Unusable("events out of order"),
                },
                Chunk::End if self.splitter.is_mid_event() => {
                    StreamFailure::Interrupted("the stream ended in the middle of an event")
                }
                Chunk::End if !self.has_started => {
                    StreamFailure::Interrupted("the stream ended before its first event")
                }
                Chunk::End if !self.is_end_confirmed().await => {
                    StreamFailure::Interrupted("the connection and the target ended")
                }
                Chunk::End => {
                    if let Some(source) = self.source.take() {
                        source.finish();
                        self.job.record_served();
                    }
                    return Ok(None);
                }
                Chunk::Broken(failure) => failure,
            };
            self.resume(failure).await?;
        }
    }

    /// Adds a chunk to the stream. The replicas are told where the stream began before its caller gets an event.
    fn push(&mut self, data: &[u8]) -> SplitResult {
        if !std::mem::replace(&mut self.is_origin_stored, true) {
            self.job.store_origin();
        }
        self.splitter.push(data)
    }

    /// Whether the present source has the software version that began the stream. The first source sets it.
    fn is_of_version(&mut self) -> bool {
        let Some(source) = &self.source else {
            return true;
        };
        let ticket = &mut self.job.ticket;
        if source.has_version(ticket.software.as_ref()) {
            return true;
        }
        let Some(origin) = source.origin(ticket).filter(|_| self.is_single_source) else {
            return false;
        };
        ticket.hold_to(&origin);
        self.is_origin_stored = false;
        true
    }

    async fn is_end_confirmed(&self) -> bool {
        match &self.source {
            Some(source) => source.confirms_end().await,
            None => true,
        }
    }

    /// Records the events that were read after the one with the number `last_id`.
    fn record_events(&mut self, last_id: Option<u64>) {
        let is_first = !std::mem::replace(&mut self.has_started, true);
        if let Some(source) = &mut self.source {
            source.record_arrival();
            if is_first {
                source.record_first_event();
            }
        }
        let numbers = last_id.zip(self.splitter.last_id());
        let events = numbers.map_or(1, |(before, last)| last.saturating_sub(before).max(1));
        let Some(gap) = self.times.record_events(events, self.job.node.now()) else {
            return;
        };
        if let Some(Source::Target(source)) = &self.source {
            let target_gap = self.job.ticket.route().target_gap;
            source.in_flight.record_events(gap, target_gap);
        }
    }

    fn read_timeout(&self) -> Duration {
        let route = self.job.ticket.route();
        let time_left = self.job.time_left();
        if !self.job.may_retry() {
            return time_left;
        }
        let gap = route.target_gap.unwrap_or(route.target_latency) * GAP_FACTOR;
        let first = route.target_latency * FIRST_EVENT_FACTOR;
        let span = if self.has_started {
            gap
        } else {
            gap.max(first)
        };
        span.max(MIN_STREAM_TIMEOUT).min(time_left)
    }

    async fn next_chunk(&mut self) -> Chunk {
        let read_timeout = self.read_timeout();
        let Some(source) = &mut self.source else {
            return Chunk::Broken(StreamFailure::Unusable("no target"));
        };
        let frame = tokio::time::timeout(read_timeout, source.body().frame()).await;
        match frame {
            Ok(Some(Ok(frame))) => match frame.into_data() {
                Ok(data) => Chunk::Data(data),
                Err(_trailers) => Chunk::Data(Bytes::new()),
            },
            Ok(Some(Err(_cut))) => Chunk::Broken(StreamFailure::Interrupted(
                "the connection to the target broke",
            )),
            Ok(None) => Chunk::End,
            Err(_elapsed) => Chunk::Broken(StreamFailure::Unusable("the target fell silent")),
        }
    }

    /// Ends a stream that failed.
    async fn end_target(&mut self, mut source: TargetStream<E>, failure: StreamFailure) {
        source.in_flight.record_failure();
        let (id, run_time) = (source.in_flight.target.clone(), source.in_flight.run_time());
        self.job.tried.push(id.clone());
        // The connection is closed, so that this target stops before another one starts.
        drop(source);
        if let StreamFailure::Interrupted(_) = failure {
            let failed_run = FailedRun::broken(run_time);
            self.job.check_for_crash(&id, failed_run).await;
        }
    }

    /// Resumes the stream at another target after the last event that the caller has received.
    async fn resume(&mut self, failure: StreamFailure) -> io::Result<()> {
        let reason = failure.reason();
        let [target, software] = self.source.as_ref().map(Source::names).unwrap_or_default();
        if let Some(Source::Target(source)) = self.source.take() {
            self.end_target(*source, failure).await;
        }
        self.splitter.drop_partial();
        let last = self
            .splitter
            .last_id()
            .map_or("none".into(), |id| id.to_string());
        let id = self.job.call.id.clone();
        let fields = [
            ("request", &*id),
            ("target", &target),
            ("software", &software),
            ("cause", reason),
            ("last_event", &last),
        ];
        let silent_ms = self.silent_ms();
        if !self.job.may_retry() {
            let search = SearchReport::not_made();
            return Err(self.break_off(reason, &fields, &silent_ms, search));
        }
        self.job.call.resume_after = self.splitter.last_id();
        if self.has_started {
            self.is_single_source = false;
        } else if self.is_single_source {
            self.job.ticket.software = None;
        }
        let search_began = self.job.node.now();
        let next = match self.job.find_response().await {
            SearchOutcome::Response(response) if response.parts.status.is_success() => {
                Source::Target(Box::new(response.into_stream().1))
            }
            SearchOutcome::PeerResponse(response) if response.is_successful() => {
                Source::Peer(response.stream)
            }
            failed => {
                let search = SearchReport {
                    reason: failed.reason(),
                    took: self.job.node.now().since(search_began),
                };
                return Err(self.break_off(reason, &fields, &silent_ms, search));
            }
        };
        let [next_target, next_software] = next.names();
        self.times.record_resumed();
        self.source_name.clone_from(&next_target);
        let next_names = [("next", &*next_target), ("next_software", &next_software)];
        event(
            LogEvent::StreamResumed,
            &[&fields[..], &next_names].concat(),
        );
        self.source = Some(next);
        Ok(())
    }
}

/// Why no other target took a stream up.
#[derive(Clone, Copy, Debug)]
struct SearchReport {
    reason: &'static str,
    took: Duration,
}

impl SearchReport {
    const fn not_made() -> Self {
        Self {
            reason: "no further attempt is allowed",
            took: Duration::ZERO,
        }
    }
}

impl<E: Edge> StreamForwarder<E> {
    /// Returns the milliseconds since the last event; empty before the first one.
    fn silent_ms(&self) -> String {
        let silence = self.times.silence(self.job.node.now());
        silence.map_or_else(String::new, |silence| silence.as_millis().to_string())
    }

    /// Reports that the caller's answer ends in the middle.
    fn break_off(
        &self,
        cause: &'static str,
        fields: &[(&'static str, &str)],
        silent_ms: &str,
        search: SearchReport,
    ) -> io::Error {
        let route = &self.job.ticket.route().name;
        let metrics = &self.job.node.metrics.streams;
        metrics.broken_off(route, cause, search.reason);
        let search_ms = search.took.as_millis().to_string();
        let search_fields = [
            ("silent_ms", silent_ms),
            ("search", search.reason),
            ("search_ms", &search_ms),
        ];
        event(LogEvent::StreamBroken, &[fields, &search_fields].concat());
        io::Error::other(cause)
    }
}

impl<E: Edge> Drop for StreamForwarder<E> {
    fn drop(&mut self) {
        let millis = |span: Duration| span.as_millis().to_string();
        let route = self.job.ticket.route();
        let workspace = self.job.ticket.workspace.as_ref().map(ToString::to_string);
        let workspace = workspace.unwrap_or_default();
        let first = self.times.first_event();
        let first = first.map(|first| millis(first.since(self.job.arrived)));
        let aim = millis(route.target_latency);
        let [gap, held] = [self.times.max_gap(), self.times.max_held()];
        let [gap_ms, held_ms] = [gap, held].map(millis);
        let silent_ms = self.silent_ms();
        let gap_aim = route.target_gap.map(millis);
        let mut fields = vec![
            ("request", &*self.job.call.id),
            ("route", &*route.name),
            ("workspace", &*workspace),
            ("target", &*self.source_name),
            ("aim_ms", &*aim),
            ("gap_ms", &*gap_ms),
            ("held_ms", &*held_ms),
            ("silent_ms", &*silent_ms),
        ];
        fields.extend(first.iter().map(|first| ("first_ms", &**first)));
        fields.extend(gap_aim.iter().map(|aim| ("gap_aim_ms", &**aim)));
        event(LogEvent::StreamEnded, &fields);
        let metrics = &self.job.node.metrics.streams;
        metrics.stream_ended(&route.name, gap, held);
    }
}
