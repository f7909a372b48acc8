//! Tests when an instance closes connections.

use std::time::Duration;

use bluebellstage_gateway::decide::connection_end::{
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
        is_closing: false,
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
    let closing = |now, is_close_told| {
        next_step(ConnectionState {
            is_closing: true,
            is_close_told,
            ..state(now)
        })
    };
    let just_idle = Use::Idle(Duration::from_millis(100));
    assert_eq!(
        closing(just_idle, false),
        NextStep::Keep(Duration::from_millis(400))
    );
    assert_eq!(closing(just_idle, true), NextStep::CloseOnceRead);
    assert_eq!(
        closing(Use::Idle(seconds(1)), false),
        NextStep::CloseOnceRead
    );
    assert!(matches!(
        closing(Use::Request, false),
        NextStep::Keep(span) if span < seconds(1)
    ));
    assert!(matches!(
        closing(Use::PartialHead(seconds(1)), false),
        NextStep::Keep(_)
    ));
}
