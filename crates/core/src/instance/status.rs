//! Status summary and state dump of an instance.

use serde::Serialize;

use crate::catalogue::CatalogueStatus;
use crate::engines::GroupSummary;
use crate::{InstanceId, Map, MemberRef, OwnershipKey, Revision, Time};

use super::Instance;

/// A summary of an instance for operators.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// The local instance and its incarnation.
    pub me: MemberRef,
    /// Whether the instance can serve callers.
    pub ready: bool,
    /// Whether the instance holds a lease: a recent confirmation that its map is current.
    pub standing: bool,
    /// The map in force at this instance.
    pub map: Map,
    /// Status of the local catalogue.
    pub catalogue: CatalogueStatus,
    /// Catalogue revision of each instance, as known to this one.
    pub instances: Vec<InstanceCatalogue>,
    /// Keys that this instance owns and may act on now.
    pub homes: Vec<OwnershipKey>,
    /// Summaries of the engine groups.
    pub groups: Vec<GroupSummary>,
    /// Number of callers' requests in progress at this instance.
    pub requests: usize,
    /// Number of calls with unknown outcome in the workspaces that this instance owns.
    pub in_doubt: usize,
    /// Whether a planned stop is in progress.
    pub stopping: bool,
}

/// The catalogue revision of one instance, as known to another.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct InstanceCatalogue {
    /// The instance.
    pub id: InstanceId,
    /// The revision in force there; `None` if the instance is uncertain or has not reported one.
    pub revision: Option<Revision>,
}

impl Instance {
    /// Returns a summary for operators.
    #[must_use]
    pub fn status(&self, now: Time) -> Status {
        let ownership = self.ownership();
        let workspaces = self
            .catalogue()
            .workspaces()
            .map(|entry| OwnershipKey::Workspace(entry.id.clone()));
        let keys = workspaces.chain([OwnershipKey::WeightStore, OwnershipKey::Catalogue]);
        Status {
            me: ownership.local.clone(),
            ready: self.is_ready(now),
            standing: ownership.has_lease(now),
            map: ownership.map.clone(),
            catalogue: self.catalogue.status(now),
            instances: self.instance_catalogues(),
            homes: keys.filter(|key| ownership.may_act(now, key)).collect(),
            groups: self.engines.groups(ownership),
            requests: self.active_requests.len(),
            in_doubt: self.journal.in_doubt().len(),
            stopping: self.stopping.is_some(),
        }
    }

    fn instance_catalogues(&self) -> Vec<InstanceCatalogue> {
        let map = &self.ownership().map;
        let local = (
            self.ownership().local.clone(),
            Some(self.catalogue.reported_revision()),
        );
        let reported: Vec<_> = self
            .membership
            .reported_catalogues()
            .map(|(member_ref, revision)| (member_ref.clone(), revision))
            .chain([local])
            .filter(|(member_ref, _revision)| {
                map.member(&member_ref.id)
                    .is_some_and(|member| member.incarnation == member_ref.incarnation)
            })
            .collect();
        reported
            .into_iter()
            .map(|(member_ref, revision)| InstanceCatalogue {
                id: member_ref.id,
                revision: revision.filter(|revision| *revision != Revision::UNCERTAIN),
            })
            .collect()
    }

    /// Returns the state of the cores as JSON for debugging, without keys and request bodies.
    #[must_use]
    pub fn dump(&self, now: Time) -> serde_json::Value {
        let active_requests: Vec<_> = self
            .active_requests
            .iter()
            .map(|(id, active_request)| serde_json::json!({ "id": id.to_string(), "flight": active_request }))
            .collect();
        serde_json::json!({
            "now": now,
            "status": self.status(now),
            "ownership": self.ownership(),
            "flights": active_requests,
            "retry_budget": self.retry_budget,
            "stopping": self.stopping,
            "services": self.services,
            "shares": self.rates.shares(now),
            "calls_in_doubt": self.journal.in_doubt(),
            "catalogue": {
                "workspaces": self.catalogue().workspaces().collect::<Vec<_>>(),
                "services": self.catalogue().services().collect::<Vec<_>>(),
                "keys": self.catalogue().keys().map(|key| serde_json::json!({
                    "id": key.id, "workspace": key.workspace, "digest": format!("{:?}", key.digest),
                })).collect::<Vec<_>>(),
                "adapters": self.catalogue().adapters().count(),
            },
        })
    }
}
