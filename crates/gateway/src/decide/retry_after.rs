//! Decides when a caller should return whose request nothing can run now.

use std::time::Duration;

/// Fraction of a caller's timeout after which it returns at the latest: callers follow a later time only up to
/// this fraction of the time that they have left.
const MAX_TIMEOUT_FRACTION: f64 = 1.0 / 3.0;
/// Longest time after which a caller returns.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(3);
/// Timeout assumed for a caller that names none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(1);
/// Callers that are rejected at the same moment return over the last part of the time, of this fraction.
const SPREAD_FRACTION: f64 = 0.5;

/// Range over which callers return that wait for the same target or share.
const REST_SPREAD: Duration = Duration::from_millis(240);

/// Shortest time after which a caller returns that found no room, and the range over which such callers return.
const MIN_ROOM_DELAY: Duration = Duration::from_millis(80);
const ROOM_SPREAD: Duration = Duration::from_millis(240);

fn latest(timeout: Option<Duration>) -> Duration {
    let timeout = timeout.unwrap_or(DEFAULT_TIMEOUT);
    timeout.mul_f64(MAX_TIMEOUT_FRACTION).min(MAX_RETRY_AFTER)
}

/// Returns the time after which a caller returns when all targets that could run its request rest, the first of
/// them for `left`: soon after that, or as late as the caller can be told. `sample` is a random number from 0
/// to 1.
#[must_use]
pub fn when_targets_rest(left: Duration, timeout: Option<Duration>, sample: f64) -> Duration {
    soon_after(left, timeout, sample)
}

/// Returns the time after which a caller returns whose workspace has its share back after `back_in`: soon after that,
/// or as late as the caller can be told. `sample` is a random number from 0 to 1.
#[must_use]
pub fn when_share_is_back(back_in: Duration, timeout: Option<Duration>, sample: f64) -> Duration {
    soon_after(back_in, timeout, sample)
}

fn soon_after(left: Duration, timeout: Option<Duration>, sample: f64) -> Duration {
    let after = left + REST_SPREAD.mul_f64(sample);
    if after <= latest(timeout) {
        after
    } else {
        when_nothing_can_run(timeout, sample)
    }
}

/// Returns the time after which a caller returns when there is room for its request after `room_in`: soon after that,
/// or as late as the caller can be told. `sample` is a random number from 0 to 1.
#[must_use]
pub fn when_room_comes(room_in: Duration, timeout: Option<Duration>, sample: f64) -> Duration {
    let after = MIN_ROOM_DELAY + ROOM_SPREAD.mul_f64(sample);
    (room_in + after).min(latest(timeout)).max(after)
}

/// Returns the time after which a caller returns when nothing can run its request, and it is not known for how
/// long: as late as the caller can be told, since a late response is worth the same whenever it arrives before
/// the timeout, and most callers return only once. `sample` is a random number from 0 to 1.
#[must_use]
pub fn when_nothing_can_run(timeout: Option<Duration>, sample: f64) -> Duration {
    latest(timeout).mul_f64(1.0 - SPREAD_FRACTION * sample)
}
