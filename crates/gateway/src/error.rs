//! Errors of this crate; each message names the remedy.

use std::io;
use std::net::SocketAddr;

/// What stops an instance or one of its tasks.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum GatewayError {
    /// An address can't be listened on.
    #[error("can't listen on {address} ({cause}): free the port or name another in the settings")]
    Listen {
        /// The address from the settings.
        address: SocketAddr,
        /// The system's message.
        cause: io::Error,
    },
    /// The settings can't be read, or are wrong.
    #[error("{0}")]
    Settings(Box<str>),
    /// A signal handler can't be set.
    #[error("can't watch for signals ({cause}): run where signals may be handled")]
    Signal {
        /// The system's message.
        cause: io::Error,
    },
    /// A peer's or target's answer doesn't parse.
    #[error("{from} sent {what} that doesn't parse ({cause}): look at its version")]
    Unreadable {
        /// Who sent it.
        from: Box<str>,
        /// What was expected.
        what: &'static str,
        /// The parser's message.
        cause: Box<str>,
    },
    /// An exchange with a peer or target failed.
    #[error("no answer from {address} ({cause}): it is tried again")]
    Exchange {
        /// Whom the call went to.
        address: SocketAddr,
        /// What went wrong.
        cause: Box<str>,
    },
}

/// Why a call to the object store gave no result.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[non_exhaustive]
pub enum StoreError {
    /// The object is at another revision than the caller expected, or there already.
    #[error("the object has changed: read it again, then retry")]
    Conflict,
    /// The object isn't there.
    #[error("no such object: create it first")]
    Missing,
    /// The changes asked for are no longer kept.
    #[error("the history is gone: list again")]
    HistoryGone,
    /// The store refused and did nothing.
    #[error("the store refused with status {0}: try later")]
    Refused(u16),
    /// No answer: a write may have happened or may still happen.
    #[error("no answer from the store ({0}): try later")]
    NoAnswer(Box<str>),
}
