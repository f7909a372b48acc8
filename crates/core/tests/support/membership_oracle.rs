//! The test oracle: no key has two acting owners.

use bluebellstage_core::InstanceId;

use super::membership_cluster::Cluster;

impl Cluster {
    /// Checks that no key has two acting owners now.
    pub fn check_single_owner(&mut self) {
        self.record_owners();
        let acting_owners = self.acting_owners();
        let conflict = acting_owners.iter().position(|owners| owners.len() > 1);
        let Some(index) = conflict.filter(|_| self.violation.is_none()) else {
            return;
        };
        let (key, owners) = (&self.keys[index], &acting_owners[index]);
        let violation = format!("two owners of {key} act: {owners:?}\n{}", self.describe());
        assert!(!self.is_strict, "{violation}");
        self.violation = Some(violation);
    }

    /// Checks the owners at each moment before `until` at which an owner may start to act without
    /// any input.
    pub fn check_activations(&mut self, until: u64) {
        let mut starts: Vec<_> = self
            .nodes
            .iter()
            .filter_map(|node| {
                let ownership = node.process.as_ref()?.membership.ownership();
                Some(node.clock.simulation_time_at(ownership.past_retired_at?))
            })
            .filter(|at| *at > self.now && *at < until)
            .collect();
        starts.sort_unstable();
        for at in starts {
            self.now = at;
            self.check_single_owner();
        }
    }

    /// Records the owners under each map revision that an instance knows.
    fn record_owners(&mut self) {
        for node in &self.nodes {
            let Some(process) = &node.process else {
                continue;
            };
            let map = &process.membership.ownership().map;
            self.owners.entry(map.revision).or_insert_with(|| {
                self.keys
                    .iter()
                    .map(|key| map.owner(key).cloned())
                    .collect()
            });
        }
    }

    /// Returns the instances that act as the owner of each key now.
    pub fn acting_owners(&self) -> Vec<Vec<InstanceId>> {
        let mut acting_owners = vec![Vec::new(); self.keys.len()];
        for node in &self.nodes {
            let Some(process) = &node.process else {
                continue;
            };
            let ownership = process.membership.ownership();
            let local = node.clock.read(self.now);
            let Some(owners) = self.owners.get(&ownership.revision()) else {
                continue;
            };
            let platform_lease_until = process.platform_lease_until;
            for (index, owner) in owners.iter().enumerate() {
                let is_owner = owner.as_ref() == Some(&node.id);
                if is_owner
                    && (self.rule)(ownership, local, platform_lease_until, &self.keys[index])
                {
                    acting_owners[index].push(node.id.clone());
                }
            }
        }
        acting_owners
    }
}
