//! Finds the route and the workspace of a request.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bluebellstage_core::{Revision, ServiceId, WorkspaceId};

use super::call::Call;
use super::config::{Config, Route, Workspace};
use super::malformed_part::MalformedScope;
use super::ranked_tokens::RankClass;
use super::service_ranks::ServiceRanks;

/// A configuration with its lookup tables.
#[derive(Debug, Default)]
pub struct RouteTable {
    config: Arc<Config>,
    by_host: HashMap<Box<str>, Vec<usize>>,
    /// Workspaces by key; `None` for a malformed one.
    by_key: HashMap<Box<str>, Option<usize>>,
    ranks: HashMap<ServiceId, ServiceRanks>,
}

/// Result of a route lookup.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Routed {
    /// A route matches, and the key is accepted if the route needs one.
    To {
        /// Index of the route in the configuration.
        route: usize,
        /// Index of the workspace; `None` if the route is public and no known key was sent, or if keys aren't
        /// used.
        workspace: Option<usize>,
    },
    /// No route matches.
    NoRoute,
    /// The key is unknown.
    UnknownKey,
    /// The route or the workspace is malformed, or may be.
    Malformed,
}

impl RouteTable {
    /// Builds the lookup tables for `config`.
    #[must_use]
    pub fn new(config: Arc<Config>) -> Self {
        let mut by_host = HashMap::<Box<str>, Vec<usize>>::new();
        for (idx, route) in config.routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().push(idx);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|idx| std::cmp::Reverse(config.routes[*idx].prefix.len()));
        }
        let malformed = config
            .malformed
            .iter()
            .filter_map(|part| match &part.scope {
                MalformedScope::Keys(keys) => Some(keys.iter().map(|key| (key.clone(), None))),
                _ => None,
            });
        let keys = config.workspaces.iter().enumerate();
        let keys = keys.flat_map(|(idx, workspace)| {
            let keys = workspace.keys.iter();
            keys.map(move |key| (key.clone(), Some(idx)))
        });
        let by_key = malformed.flatten().chain(keys).collect();
        let ranks = ServiceRanks::of_services(&config);
        Self {
            config,
            by_host,
            by_key,
            ranks,
        }
    }

    /// Returns the configuration.
    #[must_use]
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// Returns the version of the configuration; zero before the first one.
    #[must_use]
    pub fn version(&self) -> Revision {
        self.config.version
    }

    /// Returns the class of a rank among those of a service.
    #[must_use]
    pub fn rank_class(&self, service: &ServiceId, rank: u8) -> RankClass {
        let ranks = self.ranks.get(service);
        ranks.map_or_else(RankClass::default, |ranks| ranks.class(rank))
    }

    /// Whether later ranks of a service leave room to requests of earlier ones that wait.
    #[must_use]
    pub fn later_ranks_can_wait(&self, service: &ServiceId) -> bool {
        let ranks = self.ranks.get(service);
        ranks.is_some_and(ServiceRanks::later_can_wait)
    }

    /// Returns the strictest target gap of the routes that lead to a service; `None` if they have none.
    #[must_use]
    pub fn target_gap(&self, service: &ServiceId) -> Option<Duration> {
        let routes = self.config.routes.iter();
        let leading = routes.filter(|route| {
            let mut split = route.split.iter();
            split.any(|(name, weight)| name == service && *weight > 0)
        });
        leading.filter_map(|route| route.target_gap).min()
    }

    /// Looks up the route and the workspace of `call`. The route is checked before the key: an unknown path
    /// is reported as such whatever the key.
    #[must_use]
    pub fn find(&self, call: &Call) -> Routed {
        let Some(route) = self.find_route(call) else {
            return self.without_route(call);
        };
        if !self.config.needs_keys() {
            return Routed::To {
                route,
                workspace: None,
            };
        }
        let workspace = call.key.as_ref().and_then(|key| self.by_key.get(key));
        match (workspace, self.config.routes[route].public) {
            (Some(None), _) => Routed::Malformed,
            (None, false) if self.has_malformed(&MalformedScope::OtherKeys) => Routed::Malformed,
            (None, false) => Routed::UnknownKey,
            (workspace, _) => Routed::To {
                route,
                workspace: workspace.copied().flatten(),
            },
        }
    }

    fn has_malformed(&self, scope: &MalformedScope) -> bool {
        let mut parts = self.config.malformed.iter();
        parts.any(|part| part.scope == *scope)
    }

    /// Returns the longest prefix of the malformed routes that match `call`.
    fn malformed_prefix(&self, call: &Call) -> Option<usize> {
        let parts = self.config.malformed.iter();
        let prefixes = parts.filter_map(|part| match &part.scope {
            MalformedScope::Route { host, prefix } if *host == call.host => Some(prefix),
            _ => None,
        });
        let matching = prefixes.filter(|prefix| call.path.starts_with(&***prefix));
        matching.map(|prefix| prefix.len()).max()
    }

    /// Returns why `call`, which [`Self::find_route`] finds no route for, has none.
    #[must_use]
    pub fn without_route(&self, call: &Call) -> Routed {
        let is_malformed = self.malformed_prefix(call).is_some();
        if is_malformed || self.has_malformed(&MalformedScope::OtherRoutes) {
            Routed::Malformed
        } else {
            Routed::NoRoute
        }
    }

    /// Looks up the route of `call` without regard to its key. There is none if a malformed one matches better.
    #[must_use]
    pub fn find_route(&self, call: &Call) -> Option<usize> {
        let routes = self.by_host.get(&call.host)?;
        let matches = |idx: &&usize| call.path.starts_with(&*self.config.routes[**idx].prefix);
        let found = routes.iter().find(matches).copied()?;
        let len = self.config.routes[found].prefix.len();
        let is_best = self.malformed_prefix(call).is_none_or(|other| other <= len);
        is_best.then_some(found)
    }

    /// Returns the names of the route and of the workspace of `call`, as far as they are known, by log key.
    #[must_use]
    pub fn names(&self, call: &Call) -> Vec<(&'static str, &str)> {
        let route = self.find_route(call).map(|idx| &*self.route(idx).name);
        let workspace = call.key.as_ref().and_then(|key| self.workspace_of(key));
        let route = route.map(|name| ("route", name));
        let workspace = workspace.map(|name| ("workspace", name.as_str()));
        route.into_iter().chain(workspace).collect()
    }

    /// Returns the route at an index from [`Self::find`].
    #[must_use]
    pub fn route(&self, idx: usize) -> &Route {
        &self.config.routes[idx]
    }

    /// Returns the workspace at an index from [`Self::find`].
    #[must_use]
    pub fn workspace(&self, idx: usize) -> &Workspace {
        &self.config.workspaces[idx]
    }

    /// Returns the workspace with this name.
    #[must_use]
    pub fn workspace_named(&self, name: &WorkspaceId) -> Option<&Workspace> {
        let mut workspaces = self.config.workspaces.iter();
        workspaces.find(|workspace| workspace.name == *name)
    }

    /// Returns the name of the workspace that `key` belongs to.
    #[must_use]
    pub fn workspace_of(&self, key: &str) -> Option<&WorkspaceId> {
        let idx = (*self.by_key.get(key)?)?;
        Some(&self.config.workspaces[idx].name)
    }
}

/// Returns the service that `draw`, a uniformly distributed random number, selects by the route's weights.
#[must_use]
pub fn pick_service(route: &Route, draw: u64) -> Option<&ServiceId> {
    let total = route
        .split
        .iter()
        .map(|(_, weight)| u64::from(*weight))
        .sum::<u64>();
    let mut remaining = draw.checked_rem(total)?;
    for (service, weight) in &route.split {
        match remaining.checked_sub(u64::from(*weight)) {
            Some(rest) => remaining = rest,
            None => return Some(service),
        }
    }
    None
}
