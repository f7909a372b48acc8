//! What one instance may conclude from received messages and platform responses: each rule on its
//! own.

mod support {
    pub mod membership_harness;
}

use std::time::Duration;

use bluebellstage_core::{
    Adoption, Expected, Incarnation, MemberState, Ownership, PastMap, Revision, Time,
};
use support::membership_harness::{
    Harness, heartbeat, instance, key_owned_by, listed, map, member, member_ref, with_history,
};

/// The default lease duration.
const LEASE_DURATION: Duration = Duration::from_secs(2);
/// Lease duration plus drift.
const RETIREMENT_DELAY: Duration = Duration::from_millis(2_050);

#[test]
fn a_lease_starts_when_the_echoed_heartbeat_was_sent() {
    let mut harness = Harness::adopted(map(5, &["a", "b", "c"]));
    let requested_at = harness.now;
    harness.advance(300);
    harness.receive("b", heartbeat(5, 1));
    assert_eq!(
        harness.ownership().lease_expires_at,
        requested_at + LEASE_DURATION
    );
}

/// An instance restarts, and a reply to a heartbeat of its former incarnation arrives late. The
/// reply reports what the peer knew before the restart and must not confirm a lease of the new
/// incarnation.
#[test]
fn an_echo_of_a_former_incarnation_confirms_nothing() {
    let mut harness = Harness::adopted(map(5, &["a", "b", "c"]));
    let mut late = heartbeat(5, 1);
    late.echo_incarnation = Incarnation(77);
    harness.receive("b", late);
    assert!(!harness.ownership().has_lease(harness.now));
}

#[test]
fn a_peer_that_knows_a_newer_map_confirms_nothing() {
    let mut harness = Harness::adopted(map(5, &["a", "b", "c"]));
    harness.receive("b", heartbeat(6, 1));
    assert!(!harness.ownership().has_lease(harness.now));
}

#[test]
fn another_incarnation_of_a_member_confirms_nothing() {
    let mut harness = Harness::adopted(map(5, &["a", "b", "c"]));
    let mut other = heartbeat(5, 1);
    other.incarnation = Incarnation(77);
    harness.receive("b", other);
    assert!(!harness.ownership().has_lease(harness.now));
}

#[test]
fn half_of_an_even_number_of_members_is_no_majority() {
    let mut harness = Harness::adopted(map(5, &["a", "b", "c", "d"]));
    harness.receive("b", heartbeat(5, 1));
    assert!(!harness.ownership().has_lease(harness.now));
    assert_eq!(harness.membership.majority_catalogue(), None);
    harness.receive("c", heartbeat(5, 1));
    assert!(harness.ownership().has_lease(harness.now));
    let quorum = harness.membership.majority_catalogue();
    assert_eq!(
        quorum.map(|quorum| quorum.majority_revision),
        Some(Revision(1))
    );
}

/// The response to a read arrives long after the request, because the process was frozen meanwhile.
#[test]
fn a_lease_starts_when_a_read_was_sent() {
    let mut harness = Harness::adopted(map(5, &["a", "b", "c"]));
    let requested_at = harness.now;
    harness.advance(1_500);
    harness.answer_read(requested_at, &map(5, &["a", "b", "c"]));
    assert_eq!(
        harness.ownership().lease_expires_at,
        requested_at + LEASE_DURATION
    );
}

#[test]
fn a_lease_starts_when_a_write_was_sent() {
    let mut harness = Harness::fresh();
    harness.answer_read(harness.now, &map(5, &["b", "c"]));
    let requested_at = harness.now;
    harness.advance(700);
    harness.answer_write(requested_at);
    assert_eq!(
        harness.ownership().lease_expires_at,
        requested_at + LEASE_DURATION
    );
    assert!(harness.ownership().is_member());
}

#[test]
fn an_entry_of_another_incarnation_gives_no_lease() {
    let mut current = map(5, &["a", "b", "c"]);
    current.members[0].incarnation = Incarnation(77);
    let ownership = Ownership {
        lease_expires_at: Time::from_millis(9_000),
        ..Ownership::new(member_ref("a"), current)
    };
    assert!(!ownership.has_lease(Time::from_millis(1)));
}

/// `c` was removed. New owners of its keys act only after no instance can have a lease under the
/// former map.
#[test]
fn a_past_map_retires_a_lease_duration_plus_drift_after_a_majority_adopts_a_newer_one() {
    let mut harness =
        Harness::adopted(with_history(&map(5, &["a", "b", "c"]), map(6, &["a", "b"])));
    harness.receive("b", heartbeat(5, 1));
    assert_eq!(harness.ownership().past_retired_at, None);
    harness.advance(100);
    harness.receive("b", heartbeat(6, 1));
    assert_eq!(
        harness.ownership().past_retired_at,
        Some(harness.now + RETIREMENT_DELAY)
    );
}

#[test]
fn a_map_that_a_peer_reports_as_retired_is_removed_from_the_history() {
    let mut harness =
        Harness::adopted(with_history(&map(5, &["a", "b", "c"]), map(6, &["a", "b"])));
    let mut report = heartbeat(6, 0);
    report.retired_below = Revision(6);
    harness.receive("b", report);
    assert!(harness.ownership().map.history.is_empty());
}

/// An incarnation that has just joined is not in the lagging list yet. If it were considered gone,
/// it would not count in the majority of a past map, although it may still have a lease under that
/// map.
#[test]
fn an_incarnation_that_is_not_listed_yet_is_not_gone() {
    let mut harness = Harness::adopted(with_history(&map(5, &["a", "b", "c"]), map(6, &["a"])));
    harness.advance(2_000);
    harness.answer_list(&[listed("a")]);
    assert_eq!(harness.ownership().past_retired_at, None);
}

#[test]
fn an_incarnation_that_is_no_longer_listed_is_gone() {
    let mut harness = Harness::adopted(with_history(&map(5, &["a", "b", "c"]), map(6, &["a"])));
    harness.advance(2_000);
    harness.answer_list(&[listed("a"), listed("b"), listed("c")]);
    harness.advance(2_000);
    harness.answer_list(&[listed("a")]);
    assert_eq!(
        harness.ownership().past_retired_at,
        Some(harness.now + RETIREMENT_DELAY)
    );
}

/// All three instances were restarted at once, and the list shows only the new incarnations. The
/// old ones were never seen in the list, but their successors are in it.
#[test]
fn an_incarnation_whose_successor_is_listed_is_gone() {
    let mut past = map(5, &["a", "b", "c"]);
    for member in &mut past.members {
        member.incarnation = Incarnation(77);
    }
    let mut harness = Harness::adopted(with_history(&past, map(6, &["a", "b", "c"])));
    harness.advance(2_000);
    harness.answer_list(&[listed("a"), listed("b"), listed("c")]);
    assert_eq!(
        harness.ownership().past_retired_at,
        Some(harness.now + RETIREMENT_DELAY)
    );
}

#[test]
fn a_responsive_incarnation_is_not_gone_whatever_the_list_shows() {
    let past = map(5, &["a", "b", "c"]);
    let mut harness = Harness::adopted(with_history(&past, map(6, &["a"])));
    harness.answer_list(&[listed("a"), listed("b"), listed("c")]);
    harness.advance(2_000);
    for id in ["b", "c"] {
        harness.receive(id, heartbeat(5, 0));
    }
    harness.answer_list(&[listed("a")]);
    assert_eq!(harness.ownership().past_retired_at, None);
}

/// Two of three members are gone permanently, but may have reported to a successor before that they
/// had adopted a newer map. The last member must not have a lease as a majority of one.
#[test]
fn gone_incarnations_still_count_in_the_majority_that_confirms_a_lease() {
    let mut harness = Harness::adopted(map(5, &["a", "b", "c"]));
    harness.answer_list(&[listed("a"), listed("b"), listed("c")]);
    harness.advance(2_000);
    harness.answer_list(&[listed("a")]);
    assert!(!harness.ownership().has_lease(harness.now));
}

/// The process was started twice under one name, and the first incarnation is frozen. It may still
/// have a lease when it thaws, so the second incarnation waits for it as for any other former
/// owner.
#[test]
fn a_former_incarnation_of_the_same_instance_must_have_stopped_too() {
    let key = key_owned_by("a", &["a", "b"]);
    let mut past = PastMap::from(&map(5, &["a", "b"]));
    past.members[0].incarnation = Incarnation(77);
    let mut current = map(6, &["a", "b"]);
    current.history.push(past);
    let ownership = Ownership::new(member_ref("a"), current);
    assert!(!ownership.is_activated(Time::from_millis(1), &key));
}

#[test]
fn a_former_owner_without_a_recorded_incarnation_counts_as_not_stopped() {
    let key = key_owned_by("b", &["a", "b"]);
    let mut past = PastMap::from(&map(5, &["a", "b"]));
    past.members.retain(|member| member.id != instance("b"));
    let mut current = map(6, &["a", "b"]);
    current.history.push(past);
    let ownership = Ownership::new(member_ref("a"), current);
    assert!(!ownership.is_activated(Time::from_millis(1), &key));
}

/// Two processes were started under one name by mistake. Unless the first gives up its entry, they
/// would replace each other's entry with every read.
#[test]
fn an_incarnation_does_not_take_back_an_entry_that_another_took() {
    let mut harness = Harness::adopted(map(5, &["a", "b", "c"]));
    let mut next = map(6, &["a", "b", "c"]);
    next.members[0].incarnation = Incarnation(77);
    harness.answer_read(harness.now, &next);
    harness.advance(10_000);
    assert!(harness.writes().is_empty());
}

/// A process is frozen for five seconds and receives no heartbeat during that time. It must not
/// suspect its peers as soon as it thaws.
#[test]
fn a_thawed_instance_suspects_no_peer_before_a_full_timeout() {
    let mut harness = Harness::adopted(map(5, &["a", "b", "c"]));
    harness.advance_frozen(5_000);
    assert_eq!(harness.suspected_count(), 0);
    harness.advance(2_000);
    assert_eq!(harness.suspected_count(), 2);
}

#[test]
fn a_write_expects_the_version_that_was_read() {
    let mut harness = Harness::fresh();
    harness.answer_read(harness.now, &map(5, &["b", "c"]));
    let writes = harness.writes();
    let (expected, written) = writes.first().expect("a write that adds the instance");
    assert_eq!(*expected, Expected::Version(Harness::VERSION));
    let local = written
        .member(&instance("a"))
        .expect("the instance is listed");
    assert_eq!(local, &member("a", MemberState::Joining));
    insta::assert_json_snapshot!(written.history, @r#"
    [
      {
        "revision": 5,
        "members": [
          {
            "id": "b",
            "incarnation": 98
          },
          {
            "id": "c",
            "incarnation": 99
          }
        ],
        "active": [
          "b",
          "c"
        ]
      }
    ]
    "#);
}

/// The stored map and the dump are read by other releases and by tools, so the serialised names
/// must not follow the names of the fields.
#[test]
fn serialised_names_of_ownership_and_map_are_stable() {
    let mut ownership = Ownership::new(member_ref("a"), map(5, &["a", "b"]));
    ownership.lease_expires_at = Time::from_millis(7);
    ownership.unresponsive.insert(instance("b"));
    ownership.adopted.insert(Adoption {
        member_ref: member_ref("b"),
        map: Revision(4),
    });
    insta::assert_json_snapshot!(ownership, @r#"
    {
      "me": {
        "id": "a",
        "incarnation": 97
      },
      "map": {
        "revision": 5,
        "terms": {
          "grouping": "failure_domain",
          "standing": {
            "secs": 2,
            "nanos": 0
          },
          "drift": {
            "secs": 0,
            "nanos": 50000000
          }
        },
        "members": [
          {
            "id": "a",
            "incarnation": 97,
            "failure_domain": "d",
            "caller_address": "127.0.0.1:7000",
            "peer_address": "127.0.0.1:8000",
            "state": "active"
          },
          {
            "id": "b",
            "incarnation": 98,
            "failure_domain": "d",
            "caller_address": "127.0.0.1:7000",
            "peer_address": "127.0.0.1:8000",
            "state": "active"
          }
        ],
        "history": []
      },
      "standing_until": 7000,
      "adopted": [
        {
          "life": {
            "id": "b",
            "incarnation": 98
          },
          "map": 4
        }
      ],
      "silent": [
        "b"
      ],
      "past_retired_at": null
    }
    "#);
    let json = serde_json::to_value(&ownership).expect("ownership is serialisable");
    let parsed: Ownership = serde_json::from_value(json).expect("the same names are parsed");
    assert_eq!(parsed, ownership);
}
