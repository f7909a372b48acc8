//! Limits that targets name for all instances together.

mod support;

use support::fleet::Fleet;
use support::limited::{Limited, Play, allowed};

/// When the targets begin to name limits, in milliseconds.
const NAMED: u64 = 2_000;
/// Time after that from which the limits bind, in milliseconds.
const CONTACT: u64 = 3_000;

/// Two of six targets are in need.
fn two_in_need(rate: u64) -> Limited {
    Limited {
        targets: 6,
        limits: vec![1_900, 3_700],
        rate,
        from_ms: NAMED,
        for_ms: 60_000,
    }
}

fn assert_within(play: &Play, limits: &[u32], what: &str) {
    for (target, limit) in limits.iter().enumerate() {
        let most = play.most_in_a_window(target, NAMED + CONTACT);
        assert!(most <= allowed(*limit), "{what}, c{target}: {most} in 4 s");
    }
}

/// Guards against a limit that each instance keeps for itself, or that none reads.
#[test]
fn all_instances_together_keep_a_limit() {
    for (count, domains, rate) in [(6, 3, 60), (75, 3, 150), (195, 5, 200)] {
        let limited = two_in_need(rate);
        let limits = limited.limits.clone();
        let mut play = limited.begin(Fleet::start(count, domains, 21));
        play.run_ms(20_000);
        assert_within(&play, &limits, &format!("{count} instances"));
    }
}
