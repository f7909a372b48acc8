//! Map changes that an instance proposes.

use std::collections::BTreeSet;

use crate::{InstanceId, Map, Member, MemberState, PastMap};

/// Maximum number of earlier revisions in the map; a change that would add another one waits.
const MAX_HISTORY_LEN: usize = 16;

/// History entries that joining instances leave free for leaving and removed instances, which are
/// more urgent.
const RESERVED_HISTORY_LEN: usize = 4;

/// A stored history of this length is compacted if that removes at least half this many entries.
pub(super) const COMPACTION_HISTORY_LEN: usize = 8;

/// The state in the map that an instance aims for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Goal {
    /// Listed, but not an owner yet.
    Join,
    /// Owner of its share of the keys.
    Serve,
    /// Listed, but no longer an owner.
    Leave,
    /// Not listed.
    Exit,
}

/// Returns the successor of `map` with all wanted changes; `None` if there is no change, or while
/// the history is full.
pub(super) fn propose(
    map: &Map,
    local: &Member,
    goal: Goal,
    removed: &BTreeSet<InstanceId>,
) -> Option<Map> {
    let mut members: Vec<_> = map
        .members
        .iter()
        .filter(|member| !removed.contains(&member.id))
        .cloned()
        .collect();
    apply_goal(&mut members, local, goal);
    members.sort_by(|a, b| a.id.cmp(&b.id));
    if members == map.members {
        return None;
    }
    let is_join = members.len() > map.members.len();
    let reserved = if is_join { RESERVED_HISTORY_LEN } else { 0 };
    if map.history.len() + reserved >= MAX_HISTORY_LEN {
        return None;
    }
    Some(successor(map, members))
}

/// Returns the next revision of `map` with the given members.
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

fn apply_goal(members: &mut Vec<Member>, local: &Member, goal: Goal) {
    let listed = members
        .iter()
        .find(|member| member.id == local.id && member.incarnation == local.incarnation)
        .map(|member| member.state);
    let Some(state) = next_state(listed, goal) else {
        if listed.is_some() {
            members.retain(|member| member.id != local.id);
        }
        return;
    };
    members.retain(|member| member.id != local.id);
    members.push(Member {
        state,
        ..local.clone()
    });
}

/// Returns the next state on the way to `goal`; `None` means not listed.
const fn next_state(listed: Option<MemberState>, goal: Goal) -> Option<MemberState> {
    match (goal, listed) {
        (Goal::Join, None) => Some(MemberState::Joining),
        (Goal::Join, Some(state)) => Some(state),
        (Goal::Serve, _) => Some(MemberState::Active),
        (Goal::Leave, Some(_)) | (Goal::Exit, Some(MemberState::Joining | MemberState::Active)) => {
            Some(MemberState::Leaving)
        }
        (Goal::Leave, None) | (Goal::Exit, None | Some(MemberState::Leaving)) => None,
    }
}
