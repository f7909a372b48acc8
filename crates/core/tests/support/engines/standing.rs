//! What happens to the nodes of a world, and their part in the map.

use bluebellstage_core::{InstanceId, MemberState};

use super::world::{Event, World};

/// Silence after which peers drop a node.
const SUSPECT_US: u64 = 1_600_000;

impl World {
    /// The node stops for good; its peers drop it from the map after a while.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].alive = false;
        self.drop_later(node);
    }

    /// The node stands still for a while; its peers drop it if that is long.
    pub fn freeze(&mut self, node: usize, span_us: u64) {
        self.nodes[node].frozen_until = self.now + span_us;
        if span_us >= SUSPECT_US {
            self.drop_later(node);
        }
    }

    /// The node reaches nobody for a while; its peers drop it if that is long.
    pub fn cut(&mut self, node: usize, span_us: u64) {
        self.nodes[node].cut_until = self.now + span_us;
        if span_us >= SUSPECT_US {
            self.drop_later(node);
        }
    }

    /// Whether the map lists this life of a node that still lives.
    pub fn is_in_map(&self, node: usize) -> bool {
        let it = &self.nodes[node];
        it.alive && self.platform.has(&it.id, it.life)
    }

    pub fn is_active(&self, node: usize) -> bool {
        let id = &self.nodes[node].id;
        self.is_in_map(node) && self.platform.map.active().any(|it| it == id)
    }

    /// The node's part in the map changes; all adopt that without a takeover.
    pub fn set_state(&mut self, node: usize, state: MemberState) {
        let id = self.nodes[node].id.clone();
        let known = self.platform.map.member(&id);
        if known.is_none_or(|it| it.state == state) {
            return;
        }
        self.platform.change(self.now, |members| {
            for member in members.iter_mut().filter(|it| it.id == id) {
                member.state = state;
            }
        });
        self.announce();
    }

    pub(super) fn drop_later(&mut self, node: usize) {
        let event = Event::Drop {
            id: self.nodes[node].id.clone(),
            life: self.nodes[node].life,
        };
        self.after(SUSPECT_US, event);
    }

    pub(super) fn drop_member(&mut self, id: &InstanceId, life: u64) {
        let node = self.nodes.iter().find(|it| it.id == *id && it.life == life);
        let back = node
            .is_some_and(|it| it.alive && it.frozen_until <= self.now && it.cut_until <= self.now);
        if back || !self.platform.has(id, life) || self.platform.map.members.len() == 1 {
            return;
        }
        self.platform
            .change(self.now, |members| members.retain(|it| it.id != *id));
        self.announce();
    }
}
