//! Tests when an instance closes connections.

use std::time::Duration;

use bluebellstage_gateway::decide::streams::connection_end::{
    CHECK_INTERVAL, ConnectionState, NextStep, Use, next_step,
};

const fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn state(now: Use) -> ConnectionState {
    ConnectionState {
        now,
        idle_timeout: seconds(15),
        header_timeout: seconds(3),
        closing_for: None,
        is_close_told: false,
    }
}

/// Guards against a connection that is closed under a request, or before its timeout is over.
#[test]
fn a_connection_closes_only_when_it_was_idle_for_its_timeout() {
    assert_eq!(
        next_step(state(Use::Request)),
        NextStep::Keep(CHECK_INTERVAL)
    );
    let idle = |age| next_step(state(Use::Idle(age)));
    assert_eq!(idle(seconds(1)), NextStep::Keep(CHECK_INTERVAL));
    assert_eq!(idle(seconds(14)), NextStep::Keep(seconds(1)));
    assert_eq!(idle(seconds(15)), NextStep::CloseOnceRead);
}

/// Guards against a caller that holds a connection with half a request.
#[test]
fn a_head_that_is_not_complete_in_time_ends_its_connection() {
    let partial = |age| next_step(state(Use::PartialHead(age)));
    assert_eq!(partial(seconds(2)), NextStep::Keep(seconds(1)));
    assert_eq!(partial(seconds(3)), NextStep::Cut);
}

/// Guards against a stop that closes a connection on top of a request whose caller could not know of it.
#[test]
fn a_stop_leaves_time_for_requests_in_transit_from_callers_that_were_not_told() {
    let closing = |now, millis, is_close_told| {
        next_step(ConnectionState {
            closing_for: Some(Duration::from_millis(millis)),
            is_close_told,
            ..state(now)
        })
    };
    let keep = |millis| NextStep::Keep(Duration::from_millis(millis));
    let just_idle = Use::Idle(Duration::from_millis(100));
    assert_eq!(closing(just_idle, 900, false), keep(400));
    assert_eq!(closing(Use::Idle(seconds(9)), 100, false), keep(400));
    assert_eq!(
        closing(Use::Idle(seconds(9)), 500, false),
        NextStep::CloseOnceRead
    );
    assert_eq!(closing(just_idle, 0, true), NextStep::CloseOnceRead);
    assert!(matches!(
        closing(Use::Request, 100, false),
        NextStep::Keep(span) if span < seconds(1)
    ));
    assert_eq!(
        closing(Use::PartialHead(seconds(1)), 900, false),
        keep(2_000)
    );
}
