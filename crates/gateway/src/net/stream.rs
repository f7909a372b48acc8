//! Forwards a stream of events to the caller, and resumes it at another target if the route allows that.

use std::io;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::stream::unfold;
use http::response;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;

use crate::decide::health::MAX_SILENCE;
use crate::decide::retry_budget::RetryCause;
use crate::decide::silence::{Silence, SilenceAction};
use crate::decide::streams::times::StreamTimes;
use crate::edge::Edge;

use super::event_reader::{EventReader, Received};
use super::front::Job;
use super::local_response::full_body;
use super::log::{LogEvent, event};
use super::open_attempts::OpenAttempts;
use super::peer_exchange::PeerResponse;
use super::reported_response::ReportedResponse;
use super::search::Reach;
use super::search_outcome::SearchOutcome;
use super::stream_end::{
    BrokenRun, CONNECTION_BROKE, EndedSource, NO_EVENTS, SILENT, SearchReport, StreamFailure,
    failure_of, silence_end,
};
use super::stream_source::{Source, source_of};
use super::target_response::TargetResponse;

/// Time without an event, as a multiple of the route's target gap between events, after which another
/// target is looked for. Callers time out after eight.
const GAP_FACTOR: u32 = 4;
/// The same before the first event, as a multiple of the target latency.
const FIRST_EVENT_FACTOR: u32 = 3;
#[derive(Debug)]
struct StreamForwarder<E: Edge> {
    job: Job<E>,
    source: Option<EventReader<E>>,
    /// Number of the last event that the caller has.
    last_id: Option<u64>,
    has_started: bool,
    /// Whether all events of the stream are from the present source.
    is_single_source: bool,
    /// Whether the replicas have been told where the stream began.
    is_origin_stored: bool,
    times: StreamTimes,
    silence: Silence,
    /// What a search has found that went on after the source broke.
    replacement: Option<(EndedSource, SearchOutcome<E>)>,
    /// Name of the present or last target or peer.
    source_name: String,
}

/// Returns the response to the caller once there are events; its body forwards them as the target sends them.
pub(super) async fn forward<E: Edge>(job: Job<E>, response: TargetResponse<E>) -> ReportedResponse {
    let (parts, source) = response.into_stream();
    forward_source(job, &parts, Source::Target(Box::new(source))).await
}

/// Returns the response to the caller once there are events; its body forwards them as a peer sends them.
pub(super) async fn forward_from_peer<E: Edge>(
    job: Job<E>,
    response: Box<PeerResponse<E>>,
) -> ReportedResponse {
    let PeerResponse { parts, stream, .. } = *response;
    forward_source(job, &parts, Source::Peer(stream)).await
}

async fn forward_source<E: Edge>(
    job: Job<E>,
    parts: &response::Parts,
    source: Source<E>,
) -> ReportedResponse {
    let last_id = job.call.resume_after;
    let is_single_source = job.ticket.software.is_none();
    let [source_name, _software] = source.names();
    let silence = Silence::new(job.node.now(), MAX_SILENCE);
    let source = EventReader::new(source, &job.call, last_id);
    let mut forwarder = StreamForwarder {
        job,
        source: Some(source),
        last_id,
        has_started: false,
        is_single_source,
        is_origin_stored: false,
        times: StreamTimes::default(),
        silence,
        replacement: None,
        source_name,
    };
    // A head without events would be taken back if none follow: its caller would have neither an answer nor a refusal.
    let Ok(first) = forwarder.next().await else {
        let is_over = forwarder.job.time_left().is_zero();
        return forwarder.job.local_response(&if is_over {
            SearchOutcome::TimedOut
        } else {
            SearchOutcome::MayHaveRun("the target's stream broke off before its first event")
        });
    };
    let mut served = forwarder
        .job
        .forward_response(parts, full_body(Bytes::new()));
    let state = (first, Some(forwarder));
    let frames = unfold(state, |(first, forwarder)| async move {
        if let Some(events) = first {
            return Some((Ok(Frame::data(events)), (None, forwarder)));
        }
        let mut forwarder = forwarder?;
        match forwarder.next().await {
            Ok(Some(events)) => Some((Ok(Frame::data(events)), (None, Some(forwarder)))),
            Ok(None) => None,
            Err(err) => Some((Err(err), (None, None))),
        }
    });
    *served.res.body_mut() = StreamBody::new(frames).boxed_unsync();
    served
}

impl<E: Edge> StreamForwarder<E> {
    /// Returns the next events, or `None` at the end of the stream.
    async fn next(&mut self) -> io::Result<Option<Bytes>> {
        self.times.record_asked(self.job.node.now());
        self.silence = self.new_silence();
        loop {
            let failure = match self.next_received().await {
                Ok(Received::Events(_)) if !self.is_of_version() => {
                    StreamFailure::Unusable("the target runs another software version")
                }
                Ok(Received::Events(events)) => {
                    self.record_events();
                    return Ok(Some(events));
                }
                Ok(Received::Invalid) => StreamFailure::Unusable(NO_EVENTS),
                Ok(Received::Broken) => StreamFailure::Interrupted(CONNECTION_BROKE),
                Ok(Received::End) if self.is_mid_event() => {
                    StreamFailure::Interrupted("the stream ended in the middle of an event")
                }
                Ok(Received::End) if !self.has_started => {
                    StreamFailure::Interrupted("the stream ended before its first event")
                }
                Ok(Received::End) if !self.is_end_confirmed().await => {
                    StreamFailure::Interrupted("the connection and the target ended")
                }
                Ok(Received::End) => {
                    if let Some(reader) = self.source.take() {
                        reader.source.finish();
                        self.job.record_served();
                    }
                    return Ok(None);
                }
                Err(failure) => failure,
            };
            self.resume(failure).await?;
        }
    }

    fn is_mid_event(&self) -> bool {
        self.source.as_ref().is_some_and(EventReader::is_mid_event)
    }

    /// Whether the present source has the software version that began the stream. The first source sets it.
    fn is_of_version(&mut self) -> bool {
        let Some(EventReader { source, .. }) = &self.source else {
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

    async fn is_end_confirmed(&mut self) -> bool {
        match &mut self.source {
            Some(reader) => reader.source.confirms_end().await,
            None => true,
        }
    }

    /// Records the events that were read. The replicas are told where the stream began before its caller gets one.
    fn record_events(&mut self) {
        if !std::mem::replace(&mut self.is_origin_stored, true) {
            self.job.store_origin();
        }
        let is_first = !std::mem::replace(&mut self.has_started, true);
        let before = self.last_id;
        if let Some(reader) = &mut self.source {
            self.last_id = reader.last_id();
            reader.source.record_arrival();
            if is_first {
                reader.source.record_first_event();
            }
        }
        let numbers = before.zip(self.last_id);
        let events = numbers.map_or(1, |(before, last)| last.saturating_sub(before).max(1));
        let Some(gap) = self.times.record_events(events, self.job.node.now()) else {
            return;
        };
        if let Some(Source::Target(source)) = self.source.as_ref().map(|reader| &reader.source) {
            let target_gap = self.job.ticket.route().target_gap;
            source.in_flight.record_events(gap, target_gap);
        }
    }

    /// Starts when the caller asks for events, and when some arrive.
    fn new_silence(&self) -> Silence {
        let route = self.job.ticket.route();
        let gap = route.target_gap.unwrap_or(route.target_latency) * GAP_FACTOR;
        let first = route.target_latency * FIRST_EVENT_FACTOR;
        let max_silence = if self.has_started {
            gap
        } else {
            gap.max(first)
        };
        Silence::new(self.job.node.now(), max_silence.max(MAX_SILENCE))
    }

    /// Reads on. While no event comes, another target is looked for; the first of the two that sends one is the source
    /// from then on.
    async fn next_received(&mut self) -> Result<Received, StreamFailure> {
        loop {
            let now = self.job.node.now();
            let time_left = self.job.time_left();
            if time_left.is_zero() {
                return Err(StreamFailure::TimedOut);
            }
            let Some(news) = self.source.as_ref().map(|reader| reader.source.news()) else {
                return Err(StreamFailure::Unusable("no target"));
            };
            let action = self.silence.next(news, self.job.may_retry(), now);
            let received = match action {
                SilenceAction::WaitUntil(until) => {
                    self.read_for(until.since(now).min(time_left)).await
                }
                SilenceAction::Search => self.search_besides().await,
            };
            if let Some(received) = received {
                self.record_silence_ended(silence_end(&received));
                if let Received::Events(_) = received {
                    self.silence = self.new_silence();
                }
                return Ok(received);
            }
        }
    }

    /// Returns what the source sends within `span`.
    async fn read_for(&mut self, span: Duration) -> Option<Received> {
        let source = self.source.as_mut()?;
        tokio::time::timeout(span, source.next()).await.ok()
    }

    /// Looks for another target while the source is silent, and makes it the source if it responds first. Returns what
    /// comes from the present source before that.
    async fn search_besides(&mut self) -> Option<Received> {
        let began = self.job.node.now();
        self.prepare_search();
        let EventReader { source, .. } = self.source.as_ref()?;
        let is_first = !self.silence.was_searched();
        if is_first {
            source.record_silence(self.silence.since());
            let silent = began.since(self.silence.since());
            self.job.log_silence(&self.source_name, SILENT, silent);
        }
        self.silence.record_search(began);
        let ended = EndedSource {
            names: source.names(),
            cause: SILENT,
        };
        let broken_run = BrokenRun::new(&self.job);
        let found = {
            let mut open = OpenAttempts::default();
            let mut finding = pin!(self.job.find_response(Reach::Heard, &mut open));
            let reader = self.source.as_mut()?;
            tokio::select! {
                biased;
                found = finding.as_mut() => found,
                received = reader.next() => {
                    if let Some(failure) = failure_of(&received) {
                        // The search goes on: an attempt that it has sent may be the one that answers.
                        let source = self.source.take();
                        let (found, ()) = tokio::join!(finding, broken_run.end(source, failure));
                        let cause = failure.reason();
                        self.replacement = Some((EndedSource { cause, ..ended }, found));
                    }
                    return Some(received);
                }
            }
        };
        let reason = found.reason();
        if let Some(next) = source_of(found).filter(|next| self.continues(next)) {
            return self.first_of(self.reader(next), ended).await;
        }
        let now = self.job.node.now();
        if is_first {
            self.job.log_not_replaced(reason, now.since(began));
        }
        self.silence.record_search(now);
        None
    }

    /// Returns a reader of the events that the caller does not have.
    fn reader(&self, source: Source<E>) -> EventReader<E> {
        EventReader::new(source, &self.job.call, self.last_id)
    }

    /// Makes `next` the source if it sends an event before the present one does. Returns what comes first.
    async fn first_of(&mut self, mut next: EventReader<E>, ended: EndedSource) -> Option<Received> {
        let present = self.source.as_mut()?;
        let (received, is_next) = tokio::select! {
            biased;
            received = next.next() => (received, true),
            received = present.next() => (received, false),
            () = tokio::time::sleep(self.job.time_left()) => return None,
        };
        match (&received, is_next) {
            (Received::Events(_), true) => {
                self.record_silence_ended("replaced");
                self.go_on_at(next, &ended);
                Some(received)
            }
            (Received::Invalid | Received::Broken | Received::End, true) => {
                next.source.record_failure();
                self.silence.record_search(self.job.node.now());
                None
            }
            (Received::Events(_) | Received::End, false) => Some(received),
            (Received::Invalid | Received::Broken, false) => {
                let failure = failure_of(&received)?;
                let source = self.source.take();
                BrokenRun::new(&self.job).end(source, failure).await;
                let cause = failure.reason();
                self.go_on_at(next, &EndedSource { cause, ..ended });
                None
            }
        }
    }

    /// Counts a silence in which another target was looked for.
    fn record_silence_ended(&self, end: &'static str) {
        if self.silence.was_searched() {
            let silent = self.job.node.now().since(self.silence.since());
            self.job.node.metrics.streams.silence_ended(end, silent);
        }
    }

    /// Prepares the request to go on after the last event that the caller has, at another target.
    fn prepare_search(&mut self) {
        Arc::make_mut(&mut self.job.call).resume_after = self.last_id;
        self.job.retry_cause = RetryCause::Resumed;
        if !self.has_started && self.is_single_source {
            self.job.ticket.software = None;
        }
        let source = self.source.as_ref().map(|reader| &reader.source);
        let target = source.and_then(Source::target).cloned();
        if let Some(target) = target {
            self.job.exclude(target);
        }
    }

    /// Whether the events of a source are of the software version that began the stream.
    fn continues(&self, next: &Source<E>) -> bool {
        let software = self.job.ticket.software.as_ref();
        software.is_none() || next.has_version(software)
    }

    /// Goes on at another target or peer. The connection of the present one is closed, so that it stops.
    fn go_on_at(&mut self, next: EventReader<E>, ended: &EndedSource) {
        let [target, software] = &ended.names;
        let [next_target, next_software] = next.source.names();
        let last_event = self.last_event();
        event(
            LogEvent::StreamResumed,
            &[
                ("request", &self.job.call.id),
                ("target", target),
                ("software", software),
                ("cause", ended.cause),
                ("last_event", &last_event),
                ("next", &next_target),
                ("next_software", &next_software),
            ],
        );
        if self.has_started {
            self.is_single_source = false;
        }
        self.times.record_resumed();
        self.source_name = next_target;
        self.source = Some(next);
        self.silence = self.new_silence();
    }

    fn last_event(&self) -> String {
        self.last_id
            .map_or_else(|| "none".into(), |id| id.to_string())
    }

    /// Ends the source, which failed, and prepares a search for another one.
    async fn end_source(&mut self, failure: StreamFailure) -> EndedSource {
        self.prepare_search();
        let source = self.source.take();
        let ended = EndedSource {
            names: source
                .as_ref()
                .map(|reader| reader.source.names())
                .unwrap_or_default(),
            cause: failure.reason(),
        };
        BrokenRun::new(&self.job).end(source, failure).await;
        ended
    }

    /// Resumes the stream at another target after the last event that the caller has received.
    async fn resume(&mut self, failure: StreamFailure) -> io::Result<()> {
        let silent_ms = self.silent_ms();
        let (ended, found) = match self.replacement.take() {
            Some((ended, found)) => (ended, Some(found)),
            None => (self.end_source(failure).await, None),
        };
        if let Some(next) = found
            .and_then(source_of)
            .filter(|next| self.continues(next))
        {
            self.go_on_at(self.reader(next), &ended);
            return Ok(());
        }
        if !self.job.may_retry() {
            return Err(self.break_off(&ended, &silent_ms, SearchReport::not_made()));
        }
        let began = self.job.node.now();
        let mut open = OpenAttempts::default();
        let found = self.job.find_response(Reach::All, &mut open).await;
        let search = SearchReport {
            reason: found.reason(),
            took: self.job.node.now().since(began),
        };
        let Some(next) = source_of(found) else {
            return Err(self.break_off(&ended, &silent_ms, search));
        };
        self.go_on_at(self.reader(next), &ended);
        Ok(())
    }
}

impl<E: Edge> StreamForwarder<E> {
    /// Returns the milliseconds since the last event; empty before the first one.
    fn silent_ms(&self) -> String {
        let silence = self.times.silence(self.job.node.now());
        silence.map_or_else(String::new, |silence| silence.as_millis().to_string())
    }

    /// Reports that the caller's answer ends in the middle.
    fn break_off(&self, ended: &EndedSource, silent_ms: &str, search: SearchReport) -> io::Error {
        let route = &self.job.ticket.route().name;
        let metrics = &self.job.node.metrics.streams;
        metrics.broken_off(route, ended.cause, search.reason);
        let [target, software] = &ended.names;
        let last_event = self.last_event();
        let search_ms = search.took.as_millis().to_string();
        event(
            LogEvent::StreamBroken,
            &[
                ("request", &self.job.call.id),
                ("target", target),
                ("software", software),
                ("cause", ended.cause),
                ("last_event", &last_event),
                ("silent_ms", silent_ms),
                ("search", search.reason),
                ("search_ms", &search_ms),
            ],
        );
        io::Error::other(ended.cause)
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
