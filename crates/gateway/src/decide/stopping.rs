//! How long an instance accepts requests after it was told to stop.

use std::time::Duration;

/// Some callers keep a list of addresses for three times as long as its TTL.
const ADDRESS_TTL_FACTOR: u32 = 3;
/// How much earlier requests are refused. On a machine that is short of processor time the signal is noticed
/// late, and a request accepted more than three times the TTL after the signal may not be finished when the
/// process ends.
const REFUSAL_MARGIN: Duration = Duration::from_millis(100);
/// Minimum time to finish accepted requests before the process has to end.
const MIN_TIME_TO_FINISH: Duration = Duration::from_secs(1);

/// Returns the time after the stop signal from which requests are refused as not run. Callers keep addresses
/// for `address_ttl`, and the process ends `exit_deadline` after the signal at the latest.
#[must_use]
pub fn refuse_after(address_ttl: Duration, exit_deadline: Duration) -> Duration {
    let refusal_delay = (address_ttl * ADDRESS_TTL_FACTOR).saturating_sub(REFUSAL_MARGIN);
    refusal_delay.min(exit_deadline.saturating_sub(MIN_TIME_TO_FINISH))
}
