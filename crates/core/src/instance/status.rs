//! Status and dump: what an instance shows of its state.

use serde::Serialize;

use crate::catalogue::CatalogueStatus;
use crate::engines::GroupSummary;
use crate::{InstanceId, Map, MemberRef, OwnershipKey, Revision, Time};

use super::Instance;

/// A summary of an instance for operators.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// This life of this instance.
    pub me: MemberRef,
    /// It can serve callers.
    pub ready: bool,
    /// It has a recent proof that its map is current.
    pub standing: bool,
    /// The map in force here.
    pub map: Map,
    /// The catalogue here.
    pub catalogue: CatalogueStatus,
    /// What is known here of each instance's catalogue.
    pub instances: Vec<InstanceCatalogue>,
    /// Workspaces that this instance is home of, and acts for now.
    pub homes: Vec<OwnershipKey>,
    /// Groups of engines.
    pub groups: Vec<GroupSummary>,
    /// Callers' requests under way here.
    pub requests: usize,
    /// Calls in doubt that it knows of as a home.
    pub in_doubt: usize,
    /// A planned stop is under way.
    pub stopping: bool,
}

/// The catalogue of one instance, as another knows it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct InstanceCatalogue {
    /// Which instance.
    pub id: InstanceId,
    /// The revision that it has in force; none while it is not sure or has not said.
    pub revision: Option<Revision>,
}

impl Instance {
    /// A summary for operators.
    #[must_use]
    pub fn status(&self, now: Time) -> Status {
        let own = self.own();
        let workspaces = self
            .catalogue()
            .workspaces()
            .map(|entry| OwnershipKey::Workspace(entry.id.clone()));
        let keys = workspaces.chain([OwnershipKey::WeightStore, OwnershipKey::Catalogue]);
        Status {
            me: own.local.clone(),
            ready: self.is_ready(now),
            standing: own.has_lease(now),
            map: own.map.clone(),
            catalogue: self.catalogue.status(now),
            instances: self.catalogues(),
            homes: keys.filter(|key| own.may_act(now, key)).collect(),
            groups: self.engines.groups(own),
            requests: self.flights.len(),
            in_doubt: self.journal.in_doubt().len(),
            stopping: self.stopping.is_some(),
        }
    }

    fn catalogues(&self) -> Vec<InstanceCatalogue> {
        let map = &self.own().map;
        let mine = (
            self.own().local.clone(),
            Some(self.catalogue.reported_revision()),
        );
        let told: Vec<_> = self
            .membership
            .reported_catalogues()
            .map(|(life, revision)| (life.clone(), revision))
            .chain([mine])
            .filter(|(life, _revision)| {
                map.member(&life.id)
                    .is_some_and(|member| member.incarnation == life.incarnation)
            })
            .collect();
        told.into_iter()
            .map(|(life, revision)| InstanceCatalogue {
                id: life.id,
                revision: revision.filter(|revision| *revision != Revision::UNSURE),
            })
            .collect()
    }

    /// All state of the cores, for a developer; keys and bodies are not part of it.
    #[must_use]
    pub fn dump(&self, now: Time) -> serde_json::Value {
        let flights: Vec<_> = self
            .flights
            .iter()
            .map(|(id, flight)| serde_json::json!({ "id": id.to_string(), "flight": flight }))
            .collect();
        serde_json::json!({
            "now": now,
            "status": self.status(now),
            "ownership": self.own(),
            "flights": flights,
            "retry_budget": self.budget,
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
