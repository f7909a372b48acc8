//! Finds the route and the workspace of a request.

use std::collections::HashMap;
use std::sync::Arc;

use bluebellstage_core::{Revision, ServiceId, WorkspaceId};

use super::call::Call;
use super::config::{Config, Route, Workspace};

/// A configuration with its lookups.
#[derive(Debug, Default)]
pub struct RouteTable {
    config: Arc<Config>,
    by_host: HashMap<Box<str>, Vec<usize>>,
    by_key: HashMap<Box<str>, usize>,
}

/// Where a request may go.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Routed {
    /// To a service, on behalf of a workspace.
    To {
        /// Index of the route in the configuration.
        route: usize,
        /// Index of the workspace; none on public routes and where keys aren't used.
        workspace: Option<usize>,
    },
    /// No route matches.
    NoRoute,
    /// The key is unknown.
    UnknownKey,
}

impl RouteTable {
    /// Lookups for `config`.
    #[must_use]
    pub fn new(config: Arc<Config>) -> Self {
        let mut by_host = HashMap::<Box<str>, Vec<usize>>::new();
        for (idx, route) in config.routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().push(idx);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|idx| std::cmp::Reverse(config.routes[*idx].prefix.len()));
        }
        let keys = config.workspaces.iter().enumerate();
        let by_key = keys
            .flat_map(|(idx, workspace)| workspace.keys.iter().map(move |key| (key.clone(), idx)))
            .collect();
        Self {
            config,
            by_host,
            by_key,
        }
    }

    /// The configuration itself.
    #[must_use]
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// Version of the configuration; zero before the first.
    #[must_use]
    pub fn version(&self) -> Revision {
        self.config.version
    }

    /// Where `call` may go. The route is looked up first: an unknown path is an unknown path,
    /// whatever the key.
    #[must_use]
    pub fn find(&self, call: &Call) -> Routed {
        let Some(route) = self.route_of(call) else {
            return Routed::NoRoute;
        };
        if self.config.workspaces.is_empty() {
            return Routed::To {
                route,
                workspace: None,
            };
        }
        let workspace = call.key.as_ref().and_then(|key| self.by_key.get(key));
        match (workspace, self.config.routes[route].public) {
            (None, false) => Routed::UnknownKey,
            (workspace, _) => Routed::To {
                route,
                workspace: workspace.copied(),
            },
        }
    }

    fn route_of(&self, call: &Call) -> Option<usize> {
        let routes = self.by_host.get(&call.host)?;
        let matches = |idx: &&usize| call.path.starts_with(&*self.config.routes[**idx].prefix);
        routes.iter().find(matches).copied()
    }

    /// The route at an index that [`Self::find`] gave.
    #[must_use]
    pub fn route(&self, idx: usize) -> &Route {
        &self.config.routes[idx]
    }

    /// The workspace at an index that [`Self::find`] gave.
    #[must_use]
    pub fn workspace(&self, idx: usize) -> &Workspace {
        &self.config.workspaces[idx]
    }

    /// Name of the workspace that holds `key`.
    #[must_use]
    pub fn workspace_of(&self, key: &str) -> Option<&WorkspaceId> {
        let idx = self.by_key.get(key)?;
        Some(&self.config.workspaces[*idx].name)
    }
}

/// The service that `draw`, evenly spread over all numbers, picks from a route's weights.
#[must_use]
pub fn pick_service(route: &Route, draw: u64) -> Option<&ServiceId> {
    let total = route
        .split
        .iter()
        .map(|(_, weight)| u64::from(*weight))
        .sum::<u64>();
    let mut left = draw.checked_rem(total)?;
    for (service, weight) in &route.split {
        match left.checked_sub(u64::from(*weight)) {
            Some(rest) => left = rest,
            None => return Some(service),
        }
    }
    None
}
