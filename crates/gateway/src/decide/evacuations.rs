//! Evacuated failure domains, to whose targets nothing is sent until the operators lift the evacuation.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bluebellstage_core::{FailureDomain, Revision, Time};
use serde::{Deserialize, Serialize};

use super::drain_state::DrainState;
use super::rendezvous::name_hash;

/// Age of an evacuation up to which a request may still go to the domain if nothing else can run it now.
///
/// Meanwhile its adapters are loaded elsewhere. The operators are promised 5 s from their change, which
/// includes the time until the change arrives here and the time that a request takes to its target.
pub const DRAIN_PERIOD: Duration = Duration::from_millis(1_800);

/// A change of the evacuated domains.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EvacuationChange {
    /// An evacuation has begun.
    Begun(FailureDomain),
    /// An evacuation was lifted.
    Lifted(FailureDomain),
}

/// The evacuated domains, for a peer.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct EvacuationsCopy {
    /// Revision of the store as of which they are known.
    pub revision: Revision,
    /// The domains, with the time since their evacuation was learned of, at most [`DRAIN_PERIOD`].
    pub domains: Vec<(FailureDomain, Duration)>,
}

/// Identifies the evacuated domains that an instance knows.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct EvacuationsVersion {
    /// Revision of the store as of which they are known; the default revision if they are not.
    pub revision: Revision,
    /// Digest of their names.
    pub digest: u32,
}

/// The evacuated domains.
#[derive(Debug, Default)]
pub struct Evacuations {
    revision: Revision,
    /// Evacuated domains, with the time from which nothing is sent to them.
    closed_from: BTreeMap<FailureDomain, Time>,
}

impl Evacuations {
    /// Whether the store or a peer has said which domains are evacuated.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.revision > Revision::default()
    }

    /// Returns what identifies the known state to peers.
    #[must_use]
    pub fn version(&self) -> EvacuationsVersion {
        EvacuationsVersion {
            revision: self.revision,
            digest: self.digest(),
        }
    }

    fn digest(&self) -> u32 {
        let names = self.closed_from.keys();
        let folded = names.fold(0, |digest, domain| digest ^ name_hash(domain.as_str()));
        u32::try_from(folded >> 32).unwrap_or(0)
    }

    /// Whether an instance that knows `other` has newer evacuations.
    #[must_use]
    pub fn is_behind(&self, other: EvacuationsVersion) -> bool {
        let is_newer = other.revision > self.revision;
        is_newer && (other.digest != self.digest() || !self.is_known())
    }

    /// Returns whether targets of a domain may receive requests.
    #[must_use]
    pub fn state(&self, domain: &FailureDomain, now: Time) -> DrainState {
        match self.closed_from.get(domain) {
            None => DrainState::Open,
            Some(closed_from) if now < *closed_from => DrainState::Draining,
            Some(_) => DrainState::Closed,
        }
    }

    /// Evacuated domains and their states.
    pub fn all(&self, now: Time) -> impl Iterator<Item = (&FailureDomain, DrainState)> {
        let domains = self.closed_from.keys();
        domains.map(move |domain| (domain, self.state(domain, now)))
    }

    /// Replaces the evacuated domains by the store's full list. A list does not tell the age of its entries,
    /// so domains that were not known to be evacuated are closed at once.
    pub fn replace(
        &mut self,
        domains: &BTreeSet<FailureDomain>,
        revision: Revision,
        now: Time,
    ) -> Vec<EvacuationChange> {
        if revision <= self.revision {
            return Vec::new();
        }
        let begun = domains.iter().cloned().map(|domain| (domain, DRAIN_PERIOD));
        self.set(begun.collect(), revision, now)
    }

    /// Applies the changes that the store reports in order: the domain, and whether it is evacuated.
    ///
    /// A peer's copy may already contain the first of them. Applying these again ends in the same state, as
    /// the last change of a domain decides.
    pub fn apply_changes(
        &mut self,
        changes: Vec<(FailureDomain, bool)>,
        revision: Revision,
        now: Time,
    ) -> Vec<EvacuationChange> {
        if revision <= self.revision || changes.is_empty() {
            return Vec::new();
        }
        let mut ages = self.ages(now);
        for (domain, evacuated) in changes {
            if evacuated {
                ages.entry(domain).or_default();
            } else {
                ages.remove(&domain);
            }
        }
        self.set(ages, revision, now)
    }

    /// Returns a copy for a peer, or `None` if the evacuations are not known here.
    #[must_use]
    pub fn copy(&self, now: Time) -> Option<EvacuationsCopy> {
        self.is_known().then(|| EvacuationsCopy {
            revision: self.revision,
            domains: self.ages(now).into_iter().collect(),
        })
    }

    /// Applies a peer's copy if it is newer.
    pub fn apply_copy(&mut self, copy: EvacuationsCopy, now: Time) -> Vec<EvacuationChange> {
        if copy.revision <= self.revision {
            return Vec::new();
        }
        self.set(copy.domains.into_iter().collect(), copy.revision, now)
    }

    fn ages(&self, now: Time) -> BTreeMap<FailureDomain, Duration> {
        let ages = self.closed_from.iter().map(|(domain, closed_from)| {
            let age = DRAIN_PERIOD.saturating_sub(closed_from.since(now));
            (domain.clone(), age)
        });
        ages.collect()
    }

    fn set(
        &mut self,
        ages: BTreeMap<FailureDomain, Duration>,
        revision: Revision,
        now: Time,
    ) -> Vec<EvacuationChange> {
        self.revision = revision;
        let lifted = self
            .closed_from
            .keys()
            .filter(|known| !ages.contains_key(*known));
        let lifted = lifted.cloned().collect::<Vec<_>>();
        self.closed_from.retain(|known, _| ages.contains_key(known));
        let mut changes = Vec::new();
        for (domain, age) in ages {
            let closed_from = now + DRAIN_PERIOD.saturating_sub(age);
            if let Some(known) = self.closed_from.get_mut(&domain) {
                *known = closed_from.min(*known);
                continue;
            }
            self.closed_from.insert(domain.clone(), closed_from);
            changes.push(EvacuationChange::Begun(domain));
        }
        changes.extend(lifted.into_iter().map(EvacuationChange::Lifted));
        changes
    }
}
