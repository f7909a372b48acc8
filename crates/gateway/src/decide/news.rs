//! What a relay tells an instance that asked it.

use std::collections::HashMap;
use std::time::Duration;

use bluebellstage_core::{InstanceId, Time};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::peers::Load;
use super::rendezvous::ShortHash;
use super::status::Status;

/// Tokens in which prompts are told: an engine reads as many in a millisecond.
const PROMPT_UNIT: u32 = 32;

/// News of all other instances, from a relay to one that asked it.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct News {
    /// The relay itself.
    pub relay: Status,
    /// Others that hold leases, or relay in the receiver's failure domain.
    pub others: Vec<Status>,
    /// Mean age in milliseconds of what the sums are made of.
    pub lag_ms: u16,
    /// What all others have at targets.
    pub loads: Loads,
    /// Counts of what all others have spent since the relay started, where they changed lately.
    pub spent: Vec<(ShortHash, i64)>,
    /// What is left of quotas by the relay's account; for one that asked for all.
    pub left: Vec<(ShortHash, i64)>,
    /// Who lives; not in each packet.
    pub alive: Option<Alive>,
}

/// What instances have at targets.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum Loads {
    /// In the order of a list of targets that the receiver has, too.
    InOrder {
        /// Digest of that list.
        digest: u32,
        /// Requests, and prompts in units of [`PROMPT_UNIT`].
        loads: Vec<(u32, u32)>,
    },
    /// By the target's name, where the lists differ.
    ByName(Vec<(ShortHash, Load)>),
}

impl Loads {
    /// Packs loads of all targets, in the order of the list that `digest` is of.
    #[must_use]
    pub fn in_order(loads: &[(ShortHash, Load)], digest: u32) -> Self {
        let loads = loads.iter().map(|(_, load)| {
            let prompts = load.prompts.saturating_add(PROMPT_UNIT / 2) / PROMPT_UNIT;
            (load.requests, prompts)
        });
        Self::InOrder {
            digest,
            loads: loads.collect(),
        }
    }

    /// Packs loads by name, empty ones left out.
    #[must_use]
    pub fn by_name(loads: &[(ShortHash, Load)]) -> Self {
        let some = loads.iter().filter(|(_, load)| *load != Load::default());
        Self::ByName(some.copied().collect())
    }

    /// Loads by target; none if they go by a list that isn't `targets`, whose digest is `own`.
    #[must_use]
    pub fn unpack(self, targets: &[ShortHash], own: u32) -> Option<HashMap<ShortHash, Load>> {
        match self {
            Self::ByName(loads) => Some(loads.into_iter().collect()),
            Self::InOrder { digest, loads } => {
                if digest != own || loads.len() != targets.len() {
                    return None;
                }
                let loads = loads.into_iter().map(|(requests, prompts)| Load {
                    requests,
                    prompts: prompts.saturating_mul(PROMPT_UNIT),
                });
                Some(targets.iter().copied().zip(loads).collect())
            }
        }
    }
}

/// An instance in a roster.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct RosterEntry {
    /// Its name.
    pub name: ShortHash,
    /// Its life, shortened.
    pub life: u32,
}

impl RosterEntry {
    /// Entry of an instance's life.
    #[must_use]
    pub fn new(name: ShortHash, life: u64) -> Self {
        Self {
            name,
            life: short_life(life),
        }
    }

    /// Whether it is of this life.
    #[must_use]
    pub fn is_life(&self, life: u64) -> bool {
        self.life == short_life(life)
    }
}

fn short_life(life: u64) -> u32 {
    u32::try_from(xxh3_64(&life.to_le_bytes()) >> 32).unwrap_or(0)
}

/// The instances that a relay knows, in an order that bits of [`Alive`] go by.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Roster {
    /// The instances.
    pub entries: Vec<RosterEntry>,
}

impl Roster {
    /// Tells rosters apart.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let bytes = self.entries.iter().flat_map(|entry| {
            let [name, life] = [entry.name.bits(), entry.life].map(u32::to_le_bytes);
            name.into_iter().chain(life)
        });
        xxh3_64(&bytes.collect::<Vec<_>>())
    }
}

/// One bit for each entry of a roster.
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

/// Who lives, by a roster.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Alive {
    /// Digest of the roster.
    pub roster: u64,
    /// Heard lately.
    pub live: Bits,
    /// Takes callers.
    pub ready: Bits,
    /// The store answers it.
    pub store_answers: Bits,
    /// Knows of the store what the relay knows.
    pub same: Bits,
}

/// The newest news from a relay, as an instance keeps them.
#[derive(Clone, Debug)]
pub struct View {
    /// Who told.
    pub relay: InstanceId,
    /// When.
    pub at: Time,
    /// Mean age of the sums when they came.
    pub lag: Duration,
    /// What all others have at targets.
    pub loads: HashMap<ShortHash, Load>,
}
