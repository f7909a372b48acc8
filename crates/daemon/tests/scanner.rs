//! Events from engines: whole, checked, however the bytes arrive.

use std::time::{Duration, Instant};

use bluebellstage_daemon::{Block, BlockEnd, Scanner};
use tokio_util::bytes::Bytes;

fn event(id: u64, ran: &str, token: &str) -> String {
    format!(
        "id: {id}\ndata: {{\"system_fingerprint\":\"{ran}\",\"choices\":[{{\"delta\":{{\"content\":\"{token}\"}}}}]}}\n\n"
    )
}

fn push(scanner: &mut Scanner, text: &str) -> Option<Block> {
    scanner.push(Bytes::copy_from_slice(text.as_bytes()))
}

/// All blocks of a text that arrives in pieces of `size` bytes.
fn in_pieces(text: &str, size: usize) -> Vec<Block> {
    let mut scanner = Scanner::new("a@1");
    let pieces = text.as_bytes().chunks(size);
    pieces
        .filter_map(|piece| scanner.push(Bytes::copy_from_slice(piece)))
        .collect()
}

#[test]
fn events_come_out_whole_however_the_bytes_arrive() {
    let text = event(1, "a@1", "x") + &event(2, "a@1", "y") + "data: [DONE]\n\n";
    for size in 1..=text.len() {
        let blocks = in_pieces(&text, size);
        let joined: Vec<u8> = blocks
            .iter()
            .flat_map(|block| block.bytes.to_vec())
            .collect();
        assert_eq!(joined, text.as_bytes(), "pieces of {size}");
        assert!(
            blocks.iter().all(|block| block.bytes.ends_with(b"\n\n")),
            "pieces of {size}"
        );
        assert_eq!(
            blocks.last().unwrap().end,
            BlockEnd::Done,
            "pieces of {size}"
        );
        assert_eq!(
            blocks.iter().filter_map(|block| block.last_id).next_back(),
            Some(2)
        );
    }
}

#[test]
fn carriage_returns_end_lines_too() {
    let text = event(1, "a@1", "x").replace('\n', "\r\n");
    let block = push(&mut Scanner::new("a@1"), &text).unwrap();
    assert_eq!((block.last_id, block.end), (Some(1), BlockEnd::More));
}

#[test]
fn another_version_is_found_in_the_middle_of_a_block() {
    let text = event(1, "a@1", "x") + &event(2, "a@2", "y");
    let block = push(&mut Scanner::new("a@1"), &text).unwrap();
    assert_eq!(block.end, BlockEnd::WrongAdapter);
}

#[test]
fn an_event_that_says_not_what_ran_counts_as_another_adapter() {
    let block = push(
        &mut Scanner::new("a@1"),
        "id: 1\ndata: {\"choices\":[]}\n\n",
    )
    .unwrap();
    assert_eq!(block.end, BlockEnd::WrongAdapter);
}

/// A model could be made to write what the check looks for: inside a token it is escaped.
#[test]
fn a_token_that_spells_the_check_does_not_pass_it() {
    let token = "\\\"system_fingerprint\\\":\\\"a@1\\\"";
    let block = push(&mut Scanner::new("a@1"), &event(1, "a@2", token)).unwrap();
    assert_eq!(block.end, BlockEnd::WrongAdapter);
}

#[test]
fn the_check_reads_json_that_is_written_with_spaces() {
    let text = "id: 1\ndata: {\"system_fingerprint\" : \"a@1\", \"choices\": []}\n\n";
    let block = push(&mut Scanner::new("a@1"), text).unwrap();
    assert_eq!(block.end, BlockEnd::More);
}

#[test]
fn an_engine_s_error_and_broken_json_are_failures() {
    for text in [
        "data: {\"error\":{\"code\":\"evicted\"}}\n\n",
        "data: {\"sys\n\n",
    ] {
        let block = push(&mut Scanner::new("a@1"), text).unwrap();
        assert_eq!(block.end, BlockEnd::Failed);
    }
}

#[test]
fn an_event_without_end_is_a_failure_before_it_fills_the_memory() {
    let mut scanner = Scanner::new("a@1");
    let piece = "x".repeat(64 * 1_024);
    let failed = (0..100).find_map(|_| push(&mut scanner, &piece));
    assert_eq!(failed.unwrap().end, BlockEnd::Failed);
}

/// Guards against a search through all that lies in the buffer at each piece of a long event.
#[test]
fn a_long_event_in_small_pieces_takes_linear_time() {
    let mut scanner = Scanner::new("a@1");
    let piece = "x\n".repeat(32);
    let begun = Instant::now();
    let failed = (0..100_000).find_map(|_| push(&mut scanner, &piece));
    assert_eq!(failed.unwrap().end, BlockEnd::Failed);
    assert!(begun.elapsed() < Duration::from_secs(1));
}

/// Guards against a token that reaches the caller twice, and against a run of events without tokens.
#[test]
fn tokens_that_came_before_and_events_without_tokens_are_failures() {
    let mut scanner = Scanner::new("a@1").after(3);
    let old = push(&mut scanner, &event(3, "a@1", "x")).unwrap();
    assert_eq!(old.end, BlockEnd::Failed);
    let next = push(&mut scanner, &event(4, "a@1", "x")).unwrap();
    assert_eq!((next.last_id, next.end), (Some(4), BlockEnd::More));
    let comment = format!(": {}\n\n", "x".repeat(1_000));
    let ends = (0..2_000).filter_map(|_| push(&mut scanner, &comment));
    assert!(
        ends.map(|block| block.end)
            .any(|end| end == BlockEnd::Failed)
    );
}
