//! The part of the fleet that an instance sees, and what it may do without the others.

/// Part of the refusals that a target bears which a new owner causes at most. Those of a former owner, of which it does not
/// know, still count.
const NEW_OWNER_REFUSAL_DIVISOR: u32 = 3;

/// For how long an instance has owned a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Tenure {
    /// So briefly that refusals of a former owner may still count.
    New,
    /// For longer.
    Settled,
}

/// The part of the fleet that an instance sees.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FleetPart {
    /// Instances that it sees or expects to run, itself included.
    pub seen: u32,
    /// Instances that it knows.
    pub known: u32,
}

impl Default for FleetPart {
    fn default() -> Self {
        Self { seen: 1, known: 1 }
    }
}

impl FleetPart {
    /// Whether it is more than half of the fleet.
    #[must_use]
    pub const fn is_majority(self) -> bool {
        self.seen * 2 > self.known
    }

    /// Returns how many refusals a second one owner in this part may cause at a target that bears `max_refusals`.
    ///
    /// All parts together stay within what the target bears. In each, a third is left for the next owner, which does not
    /// know of the former one's, as long as that leaves one for each.
    #[must_use]
    pub fn usable_refusals(self, max_refusals: u32, tenure: Tenure) -> u32 {
        let of_part = u64::from(max_refusals) * u64::from(self.seen) / u64::from(self.known);
        let of_part = u32::try_from(of_part).unwrap_or(u32::MAX);
        if of_part == 0 && !self.is_majority() {
            return 0;
        }
        let of_new_owner = (of_part / NEW_OWNER_REFUSAL_DIVISOR).max(1);
        match tenure {
            Tenure::New => of_new_owner,
            Tenure::Settled => of_part.saturating_sub(of_new_owner).max(1),
        }
    }
}
