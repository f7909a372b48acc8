//! Where the events of a stream come from.

use bluebellstage_core::{SoftwareVersion, TargetId, Time};
use hyper::body::Incoming;

use crate::decide::health::TargetOutcome;
use crate::decide::rendezvous::ShortHash;
use crate::decide::silence::SenderNews;
use crate::decide::streams::origins::StreamOrigin;
use crate::decide::tables::Ticket;
use crate::edge::Edge;

use super::peer_exchange::PeerStream;
use super::search_outcome::SearchOutcome;
use super::target_response::TargetStream;

/// The target or peer that sends the events of a stream.
#[derive(Debug)]
pub(super) enum Source<E: Edge> {
    Target(Box<TargetStream<E>>),
    /// A peer to which the request was forwarded.
    Peer(PeerStream<E>),
}

impl<E: Edge> Source<E> {
    pub(super) fn body(&mut self) -> &mut Incoming {
        match self {
            Self::Target(source) => &mut source.body,
            Self::Peer(source) => &mut source.body,
        }
    }

    /// Returns the names of the target or peer and of the target's software version, as far as known.
    pub(super) fn names(&self) -> [String; 2] {
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
    pub(super) fn has_version(&self, software: Option<&SoftwareVersion>) -> bool {
        match self {
            Self::Target(source) => {
                software.is_some_and(|software| source.in_flight.runs(software))
            }
            Self::Peer(source) => source.origin.as_ref().map(|origin| &origin.software) == software,
        }
    }

    /// Returns service and software version of the target that sends the events; `None` if the peer that forwards
    /// them does not report that.
    pub(super) fn origin(&self, ticket: &Ticket) -> Option<StreamOrigin> {
        match self {
            Self::Target(source) => Some(StreamOrigin {
                service: ShortHash::of(ticket.service.as_str()),
                software: source.in_flight.current_software(),
            }),
            Self::Peer(source) => source.origin.clone(),
        }
    }

    /// Returns what is known of the sender besides its silence.
    pub(super) fn news(&self) -> SenderNews {
        match self {
            Self::Target(source) => source.in_flight.news(),
            Self::Peer(source) if source.is_peer_live() => SenderNews::Live,
            Self::Peer(_) => SenderNews::Down,
        }
    }

    /// Records that the sender has been silent since then.
    pub(super) fn record_silence(&self, since: Time) {
        if let Self::Target(source) = self {
            source.in_flight.record_silence(since);
        }
    }

    /// Records that the response broke off.
    pub(super) fn record_failure(&mut self) {
        if let Self::Target(source) = self {
            source.in_flight.record_failure();
        }
    }

    /// The target that sends the events, unless a peer forwards them.
    pub(super) fn target(&self) -> Option<&TargetId> {
        match self {
            Self::Target(source) => Some(&source.in_flight.target),
            Self::Peer(_) => None,
        }
    }

    /// Records that events arrived.
    pub(super) fn record_arrival(&mut self) {
        if let Self::Target(source) = self {
            source.in_flight.record_answer();
        }
    }

    pub(super) fn record_first_event(&mut self) {
        if let Self::Target(source) = self {
            let age = source.in_flight.age();
            source.in_flight.record_outcome(TargetOutcome::Answer(age));
        }
    }

    /// Returns whether the end of the body shows that the stream is complete. A peer's body has chunks.
    pub(super) async fn confirms_end(&mut self) -> bool {
        match self {
            Self::Target(source) => source.confirms_end().await,
            Self::Peer(_) => true,
        }
    }

    pub(super) fn finish(self) {
        match self {
            Self::Target(source) => source.finish(),
            Self::Peer(source) => source.finish(),
        }
    }
}

/// Returns the source of a response that continues a stream.
pub(super) fn source_of<E: Edge>(found: SearchOutcome<E>) -> Option<Source<E>> {
    match found {
        SearchOutcome::Response(response) if response.parts.status.is_success() => {
            Some(Source::Target(Box::new(response.into_stream().1)))
        }
        SearchOutcome::PeerResponse(response) if response.is_successful() => {
            Some(Source::Peer(response.stream))
        }
        _ => None,
    }
}
