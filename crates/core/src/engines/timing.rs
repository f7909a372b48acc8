//! Time bounds and intervals of the protocols between owners, instances and engines.

use std::time::Duration;

/// Time after which a request, grant or permit end without a response is sent again, or to another
/// group.
pub(super) const RESPONSE_TIMEOUT: Duration = Duration::from_millis(300);

/// Interval at which a queued request is sent again, to detect an owner that lost it or stopped.
pub(super) const QUEUE_REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which an owner removes a queued request that was not sent again, as its instance is
/// gone.
pub(super) const QUEUED_REQUEST_TTL: Duration = Duration::from_secs(4);

/// Time after its last request for which an instance is sent a group's status.
pub(super) const STATUS_SUBSCRIPTION_TTL: Duration = Duration::from_secs(10);

/// Minimum time between two status updates of a group.
pub(super) const MIN_STATUS_INTERVAL: Duration = Duration::from_millis(250);

/// Assumed upper bound of the time that an order or a request takes to arrive at an engine.
pub(super) const MAX_DELIVERY_DELAY: Duration = Duration::from_secs(1);

/// Assumed upper bound of the age of an engine's report when the engine sends it.
pub(super) const MAX_REPORT_AGE: Duration = Duration::from_secs(1);

/// Time within which a load permit must be used, counted from the demand that it answers.
pub(super) const LOAD_PERMIT_TTL: Duration = Duration::from_secs(1);

/// Interval at which a group repeats its load demand while it has one.
pub(super) const DEMAND_REFRESH_INTERVAL: Duration = Duration::from_millis(400);

/// Time after which the weight store's owner removes a demand or a load in flight that was not
/// repeated.
pub(super) const DEMAND_TTL: Duration = Duration::from_secs(2);

/// Minimum time between the load of an adapter and its eviction, to avoid thrashing.
pub(super) const MIN_RESIDENCE: Duration = Duration::from_secs(1);

/// Time without loads on an engine after a failed load. The adapter is not loaded there again for
/// eight times as long.
pub(super) const LOAD_BACKOFF: Duration = Duration::from_millis(500);

/// Factor by which the report interval is longer for the engines of an idle group.
pub(super) const IDLE_REPORT_FACTOR: u32 = 10;

/// Time after the last request or permit end after which a group counts as idle.
pub(super) const IDLE_THRESHOLD: Duration = Duration::from_secs(10);

/// Time for which no adapter is evicted for a request whose first choice of group is unreachable.
/// By then that group has a new owner if it can get one.
pub(super) const FALLBACK_EVICTION_DELAY: Duration = Duration::from_secs(5);

/// Interval at which a status update lists all adapters of a group instead of only the changes.
pub(super) const FULL_STATUS_INTERVAL: Duration = Duration::from_secs(5);
