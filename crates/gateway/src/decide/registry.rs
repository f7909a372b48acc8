//! The registered targets.

use std::cell::Cell;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use bluebellstage_core::{FailureDomain, Revision, TargetId, Time};

use serde::{Deserialize, Serialize};

use super::cold::{ColdSign, ColdTargets};
use super::rendezvous::{ShortHash, name_hash, weight};
use super::store::change_log::ChangeLog;
use super::store::position::StorePosition;
use super::streams::origins::StoredVersions;
use super::streams::software_history::SoftwareHistory;
use super::target::Target;

/// Time after the store's recovery within which a registration that expired during the outage may
/// come back.
///
/// Registrations expire while the store is unavailable although their targets are alive; the
/// platform restores them within about 2 s of the recovery. This instance notices the recovery up
/// to 1.2 s late, and 3 s after it the bound on leaving targets holds again, so the grace period is
/// a little shorter than the 2 s.
const RETURN_GRACE: Duration = Duration::from_millis(1_800);
/// Shortest outage in which a registration can expire. Targets report every 1.2 s and expire after
/// three missing reports, the first of which may have been due when the outage began.
const MIN_EXPIRY_OUTAGE: Duration = Duration::from_millis(2_300);
/// Time after a failed call for which the store counts as unavailable. The longest delay between
/// two calls is 1 s, and a response takes up to 1.2 s.
const UNAVAILABLE_PERIOD: Duration = Duration::from_millis(2_200);

/// How long a target that left is remembered; a store is restored from a copy some seconds old.
const DEPARTED_RETENTION: Duration = Duration::from_mins(1);

/// Maximum time between two responses to a follower. Targets report every 1.2 s, and a follower
/// waits 0.8 s between calls.
const FOLLOWER_TIMEOUT: Duration = Duration::from_millis(1_600);

/// Targets for a peer: either all, or the changes that it lacks.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RegistryCopy {
    /// Revision of the newest change in it.
    pub revision: Revision,
    /// Digest of the sender's full list.
    pub digest: u32,
    /// It contains all targets, not only changes.
    pub complete: bool,
    /// Registered targets, with the revision of their last change.
    pub targets: Vec<(Revision, Target)>,
    /// Removed targets, if the copy is not complete.
    pub removed: Vec<(Revision, TargetId)>,
    /// Targets whose registrations vanished in an outage of the store, with the remaining time for
    /// them to come back.
    pub in_grace: Vec<(TargetId, Duration)>,
}

/// A registration that vanished in an outage of the store.
#[derive(Clone, Copy, Debug)]
struct Vanished {
    at: Revision,
    until: Time,
}

/// Registered targets by name.
#[derive(Debug, Default)]
pub struct Registry {
    /// Signs that targets are cold.
    pub cold: ColdTargets,
    targets: BTreeMap<TargetId, Target>,
    vanished: HashMap<TargetId, Vanished>,
    /// Targets that were leaving when they were dropped: the start of the incarnation, and when.
    departed: HashMap<TargetId, (Option<u64>, Time)>,
    /// When this instance first saw the current incarnation of each target.
    first_seen: HashMap<TargetId, Time>,
    software: SoftwareHistory,
    changes: ChangeLog,
    /// Cached digest of the targets, or `None` after a change.
    digest: Cell<Option<u32>>,
    /// A copy of changes did not result in the sender's list, so the next copy must be complete.
    diverged: bool,
    revision: Revision,
    unavailable_until: Time,
    /// The last call to the store failed.
    last_call_failed: bool,
    /// Set while the first response after an outage is applied: the time until which vanished
    /// registrations may come back.
    grace_until: Option<Time>,
    followed_since: Option<Time>,
    last_response: Time,
}

impl Registry {
    /// Revision of the newest known change.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Records that a call to the store failed.
    pub fn record_store_failure(&mut self, now: Time) {
        self.unavailable_until = now + UNAVAILABLE_PERIOD;
        self.last_call_failed = true;
        self.grace_until = None;
    }

    /// Records whether this instance follows the store.
    pub fn set_following(&mut self, follows: bool, now: Time) {
        match (follows, self.followed_since) {
            (true, None) => self.followed_since = Some(now),
            (true, Some(_)) => {}
            (false, _) => self.followed_since = None,
        }
    }

    /// Records a response of the store about targets. Called before the response is applied.
    ///
    /// Registrations that are missing from the first response after a long enough outage may belong
    /// to live targets. A registration that vanishes later belongs to a target that left. If it
    /// were kept as well, an instance after a partition of its own would send requests to a target
    /// more than 2 s after it was gone.
    ///
    /// A store that was restored lacks the registrations since its copy, which their targets write again.
    pub fn record_store_response(&mut self, revision: Revision, now: Time) {
        let before = self
            .followed_since
            .unwrap_or_default()
            .max(self.last_response);
        let can_expire =
            std::mem::take(&mut self.last_call_failed) && now.since(before) >= MIN_EXPIRY_OUTAGE;
        let is_restored = self.is_restored_at(revision);
        self.grace_until = (can_expire || is_restored).then(|| now + RETURN_GRACE);
        self.last_response = now;
    }

    /// Whether the store responds to this instance, as far as known.
    ///
    /// A follower that was suspended, or whose watch hangs in a partitioned network, has not
    /// received an error yet. Only the missing response shows this, and other instances must follow
    /// in its place before the time of a leaving target is over.
    #[must_use]
    pub fn is_store_reachable(&self, now: Time) -> bool {
        let is_timed_out =
            |since: Time| now.since(since.max(self.last_response)) > FOLLOWER_TIMEOUT;
        !self.is_store_unavailable(now) && !self.followed_since.is_some_and(is_timed_out)
    }

    /// Whether a call to the store failed recently.
    #[must_use]
    pub fn is_store_unavailable(&self, now: Time) -> bool {
        now < self.unavailable_until
    }

    /// Whether the store was restored between the known revision and this one.
    fn is_restored_at(&self, revision: Revision) -> bool {
        let known = StorePosition::from(self.revision);
        known.counter > 0 && StorePosition::from(revision).era > known.era
    }

    /// Whether this incarnation of a target is known to leave. It never stays: a registration that says so comes
    /// from an older copy of the store. Incarnations without a start time can't be told apart.
    fn is_known_to_leave(&self, target: &Target) -> bool {
        if target.born.is_none() {
            return false;
        }
        let known = self.targets.get(&target.id);
        let is_leaving = known.is_some_and(|known| known.leaving && known.born == target.born);
        let departed = self.departed.get(&target.id);
        is_leaving || departed.is_some_and(|(born, _)| *born == target.born)
    }

    /// Replaces all targets by a full list.
    pub fn replace(&mut self, targets: Vec<Target>, revision: Revision, now: Time) {
        let absent = self
            .targets
            .keys()
            .filter(|id| !targets.iter().any(|target| target.id == **id))
            .cloned()
            .collect::<Vec<_>>();
        for id in absent {
            self.remove(&id, revision, now);
        }
        for target in targets {
            self.put(target, revision, now);
        }
        self.changes.reset(revision);
        self.revision = self.revision.max(revision);
    }

    /// Applies a peer's copy. Known targets that are `in_grace` there are kept here, too, because
    /// their registrations may come back.
    pub fn apply_copy(&mut self, copy: RegistryCopy, now: Time) {
        if copy.revision <= self.revision && !self.diverged {
            return;
        }
        for (id, remaining) in copy.in_grace {
            if self.targets.contains_key(&id) {
                let vanished = Vanished {
                    at: copy.revision,
                    until: now + remaining,
                };
                self.vanished.entry(id).or_insert(vanished);
            }
        }
        if copy.complete {
            let listed = copy.targets.iter().map(|(_, target)| &target.id);
            let listed = listed.collect::<HashSet<_>>();
            let absent = self.targets.keys().filter(|id| !listed.contains(id));
            let absent = absent.filter(|id| !self.vanished.contains_key(*id));
            for id in absent.cloned().collect::<Vec<_>>() {
                self.drop_target(&id, copy.revision, now);
            }
            self.changes.reset(copy.revision);
        }
        for (at, id) in copy.removed {
            if !self.changes.is_outdated(&id, at) {
                self.drop_target(&id, at, now);
            }
        }
        for (at, target) in copy.targets {
            self.put(target, at, now);
        }
        self.revision = self.revision.max(copy.revision);
        self.digest.set(None);
        self.diverged = self.revision == copy.revision && self.digest() != copy.digest;
    }

    /// Returns the revision after which changes are missing here, or the default revision if a
    /// complete copy is needed.
    #[must_use]
    pub fn copied_revision(&self) -> Revision {
        if self.diverged {
            return Revision::default();
        }
        self.revision
    }

    /// Returns a copy for a peer that knows all changes up to `have`. Vanished registrations are
    /// listed only by name.
    ///
    /// An instance that returns from a partition keeps a removed target for a while, with the
    /// newest revision. If it were in the copy, all others would send requests to it again.
    ///
    /// A list of thousands of targets takes hundreds of kilobytes. With complete copies each time,
    /// a large fleet would copy lists for as long as a new configuration may take to be in force.
    #[must_use]
    pub fn copy_since(&self, have: Revision, now: Time) -> RegistryCopy {
        let vanished = self.vanished.iter();
        let removed = self.changes.removed_since(have);
        let complete = removed.is_none();
        let known = self.present().map(|target| {
            let at = self.changes.last_change(&target.id);
            (at, target)
        });
        let missing = known.filter(|(at, _)| complete || *at > have);
        RegistryCopy {
            revision: self.revision,
            digest: self.digest(),
            complete,
            targets: missing.map(|(at, target)| (at, target.clone())).collect(),
            removed: removed.unwrap_or_default(),
            in_grace: vanished
                .map(|(id, vanished)| (id.clone(), vanished.until.since(now)))
                .collect(),
        }
    }

    /// Targets whose registrations have not vanished.
    fn present(&self) -> impl Iterator<Item = &Target> {
        let vanished = &self.vanished;
        let targets = self.targets.values();
        targets.filter(|target| !vanished.contains_key(&target.id))
    }

    /// Hashes of the targets behind the digest; instances with the same digest have them in the
    /// same order.
    pub fn target_hashes(&self) -> impl Iterator<Item = ShortHash> {
        let present = self.present();
        present.map(|target| ShortHash::of(target.id.as_str()))
    }

    /// Adds or updates a target, unless a newer change of it is known.
    pub fn put(&mut self, mut target: Target, revision: Revision, now: Time) {
        let id = target.id.clone();
        if self.changes.is_outdated(&id, revision) {
            return;
        }
        target.leaving |= self.is_known_to_leave(&target);
        let returned = self.vanished.remove(&id).is_some();
        let before = self.targets.get(&id);
        if before.is_none_or(|before| before.born != target.born) {
            self.first_seen.insert(id.clone(), now);
        }
        if let Some(sign) = cold_sign(before, &target) {
            self.cold.record(&id, sign, now);
        }
        if let Some(before) = before.filter(|before| before.software != target.software) {
            self.software.record_former(before, now);
        }
        let only_details_differ =
            before.is_some_and(|before| before.differs_in_details_only(&target));
        if returned || !only_details_differ {
            self.changes.record_change(&id, revision);
            self.digest.set(None);
        }
        self.targets.insert(id, target);
        self.revision = self.revision.max(revision);
    }

    /// Removes a target, or keeps it for the grace period after an outage.
    pub fn remove(&mut self, id: &TargetId, revision: Revision, now: Time) {
        self.revision = self.revision.max(revision);
        if self.changes.is_outdated(id, revision) {
            return;
        }
        if let Some(until) = self.grace_until.filter(|until| now < *until)
            && self.targets.contains_key(id)
        {
            let vanished = Vanished {
                at: revision,
                until,
            };
            self.vanished.entry(id.clone()).or_insert(vanished);
            self.digest.set(None);
            return;
        }
        self.drop_target(id, revision, now);
    }

    fn drop_target(&mut self, id: &TargetId, revision: Revision, now: Time) {
        self.vanished.remove(id);
        let dropped = self.targets.remove(id);
        if let Some(dropped) = &dropped {
            self.software.record_former(dropped, now);
        }
        if let Some(dropped) = dropped.filter(|dropped| dropped.leaving) {
            self.departed.insert(id.clone(), (dropped.born, now));
        }
        self.changes.record_removal(id, revision);
        self.digest.set(None);
    }

    /// Records that all changes of the store up to `revision` are applied.
    pub fn advance_revision(&mut self, revision: Revision) {
        self.revision = self.revision.max(revision);
    }

    /// Removes targets whose registrations did not come back in time.
    pub fn sweep(&mut self, now: Time) {
        let expired = self
            .vanished
            .iter()
            .filter(|(_, vanished)| vanished.until <= now);
        let expired = expired.map(|(id, vanished)| (id.clone(), vanished.at));
        for (id, at) in expired.collect::<Vec<_>>() {
            self.drop_target(&id, at, now);
        }
        self.software.sweep(now);
        self.departed
            .retain(|_, (_, at)| now.since(*at) < DEPARTED_RETENTION);
        let targets = &self.targets;
        self.first_seen.retain(|id, _| targets.contains_key(id));
        self.cold.sweep(|id| targets.contains_key(id), now);
    }

    /// Records that the targets of a failure domain have received nothing for a while.
    pub fn record_domain_unused(&mut self, domain: &FailureDomain, now: Time) {
        let unused = self.targets.values();
        for target in unused.filter(|target| target.failure_domain == *domain) {
            self.cold.record(&target.id, ColdSign::Unused, now);
        }
    }

    /// Digest of the properties that matter to requests. Two instances with the same digest send
    /// requests to the same targets. Heartbeats of targets change the revision, but not the digest.
    #[must_use]
    pub fn digest(&self) -> u32 {
        if let Some(digest) = self.digest.get() {
            return digest;
        }
        let digest = self.compute_digest();
        self.digest.set(Some(digest));
        digest
    }

    fn compute_digest(&self) -> u32 {
        let folded = self.present().fold(0, |digest, target| {
            let process = format!("{} {}", target.address, target.software);
            let incarnation = target.born.unwrap_or(0);
            let models = u64::try_from(target.models.len()).unwrap_or(0);
            let cold = u64::from(target.reports_cold());
            let state = u64::from(target.leaving) + cold * 2 + models * 4;
            let hash = weight(
                incarnation.wrapping_mul(64).wrapping_add(state),
                target.id.as_str(),
            );
            digest ^ hash ^ name_hash(&process)
        });
        u32::try_from(folded >> 32).unwrap_or(0)
    }

    /// Returns the target with that name.
    #[must_use]
    pub fn get(&self, id: &TargetId) -> Option<&Target> {
        self.targets.get(id)
    }

    /// Returns when this instance first saw the current incarnation of a target; it did not start
    /// later.
    #[must_use]
    pub fn incarnation_seen_at(&self, id: &TargetId) -> Option<Time> {
        self.first_seen.get(id).copied()
    }

    /// Returns the incarnations among `targets` that this instance first saw more than `age` ago,
    /// and those listed in `before`.
    #[must_use]
    pub fn settled_incarnations(
        &self,
        targets: impl Fn(&TargetId) -> bool,
        before: &[ShortHash],
        age: Duration,
        now: Time,
    ) -> Vec<ShortHash> {
        let selected = self.targets.values().filter(|target| targets(&target.id));
        let settled = selected.filter_map(|target| {
            let incarnation = target.incarnation()?;
            let seen = self.first_seen.get(&target.id);
            let is_settled = seen.is_some_and(|seen| now.since(*seen) > age);
            (is_settled || before.contains(&incarnation)).then_some(incarnation)
        });
        settled.collect()
    }

    /// Returns whether targets of a service, by the hash of its name, have had several software versions within the
    /// time for which a stream may be continued.
    #[must_use]
    pub fn has_several_versions(&self, service: ShortHash, now: Time) -> bool {
        let present = self.targets.values();
        let present = present.filter(|target| ShortHash::of(target.service.as_str()) == service);
        let present = present.map(|target| &target.software);
        let mut versions = present.chain(self.software.versions(service, now));
        let first = versions.next();
        versions.any(|version| Some(version) != first)
    }

    /// Records the software version of a target that the store lists, which may not be known here yet.
    pub fn record_software(&mut self, listed: &Target, now: Time) {
        self.software
            .record_stored(&listed.service, &listed.software, now);
    }

    /// Records the software versions that the store keeps: streams may have begun at them before this process started.
    pub fn record_stored_versions(&mut self, stored: &StoredVersions, now: Time) {
        for (service, version) in stored.iter() {
            self.software.record_stored(service, version, now);
        }
    }

    /// Returns the software versions at which streams may have begun that can still be continued.
    #[must_use]
    pub fn continuable_versions(&self, now: Time) -> StoredVersions {
        let mut versions = StoredVersions::default();
        for target in self.targets.values() {
            versions.add(&target.service, &target.software);
        }
        for (service, version) in self.software.all(now) {
            versions.add(service, version);
        }
        versions
    }

    /// All targets, including those that are leaving.
    pub fn all(&self) -> impl Iterator<Item = &Target> {
        self.targets.values()
    }
}

/// Returns the sign in a registration that its target is cold.
fn cold_sign(before: Option<&Target>, target: &Target) -> Option<ColdSign> {
    match target.cold_left {
        Some(Duration::ZERO) => None,
        Some(left) => Some(ColdSign::Reported(left)),
        None => {
            let has_restarted = before.is_some_and(|before| before.born != target.born);
            has_restarted.then_some(ColdSign::Started)
        }
    }
}
