//! Tests how long an instance accepts requests after it was told to stop.

use std::time::Duration;

use bluebellstage_gateway::decide::stopping::refuse_after;

/// Guards against an interrupted response: an instance accepted a request 3.07 s after it was told to stop,
/// when callers had kept its address for three seconds, and ended before the response was complete.
#[test]
fn no_request_is_accepted_after_callers_dropped_the_address() {
    let keep = Duration::from_secs(1);
    let after = refuse_after(keep, Duration::from_millis(7_700));
    assert!(after < keep * 3, "{after:?}");
}

#[test]
fn accepted_requests_have_a_second_to_finish() {
    let after = refuse_after(Duration::from_secs(5), Duration::from_secs(4));
    assert_eq!(after, Duration::from_secs(3));
}
