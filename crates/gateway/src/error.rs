//! Errors of this crate. Each message says what to do.

use std::io;
use std::net::SocketAddr;

/// An error of an instance or of one of its tasks.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum GatewayError {
    /// Listening on an address failed.
    #[error("can't listen on {address} ({cause}): free the port or name another in the settings")]
    Listen {
        /// The address from the settings.
        address: SocketAddr,
        /// The error of the operating system.
        cause: io::Error,
    },
    /// The settings can't be read or are invalid.
    #[error("{0}")]
    Settings(Box<str>),
    /// A signal handler can't be installed.
    #[error("can't watch for signals ({cause}): run where signals may be handled")]
    Signal {
        /// The error of the operating system.
        cause: io::Error,
    },
    /// A response of a peer or target can't be decoded.
    #[error("{from} sent {what} that can't be decoded ({cause}): check its version")]
    Unreadable {
        /// The sender.
        from: Box<str>,
        /// What was expected.
        what: &'static str,
        /// The decoder's error.
        cause: Box<str>,
    },
    /// A response began and could not be read to its end.
    #[error(
        "response of {address} not read to its end ({cause}): the request is changed or retried"
    )]
    Unread {
        /// Address of the request's destination.
        address: SocketAddr,
        /// What went wrong.
        cause: Box<str>,
    },
    /// An exchange with a peer or target failed.
    #[error("no response from {address} ({cause}): the request is retried")]
    Exchange {
        /// Address of the request's destination.
        address: SocketAddr,
        /// What went wrong.
        cause: Box<str>,
    },
}

/// An error of a call to the object store.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[non_exhaustive]
pub enum StoreError {
    /// The object is at another revision than expected, or already exists.
    #[error("the object has changed: read it again, then retry")]
    Conflict,
    /// The object does not exist.
    #[error("no such object: create it first")]
    Missing,
    /// The store no longer keeps the requested changes.
    #[error("the requested changes are no longer kept: list again")]
    HistoryGone,
    /// The store has responded, with more than can be read, or something that can't be.
    #[error("the store's response can't be read ({0}): list in place of a watch")]
    Unread(Box<str>),
    /// The store rejected the call and changed nothing.
    #[error("the store rejected the call with status {0}: try again later")]
    Refused(u16),
    /// No response was received: a write may have happened or may still happen.
    #[error("no response from the store ({0}): try again later")]
    NoResponse(Box<str>),
}
