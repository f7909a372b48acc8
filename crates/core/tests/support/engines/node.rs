//! One instance: its core, its clock and its view of the map.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use bluebellstage_core::engines::Engines;
use bluebellstage_core::{
    Action, Adoption, Cx, Incarnation, InstanceId, Map, MemberRef, Ownership, Time, Tuning,
};

use super::membership::Platform;

#[derive(Debug)]
pub struct Node {
    pub id: InstanceId,
    pub life: u64,
    pub alive: bool,
    pub frozen_until: u64,
    pub cut_until: u64,
    pub core: Engines,
    pub own: Ownership,
    /// Processor time that its core took.
    pub spent: Duration,
    /// Its clock's reading at the world's start: readings of two nodes are never comparable.
    offset: u64,
}

impl Node {
    pub fn new(id: InstanceId, life: u64, offset: u64, cfg: &Tuning, map: &Map) -> Self {
        let me = MemberRef {
            id: id.clone(),
            incarnation: Incarnation(life),
        };
        Self {
            id,
            life,
            alive: true,
            frozen_until: 0,
            cut_until: 0,
            core: Engines::new(cfg, life),
            own: Ownership {
                local: me,
                map: map.clone(),
                lease_expires_at: Time(0),
                adopted: BTreeSet::new(),
                unresponsive: BTreeSet::new(),
                past_retired_at: None,
            },
            spent: Duration::ZERO,
            offset,
        }
    }

    pub const fn clock(&self, now: u64) -> Time {
        Time(now + self.offset)
    }

    /// Renews what membership would know by now; true if a newer map came in force.
    pub fn observe(&mut self, now: u64, platform: &Platform, adopted: &BTreeSet<Adoption>) -> bool {
        if now < self.cut_until {
            return false;
        }
        let newer = self.own.map.revision < platform.map.revision;
        if newer {
            self.own.map = platform.map.clone();
            let retired = platform.changed_at + platform.span();
            self.own.past_retired_at = Some(self.clock(retired));
        }
        self.own.lease_expires_at = self.clock(now + platform.span() - DRIFT);
        self.own.adopted.clone_from(adopted);
        newer
    }

    pub fn step<T>(
        &mut self,
        now: u64,
        act: impl FnOnce(&mut Engines, &mut Cx<'_>) -> T,
    ) -> (T, Vec<Action>) {
        let mut out = Vec::new();
        let mut cx = Cx {
            now: Time(now + self.offset),
            ownership: &self.own,
            out: &mut out,
        };
        let started = Instant::now();
        let result = act(&mut self.core, &mut cx);
        self.spent += started.elapsed();
        (result, out)
    }
}

/// The drift of `Tuning::default`, in microseconds.
const DRIFT: u64 = 50_000;
