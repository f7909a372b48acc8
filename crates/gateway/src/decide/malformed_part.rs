//! A part of a configuration that can't be decoded.

use std::fmt;

use bluebellstage_core::ServiceId;
use serde::{Deserialize, Serialize};

/// A part of a configuration that can't be decoded. The other parts are in force; `scope` says which requests are refused.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct MalformedPart {
    /// What the part describes.
    pub kind: PartKind,
    /// Its name, as far as it can be told.
    pub name: Box<str>,
    /// Why it can't be decoded.
    pub cause: Box<str>,
    /// What depends on it.
    pub scope: MalformedScope,
}

/// What a part of a configuration describes.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PartKind {
    /// A workspace.
    Workspace,
    /// A key of a workspace.
    Key,
    /// A route.
    Route,
    /// A service.
    Service,
    /// A limit on callers' requests.
    Limit,
}

impl PartKind {
    /// Returns the short name for the log.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Workspace => "workspace",
            Self::Key => "key",
            Self::Route => "route",
            Self::Service => "service",
            Self::Limit => "limit",
        }
    }
}

/// What depends on a part that can't be decoded.
#[derive(Clone, Eq, PartialEq, Deserialize, Serialize)]
pub enum MalformedScope {
    /// No request; the usual value holds.
    Nothing,
    /// Requests with one of these keys.
    Keys(Vec<Box<str>>),
    /// Requests with a key of no other workspace: its keys can't be told.
    OtherKeys,
    /// Requests that match this route.
    Route {
        /// Host that the route matches.
        host: Box<str>,
        /// Path prefix that the route matches.
        prefix: Box<str>,
    },
    /// Requests that match no other route: its host and prefix can't be told.
    OtherRoutes,
    /// Requests for the service.
    Service(ServiceId),
    /// Requests for services that are not listed: its name can't be told.
    OtherServices,
}

impl fmt::Debug for MalformedScope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Nothing => f.write_str("Nothing"),
            // Keys are never logged.
            Self::Keys(keys) => write!(f, "Keys({})", keys.len()),
            Self::OtherKeys => f.write_str("OtherKeys"),
            Self::Route { host, prefix } => write!(f, "Route({host}{prefix})"),
            Self::OtherRoutes => f.write_str("OtherRoutes"),
            Self::Service(name) => write!(f, "Service({name})"),
            Self::OtherServices => f.write_str("OtherServices"),
        }
    }
}
