//! Until when the start of a waiting request is worth something to its caller.

use std::time::Duration;

use bluebellstage_core::Time;

use crate::decide::config::Route;
use crate::decide::placement::MAX_START_FRACTION;

/// Fraction of the caller's timeout after which a request stops waiting: its caller needs the rest for another try.
const MAX_TIMEOUT_FRACTION: f64 = 0.4;
/// Callers abandon a stream without an event after the longest of this time, of this multiple of the target latency
/// and of this multiple of the target gap.
const MIN_ABANDONMENT: Duration = Duration::from_secs(2);
const ABANDONMENT_LATENCIES: u32 = 4;
const ABANDONMENT_GAPS: u32 = 8;
/// Fraction of the time until a caller abandons a stream for which its request waits.
const MAX_ABANDONMENT_FRACTION: f64 = 0.5;
/// Fraction of a request's useful time after which its rank no longer holds it back.
const MAX_HELD_BACK_FRACTION: f64 = 0.75;

/// Until when the start of a request is worth something.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Patience {
    arrived: Time,
    in_time_until: Time,
    useful_until: Time,
}

impl Patience {
    /// Returns the patience of a caller that waits for `timeout` and whose request arrived at `arrived`.
    #[must_use]
    pub fn of(route: &Route, timeout: Duration, arrived: Time) -> Self {
        let in_time = route.target_latency.mul_f64(MAX_START_FRACTION);
        let useful = timeout.mul_f64(MAX_TIMEOUT_FRACTION);
        let useful = if route.kind.streams() {
            useful.min(abandonment(route).mul_f64(MAX_ABANDONMENT_FRACTION))
        } else {
            useful
        };
        Self {
            arrived,
            in_time_until: arrived + in_time.min(useful),
            useful_until: arrived + useful,
        }
    }

    /// When the request arrived.
    #[must_use]
    pub const fn arrived(&self) -> Time {
        self.arrived
    }

    /// Until when a start is worth something.
    #[must_use]
    pub const fn useful_until(&self) -> Time {
        self.useful_until
    }

    /// Time that is left for a start in time.
    #[must_use]
    pub fn time_left(&self, now: Time) -> Duration {
        self.in_time_until.since(now)
    }

    /// Whether no start can be in time any more.
    #[must_use]
    pub fn is_late(&self, now: Time) -> bool {
        self.time_left(now).is_zero()
    }

    /// Whether the request has waited for so long that its rank no longer holds it back.
    #[must_use]
    pub fn is_aged(&self, now: Time) -> bool {
        let useful = self.useful_until.since(self.arrived);
        now.since(self.arrived) >= useful.mul_f64(MAX_HELD_BACK_FRACTION)
    }
}

fn abandonment(route: &Route) -> Duration {
    let gap = route.target_gap.unwrap_or_default();
    let by_route = (route.target_latency * ABANDONMENT_LATENCIES).max(gap * ABANDONMENT_GAPS);
    by_route.max(MIN_ABANDONMENT)
}
