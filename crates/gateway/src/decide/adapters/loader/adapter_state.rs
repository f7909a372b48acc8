//! State that a loader keeps for each adapter on its engine.

use std::time::Duration;

use bluebellstage_core::{AdapterVersion, Time};

/// An adapter that was used within this span isn't evicted: the notice of another request may still
/// be in transit. Notices are sent every 4 ms and may be delayed by 75 ms on an instance that has
/// used up its CPU share.
const RECENT_USE_WINDOW: Duration = Duration::from_millis(150);
/// Age after which a started request without a notice of its end counts as ended: the datagram was
/// lost, or the sending instance died. Few requests last longer.
const LOST_END_TIMEOUT: Duration = Duration::from_secs(15);

/// A load order without a response. The engine may still carry it out when its count of accepted
/// orders equals the expected count.
///
/// Within one incarnation of the engine, such an order can only replace another one that expects
/// the same count. After a restart under the same name the count starts again at zero: the old load
/// then comes in addition to the orders sent since, and if those filled the engine, it crashes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UnansweredLoad {
    pub(super) expected_accepted: u64,
    pub(super) expires_at: Time,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct AdapterUsage {
    pub(super) last_used: Time,
    pub(super) open_count: u32,
}

impl AdapterUsage {
    /// Returns whether requests may be running on the adapter. Unloading it would wait for them to
    /// end and block all other orders meanwhile.
    pub(super) fn is_busy(&self, now: Time) -> bool {
        let open = self.open_count > 0 && now.since(self.last_used) < LOST_END_TIMEOUT;
        open || now.since(self.last_used) < RECENT_USE_WINDOW
    }
}

#[derive(Clone, Copy, Debug)]
pub(super) struct ResidentAdapter {
    pub(super) version: AdapterVersion,
    pub(super) since: Time,
    /// Whether a request found it missing.
    pub(super) reported_missing: bool,
    /// No request is sent to it before this time.
    pub(super) usable_from: Time,
    /// Whether an unload waits for the requests that run on it.
    pub(super) unloading: bool,
    /// Recency rank of the host-memory copy that it is assumed to be loaded from. `None` if it came
    /// from elsewhere, or once the assumption is confirmed or disproved.
    pub(super) assumed_copy_rank: Option<usize>,
}

impl ResidentAdapter {
    pub(super) fn new(version: AdapterVersion, since: Time) -> Self {
        Self {
            version,
            since,
            reported_missing: false,
            usable_from: Time::default(),
            unloading: false,
            assumed_copy_rank: None,
        }
    }
}

#[derive(Clone, Copy, Debug)]
pub(super) struct PendingLoad {
    pub(super) version: Option<AdapterVersion>,
    pub(super) ready_at: Time,
    /// Whether it is loaded from the weight store, which all engines share.
    pub(super) from_store: bool,
}
