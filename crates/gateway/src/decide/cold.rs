//! Cold targets: they have recently started or returned, and crash under more than a few requests a second.
//!
//! The bound on a cold target's requests holds over all instances, whether they reach each other or not, so
//! instances send nothing to a target that they take for cold while another can run the request. If all are
//! cold, one instance admits requests for each target.

use std::collections::BTreeMap;
use std::time::Duration;

use bluebellstage_core::{TargetId, Time};
use serde::{Deserialize, Serialize};

/// Fraction of a cold target's rate that the instance which admits requests for it uses. Instances that have
/// not heard of each other may admit at the same time.
const OWNER_RATE_FRACTION: f64 = 0.5;
/// Longest time for which a target is taken as cold, as a multiple of the usual one; a registration that
/// reports more is not believed.
const MAX_COLD_FACTOR: u32 = 2;

/// Age from which a sign has no effect.
const SIGN_TTL: Duration = Duration::from_mins(2);

/// How targets of a service are cold after a start.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ColdStart {
    /// How long a target is cold after its start.
    pub duration: Duration,
    /// Requests a second, in thousandths, that a cold target accepts from all instances together.
    pub milli_per_second: u64,
}

/// Why a target is taken as cold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ColdSign {
    /// It reports that it is cold for this long.
    Reported(Duration),
    /// A new incarnation that does not report whether it is cold.
    Started,
    /// No connection could be opened: when it accepts connections again, it may have been restarted.
    Unreachable,
    /// Nothing was sent to it for a while, as its failure domain was evacuated.
    Unused,
}

impl ColdSign {
    fn duration(self, start: ColdStart) -> Duration {
        match self {
            Self::Reported(left) => left.min(start.duration * MAX_COLD_FACTOR),
            Self::Started | Self::Unreachable | Self::Unused => start.duration,
        }
    }
}

/// Signs that targets are cold.
#[derive(Debug, Default)]
pub struct ColdTargets {
    signs: BTreeMap<TargetId, Vec<(Time, ColdSign)>>,
    /// When this instance may next admit a request to a cold target.
    next_admission: BTreeMap<TargetId, Time>,
}

impl ColdTargets {
    /// Records a sign that a target is cold from `now` on. The newest sign of each kind counts.
    pub fn record(&mut self, target: &TargetId, sign: ColdSign, now: Time) {
        let signs = self.signs.entry(target.clone()).or_default();
        let is_same_kind =
            |known: ColdSign| std::mem::discriminant(&known) == std::mem::discriminant(&sign);
        signs.retain(|(_, known)| !is_same_kind(*known));
        signs.push((now, sign));
    }

    /// Returns how much longer a target is taken as cold; zero if it is warm.
    #[must_use]
    pub fn time_left(&self, target: &TargetId, start: ColdStart, now: Time) -> Duration {
        let signs = self.signs.get(target).into_iter().flatten();
        let left = signs.map(|(since, sign)| (*since + sign.duration(start)).since(now));
        left.max().unwrap_or_default()
    }

    /// Forgets that no connection could be opened to a target from `since` on.
    pub fn forget_unreachable(&mut self, target: &TargetId, since: Time) {
        if let Some(signs) = self.signs.get_mut(target) {
            signs.retain(|(at, sign)| *sign != ColdSign::Unreachable || *at < since);
        }
    }

    /// Admits a request to a cold target that this instance owns, at part of the target's rate.
    pub fn admit(&mut self, target: &TargetId, start: ColdStart, now: Time) -> bool {
        let next = self.next_admission.get(target).copied().unwrap_or_default();
        if now < next || start.milli_per_second == 0 {
            return false;
        }
        let interval = Duration::from_secs(1_000).div_f64(start.rate() * OWNER_RATE_FRACTION);
        self.next_admission.insert(target.clone(), now + interval);
        true
    }

    /// Removes old signs and targets that no longer exist.
    pub fn sweep(&mut self, is_present: impl Fn(&TargetId) -> bool, now: Time) {
        self.signs.retain(|target, signs| {
            signs.retain(|(since, _)| now.since(*since) < SIGN_TTL);
            is_present(target) && !signs.is_empty()
        });
        self.next_admission.retain(|_, next| now < *next);
    }
}

impl ColdStart {
    /// Returns the rate in thousandths of a request a second.
    fn rate(self) -> f64 {
        let milli = u32::try_from(self.milli_per_second).unwrap_or(u32::MAX);
        f64::from(milli)
    }
}
