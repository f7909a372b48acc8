//! What is told of brittle targets, by themselves and between instances.

use std::time::Duration;

use bluebellstage_core::Time;
use serde::{Deserialize, Serialize};

use super::{BrittleTargets, REPORT_TTL};
use crate::decide::rendezvous::ShortHash;

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

/// The last report of a brittle target of a service, from one instance to others.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct BrittleReport {
    /// Hash of the service's name.
    pub service: ShortHash,
    /// Refusals a second that the target bears.
    pub max_refusals: u32,
    /// Milliseconds since it reported that.
    pub age_ms: u32,
}

impl BrittleTargets {
    /// Returns the reports for other instances.
    #[must_use]
    pub fn reports(&self, now: Time) -> Vec<BrittleReport> {
        let current = self.by_service.iter();
        let current = current.filter(|(_, report)| report.is_current(now));
        let reports = current.map(|(service, report)| {
            let age = now.since(report.reported_at).as_millis();
            BrittleReport {
                service: *service,
                max_refusals: report.max_refusals,
                age_ms: u32::try_from(age).unwrap_or(u32::MAX),
            }
        });
        reports.collect()
    }

    /// Applies a report of another instance, if it is newer than what is known.
    pub fn apply(&mut self, report: &BrittleReport, now: Time) {
        let reported_at = now - Duration::from_millis(u64::from(report.age_ms));
        let known = self.by_service.get(&report.service);
        let is_newer = known.is_none_or(|known| known.reported_at < reported_at);
        if is_newer && now.since(reported_at) < REPORT_TTL {
            self.renew_service_report(report.service, report.max_refusals, reported_at, now);
        }
    }
}
