//! The priority ranks that share a service.

use std::collections::HashMap;

use bluebellstage_core::ServiceId;

use super::config::{Config, Route};
use super::ranked_tokens::RankClass;

/// Ranks of the requests that may run at one service.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ServiceRanks {
    ranks: Vec<u8>,
    later_can_wait: bool,
}

impl ServiceRanks {
    /// Returns the ranks of each service of a configuration.
    #[must_use]
    pub fn of_services(config: &Config) -> HashMap<ServiceId, Self> {
        let services = config.services.iter();
        let ranks = services.map(|service| (service.name.clone(), Self::of(&service.name, config)));
        ranks.collect()
    }

    fn of(service: &ServiceId, config: &Config) -> Self {
        let leads_there = |route: &&Route| {
            let mut split = route.split.iter();
            split.any(|(name, weight)| name == service && *weight > 0)
        };
        let routes = config.routes.iter().filter(leads_there);
        let routes = routes.collect::<Vec<_>>();
        let of_workspaces = config.workspaces.iter();
        let of_workspaces = of_workspaces.filter_map(|workspace| workspace.rank);
        let of_routes = routes.iter().map(|route| route.rank);
        let mut ranks = of_routes.collect::<Vec<_>>();
        let has_workspace_ranks = of_workspaces.clone().next().is_some();
        if !routes.is_empty() {
            ranks.extend(of_workspaces);
        }
        ranks.sort_unstable();
        ranks.dedup();
        let later_can_wait =
            ranks.len() > 1 && !has_workspace_ranks && less_urgent_allow_more_time(&routes);
        Self {
            ranks,
            later_can_wait,
        }
    }

    /// Returns the class of a rank.
    #[must_use]
    pub fn class(&self, rank: u8) -> RankClass {
        let earlier = self.ranks.iter().filter(|other| **other < rank);
        RankClass::after(earlier.count())
    }

    /// Whether later ranks leave room to requests of earlier ones that wait: each less urgent route allows a longer
    /// target latency than each more urgent one.
    #[must_use]
    pub const fn later_can_wait(&self) -> bool {
        self.later_can_wait
    }
}

fn less_urgent_allow_more_time(routes: &[&Route]) -> bool {
    routes.iter().all(|urgent| {
        let mut later = routes.iter().filter(|route| route.rank > urgent.rank);
        later.all(|route| route.target_latency > urgent.target_latency)
    })
}
