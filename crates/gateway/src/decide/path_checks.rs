//! Decides which targets are probed, to find out whether paths are lost or back.
//!
//! Failed connections of requests are no sample of the targets: those that broke their connections just before are
//! tried more often. So requests are not refused by them before targets that were not tried have been probed.

use std::collections::BTreeSet;
use std::time::Duration;

use bluebellstage_core::{ServiceId, TargetId, Time};

use super::paths::probes_required;
use super::rendezvous::{ShortHash, name_hash};
use super::tables::Tables;

/// Minimum interval between two checks after failed connections.
const SUSPICION_INTERVAL: Duration = Duration::from_millis(500);
/// Number of targets that are probed first if others were reached just before. The others follow if these fail.
const FIRST_PROBES: usize = 2;
/// Interval between two rounds of probes of a service whose targets can't be reached.
const RECOVERY_INTERVAL: Duration = Duration::from_millis(250);
/// Number of targets that are probed in such a round.
const RECOVERY_PROBES: usize = 2;

/// Probes of the targets of a service.
#[derive(Debug, Default)]
pub(super) struct PathCheck {
    last_round: Option<Time>,
    /// Targets that were probed since the check began.
    probed: Vec<TargetId>,
}

impl PathCheck {
    pub(super) fn probed(&self) -> &[TargetId] {
        &self.probed
    }

    fn is_due(&self, interval: Duration, now: Time) -> bool {
        self.last_round.is_none_or(|at| now.since(at) >= interval)
    }
}

impl Tables {
    /// Returns the targets to which connections should be opened now, to find out whether paths are lost or back.
    pub fn due_probes(&mut self, now: Time) -> Vec<TargetId> {
        let reported = self.services_lost_by_peers(now);
        let is_all_well =
            self.paths.failing_count() == 0 && self.partitions.lost().next().is_none();
        if is_all_well && reported.is_empty() {
            return Vec::new();
        }
        let services = self.routes.config().services.iter();
        let services = services.map(|service| service.name.clone());
        let mut due = Vec::new();
        for service in services.collect::<Vec<_>>() {
            due.extend(self.due_probes_of(&service, &reported, now));
        }
        due
    }

    fn due_probes_of(
        &mut self,
        service: &ServiceId,
        reported: &BTreeSet<ShortHash>,
        now: Time,
    ) -> Vec<TargetId> {
        let targets = self.expected_targets(service, now);
        if self.is_partitioned_from(service) {
            self.update_reached_by_peer(service, now);
            return self.recovery_probes(service, &targets, now);
        }
        let is_reported = reported.contains(&ShortHash::of(service.as_str()));
        let is_suspect = self.paths.has_failed_last(&targets, now)
            || is_reported && !self.paths.are_fresh(&targets, now);
        if !is_suspect {
            return Vec::new();
        }
        self.suspicion_probes(service, &targets, now)
    }

    fn recovery_probes(
        &mut self,
        service: &ServiceId,
        targets: &[TargetId],
        now: Time,
    ) -> Vec<TargetId> {
        let check = self.partitions.checks.entry(service.clone()).or_default();
        if !check.is_due(RECOVERY_INTERVAL, now) {
            return Vec::new();
        }
        check.probed.clear();
        self.next_round(service, targets, RECOVERY_PROBES, now)
    }

    /// A check begins with a few probes, if a target was reached just before, and goes on while all of them fail.
    fn suspicion_probes(
        &mut self,
        service: &ServiceId,
        targets: &[TargetId],
        now: Time,
    ) -> Vec<TargetId> {
        let required = probes_required(targets.len()).min(targets.len());
        let check = self.partitions.checks.entry(service.clone()).or_default();
        let goes_on = !check.probed.is_empty()
            && check.probed.len() < required
            && self.paths.have_failed(&check.probed, targets, now);
        if goes_on {
            let count = required - check.probed.len();
            return self.next_round(service, targets, count, now);
        }
        if !check.is_due(SUSPICION_INTERVAL, now) {
            return Vec::new();
        }
        check.probed.clear();
        let was_reached = self.paths.are_reached_since(targets, now, now);
        let count = if was_reached { FIRST_PROBES } else { required };
        self.next_round(service, targets, count, now)
    }

    fn next_round(
        &mut self,
        service: &ServiceId,
        targets: &[TargetId],
        count: usize,
        now: Time,
    ) -> Vec<TargetId> {
        let key = name_hash(self.local.name.as_str());
        let check = self.partitions.checks.entry(service.clone()).or_default();
        let due = self
            .paths
            .least_recently_tested(targets, &check.probed, count, key);
        check.probed.extend(due.iter().cloned());
        check.last_round = Some(now);
        due
    }

    /// Services whose targets live peers can't reach.
    fn services_lost_by_peers(&self, now: Time) -> BTreeSet<ShortHash> {
        let lost = self.peers.live(now).flat_map(|peer| &peer.lost_services);
        lost.copied().collect()
    }
}
