//! Membership by script: a map, and instances that follow it as `Ownership` promises.

use std::collections::BTreeSet;
use std::time::Duration;

use bluebellstage_core::{
    Adoption, Incarnation, InstanceId, Map, Member, MemberRef, MemberState, Ownership, PastMap,
    Revision, Terms, Time, Tuning,
};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// How long after a change of the map its members learn of it, at most.
const ADOPTION_MS: u64 = 300;

/// Largest clock error, in parts per million; each instance draws its own.
pub const CLOCK_PPM: u64 = 500;

pub fn instance(number: usize) -> InstanceId {
    InstanceId::try_from(format!("i{number}").as_str()).expect("legal name")
}

fn member(id: InstanceId, life: u64) -> Member {
    Member {
        id,
        incarnation: Incarnation(life),
        failure_domain: "a".parse().expect("legal name"),
        caller_address: "127.0.0.1:1".parse().expect("legal address"),
        peer_address: "127.0.0.1:2".parse().expect("legal address"),
        state: MemberState::Active,
    }
}

/// The map, and how long its changes take; times in microseconds.
pub struct Script {
    pub map: Map,
    changed_at: u64,
    standing: Duration,
    drift: Duration,
}

/// One instance's place in it: what it knows, its clock, and what is wrong with it.
pub struct Seat {
    pub own: Ownership,
    stopped_until: u64,
    cut_until: u64,
    offset: u64,
    ppm: u64,
    adopts_at: u64,
}

impl Script {
    /// `count` instances under the first map there ever was.
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
            standing: cfg.lease_duration,
            drift: cfg.max_clock_drift,
        }
    }

    /// Longest time after a change of the map until nobody has standing under an earlier one.
    pub fn retirement(&self) -> Duration {
        self.standing + self.drift * 2
    }

    /// The map loses a member.
    pub fn drop(&mut self, now: u64, id: &InstanceId) {
        self.change(now, |map| map.members.retain(|member| member.id != *id));
    }

    /// The map gains a life of an instance.
    pub fn add(&mut self, now: u64, id: &InstanceId, life: u64) {
        self.change(now, |map| {
            map.members.push(member(id.clone(), life));
            map.members.sort_by(|a, b| a.id.cmp(&b.id));
        });
    }

    /// A member's state changes: it is ready, or its planned stop begins.
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
        if Duration::from_micros(now - self.changed_at) > self.retirement() {
            self.map.history.clear();
        }
        self.map.history.push(past);
        self.map.revision = self.map.revision.next();
        change(&mut self.map);
        self.changed_at = now;
    }
}

impl Seat {
    pub fn new(script: &Script, id: InstanceId, life: u64, now: u64, rng: &mut ChaCha8Rng) -> Self {
        Self {
            own: Ownership {
                local: MemberRef {
                    id,
                    incarnation: Incarnation(life),
                },
                map: script.map.clone(),
                lease_expires_at: Time(0),
                adopted: BTreeSet::new(),
                unresponsive: BTreeSet::new(),
                past_retired_at: None,
            },
            stopped_until: 0,
            cut_until: 0,
            offset: rng.random_range(0..1_000_000_000),
            ppm: rng.random_range(0..=2 * CLOCK_PPM),
            adopts_at: now,
        }
    }

    /// Does nothing for so long, then goes on where it stood and learns of a new map a little later.
    pub fn stop(&mut self, now: u64, millis: u64, rng: &mut ChaCha8Rng) {
        self.stopped_until = self.stopped_until.max(now + millis * 1_000);
        let thaws = self.stopped_until;
        self.will_adopt(thaws, rng);
    }

    /// Reaches nobody for so long.
    pub fn cut(&mut self, now: u64, millis: u64) {
        self.cut_until = self.cut_until.max(now + millis * 1_000);
    }

    /// Learns of a changed map some time soon.
    pub fn will_adopt(&mut self, now: u64, rng: &mut ChaCha8Rng) {
        let soon = now.max(self.stopped_until) + rng.random_range(0..ADOPTION_MS) * 1_000;
        self.adopts_at = self.adopts_at.max(soon);
    }

    /// Reads the map, unless it is stopped or cut off; `adopted` has the lives that have it.
    pub fn follow(&mut self, now: u64, script: &Script, adopted: &BTreeSet<Adoption>) {
        if self.stopped_until > now || self.cut_until > now {
            return;
        }
        let local = self.local(now);
        if self.own.map.revision != script.map.revision && now >= self.adopts_at {
            self.own.map = script.map.clone();
            self.own.adopted = BTreeSet::from([adoption(&self.own)]);
            self.own.past_retired_at = Some(local + script.retirement());
        }
        // What is known to be retired leaves the history, as membership does it.
        if self.own.past_retired_at.is_some_and(|at| local >= at) {
            self.own.map.history.clear();
        }
        // Right after a stop its old map may be all it has, and no proof of standing is fresh.
        if self.own.map.revision == script.map.revision && now >= self.adopts_at {
            self.own.adopted.extend(adopted.iter().cloned());
            self.own.lease_expires_at = local + script.standing;
        }
    }

    /// The instance's own clock.
    pub fn local(&self, now: u64) -> Time {
        // From `ppm` 0 (too slow by the largest error) to twice the largest (too fast by it).
        let drift = i128::from(self.ppm) - i128::from(CLOCK_PPM);
        let error = i128::from(now) * drift / 1_000_000;
        let local = i128::from(self.offset) + i128::from(now) + error;
        Time(u64::try_from(local).expect("clocks start late enough"))
    }

    pub fn is_running(&self, now: u64) -> bool {
        self.stopped_until <= now
    }

    pub fn is_cut(&self, now: u64) -> bool {
        self.cut_until > now
    }

    pub fn has_standing(&self, now: u64) -> bool {
        self.own.has_lease(self.local(now))
    }
}

/// Lives that have the map in force.
pub fn adopted<'a>(script: &Script, seats: impl Iterator<Item = &'a Seat>) -> BTreeSet<Adoption> {
    seats
        .filter(|seat| seat.own.map.revision == script.map.revision)
        .map(|seat| adoption(&seat.own))
        .collect()
}

fn adoption(own: &Ownership) -> Adoption {
    Adoption {
        member_ref: own.local.clone(),
        map: own.map.revision,
    }
}
