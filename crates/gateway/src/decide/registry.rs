//! The targets that may be used, from their registrations.

use std::cell::Cell;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use bluebellstage_core::{Revision, TargetId, Time};

use serde::{Deserialize, Serialize};

use super::change_log::ChangeLog;
use super::rendezvous::{ShortHash, name_hash, weight};
use super::target::Target;

/// How long after the store's return a registration that lapsed in its outage may take to come back.
///
/// Registrations lapse while the store is away though their targets live; the platform has them
/// back within about 2 s of its return. This instance notices the return up to 1.2 s late, and 3 s
/// after it the bound on leaving targets holds again, so a little less than the 2 s are given.
const RETURN_GRACE: Duration = Duration::from_millis(1_800);
/// Shortest outage in which a registration can lapse: targets report every 1.2 s and lapse after
/// three reports that are missing, the first of which may have been due when it began.
const SHORTEST_LAPSE: Duration = Duration::from_millis(2_300);
/// How long after a call that failed the store counts as away; the longest pause between two calls
/// is 1 s, and an answer takes up to 1.2 s.
const AWAY_AFTER_FAILURE: Duration = Duration::from_millis(2_200);

/// Longest time between two answers to a follower; targets report every 1.2 s, and it pauses 0.8 s.
const FOLLOWER_SILENCE: Duration = Duration::from_millis(1_600);

/// Targets for a peer: those that it lacks, or all.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RegistryCopy {
    /// Revision of the newest news in it.
    pub revision: Revision,
    /// Digest of the giver's whole list.
    pub digest: u32,
    /// It holds all targets, not only what changed.
    pub whole: bool,
    /// Registrations that are there, with the revision of their last change.
    pub targets: Vec<(Revision, Target)>,
    /// Targets that were removed since, if it isn't whole.
    pub removed: Vec<(Revision, TargetId)>,
    /// Names of those that vanished in an outage of the store, with the time left to come back.
    pub in_grace: Vec<(TargetId, Duration)>,
}

/// A registration that vanished in an outage of the store.
#[derive(Clone, Copy, Debug)]
struct Vanished {
    at: Revision,
    until: Time,
}

/// Registrations by name.
#[derive(Debug, Default)]
pub struct Registry {
    targets: BTreeMap<TargetId, Target>,
    vanished: HashMap<TargetId, Vanished>,
    /// When this instance first saw each target's present life.
    lives: HashMap<TargetId, Time>,
    changes: ChangeLog,
    /// Digest of the targets as they are; none after a change.
    digest: Cell<Option<u32>>,
    /// A copy of changes did not lead to the giver's list: the next one must be whole.
    diverged: bool,
    revision: Revision,
    away_until: Time,
    /// The store's last answer to this instance was a failure.
    lost: bool,
    /// While the first answer after an outage is taken in: until when what vanished may come back.
    grace_until: Option<Time>,
    followed_since: Option<Time>,
    last_news: Time,
}

impl Registry {
    /// Revision of the newest news.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The store can't be reached.
    pub fn store_lost(&mut self, now: Time) {
        self.away_until = now + AWAY_AFTER_FAILURE;
        self.lost = true;
        self.grace_until = None;
    }

    /// This instance begins or ends to follow the store.
    pub fn follow(&mut self, follows: bool, now: Time) {
        match (follows, self.followed_since) {
            (true, None) => self.followed_since = Some(now),
            (true, Some(_)) => {}
            (false, _) => self.followed_since = None,
        }
    }

    /// The store has answered what it was asked about targets; called before the answer is taken in.
    ///
    /// What the first answer after a long enough outage lacks may belong to targets that live. What
    /// vanishes later has left: were it kept as well, an instance back from a cut of its own would
    /// send to a target more than 2 s after it was gone.
    pub fn heard_store(&mut self, now: Time) {
        let before = self.followed_since.unwrap_or_default().max(self.last_news);
        let lapses = std::mem::take(&mut self.lost) && now.since(before) >= SHORTEST_LAPSE;
        self.grace_until = lapses.then(|| now + RETURN_GRACE);
        self.last_news = now;
    }

    /// Whether the store answers this instance, as far as it knows.
    ///
    /// A follower that was suspended, or whose watch hangs in a cut network, has met no error yet;
    /// silence alone tells, and others must follow in its place before a leaving target's time is
    /// over.
    #[must_use]
    pub fn store_answers(&self, now: Time) -> bool {
        let silent = |since: Time| now.since(since.max(self.last_news)) > FOLLOWER_SILENCE;
        !self.store_away(now) && !self.followed_since.is_some_and(silent)
    }

    /// The store could not be reached lately.
    #[must_use]
    pub fn store_away(&self, now: Time) -> bool {
        now < self.away_until
    }

    /// Takes in a whole list.
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
        self.changes.restart(revision);
        self.revision = self.revision.max(revision);
    }

    /// Takes in what a peer gave. Targets that are `in_grace` there stay here too, if they are known:
    /// their registrations may come back.
    pub fn copy(&mut self, copy: RegistryCopy, now: Time) {
        if copy.revision <= self.revision && !self.diverged {
            return;
        }
        for (id, left) in copy.in_grace {
            if self.targets.contains_key(&id) {
                let vanished = Vanished {
                    at: copy.revision,
                    until: now + left,
                };
                self.vanished.entry(id).or_insert(vanished);
            }
        }
        if copy.whole {
            let listed = copy.targets.iter().map(|(_, target)| &target.id);
            let listed = listed.collect::<HashSet<_>>();
            let absent = self.targets.keys().filter(|id| !listed.contains(id));
            let absent = absent.filter(|id| !self.vanished.contains_key(*id));
            for id in absent.cloned().collect::<Vec<_>>() {
                self.drop_target(&id, copy.revision);
            }
            self.changes.restart(copy.revision);
        }
        for (at, id) in copy.removed {
            if !self.changes.is_old(&id, at) {
                self.drop_target(&id, at);
            }
        }
        for (at, target) in copy.targets {
            self.put(target, at, now);
        }
        self.revision = self.revision.max(copy.revision);
        self.digest.set(None);
        self.diverged = self.revision == copy.revision && self.digest() != copy.digest;
    }

    /// The revision up to which a peer's copy need not tell; none known if all is needed.
    #[must_use]
    pub fn copied_up_to(&self) -> Revision {
        if self.diverged {
            return Revision::default();
        }
        self.revision
    }

    /// What a peer may copy that knows all up to `have`: registrations that vanished are named, not
    /// given.
    ///
    /// An instance that comes back from a cut keeps a target that is gone for a while, with the
    /// newest revision; were it in the copy, all others would send to it again.
    ///
    /// A list of thousands of targets is hundreds of kilobytes. Were it given whole each time, a large
    /// fleet would copy lists for as long as it may take to put a configuration in force.
    #[must_use]
    pub fn copied(&self, have: Revision, now: Time) -> RegistryCopy {
        let vanished = self.vanished.iter();
        let removed = self.changes.removed_since(have);
        let whole = removed.is_none();
        let known = self.present().map(|target| {
            let at = self.changes.last(&target.id);
            (at, target)
        });
        let lacked = known.filter(|(at, _)| whole || *at > have);
        RegistryCopy {
            revision: self.revision,
            digest: self.digest(),
            whole,
            targets: lacked.map(|(at, target)| (at, target.clone())).collect(),
            removed: removed.unwrap_or_default(),
            in_grace: vanished
                .map(|(id, vanished)| (id.clone(), vanished.until.since(now)))
                .collect(),
        }
    }

    /// Targets whose registrations are there.
    fn present(&self) -> impl Iterator<Item = &Target> {
        let vanished = &self.vanished;
        let targets = self.targets.values();
        targets.filter(|target| !vanished.contains_key(&target.id))
    }

    /// The targets that the digest is of, in one order for all who have the same.
    pub fn order(&self) -> impl Iterator<Item = ShortHash> {
        let present = self.present();
        present.map(|target| ShortHash::of(target.id.as_str()))
    }

    /// Takes in one registration, unless something newer is known of the target.
    pub fn put(&mut self, target: Target, revision: Revision, now: Time) {
        let id = target.id.clone();
        if self.changes.is_old(&id, revision) {
            return;
        }
        let returned = self.vanished.remove(&id).is_some();
        let before = self.targets.get(&id);
        if before.is_none_or(|before| before.born != target.born) {
            self.lives.insert(id.clone(), now);
        }
        let reports_only = before.is_some_and(|before| before.differs_in_adapters_only(&target));
        if returned || !reports_only {
            self.changes.put(&id, revision);
            self.digest.set(None);
        }
        self.targets.insert(id, target);
        self.revision = self.revision.max(revision);
    }

    /// A registration is gone.
    pub fn remove(&mut self, id: &TargetId, revision: Revision, now: Time) {
        self.revision = self.revision.max(revision);
        if self.changes.is_old(id, revision) {
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
        self.drop_target(id, revision);
    }

    fn drop_target(&mut self, id: &TargetId, revision: Revision) {
        self.vanished.remove(id);
        self.targets.remove(id);
        self.changes.removed(id, revision);
        self.digest.set(None);
    }

    /// The store's news up to `revision` are in.
    pub fn seen(&mut self, revision: Revision) {
        self.revision = self.revision.max(revision);
    }

    /// Drops registrations that did not come back in time.
    pub fn sweep(&mut self, now: Time) {
        let expired = self.vanished.iter().filter(|(_, held)| held.until <= now);
        let expired = expired.map(|(id, held)| (id.clone(), held.at));
        for (id, at) in expired.collect::<Vec<_>>() {
            self.drop_target(&id, at);
        }
        let targets = &self.targets;
        self.lives.retain(|id, _| targets.contains_key(id));
    }

    /// Digest of what matters to a request: two instances with the same one send to the same
    /// targets. Heartbeats of targets change the revision, not this.
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
            let address = target.address.to_string();
            let life = target.born.unwrap_or(0);
            let models = u64::try_from(target.models.len()).unwrap_or(0);
            let state = u64::from(target.leaving) + models * 2;
            let own = weight(
                life.wrapping_mul(64).wrapping_add(state),
                target.id.as_str(),
            );
            digest ^ own ^ name_hash(&address)
        });
        u32::try_from(folded >> 32).unwrap_or(0)
    }

    /// The target of that name.
    #[must_use]
    pub fn get(&self, id: &TargetId) -> Option<&Target> {
        self.targets.get(id)
    }

    /// When this instance first saw the present life of a target: no earlier than it began.
    #[must_use]
    pub fn life_since(&self, id: &TargetId) -> Option<Time> {
        self.lives.get(id).copied()
    }

    /// Lives among `targets` that began more than `age` ago, or that `before` names as such.
    #[must_use]
    pub fn settled(
        &self,
        targets: impl Fn(&TargetId) -> bool,
        before: &[ShortHash],
        age: Duration,
        now: Time,
    ) -> Vec<ShortHash> {
        let theirs = self.targets.values().filter(|target| targets(&target.id));
        let settled = theirs.filter_map(|target| {
            let life = target.incarnation()?;
            let seen = self.lives.get(&target.id);
            let old = seen.is_some_and(|seen| now.since(*seen) > age);
            (old || before.contains(&life)).then_some(life)
        });
        settled.collect()
    }

    /// All targets, leaving ones included.
    pub fn all(&self) -> impl Iterator<Item = &Target> {
        self.targets.values()
    }
}
