//! Membership played by the test as `Ownership` promises it.

use bluebellstage_core::{
    FailureDomain, Grouping, Incarnation, InstanceId, Map, Member, MemberState, PastMap, Revision,
    Terms, Tuning,
};

/// The map object, and when each of its earlier revisions ended.
#[derive(Debug)]
pub struct Platform {
    pub map: Map,
    pub changed_at: u64,
    ended: Vec<(u64, PastMap)>,
    span: u64,
}

impl Platform {
    pub fn new(cfg: &Tuning, grouping: Grouping) -> Self {
        Self {
            map: Map {
                revision: Revision(1),
                terms: Terms {
                    grouping,
                    ..Terms::from(cfg)
                },
                members: Vec::new(),
                history: Vec::new(),
            },
            changed_at: 0,
            ended: Vec::new(),
            span: u64::try_from((cfg.lease_duration + cfg.max_clock_drift).as_micros()).unwrap(),
        }
    }

    /// Microseconds after a change until no earlier map gives anyone standing.
    pub const fn span(&self) -> u64 {
        self.span
    }

    pub fn change(&mut self, now: u64, edit: impl FnOnce(&mut Vec<Member>)) {
        let past = PastMap {
            revision: self.map.revision,
            members: self.map.members.iter().map(Member::member_ref).collect(),
            active: self.map.active().cloned().collect(),
        };
        self.ended.push((now, past));
        self.ended.retain(|(at, _)| now < at + self.span);
        edit(&mut self.map.members);
        self.map.members.sort_by(|a, b| a.id.cmp(&b.id));
        self.map.revision = self.map.revision.next();
        self.map.history = self.ended.iter().map(|(_, past)| past.clone()).collect();
        self.changed_at = now;
    }

    pub fn has(&self, id: &InstanceId, life: u64) -> bool {
        self.map
            .member(id)
            .is_some_and(|member| member.incarnation.0 == life)
    }
}

pub fn member(id: &InstanceId, life: u64) -> Member {
    Member {
        id: id.clone(),
        incarnation: Incarnation(life),
        failure_domain: FailureDomain::try_from("fd").unwrap(),
        caller_address: ([127, 0, 0, 1], 1).into(),
        peer_address: ([127, 0, 0, 1], 2).into(),
        state: MemberState::Active,
    }
}
