//! A tiny platform in virtual time: one object, consistent reads, a lagging list.

use std::collections::BTreeSet;

use bluebellstage_core::{
    Expected, ListedInstance, MemberRef, ObjectVersion, PlatformOp, PlatformReply, Versioned,
};

/// How far the list lags, in microseconds.
pub const LIST_LAG: u64 = 1_500_000;

/// The platform's state.
#[derive(Debug, Default)]
pub struct FakePlatform {
    pub object: Option<Versioned>,
    last_version: u64,
    /// Who ran from which time on.
    running: Vec<(u64, BTreeSet<MemberRef>)>,
    /// Calls that took effect.
    pub served: u64,
}

impl FakePlatform {
    /// Carries a call out at `now`.
    pub fn serve(&mut self, now: u64, op: PlatformOp) -> PlatformReply {
        self.served += 1;
        match op {
            PlatformOp::Get { .. } => PlatformReply::Got(self.object.clone()),
            PlatformOp::Put {
                value, expected, ..
            } => self.put(value, expected),
            PlatformOp::ListInstances => PlatformReply::Instances(self.list(now)),
            PlatformOp::ListTargets => PlatformReply::Targets(Vec::new()),
            PlatformOp::Delete { .. } => PlatformReply::Deleted,
        }
    }

    /// Notes that a life starts or ends.
    pub fn note_life(&mut self, now: u64, life: &MemberRef, runs: bool) {
        let mut running = self
            .running
            .last()
            .map(|(_, set)| set.clone())
            .unwrap_or_default();
        if runs {
            running.insert(life.clone());
        } else {
            running.remove(life);
        }
        self.running.push((now, running));
    }

    fn put(&mut self, value: Box<str>, expected: Expected) -> PlatformReply {
        let state = match &self.object {
            None => Expected::Absent,
            Some(object) => Expected::Version(object.version),
        };
        if state != expected {
            return PlatformReply::Conflict;
        }
        self.last_version += 1;
        let version = ObjectVersion(self.last_version);
        self.object = Some(Versioned { value, version });
        PlatformReply::Written(version)
    }

    fn list(&self, now: u64) -> Vec<ListedInstance> {
        let seen = now.saturating_sub(LIST_LAG);
        let shown = self.running.iter().rev().find(|(at, _)| *at <= seen);
        shown.map_or_else(Vec::new, |(_, lives)| {
            lives
                .iter()
                .map(|life| ListedInstance {
                    id: life.id.clone(),
                    incarnation: life.incarnation,
                    leaving: false,
                })
                .collect()
        })
    }
}
