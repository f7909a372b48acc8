//! The parts of callers' requests that the decision cores need.

use serde::{Deserialize, Serialize};

use crate::{AdapterId, AdapterVersion, IdempotencyKey, KeyDigest, ServiceId, Tokens};

/// A caller's request without its body.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallerRequest {
    /// Digest of the key sent with the request.
    pub key: KeyDigest,
    /// The work requested.
    pub work: CallerWork,
}

/// The work that a request asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallerWork {
    /// A generation by an adapter.
    Generate {
        /// The adapter.
        adapter: AdapterId,
        /// The requested version; `None` for the catalogue's current one.
        version: Option<AdapterVersion>,
        /// Estimated prompt length, in tokens.
        prompt: Tokens,
        /// Maximum response length; `None` for the maximum of the adapter.
        max_answer: Option<Tokens>,
        /// Hash of the start of the prompt, for prefix-cache affinity.
        prefix: u64,
    },
    /// A call to a plain service.
    Call(ServiceCall),
}

/// A call to a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceCall {
    /// The service.
    pub service: ServiceId,
    /// Whether the call may be repeated; true for reads only.
    pub idempotent: bool,
    /// Idempotency key of a call that may not be repeated.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Hash of method, path and body; distinguishes a retry from another call with the same key.
    pub fingerprint: u64,
}

/// The end of a dispatched request, as observed by the shell.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Finish {
    /// The complete response was delivered.
    Complete {
        /// Number of tokens generated; zero for a service.
        answer: Tokens,
        /// The response to store for retries; only for a call that may not be repeated.
        stored: Option<StoredResponse>,
    },
    /// Nothing was sent, because the request may no longer be sent.
    NotSent,
    /// The target refused the connection before a byte was written, so the request did not run.
    Unreachable,
    /// The target rejected the request before running it.
    Rejected {
        /// Whether the target is shutting down.
        leaving: bool,
    },
    /// The adapter is not resident at the target, or only in another version.
    WrongAdapter,
    /// The response was interrupted.
    Interrupted {
        /// Number of tokens delivered before the interruption.
        delivered: Tokens,
    },
    /// The caller disconnected.
    CallerGone {
        /// Number of tokens delivered before the disconnect.
        delivered: Tokens,
    },
}

/// A service's response, stored so that a retry gets the same one.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct StoredResponse {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `Content-Type` header.
    pub content_type: Box<str>,
    /// The body; `None` if it was too large to store.
    pub body: Option<Box<str>>,
}
