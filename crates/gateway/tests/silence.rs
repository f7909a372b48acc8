//! Tests of what becomes of runs whose sender is silent, and of targets that are silent.

mod support;

use std::time::Duration;

use bluebellstage_core::{TargetId, Time};
use bluebellstage_gateway::decide::health::{Health, HealthState, MAX_SILENCE, TargetOutcome};
use bluebellstage_gateway::decide::silence::{SEARCH_INTERVAL, SenderNews, Silence, SilenceAction};
use support::at;

const SEARCH_AFTER: Duration = MAX_SILENCE;
/// Time without an event after which callers leave a stream.
const CALLER_PATIENCE: Duration = Duration::from_secs(2);
const ALL_NEWS: [SenderNews; 3] = [SenderNews::Unknown, SenderNews::Live, SenderNews::Down];

fn id(name: &str) -> TargetId {
    TargetId::try_from(name).unwrap()
}

/// Follows the decisions about a silence from its begin; returns when searches began. A search takes no time.
fn searches(news: impl Fn(Time) -> SenderNews, may_retry: bool, until: Time) -> Vec<Time> {
    let mut silence = Silence::new(at(0), SEARCH_AFTER);
    let mut now = at(0);
    let mut searches = Vec::new();
    while now < until {
        match silence.next(news(now), may_retry, now) {
            SilenceAction::Search => {
                silence.record_search(now);
                searches.push(now);
            }
            SilenceAction::WaitUntil(due) => {
                assert!(due > now, "a wait until {due:?} at {now:?}");
                now = due;
            }
        }
    }
    searches
}

/// Guards against a search for a target that is silent no longer than usual, and against one that comes too late.
#[test]
fn a_search_begins_when_a_target_is_silent_for_too_long() {
    let searches = searches(|_now| SenderNews::Unknown, true, at(10_000));
    assert_eq!(searches[0], at(0) + SEARCH_AFTER);
    assert!(searches[0] < at(0) + CALLER_PATIENCE);
}

/// Guards against searches without a pause, and against a silence after one search that failed.
#[test]
fn searches_are_repeated_at_an_interval() {
    for news in ALL_NEWS {
        let searches = searches(|_now| news, true, at(10_000));
        let mut gaps = searches.windows(2).map(|pair| pair[1].since(pair[0]));
        assert!(gaps.all(|gap| gap == SEARCH_INTERVAL), "{news:?}");
        assert!(searches.last().unwrap().since(at(0)) > Duration::from_millis(9_700));
    }
}

/// Guards against a search for a request that may not be sent again.
#[test]
fn there_is_no_search_without_another_attempt() {
    for news in ALL_NEWS {
        assert_eq!(searches(|_now| news, false, at(10_000)), [], "{news:?}");
    }
}

/// Guards against an instance that searches at the same time as its peer, and against one that searches too late.
#[test]
fn a_live_peer_has_time_to_search_first() {
    let of_target = searches(|_now| SenderNews::Unknown, true, at(10_000))[0];
    let at_peer = searches(|_now| SenderNews::Live, true, at(10_000))[0];
    assert!(at_peer > of_target);
    assert!(at_peer < at(0) + CALLER_PATIENCE);
}

/// Guards against a wait for a peer that is down.
#[test]
fn a_search_begins_soon_after_a_peer_goes_down() {
    assert_eq!(searches(|_now| SenderNews::Down, true, at(1))[0], at(0));
    for down_ms in [1, 249, 250, 700, 1_399] {
        let news = |now| {
            if now < at(down_ms) {
                SenderNews::Live
            } else {
                SenderNews::Down
            }
        };
        let first = searches(news, true, at(10_000))[0];
        let waited = first.since(at(down_ms));
        assert!(waited <= SEARCH_INTERVAL, "{down_ms}: {waited:?}");
    }
}

/// Guards against a search that is put off by a pause of the instance.
#[test]
fn a_search_that_is_overdue_begins_at_once() {
    let mut silence = Silence::new(at(0), SEARCH_AFTER);
    let late = at(60_000);
    for news in ALL_NEWS {
        assert_eq!(silence.next(news, true, late), SilenceAction::Search);
    }
    assert!(!silence.was_searched());
    silence.record_search(late);
    assert!(silence.was_searched());
    assert_eq!(silence.since(), at(0));
    let next = silence.next(SenderNews::Unknown, true, late);
    assert_eq!(next, SilenceAction::WaitUntil(late + SEARCH_INTERVAL));
}

/// Guards against a wait from which an attempt that is allowed again does not wake.
#[test]
fn attempts_that_are_allowed_again_are_noticed() {
    let silence = Silence::new(at(0), SEARCH_AFTER);
    let now = at(3_000);
    let SilenceAction::WaitUntil(due) = silence.next(SenderNews::Unknown, false, now) else {
        panic!("a search without another attempt");
    };
    assert!(due.since(now) <= SEARCH_INTERVAL);
    let next = silence.next(SenderNews::Unknown, true, due);
    assert_eq!(next, SilenceAction::Search);
}

fn silent(health: &Health, now: Time) -> Vec<TargetId> {
    health.silent(now).cloned().collect()
}

/// Returns the health of a target that has been silent since `at(0)`.
fn health_of_silent_target() -> Health {
    let mut health = Health::default();
    let sent = TargetOutcome::Silent(at(0));
    health.record_outcome(&id("t1"), sent, at(0) + MAX_SILENCE);
    health
}

/// Guards against searches that send requests to targets that are silent too.
#[test]
fn a_target_without_a_response_is_silent() {
    let health = health_of_silent_target();
    assert_eq!(silent(&health, at(0) + MAX_SILENCE), [id("t1")]);
    assert_eq!(silent(&Health::default(), at(0)), []);
}

/// Guards against a target that counts as silent after it was heard.
#[test]
fn a_target_that_is_heard_is_not_silent() {
    let mut health = health_of_silent_target();
    health.record_heard(&id("t1"), at(1_500));
    assert_eq!(silent(&health, at(1_500)), []);
    let mut health = health_of_silent_target();
    let answer = TargetOutcome::Answer(Duration::from_millis(10));
    health.record_outcome(&id("t1"), answer, at(1_500));
    assert_eq!(silent(&health, at(1_500)), []);
}

/// Guards against a target that is left out for good because it gets no requests by which it could be heard.
#[test]
fn a_target_that_gets_no_requests_counts_as_silent_for_a_time_only() {
    let health = health_of_silent_target();
    assert_eq!(silent(&health, at(2_000)), [id("t1")]);
    assert_eq!(silent(&health, at(60_000)), []);
}

/// Guards against a target whose next silence is not noticed because the first one was forgotten with time only.
#[test]
fn a_target_that_is_still_silent_at_a_later_request_is_silent_again() {
    let mut health = health_of_silent_target();
    let later = at(60_000);
    health.record_outcome(&id("t1"), TargetOutcome::Silent(later), later + MAX_SILENCE);
    assert_eq!(silent(&health, later + MAX_SILENCE), [id("t1")]);
}

/// Guards against a target that is ejected for one silence, in which many requests had no response.
#[test]
fn a_silence_shorter_than_usual_is_no_failure() {
    let mut health = Health::default();
    for ms in 0..20 {
        let sent = at(ms);
        let now = at(ms) + MAX_SILENCE - Duration::from_millis(100);
        health.record_outcome(&id("t1"), TargetOutcome::Silent(sent), now);
    }
    assert_eq!(health.state(&id("t1"), at(2_000)), HealthState::Good);
}

/// Guards against records of targets that are only heard, which nothing would remove.
#[test]
fn hearing_an_unknown_target_records_nothing() {
    let mut health = Health::default();
    health.record_heard(&id("t1"), at(0));
    assert_eq!(silent(&health, at(0)), []);
    assert_eq!(health.state(&id("t1"), at(0)), HealthState::Good);
}
