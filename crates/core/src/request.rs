//! Callers' requests, as far as decisions need them.

use serde::{Deserialize, Serialize};

use crate::{AdapterId, AdapterVersion, IdempotencyKey, KeyDigest, ServiceId, Tokens};

/// A caller's request without its body.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallerRequest {
    /// Digest of the key that came with it.
    pub key: KeyDigest,
    /// What it asks for.
    pub work: CallerWork,
}

/// What a request asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallerWork {
    /// A generation by an adapter.
    Generate {
        /// Which adapter.
        adapter: AdapterId,
        /// The version asked for; none for the catalogue's current one.
        version: Option<AdapterVersion>,
        /// Estimated prompt length.
        prompt: Tokens,
        /// The longest answer it accepts; none for the longest that the adapter gives.
        max_answer: Option<Tokens>,
        /// Hash of the prompt's start, for prefix-cache affinity.
        prefix: u64,
    },
    /// A call to a plain service.
    Call(ServiceCall),
}

/// A call to a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceCall {
    /// Which service.
    pub service: ServiceId,
    /// Reading may be repeated; all else may not.
    pub idempotent: bool,
    /// The caller's name for a call that may not be repeated.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Hash of method, path and body: tells a repeat from another call under the same name.
    pub fingerprint: u64,
}

/// How a dispatched request ended, as the shell saw it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Finish {
    /// The whole answer was delivered.
    Complete {
        /// Tokens generated; zero for a service.
        answer: Tokens,
        /// The answer to keep for repeats; only for a call that may not be repeated.
        stored: Option<StoredResponse>,
    },
    /// Nothing was sent, because it no longer may be.
    NotSent,
    /// The target refused the connection before a byte was written: provably not run.
    Unreachable,
    /// The target refused before running it.
    Rejected {
        /// The target is on its way out.
        leaving: bool,
    },
    /// The target no longer holds the adapter or holds another version.
    WrongAdapter,
    /// The answer broke off; so many tokens had been delivered.
    Interrupted {
        /// Tokens delivered before the break.
        delivered: Tokens,
    },
    /// The caller went away.
    CallerGone {
        /// Tokens delivered before that.
        delivered: Tokens,
    },
}

/// A service's answer, kept so that a repeat gets the same one.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: Box<str>,
    /// Body; none if it was too large to keep.
    pub body: Option<Box<str>>,
}
