//! Brittle targets: they fall over when they have to refuse too many requests in a second for want of room.
//!
//! Such a target says so in all of its answers. The number of refusals that it bears holds for all instances
//! together, so each instance causes at most its share: it uses only a part of the slots, and after a refusal it
//! leaves the target alone.

use std::collections::BTreeMap;
use std::time::Duration;

use bluebellstage_core::{TargetId, Time};

use super::target::Target;

/// Fraction of a brittle target's slots that all instances together use. The rest covers requests that they have
/// sent and not told each other of yet.
const USABLE_SLOT_FRACTION: f64 = 0.75;
/// Fraction of the refusals that a target bears which all instances together cause at most.
const USABLE_REFUSAL_FRACTION: f64 = 0.5;
/// Period for which a target states how many refusals it bears.
const REFUSAL_PERIOD: Duration = Duration::from_secs(1);

/// What a response reports about whether its target is brittle.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ReportedBrittleness {
    /// It reports nothing.
    #[default]
    None,
    /// It falls over when it has to refuse more requests than this in a second.
    Brittle(u32),
    /// The header is malformed.
    Malformed,
}

/// The last report of an incarnation of a target.
#[derive(Clone, Copy, Debug)]
struct Report {
    born: Option<u64>,
    max_refusals: u32,
    reported_at: Time,
}

/// Targets that report that they are brittle.
#[derive(Debug, Default)]
pub struct BrittleTargets {
    by_target: BTreeMap<TargetId, Report>,
}

impl BrittleTargets {
    /// Records what an incarnation of a target reports in its answer to a request that was sent at `sent`. An
    /// answer to a request from before the last report does not withdraw it. Returns whether the target was not
    /// known to be brittle.
    pub fn record(
        &mut self,
        target: &TargetId,
        born: Option<u64>,
        reported: ReportedBrittleness,
        sent: Time,
        now: Time,
    ) -> bool {
        let known = self.by_target.get(target).copied();
        let known = known.filter(|known| known.born == born);
        match reported {
            ReportedBrittleness::Malformed => false,
            ReportedBrittleness::None => {
                if known.is_none_or(|known| sent >= known.reported_at) {
                    self.by_target.remove(target);
                }
                false
            }
            ReportedBrittleness::Brittle(max_refusals) => {
                let report = Report {
                    born,
                    max_refusals,
                    reported_at: now,
                };
                self.by_target.insert(target.clone(), report);
                known.is_none()
            }
        }
    }

    /// Returns how many refusals a second the target's current incarnation bears; `None` if it is not brittle.
    #[must_use]
    pub fn max_refusals(&self, target: &Target) -> Option<u32> {
        let report = self.by_target.get(&target.id)?;
        (report.born == target.born).then_some(report.max_refusals)
    }

    /// Returns for how long an instance leaves a target alone that has refused its request, so that all `instances`
    /// together cause no more refusals than the target bears. `None` if the target is not brittle.
    #[must_use]
    pub fn pause(&self, target: &Target, instances: usize) -> Option<Duration> {
        let max_refusals = f64::from(self.max_refusals(target)?) * USABLE_REFUSAL_FRACTION;
        let instances = f64::from(u32::try_from(instances).unwrap_or(u32::MAX));
        let share = (instances / max_refusals).max(1.0);
        Some(REFUSAL_PERIOD.mul_f64(share))
    }

    /// Whether a target that has `in_flight` requests of all instances may get another one.
    #[must_use]
    pub fn has_room(&self, target: &Target, in_flight: u32) -> bool {
        let usable = (f64::from(target.slots) * USABLE_SLOT_FRACTION).max(1.0);
        self.max_refusals(target).is_none() || f64::from(in_flight) < usable
    }

    /// Returns the number of brittle targets.
    #[must_use]
    pub fn count(&self) -> usize {
        self.by_target.len()
    }

    /// Removes targets that no longer exist.
    pub fn retain_targets(&mut self, is_present: impl Fn(&TargetId) -> bool) {
        self.by_target.retain(|target, _| is_present(target));
    }
}
