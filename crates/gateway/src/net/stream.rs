//! Relays a stream of events, and goes on at another target where the route allows it.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use futures::stream::unfold;
use http::Response;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;

use crate::decide::event_stream::{EventSplitter, SplitResult};
use crate::decide::health::TargetOutcome;
use crate::edge::Edge;

use super::attempt::{Answer, CutShort, Source};
use super::front::{Found, Job};
use super::log::{LogEvent, event};
use super::refuse::AnswerBody;

/// Silence of a target, in multiples of the route's longest pause, after which its stream goes on
/// elsewhere. Callers give up after eight.
const SILENCE: u32 = 4;
/// The same in multiples of the target latency, before the first event.
const FIRST_SILENCE: u32 = 3;
/// Least silence that counts.
const LEAST_SILENCE: Duration = Duration::from_millis(900);

#[derive(Debug)]
struct Relay<E: Edge> {
    job: Job<E>,
    source: Option<Source<E>>,
    cutter: EventSplitter,
    began: bool,
}

enum Next {
    Piece(Bytes),
    End,
    Broken(Break),
}

/// Why a target's stream can't go on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Break {
    /// Its connection ended.
    Cut(&'static str),
    /// It is connected and useless.
    Useless(&'static str),
}

impl Break {
    const fn why(self) -> &'static str {
        match self {
            Self::Cut(why) | Self::Useless(why) => why,
        }
    }
}

/// The answer to the caller; its events come as the target makes them.
pub(super) fn relay<E: Edge>(job: Job<E>, answer: Answer<E>) -> Response<AnswerBody> {
    let (parts, source) = answer.into_stream();
    let cutter = EventSplitter::new(job.call.resume_after);
    let mut res = job.pass(&parts, super::refuse::whole(Bytes::new()));
    let relay = Relay {
        job,
        source: Some(source),
        cutter,
        began: false,
    };
    let frames = unfold(Some(relay), |relay| async move {
        let mut relay = relay?;
        match relay.next().await {
            Ok(Some(events)) => Some((Ok(Frame::data(events)), Some(relay))),
            Ok(None) => None,
            Err(err) => Some((Err(err), None)),
        }
    });
    *res.body_mut() = StreamBody::new(frames).boxed_unsync();
    res
}

impl<E: Edge> Relay<E> {
    /// The next events; none at the end.
    async fn next(&mut self) -> io::Result<Option<Bytes>> {
        loop {
            let broken = match self.pull().await {
                Next::Piece(piece) => match self.cutter.push(&piece) {
                    SplitResult::Events(events) if events.is_empty() => continue,
                    SplitResult::Events(events) => {
                        self.note_event();
                        return Ok(Some(events));
                    }
                    SplitResult::Invalid => Break::Useless("events out of order"),
                },
                Next::End if self.cutter.is_mid_event() => {
                    Break::Cut("the stream ended in an event")
                }
                Next::End if !self.began => Break::Cut("the stream ended before its first event"),
                Next::End => {
                    if let Some(source) = self.source.take() {
                        source.finish();
                        self.job.note_served();
                    }
                    return Ok(None);
                }
                Next::Broken(broken) => broken,
            };
            self.go_on(broken).await?;
        }
    }

    fn note_event(&mut self) {
        let first = !std::mem::replace(&mut self.began, true);
        if let Some(source) = &mut self.source
            && first
        {
            let age = source.flight.age();
            source.flight.met(TargetOutcome::Answer(age));
        }
    }

    fn silence(&self) -> Duration {
        let route = self.job.ticket.route();
        let left = self.job.left();
        if !self.job.may_repeat() {
            return left;
        }
        let gap = route.target_gap.unwrap_or(route.target_latency) * SILENCE;
        let first = route.target_latency * FIRST_SILENCE;
        let span = if self.began { gap } else { gap.max(first) };
        span.max(LEAST_SILENCE).min(left)
    }

    async fn pull(&mut self) -> Next {
        let silence = self.silence();
        let Some(source) = &mut self.source else {
            return Next::Broken(Break::Useless("no target"));
        };
        let frame = tokio::time::timeout(silence, source.body.frame()).await;
        match frame {
            Ok(Some(Ok(frame))) => match frame.into_data() {
                Ok(piece) => Next::Piece(piece),
                Err(_trailers) => Next::Piece(Bytes::new()),
            },
            Ok(Some(Err(_cut))) => Next::Broken(Break::Cut("the target broke off")),
            Ok(None) => Next::End,
            Err(_elapsed) => Next::Broken(Break::Useless("the target fell silent")),
        }
    }

    /// Finds another target that goes on after the last event that the caller has.
    async fn go_on(&mut self, broken: Break) -> io::Result<()> {
        let why = broken.why();
        let mut target = String::new();
        if let Some(mut source) = self.source.take() {
            source.flight.failed();
            target = source.flight.target.to_string();
            self.job.tried.push(source.flight.target.clone());
            let (id, ran) = (source.flight.target.clone(), source.flight.ran());
            // Its connection is closed: the target stops before another begins.
            drop(source);
            if let Break::Cut(_) = broken {
                self.job.note_cut(&id, CutShort::broken(ran)).await;
            }
        }
        self.cutter.drop_partial();
        let last = self
            .cutter
            .last_id()
            .map_or("none".into(), |id| id.to_string());
        let id = self.job.call.id.clone();
        let fields = [
            ("request", &*id),
            ("target", &target),
            ("cause", why),
            ("last_event", &last),
        ];
        if !self.job.may_repeat() {
            event(LogEvent::StreamBroken, &fields);
            return Err(io::Error::other(why));
        }
        self.job.call.resume_after = self.cutter.last_id();
        match self.job.find().await {
            Found::Answer(answer) if answer.parts.status.is_success() => {
                event(LogEvent::StreamResumed, &fields);
                self.source = Some(answer.into_stream().1);
                Ok(())
            }
            _ => {
                event(LogEvent::StreamBroken, &fields);
                Err(io::Error::other(why))
            }
        }
    }
}
