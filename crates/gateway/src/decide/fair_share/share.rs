//! The share of one workspace and its use.

use std::time::Duration;

use super::recent_spending::SPENDING_WINDOW;

/// Spending, as a multiple of the share, from which a workspace is beyond it. It is within it again when it spends no
/// more than its share, so that it does not change sides with each request.
const BEYOND_FACTOR: f64 = 1.1;
/// Least excess, as a fraction of the share, from which requests give way: what a workspace spends varies by chance.
const MIN_FAR_EXCESS: f64 = 0.25;
/// Largest ratio of spending to share; higher ones are treated as this one.
const MAX_RATIO: f64 = 1_000.0;

/// How a workspace uses its share while there is a shortage.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ShareUse {
    /// It spends no more than its share, or nobody is short of room.
    Within,
    /// It spends more than its share: its requests come after those of others.
    Beyond,
    /// It is one of those that spend the most beyond their shares: its requests give way.
    FarBeyond {
        /// Time after which its share is back if it spends nothing meanwhile.
        back_in: Duration,
    },
}

/// A workspace's share in what is spent, and what it spends, in units of its quota a second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    entitled: f64,
    spending: f64,
    is_beyond: bool,
    /// Excess from which requests give way.
    far_excess: f64,
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "shares are not negative, and fractions of a unit are negligible"
)]
fn whole(units: f64) -> u64 {
    units as u64
}

impl Default for Share {
    fn default() -> Self {
        Self {
            entitled: f64::INFINITY,
            spending: 0.0,
            is_beyond: false,
            far_excess: 0.0,
        }
    }
}

impl Share {
    pub(super) fn set(&mut self, entitled: f64, spending: f64) {
        let factor = if self.is_beyond { 1.0 } else { BEYOND_FACTOR };
        self.is_beyond = spending > entitled * factor;
        self.entitled = entitled;
        self.spending = spending;
    }

    /// Its share, in units a second; `None` while all get what they ask for.
    #[must_use]
    pub fn units(&self) -> Option<u64> {
        self.entitled.is_finite().then(|| whole(self.entitled))
    }

    /// Its recent spending, in units a second.
    #[must_use]
    pub fn spent_units(&self) -> u64 {
        whole(self.spending)
    }

    /// Whether the workspace is beyond its share.
    #[must_use]
    pub const fn is_beyond(&self) -> bool {
        self.is_beyond
    }

    /// Returns what is spent beyond the share, in units a second.
    pub(super) fn excess(&self) -> f64 {
        if self.is_beyond {
            self.spending - self.entitled
        } else {
            0.0
        }
    }

    /// Sets the excess, in units a second, from which requests give way.
    pub(super) const fn set_far_excess(&mut self, far: f64) {
        self.far_excess = far;
    }

    /// Returns its use.
    pub(super) fn in_use(&self) -> ShareUse {
        let far = self.far_excess.max(self.entitled * MIN_FAR_EXCESS);
        if !self.is_beyond {
            return ShareUse::Within;
        }
        if self.excess() < far {
            return ShareUse::Beyond;
        }
        let ratio = self.spending / self.entitled;
        let back_in = SPENDING_WINDOW.mul_f64(ratio.clamp(1.0, MAX_RATIO).ln());
        ShareUse::FarBeyond { back_in }
    }
}
