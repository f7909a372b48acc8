//! A test harness for one `Membership`, with all inputs given by the test. Its instance is `a`.

use std::time::Duration;

use bluebellstage_core::membership::{Heartbeat, Membership, MembershipMessage};
use bluebellstage_core::{
    Action, CallId, Expected, FailureDomain, Incarnation, InstanceId, ListedInstance, Map, Member,
    MemberRef, MemberState, Notice, ObjectVersion, Ownership, OwnershipKey, PastMap, PlatformOp,
    PlatformPurpose, PlatformReply, PlatformResponse, Revision, Terms, Time, Tuning, Versioned,
    WorkspaceId,
};

const TICK_INTERVAL_MS: u64 = 50;

/// A membership, its time and all actions that it returned.
#[derive(Debug)]
pub struct Harness {
    pub membership: Membership,
    pub now: Time,
    pub out: Vec<Action>,
}

impl Harness {
    /// The object version that every read returns.
    pub const VERSION: ObjectVersion = ObjectVersion(40);

    /// Creates an incarnation that has just started.
    pub fn fresh() -> Self {
        let now = Time::from_millis(1_000_000);
        let local = member("a", MemberState::Joining);
        let mut harness = Self {
            membership: Membership::new(&Tuning::default(), local, now),
            now,
            out: Vec::new(),
        };
        harness.tick();
        harness
    }

    /// Creates an incarnation that has just adopted a pushed `map` and sent its first heartbeats.
    pub fn adopted(map: Map) -> Self {
        let mut harness = Self::fresh();
        let push = MembershipMessage::Push(Box::new(map));
        harness.message("b", push);
        harness
    }

    pub fn ownership(&self) -> &Ownership {
        self.membership.ownership()
    }

    /// Advances the time, with ticks.
    pub fn advance(&mut self, millis: u64) {
        for _ in 0..millis / TICK_INTERVAL_MS {
            self.now = self.now + Duration::from_millis(TICK_INTERVAL_MS);
            self.tick();
        }
    }

    /// Advances the time without ticks, as for a frozen process, and then ticks once.
    pub fn advance_frozen(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
        self.tick();
    }

    /// Delivers a heartbeat; incarnation zero stands for the usual one of the sender.
    pub fn receive(&mut self, from: &str, mut heartbeat: Heartbeat) {
        if heartbeat.incarnation == Incarnation(0) {
            heartbeat.incarnation = member_ref(from).incarnation;
        }
        self.message(from, MembershipMessage::Heartbeat(heartbeat));
    }

    /// Responds to the latest read of the map, which was sent at `requested_at`.
    pub fn answer_read(&mut self, requested_at: Time, map: &Map) {
        let value = serde_json::to_string(map)
            .expect("a map is serialisable")
            .into();
        let version = Self::VERSION;
        let reply = PlatformReply::Got(Some(Versioned { value, version }));
        self.answer(PlatformPurpose::MapRead, requested_at, reply);
    }

    /// Responds to the latest write of the map, which was sent at `requested_at`.
    pub fn answer_write(&mut self, requested_at: Time) {
        let reply = PlatformReply::Written(ObjectVersion(41));
        self.answer(PlatformPurpose::MapWrite, requested_at, reply);
    }

    /// Responds to the latest instance list call.
    pub fn answer_list(&mut self, instances: &[ListedInstance]) {
        let reply = PlatformReply::Instances(instances.to_vec());
        self.answer(PlatformPurpose::InstanceList, self.now, reply);
    }

    /// Returns all map writes that were requested so far.
    pub fn writes(&self) -> Vec<(Expected, Map)> {
        let puts = self.out.iter().filter_map(|action| match action {
            Action::Platform(call) => match &call.op {
                PlatformOp::Put {
                    value, expected, ..
                } => Some((*expected, serde_json::from_str(value).expect("a map"))),
                _ => None,
            },
            _ => None,
        });
        puts.collect()
    }

    /// Returns how many peers were reported as suspected so far.
    pub fn suspected_count(&self) -> usize {
        let is_suspicion =
            |action: &&Action| matches!(action, Action::Notice(Notice::PeerSuspected(_)));
        self.out.iter().filter(is_suspicion).count()
    }

    fn answer(&mut self, purpose: PlatformPurpose, requested_at: Time, reply: PlatformReply) {
        let id = self.latest_call(&purpose);
        let answer = PlatformResponse {
            id,
            purpose,
            sent_at: requested_at,
            reply,
        };
        self.membership.platform(self.now, answer, &mut self.out);
    }

    fn latest_call(&self, purpose: &PlatformPurpose) -> CallId {
        let mut calls = self.out.iter().rev().filter_map(|action| match action {
            Action::Platform(call) if call.purpose == *purpose => Some(call.id),
            _ => None,
        });
        calls.next().expect("the call was sent")
    }

    fn message(&mut self, from: &str, message: MembershipMessage) {
        let from = instance(from);
        let now = self.now;
        self.membership
            .message(now, &from, message, Revision(1), &mut self.out);
    }

    fn tick(&mut self) {
        self.membership.tick(self.now, Revision(1), &mut self.out);
    }
}

/// Creates a heartbeat of a peer's usual incarnation that has adopted `map` and echoes heartbeat
/// `echo`.
pub fn heartbeat(map: u64, echo: u64) -> Heartbeat {
    Heartbeat {
        incarnation: Incarnation(0),
        sequence: map,
        map: Revision(map),
        catalogue: Revision(1),
        echo_incarnation: member_ref("a").incarnation,
        echo,
        retired_below: Revision(0),
        unresponsive: Vec::new(),
    }
}

/// Creates a map of active instances.
pub fn map(revision: u64, ids: &[&str]) -> Map {
    Map {
        revision: Revision(revision),
        terms: Terms::from(&Tuning::default()),
        members: ids
            .iter()
            .map(|id| member(id, MemberState::Active))
            .collect(),
        history: Vec::new(),
    }
}

/// Adds `past` to the history of `map`.
pub fn with_history(past: &Map, mut map: Map) -> Map {
    map.history.push(PastMap::from(past));
    map
}

pub fn instance(id: &str) -> InstanceId {
    InstanceId::try_from(id).expect("a legal name")
}

/// Returns the usual incarnation of an instance.
pub fn member_ref(id: &str) -> MemberRef {
    MemberRef {
        id: instance(id),
        incarnation: Incarnation(u64::from(id.as_bytes()[0])),
    }
}

pub fn member(id: &str, state: MemberState) -> Member {
    Member {
        id: instance(id),
        incarnation: member_ref(id).incarnation,
        failure_domain: FailureDomain::try_from("d").expect("a legal name"),
        caller_address: ([127, 0, 0, 1], 7_000).into(),
        peer_address: ([127, 0, 0, 1], 8_000).into(),
        state,
    }
}

pub fn listed(id: &str) -> ListedInstance {
    ListedInstance {
        id: instance(id),
        incarnation: member_ref(id).incarnation,
        leaving: false,
    }
}

/// Returns a key whose owner is `id` among `ids`.
pub fn key_owned_by(id: &str, ids: &[&str]) -> OwnershipKey {
    let candidates_map = map(1, ids);
    let mut keys = (0..100).map(|index| {
        let name = format!("w{index}");
        OwnershipKey::Workspace(WorkspaceId::try_from(name.as_str()).expect("a legal name"))
    });
    let wanted = instance(id);
    keys.find(|key| candidates_map.owner(key) == Some(&wanted))
        .expect("each instance owns some keys")
}
