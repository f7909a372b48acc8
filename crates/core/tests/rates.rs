//! Rates on the plain path and at single failures.

#[expect(dead_code, reason = "this file needs a part of it")]
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
use rates_membership::{Script, Seat, instance};

fn fleet(count: usize) -> Fleet {
    let mut fleet = Fleet::new(count, 7, Tuning::default());
    fleet.run(100);
    fleet.set_limits(&workspace(0), Some(limits(1_000, 10_000)), 0);
    fleet.run(100);
    fleet
}

fn home(fleet: &Fleet) -> InstanceId {
    fleet
        .map()
        .owner(&OwnershipKey::Workspace(workspace(0)))
        .expect("a home")
        .clone()
}

fn other(fleet: &Fleet) -> InstanceId {
    let home = home(fleet);
    fleet
        .running()
        .into_iter()
        .find(|id| *id != home)
        .expect("another")
}

fn refusals(fleet: &Fleet) -> Vec<RefusalKind> {
    let refused = fleet
        .outcomes
        .iter()
        .filter_map(|outcome| outcome.result.as_ref().err());
    refused.map(|refusal| refusal.kind).collect()
}

#[test]
fn first_request_of_a_first_fleet_is_admitted_anywhere() {
    let mut fleet = fleet(3);
    for id in fleet.running() {
        fleet.request(&id, &workspace(0), 500);
        fleet.run(50);
    }
    assert_eq!(refusals(&fleet), []);
    assert_eq!(fleet.outcomes.len(), 3);
    fleet.check();
}

#[test]
fn request_larger_than_the_burst_is_never_admissible() {
    let mut fleet = fleet(3);
    fleet.request(&instance(0), &workspace(0), 10_001);
    assert_eq!(refusals(&fleet), [RefusalKind::NeverAdmissible]);
}

#[test]
fn whole_burst_is_gathered_for_one_request() {
    let mut fleet = fleet(4);
    for id in fleet.running() {
        fleet.request(&id, &workspace(0), 100);
        fleet.run(20);
    }
    fleet.run(2_000);
    let borrower = other(&fleet);
    let request = fleet
        .request(&borrower, &workspace(0), 9_900)
        .expect("running");
    fleet.run(900);
    assert!(!fleet.is_open(request));
    assert_eq!(refusals(&fleet), []);
    fleet.check();
}

#[test]
fn over_its_rate_a_workspace_is_told_when_to_return() {
    let mut fleet = fleet(3);
    for _ in 0..40 {
        fleet.request(&instance(1), &workspace(0), 1_000);
        fleet.run(50);
    }
    fleet.run(2_000);
    assert!(
        refusals(&fleet)
            .iter()
            .all(|kind| *kind == RefusalKind::RateExceeded)
    );
    assert!(
        refusals(&fleet).len() >= 26,
        "{} of 40 refused",
        refusals(&fleet).len()
    );
    fleet.check();
}

#[test]
fn idle_fleet_says_nothing() {
    let mut fleet = fleet(5);
    fleet.request(&instance(0), &workspace(0), 500);
    fleet.run(5_000);
    let before = fleet.messages;
    fleet.run(60_000);
    assert_eq!(fleet.messages, before);
}

#[test]
fn share_of_a_killed_borrower_is_lent_on_after_its_standing_ended() {
    // A workspace would lose a part of its rate for good, or have it twice: an instance holding a
    // share is killed, the map drops it, and the home that stays home takes the share back. Taken
    // before the dead life's proof of standing ended, it could be spent at both ends.
    let mut fleet = fleet(3);
    let borrower = other(&fleet);
    fleet.request(&borrower, &workspace(0), 9_000);
    fleet.run(500);
    let held = fleet.share(&borrower, &workspace(0));
    assert_ne!(held, Share::NONE);
    fleet.freeze(&borrower, 60_000);
    fleet.run(300);
    fleet.drop_from_map(&borrower);
    fleet.run(1_000);
    assert!(fleet.share(&home(&fleet), &workspace(0)) + held <= Share::WHOLE);
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
fn request_that_waits_through_a_freeze_is_not_charged_to_a_share_lent_on() {
    // A workspace would exceed its rate: a request waits at an instance that freezes. The map drops
    // the instance, and its share is lent on and spent. Thawed, its bucket has refilled, and it
    // would spend the same share again before it learns of the map.
    let mut fleet = fleet(3);
    let borrower = other(&fleet);
    fleet.request(&borrower, &workspace(0), 9_000);
    fleet.run(300);
    let waiting = fleet
        .request(&borrower, &workspace(0), 4_000)
        .expect("running");
    fleet.run(10);
    assert!(fleet.is_open(waiting));
    fleet.freeze(&borrower, 6_000);
    fleet.drop_from_map(&borrower);
    fleet.run(5_800);
    let home = home(&fleet);
    for _ in 0..100 {
        fleet.request(&home, &workspace(0), 100);
    }
    fleet.run(1_000);
    assert_eq!(refusals(&fleet).first(), Some(&RefusalKind::RateExceeded));
    assert!(refusals(&fleet).contains(&RefusalKind::NoStanding));
    fleet.check();
}

#[test]
fn home_killed_while_the_map_cannot_change_stops_no_holder() {
    // Callers would be refused for as long as the platform is away: the home of their workspace
    // dies, no map without it can be written, and nobody lends any more. Holders spend on what
    // they have, which does not expire.
    let mut fleet = fleet(3);
    let borrower = other(&fleet);
    for _ in 0..10 {
        fleet.request(&borrower, &workspace(0), 100);
        fleet.run(100);
    }
    let home = home(&fleet);
    fleet.kill(&home);
    for _ in 0..100 {
        fleet.request(&borrower, &workspace(0), 20);
        fleet.run(100);
    }
    assert_eq!(refusals(&fleet), []);
    fleet.check();
}

#[test]
fn instance_cut_off_spends_nothing_after_its_standing_ended() {
    // A workspace would exceed its rate: an instance that callers still reach is cut off from its
    // peers and the platform, the map drops it, and its share is lent on.
    let mut fleet = fleet(3);
    let borrower = other(&fleet);
    fleet.request(&borrower, &workspace(0), 1_000);
    fleet.run(200);
    fleet.cut(&borrower, 60_000);
    fleet.run(1_500);
    fleet.request(&borrower, &workspace(0), 10);
    assert_eq!(refusals(&fleet), []);
    fleet.drop_from_map(&borrower);
    fleet.run(1_000);
    fleet.request(&borrower, &workspace(0), 10);
    assert_eq!(refusals(&fleet), [RefusalKind::NoStanding]);
}

#[test]
fn returned_share_carries_no_more_tokens_than_it_can_hold() {
    // A workspace would exceed its burst: tokens that travel beyond what their share can hold leave
    // room to refill at both ends.
    let script = Script::new(2, 0, &Tuning::default());
    let key = OwnershipKey::Workspace(workspace(0));
    let home = script.map.owner(&key).expect("a home").clone();
    let other = script
        .map
        .active()
        .find(|id| **id != home)
        .expect("another")
        .clone();
    let mut seat = Seat::new(&script, other, 1, 0, &mut ChaCha8Rng::seed_from_u64(1));
    seat.follow(0, &script, &BTreeSet::new());
    let mut out = Vec::new();
    let mut cx = Cx {
        now: seat.local(0),
        ownership: &seat.own,
        out: &mut out,
    };
    let mut rates = Rates::new(&Tuning::default());
    rates.set_limits(&mut cx, &workspace(0), Some(limits(1_000, 10_000)));
    let say = |item| RatesMessage {
        revision: script.map.revision,
        body: RatesBody::Workspace {
            workspace: workspace(0),
            item,
        },
    };
    let lent = ShareItem::Transfer {
        sequence: 1,
        share: Share(Share::WHOLE.0 / 2),
        tokens: Tokens(4_000).into(),
        demand: 0,
    };
    rates.message(&mut cx, &home, say(lent));
    let recall = ShareItem::Recall {
        share: Share(Share::WHOLE.0 / 128),
        tokens: Tokens(4_000).into(),
        others: 0,
        reserved: Share::WHOLE,
    };
    rates.message(&mut cx, &home, say(recall));
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
fn first_burst_is_full_though_the_maps_before_it_left_the_history() {
    // The first callers of a new deployment would be refused: its first instance joins under one
    // map and is active under the next, and the first of the two has left the history by then.
    let mut script = Script::new(1, 0, &Tuning::default());
    script.map.members[0].state = MemberState::Joining;
    let mut seat = Seat::new(
        &script,
        instance(0),
        1,
        0,
        &mut ChaCha8Rng::seed_from_u64(1),
    );
    let mut rates = Rates::new(&Tuning::default());
    let mut out = Vec::new();
    let mut step = |now: u64, seat: &Seat, rates: &mut Rates, request: u128| {
        let mut cx = Cx {
            now: seat.local(now),
            ownership: &seat.own,
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
    seat.follow(0, &script, &BTreeSet::new());
    assert_eq!(step(0, &seat, &mut rates, 1), RateStep::Waiting);
    script.set_state(1_000_000, &instance(0), MemberState::Active);
    script.map.history.clear();
    seat.follow(1_000_000, &script, &BTreeSet::new());
    step(1_000_000, &seat, &mut rates, 2);
    let mut cx = Cx {
        now: seat.local(1_000_000),
        ownership: &seat.own,
        out: &mut Vec::new(),
    };
    let admitted = rates.tick(&mut cx);
    assert_eq!(admitted.len(), 1);
    assert_eq!(admitted[0].outcome, Ok(()));
}
