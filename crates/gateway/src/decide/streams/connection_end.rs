//! Decides when an instance closes a connection that it has accepted.
//!
//! What it decides is carried out only once nothing that the caller has sent lies unread.

use std::time::Duration;

/// Longest interval between two decisions: the limits may change meanwhile.
pub const CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// How long a connection whose caller does not know that it closes stays open once the instance closes: a request
/// may be in transit and gets a response that says it was not run.
const IN_TRANSIT_GRACE: Duration = Duration::from_millis(500);

/// What a connection does at the moment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Use {
    /// A request is served or answered.
    Request,
    /// The body of a request is received, and nothing much came for this long.
    Receiving(Duration),
    /// The last response was sent, and what the caller still sends is dropped; nothing much came for this long.
    Ending(Duration),
    /// The first bytes of a request arrived this long ago, and its head is not complete.
    PartialHead(Duration),
    /// Nothing for this long: since the last response ended, or since the connection was accepted.
    Idle(Duration),
}

/// State of a connection.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionState {
    /// What it does now.
    pub now: Use,
    /// The idle timeout in force, or that of the last response if it was longer: a caller can't know a shorter one yet.
    pub idle_timeout: Duration,
    /// Max time to receive a request head.
    pub header_timeout: Duration,
    /// For how long the instance has been closing its connections, if it does.
    pub closing_for: Option<Duration>,
    /// Whether the last response said that the connection closes.
    pub is_close_told: bool,
}

/// What to do about a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextStep {
    /// Keep it, and decide again after this time.
    Keep(Duration),
    /// Close it as soon as nothing lies unread and no request is open.
    CloseOnceRead,
    /// Close it now: its caller does not complete a request head.
    Cut,
}

/// Decides about a connection.
#[must_use]
pub fn next_step(state: ConnectionState) -> NextStep {
    match (state.now, state.closing_for) {
        (Use::Request | Use::Receiving(_) | Use::Ending(_), Some(_)) => {
            NextStep::Keep(IN_TRANSIT_GRACE)
        }
        (Use::Request | Use::Receiving(_) | Use::Ending(_), None) => NextStep::Keep(CHECK_INTERVAL),
        (Use::PartialHead(age), _) => keep_until(state.header_timeout, age, NextStep::Cut),
        (Use::Idle(_), Some(_)) if state.is_close_told => NextStep::CloseOnceRead,
        (Use::Idle(age), Some(closing_for)) => {
            let age = age.min(closing_for);
            keep_until(IN_TRANSIT_GRACE, age, NextStep::CloseOnceRead)
        }
        (Use::Idle(age), None) => keep_until(state.idle_timeout, age, NextStep::CloseOnceRead),
    }
}

/// Keeps the connection until its state is `limit` old.
fn keep_until(limit: Duration, age: Duration, after: NextStep) -> NextStep {
    let left = limit.saturating_sub(age);
    if left.is_zero() {
        return after;
    }
    NextStep::Keep(left.min(CHECK_INTERVAL))
}
