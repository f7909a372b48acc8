//! What one instance may conclude from what it is told: each guard on its own.

mod support {
    pub mod membership_bench;
}

use std::time::Duration;

use bluebellstage_core::{Expected, Incarnation, MemberState, Ownership, PastMap, Revision, Time};
use support::membership_bench::{Bench, after, beat, instance, key_of, life, listed, map, member};

/// T of the default settings.
const STANDING: Duration = Duration::from_secs(2);
/// T plus drift.
const RETIREMENT: Duration = Duration::from_millis(2_050);

#[test]
fn standing_counts_from_when_the_echoed_heartbeat_was_sent() {
    let mut bench = Bench::adopted(map(5, &["a", "b", "c"]));
    let asked = bench.now;
    bench.pass(300);
    bench.hear("b", beat(5, 1));
    assert_eq!(bench.own().lease_expires_at, asked + STANDING);
}

/// An instance restarts, and an answer to a heartbeat of its former life comes late: it says what
/// the peer knew before the restart, and must prove nothing to the new life.
#[test]
fn an_echo_of_a_former_life_proves_nothing() {
    let mut bench = Bench::adopted(map(5, &["a", "b", "c"]));
    let mut late = beat(5, 1);
    late.echo_incarnation = Incarnation(77);
    bench.hear("b", late);
    assert!(!bench.own().has_lease(bench.now));
}

#[test]
fn a_peer_that_knows_a_newer_map_confirms_nothing() {
    let mut bench = Bench::adopted(map(5, &["a", "b", "c"]));
    bench.hear("b", beat(6, 1));
    assert!(!bench.own().has_lease(bench.now));
}

#[test]
fn another_life_of_a_member_confirms_nothing() {
    let mut bench = Bench::adopted(map(5, &["a", "b", "c"]));
    let mut other = beat(5, 1);
    other.incarnation = Incarnation(77);
    bench.hear("b", other);
    assert!(!bench.own().has_lease(bench.now));
}

#[test]
fn half_of_an_even_number_of_lives_is_no_majority() {
    let mut bench = Bench::adopted(map(5, &["a", "b", "c", "d"]));
    bench.hear("b", beat(5, 1));
    assert!(!bench.own().has_lease(bench.now));
    assert_eq!(bench.membership.majority_catalogue(), None);
    bench.hear("c", beat(5, 1));
    assert!(bench.own().has_lease(bench.now));
    let quorum = bench.membership.majority_catalogue();
    assert_eq!(
        quorum.map(|quorum| quorum.majority_revision),
        Some(Revision(1))
    );
}

/// A read is answered long after it was sent, because the process was frozen meanwhile.
#[test]
fn standing_counts_from_when_a_read_was_sent() {
    let mut bench = Bench::adopted(map(5, &["a", "b", "c"]));
    let asked = bench.now;
    bench.pass(1_500);
    bench.read(asked, &map(5, &["a", "b", "c"]));
    assert_eq!(bench.own().lease_expires_at, asked + STANDING);
}

#[test]
fn standing_counts_from_when_a_write_was_sent() {
    let mut bench = Bench::fresh();
    bench.read(bench.now, &map(5, &["b", "c"]));
    let asked = bench.now;
    bench.pass(700);
    bench.written(asked);
    assert_eq!(bench.own().lease_expires_at, asked + STANDING);
    assert!(bench.own().is_member());
}

#[test]
fn an_entry_of_another_life_gives_no_standing() {
    let mut current = map(5, &["a", "b", "c"]);
    current.members[0].incarnation = Incarnation(77);
    let own = Ownership {
        lease_expires_at: Time::from_millis(9_000),
        ..Ownership::new(life("a"), current)
    };
    assert!(!own.has_lease(Time::from_millis(1)));
}

/// `c` was dropped. Its keys go on only when everyone who stood by the former map can't any more.
#[test]
fn a_past_map_retires_after_t_and_drift_once_a_majority_left_it() {
    let mut bench = Bench::adopted(after(&map(5, &["a", "b", "c"]), map(6, &["a", "b"])));
    bench.hear("b", beat(5, 1));
    assert_eq!(bench.own().past_retired_at, None);
    bench.pass(100);
    bench.hear("b", beat(6, 1));
    assert_eq!(bench.own().past_retired_at, Some(bench.now + RETIREMENT));
}

#[test]
fn a_retired_map_goes_from_the_history_and_peers_take_the_word_for_it() {
    let mut bench = Bench::adopted(after(&map(5, &["a", "b", "c"]), map(6, &["a", "b"])));
    let mut word = beat(6, 0);
    word.retired_below = Revision(6);
    bench.hear("b", word);
    assert!(bench.own().map.history.is_empty());
}

/// A life that joined a moment ago is not in the lagging list yet. Taken for gone, it would not
/// count when a past map's majority is looked for, and still stand by that map.
#[test]
fn a_life_that_the_list_does_not_show_yet_is_not_gone() {
    let mut bench = Bench::adopted(after(&map(5, &["a", "b", "c"]), map(6, &["a"])));
    bench.pass(2_000);
    bench.list(&[listed("a")]);
    assert_eq!(bench.own().past_retired_at, None);
}

#[test]
fn a_life_that_the_list_showed_and_shows_no_more_is_gone() {
    let mut bench = Bench::adopted(after(&map(5, &["a", "b", "c"]), map(6, &["a"])));
    bench.pass(2_000);
    bench.list(&[listed("a"), listed("b"), listed("c")]);
    bench.pass(2_000);
    bench.list(&[listed("a")]);
    assert_eq!(bench.own().past_retired_at, Some(bench.now + RETIREMENT));
}

/// All three were restarted at once, and the list shows only the new lives. They have never seen
/// the old ones listed, but the old ones' successors are.
#[test]
fn a_life_whose_successor_the_list_shows_is_gone() {
    let mut past = map(5, &["a", "b", "c"]);
    for member in &mut past.members {
        member.incarnation = Incarnation(77);
    }
    let mut bench = Bench::adopted(after(&past, map(6, &["a", "b", "c"])));
    bench.pass(2_000);
    bench.list(&[listed("a"), listed("b"), listed("c")]);
    assert_eq!(bench.own().past_retired_at, Some(bench.now + RETIREMENT));
}

#[test]
fn a_life_that_is_heard_is_not_gone_whatever_the_list_shows() {
    let past = map(5, &["a", "b", "c"]);
    let mut bench = Bench::adopted(after(&past, map(6, &["a"])));
    bench.list(&[listed("a"), listed("b"), listed("c")]);
    bench.pass(2_000);
    for id in ["b", "c"] {
        bench.hear(id, beat(5, 0));
    }
    bench.list(&[listed("a")]);
    assert_eq!(bench.own().past_retired_at, None);
}

/// Two of three are gone for good, but may have told a successor before they went that they left
/// this map: the last one must not stand by it as a majority of one.
#[test]
fn gone_lives_still_count_in_the_majority_that_gives_standing() {
    let mut bench = Bench::adopted(map(5, &["a", "b", "c"]));
    bench.list(&[listed("a"), listed("b"), listed("c")]);
    bench.pass(2_000);
    bench.list(&[listed("a")]);
    assert!(!bench.own().has_lease(bench.now));
}

/// The process was started twice under one name and the first life is frozen: it may thaw with
/// standing, so the second one waits for it as for any other home.
#[test]
fn a_former_life_of_the_same_instance_must_have_stopped_too() {
    let key = key_of("a", &["a", "b"]);
    let mut past = PastMap::from(&map(5, &["a", "b"]));
    past.members[0].incarnation = Incarnation(77);
    let mut current = map(6, &["a", "b"]);
    current.history.push(past);
    let own = Ownership::new(life("a"), current);
    assert!(!own.is_activated(Time::from_millis(1), &key));
}

#[test]
fn a_former_home_without_a_recorded_life_can_not_be_known_to_have_stopped() {
    let key = key_of("b", &["a", "b"]);
    let mut past = PastMap::from(&map(5, &["a", "b"]));
    past.members.retain(|member| member.id != instance("b"));
    let mut current = map(6, &["a", "b"]);
    current.history.push(past);
    let own = Ownership::new(life("a"), current);
    assert!(!own.is_activated(Time::from_millis(1), &key));
}

/// Two processes were started under one name by mistake. They would replace each other's entry
/// with every read, if the first did not give way.
#[test]
fn a_life_whose_entry_another_took_does_not_take_it_back() {
    let mut bench = Bench::adopted(map(5, &["a", "b", "c"]));
    let mut next = map(6, &["a", "b", "c"]);
    next.members[0].incarnation = Incarnation(77);
    bench.read(bench.now, &next);
    bench.pass(10_000);
    assert!(bench.writes().is_empty());
}

/// A process is frozen for five seconds and hears nobody in that time. It must not take its peers
/// for dead when it thaws.
#[test]
fn a_thawed_instance_suspects_nobody_before_it_has_listened() {
    let mut bench = Bench::adopted(map(5, &["a", "b", "c"]));
    bench.skip(5_000);
    assert_eq!(bench.suspected(), 0);
    bench.pass(2_000);
    assert_eq!(bench.suspected(), 2);
}

#[test]
fn a_change_is_written_against_the_version_it_was_read_at() {
    let mut bench = Bench::fresh();
    bench.read(bench.now, &map(5, &["b", "c"]));
    let writes = bench.writes();
    let (expected, written) = writes.first().expect("it joins");
    assert_eq!(*expected, Expected::Version(Bench::VERSION));
    let me = written.member(&instance("a")).expect("it is listed");
    assert_eq!(me, &member("a", MemberState::Joining));
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
