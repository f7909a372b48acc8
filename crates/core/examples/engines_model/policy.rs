//! The policies that are compared.

use bluebellstage_core::{Grouping, Placement, QueueOrder, Tuning};

use super::deployment::Deployment;

/// Settings of the decision cores with a name.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    pub name: &'static str,
    grouping: Grouping,
    placement: Placement,
    queue: QueueOrder,
}

impl Policy {
    /// Ours at each grouping, then the baselines. A baseline's home sees all engines, which is the
    /// best that a least-loaded choice can be given.
    pub const fn all() -> [Self; 7] {
        use Grouping::{Engine, FailureDomain, Pool};
        use Placement::{Affinity, HashOnly, LeastLoaded, Random};
        use QueueOrder::{Fair, FirstCome};
        [
            Self::new("affinity engine", Engine, Affinity, Fair),
            Self::new("affinity domain", FailureDomain, Affinity, Fair),
            Self::new("affinity pool", Pool, Affinity, Fair),
            Self::new("least loaded, naive", Pool, LeastLoaded, FirstCome),
            Self::new("least loaded, fair", Pool, LeastLoaded, Fair),
            Self::new("random, fair", Pool, Random, Fair),
            Self::new("hash only, fair", Pool, HashOnly, Fair),
        ]
    }

    const fn new(
        name: &'static str,
        grouping: Grouping,
        placement: Placement,
        queue: QueueOrder,
    ) -> Self {
        Self {
            name,
            grouping,
            placement,
            queue,
        }
    }

    pub fn tuning(self, deployment: &Deployment) -> Tuning {
        Tuning {
            grouping: self.grouping,
            placement: self.placement,
            queue: self.queue,
            store_loads_per_second: deployment.loads_per_second,
            ..Tuning::default()
        }
    }
}
