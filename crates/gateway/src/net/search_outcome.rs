//! Outcome of the search for a target that responds, and what a caller is told of it.

use std::time::Duration;

use crate::decide::quarantine::Suspect;
use crate::edge::Edge;

use super::peer_exchange::PeerResponse;
use super::target_response::{CollectedResponse, TargetResponse};

/// Message for a request that is rejected because it would wait in a queue for too long.
pub(super) const TOO_LATE: &str = "engines would begin it too late: try again";
/// Message for a request that no known target can run.
pub(super) const NO_TARGET: &str = "no target can run it: try again";
/// Message for a request that continues a stream of a software version without targets.
pub(super) const VERSION_GONE: &str =
    "no target has the software version that began the stream: begin a new one";
/// Message for a request that continues a stream of unknown software version.
pub(super) const ORIGIN_UNKNOWN: &str =
    "the software version that began the stream is not known: try again, or begin a new one";
/// Message for a request that is rejected because all targets are cold.
pub(super) const ALL_COLD: &str = "all targets have just started: try again";
/// Message for a request that may not be sent again because the budget for retries is used up.
pub(super) const NO_RETRY_BUDGET: &str = "the budget for repeats is used up";
/// Message for a forwarded request whose targets can't be reached from here either.
pub(super) const NO_PATH: &str = "no target can be reached from here: use another instance";
/// Message for a request that is rejected because all targets have asked for rest.
pub(super) const ALL_RESTING: &str = "all targets have asked for rest: try again";
/// Message for a request that is rejected because all targets are full.
pub(super) const ALL_FULL: &str = "all targets are full";
/// Message for a request that is rejected because its adapter was not loaded in time.
pub(super) const NOT_LOADED: &str = "its adapter could not be loaded in time";
/// Message for a request that has no response within its time.
const TIMED_OUT: &str = "no answer in time";
/// Why a search failed whose target answered with an error.
const UNUSABLE_RESPONSE: &str = "the target answered with an error";
/// Message for a request whose workspace spends far more than its share.
pub(super) const BEYOND_SHARE: &str =
    "workspace beyond its fair share while targets are short of room: try again later";

/// Message for a request under which targets crash. The request has run, so the response has no `Retry-After`.
const QUARANTINED: &str =
    "targets ended each time this request ran: change it, or ask an operator to let it through";

/// The same for a request with a part in its prompt under which targets crash.
const PART_QUARANTINED: &str = "targets ended each time they ran a part of its prompt: leave that part out, or ask an operator to let it through";

/// Outcome of the search for a target that responds.
#[derive(Debug)]
pub(super) enum SearchOutcome<E: Edge> {
    /// A target responded with a stream.
    Response(Box<TargetResponse<E>>),
    /// A target responded with something else.
    Collected(Box<CollectedResponse<E>>),
    /// A peer to which it was forwarded responded.
    PeerResponse(Box<PeerResponse<E>>),
    /// The request has not run: it was forwarded to this instance, which can't reach its targets either.
    NoPath,
    /// The request has not run and will not run.
    NotRun(&'static str),
    /// The request has not run: no target is known that could run it.
    NoTarget,
    /// The request has not run: it continues a stream, and it is not known at which software version that began.
    OriginUnknown,
    /// The request has not run: no target of the software version that began its stream may get requests.
    VersionGone,
    /// The request has not run: every engine that could run it would start it too late, by this duration.
    QueueTooLong(Duration),
    /// The request has not run: every target that could run it is cold for this long.
    Cold(Duration),
    /// The request has not run: every target that could run it has asked for rest, the first for this long.
    Resting(Duration),
    /// The request has not run: its workspace is far beyond its share, which is back after this time.
    BeyondShare(Duration),
    /// The request may have run.
    MayHaveRun(&'static str),
    /// The request, or a part of its prompt, is quarantined because targets crash under it; it is not sent any more.
    Quarantined(Suspect),
    /// The request timed out; it may have run.
    TimedOut,
}

impl<E: Edge> SearchOutcome<E> {
    /// Whether other attempts are not awaited any more: there is a response that is no failure, or the request must
    /// not go on.
    pub(super) fn is_final(&self) -> bool {
        match self {
            Self::Collected(response) => {
                !response.body.is_whole() || !response.parts.status.is_server_error()
            }
            Self::PeerResponse(response) => response.is_answered(),
            Self::Response(_) | Self::Quarantined(_) | Self::TimedOut => true,
            _ => false,
        }
    }

    /// Returns the outcome if it is a response, which is forwarded if no other attempt has a better one.
    pub(super) fn into_fallback(self) -> Option<Self> {
        matches!(self, Self::Collected(_) | Self::PeerResponse(_)).then_some(self)
    }

    /// Says why the search ended without a response, for the caller and the log.
    pub(super) fn reason(&self) -> &'static str {
        match self {
            Self::NotRun(why) | Self::MayHaveRun(why) => why,
            Self::NoTarget => NO_TARGET,
            Self::OriginUnknown => ORIGIN_UNKNOWN,
            Self::VersionGone => VERSION_GONE,
            Self::QueueTooLong(_) => TOO_LATE,
            Self::Cold(_) => ALL_COLD,
            Self::Resting(_) => ALL_RESTING,
            Self::BeyondShare(_) => BEYOND_SHARE,
            Self::NoPath => NO_PATH,
            Self::Quarantined(Suspect::Request(_)) => QUARANTINED,
            Self::Quarantined(Suspect::Part(_)) => PART_QUARANTINED,
            Self::TimedOut => TIMED_OUT,
            Self::Response(_) | Self::Collected(_) | Self::PeerResponse(_) => UNUSABLE_RESPONSE,
        }
    }
}
