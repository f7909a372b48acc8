//! Tests how much of a refused request's body is received.

use std::time::Duration;

use bluebellstage_core::{Revision, Time};
use bluebellstage_gateway::decide::config::{Config, Limits, Route, RouteKind};
use bluebellstage_gateway::decide::refused_body::{
    Discard, DiscardStep, RECEIVE_BUFFER, UploadBounds, max_at_once,
};

const BODY: usize = 100_000;

const fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn config() -> Config {
    Config {
        version: Revision(1),
        limits: Limits {
            body_bytes: BODY,
            header_timeout: seconds(3),
            ..Limits::default()
        },
        ..Config::default()
    }
}

fn discard(bounds: UploadBounds) -> Discard {
    let arrived = Time::from_millis(10_000);
    Discard::new(bounds, arrived, arrived)
}

/// Guards against a body that is allowed and whose sender is left before its end.
#[test]
fn a_body_as_long_as_allowed_is_received() {
    let mut discard = discard(UploadBounds::of_anyone(&config().limits));
    let now = Time::from_millis(10_500);
    let receive = DiscardStep::Receive(Duration::from_millis(2_500));
    for _ in 0..100 {
        assert_eq!(discard.next_step(now), receive);
        discard.record(BODY / 100, now);
    }
    assert_eq!(discard.next_step(now), receive);
}

/// Guards against a caller that sends without end or never ends its body.
#[test]
fn a_sender_without_end_is_left() {
    let bounds = UploadBounds::of_anyone(&config().limits);
    let mut too_long = discard(bounds);
    let now = Time::from_millis(10_500);
    too_long.record(BODY, now);
    too_long.record(1, now);
    assert_eq!(too_long.next_step(now), DiscardStep::Leave);
    too_long.record(0, now);
    assert_eq!(too_long.next_step(now), DiscardStep::Leave);
    let late = Time::from_millis(13_000);
    assert_eq!(discard(bounds).next_step(late), DiscardStep::Leave);
    assert!(discard(bounds).fits(100_000));
    assert!(!discard(bounds).fits(100_001));
}

/// Guards against a caller that names a deadline far away, and one that names none.
#[test]
fn a_caller_has_its_deadline_within_the_longest_route() {
    let mut config = config();
    let time = |config: &Config, deadline: Option<u64>| {
        UploadBounds::of_caller(config, deadline.map(seconds)).time
    };
    assert_eq!(time(&config, Some(60)), seconds(3));
    config.routes = [5, 20].map(route).into();
    assert_eq!(time(&config, Some(2)), seconds(2));
    assert_eq!(time(&config, Some(86_400)), seconds(20));
    assert_eq!(time(&config, None), seconds(20));
}

fn route(timeout: u64) -> Route {
    Route {
        name: "route".into(),
        host: "host".into(),
        prefix: "/".into(),
        split: Vec::new(),
        kind: RouteKind::Safe,
        timeout: seconds(timeout),
        target_latency: seconds(1),
        max_attempts: 1,
        rank: 0,
        public: false,
        target_gap: None,
    }
}

/// Guards against a caller that claims a long body and sends nothing of it until its deadline.
#[test]
fn a_silent_sender_is_left() {
    let bounds = UploadBounds {
        time: seconds(30),
        ..UploadBounds::of_anyone(&config().limits)
    };
    let mut discard = discard(bounds);
    let at = |millis: u64| Time::from_millis(10_000 + millis);
    let receive = DiscardStep::Receive(Duration::from_millis(100));
    assert_eq!(discard.next_step(at(2_900)), receive);
    discard.record(1, at(2_900));
    assert_eq!(discard.next_step(at(5_800)), receive);
    assert_eq!(discard.next_step(at(5_900)), DiscardStep::Leave);
}

/// Guards against buffers of refused bodies that grow with their number.
#[test]
fn the_buffers_of_refused_bodies_take_a_part_of_the_budget() {
    let budget = 40_000_000;
    let buffers = max_at_once(Some(budget)) * RECEIVE_BUFFER;
    assert!(buffers as u64 <= budget / 8);
    assert!(max_at_once(Some(budget)) > 100);
    assert!(max_at_once(None) > 100);
}
