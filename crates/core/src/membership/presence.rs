//! Incarnations that are gone according to the platform's instance list.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::{ListedInstance, Map, MemberRef, Time};

/// The instance list lags by less than this. An incarnation in the map that was never listed for
/// this long is gone.
const MAX_LIST_LAG: Duration = Duration::from_secs(10);

/// Incarnations that are gone according to the platform's lagging list. Being gone is permanent.
///
/// An unresponsive incarnation is gone when the list showed it earlier and no longer does, when the
/// list shows its successor under the same name, or when it has been missing for longer than the
/// list can lag. An incarnation that the list does not show *yet* is not gone: if it were left out
/// of the count, the majority of a joining instance and the majority of the others might not
/// overlap.
///
/// The price: when half of the instances or more vanish at once, their work continues only after
/// the list has shown that they are gone. If the platform becomes unavailable in between, the
/// remaining instances lose their lease until it is back, because two of three instances that are
/// unresponsive can't be told from two that carry on behind a network partition.
#[derive(Debug, Default)]
pub(super) struct Presence {
    shown: BTreeSet<MemberRef>,
    missing_since: BTreeMap<MemberRef, Time>,
    gone: BTreeSet<MemberRef>,
}

impl Presence {
    pub(super) const fn gone(&self) -> &BTreeSet<MemberRef> {
        &self.gone
    }

    /// Processes a list that was requested at `requested_at`.
    pub(super) fn observe(
        &mut self,
        requested_at: Time,
        list: &[ListedInstance],
        map: &Map,
        is_unresponsive: impl Fn(&MemberRef) -> bool,
    ) {
        let listed: BTreeSet<_> = list.iter().map(member_ref).collect();
        let known: BTreeSet<_> = map.known_member_refs().collect();
        self.missing_since
            .retain(|member, _| known.contains(member) && !listed.contains(member));
        for member in known.difference(&listed) {
            let since = *self
                .missing_since
                .entry(member.clone())
                .or_insert(requested_at);
            let was_shown = self.shown.contains(member);
            let is_overdue = requested_at.since(since) >= MAX_LIST_LAG;
            let is_replaced = successor(map, member).is_some_and(|next| listed.contains(&next));
            if is_unresponsive(member) && (was_shown || is_overdue || is_replaced) {
                self.gone.insert(member.clone());
            }
        }
        self.gone.retain(|member| known.contains(member));
        self.shown.extend(listed);
        self.shown.retain(|member| known.contains(member));
    }
}

fn member_ref(listed: &ListedInstance) -> MemberRef {
    MemberRef {
        id: listed.id.clone(),
        incarnation: listed.incarnation,
    }
}

fn successor(map: &Map, member: &MemberRef) -> Option<MemberRef> {
    let next = map.member(&member.id)?.member_ref();
    (next != *member).then_some(next)
}
