//! Bytes of requests at targets. Targets have memory limits of their own, which are not known here.

use std::collections::HashMap;

use bluebellstage_core::TargetId;

/// Bound on the bytes at a target over all instances, before it has shown what it bears.
const FIRST_BOUND: u64 = 16 * 1_024 * 1_024;
/// Least bound, also for a target that broke under fewer bytes: most targets break for other reasons.
const MIN_BOUND: u64 = FIRST_BOUND / 4;
/// Largest bound.
const MAX_BOUND: u64 = 64 * FIRST_BOUND;

/// Bytes at one target.
#[derive(Debug)]
struct AtTarget {
    /// Bytes of this instance's requests.
    bytes: u64,
    /// Bound over all instances.
    bound: u64,
}

/// Bytes of this instance's requests at each target. Each instance keeps within its even part of a bound that grows
/// with what the target has borne.
#[derive(Debug, Default)]
pub struct TargetBytes {
    targets: HashMap<TargetId, AtTarget>,
}

impl TargetBytes {
    /// Counts a request that is sent to a target; `sharing` instances send to it. Returns whether it may be sent: a
    /// target that has none of this instance may always get one.
    pub fn start(&mut self, target: &TargetId, bytes: u64, sharing: usize) -> bool {
        let known = self.targets.entry(target.clone()).or_insert(AtTarget {
            bytes: 0,
            bound: FIRST_BOUND,
        });
        let part = known.bound / as_u64(sharing);
        if known.bytes > 0 && known.bytes + bytes > part {
            return false;
        }
        known.bytes += bytes;
        true
    }

    /// Records that a request has ended.
    pub fn end(&mut self, target: &TargetId, bytes: u64) {
        if let Some(known) = self.targets.get_mut(target) {
            known.bytes = known.bytes.saturating_sub(bytes);
        }
    }

    /// Records that a target answered with all that it holds: it bears that much, and may bear more.
    pub fn record_borne(&mut self, target: &TargetId, sharing: usize) {
        if let Some(known) = self.targets.get_mut(target) {
            let shown = known.bytes.saturating_mul(as_u64(sharing));
            let bound = shown.saturating_mul(2).min(MAX_BOUND);
            known.bound = known.bound.max(bound);
        }
    }

    /// Records that a target broke under all that it held.
    pub fn record_broken(&mut self, target: &TargetId, sharing: usize) {
        if let Some(known) = self.targets.get_mut(target) {
            let held = known.bytes.saturating_mul(as_u64(sharing));
            known.bound = known.bound.min((held / 2).max(MIN_BOUND));
        }
    }

    /// Returns the bytes of this instance's requests at a target.
    #[must_use]
    pub fn at(&self, target: &TargetId) -> u64 {
        self.targets.get(target).map_or(0, |known| known.bytes)
    }

    /// Removes targets that no longer exist.
    pub fn sweep(&mut self, is_present: impl Fn(&TargetId) -> bool) {
        self.targets
            .retain(|target, known| known.bytes > 0 || is_present(target));
    }
}

fn as_u64(count: usize) -> u64 {
    u64::try_from(count).unwrap_or(u64::MAX).max(1)
}
