//! Adapter slots and the fencing number.

use std::collections::{BTreeMap, BTreeSet};

use super::OrderResult;

/// Adapters in slots, by the name under which they were loaded.
#[derive(Debug)]
pub(super) struct Slots {
    capacity: usize,
    // What is in the slot: the name itself, unless the weights were swapped behind its back.
    resident: BTreeMap<Box<str>, Box<str>>,
    loading: BTreeSet<Box<str>>,
}

/// How an order to load goes on.
#[derive(Debug, Eq, PartialEq)]
pub(super) enum LoadStep {
    Begin,
    Join,
    End(OrderResult),
}

impl Slots {
    pub(super) const fn new(capacity: usize) -> Self {
        Self {
            capacity,
            resident: BTreeMap::new(),
            loading: BTreeSet::new(),
        }
    }

    /// What runs for `adapter`; none if it is in no slot.
    pub(super) fn weights(&self, adapter: &str) -> Option<&str> {
        self.resident.get(adapter).map(|weights| &**weights)
    }

    pub(super) fn names(&self) -> impl Iterator<Item = &str> {
        self.resident.keys().map(|name| &**name)
    }

    pub(super) fn begin_load(&mut self, adapter: &str) -> LoadStep {
        if self.resident.contains_key(adapter) {
            return LoadStep::End(OrderResult::Already);
        }
        if self.loading.contains(adapter) {
            return LoadStep::Join;
        }
        if self.resident.len() + self.loading.len() >= self.capacity {
            return LoadStep::End(OrderResult::NoSlot);
        }
        self.loading.insert(adapter.into());
        LoadStep::Begin
    }

    pub(super) fn end_load(&mut self, adapter: &str, loaded: bool) {
        let was_loading = self.loading.remove(adapter);
        if was_loading && loaded {
            self.resident.insert(adapter.into(), adapter.into());
        }
    }

    pub(super) fn unload(&mut self, adapter: &str) -> bool {
        self.resident.remove(adapter).is_some()
    }

    pub(super) fn swap(&mut self, adapter: &str, weights: &str) {
        if let Some(held) = self.resident.get_mut(adapter) {
            *held = weights.into();
        }
    }

    pub(super) fn clear(&mut self) {
        self.resident.clear();
        self.loading.clear();
    }
}
