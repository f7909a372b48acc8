//! What a loader knows of one adapter on its engine.

use std::time::Duration;

use bluebellstage_core::{AdapterVersion, Time};

/// An adapter that was used within this span isn't evicted: the news of another request may be on
/// its way, which goes out every 4 ms and may wait 75 ms for a machine whose processor share is
/// used up.
const BUSY_SPAN: Duration = Duration::from_millis(150);
/// Age at which a request that began and was not reported as ended counts as ended: its datagram
/// was lost, or its instance died. Few requests last longer.
const LOST_END: Duration = Duration::from_secs(15);

/// A load without an answer that may yet be carried out, when the engine's count is as it names.
///
/// Within one life of the engine such an order only takes the place of another one for the same
/// count. After a restart the count begins anew under the same name: the old load comes on top of
/// what was ordered since, and the engine crashes if that filled it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LateLoad {
    pub(super) expected: u64,
    pub(super) until: Time,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Use {
    pub(super) last: Time,
    pub(super) open: u32,
}

impl Use {
    /// Unloading it would wait for its requests and hold up all other orders meanwhile.
    pub(super) fn busy(&self, now: Time) -> bool {
        let open = self.open > 0 && now.since(self.last) < LOST_END;
        open || now.since(self.last) < BUSY_SPAN
    }
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Resident {
    pub(super) version: AdapterVersion,
    pub(super) since: Time,
    /// A request found it missing.
    pub(super) doubted: bool,
    /// No request is sent to it before.
    pub(super) usable_from: Time,
    /// An unload of it waits for the requests that run on it.
    pub(super) leaves: bool,
    /// It was taken to come from a copy in host memory, of this rank; not yet proved.
    pub(super) from_copy: Option<usize>,
}

impl Resident {
    pub(super) fn new(version: AdapterVersion, since: Time) -> Self {
        Self {
            version,
            since,
            doubted: false,
            usable_from: Time::default(),
            leaves: false,
            from_copy: None,
        }
    }
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Coming {
    pub(super) version: Option<AdapterVersion>,
    pub(super) ready: Time,
    /// It comes from the weight store, which all engines share.
    pub(super) from_store: bool,
}
