//! Software versions of targets that are gone, or that restarted with another one.

use std::collections::HashMap;

use bluebellstage_core::{ServiceId, SoftwareVersion, Time};

use crate::decide::rendezvous::ShortHash;
use crate::decide::streams::origins::MAX_LIFETIME;
use crate::decide::target::Target;

/// When a target of a service last had each software version, for as long as a stream of it may be continued.
#[derive(Debug, Default)]
pub(in crate::decide) struct SoftwareHistory {
    last_seen: HashMap<ServiceId, HashMap<SoftwareVersion, Time>>,
}

impl SoftwareHistory {
    /// Records that a target is gone or has restarted.
    pub(in crate::decide) fn record_former(&mut self, former: &Target, now: Time) {
        let of_service = self.last_seen.entry(former.service.clone()).or_default();
        of_service.insert(former.software.clone(), now);
    }

    /// Records a version that the store keeps. When its last target left is not known: it may have been just now.
    pub(in crate::decide) fn record_stored(
        &mut self,
        service: &ServiceId,
        version: &SoftwareVersion,
        now: Time,
    ) {
        let of_service = self.last_seen.entry(service.clone()).or_default();
        of_service.insert(version.clone(), now);
    }

    /// Returns the versions of former targets of all services.
    pub(in crate::decide) fn all(
        &self,
        now: Time,
    ) -> impl Iterator<Item = (&ServiceId, &SoftwareVersion)> {
        let versions = self.last_seen.iter().flat_map(|(service, versions)| {
            let versions = versions.iter();
            versions.map(move |(version, seen)| (service, version, seen))
        });
        let recent = versions.filter(move |(.., seen)| now.since(**seen) < MAX_LIFETIME);
        recent.map(|(service, version, _)| (service, version))
    }

    /// Returns the versions of former targets of a service.
    pub(in crate::decide) fn versions(
        &self,
        service: ShortHash,
        now: Time,
    ) -> impl Iterator<Item = &SoftwareVersion> {
        let services = self.last_seen.iter();
        let of_service = services.filter(move |(name, _)| ShortHash::of(name.as_str()) == service);
        let versions = of_service.flat_map(|(_, versions)| versions);
        let recent = versions.filter(move |(_, seen)| now.since(**seen) < MAX_LIFETIME);
        recent.map(|(version, _)| version)
    }

    /// Removes versions of which no stream is left.
    pub(in crate::decide) fn sweep(&mut self, now: Time) {
        self.last_seen.retain(|_, versions| {
            versions.retain(|_, seen| now.since(*seen) < MAX_LIFETIME);
            !versions.is_empty()
        });
    }
}
