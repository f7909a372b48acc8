//! Which lives the platform's list shows gone.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::{ListedInstance, Map, MemberRef, Time};

/// A life in the map that the list never shows for this long is gone: the list lags by less.
const LIST_LAG_BOUND: Duration = Duration::from_secs(10);

/// Lives that the platform's lagging list shows gone; gone is permanent.
///
/// A life is gone when the list once showed it and no longer does, when the list shows its
/// successor under the same name, or when it has been missing for longer than the list can lag. A
/// life that the list does not show *yet* is not gone: counting it out would let a newcomer's
/// majority and the others' miss each other.
///
/// What this gives up: when half of the instances or more vanish at once, their work goes on only
/// after the list has shown them gone; and when the platform goes away in between, the rest loses
/// standing until it is back, because two of three that fell silent can't be told from two that
/// carry on behind a cut.
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

    /// Takes a list that was asked for at `asked`; `silent` tells who is not heard any more.
    pub(super) fn observe(
        &mut self,
        asked: Time,
        list: &[ListedInstance],
        map: &Map,
        silent: impl Fn(&MemberRef) -> bool,
    ) {
        let listed: BTreeSet<_> = list.iter().map(life_of).collect();
        let known: BTreeSet<_> = map.known_lives().collect();
        self.missing_since
            .retain(|life, _| known.contains(life) && !listed.contains(life));
        for life in known.difference(&listed) {
            let since = *self.missing_since.entry(life.clone()).or_insert(asked);
            let was_shown = self.shown.contains(life);
            let too_long = asked.since(since) >= LIST_LAG_BOUND;
            let replaced = successor(map, life).is_some_and(|next| listed.contains(&next));
            if silent(life) && (was_shown || too_long || replaced) {
                self.gone.insert(life.clone());
            }
        }
        self.gone.retain(|life| known.contains(life));
        self.shown.extend(listed);
        self.shown.retain(|life| known.contains(life));
    }
}

fn life_of(listed: &ListedInstance) -> MemberRef {
    MemberRef {
        id: listed.id.clone(),
        incarnation: listed.incarnation,
    }
}

fn successor(map: &Map, life: &MemberRef) -> Option<MemberRef> {
    let next = map.member(&life.id)?.member_ref();
    (next != *life).then_some(next)
}
