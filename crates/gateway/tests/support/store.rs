//! A store in virtual time that falls silent, and an instance that follows it.

use std::ops::Range;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bluebellstage_core::Revision;
use bluebellstage_gateway::decide::call::{Call, Forward, ResponseHead};
use bluebellstage_gateway::decide::loader::{Order, OrderAnswer, Report};
use bluebellstage_gateway::decide::peers::Member;
use bluebellstage_gateway::decide::target::Target;
use bluebellstage_gateway::edge::{
    BadCall, Content, Edge, Kind, Listing, Object, ObjectStore, Protocol, SettingsSource,
};
use bluebellstage_gateway::error::{GatewayError, StoreError};
use bluebellstage_gateway::net::run::run;
use bluebellstage_gateway::settings::NodeSettings;
use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode, request, response};
use tokio::time::Instant;

use super::{member, settings};

/// What the deployment adds to the wait of a watch before it gives the call up.
const MARGIN: Duration = Duration::from_millis(800);
/// How long the deployment waits for any other answer.
const ANSWER_WITHIN: Duration = Duration::from_millis(1_200);
/// Time that an answer takes.
const ANSWER: Duration = Duration::from_millis(8);
/// Pause between looks for news while a watch waits.
const LOOK: Duration = Duration::from_millis(5);

/// What the store does in its silence with a call that begins then.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Trouble {
    /// It never answers, also after its return.
    Silent,
    /// It refuses at once.
    Busy,
}

#[derive(Debug)]
struct Script {
    started: Instant,
    trouble: Trouble,
    away: Range<Duration>,
    /// Kind, object and when the store takes it; the revision is the place in the list and one.
    news: Vec<(Kind, Object, Duration)>,
    told: Mutex<Vec<(Revision, Duration)>>,
}

/// The store; clones share one script.
#[derive(Clone, Debug)]
pub struct ScriptedStore(Arc<Script>);

impl ScriptedStore {
    /// A store that is away for a span; times count from now.
    pub fn new(
        trouble: Trouble,
        away: Range<Duration>,
        news: Vec<(Kind, Content, Duration)>,
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
            trouble,
            away,
            news: news.into_iter().enumerate().map(object).collect(),
            told: Mutex::default(),
        }))
    }

    /// When an answer first held the news of that revision.
    pub fn told(&self, revision: Revision) -> Option<Duration> {
        let told = self.0.told.lock().unwrap();
        let mut told = told.iter().filter(|(of, _)| *of == revision);
        told.next().map(|(_, at)| *at)
    }

    fn now(&self) -> Duration {
        self.0.started.elapsed()
    }

    fn away(&self) -> bool {
        self.0.away.contains(&self.now())
    }

    fn listing(&self, kind: Kind, after: Revision) -> Listing {
        let now = self.now();
        let taken = self.0.news.iter().filter(|(_, _, at)| *at <= now);
        let revision = taken.clone().map(|(_, object, _)| object.revision).max();
        let fresh = taken.filter(|(of, object, _)| *of == kind && object.revision > after);
        let objects = fresh.map(|(_, object, _)| object.clone()).collect();
        Listing {
            objects,
            revision: revision.unwrap_or_default(),
        }
    }

    async fn answer(&self, listing: Listing) -> Result<Listing, StoreError> {
        tokio::time::sleep(ANSWER).await;
        let now = self.now();
        let told = listing.objects.iter().map(|object| (object.revision, now));
        self.0.told.lock().unwrap().extend(told);
        Ok(listing)
    }

    /// Ends a call that begins while the store is away as the deployment does.
    async fn reach(&self, within: Duration) -> Result<(), StoreError> {
        if !self.away() {
            return Ok(());
        }
        match self.0.trouble {
            Trouble::Busy => {
                tokio::time::sleep(ANSWER).await;
                Err(StoreError::Refused(503))
            }
            Trouble::Silent => {
                tokio::time::sleep(within).await;
                Err(StoreError::NoAnswer("silent".into()))
            }
        }
    }
}

impl ObjectStore for ScriptedStore {
    async fn list(&self, kind: Kind) -> Result<Listing, StoreError> {
        self.reach(ANSWER_WITHIN).await?;
        self.answer(self.listing(kind, Revision::default())).await
    }

    async fn watch(
        &self,
        kind: Kind,
        after: Revision,
        wait: Duration,
    ) -> Result<Listing, StoreError> {
        self.reach(wait + MARGIN).await?;
        let begun = Instant::now();
        loop {
            let listing = self.listing(kind, after);
            let due = !listing.objects.is_empty() || begun.elapsed() >= wait;
            if due && !self.away() {
                return self.answer(listing).await;
            }
            if begun.elapsed() >= wait + MARGIN {
                return Err(StoreError::NoAnswer("silent".into()));
            }
            tokio::time::sleep(LOOK).await;
        }
    }

    async fn read(&self, _kind: Kind, _name: &str) -> Result<Option<Object>, StoreError> {
        self.reach(ANSWER_WITHIN).await?;
        Ok(None)
    }

    async fn write(
        &self,
        _kind: Kind,
        _name: &str,
        _at: Option<Revision>,
        _content: &Content,
    ) -> Result<Revision, StoreError> {
        self.reach(ANSWER_WITHIN).await?;
        Ok(Revision(1))
    }

    async fn remove(&self, _kind: Kind, _name: &str) -> Result<(), StoreError> {
        self.reach(ANSWER_WITHIN).await
    }
}

/// A deployment with nothing but a store.
#[derive(Debug)]
pub struct StoreOnly;

impl Edge for StoreOnly {
    type Protocol = NoCallers;
    type Store = ScriptedStore;
    type Settings = Unchanging;
}

/// Settings that stay.
#[derive(Debug)]
pub struct Unchanging(NodeSettings);

impl SettingsSource for Unchanging {
    fn read(&self) -> Result<NodeSettings, GatewayError> {
        Ok(self.0.clone())
    }
}

/// Nobody calls, and no target is called.
#[derive(Debug)]
pub struct NoCallers;

impl Protocol for NoCallers {
    fn call(&self, _head: &request::Parts) -> Result<Call, BadCall> {
        unreachable!("nobody calls")
    }

    fn forward_headers(&self, _head: &request::Parts, _forward: &Forward<'_>) -> HeaderMap {
        unreachable!("nobody calls")
    }

    fn answer_head(&self, _head: &response::Parts) -> ResponseHead {
        unreachable!("no target is called")
    }

    fn answer_headers(&self, _head: &response::Parts) -> HeaderMap {
        unreachable!("no target is called")
    }

    fn own_body(&self, _message: &str) -> Bytes {
        Bytes::new()
    }

    fn report_request(&self, _target: &Target) -> Request<Bytes> {
        unreachable!("no engine is known")
    }

    fn report(&self, _body: &[u8]) -> Option<Report> {
        None
    }

    fn order_request(
        &self,
        _target: &Target,
        _order: &Order,
        _holder: &str,
        _fencing: u64,
    ) -> Request<Bytes> {
        unreachable!("no engine is known")
    }

    fn order_answer(&self, _status: StatusCode) -> OrderAnswer {
        unreachable!("no engine is known")
    }

    fn is_resolve(&self, _head: &request::Parts) -> Option<Option<Box<str>>> {
        None
    }

    fn resolved(&self, _addresses: &[std::net::SocketAddr], _keep: Duration) -> Bytes {
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

/// Runs an instance alone before a store for so long, in virtual time; `store` makes it.
pub fn follow_for(span: Duration, store: impl FnOnce() -> ScriptedStore) -> ScriptedStore {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .unwrap();
    runtime.block_on(async {
        let store = store();
        let settings = settings(member_on_any_port());
        let source = Unchanging(settings.clone());
        let running = run::<StoreOnly>(settings, source, NoCallers, store.clone());
        let ended = tokio::time::timeout(span, running).await;
        assert!(ended.is_err(), "the instance ended by itself: {ended:?}");
        store
    })
}
