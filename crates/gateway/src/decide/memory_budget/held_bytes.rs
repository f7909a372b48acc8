//! Bytes by kind.

use super::held_kind::HeldKind;

/// Bytes by kind.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct HeldBytes([u64; HeldKind::ALL.len()]);

impl HeldBytes {
    pub(super) const fn of(&self, kind: HeldKind) -> u64 {
        self.0[kind as usize]
    }

    pub(super) fn add(&mut self, kind: HeldKind, bytes: u64) {
        let held = &mut self.0[kind as usize];
        *held = held.saturating_add(bytes);
    }

    pub(super) fn sub(&mut self, kind: HeldKind, bytes: u64) {
        let held = &mut self.0[kind as usize];
        debug_assert!(*held >= bytes, "more {kind:?} bytes given back than held");
        *held = held.saturating_sub(bytes);
    }

    pub(super) fn total(&self) -> u64 {
        self.0.iter().sum()
    }

    /// Returns all bytes but those of connections by themselves.
    pub(super) fn beside_connection(&self) -> u64 {
        self.total() - self.of(HeldKind::Connection)
    }
}
