//! Spans that the protocols between homes, instances and engines rest on.

use std::time::Duration;

/// An ask or end that is not answered within this is sent again, or elsewhere.
pub(super) const ANSWER_WAIT: Duration = Duration::from_millis(300);

/// A queued ask is sent again this often: a home that lost it or stopped acting shows.
pub(super) const ASK_REFRESH: Duration = Duration::from_secs(1);

/// A home forgets an ask that was not sent again for this long: its caller's instance is gone.
pub(super) const ASK_EXPIRY: Duration = Duration::from_secs(4);

/// A home tells its load to instances that asked within this.
pub(super) const STATUS_AUDIENCE: Duration = Duration::from_secs(10);

/// Least time between two unasked statuses of a group.
pub(super) const STATUS_INTERVAL: Duration = Duration::from_millis(250);

/// Assumed bound on how long an order or a request is on its way to an engine.
pub(super) const FLIGHT: Duration = Duration::from_secs(1);

/// Assumed bound on how old an engine's report is when it is given.
pub(super) const REPORT_LAG: Duration = Duration::from_secs(1);

/// A load permit must be used within this, counted from the demand it answers.
pub(super) const LOAD_START: Duration = Duration::from_secs(1);

/// A group repeats its demand this often while it has one.
pub(super) const DEMAND_REFRESH: Duration = Duration::from_millis(400);

/// The weight store's home forgets a demand, or a load in flight, not repeated for this long.
pub(super) const DEMAND_EXPIRY: Duration = Duration::from_secs(2);

/// A slot is not emptied sooner than this after it was filled: no thrashing.
pub(super) const MIN_RESIDENCE: Duration = Duration::from_secs(1);

/// After a failed load the engine gets no other for this long, the adapter not there for eight
/// times as long.
pub(super) const LOAD_BACKOFF: Duration = Duration::from_millis(500);

/// An idle group's engines are asked for reports this many times more rarely.
pub(super) const IDLE_REPORT_FACTOR: u32 = 10;

/// A group counts as idle this long after the last ask or end.
pub(super) const IDLE_AFTER: Duration = Duration::from_secs(10);

/// A request whose first choice can't be reached waits this long before an adapter is evicted for
/// it: by then the first choice has a new home, if it can get one.
pub(super) const STRAY_PATIENCE: Duration = Duration::from_secs(5);

/// Instances that asked lately are told all that a group holds this often, else only what changed.
pub(super) const WHOLE_INTERVAL: Duration = Duration::from_secs(5);
