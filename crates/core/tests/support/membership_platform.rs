//! A simulated platform in virtual time: one object, consistent reads and a lagging instance list.

use std::collections::BTreeSet;

use bluebellstage_core::{
    Expected, ListedInstance, MemberRef, ObjectVersion, PlatformOp, PlatformReply, Versioned,
};

/// Lag of the instance list, in microseconds.
pub const LIST_LAG: u64 = 1_500_000;

/// A platform that stores the map object.
#[derive(Debug, Default)]
pub struct FakePlatform {
    pub object: Option<Versioned>,
    last_version: u64,
    /// The running incarnations from each time on.
    running: Vec<(u64, BTreeSet<MemberRef>)>,
    /// Number of calls that were executed.
    pub served: u64,
}

impl FakePlatform {
    /// Executes a call at `now`.
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

    /// Records that an incarnation starts or ends.
    pub fn record_process(&mut self, now: u64, member_ref: &MemberRef, is_running: bool) {
        let mut running = self
            .running
            .last()
            .map(|(_, set)| set.clone())
            .unwrap_or_default();
        if is_running {
            running.insert(member_ref.clone());
        } else {
            running.remove(member_ref);
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
        let shown_at = now.saturating_sub(LIST_LAG);
        let shown = self.running.iter().rev().find(|(at, _)| *at <= shown_at);
        shown.map_or_else(Vec::new, |(_, member_refs)| {
            member_refs
                .iter()
                .map(|member_ref| ListedInstance {
                    id: member_ref.id.clone(),
                    incarnation: member_ref.incarnation,
                    leaving: false,
                })
                .collect()
        })
    }
}
