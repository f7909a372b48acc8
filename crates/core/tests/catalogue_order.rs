//! Answers of the platform reach an instance in any order.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bluebellstage_core::catalogue::{ApplyOutcome, Change, ChangeRequest, WorkspaceEntry};
use bluebellstage_core::{
    Action, Event, Expected, Incarnation, Instance, Member, MemberState, ObjectVersion,
    PlatformCall, PlatformOp, PlatformReply, PlatformResponse, Rate, Revision, Time, Tokens,
    Tuning, Versioned,
};

const HEAD: &str = "catalogue-head";

/// One instance and a platform whose answer to one write is held back.
struct Alone {
    instance: Instance,
    now: u64,
    objects: BTreeMap<String, Versioned>,
    version: u64,
    holds_head_writes: bool,
    held: Vec<PlatformResponse>,
    outcomes: Vec<ApplyOutcome>,
}

impl Alone {
    fn active() -> Self {
        let address = SocketAddr::from(([127, 0, 0, 1], 1));
        let me = Member {
            id: "i1".parse().unwrap(),
            incarnation: Incarnation(1),
            failure_domain: "a".parse().unwrap(),
            caller_address: address,
            peer_address: address,
            state: MemberState::Joining,
        };
        let mut alone = Self {
            instance: Instance::new(Tuning::default(), me, 1, Time(0)),
            now: 0,
            objects: BTreeMap::new(),
            version: 0,
            holds_head_writes: false,
            held: vec![],
            outcomes: vec![],
        };
        alone.run_for(500);
        assert!(alone.instance.is_ready(Time::from_millis(alone.now)));
        alone
    }

    fn run_for(&mut self, millis: u64) {
        for _ in 0..millis / 20 {
            self.now += 20;
            self.step(Event::Tick);
        }
    }

    fn step(&mut self, event: Event) {
        let now = Time::from_millis(self.now);
        for action in self.instance.step(now, event) {
            match action {
                Action::Platform(call) => self.call(now, call),
                Action::Applied { outcome, .. } => self.outcomes.push(outcome),
                _ => {}
            }
        }
    }

    fn call(&mut self, asked: Time, call: PlatformCall) {
        let is_head_write =
            matches!(&call.op, PlatformOp::Put { name, .. } if name.as_str() == HEAD);
        let answer = PlatformResponse {
            id: call.id,
            purpose: call.purpose,
            sent_at: asked,
            reply: self.effect(call.op),
        };
        if is_head_write && self.holds_head_writes {
            self.held.push(answer);
        } else {
            self.step(Event::Platform(answer));
        }
    }

    fn effect(&mut self, op: PlatformOp) -> PlatformReply {
        match op {
            PlatformOp::Get { name } => {
                PlatformReply::Got(self.objects.get(name.as_str()).cloned())
            }
            PlatformOp::Put {
                name,
                value,
                expected,
            } => self.put(name.as_str(), value, expected),
            PlatformOp::Delete { name } => {
                self.objects.remove(name.as_str());
                PlatformReply::Deleted
            }
            PlatformOp::ListInstances => PlatformReply::Instances(vec![]),
            PlatformOp::ListTargets => PlatformReply::Targets(vec![]),
        }
    }

    fn put(&mut self, name: &str, value: Box<str>, expected: Expected) -> PlatformReply {
        let found = self.objects.get(name).map(|object| object.version);
        let as_expected = match expected {
            Expected::Absent => found.is_none(),
            Expected::Version(version) => found == Some(version),
        };
        if !as_expected {
            return PlatformReply::Conflict;
        }
        self.version += 1;
        let version = ObjectVersion(self.version);
        self.objects
            .insert(name.into(), Versioned { value, version });
        PlatformReply::Written(version)
    }

    fn change(&mut self, number: u64) {
        let entry = WorkspaceEntry {
            id: "kochi".parse().unwrap(),
            rate: Rate(number),
            burst: Tokens(1_000),
        };
        self.step(Event::Change(ChangeRequest {
            id: format!("change-{number}").parse().unwrap(),
            expected: None,
            changes: vec![Change::PutWorkspace(entry)],
        }));
    }
}

/// Every later change was refused as "the platform can't be reached", at the instance that had just
/// written one. Its write of the head took effect; a read of the head came back before the write's
/// own answer, and the entries were brought up to it; then the answer came and the change was
/// applied once more, so that the entries' revision ran ahead of the head's for good.
#[test]
fn a_head_that_is_read_before_its_write_is_answered_counts_once() {
    let mut alone = Alone::active();
    alone.holds_head_writes = true;
    alone.change(1);
    assert_eq!(alone.held.len(), 1);
    alone.step(Event::ObjectChanged(HEAD.parse().unwrap()));
    alone.run_for(500);
    alone.holds_head_writes = false;
    let answer = alone.held.remove(0);
    alone.step(Event::Platform(answer));
    alone.run_for(2_000);
    alone.change(2);
    alone.run_for(2_000);
    let accepted = |revision| ApplyOutcome::Accepted {
        revision: Revision(revision),
    };
    assert_eq!(alone.outcomes, [accepted(1), accepted(2)]);
    assert_eq!(alone.instance.catalogue().revision, Revision(2));
}
