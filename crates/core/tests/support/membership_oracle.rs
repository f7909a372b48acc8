//! The oracle: no key has two acting homes.

use bluebellstage_core::InstanceId;

use super::membership_world::World;

impl World {
    /// The oracle: no key has two acting homes at this moment.
    pub fn check(&mut self) {
        self.note_homes();
        let acting = self.acting();
        let doubled = acting.iter().position(|homes| homes.len() > 1);
        let Some(index) = doubled.filter(|_| self.violation.is_none()) else {
            return;
        };
        let (key, homes) = (&self.keys[index], &acting[index]);
        let violation = format!("two homes of {key} act: {homes:?}\n{}", self.describe());
        assert!(!self.is_strict, "{violation}");
        self.violation = Some(violation);
    }

    /// Looks at each moment before `until` at which a home may begin to act by time alone.
    pub fn check_starts(&mut self, until: u64) {
        let mut starts: Vec<_> = self
            .nodes
            .iter()
            .filter_map(|node| {
                let own = node.life.as_ref()?.membership.ownership();
                Some(node.clock.world_time(own.past_retired_at?))
            })
            .filter(|at| *at > self.now && *at < until)
            .collect();
        starts.sort_unstable();
        for at in starts {
            self.now = at;
            self.check();
        }
    }

    fn note_homes(&mut self) {
        for node in &self.nodes {
            let Some(life) = &node.life else { continue };
            let map = &life.membership.ownership().map;
            self.homes.entry(map.revision).or_insert_with(|| {
                self.keys
                    .iter()
                    .map(|key| map.owner(key).cloned())
                    .collect()
            });
        }
    }

    /// Who acts as home of each key right now.
    pub fn acting(&self) -> Vec<Vec<InstanceId>> {
        let mut acting = vec![Vec::new(); self.keys.len()];
        for node in &self.nodes {
            let Some(life) = &node.life else { continue };
            let own = life.membership.ownership();
            let local = node.clock.read(self.now);
            let Some(homes) = self.homes.get(&own.revision()) else {
                continue;
            };
            let leased_until = life.leased_until;
            for (index, home) in homes.iter().enumerate() {
                let is_home = home.as_ref() == Some(&node.id);
                if is_home && (self.rule)(own, local, leased_until, &self.keys[index]) {
                    acting[index].push(node.id.clone());
                }
            }
        }
        acting
    }
}
