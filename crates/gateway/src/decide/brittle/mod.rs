//! Brittle targets: they fall over when they have to refuse too many requests in a second for want of room.
//!
//! Such a target says so in all of its answers. The refusals that it bears are those of all instances together, and none
//! of them can know in time what the others have sent. So one instance, its owner, sends all requests to it; the
//! others forward theirs to the owner. What the owner has sent and the target has not taken counts as refused, until it shows
//! that the target runs and has not refused it.
//!
//! The targets of a service are brittle at the same time. One that has not spoken since its start, or to this instance,
//! counts as brittle while others of its service say so.

mod refusal_window;
mod reports;

use std::collections::BTreeMap;
use std::time::Duration;

use bluebellstage_core::{TargetId, Time};

use self::refusal_window::{REFUSAL_PERIOD, RefusalWindow};
pub use self::reports::{BrittleReport, ReportedBrittleness};
use super::fleet_part::{FleetPart, Tenure};
use super::rendezvous::ShortHash;
use super::target::Target;

/// Fraction of a brittle target's slots that are used. The rest covers requests of former owners and runs whose
/// callers have left.
const USABLE_SLOT_FRACTION: f64 = 0.75;
/// Time without a word after which a service's targets are taken as sound. A target that falls over is back sooner.
const REPORT_TTL: Duration = Duration::from_secs(15);

/// What one incarnation of a target reported last.
#[derive(Clone, Copy, Debug)]
struct TargetReport {
    born: Option<u64>,
    /// `None` if it is sound.
    max_refusals: Option<u32>,
    reported_at: Time,
}

/// The last report of a brittle target of a service.
#[derive(Clone, Copy, Debug)]
struct ServiceReport {
    max_refusals: u32,
    reported_at: Time,
    /// Since when the service's targets have been brittle.
    since: Time,
}

impl ServiceReport {
    fn is_current(&self, now: Time) -> bool {
        now.since(self.reported_at) < REPORT_TTL
    }
}

/// What is known of brittle targets, and the refusals that this instance may cause at them.
#[derive(Debug, Default)]
pub struct BrittleTargets {
    by_target: BTreeMap<TargetId, TargetReport>,
    by_service: BTreeMap<ShortHash, ServiceReport>,
    windows: BTreeMap<TargetId, RefusalWindow>,
    /// Since when this instance has owned targets.
    owned_since: BTreeMap<TargetId, Time>,
    /// The part of the fleet that this instance sees.
    pub(super) part: FleetPart,
}

fn service_hash(target: &Target) -> ShortHash {
    ShortHash::of(target.service.as_str())
}

impl BrittleTargets {
    /// Records what an incarnation of a target, which started at `born`, reports in its answer to a request that was
    /// sent at `sent`. An answer to a request from before the target's last report, or from before others of its service
    /// were brittle, does not withdraw what is known. Returns whether the target was not known to be brittle.
    pub fn record(
        &mut self,
        target: &Target,
        born: Option<u64>,
        reported: ReportedBrittleness,
        sent: Time,
        now: Time,
    ) -> bool {
        let known = self.by_target.get(&target.id).copied();
        let known = known.filter(|known| known.born == born);
        let max_refusals = match reported {
            ReportedBrittleness::Malformed => return false,
            ReportedBrittleness::Brittle(max_refusals) => Some(max_refusals),
            ReportedBrittleness::None => None,
        };
        if let Some(max_refusals) = max_refusals {
            self.renew_service_report(service_hash(target), max_refusals, now, now);
        } else if known.is_some_and(|known| sent < known.reported_at) {
            return false;
        } else {
            match self.service_report(target, now) {
                None => {
                    self.by_target.remove(&target.id);
                    return false;
                }
                Some(of_service) if sent < of_service.since => return false,
                Some(_) => {}
            }
        }
        let report = TargetReport {
            born,
            max_refusals,
            reported_at: now,
        };
        self.by_target.insert(target.id.clone(), report);
        let was_brittle = known.is_some_and(|known| known.max_refusals.is_some());
        max_refusals.is_some() && !was_brittle
    }

    /// Records that a target of a service reported at `reported_at` that it is brittle. Whether a report is the first of
    /// a time in which the service's targets are brittle is seen from `now`.
    fn renew_service_report(
        &mut self,
        service: ShortHash,
        max_refusals: u32,
        reported_at: Time,
        now: Time,
    ) {
        let known = self.by_service.get(&service);
        let known = known.filter(|known| known.is_current(now));
        let report = ServiceReport {
            max_refusals,
            reported_at,
            since: known.map_or(reported_at, |known| known.since),
        };
        self.by_service.insert(service, report);
    }

    fn service_report(&self, target: &Target, now: Time) -> Option<ServiceReport> {
        let report = self.by_service.get(&service_hash(target)).copied();
        report.filter(|report| report.is_current(now))
    }

    /// Returns how many refusals a second a target bears; `None` if it is not brittle, as far as known.
    #[must_use]
    pub fn max_refusals(&self, target: &Target, now: Time) -> Option<u32> {
        let of_service = self.service_report(target, now)?;
        let own = self.by_target.get(&target.id);
        let own = own.filter(|own| own.born == target.born);
        own.map_or(Some(of_service.max_refusals), |own| own.max_refusals)
    }

    /// Whether no target is brittle, as far as known.
    #[must_use]
    pub fn is_empty(&self, now: Time) -> bool {
        !self
            .by_service
            .values()
            .any(|report| report.is_current(now))
    }

    /// Returns for how long the owner leaves a target alone that has refused its request.
    #[must_use]
    pub fn pause(&self, target: &Target, now: Time) -> Option<Duration> {
        self.max_refusals(target, now).map(|_| REFUSAL_PERIOD)
    }

    /// Whether a target that has `in_flight` requests of all instances may get another one.
    #[must_use]
    pub fn has_room(&self, target: &Target, in_flight: u32, now: Time) -> bool {
        let usable = (f64::from(target.slots) * USABLE_SLOT_FRACTION).max(1.0);
        self.max_refusals(target, now).is_none() || f64::from(in_flight) < usable
    }

    /// Whether the owner of a target may send another request there, which the target may refuse.
    #[must_use]
    pub fn bears_refusal(&self, target: &Target, now: Time) -> bool {
        let Some(max_refusals) = self.max_refusals(target, now) else {
            return true;
        };
        self.possible_refusals(target, now) < self.usable_refusals(target, max_refusals, now)
    }

    /// Records whether this instance owns a target.
    pub(super) fn record_owned(&mut self, target: &TargetId, is_owned: bool, now: Time) {
        if is_owned {
            self.owned_since.entry(target.clone()).or_insert(now);
        } else {
            self.owned_since.remove(target);
        }
    }

    /// Returns how many refusals a second this instance may cause at a target that bears `max_refusals`.
    fn usable_refusals(&self, target: &Target, max_refusals: u32, now: Time) -> u32 {
        let since = self.owned_since.get(&target.id);
        let tenure = match since {
            Some(since) if now.since(*since) < REFUSAL_PERIOD => Tenure::New,
            _ => Tenure::Settled,
        };
        self.part.usable_refusals(max_refusals, tenure)
    }

    /// Returns how many requests of this instance a target has refused lately, or may still refuse.
    #[must_use]
    pub fn possible_refusals(&self, target: &Target, now: Time) -> u32 {
        let window = self.windows.get(&target.id);
        let window = window.filter(|window| window.born == target.born);
        let count = window.map_or(0, |window| window.count(now));
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Records that a request is sent to a target, which may refuse it.
    pub fn record_sent(&mut self, target: &Target, now: Time) {
        let window = self.windows.entry(target.id.clone()).or_default();
        if window.born != target.born {
            // A new incarnation neither gets the requests of the former one nor remembers its refusals.
            *window = RefusalWindow::new(target.born);
        }
        window.record_sent(now);
    }

    /// Records that a target took a request that was sent at `sent`, or can't get it any more.
    pub fn record_taken(&mut self, target: &TargetId, sent: Time) {
        if let Some(window) = self.windows.get_mut(target) {
            window.record_taken(sent);
        }
    }

    /// Records that a target refused a request that was sent at `sent`.
    pub fn record_refused(&mut self, target: &TargetId, sent: Time, now: Time) {
        if let Some(window) = self.windows.get_mut(target) {
            window.record_refused(sent, now);
        }
    }

    /// Records that something arrived from a target.
    pub fn record_heard(&mut self, target: &TargetId, now: Time) {
        if let Some(window) = self.windows.get_mut(target) {
            window.record_heard(now);
        }
    }

    /// Whether a target should be asked for a sign of life: it soon gets no further request unless one shows that it has
    /// taken those without an answer. Counts it as asked then.
    pub fn take_check(&mut self, target: &Target, now: Time) -> bool {
        let Some(max_refusals) = self.max_refusals(target, now) else {
            return false;
        };
        if self.possible_refusals(target, now) * 2 < self.usable_refusals(target, max_refusals, now)
        {
            return false;
        }
        let window = self.windows.get_mut(&target.id);
        let Some(window) = window.filter(|window| window.is_check_due(now)) else {
            return false;
        };
        window.record_check(now);
        true
    }

    /// Returns the number of targets that reported that they are brittle.
    #[must_use]
    pub fn count(&self) -> usize {
        let reports = self.by_target.values();
        reports
            .filter(|report| report.max_refusals.is_some())
            .count()
    }

    /// Removes what is out of date.
    pub fn sweep(&mut self, is_present: impl Fn(&TargetId) -> bool, now: Time) {
        self.by_service.retain(|_, report| report.is_current(now));
        let is_any_brittle = !self.by_service.is_empty();
        self.by_target
            .retain(|target, _| is_any_brittle && is_present(target));
        self.owned_since
            .retain(|target, _| is_any_brittle && is_present(target));
        self.windows
            .retain(|target, window| is_present(target) && !window.is_empty(now));
    }
}
