//! Links between instances: delays, losses, doubles, cuts.

use std::collections::BTreeSet;

use bluebellstage_core::InstanceId;

/// What the network does to messages.
#[derive(Clone, Debug)]
pub struct Network {
    /// Shortest and longest delay, in microseconds.
    pub delay: (u64, u64),
    /// So many messages in 1,000 are lost.
    pub loss: u32,
    /// So many messages in 1,000 arrive twice.
    pub doubled: u32,
    cuts: BTreeSet<(InstanceId, InstanceId)>,
    off_platform: BTreeSet<InstanceId>,
}

impl Network {
    pub fn new() -> Self {
        Self {
            delay: (200, 2_000),
            loss: 0,
            doubled: 0,
            cuts: BTreeSet::new(),
            off_platform: BTreeSet::new(),
        }
    }

    /// Nothing gets from `from` to `to`; the other way still works.
    pub fn cut(&mut self, from: &InstanceId, to: &InstanceId) {
        self.cuts.insert((from.clone(), to.clone()));
    }

    /// The instance no longer reaches the platform.
    pub fn cut_platform(&mut self, id: &InstanceId) {
        self.off_platform.insert(id.clone());
    }

    pub fn heal(&mut self) {
        self.cuts.clear();
        self.off_platform.clear();
        self.loss = 0;
        self.doubled = 0;
    }

    pub fn passes(&self, from: &InstanceId, to: &InstanceId) -> bool {
        !self.cuts.contains(&(from.clone(), to.clone()))
    }

    pub fn reaches_platform(&self, id: &InstanceId) -> bool {
        !self.off_platform.contains(id)
    }
}
