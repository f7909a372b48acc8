//! Tests of prompt tokens that are told by rank.

use bluebellstage_gateway::decide::peers::Load;
use bluebellstage_gateway::decide::ranked_tokens::{RankClass, RankedTokens};
use bluebellstage_gateway::decide::relay_update::Loads;
use bluebellstage_gateway::decide::rendezvous::ShortHash;

fn tokens(by_class: [u64; 3]) -> RankedTokens {
    let mut tokens = RankedTokens::default();
    for (earlier, count) in by_class.into_iter().enumerate() {
        tokens.add(RankedTokens::of(RankClass::after(earlier), count));
    }
    tokens
}

#[test]
fn prompts_of_later_ranks_are_not_ahead() {
    let queued = tokens([100, 20, 3]);
    let ahead = [0, 1, 2, 7].map(|earlier| queued.ahead_of(RankClass::after(earlier)));
    assert_eq!(ahead, [100, 120, 123, 123]);
}

/// Guards against statuses that grow where all requests are of one rank.
#[test]
fn classes_without_prompts_take_no_bytes() {
    assert!(Vec::<u64>::from(tokens([0, 0, 0])).is_empty());
    assert_eq!(Vec::<u64>::from(tokens([64, 0, 0])), [64]);
    assert_eq!(Vec::<u64>::from(tokens([0, 0, 64])), [0, 0, 64]);
}

/// Guards against another release's tokens that are read as those of other ranks.
#[test]
fn tokens_of_more_classes_than_known_are_refused() {
    let refused = RankedTokens::try_from(vec![1, 2, 3, 4]).unwrap_err();
    assert!(refused.to_string().starts_with("tokens of 4 classes"));
}

#[test]
fn relays_tell_prompts_by_rank() {
    let targets = ["e0", "e1"].map(ShortHash::of);
    let loads = [[64, 0, 0], [32, 96, 320]].map(|by_class| Load {
        requests: 1,
        prompts: tokens(by_class),
    });
    let told = targets.into_iter().zip(loads).collect::<Vec<_>>();
    let packed = Loads::in_order(&told, 7);
    let unpacked = packed.unpack(&targets, 7).unwrap();
    assert_eq!(targets.map(|target| unpacked[&target]), loads);
}

/// Guards against a relay whose positions lie beyond its list.
#[test]
fn a_position_beyond_the_list_of_targets_is_not_believed() {
    let packed = Loads::InOrder {
        digest: 7,
        loads: vec![(1, 1)],
        later: vec![(1, [1, 1])],
    };
    assert_eq!(packed.unpack(&[ShortHash::of("e0")], 7), None);
}
