//! Bounds of informational heads.

use bluebellstage_gateway::decide::response_heads::{
    MAX_INFORMATIONAL_BYTES, NextRead, PART_BYTES, ResponseHeads,
};

/// Reads pieces of informational heads until they are given up, and returns the bytes that were read.
fn read_until_given_up(first: usize) -> usize {
    let mut heads = ResponseHeads::default();
    let mut read = first;
    heads.record_read(first);
    loop {
        heads.record_informational();
        match heads.next() {
            NextRead::Fail => return read,
            NextRead::Any => panic!("heads are read without giving up the thread"),
            NextRead::Part => unreachable!(),
            NextRead::AfterOthers => assert_eq!(heads.next(), NextRead::Part),
        }
        heads.record_read(PART_BYTES);
        read += PART_BYTES;
    }
}

#[test]
fn endless_heads_are_given_up_after_a_bounded_size() {
    for first in [1, 8_192, 65_536] {
        assert!(read_until_given_up(first) <= first + MAX_INFORMATIONAL_BYTES + 2 * PART_BYTES);
    }
}

#[test]
fn a_body_is_not_counted() {
    let mut heads = ResponseHeads::default();
    assert!(heads.is_empty());
    heads.record_read(64);
    heads.record_informational();
    assert_eq!(heads.next(), NextRead::AfterOthers);
    for _ in 0..1_000 {
        heads.record_read(65_536);
        assert_eq!(heads.next(), NextRead::Any);
    }
    assert!(!heads.is_exceeded());
    assert!(!heads.is_empty());
}

#[test]
fn informational_heads_in_the_read_of_a_long_body_are_allowed() {
    let mut heads = ResponseHeads::default();
    heads.record_read(65_536);
    heads.record_informational();
    heads.record_informational();
    assert!(!heads.is_exceeded());
}
