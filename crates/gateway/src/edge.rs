//! Interfaces to the outside of the process, which a deployment implements.
//!
//! Implementations define names and formats; they make no decisions.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::time::Duration;

use bluebellstage_core::{FailureDomain, Revision, TargetId};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, Request, StatusCode, request, response};

use crate::decide::adapters::adapter::VersionedAdapter;
use crate::decide::adapters::loader::{Order, OrderOutcome, Report};
use crate::decide::call::{Call, Forward, ResponseHead};
use crate::decide::config::Config;
use crate::decide::lease::LeaseRecord;
use crate::decide::peers::Member;
use crate::decide::quarantine::QuarantineDecision;
pub use crate::decide::store::kind::Kind;
use crate::decide::store::position::Era;
use crate::decide::streams::origins::StreamRecord;
use crate::decide::target::Target;
use crate::error::{GatewayError, StoreError};
use crate::settings::NodeSettings;

/// A deployment: its wire formats, store and settings.
pub trait Edge: Debug + Send + Sync + 'static {
    /// Wire format of callers and targets.
    type Protocol: Protocol;
    /// The store of persistent state.
    type Store: ObjectStore;
    /// The source of the settings.
    type Settings: SettingsSource;
}

/// A malformed request of a caller.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("bad request: {0}")]
pub struct BadRequest(pub Box<str>);

/// Wire format of callers and targets.
pub trait Protocol: Debug + Send + Sync + 'static {
    /// Decodes a caller's request.
    ///
    /// # Errors
    ///
    /// A required part of the request is missing or malformed.
    fn call(&self, head: &request::Parts) -> Result<Call, BadRequest>;

    /// Returns the headers of the request to a target.
    fn forward_headers(&self, head: &request::Parts, forward: &Forward<'_>) -> HeaderMap;

    /// Decodes the head of a target's response.
    fn response_head(&self, head: &response::Parts) -> ResponseHead;

    /// Returns the names of a target's response headers that nothing here reads.
    fn unknown_headers(&self, headers: &HeaderMap) -> Vec<HeaderName>;

    /// Returns the headers of a target's response that are forwarded to the caller.
    fn response_headers(&self, head: &response::Parts) -> HeaderMap;

    /// Returns the body of a response that the instance itself generates.
    fn error_body(&self, message: &str) -> Bytes;

    /// Returns the request that reads an engine's report. Other targets respond to it as well, if only with a failure.
    fn report_request(&self, target: &TargetId, address: SocketAddr) -> Request<Bytes>;

    /// Decodes an engine's report; `None` if it is malformed.
    fn report(&self, body: &[u8]) -> Option<Report>;

    /// Returns when the process that sent a report started, by its own clock; `None` if the report does not say that.
    fn start_time(&self, report: &[u8]) -> Option<u64>;

    /// Returns the request that sends an order to an engine.
    fn order_request(
        &self,
        target: &Target,
        order: &Order,
        holder: &str,
        fencing: u64,
    ) -> Request<Bytes>;

    /// Decodes an engine's response to an order.
    fn order_outcome(&self, status: StatusCode) -> OrderOutcome;

    /// Returns `Some` if a caller asks which addresses to use, with the failure domain if the request names one.
    fn is_resolve(&self, head: &request::Parts) -> Option<Option<Box<str>>>;

    /// Returns the body of the response to an address lookup; callers may keep the addresses for `keep`.
    fn resolve_body(&self, addresses: &[SocketAddr], keep: Duration) -> Bytes;

    /// Whether the request is a readiness check of the platform.
    fn is_readiness(&self, head: &request::Parts) -> bool;
}

/// The source of the process's settings.
pub trait SettingsSource: Debug + Send + Sync + 'static {
    /// Reads the current settings.
    ///
    /// # Errors
    ///
    /// The settings can't be read or are invalid.
    fn read(&self) -> Result<NodeSettings, GatewayError>;
}

/// The decoded content of an object.
#[derive(Clone, Debug)]
pub enum Content {
    /// The configuration.
    Config(Box<Config>),
    /// A target.
    Target(Box<Target>),
    /// The newest version of an adapter.
    AdapterVersion(VersionedAdapter),
    /// An evacuation of the failure domain that the object is named after.
    Evacuation(FailureDomain),
    /// An instance.
    Member(Box<Member>),
    /// A lease.
    Lease(LeaseRecord),
    /// A quarantine decision on a request.
    QuarantineDecision(QuarantineDecision),
    /// A record about streams.
    Streams(StreamRecord),
    /// The object can't be decoded; contains the cause. It was written by another program, or is malformed.
    Malformed(Box<str>),
}

/// An object of the store.
#[derive(Clone, Debug)]
pub struct Object {
    /// The object's name.
    pub name: Box<str>,
    /// Revision of its last change.
    pub revision: Revision,
    /// Whether the object was removed.
    pub removed: bool,
    /// The content; `None` if the object was removed.
    pub content: Option<Content>,
}

/// Objects of one kind, or changes of them, as of a revision.
#[derive(Clone, Debug)]
pub struct Listing {
    /// The objects.
    pub objects: Vec<Object>,
    /// The store's revision.
    pub revision: Revision,
}

/// The store of persistent state.
///
/// Revisions are packed [`StorePosition`]s.
///
/// [`StorePosition`]: crate::decide::store::position::StorePosition
pub trait ObjectStore: Debug + Send + Sync + 'static {
    /// Returns the newest era that the store has reported to this process.
    fn era(&self) -> Era;

    /// Lists all objects of a kind.
    fn list(&self, kind: Kind) -> impl Future<Output = Result<Listing, StoreError>> + Send;

    /// Waits up to `wait` for changes after a revision.
    ///
    /// A call without a response must fail less than a second after `wait`: until then no new call is started,
    /// and changes are received late by as much.
    fn watch(
        &self,
        kind: Kind,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Listing, StoreError>> + Send;

    /// Reads one object; `None` if it does not exist.
    fn read(
        &self,
        kind: Kind,
        name: &str,
    ) -> impl Future<Output = Result<Option<Object>, StoreError>> + Send;

    /// Creates an object, or replaces it at a revision. Returns the new revision.
    fn write(
        &self,
        kind: Kind,
        name: &str,
        at: Option<Revision>,
        content: &Content,
    ) -> impl Future<Output = Result<Revision, StoreError>> + Send;

    /// Removes an object.
    fn remove(&self, kind: Kind, name: &str)
    -> impl Future<Output = Result<(), StoreError>> + Send;
}
