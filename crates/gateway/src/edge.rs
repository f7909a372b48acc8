//! The edges of the process: what a deployment supplies.
//!
//! Implementations hold names and formats and decide nothing.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::time::Duration;

use bluebellstage_core::Revision;
use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode, request, response};

use crate::decide::adapter::VersionedAdapter;
use crate::decide::call::{Call, Forward, ResponseHead};
use crate::decide::config::Config;
pub use crate::decide::kind::Kind;
use crate::decide::lease::LeaseRecord;
use crate::decide::loader::{Order, OrderOutcome, Report};
use crate::decide::peers::Member;
use crate::decide::quarantine::QuarantineDecision;
use crate::decide::target::Target;
use crate::error::{GatewayError, StoreError};
use crate::settings::NodeSettings;

/// A deployment: its formats and its store.
pub trait Edge: Debug + Send + Sync + 'static {
    /// How callers and targets speak.
    type Protocol: Protocol;
    /// Where lasting state is kept.
    type Store: ObjectStore;
    /// Where the settings are.
    type Settings: SettingsSource;
}

/// A request that isn't one.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("bad request: {0}")]
pub struct BadRequest(pub Box<str>);

/// How callers and targets speak.
pub trait Protocol: Debug + Send + Sync + 'static {
    /// Decodes a caller's request.
    ///
    /// # Errors
    ///
    /// The request lacks what every request must have, or has it malformed.
    fn call(&self, head: &request::Parts) -> Result<Call, BadRequest>;

    /// Headers of the request to a target.
    fn forward_headers(&self, head: &request::Parts, forward: &Forward<'_>) -> HeaderMap;

    /// Decodes the head of a target's answer.
    fn response_head(&self, head: &response::Parts) -> ResponseHead;

    /// Headers of a target's answer that go on to the caller.
    fn response_headers(&self, head: &response::Parts) -> HeaderMap;

    /// Body of an answer of our own.
    fn error_body(&self, message: &str) -> Bytes;

    /// The call that reads an engine's report.
    fn report_request(&self, target: &Target) -> Request<Bytes>;

    /// Decodes an engine's report; none if it isn't one.
    fn report(&self, body: &[u8]) -> Option<Report>;

    /// The call that gives an engine an order.
    fn order_request(
        &self,
        target: &Target,
        order: &Order,
        holder: &str,
        fencing: u64,
    ) -> Request<Bytes>;

    /// Decodes an engine's answer to an order.
    fn order_outcome(&self, status: StatusCode) -> OrderOutcome;

    /// Whether a caller asks which addresses to use; the failure domain that it names.
    fn is_resolve(&self, head: &request::Parts) -> Option<Option<Box<str>>>;

    /// Body of the answer to that question.
    fn resolve_body(&self, addresses: &[SocketAddr], keep: Duration) -> Bytes;

    /// Whether the platform asks if the instance is ready.
    fn is_readiness(&self, head: &request::Parts) -> bool;
}

/// Where the settings of the process are.
pub trait SettingsSource: Debug + Send + Sync + 'static {
    /// Reads the settings as they are now.
    ///
    /// # Errors
    ///
    /// They can't be read, or don't say what they must.
    fn read(&self) -> Result<NodeSettings, GatewayError>;
}

/// An object's content, decoded.
#[derive(Clone, Debug)]
pub enum Content {
    /// The configuration.
    Config(Box<Config>),
    /// A target.
    Target(Box<Target>),
    /// An adapter's newest version.
    AdapterVersion(VersionedAdapter),
    /// An instance.
    Member(Box<Member>),
    /// A lease.
    Lease(LeaseRecord),
    /// A verdict on a request.
    Verdict(QuarantineDecision),
    /// Written by somebody else, or wrongly: why it names nothing.
    Malformed(Box<str>),
}

/// An object.
#[derive(Clone, Debug)]
pub struct Object {
    /// Its name.
    pub name: Box<str>,
    /// Revision of its last change.
    pub revision: Revision,
    /// It was removed.
    pub removed: bool,
    /// What it says; none if it was removed.
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

/// The store that keeps what must last.
pub trait ObjectStore: Debug + Send + Sync + 'static {
    /// Lists all objects of a kind.
    fn list(&self, kind: Kind) -> impl Future<Output = Result<Listing, StoreError>> + Send;

    /// Waits up to `wait` for changes after a revision.
    ///
    /// A call that the store never answers must end with an error less than a second after `wait`:
    /// until then nobody asks anew, and news are late by as much.
    fn watch(
        &self,
        kind: Kind,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Listing, StoreError>> + Send;

    /// Reads one object; none if it isn't there.
    fn read(
        &self,
        kind: Kind,
        name: &str,
    ) -> impl Future<Output = Result<Option<Object>, StoreError>> + Send;

    /// Writes an object: creates it, or replaces it at a revision. Gives the new revision.
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
