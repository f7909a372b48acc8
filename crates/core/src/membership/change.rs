//! Changes of the map that an instance wants.

use std::collections::BTreeSet;

use crate::{InstanceId, Map, Member, MemberState, PastMap};

/// Most earlier revisions that the map records; a change that needs one more waits.
const HISTORY_BOUND: usize = 16;

/// Newcomers leave this much of the history to leaves and drops, which are more urgent.
const RESERVED_HISTORY: usize = 4;

/// A stored history of this length is shortened if that takes half of this away.
pub(super) const TIDY_HISTORY: usize = 8;

/// How an instance wants to stand in the map.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Wish {
    /// Listed, but home of nothing yet.
    Join,
    /// Home of its part.
    Serve,
    /// Home of nothing any more.
    Leave,
    /// Not listed.
    Out,
}

/// The map that follows `map` with all that is wanted of it; none while nothing is, or while the
/// history has no room.
pub(super) fn propose(
    map: &Map,
    me: &Member,
    wish: Wish,
    dropped: &BTreeSet<InstanceId>,
) -> Option<Map> {
    let mut members: Vec<_> = map
        .members
        .iter()
        .filter(|member| !dropped.contains(&member.id))
        .cloned()
        .collect();
    place(&mut members, me, wish);
    members.sort_by(|a, b| a.id.cmp(&b.id));
    if members == map.members {
        return None;
    }
    let is_newcomer = members.len() > map.members.len();
    let reserved = if is_newcomer { RESERVED_HISTORY } else { 0 };
    if map.history.len() + reserved >= HISTORY_BOUND {
        return None;
    }
    Some(successor(map, members))
}

/// The map that follows `map` with these members.
pub(super) fn successor(map: &Map, members: Vec<Member>) -> Map {
    let mut history = map.history.clone();
    if !map.members.is_empty() {
        history.push(PastMap::from(map));
    }
    Map {
        revision: map.revision.next(),
        terms: map.terms,
        members,
        history,
    }
}

fn place(members: &mut Vec<Member>, me: &Member, wish: Wish) {
    let listed = members
        .iter()
        .find(|member| member.id == me.id && member.incarnation == me.incarnation)
        .map(|member| member.state);
    let Some(state) = next_state(listed, wish) else {
        if listed.is_some() {
            members.retain(|member| member.id != me.id);
        }
        return;
    };
    members.retain(|member| member.id != me.id);
    members.push(Member {
        state,
        ..me.clone()
    });
}

/// The state to take next; none for not being listed.
const fn next_state(listed: Option<MemberState>, wish: Wish) -> Option<MemberState> {
    match (wish, listed) {
        (Wish::Join, None) => Some(MemberState::Joining),
        (Wish::Join, Some(state)) => Some(state),
        (Wish::Serve, _) => Some(MemberState::Active),
        (Wish::Leave, Some(_)) | (Wish::Out, Some(MemberState::Joining | MemberState::Active)) => {
            Some(MemberState::Leaving)
        }
        (Wish::Leave, None) | (Wish::Out, None | Some(MemberState::Leaving)) => None,
    }
}
