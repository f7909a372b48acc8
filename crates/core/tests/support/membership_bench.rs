//! One `Membership` that is told everything by hand. Its instance is `a`.

use std::time::Duration;

use bluebellstage_core::membership::{Heartbeat, Membership, MembershipMessage};
use bluebellstage_core::{
    Action, CallId, Expected, FailureDomain, Incarnation, InstanceId, ListedInstance, Map, Member,
    MemberRef, MemberState, Notice, ObjectVersion, Ownership, OwnershipKey, PastMap,
    PlatformAnswer, PlatformOp, PlatformPurpose, PlatformReply, Revision, Terms, Time, Tuning,
    Versioned, WorkspaceId,
};

const TICK: u64 = 50;

/// A membership, its time and all that it wanted done.
#[derive(Debug)]
pub struct Bench {
    pub membership: Membership,
    pub now: Time,
    pub out: Vec<Action>,
}

impl Bench {
    /// The version at which every read finds the map.
    pub const VERSION: ObjectVersion = ObjectVersion(40);

    /// A life that has just started.
    pub fn fresh() -> Self {
        let now = Time::from_millis(1_000_000);
        let me = member("a", MemberState::Joining);
        let mut bench = Self {
            membership: Membership::new(&Tuning::default(), me, now),
            now,
            out: Vec::new(),
        };
        bench.tick();
        bench
    }

    /// A life that has just been pushed `map`; its first heartbeats are on their way.
    pub fn adopted(map: Map) -> Self {
        let mut bench = Self::fresh();
        let push = MembershipMessage::Push(Box::new(map));
        bench.message("b", push);
        bench
    }

    pub fn own(&self) -> &Ownership {
        self.membership.ownership()
    }

    /// Lets time pass, with ticks.
    pub fn pass(&mut self, millis: u64) {
        for _ in 0..millis / TICK {
            self.now = self.now + Duration::from_millis(TICK);
            self.tick();
        }
    }

    /// Lets time pass without ticks, as for a frozen process.
    pub fn skip(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
        self.tick();
    }

    pub fn hear(&mut self, from: &str, mut heartbeat: Heartbeat) {
        if heartbeat.incarnation == Incarnation(0) {
            heartbeat.incarnation = life(from).incarnation;
        }
        self.message(from, MembershipMessage::Heartbeat(heartbeat));
    }

    /// Answers the latest read of the map.
    pub fn read(&mut self, asked: Time, map: &Map) {
        let value = serde_json::to_string(map).expect("a map serialises").into();
        let version = Self::VERSION;
        let reply = PlatformReply::Got(Some(Versioned { value, version }));
        self.answer(PlatformPurpose::MapRead, asked, reply);
    }

    pub fn written(&mut self, asked: Time) {
        let reply = PlatformReply::Written(ObjectVersion(41));
        self.answer(PlatformPurpose::MapWrite, asked, reply);
    }

    pub fn list(&mut self, instances: &[ListedInstance]) {
        let reply = PlatformReply::Instances(instances.to_vec());
        self.answer(PlatformPurpose::InstanceList, self.now, reply);
    }

    /// All map writes that it wanted so far.
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

    /// How many peers it suspected so far.
    pub fn suspected(&self) -> usize {
        let is_suspicion =
            |action: &&Action| matches!(action, Action::Notice(Notice::PeerSuspected(_)));
        self.out.iter().filter(is_suspicion).count()
    }

    fn answer(&mut self, purpose: PlatformPurpose, asked: Time, reply: PlatformReply) {
        let id = self.latest_call(&purpose);
        let answer = PlatformAnswer {
            id,
            purpose,
            asked,
            reply,
        };
        self.membership.platform(self.now, answer, &mut self.out);
    }

    fn latest_call(&self, purpose: &PlatformPurpose) -> CallId {
        let mut calls = self.out.iter().rev().filter_map(|action| match action {
            Action::Platform(call) if call.purpose == *purpose => Some(call.id),
            _ => None,
        });
        calls.next().expect("it asked")
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

/// A heartbeat of a peer's usual life that knows `map` and has received heartbeat `echo`.
pub fn beat(map: u64, echo: u64) -> Heartbeat {
    Heartbeat {
        incarnation: Incarnation(0),
        sequence: map,
        map: Revision(map),
        catalogue: Revision(1),
        echo_incarnation: life("a").incarnation,
        echo,
        retired_below: Revision(0),
        unresponsive: Vec::new(),
    }
}

/// A map of active instances.
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

/// The map with its predecessor in its history.
pub fn after(past: &Map, mut map: Map) -> Map {
    map.history.push(PastMap::from(past));
    map
}

pub fn instance(id: &str) -> InstanceId {
    InstanceId::try_from(id).expect("a legal name")
}

/// The usual life of an instance.
pub fn life(id: &str) -> MemberRef {
    MemberRef {
        id: instance(id),
        incarnation: Incarnation(u64::from(id.as_bytes()[0])),
    }
}

pub fn member(id: &str, state: MemberState) -> Member {
    Member {
        id: instance(id),
        incarnation: life(id).incarnation,
        failure_domain: FailureDomain::try_from("d").expect("a legal name"),
        caller_address: ([127, 0, 0, 1], 7_000).into(),
        peer_address: ([127, 0, 0, 1], 8_000).into(),
        state,
    }
}

pub fn listed(id: &str) -> ListedInstance {
    ListedInstance {
        id: instance(id),
        incarnation: life(id).incarnation,
        leaving: false,
    }
}

/// A key whose home is `id` among `ids`.
pub fn key_of(id: &str, ids: &[&str]) -> OwnershipKey {
    let among = map(1, ids);
    let mut keys = (0..100).map(|index| {
        let name = format!("w{index}");
        OwnershipKey::Workspace(WorkspaceId::try_from(name.as_str()).expect("a legal name"))
    });
    let wanted = instance(id);
    keys.find(|key| among.owner(key) == Some(&wanted))
        .expect("each has some")
}
