//! Targets that report in their responses that they leave.
//!
//! Their registrations say so as well, but arrive late or not at all while the store does not respond. A report
//! holds for one incarnation of a target and is never withdrawn: only a new incarnation serves again. Other
//! instances are not told, so that one wrong response can't take a target from all of them.

use std::collections::BTreeMap;
use std::time::Duration;

use bluebellstage_core::{TargetId, Time};

use super::drain_state::DrainState;
use super::target::Target;

/// Age of a report up to which a request may still go to the target if nothing else can run it now.
///
/// Meanwhile its adapters are loaded elsewhere. Requests that callers send 2 s after the report must not
/// arrive.
pub const DRAIN_PERIOD: Duration = Duration::from_secs(1);
/// Time for which a report is kept after its target's registration is gone: one that expired in an outage of
/// the store comes back.
const ABSENT_RETENTION: Duration = Duration::from_mins(2);

/// What a response reports about whether its target leaves.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ReportedDeparture {
    /// It reports nothing.
    #[default]
    None,
    /// The target leaves.
    Leaving,
    /// The header is malformed.
    Malformed,
}

/// The report of one incarnation of a target.
#[derive(Clone, Copy, Debug)]
struct Departure {
    born: Option<u64>,
    reported_at: Time,
    /// When the target was last registered.
    last_present: Time,
}

/// Targets that reported in a response to this instance that they leave.
#[derive(Debug, Default)]
pub struct Departures {
    by_target: BTreeMap<TargetId, Departure>,
}

impl Departures {
    /// Records that an incarnation of a target reports that it leaves. Returns whether that is new.
    pub fn record(&mut self, target: &TargetId, born: Option<u64>, now: Time) -> bool {
        let known = self.by_target.get(target);
        if known.is_some_and(|known| known.born == born) {
            return false;
        }
        let departure = Departure {
            born,
            reported_at: now,
            last_present: now,
        };
        self.by_target.insert(target.clone(), departure);
        true
    }

    /// Returns the time since the target's current incarnation reported that it leaves; `None` if it did not.
    #[must_use]
    pub fn age(&self, target: &Target, now: Time) -> Option<Duration> {
        let departure = self.by_target.get(&target.id)?;
        let is_current = departure.born == target.born;
        is_current.then(|| now.since(departure.reported_at))
    }

    /// Returns how far the target is drained because of its report.
    #[must_use]
    pub fn drain_state(&self, target: &Target, now: Time) -> DrainState {
        match self.age(target, now) {
            None => DrainState::Open,
            Some(age) if age < DRAIN_PERIOD => DrainState::Draining,
            Some(_) => DrainState::Closed,
        }
    }

    /// Returns the number of reports that are kept.
    #[must_use]
    pub fn count(&self) -> usize {
        self.by_target.len()
    }

    /// Removes reports of former incarnations and of targets that are gone, and returns those targets. `born`
    /// returns the start of a registered target's current incarnation.
    pub fn sweep(
        &mut self,
        born: impl Fn(&TargetId) -> Option<Option<u64>>,
        now: Time,
    ) -> Vec<TargetId> {
        let mut ended = Vec::new();
        self.by_target.retain(|target, departure| {
            let current = born(target);
            if current.is_some() {
                departure.last_present = now;
            }
            let has_restarted = current.is_some_and(|current| current != departure.born);
            let is_gone = now.since(departure.last_present) >= ABSENT_RETENTION;
            let has_ended = has_restarted || is_gone;
            if has_ended {
                ended.push(target.clone());
            }
            !has_ended
        });
        ended
    }
}
