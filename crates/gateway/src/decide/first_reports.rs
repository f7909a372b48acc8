//! Which targets a new process asks what they report about themselves before it sends requests.
//!
//! What instances know of brittle targets ends with their processes. If all are killed at once, nobody is left who could
//! tell it, and each would send as many requests as to sound targets.

use std::collections::BTreeMap;

use bluebellstage_core::{ServiceId, Time};

use super::rendezvous::{name_hash, weight};
use super::tables::Tables;
use super::target::Target;

/// Targets of each service that are asked. One that is silent or gone says nothing.
const TARGETS_PER_SERVICE: usize = 3;

impl Tables {
    /// Returns the targets to ask: a few of each service, without those that leave. Two instances usually ask different
    /// ones.
    #[must_use]
    pub fn targets_to_ask_first(&self, now: Time) -> Vec<Target> {
        let key = name_hash(self.local.name.as_str());
        let mut by_service = BTreeMap::<&ServiceId, Vec<&Target>>::new();
        let staying = self.registry.all();
        let staying = staying.filter(|target| !self.is_leaving(target, now));
        for target in staying {
            by_service.entry(&target.service).or_default().push(target);
        }
        let asked = by_service.into_values().flat_map(|mut targets| {
            targets.sort_by_key(|target| weight(key, target.id.as_str()));
            targets.truncate(TARGETS_PER_SERVICE);
            targets
        });
        asked.cloned().collect()
    }
}
