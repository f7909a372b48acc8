//! Tests of the order of streams and of the budget for repeats.

mod support;

use std::time::Duration;

use bluebellstage_core::ServiceId;
use bluebellstage_gateway::decide::event_stream::{Cut, EventCutter};
use bluebellstage_gateway::decide::retry_budget::{RetryBudget, RetryCounts};
use support::at;

fn event(id: u64) -> String {
    format!("id: {id}\ndata: x\n\n")
}

#[test]
fn only_whole_events_go_on() {
    let mut cutter = EventCutter::new(None);
    let two = event(1) + &event(2);
    let (first, rest) = two.split_at(event(1).len() + 4);
    assert_eq!(cutter.push(first.as_bytes()), Cut::Events(event(1).into()));
    assert!(cutter.mid_event());
    assert_eq!(cutter.push(rest.as_bytes()), Cut::Events(event(2).into()));
    assert!(!cutter.mid_event());
    assert_eq!(cutter.last(), Some(2));
}

/// A parent reads a clause with a sentence missing, or twice: the stream went on at another engine
/// from the wrong place.
#[test]
fn a_gap_or_a_repeat_is_noticed() {
    for wrong in [2, 4] {
        let mut cutter = EventCutter::new(Some(2));
        assert_eq!(cutter.push(event(wrong).as_bytes()), Cut::Broken);
        assert_eq!(cutter.last(), Some(2));
    }
}

#[test]
fn the_beginning_of_an_event_is_dropped_with_its_target() {
    let mut cutter = EventCutter::new(None);
    cutter.push(event(1).as_bytes());
    cutter.push(b"id: 2\nda");
    cutter.drop_partial();
    assert_eq!(
        cutter.push(event(2).as_bytes()),
        Cut::Events(event(2).into())
    );
}

#[test]
fn an_endless_event_is_wrong() {
    let mut cutter = EventCutter::new(None);
    assert_eq!(cutter.push(&vec![b'x'; 70_000]), Cut::Broken);
}

/// Many callers repeat at once; were their requests sent again by the instances as well, servers
/// that are barely up would go down again.
#[test]
fn repeats_stay_within_the_budget_of_any_window() {
    let court = ServiceId::try_from("court").unwrap();
    let budget = RetryBudget {
        ratio: 0.2,
        window: Duration::from_secs(10),
        slack: 16.0,
    };
    let mut counts = RetryCounts::default();
    let mut repeats = 0;
    for ms in (0..10_000).step_by(100) {
        counts.request(&court, at(ms));
        repeats += u32::from(counts.take(&court, budget, 8, at(ms)));
    }
    assert!((10..=22).contains(&repeats), "{repeats}");
}
