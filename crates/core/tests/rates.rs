//! Rate limits in normal operation and under single failures.

#[expect(dead_code, reason = "this test uses only some of the helpers")]
#[path = "support/rates_fleet.rs"]
mod rates_fleet;
#[path = "support/rates_membership.rs"]
mod rates_membership;
#[path = "support/rates_oracle.rs"]
mod rates_oracle;

use std::collections::BTreeSet;

use bluebellstage_core::rates::{
    MicroTokens, RateStep, Rates, RatesBody, RatesMessage, Share, ShareItem,
};
use bluebellstage_core::{
    Action, Cx, InstanceId, MemberState, OwnershipKey, PeerMessage, RefusalKind, RequestId, Tokens,
    Tuning,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rates_fleet::{Fleet, limits, workspace};
use rates_membership::{MembershipScript, SimulatedMember, instance};

fn fleet(count: usize) -> Fleet {
    let mut fleet = Fleet::new(count, 7, Tuning::default());
    fleet.run(100);
    fleet.set_limits(&workspace(0), Some(limits(1_000, 10_000)), 0);
    fleet.run(100);
    fleet
}

fn owner(fleet: &Fleet) -> InstanceId {
    fleet
        .map()
        .owner(&OwnershipKey::Workspace(workspace(0)))
        .expect("workspace has an owner")
        .clone()
}

fn borrower(fleet: &Fleet) -> InstanceId {
    let owner = owner(fleet);
    fleet
        .running()
        .into_iter()
        .find(|id| *id != owner)
        .expect("another instance")
}

fn refusal_kinds(fleet: &Fleet) -> Vec<RefusalKind> {
    let refused = fleet
        .outcomes
        .iter()
        .filter_map(|outcome| outcome.result.as_ref().err());
    refused.map(|refusal| refusal.kind).collect()
}

#[test]
fn first_request_of_a_new_deployment_is_admitted_at_any_instance() {
    let mut fleet = fleet(3);
    for id in fleet.running() {
        fleet.request(&id, &workspace(0), 500);
        fleet.run(50);
    }
    assert_eq!(refusal_kinds(&fleet), []);
    assert_eq!(fleet.outcomes.len(), 3);
    fleet.check();
}

#[test]
fn request_larger_than_the_burst_is_never_admissible() {
    let mut fleet = fleet(3);
    fleet.request(&instance(0), &workspace(0), 10_001);
    assert_eq!(refusal_kinds(&fleet), [RefusalKind::NeverAdmissible]);
}

#[test]
fn request_near_the_burst_collects_tokens_from_all_instances() {
    let mut fleet = fleet(4);
    for id in fleet.running() {
        fleet.request(&id, &workspace(0), 100);
        fleet.run(20);
    }
    fleet.run(2_000);
    let borrower = borrower(&fleet);
    let request = fleet
        .request(&borrower, &workspace(0), 9_900)
        .expect("running");
    fleet.run(900);
    assert!(!fleet.is_pending(request));
    assert_eq!(refusal_kinds(&fleet), []);
    fleet.check();
}

#[test]
fn workspace_over_its_rate_is_refused_with_rate_exceeded() {
    let mut fleet = fleet(3);
    for _ in 0..40 {
        fleet.request(&instance(1), &workspace(0), 1_000);
        fleet.run(50);
    }
    fleet.run(2_000);
    assert!(
        refusal_kinds(&fleet)
            .iter()
            .all(|kind| *kind == RefusalKind::RateExceeded)
    );
    assert!(
        refusal_kinds(&fleet).len() >= 26,
        "{} of 40 refused",
        refusal_kinds(&fleet).len()
    );
    fleet.check();
}

#[test]
fn idle_fleet_sends_no_messages() {
    let mut fleet = fleet(5);
    fleet.request(&instance(0), &workspace(0), 500);
    fleet.run(5_000);
    let before = fleet.messages;
    fleet.run(60_000);
    assert_eq!(fleet.messages, before);
}

#[test]
fn share_of_a_killed_borrower_is_reclaimed_only_after_its_lease_expired() {
    // Guards against a workspace that loses a part of its rate for good, or gets it twice. An
    // instance that holds a share is killed, the map removes it, and the owner, which stays the
    // same, reclaims the share. Reclaimed before the lease of the dead incarnation ended, the share
    // could be spent at both ends.
    let mut fleet = fleet(3);
    let borrower = borrower(&fleet);
    fleet.request(&borrower, &workspace(0), 9_000);
    fleet.run(500);
    let held = fleet.share(&borrower, &workspace(0));
    assert_ne!(held, Share::NONE);
    fleet.freeze(&borrower, 60_000);
    fleet.run(300);
    fleet.drop_from_map(&borrower);
    fleet.run(1_000);
    assert!(fleet.share(&owner(&fleet), &workspace(0)) + held <= Share::WHOLE);
    fleet.run(3_000);
    let rest = fleet
        .running()
        .into_iter()
        .map(|id| fleet.share(&id, &workspace(0)));
    assert_eq!(
        rest.fold(Share::NONE, |sum, share| sum + share),
        Share::WHOLE
    );
    fleet.check();
}

#[test]
fn request_waiting_during_a_freeze_is_not_charged_to_a_reassigned_share() {
    // Guards against a workspace exceeding its rate. A request waits at an instance that freezes.
    // The map removes the instance, and its share is lent to others and spent. After the freeze,
    // its bucket has refilled, and it would spend the same share again before it learns of the new
    // map.
    let mut fleet = fleet(3);
    let borrower = borrower(&fleet);
    fleet.request(&borrower, &workspace(0), 9_000);
    fleet.run(300);
    let waiting = fleet
        .request(&borrower, &workspace(0), 4_000)
        .expect("running");
    fleet.run(10);
    assert!(fleet.is_pending(waiting));
    fleet.freeze(&borrower, 6_000);
    fleet.drop_from_map(&borrower);
    fleet.run(5_800);
    let owner = owner(&fleet);
    for _ in 0..100 {
        fleet.request(&owner, &workspace(0), 100);
    }
    fleet.run(1_000);
    assert_eq!(
        refusal_kinds(&fleet).first(),
        Some(&RefusalKind::RateExceeded)
    );
    assert!(refusal_kinds(&fleet).contains(&RefusalKind::NoStanding));
    fleet.check();
}

#[test]
fn borrowers_keep_admitting_when_the_owner_dies_and_the_map_cannot_change() {
    // Guards against rejecting callers while the platform is unavailable. The owner of their
    // workspace dies, no map without it can be written, and no instance lends shares. Borrowers
    // continue to spend from the shares that they hold, which don't expire.
    let mut fleet = fleet(3);
    let borrower = borrower(&fleet);
    for _ in 0..10 {
        fleet.request(&borrower, &workspace(0), 100);
        fleet.run(100);
    }
    let owner = owner(&fleet);
    fleet.kill(&owner);
    for _ in 0..100 {
        fleet.request(&borrower, &workspace(0), 20);
        fleet.run(100);
    }
    assert_eq!(refusal_kinds(&fleet), []);
    fleet.check();
}

#[test]
fn partitioned_instance_spends_nothing_after_its_lease_expired() {
    // Guards against a workspace exceeding its rate. An instance that callers still reach is
    // partitioned from its peers and the platform, the map removes it, and its share is lent to
    // others.
    let mut fleet = fleet(3);
    let borrower = borrower(&fleet);
    fleet.request(&borrower, &workspace(0), 1_000);
    fleet.run(200);
    fleet.partition(&borrower, 60_000);
    fleet.run(1_500);
    fleet.request(&borrower, &workspace(0), 10);
    assert_eq!(refusal_kinds(&fleet), []);
    fleet.drop_from_map(&borrower);
    fleet.run(1_000);
    fleet.request(&borrower, &workspace(0), 10);
    assert_eq!(refusal_kinds(&fleet), [RefusalKind::NoStanding]);
}

#[test]
fn returned_share_carries_no_more_tokens_than_it_can_hold() {
    // Guards against a workspace exceeding its burst. Tokens that move beyond the capacity of their
    // share would leave free capacity to refill at both ends.
    let script = MembershipScript::new(2, 0, &Tuning::default());
    let key = OwnershipKey::Workspace(workspace(0));
    let owner = script
        .map
        .owner(&key)
        .expect("workspace has an owner")
        .clone();
    let borrower = script
        .map
        .active()
        .find(|id| **id != owner)
        .expect("another instance")
        .clone();
    let mut member =
        SimulatedMember::new(&script, borrower, 1, 0, &mut ChaCha8Rng::seed_from_u64(1));
    member.follow(0, &script, &BTreeSet::new());
    let mut out = Vec::new();
    let mut cx = Cx {
        now: member.local(0),
        ownership: &member.own,
        out: &mut out,
    };
    let mut rates = Rates::new(&Tuning::default());
    rates.set_limits(&mut cx, &workspace(0), Some(limits(1_000, 10_000)));
    let share_message = |item| RatesMessage {
        revision: script.map.revision,
        body: RatesBody::Workspace {
            workspace: workspace(0),
            item,
        },
    };
    let loan = ShareItem::Transfer {
        sequence: 1,
        share: Share(Share::WHOLE.0 / 2),
        tokens: Tokens(4_000).into(),
        demand: 0,
    };
    rates.message(&mut cx, &owner, share_message(loan));
    let recall = ShareItem::Recall {
        share: Share(Share::WHOLE.0 / 128),
        tokens: Tokens(4_000).into(),
        other_demand: 0,
        reserved: Share::WHOLE,
    };
    rates.message(&mut cx, &owner, share_message(recall));
    let returned = out.iter().find_map(|action| match action {
        Action::Send { message, .. } => match &**message {
            PeerMessage::Rates(RatesMessage {
                body:
                    RatesBody::Workspace {
                        item: ShareItem::Transfer { share, tokens, .. },
                        ..
                    },
                ..
            }) => Some((*share, *tokens)),
            _ => None,
        },
        _ => None,
    });
    let (share, tokens) = returned.expect("a share given back");
    assert_eq!(share, Share(Share::WHOLE.0 / 128));
    assert_eq!(tokens, MicroTokens(10_000 * 1_000_000 / 128));
}

#[test]
fn first_burst_is_full_although_earlier_maps_left_the_history() {
    // Guards against rejecting the first callers of a new deployment. Its first instance joins
    // under one map and is active under the next, and by then the first of the two maps has left
    // the history.
    let mut script = MembershipScript::new(1, 0, &Tuning::default());
    script.map.members[0].state = MemberState::Joining;
    let mut member = SimulatedMember::new(
        &script,
        instance(0),
        1,
        0,
        &mut ChaCha8Rng::seed_from_u64(1),
    );
    let mut rates = Rates::new(&Tuning::default());
    let mut out = Vec::new();
    let mut step = |now: u64, member: &SimulatedMember, rates: &mut Rates, request: u128| {
        let mut cx = Cx {
            now: member.local(now),
            ownership: &member.own,
            out: &mut out,
        };
        let limits = limits(1_000, 10_000);
        rates.set_limits(&mut cx, &workspace(0), Some(limits));
        rates.admit(
            &mut cx,
            RequestId(request),
            &workspace(0),
            limits,
            Tokens(10_000),
        )
    };
    member.follow(0, &script, &BTreeSet::new());
    assert_eq!(step(0, &member, &mut rates, 1), RateStep::Waiting);
    script.set_state(1_000_000, &instance(0), MemberState::Active);
    script.map.history.clear();
    member.follow(1_000_000, &script, &BTreeSet::new());
    step(1_000_000, &member, &mut rates, 2);
    let mut cx = Cx {
        now: member.local(1_000_000),
        ownership: &member.own,
        out: &mut Vec::new(),
    };
    let decisions = rates.tick(&mut cx);
    assert_eq!(decisions.len(), 1);
    assert_eq!(decisions[0].outcome, Ok(()));
}
