//! Tests of the event order of streams and of the retry budget.

mod support;

use std::time::Duration;

use bluebellstage_core::ServiceId;
use bluebellstage_gateway::decide::retry_budget::{RetryBudget, RetryCounts, RetryShare};
use bluebellstage_gateway::decide::streams::events::{EventSplitter, SplitResult};
use support::at;

fn event(id: u64) -> String {
    format!("id: {id}\ndata: x\n\n")
}

#[test]
fn only_complete_events_are_forwarded() {
    let mut splitter = EventSplitter::new(None, None);
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
        let mut splitter = EventSplitter::new(Some(2), None);
        assert_eq!(splitter.push(event(wrong).as_bytes()), SplitResult::Invalid);
        assert_eq!(splitter.last_id(), Some(2));
    }
}

#[test]
fn an_incomplete_event_is_dropped_with_its_target() {
    let mut splitter = EventSplitter::new(None, None);
    splitter.push(event(1).as_bytes());
    splitter.push(b"id: 2\nda");
    let mut splitter = EventSplitter::new(splitter.last_id(), None);
    assert_eq!(
        splitter.push(event(2).as_bytes()),
        SplitResult::Events(event(2).into())
    );
}

/// Guards against bytes that are no events and reach callers as an answer.
#[test]
fn what_is_no_event_is_invalid() {
    let invalid: [&[u8]; 8] = [
        b"data: without a number\n\n",
        b"id: 3\ndata: x\n\ndata: without a number\n\n",
        b"id: x\n",
        b"id: -3\n",
        b"id: 3\nid: 3\n",
        b"id: 4\n",
        b"no field\n",
        b"data: \xff\n",
    ];
    for bytes in invalid {
        let mut splitter = EventSplitter::new(Some(2), None);
        let text = String::from_utf8_lossy(bytes);
        assert_eq!(splitter.push(bytes), SplitResult::Invalid, "{text:?}");
        assert_eq!(splitter.last_id(), Some(2), "{text:?}");
    }
}

/// Guards against a stream that begins with an event of another one, or lacks its first events.
#[test]
fn a_stream_begins_with_its_first_event() {
    for (id, is_first) in [(0, true), (1, true), (2, false), (u64::MAX, false)] {
        let mut splitter = EventSplitter::new(None, None);
        let first = event(id);
        let expected = if is_first {
            SplitResult::Events(first.clone().into())
        } else {
            SplitResult::Invalid
        };
        assert_eq!(splitter.push(first.as_bytes()), expected, "{id}");
    }
}

/// Guards against a panic at a number that has none after it.
#[test]
fn nothing_follows_the_last_number() {
    let mut splitter = EventSplitter::new(Some(u64::MAX - 1), None);
    let last = event(u64::MAX);
    assert_eq!(
        splitter.push(last.as_bytes()),
        SplitResult::Events(last.into())
    );
    assert_eq!(splitter.push(event(0).as_bytes()), SplitResult::Invalid);
}

#[test]
fn events_have_any_fields_and_line_ends() {
    let mut splitter = EventSplitter::new(Some(6), None);
    let events = "weight-versions:3\nid:7\nevent: piece\ndata: x\n\nid: 8\r\ndata: x\r\n\r\n";
    assert_eq!(
        splitter.push(events.as_bytes()),
        SplitResult::Events(events.into())
    );
}

/// Guards against comments and empty lines without end that count as a stream.
#[test]
fn comments_are_dropped_and_bounded() {
    let mut splitter = EventSplitter::new(None, None);
    let [first, second] = [event(1), event(2)];
    let text = format!(": comment\n\n{first}\n:\n\n{second}:");
    assert_eq!(
        splitter.push(text.as_bytes()),
        SplitResult::Events((first + &second).into())
    );
    for endless in [": comment\n\n", "\n", "id: 1\n:\n"] {
        let mut splitter = EventSplitter::new(None, None);
        let pushes = (0..70_000).map(|_| splitter.push(endless.as_bytes()));
        let results = pushes.collect::<Vec<_>>();
        assert!(results.contains(&SplitResult::Invalid), "{endless:?}");
    }
}

/// Guards against events without end.
#[test]
fn a_response_has_no_more_events_than_its_tokens_allow() {
    let mut splitter = EventSplitter::new(None, Some(10));
    let forwarded = (1..100)
        .take_while(|id| splitter.push(event(*id).as_bytes()) != SplitResult::Invalid)
        .count();
    assert_eq!(forwarded, 20);
}

#[test]
fn an_event_that_is_too_long_is_invalid() {
    let mut splitter = EventSplitter::new(None, None);
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
    let share = RetryShare {
        instances: 8,
        earned_for: Duration::from_mins(1),
    };
    let mut counts = RetryCounts::default();
    let mut retries = 0;
    for ms in (0..10_000).step_by(100) {
        counts.record_request(&court, at(ms));
        retries += u32::from(counts.take_retry(&court, budget, share, at(ms)));
    }
    assert!((10..=22).contains(&retries), "{retries}");
}
