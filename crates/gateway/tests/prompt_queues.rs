//! Tests of the estimates of engines' prompt queues.

mod support;

use std::time::Duration;

use bluebellstage_core::TargetId;
use bluebellstage_gateway::decide::prompt_queues::PromptQueues;
use bluebellstage_gateway::decide::ranked_tokens::{RankClass, RankedTokens};
use support::at;

fn id(name: &str) -> TargetId {
    TargetId::try_from(name).unwrap()
}

fn of_first(tokens: u64) -> (RankClass, u64) {
    (RankClass::default(), tokens)
}

fn others(tokens: u64) -> RankedTokens {
    RankedTokens::of(RankClass::default(), tokens)
}

fn to_millis(span: Duration) -> u128 {
    span.as_millis()
}

/// A fast engine with a long queue responds late, which must not count as a low speed.
#[test]
fn tokens_queued_ahead_of_a_request_count_as_read() {
    let mut queues = PromptQueues::default();
    queues.record_sent(&id("e0"), of_first(2_000), others(0), at(0));
    let key = queues.record_sent(&id("e0"), of_first(1_000), others(7_000), at(0));
    let started = queues.record_started(key, at(500)).unwrap();
    assert_eq!((started.tokens, to_millis(started.elapsed)), (10_000, 500));
}

#[test]
fn a_removed_request_no_longer_counts_as_waiting() {
    let mut queues = PromptQueues::default();
    let first = queues.record_sent(&id("e0"), of_first(1_000), others(0), at(0));
    let second = queues.record_sent(&id("e0"), of_first(500), others(0), at(1));
    assert_eq!(queues.local_tokens(&id("e0")).total(), 1_500);
    queues.remove(first);
    queues.remove(first);
    assert_eq!(queues.local_tokens(&id("e0")).total(), 500);
    queues.record_started(second, at(20));
    assert_eq!(queues.local_tokens(&id("e0")).total(), 0);
}

#[test]
fn a_long_wait_is_remembered_for_a_while() {
    let mut queues = PromptQueues::default();
    let key = queues.record_sent(&id("e0"), of_first(1_000), others(0), at(0));
    assert_eq!(
        to_millis(queues.recent_max_wait(&id("e0"), at(1_500))),
        1_500
    );
    queues.record_started(key, at(3_000));
    assert_eq!(
        to_millis(queues.recent_max_wait(&id("e0"), at(4_000))),
        3_000
    );
    assert_eq!(to_millis(queues.recent_max_wait(&id("e0"), at(9_000))), 0);
}

#[test]
fn a_request_without_a_prompt_shows_no_speed() {
    let mut queues = PromptQueues::default();
    let empty = queues.record_sent(&id("e0"), of_first(0), others(9_000), at(0));
    assert_eq!(queues.record_started(empty, at(90)), None);
    assert_eq!(queues.record_started(empty, at(90)), None);
}

/// Guards against an engine that is taken for a slow one because urgent prompts keep overtaking others there.
#[test]
fn the_wait_of_a_prompt_that_others_overtake_shows_no_speed() {
    let mut queues = PromptQueues::default();
    let later = RankClass::after(1);
    for idx in 0..10 {
        let since = at(idx * 2_000);
        let key = queues.record_sent(&id("e0"), (later, 1_000), others(1_000), since);
        let started = queues.record_started(key, since + Duration::from_millis(1_900));
        assert_eq!(started, None);
    }
    let key = queues.record_sent(&id("e0"), (later, 1_000), others(0), at(30_000));
    let started = queues.record_started(key, at(30_050)).unwrap();
    assert_eq!((started.tokens, to_millis(started.elapsed)), (1_000, 50));
}
