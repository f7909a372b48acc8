//! Scripted membership: a map, and instances that follow it with the guarantees of `Ownership`.

use std::collections::BTreeSet;
use std::time::Duration;

use bluebellstage_core::{
    Adoption, Incarnation, InstanceId, Map, Member, MemberRef, MemberState, Ownership, PastMap,
    Revision, Terms, Time, Tuning,
};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Maximum delay after which members learn of a map change.
const MAX_ADOPTION_DELAY_MS: u64 = 300;

/// Maximum clock error in parts per million. Each instance has a random one.
pub const CLOCK_PPM: u64 = 500;

pub fn instance(number: usize) -> InstanceId {
    InstanceId::try_from(format!("i{number}").as_str()).expect("legal name")
}

fn member(id: InstanceId, incarnation: u64) -> Member {
    Member {
        id,
        incarnation: Incarnation(incarnation),
        failure_domain: "a".parse().expect("legal name"),
        caller_address: "127.0.0.1:1".parse().expect("legal address"),
        peer_address: "127.0.0.1:2".parse().expect("legal address"),
        state: MemberState::Active,
    }
}

/// The map and the timing of its changes. Times are in microseconds.
pub struct MembershipScript {
    pub map: Map,
    changed_at: u64,
    lease: Duration,
    drift: Duration,
}

/// A simulated member: its view of the map, its clock, and its current faults.
pub struct SimulatedMember {
    pub own: Ownership,
    frozen_until: u64,
    partitioned_until: u64,
    clock_offset: u64,
    clock_speed_ppm: u64,
    adopt_at: u64,
}

impl MembershipScript {
    /// Creates the first map, with `count` instances.
    pub fn new(count: usize, now: u64, cfg: &Tuning) -> Self {
        Self {
            map: Map {
                revision: Revision(1),
                terms: Terms::from(cfg),
                members: (0..count)
                    .map(|number| member(instance(number), 1))
                    .collect(),
                history: Vec::new(),
            },
            changed_at: now,
            lease: cfg.lease_duration,
            drift: cfg.max_clock_drift,
        }
    }

    /// Returns the maximum time after a map change until no instance has a lease under an earlier
    /// map.
    pub fn retirement_delay(&self) -> Duration {
        self.lease + self.drift * 2
    }

    /// Removes a member from the map.
    pub fn drop(&mut self, now: u64, id: &InstanceId) {
        self.change(now, |map| map.members.retain(|member| member.id != *id));
    }

    /// Adds an incarnation of an instance to the map.
    pub fn add(&mut self, now: u64, id: &InstanceId, incarnation: u64) {
        self.change(now, |map| {
            map.members.push(member(id.clone(), incarnation));
            map.members.sort_by(|a, b| a.id.cmp(&b.id));
        });
    }

    /// Changes a member's state: it is ready, or its planned stop starts.
    pub fn set_state(&mut self, now: u64, id: &InstanceId, state: MemberState) {
        self.change(now, |map| {
            for member in map.members.iter_mut().filter(|member| member.id == *id) {
                member.state = state;
            }
        });
    }

    fn change(&mut self, now: u64, change: impl FnOnce(&mut Map)) {
        let past = PastMap {
            revision: self.map.revision,
            members: self.map.members.iter().map(Member::member_ref).collect(),
            active: self.map.active().cloned().collect(),
        };
        if Duration::from_micros(now - self.changed_at) > self.retirement_delay() {
            self.map.history.clear();
        }
        self.map.history.push(past);
        self.map.revision = self.map.revision.next();
        change(&mut self.map);
        self.changed_at = now;
    }
}

impl SimulatedMember {
    pub fn new(
        script: &MembershipScript,
        id: InstanceId,
        incarnation: u64,
        now: u64,
        rng: &mut ChaCha8Rng,
    ) -> Self {
        Self {
            own: Ownership {
                local: MemberRef {
                    id,
                    incarnation: Incarnation(incarnation),
                },
                map: script.map.clone(),
                lease_expires_at: Time(0),
                adopted: BTreeSet::new(),
                unresponsive: BTreeSet::new(),
                past_retired_at: None,
            },
            frozen_until: 0,
            partitioned_until: 0,
            clock_offset: rng.random_range(0..1_000_000_000),
            clock_speed_ppm: rng.random_range(0..=2 * CLOCK_PPM),
            adopt_at: now,
        }
    }

    /// Suspends the member for `millis`. Afterwards it resumes with its old state and learns of a
    /// new map after a random delay.
    pub fn freeze(&mut self, now: u64, millis: u64, rng: &mut ChaCha8Rng) {
        self.frozen_until = self.frozen_until.max(now + millis * 1_000);
        let resume_at = self.frozen_until;
        self.schedule_adoption(resume_at, rng);
    }

    /// Partitions the member from all others for `millis`.
    pub fn partition(&mut self, now: u64, millis: u64) {
        self.partitioned_until = self.partitioned_until.max(now + millis * 1_000);
    }

    /// Schedules the adoption of a changed map after a random delay.
    pub fn schedule_adoption(&mut self, now: u64, rng: &mut ChaCha8Rng) {
        let adopt_at =
            now.max(self.frozen_until) + rng.random_range(0..MAX_ADOPTION_DELAY_MS) * 1_000;
        self.adopt_at = self.adopt_at.max(adopt_at);
    }

    /// Reads the map, unless the member is frozen or partitioned. `adopted` lists the incarnations
    /// that have adopted the map.
    pub fn follow(&mut self, now: u64, script: &MembershipScript, adopted: &BTreeSet<Adoption>) {
        if self.frozen_until > now || self.partitioned_until > now {
            return;
        }
        let local_now = self.local(now);
        if self.own.map.revision != script.map.revision && now >= self.adopt_at {
            self.own.map = script.map.clone();
            self.own.adopted = BTreeSet::from([adoption(&self.own)]);
            self.own.past_retired_at = Some(local_now + script.retirement_delay());
        }
        // Retired maps leave the history, as in the membership module.
        if self.own.past_retired_at.is_some_and(|at| local_now >= at) {
            self.own.map.history.clear();
        }
        // Immediately after a freeze the member may know only its old map, and its lease isn't
        // renewed.
        if self.own.map.revision == script.map.revision && now >= self.adopt_at {
            self.own.adopted.extend(adopted.iter().cloned());
            self.own.lease_expires_at = local_now + script.lease;
        }
    }

    /// Returns the time of the member's local clock.
    pub fn local(&self, now: u64) -> Time {
        // `clock_speed_ppm` ranges from 0 (slow by the maximum error) to twice the maximum error (fast
        // by it).
        let drift = i128::from(self.clock_speed_ppm) - i128::from(CLOCK_PPM);
        let error = i128::from(now) * drift / 1_000_000;
        let local = i128::from(self.clock_offset) + i128::from(now) + error;
        Time(u64::try_from(local).expect("clocks start late enough"))
    }

    pub fn is_running(&self, now: u64) -> bool {
        self.frozen_until <= now
    }

    pub fn is_partitioned(&self, now: u64) -> bool {
        self.partitioned_until > now
    }

    pub fn has_lease(&self, now: u64) -> bool {
        self.own.has_lease(self.local(now))
    }
}

/// Returns the incarnations that have adopted the map in force.
pub fn adopted<'a>(
    script: &MembershipScript,
    members: impl Iterator<Item = &'a SimulatedMember>,
) -> BTreeSet<Adoption> {
    members
        .filter(|member| member.own.map.revision == script.map.revision)
        .map(|member| adoption(&member.own))
        .collect()
}

fn adoption(own: &Ownership) -> Adoption {
    Adoption {
        member_ref: own.local.clone(),
        map: own.map.revision,
    }
}
