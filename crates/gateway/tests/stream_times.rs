//! Tests of the times of event streams.

mod support;

use std::time::Duration;

use bluebellstage_core::Time;
use bluebellstage_gateway::decide::streams::times::StreamTimes;
use support::at;

/// Times of a stream whose events were each asked for and arrived at these milliseconds.
fn stream(events: &[(u64, u64)]) -> StreamTimes {
    let mut times = StreamTimes::default();
    for (asked, arrived) in events {
        times.record_asked(at(*asked));
        times.record_events(1, at(*arrived));
    }
    times
}

fn millis(times: &StreamTimes) -> (Option<Time>, u128, u128) {
    let [gap, held] = [times.max_gap(), times.max_held()].map(|span| span.as_millis());
    (times.first_event(), gap, held)
}

#[test]
fn the_longest_gap_is_that_between_two_events() {
    let times = stream(&[(0, 250), (250, 290), (290, 640), (640, 680)]);
    assert_eq!(millis(&times), (Some(at(250)), 350, 0));
}

/// Guards against a slow caller whose own pauses are taken for pauses of the target.
#[test]
fn what_a_caller_takes_late_was_held_here() {
    let times = stream(&[(0, 20), (420, 420), (421, 421), (422, 460)]);
    assert_eq!(millis(&times), (Some(at(20)), 39, 400));
}

#[test]
fn an_event_that_was_awaited_for_a_moment_was_made_late() {
    let times = stream(&[(0, 20), (320, 400)]);
    assert_eq!(millis(&times), (Some(at(20)), 380, 300));
}

/// The gap in which a stream moves is the caller's, but no target's.
#[test]
fn a_resumed_stream_has_a_gap_that_no_target_made() {
    let mut times = stream(&[(0, 20), (20, 60)]);
    times.record_asked(at(60));
    times.record_resumed();
    assert_eq!(times.record_events(1, at(560)), None);
    assert_eq!(times.max_gap(), Duration::from_millis(500));
    times.record_asked(at(560));
    let next = times.record_events(3, at(600)).unwrap();
    assert_eq!((next.events, next.gap.as_millis()), (3, 40));
}

#[test]
fn a_stream_without_events_has_no_times() {
    let mut times = StreamTimes::default();
    times.record_asked(at(0));
    assert_eq!(millis(&times), (None, 0, 0));
}
