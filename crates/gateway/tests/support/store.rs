//! A simulated store in virtual time with outages, and an instance that follows it.

use std::ops::Range;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bluebellstage_core::{Revision, TargetId};
use bluebellstage_gateway::decide::adapters::loader::{Order, OrderOutcome, Report};
use bluebellstage_gateway::decide::call::{Call, Forward, ResponseHead};
use bluebellstage_gateway::decide::peers::Member;
use bluebellstage_gateway::decide::store::position::Era;
use bluebellstage_gateway::decide::target::Target;
use bluebellstage_gateway::edge::{
    BadRequest, Content, Edge, Kind, Listing, Object, ObjectStore, Protocol, SettingsSource,
};
use bluebellstage_gateway::error::{GatewayError, StoreError};
use bluebellstage_gateway::net::run::run;
use bluebellstage_gateway::net::signals::Signals;
use bluebellstage_gateway::settings::NodeSettings;
use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode, request, response};
use tokio::time::Instant;

use super::{member, settings};

/// Time that the deployment adds to the wait of a watch before it abandons the call.
const WATCH_MARGIN: Duration = Duration::from_millis(800);
/// Timeout of the deployment for all other calls.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time that a response takes.
const RESPONSE_TIME: Duration = Duration::from_millis(8);
/// Interval at which a waiting watch checks for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// What happens to a call that starts during an outage.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// The store never responds, even after its recovery.
    Unresponsive,
    /// The store rejects the call at once.
    Rejecting,
}

#[derive(Debug)]
struct Script {
    started: Instant,
    fault: Fault,
    outage: Range<Duration>,
    /// Kind, object and the time at which the store accepts it. The revision is the index plus one.
    changes: Vec<(Kind, Object, Duration)>,
    sent: Mutex<Vec<(Revision, Duration)>>,
    listed: Mutex<Vec<Kind>>,
}

/// The store; clones share one script.
#[derive(Clone, Debug)]
pub struct ScriptedStore(Arc<Script>);

impl ScriptedStore {
    /// Creates a store with an outage. Times count from now.
    pub fn new(
        fault: Fault,
        outage: Range<Duration>,
        changes: Vec<(Kind, Content, Duration)>,
    ) -> Self {
        let object = |(idx, (kind, content, at)): (usize, (Kind, Content, Duration))| {
            let revision = Revision(u64::try_from(idx).unwrap() + 1);
            let name = match &content {
                Content::Target(target) => target.id.as_str().into(),
                _ => "main".into(),
            };
            let object = Object {
                name,
                revision,
                removed: false,
                content: Some(content),
            };
            (kind, object, at)
        };
        Self(Arc::new(Script {
            started: Instant::now(),
            fault,
            outage,
            changes: changes.into_iter().enumerate().map(object).collect(),
            sent: Mutex::default(),
            listed: Mutex::default(),
        }))
    }

    /// Returns when a response first contained the change of that revision.
    pub fn first_sent(&self, revision: Revision) -> Option<Duration> {
        let sent = self.0.sent.lock().unwrap();
        let mut sent = sent.iter().filter(|(of, _)| *of == revision);
        sent.next().map(|(_, at)| *at)
    }

    /// Returns the kinds of the calls that list followed objects, in order.
    pub fn listed_kinds(&self) -> Vec<Kind> {
        let listed = self.0.listed.lock().unwrap();
        let followed = listed
            .iter()
            .filter(|kind| !matches!(kind, Kind::Leases | Kind::Verdicts));
        followed.copied().collect()
    }

    fn now(&self) -> Duration {
        self.0.started.elapsed()
    }

    fn is_down(&self) -> bool {
        self.0.outage.contains(&self.now())
    }

    fn listing(&self, kind: Kind, after: Revision) -> Listing {
        let now = self.now();
        let accepted = self.0.changes.iter().filter(|(_, _, at)| *at <= now);
        let revision = accepted.clone().map(|(_, object, _)| object.revision).max();
        let matching = accepted.filter(|(of, object, _)| *of == kind && object.revision > after);
        let objects = matching.map(|(_, object, _)| object.clone()).collect();
        Listing {
            objects,
            revision: revision.unwrap_or_default(),
        }
    }

    async fn respond(&self, listing: Listing) -> Result<Listing, StoreError> {
        tokio::time::sleep(RESPONSE_TIME).await;
        let now = self.now();
        let sent = listing.objects.iter().map(|object| (object.revision, now));
        self.0.sent.lock().unwrap().extend(sent);
        Ok(listing)
    }

    /// Fails a call that starts during the outage as the deployment does.
    async fn fail_during_outage(&self, timeout: Duration) -> Result<(), StoreError> {
        if !self.is_down() {
            return Ok(());
        }
        match self.0.fault {
            Fault::Rejecting => {
                tokio::time::sleep(RESPONSE_TIME).await;
                Err(StoreError::Refused(503))
            }
            Fault::Unresponsive => {
                tokio::time::sleep(timeout).await;
                Err(StoreError::NoResponse("no response".into()))
            }
        }
    }
}

impl ObjectStore for ScriptedStore {
    fn era(&self) -> Era {
        Era::default()
    }

    async fn list(&self, kind: Kind) -> Result<Listing, StoreError> {
        self.0.listed.lock().unwrap().push(kind);
        self.fail_during_outage(RESPONSE_TIMEOUT).await?;
        self.respond(self.listing(kind, Revision::default())).await
    }

    async fn watch(
        &self,
        kind: Kind,
        after: Revision,
        wait: Duration,
    ) -> Result<Listing, StoreError> {
        self.fail_during_outage(wait + WATCH_MARGIN).await?;
        let started_at = Instant::now();
        loop {
            let listing = self.listing(kind, after);
            let is_due = !listing.objects.is_empty() || started_at.elapsed() >= wait;
            if is_due && !self.is_down() {
                return self.respond(listing).await;
            }
            if started_at.elapsed() >= wait + WATCH_MARGIN {
                return Err(StoreError::NoResponse("no response".into()));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn read(&self, _kind: Kind, _name: &str) -> Result<Option<Object>, StoreError> {
        self.fail_during_outage(RESPONSE_TIMEOUT).await?;
        Ok(None)
    }

    async fn write(
        &self,
        _kind: Kind,
        _name: &str,
        _at: Option<Revision>,
        _content: &Content,
    ) -> Result<Revision, StoreError> {
        self.fail_during_outage(RESPONSE_TIMEOUT).await?;
        Ok(Revision(1))
    }

    async fn remove(&self, _kind: Kind, _name: &str) -> Result<(), StoreError> {
        self.fail_during_outage(RESPONSE_TIMEOUT).await
    }
}

/// A deployment that has only a store.
#[derive(Debug)]
pub struct StoreOnly;

impl Edge for StoreOnly {
    type Protocol = NoTraffic;
    type Store = ScriptedStore;
    type Settings = FixedSettings;
}

/// Settings that do not change.
#[derive(Debug)]
pub struct FixedSettings(NodeSettings);

impl SettingsSource for FixedSettings {
    fn read(&self) -> Result<NodeSettings, GatewayError> {
        Ok(self.0.clone())
    }
}

/// A protocol without callers and targets.
#[derive(Debug)]
pub struct NoTraffic;

impl Protocol for NoTraffic {
    fn call(&self, _head: &request::Parts) -> Result<Call, BadRequest> {
        unreachable!("there are no callers")
    }

    fn forward_headers(&self, _head: &request::Parts, _forward: &Forward<'_>) -> HeaderMap {
        unreachable!("there are no callers")
    }

    fn response_head(&self, _head: &response::Parts) -> ResponseHead {
        unreachable!("there are no targets")
    }

    fn unknown_headers(&self, _headers: &HeaderMap) -> Vec<http::HeaderName> {
        unreachable!("there are no targets")
    }

    fn response_headers(&self, _head: &response::Parts) -> HeaderMap {
        unreachable!("there are no targets")
    }

    fn error_body(&self, _message: &str) -> Bytes {
        Bytes::new()
    }

    fn report_request(&self, _target: &TargetId, _address: std::net::SocketAddr) -> Request<Bytes> {
        unreachable!("there are no engines")
    }

    fn report(&self, _body: &[u8]) -> Option<Report> {
        None
    }

    fn start_time(&self, _report: &[u8]) -> Option<u64> {
        None
    }

    fn order_request(
        &self,
        _target: &Target,
        _order: &Order,
        _holder: &str,
        _fencing: u64,
    ) -> Request<Bytes> {
        unreachable!("there are no engines")
    }

    fn order_outcome(&self, _status: StatusCode) -> OrderOutcome {
        unreachable!("there are no engines")
    }

    fn is_resolve(&self, _head: &request::Parts) -> Option<Option<Box<str>>> {
        None
    }

    fn resolve_body(&self, _addresses: &[std::net::SocketAddr], _keep: Duration) -> Bytes {
        Bytes::new()
    }

    fn is_readiness(&self, _head: &request::Parts) -> bool {
        false
    }
}

fn member_on_any_port() -> Member {
    let any_port = "127.0.0.1:0".parse().unwrap();
    Member {
        front: any_port,
        gossip: any_port,
        control: any_port,
        ..member("me", "north")
    }
}

/// Runs a single instance with a store for a time span, in virtual time. `store` creates the store.
pub fn follow_for(span: Duration, store: impl FnOnce() -> ScriptedStore) -> ScriptedStore {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .unwrap();
    runtime.block_on(async {
        let store = store();
        let settings = settings(member_on_any_port());
        let source = FixedSettings(settings.clone());
        let signals = Signals::listen().unwrap();
        let instance = run::<StoreOnly>(settings, source, NoTraffic, store.clone(), signals);
        let ended = tokio::time::timeout(span, instance).await;
        assert!(ended.is_err(), "the instance stopped by itself: {ended:?}");
        store
    })
}
