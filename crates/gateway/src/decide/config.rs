//! The operators' configuration in the gateway's own terms.

use std::time::Duration;

use bluebellstage_core::{BaseModel, Rate, Revision, ServiceId, Tokens, WorkspaceId};
use serde::{Deserialize, Serialize};

/// One version of the configuration, complete.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Config {
    /// Grows with each change; an older one never replaces a newer one.
    pub version: Revision,
    /// Where requests go.
    pub routes: Vec<Route>,
    /// The services that routes name.
    pub services: Vec<Service>,
    /// What callers may send; shared by all routes.
    pub limits: Limits,
    /// Workspaces; when empty, requests need no key.
    pub workspaces: Vec<Workspace>,
}

/// A route.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Route {
    /// Its name.
    pub name: Box<str>,
    /// The host that it answers for.
    pub host: Box<str>,
    /// The start of the paths that it answers for; begins and ends with a slash.
    pub prefix: Box<str>,
    /// Services with their weights; at least one.
    pub split: Vec<(ServiceId, u32)>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that the operators want a request kept.
    pub timeout: Duration,
    /// Time within which an answer earns its full worth.
    pub target_latency: Duration,
    /// Most targets that may run one caller's attempt.
    pub max_attempts: u32,
    /// Rank, 0 first.
    pub rank: u8,
    /// No key is needed.
    pub public: bool,
    /// Longest pause between events that is still on time.
    pub target_gap: Option<Duration>,
}

/// What may be repeated on a route.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum RouteKind {
    /// Idempotent.
    Safe,
    /// Runs at most once.
    Unsafe,
    /// A stream of events that may go on at another target.
    ResumableStream,
    /// A stream of events that runs at most once.
    SingleStream,
}

impl RouteKind {
    /// The request may be sent again although it may have run.
    #[must_use]
    pub const fn repeatable(self) -> bool {
        matches!(self, Self::Safe | Self::ResumableStream)
    }

    /// The answer is a stream of events.
    #[must_use]
    pub const fn streams(self) -> bool {
        matches!(self, Self::ResumableStream | Self::SingleStream)
    }
}

/// A service: plain, or a group of engines.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Service {
    /// Its name.
    pub name: ServiceId,
    /// Most connections that one of its targets takes from all callers together.
    pub max_connections: u32,
    /// Set where the targets are engines.
    pub engine: Option<EngineLimits>,
}

/// What the engines of a service hold.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct EngineLimits {
    /// Requests that run at once.
    pub slots: u32,
    /// Adapters that fit, those being loaded included.
    pub adapter_slots: u32,
    /// Adapters that may be on their way from the weight store to all engines together before each
    /// takes longer.
    pub adapter_loads_at_once: u32,
    /// Base models that may be loaded.
    pub models: Vec<BaseModel>,
    /// Time of a base model's load from the weight store, in milliseconds.
    pub load_ms: u64,
}

/// What callers may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Limits {
    /// Longest head of a request, in bytes.
    pub header_bytes: usize,
    /// Longest body of a request, in bytes.
    pub body_bytes: usize,
    /// Longest time for a head to come in.
    pub header_timeout: Duration,
    /// Longest time a connection may be idle.
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

/// A workspace: who pays for a request.
#[derive(Clone, Eq, PartialEq, Deserialize, Serialize)]
pub struct Workspace {
    /// Its name.
    pub name: WorkspaceId,
    /// Keys that callers present; never logged.
    pub keys: Vec<Box<str>>,
    /// Rank that goes before a route's, 0 first.
    pub rank: Option<u8>,
    /// Its quota; none: unlimited.
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

/// What a workspace may spend over all instances.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Quota {
    /// What a request counts as.
    pub unit: QuotaUnit,
    /// Units a second.
    pub rate: Rate,
    /// Units that may be spent at once after a rest.
    pub burst: Tokens,
}

/// What a request counts as.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum QuotaUnit {
    /// One.
    Requests,
    /// Its tokens; `plain` where it names none.
    Tokens {
        /// Charge of a request without a token count.
        plain: Tokens,
    },
}

impl QuotaUnit {
    /// Charge of a request that names `tokens`.
    #[must_use]
    pub fn charge(self, tokens: Option<Tokens>) -> u64 {
        match self {
            Self::Requests => 1,
            Self::Tokens { plain } => tokens.unwrap_or(plain).0,
        }
    }
}

impl Config {
    /// The service of that name.
    #[must_use]
    pub fn service(&self, name: &ServiceId) -> Option<&Service> {
        self.services.iter().find(|service| service.name == *name)
    }
}
