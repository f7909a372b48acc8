//! Decides how long a request waits for its adapter.

use std::time::Duration;

/// Interval at which a request that waits for a load repeats its load request, since datagrams get
/// lost.
pub const LOAD_REQUEST_INTERVAL: Duration = Duration::from_millis(60);
/// Maximum time for which a request repeats its load request, as a fraction of the caller's
/// timeout.
const REQUEST_TIME_FRACTION: f64 = 0.4;
/// Maximum time for which a request repeats its load request, regardless of the caller's timeout.
/// Callers abandon a stream after two seconds without an event; a caller that is refused before
/// that retries.
const MAX_REQUEST_TIME: Duration = Duration::from_millis(1_050);
/// Maximum time for which a request repeats its load request while many adapters wait for the
/// weight store, as a fraction of the route's target latency. A load that completes after it serves
/// its request late and delays one that could be in time.
const CONGESTED_REQUEST_TIME_FRACTION: f64 = 0.4;
/// How long a request that no longer repeats its load request waits for a load that may be in
/// progress: the duration of a load at full speed, plus a margin as lease holders learn of each
/// other's loads with a delay. If the request were refused during its load, the adapter would take
/// a slot that nobody uses.
const PENDING_LOAD_WAIT: Duration = Duration::from_millis(350);

/// What a request does while it waits for its adapter.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadWaitAction {
    /// Send a load request, for the first time or again.
    RequestLoad,
    /// Wait for a load that may be in progress.
    Wait,
    /// Refuse the request.
    Refuse,
}

/// Returns what a request does that has `waited` for its adapter and whose caller waits for
/// `caller_timeout`. `is_congested` means that many adapters wait for the weight store.
#[must_use]
pub fn load_wait(
    waited: Duration,
    caller_timeout: Duration,
    target_latency: Duration,
    is_congested: bool,
) -> LoadWaitAction {
    let max_request_time = if is_congested {
        target_latency.mul_f64(CONGESTED_REQUEST_TIME_FRACTION)
    } else {
        MAX_REQUEST_TIME
    };
    let request_time = caller_timeout
        .mul_f64(REQUEST_TIME_FRACTION)
        .min(max_request_time);
    if waited <= request_time {
        LoadWaitAction::RequestLoad
    } else if waited <= request_time + PENDING_LOAD_WAIT {
        LoadWaitAction::Wait
    } else {
        LoadWaitAction::Refuse
    }
}
