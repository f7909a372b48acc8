//! How long an instance that was told to stop goes on taking requests.

use std::time::Duration;

/// Some callers keep a list of addresses three times as long as they are told.
const KEPT_TIMES: u32 = 3;
/// How much sooner requests are refused. The signal is noticed late on a machine that is short of
/// processor time, and a request taken more than three times the keeping time after it must be
/// finished, which it may not be when the process ends.
const SOONER: Duration = Duration::from_millis(100);
/// Least time for requests that were taken, before the process has to end.
const LEAST_TO_FINISH: Duration = Duration::from_secs(1);

/// Time after the signal from which requests are refused as not run. Callers `keep` addresses for so
/// long, and the process ends `until` after the signal at the latest.
#[must_use]
pub fn refuse_after(keep: Duration, until: Duration) -> Duration {
    let kept = (keep * KEPT_TIMES).saturating_sub(SOONER);
    kept.min(until.saturating_sub(LEAST_TO_FINISH))
}
