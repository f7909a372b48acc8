//! Tests that the catalogue handles platform replies that arrive in any order.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bluebellstage_core::catalogue::{ApplyOutcome, Change, ChangeRequest, WorkspaceEntry};
use bluebellstage_core::{
    Action, Event, Expected, Incarnation, Instance, Member, MemberState, ObjectVersion,
    PlatformCall, PlatformOp, PlatformReply, PlatformResponse, Rate, Revision, Time, Tokens,
    Tuning, Versioned,
};

const HEAD: &str = "catalogue-head";

/// One instance and a simulated platform that can delay the replies to writes of the head.
struct SingleInstance {
    instance: Instance,
    now: u64,
    objects: BTreeMap<String, Versioned>,
    version: u64,
    delays_head_writes: bool,
    delayed_replies: Vec<PlatformResponse>,
    outcomes: Vec<ApplyOutcome>,
}

impl SingleInstance {
    fn active() -> Self {
        let address = SocketAddr::from(([127, 0, 0, 1], 1));
        let local = Member {
            id: "i1".parse().unwrap(),
            incarnation: Incarnation(1),
            failure_domain: "a".parse().unwrap(),
            caller_address: address,
            peer_address: address,
            state: MemberState::Joining,
        };
        let mut harness = Self {
            instance: Instance::new(Tuning::default(), local, 1, Time(0)),
            now: 0,
            objects: BTreeMap::new(),
            version: 0,
            delays_head_writes: false,
            delayed_replies: vec![],
            outcomes: vec![],
        };
        harness.run_for(500);
        assert!(harness.instance.is_ready(Time::from_millis(harness.now)));
        harness
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

    fn call(&mut self, sent_at: Time, call: PlatformCall) {
        let is_head_write =
            matches!(&call.op, PlatformOp::Put { name, .. } if name.as_str() == HEAD);
        let answer = PlatformResponse {
            id: call.id,
            purpose: call.purpose,
            sent_at,
            reply: self.execute(call.op),
        };
        if is_head_write && self.delays_head_writes {
            self.delayed_replies.push(answer);
        } else {
            self.step(Event::Platform(answer));
        }
    }

    fn execute(&mut self, op: PlatformOp) -> PlatformReply {
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
        let is_expected_version = match expected {
            Expected::Absent => found.is_none(),
            Expected::Version(version) => found == Some(version),
        };
        if !is_expected_version {
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

/// Guards against a change that is applied twice. The write of the head took effect, but a read of
/// the head returned before the reply to the write, and the entries caught up with that head. When
/// the reply arrived, the change was applied again, and the entries' revision stayed ahead of the
/// head's permanently. The instance then rejected every later change as "the platform can't be
/// reached".
#[test]
fn change_is_applied_once_if_its_head_is_read_before_the_write_reply() {
    let mut harness = SingleInstance::active();
    harness.delays_head_writes = true;
    harness.change(1);
    assert_eq!(harness.delayed_replies.len(), 1);
    harness.step(Event::ObjectChanged(HEAD.parse().unwrap()));
    harness.run_for(500);
    harness.delays_head_writes = false;
    let answer = harness.delayed_replies.remove(0);
    harness.step(Event::Platform(answer));
    harness.run_for(2_000);
    harness.change(2);
    harness.run_for(2_000);
    let accepted = |revision| ApplyOutcome::Accepted {
        revision: Revision(revision),
    };
    assert_eq!(harness.outcomes, [accepted(1), accepted(2)]);
    assert_eq!(harness.instance.catalogue().revision, Revision(2));
}
