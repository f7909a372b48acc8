//! Tests of the event order of streams and of the retry budget.

mod support;

use std::time::Duration;

use bluebellstage_core::ServiceId;
use bluebellstage_gateway::decide::event_stream::{EventSplitter, SplitResult};
use bluebellstage_gateway::decide::retry_budget::{RetryBudget, RetryCounts};
use support::at;

fn event(id: u64) -> String {
    format!("id: {id}\ndata: x\n\n")
}

#[test]
fn only_complete_events_are_forwarded() {
    let mut splitter = EventSplitter::new(None);
    let two = event(1) + &event(2);
    let (first, rest) = two.split_at(event(1).len() + 4);
    assert_eq!(
        splitter.push(first.as_bytes()),
        SplitResult::Events(event(1).into())
    );
    assert!(splitter.is_mid_event());
    assert_eq!(
        splitter.push(rest.as_bytes()),
        SplitResult::Events(event(2).into())
    );
    assert!(!splitter.is_mid_event());
    assert_eq!(splitter.last_id(), Some(2));
}

/// Guards against a stream with missing or repeated text: it was resumed at another engine from the wrong
/// position.
#[test]
fn gaps_and_repeated_events_are_detected() {
    for wrong in [2, 4] {
        let mut splitter = EventSplitter::new(Some(2));
        assert_eq!(splitter.push(event(wrong).as_bytes()), SplitResult::Invalid);
        assert_eq!(splitter.last_id(), Some(2));
    }
}

#[test]
fn an_incomplete_event_is_dropped_with_its_target() {
    let mut splitter = EventSplitter::new(None);
    splitter.push(event(1).as_bytes());
    splitter.push(b"id: 2\nda");
    splitter.drop_partial();
    assert_eq!(
        splitter.push(event(2).as_bytes()),
        SplitResult::Events(event(2).into())
    );
}

#[test]
fn an_event_that_is_too_long_is_invalid() {
    let mut splitter = EventSplitter::new(None);
    assert_eq!(splitter.push(&vec![b'x'; 70_000]), SplitResult::Invalid);
}

/// Guards against retries that overload recovering servers: many callers retry at once, and instances that
/// retry each of these requests as well would bring the servers down again.
#[test]
fn retries_stay_within_the_budget_of_a_window() {
    let court = ServiceId::try_from("court").unwrap();
    let budget = RetryBudget {
        ratio: 0.2,
        window: Duration::from_secs(10),
        slack: 16.0,
    };
    let mut counts = RetryCounts::default();
    let mut retries = 0;
    for ms in (0..10_000).step_by(100) {
        counts.record_request(&court, at(ms));
        retries += u32::from(counts.take_retry(&court, budget, 8, at(ms)));
    }
    assert!((10..=22).contains(&retries), "{retries}");
}
