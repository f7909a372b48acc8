//! The operators' configuration in the gateway's data model.

use std::time::Duration;

use bluebellstage_core::{BaseModel, Rate, Revision, ServiceId, Tokens, WorkspaceId};
use serde::{Deserialize, Serialize};

use super::cold::ColdStart;
use super::malformed_part::{MalformedPart, MalformedScope, PartKind};

/// One complete version of the configuration.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Config {
    /// Version; increases with each change. An older version never replaces a newer one.
    pub version: Revision,
    /// Routes of requests.
    pub routes: Vec<Route>,
    /// The services that routes refer to.
    pub services: Vec<Service>,
    /// Limits on callers' requests; shared by all routes.
    pub limits: Limits,
    /// Workspaces; if there are none, malformed ones included, requests need no key.
    pub workspaces: Vec<Workspace>,
    /// Parts that can't be decoded.
    pub malformed: Vec<MalformedPart>,
}

/// A route.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Route {
    /// Name of the route.
    pub name: Box<str>,
    /// Host that the route matches.
    pub host: Box<str>,
    /// Path prefix that the route matches; begins and ends with a slash.
    pub prefix: Box<str>,
    /// Services with their weights; at least one.
    pub split: Vec<(ServiceId, u32)>,
    /// Which requests may be retried.
    pub kind: RouteKind,
    /// Maximum time that a request may take.
    pub timeout: Duration,
    /// Response time up to which a response has its full value.
    pub target_latency: Duration,
    /// Maximum number of targets that may run one caller's attempt.
    pub max_attempts: u32,
    /// Rank, 0 first.
    pub rank: u8,
    /// Whether requests need no key.
    pub public: bool,
    /// Maximum gap between events that still counts as on time.
    pub target_gap: Option<Duration>,
}

/// Which requests may be retried on a route.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum RouteKind {
    /// Idempotent requests, which may be retried.
    Safe,
    /// Requests that run at most once.
    Unsafe,
    /// Event streams that may be resumed at another target.
    ResumableStream,
    /// Event streams that run at most once.
    SingleStream,
}

impl RouteKind {
    /// Returns whether a request may be sent again although it may have run.
    #[must_use]
    pub const fn repeatable(self) -> bool {
        matches!(self, Self::Safe | Self::ResumableStream)
    }

    /// Returns whether the response is an event stream.
    #[must_use]
    pub const fn streams(self) -> bool {
        matches!(self, Self::ResumableStream | Self::SingleStream)
    }
}

/// A service: either plain or a group of engines.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceId,
    /// Maximum number of connections to one of its targets from all callers together.
    pub max_connections: u32,
    /// Limits of the engines; `None` for a plain service.
    pub engine: Option<EngineLimits>,
    /// How its targets are cold after a start; `None` if they are warm at once.
    pub cold_start: Option<ColdStart>,
}

/// Limits of a service's engines.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct EngineLimits {
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Maximum number of adapters, including those being loaded.
    pub adapter_slots: u32,
    /// Maximum number of concurrent adapter loads from the weight store to all engines together; beyond it,
    /// each load takes longer.
    pub adapter_loads_at_once: u32,
    /// Base models that may be loaded.
    pub models: Vec<BaseModel>,
    /// Time to load a base model from the weight store, in milliseconds.
    pub load_ms: u64,
}

/// Limits on callers' requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum time to receive a request head.
    pub header_timeout: Duration,
    /// Maximum time a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1_024,
            body_bytes: 4 * 1_024 * 1_024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A workspace: the customer that is charged for a request.
#[derive(Clone, Eq, PartialEq, Deserialize, Serialize)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: WorkspaceId,
    /// Keys that callers present; never logged.
    pub keys: Vec<Box<str>>,
    /// Rank that takes precedence over the route's, 0 first.
    pub rank: Option<u8>,
    /// Quota; `None` if unlimited.
    pub quota: Option<Quota>,
}

impl std::fmt::Debug for Workspace {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Workspace")
            .field("name", &self.name)
            .field("keys", &self.keys.len())
            .field("rank", &self.rank)
            .field("quota", &self.quota)
            .finish()
    }
}

/// Quota of a workspace over all instances.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Quota {
    /// Unit in which requests are charged.
    pub unit: QuotaUnit,
    /// Units per second.
    pub rate: Rate,
    /// Units that may be spent at once when the bucket is full.
    pub burst: Tokens,
}

/// Unit in which requests are charged.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum QuotaUnit {
    /// Each request counts as one unit.
    Requests,
    /// A request is charged its tokens, or `plain` if it has no token count.
    Tokens {
        /// Charge of a request without a token count.
        plain: Tokens,
    },
}

impl QuotaUnit {
    /// Returns the charge of a request with `tokens`.
    #[must_use]
    pub fn charge(self, tokens: Option<Tokens>) -> u64 {
        match self {
            Self::Requests => 1,
            Self::Tokens { plain } => tokens.unwrap_or(plain).0,
        }
    }
}

impl Config {
    /// Returns the service with this name.
    #[must_use]
    pub fn service(&self, name: &ServiceId) -> Option<&Service> {
        self.services.iter().find(|service| service.name == *name)
    }

    /// Whether requests need a key, unless their route is public.
    #[must_use]
    pub fn needs_keys(&self) -> bool {
        !self.workspaces.is_empty() || self.has_malformed_workspace()
    }

    /// Whether a workspace is one of the malformed parts.
    #[must_use]
    pub fn has_malformed_workspace(&self) -> bool {
        let mut malformed = self.malformed.iter();
        malformed.any(|part| part.kind == PartKind::Workspace)
    }

    /// Whether a service is one of the malformed parts.
    #[must_use]
    pub fn is_malformed_service(&self, name: &ServiceId) -> bool {
        let mut malformed = self.malformed.iter();
        malformed.any(|part| match &part.scope {
            MalformedScope::Service(service) => service == name,
            MalformedScope::OtherServices => self.service(name).is_none(),
            _ => false,
        })
    }
}
