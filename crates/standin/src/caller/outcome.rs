//! What became of attempts.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;

use crate::Micros;

/// A piece of work with all its attempts.
#[derive(Clone, Debug)]
pub struct Trace {
    /// When the caller wanted it.
    pub wanted: Micros,
    /// The attempts, in order.
    pub attempts: Vec<Attempt>,
}

/// One attempt.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// When it was sent.
    pub sent: Micros,
    /// To which instance.
    pub address: Option<SocketAddr>,
    /// When its first token came.
    pub first_token: Option<Micros>,
    /// Microseconds between each two tokens.
    pub gaps: Vec<Micros>,
    /// When it ended.
    pub ended: Micros,
    /// The request's name, if the instance said it.
    pub request_id: Option<Box<str>>,
    /// What ran, as the answer says; the last if they differ.
    pub ran: Option<Box<str>>,
    /// More than one adapter or version spoke in the answer.
    pub mixed: bool,
    /// The answer's text.
    pub text: String,
    /// The answer is that of an earlier run.
    pub replayed: bool,
    /// What became of it.
    pub outcome: Outcome,
}

/// What became of an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The whole answer came.
    Answered,
    /// It was refused, also in the middle of an answer.
    Refused(Refused),
    /// It was answered by a status without a refusal: by a service, or wrongly.
    Failed(u16),
    /// The connection broke before the answer was whole.
    Broken,
    /// The caller lost its patience before an answer began, and hung up.
    HungUp,
    /// No connection was made: nothing was sent.
    NotConnected,
    /// Nobody said which instance to use.
    Nowhere,
}

/// A refusal as the caller read it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refused {
    /// Why.
    pub kind: Box<str>,
    /// `no` or `unknown`.
    pub ran: Box<str>,
    /// When asking again may help.
    pub retry_after: Option<Duration>,
    /// The HTTP status; 200 for one that ended a stream.
    pub status: u16,
}

#[derive(Debug, Deserialize)]
struct Envelope {
    error: RefusalBody,
}

#[derive(Debug, Deserialize)]
struct RefusalBody {
    kind: Box<str>,
    ran: Box<str>,
    retry_after_ms: Option<u64>,
}

impl Refused {
    /// Parses a refusal's JSON; none if it is something else.
    #[must_use]
    pub fn parse(status: u16, text: &str) -> Option<Self> {
        let body = serde_json::from_str::<Envelope>(text).ok()?.error;
        Some(Self {
            kind: body.kind,
            ran: body.ran,
            retry_after: body.retry_after_ms.map(Duration::from_millis),
            status,
        })
    }
}

impl Trace {
    pub(super) const fn new(wanted: Micros) -> Self {
        Self {
            wanted,
            attempts: Vec::new(),
        }
    }

    /// The attempt that decided.
    #[must_use]
    pub fn last(&self) -> Option<&Attempt> {
        self.attempts.last()
    }

    /// Whether the whole answer came in the end.
    #[must_use]
    pub fn is_answered(&self) -> bool {
        self.last()
            .is_some_and(|last| last.outcome == Outcome::Answered)
    }
}

impl Attempt {
    pub(super) fn sent(sent: Micros, address: SocketAddr) -> Self {
        let mut attempt = Self::nowhere(sent);
        attempt.address = Some(address);
        attempt.outcome = Outcome::Broken;
        attempt
    }

    pub(super) const fn nowhere(at: Micros) -> Self {
        Self {
            sent: at,
            address: None,
            first_token: None,
            gaps: Vec::new(),
            ended: at,
            request_id: None,
            ran: None,
            mixed: false,
            text: String::new(),
            replayed: false,
            outcome: Outcome::Nowhere,
        }
    }
}
