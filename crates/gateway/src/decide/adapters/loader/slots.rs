//! Adapter slots of an engine.

use bluebellstage_core::Time;
use serde::{Deserialize, Serialize};

use super::Loader;

/// Availability of an engine's adapter slots.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct AdapterSlots {
    /// Empty slots, and those whose adapter is idle.
    pub free: u8,
    /// Requested adapters whose load has not started.
    pub waiting_adapters: u8,
    /// Estimated number of adapters that the engine keeps copies of in host memory.
    pub host_copies: u8,
    /// The engine did not report lately when it was asked: adapters are loaded elsewhere.
    pub is_silent: bool,
}

impl Loader {
    /// Returns how many more adapters can be loaded now, and how many wait for a slot.
    #[must_use]
    pub fn adapter_slots(&self, now: Time) -> AdapterSlots {
        let reserved = self.reserved_slots(self.accepted.unwrap_or(0), now);
        let usable = self.usable_slots(reserved);
        let in_use = self
            .resident
            .keys()
            .filter(|key| self.load_requests.contains_key(*key) || self.is_busy(key, now));
        let free = usable.saturating_sub(in_use.count() + self.pending_loads.len());
        let to_u8 = |count: usize| u8::try_from(count).unwrap_or(u8::MAX);
        AdapterSlots {
            free: to_u8(free),
            waiting_adapters: to_u8(self.waiting_adapters()),
            host_copies: to_u8(self.host_copies),
            is_silent: now < self.silent_until,
        }
    }
}
