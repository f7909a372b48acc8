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
pub(super) enum Goal {
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
    goal: Goal,
    dropped: &BTreeSet<InstanceId>,
) -> Option<Map> {
    let mut members: Vec<_> = map
        .members
        .iter()
        .filter(|member| !dropped.contains(&member.id))
        .cloned()
        .collect();
    place(&mut members, me, goal);
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

fn place(members: &mut Vec<Member>, me: &Member, goal: Goal) {
    let listed = members
        .iter()
        .find(|member| member.id == me.id && member.incarnation == me.incarnation)
        .map(|member| member.state);
    let Some(state) = next_state(listed, goal) else {
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
const fn next_state(listed: Option<MemberState>, goal: Goal) -> Option<MemberState> {
    match (goal, listed) {
        (Goal::Join, None) => Some(MemberState::Joining),
        (Goal::Join, Some(state)) => Some(state),
        (Goal::Serve, _) => Some(MemberState::Active),
        (Goal::Leave, Some(_)) | (Goal::Out, Some(MemberState::Joining | MemberState::Active)) => {
            Some(MemberState::Leaving)
        }
        (Goal::Leave, None) | (Goal::Out, None | Some(MemberState::Leaving)) => None,
    }
}
