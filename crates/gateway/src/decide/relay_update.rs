//! Updates that a relay sends to its subscribers.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use bluebellstage_core::{InstanceId, Time};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::pace::PaceReports;
use super::peers::{Load, Member};
use super::ranked_tokens::RankedTokens;
use super::rendezvous::ShortHash;
use super::status::Status;
use super::wait_queue::WaitingCounts;

/// Unit of prompt tokens in an update. An engine processes about as many in a millisecond.
const TOKENS_PER_PROMPT_UNIT: u64 = 32;

/// State of all other instances, from a relay to a subscriber.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct RelayUpdate {
    /// Status of the relay.
    pub relay: Status,
    /// Statuses of the instances that hold leases, and of the relays in the receiver's failure
    /// domain.
    pub other_statuses: Vec<Status>,
    /// Mean age of the statuses behind the sums, in milliseconds.
    pub lag_ms: u16,
    /// Load of all other instances at targets.
    pub loads: Loads,
    /// What all other instances have lately seen of the speed of some targets.
    pub pace: PaceReports,
    /// Requests of all other instances that wait for a place at targets.
    pub waiting: WaitingCounts,
    /// What all other instances have spent since the relay started, where that changed recently.
    pub spent: Vec<(ShortHash, i64)>,
    /// What remains of quotas by the relay's count. Only in response to a request for all counts.
    pub remaining: Vec<(ShortHash, i64)>,
    /// Liveness of instances. Not part of every update.
    pub liveness: Option<Liveness>,
}

/// Load of instances at targets.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum Loads {
    /// In the order of a target list that the receiver has, too.
    InOrder {
        /// Digest of that list.
        digest: u32,
        /// Requests, and prompt tokens of the first rank in units of [`TOKENS_PER_PROMPT_UNIT`].
        loads: Vec<(u32, u64)>,
        /// Prompt tokens of later ranks in the same unit, by position in the list, where there are any.
        later: Vec<(u16, [u64; 2])>,
    },
    /// By the target's name, for a receiver with a different list.
    ByName(Vec<(ShortHash, Load)>),
}

impl Loads {
    /// Packs the load of all targets in the order of the target list with this digest.
    #[must_use]
    pub fn in_order(loads: &[(ShortHash, Load)], digest: u32) -> Self {
        let mut first = Vec::with_capacity(loads.len());
        let mut later = Vec::new();
        for (idx, (_, load)) in loads.iter().enumerate() {
            let (prompts, of_later) = load.prompts.map(to_units).split_first();
            first.push((load.requests, prompts));
            if let (Ok(idx), true) = (u16::try_from(idx), of_later != [0, 0]) {
                later.push((idx, of_later));
            }
        }
        Self::InOrder {
            digest,
            loads: first,
            later,
        }
    }

    /// Packs the load by target name, without empty entries.
    #[must_use]
    pub fn by_name(loads: &[(ShortHash, Load)]) -> Self {
        let nonempty = loads.iter().filter(|(_, load)| *load != Load::default());
        Self::ByName(nonempty.copied().collect())
    }

    /// Returns the load by target, or `None` if it is ordered by another list than `targets`, whose
    /// digest is `own`.
    #[must_use]
    pub fn unpack(self, targets: &[ShortHash], own: u32) -> Option<HashMap<ShortHash, Load>> {
        match self {
            Self::ByName(loads) => Some(loads.into_iter().collect()),
            Self::InOrder {
                digest,
                loads,
                later,
            } => {
                if digest != own || loads.len() != targets.len() {
                    return None;
                }
                let mut of_later = vec![[0, 0]; loads.len()];
                for (idx, prompts) in later {
                    *of_later.get_mut(usize::from(idx))? = prompts;
                }
                let loads = loads.into_iter().zip(of_later);
                let loads = loads.map(|((requests, prompts), of_later)| Load {
                    requests,
                    prompts: RankedTokens::join(prompts, of_later).map(from_units),
                });
                Some(targets.iter().copied().zip(loads).collect())
            }
        }
    }
}

const fn to_units(tokens: u64) -> u64 {
    tokens.saturating_add(TOKENS_PER_PROMPT_UNIT / 2) / TOKENS_PER_PROMPT_UNIT
}

const fn from_units(units: u64) -> u64 {
    units.saturating_mul(TOKENS_PER_PROMPT_UNIT)
}

/// An instance in a roster.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
pub struct RosterEntry {
    /// Hash of its name.
    pub name: ShortHash,
    /// Hash of its incarnation.
    pub incarnation: u32,
}

impl RosterEntry {
    /// Creates the entry of an instance.
    #[must_use]
    pub fn of(member: &Member) -> Self {
        Self {
            name: ShortHash::of(member.name.as_str()),
            incarnation: short_incarnation(member.incarnation.0),
        }
    }

    /// Whether the entry is of this incarnation.
    #[must_use]
    pub fn is_incarnation(&self, incarnation: u64) -> bool {
        self.incarnation == short_incarnation(incarnation)
    }
}

fn short_incarnation(incarnation: u64) -> u32 {
    u32::try_from(xxh3_64(&incarnation.to_le_bytes()) >> 32).unwrap_or(0)
}

/// The instances that a relay knew when it published the roster, in the order of the bits of [`Liveness`].
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Roster {
    /// The instances.
    pub entries: Vec<RosterEntry>,
}

/// Number of changes of its roster that a relay reports with the liveness of instances. With more, it publishes another
/// roster, which each subscriber has to request.
const MAX_ROSTER_CHANGES: usize = 16;
/// Time after which a relay publishes a roster that has changed.
const ROSTER_TTL: Duration = Duration::from_secs(3);

/// The roster to which a relay's reports refer.
///
/// It stays for a while when instances restart. If it changed with each of them, subscribers would lack the roster of every
/// report during a series of restarts, and take the instances that they hear of in reports only for down.
#[derive(Clone, Debug, Default)]
pub struct PublishedRoster {
    roster: Roster,
    published_at: Option<Time>,
    changes: Vec<RosterEntry>,
}

impl PublishedRoster {
    /// Takes the instances that the relay knows now, and publishes them if need be.
    pub fn update(&mut self, current: Roster, now: Time) {
        let published = self.roster.entries.iter().collect::<HashSet<_>>();
        let changes = current.entries.iter();
        let changes = changes.filter(|entry| !published.contains(entry)).copied();
        self.changes = changes.collect();
        let is_old = self
            .published_at
            .is_none_or(|at| now.since(at) >= ROSTER_TTL);
        if (is_old && current != self.roster) || self.changes.len() > MAX_ROSTER_CHANGES {
            self.roster = current;
            self.published_at = Some(now);
            self.changes.clear();
        }
    }

    /// The published roster.
    #[must_use]
    pub const fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Entries that are new, or of a new incarnation, since the roster was published.
    #[must_use]
    pub fn changes(&self) -> &[RosterEntry] {
        &self.changes
    }
}

impl Roster {
    /// Hash of the entries, by which rosters are compared.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let bytes = self.entries.iter().flat_map(|entry| {
            let [name, incarnation] = [entry.name.bits(), entry.incarnation].map(u32::to_le_bytes);
            name.into_iter().chain(incarnation)
        });
        xxh3_64(&bytes.collect::<Vec<_>>())
    }
}

/// A bit for each entry of a roster.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(transparent)]
pub struct Bits(Vec<u8>);

impl Bits {
    /// Whether the bit of an entry is set.
    #[must_use]
    pub fn get(&self, idx: usize) -> bool {
        let byte = self.0.get(idx / 8).copied().unwrap_or(0);
        byte & (1 << (idx % 8)) != 0
    }
}

impl FromIterator<bool> for Bits {
    fn from_iter<T: IntoIterator<Item = bool>>(iter: T) -> Self {
        let mut bytes = Vec::new();
        for (idx, bit) in iter.into_iter().enumerate() {
            if idx % 8 == 0 {
                bytes.push(0);
            }
            if let (true, Some(last)) = (bit, bytes.last_mut()) {
                *last |= 1 << (idx % 8);
            }
        }
        Self(bytes)
    }
}

/// Liveness of the instances in a roster, and then of the entries that changed since it was published.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Liveness {
    /// Digest of the roster.
    pub roster: u64,
    /// Entries that are new, or of a new incarnation, since the roster was published.
    pub changes: Vec<RosterEntry>,
    /// It was seen recently.
    pub live: Bits,
    /// It accepts callers.
    pub ready: Bits,
    /// The store responds to it.
    pub store_reachable: Bits,
    /// It has the same store state as the relay.
    pub same: Bits,
    /// It can't reach the targets of the service. Services that all instances reach are left out.
    pub lost: Vec<(ShortHash, Bits)>,
}

impl Liveness {
    /// Returns the entries of a roster and of the changes since it was published, with the positions of their bits. An
    /// entry of the roster that has changed is left out.
    pub fn entries<'a>(
        &'a self,
        roster: &'a Roster,
    ) -> impl Iterator<Item = (usize, &'a RosterEntry)> {
        let outdated = self.changes.iter().map(|entry| entry.name);
        let outdated = outdated.collect::<HashSet<_>>();
        let all = roster.entries.iter().chain(&self.changes).enumerate();
        let is_current = move |idx, entry: &RosterEntry| {
            idx >= roster.entries.len() || !outdated.contains(&entry.name)
        };
        all.filter(move |(idx, entry)| is_current(*idx, entry))
    }

    /// Returns the services whose targets an instance of the roster can't reach.
    #[must_use]
    pub fn lost_services(&self, idx: usize) -> Vec<ShortHash> {
        let lost = self.lost.iter().filter(|(_, bits)| bits.get(idx));
        lost.map(|(service, _)| *service).collect()
    }
}

/// The last update from a relay, as a subscriber keeps it.
#[derive(Clone, Debug)]
pub struct RelayView {
    /// The relay.
    pub relay: InstanceId,
    /// When it was received.
    pub at: Time,
    /// Mean age of the sums when they were received.
    pub lag: Duration,
    /// Load of all other instances at targets.
    pub loads: HashMap<ShortHash, Load>,
    /// Requests of all other instances that wait for a place at targets.
    pub waiting: WaitingCounts,
}
