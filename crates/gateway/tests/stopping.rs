//! How long an instance that was told to stop goes on taking requests.

use std::time::Duration;

use bluebellstage_gateway::decide::stopping::refuse_after;

/// A clerk's draft breaks off in its middle: an instance took it 3.07 s after it was told to stop, when
/// callers had kept its address for their three seconds, and ended before the draft did.
#[test]
fn nothing_is_taken_after_callers_have_dropped_the_address() {
    let keep = Duration::from_secs(1);
    let after = refuse_after(keep, Duration::from_millis(7_700));
    assert!(after < keep * 3, "{after:?}");
}

#[test]
fn what_was_taken_has_a_second_to_finish() {
    let after = refuse_after(Duration::from_secs(5), Duration::from_secs(4));
    assert_eq!(after, Duration::from_secs(3));
}
