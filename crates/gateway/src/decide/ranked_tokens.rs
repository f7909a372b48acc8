//! Prompt tokens at engines, by how urgent their requests are.

use serde::{Deserialize, Serialize};

/// Number of classes of ranks that are told apart; all later ranks share the last one.
pub(super) const CLASSES: usize = 3;

/// Position of a rank among the ranks of a service, 0 first.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(transparent)]
pub struct RankClass(u8);

impl RankClass {
    /// Returns the class of a rank that comes after `earlier` other ranks of its service.
    #[must_use]
    pub fn after(earlier: usize) -> Self {
        let class = earlier.min(CLASSES - 1);
        Self(u8::try_from(class).unwrap_or_default())
    }

    /// Whether nothing comes before it.
    #[must_use]
    pub const fn is_first(self) -> bool {
        self.0 == 0
    }

    pub(super) fn idx(self) -> usize {
        usize::from(self.0).min(CLASSES - 1)
    }
}

/// Prompt tokens by class of rank. Classes without tokens after the last one with any take no bytes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(into = "Vec<u64>", try_from = "Vec<u64>")]
pub struct RankedTokens([u64; CLASSES]);

/// Why tokens by class can't be decoded.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error(
    "tokens of {0} classes of ranks, where this release knows {CLASSES}: run one release on all instances"
)]
pub struct TooManyClasses(usize);

impl RankedTokens {
    /// Returns tokens of one class.
    #[must_use]
    pub fn of(class: RankClass, tokens: u64) -> Self {
        let mut ranked = Self::default();
        ranked.0[class.idx()] = tokens;
        ranked
    }

    /// Adds other tokens.
    pub fn add(&mut self, other: Self) {
        for (tokens, added) in self.0.iter_mut().zip(other.0) {
            *tokens = tokens.saturating_add(added);
        }
    }

    /// Subtracts other tokens.
    pub fn subtract(&mut self, other: Self) {
        for (tokens, removed) in self.0.iter_mut().zip(other.0) {
            *tokens = tokens.saturating_sub(removed);
        }
    }

    /// Returns the tokens that an engine processes before a request of `class`: those of its class and of earlier
    /// ones.
    #[must_use]
    pub fn ahead_of(self, class: RankClass) -> u64 {
        let ahead = self.0.iter().take(class.idx() + 1);
        ahead.fold(0, |sum, tokens| sum.saturating_add(*tokens))
    }

    /// Returns the tokens of all classes.
    #[must_use]
    pub fn total(self) -> u64 {
        self.0
            .iter()
            .fold(0, |sum, tokens| sum.saturating_add(*tokens))
    }

    /// Returns the tokens of each class, converted one by one.
    #[must_use]
    pub fn map(self, convert: impl FnMut(u64) -> u64) -> Self {
        Self(self.0.map(convert))
    }

    /// Splits off the tokens of the first class.
    #[must_use]
    pub const fn split_first(self) -> (u64, [u64; CLASSES - 1]) {
        let [first, second, third] = self.0;
        (first, [second, third])
    }

    /// Joins what [`Self::split_first`] returned.
    #[must_use]
    pub const fn join(first: u64, [second, third]: [u64; CLASSES - 1]) -> Self {
        Self([first, second, third])
    }
}

impl From<RankedTokens> for Vec<u64> {
    fn from(ranked: RankedTokens) -> Self {
        let mut tokens = ranked.0.to_vec();
        while tokens.last() == Some(&0) {
            tokens.pop();
        }
        tokens
    }
}

impl TryFrom<Vec<u64>> for RankedTokens {
    type Error = TooManyClasses;

    fn try_from(tokens: Vec<u64>) -> Result<Self, Self::Error> {
        if tokens.len() > CLASSES {
            return Err(TooManyClasses(tokens.len()));
        }
        let mut ranked = Self::default();
        for (slot, tokens) in ranked.0.iter_mut().zip(tokens) {
            *slot = tokens;
        }
        Ok(ranked)
    }
}
