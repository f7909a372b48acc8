//! Tests of what is known of engines' queues of prompts.

mod support;

use std::time::Duration;

use bluebellstage_core::TargetId;
use bluebellstage_gateway::decide::prompt_queues::PromptQueues;
use support::at;

fn id(name: &str) -> TargetId {
    TargetId::try_from(name).unwrap()
}

/// Reads prompts of 1,000 tokens one after the other, `ms` milliseconds each.
fn read_alone(queues: &mut PromptQueues, engine: &str, ms: u64, count: u64) {
    for turn in 0..count {
        let key = queues.sent(&id(engine), 1_000, 0, at(turn * 1_000));
        queues.began(key, at(turn * 1_000 + ms));
    }
}

fn millis(span: Duration) -> u128 {
    span.as_millis()
}

#[test]
fn nothing_is_expected_before_the_first_outcome() {
    let queues = PromptQueues::default();
    assert_eq!(queues.reading(&id("e0"), 50_000), Duration::ZERO);
}

#[test]
fn an_engine_is_taken_for_one_like_all_until_it_showed_its_own_speed() {
    let mut queues = PromptQueues::default();
    read_alone(&mut queues, "e0", 50, 10);
    assert_eq!(millis(queues.reading(&id("e1"), 2_000)), 100);
    read_alone(&mut queues, "e1", 200, 10);
    assert_eq!(millis(queues.reading(&id("e1"), 2_000)), 400);
    assert_eq!(millis(queues.reading(&id("e0"), 2_000)), 100);
}

/// A quick engine with a long queue answers late. That it is quick must not be forgotten for it.
#[test]
fn what_stood_before_a_request_counts_as_read() {
    let mut queues = PromptQueues::default();
    for turn in 0..10 {
        let since = at(turn * 2_000);
        let key = queues.sent(&id("e0"), 1_000, 9_000, since);
        queues.began(key, since + Duration::from_millis(500));
    }
    assert_eq!(millis(queues.reading(&id("e0"), 1_000)), 50);
}

#[test]
fn an_engine_that_turned_slow_shows_after_ten_requests() {
    let mut queues = PromptQueues::default();
    read_alone(&mut queues, "e0", 50, 20);
    read_alone(&mut queues, "e0", 400, 10);
    assert!(millis(queues.reading(&id("e0"), 1_000)) > 250);
}

#[test]
fn what_ended_without_beginning_waits_no_longer() {
    let mut queues = PromptQueues::default();
    let first = queues.sent(&id("e0"), 1_000, 0, at(0));
    let second = queues.sent(&id("e0"), 500, 0, at(1));
    assert_eq!(queues.own(&id("e0")), 1_500);
    queues.gone(first);
    queues.gone(first);
    assert_eq!(queues.own(&id("e0")), 500);
    queues.began(second, at(20));
    assert_eq!(queues.own(&id("e0")), 0);
}

#[test]
fn a_long_wait_is_remembered_for_a_while() {
    let mut queues = PromptQueues::default();
    let key = queues.sent(&id("e0"), 1_000, 0, at(0));
    assert_eq!(millis(queues.longest_wait(&id("e0"), at(1_500))), 1_500);
    queues.began(key, at(3_000));
    assert_eq!(millis(queues.longest_wait(&id("e0"), at(4_000))), 3_000);
    assert_eq!(millis(queues.longest_wait(&id("e0"), at(9_000))), 0);
}

/// Times and counts that can't be must neither be learned from nor divided by.
#[test]
fn impossible_figures_teach_nothing() {
    let mut queues = PromptQueues::default();
    let empty = queues.sent(&id("e0"), 0, 0, at(0));
    queues.began(empty, at(90));
    assert_eq!(queues.reading(&id("e0"), 1_000), Duration::ZERO);
    let backwards = queues.sent(&id("e0"), 1_000, u64::from(u32::MAX), at(100));
    queues.began(backwards, at(0));
    assert!(queues.reading(&id("e0"), u64::MAX) < Duration::from_secs(u64::MAX / 2));
}
