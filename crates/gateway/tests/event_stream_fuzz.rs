//! Streams of events in pieces and with garbage, at random.

use std::time::{Duration, Instant};

use bluebellstage_gateway::decide::streams::events::{EventSplitter, SplitResult};
use rand::{Rng, RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SEED: u64 = 1;
const CASES: usize = 500;
const MAX_EVENTS: u64 = 30;
const MAX_PIECE_BYTES: usize = 60;

/// Returns a sound stream, as its events.
fn stream(rng: &mut ChaCha8Rng) -> Vec<Vec<u8>> {
    let line_end = if rng.random() { "\n" } else { "\r\n" };
    let events = 1..=rng.random_range(1..=MAX_EVENTS);
    events
        .map(|id| {
            let data = "x".repeat(rng.random_range(0..100));
            format!("id: {id}{line_end}data: {data}{line_end}{line_end}").into_bytes()
        })
        .collect()
}

/// Returns what is forwarded of a stream that arrives in pieces, and whether all of it was valid.
fn forwarded(bytes: &[u8], rng: &mut ChaCha8Rng) -> (Vec<u8>, bool) {
    let mut splitter = EventSplitter::new(Some(0), None);
    let mut out = Vec::new();
    let mut rest = bytes;
    while !rest.is_empty() {
        let len = rng.random_range(1..=MAX_PIECE_BYTES.min(rest.len()));
        match splitter.push(&rest[..len]) {
            SplitResult::Events(events) => out.extend_from_slice(&events),
            SplitResult::Invalid => return (out, false),
        }
        rest = &rest[len..];
    }
    (out, true)
}

/// Returns what is no event of the stream at this place.
fn garbage(at: usize, rng: &mut ChaCha8Rng) -> Vec<u8> {
    match rng.random_range(0..3) {
        0 => b"data: x\n\n".into(),
        1 => format!("id: {}\n\n", at + 2).into_bytes(),
        _ => {
            let mut bytes = vec![0; rng.random_range(1..200)];
            rng.fill_bytes(&mut bytes);
            [b"x", &*bytes, b"\n\n"].concat()
        }
    }
}

/// Guards against events that are lost, doubled or changed, depending on how the bytes arrive.
#[test]
fn the_events_are_the_same_in_any_pieces() {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    for case in 0..CASES {
        let whole = stream(&mut rng).concat();
        let (out, is_valid) = forwarded(&whole, &mut rng);
        assert!(is_valid, "case {case} of seed {SEED}");
        assert!(out == whole, "case {case} of seed {SEED}");
    }
}

/// Guards against garbage that is forwarded between two events or after the last one.
#[test]
fn nothing_but_whole_events_before_garbage_is_forwarded() {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    for case in 0..CASES {
        let events = stream(&mut rng);
        let at = rng.random_range(0..=events.len());
        let before = events[..at].concat();
        let bytes = [&*before, &*garbage(at, &mut rng), &*events[at..].concat()].concat();
        let (out, is_valid) = forwarded(&bytes, &mut rng);
        assert!(!is_valid, "case {case} of seed {SEED}");
        assert!(before.starts_with(&out), "case {case} of seed {SEED}");
    }
}

/// Guards against a search through all that has arrived at each piece and for each event.
#[test]
fn events_take_linear_time() {
    let many = (1..=100_000).map(|id| format!("id: {id}\n\n"));
    let many = many.collect::<String>();
    let long = format!("id: 1\ndata: {}", "x".repeat(60_000));
    let begun = Instant::now();
    let all = EventSplitter::new(Some(0), None).push(many.as_bytes());
    assert!(all == SplitResult::Events(many.into()));
    let mut splitter = EventSplitter::new(Some(0), None);
    for byte in long.as_bytes() {
        let none = splitter.push(std::slice::from_ref(byte));
        assert!(none == SplitResult::Events(bytes::Bytes::new()));
    }
    assert!(begun.elapsed() < Duration::from_secs(2));
}
