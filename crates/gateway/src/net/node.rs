//! State that the tasks of an instance share.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use bluebellstage_core::{InstanceId, TargetId, Time};
use bluebellstage_telemetry::instruments::Instruments;
use tokio::sync::{Notify, mpsc, watch};

use crate::clock::boot_time;
use crate::decide::connection_cap::{ConnectionCap, Purpose};
use crate::decide::store::position::{Era, StorePosition};
use crate::decide::tables::Tables;
use crate::edge::{Edge, ObjectStore};
use crate::packet::{AdapterRequest, Packet};
use crate::settings::{NodeSettings, ReloadableSettings};

use super::callers::Callers;
use super::crash_check::CrashChecks;
use super::descriptors::descriptor_limit;
use super::leases::Leases;
use super::loaders::Loaders;
use super::memory::Memory;
use super::metrics::Metrics;
use super::pool::Pool;
use super::residency_updates::ResidencyQueue;
use super::told_starts::ToldStarts;
use super::unknown_headers::UnknownHeaders;
use super::unnamed_services::UnnamedServices;
use super::wait_places::Wakers;

/// Destination of a datagram.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Destination {
    /// All instances, sent to each directly.
    All,
    /// All instances, through relays if there are any.
    Fleet,
    /// The subscribers of this instance.
    Subscribers,
    /// One instance.
    Peer(InstanceId),
    /// The sender at this address.
    Address(SocketAddr),
}

/// A datagram queued for sending.
pub type Outgoing = (Destination, Packet);

/// State that the tasks of an instance share.
#[derive(Debug)]
pub struct Node<E: Edge> {
    /// The settings at the start; [`Node::reloadable_settings`] has the current values of those that may change.
    pub settings: NodeSettings,
    reloadable_settings: Mutex<ReloadableSettings>,
    /// Wire format of callers and targets.
    pub protocol: E::Protocol,
    /// The store of persistent state.
    pub store: E::Store,
    tables: Mutex<Tables>,
    pub(super) pool: Pool<TargetId>,
    pub(super) peer_pool: Pool<InstanceId>,
    pub(super) unnamed_services: UnnamedServices,
    pub(super) loaders: Loaders,
    pub(super) residency_updates: ResidencyQueue,
    pub(super) metrics: Metrics,
    /// What is held for callers, if memory is limited.
    pub(super) memory: Option<Arc<Memory>>,
    pub(super) unknown_headers: UnknownHeaders,
    pub(super) leases: Leases,
    /// Checks of targets on which runs were interrupted.
    pub(super) crash_checks: CrashChecks,
    /// Start times that targets have told, where another one is registered.
    pub(super) told_starts: ToldStarts,
    /// Notified when a peer has newer state than this instance.
    pub(super) peer_is_newer: Notify,
    /// Notified when an adapter was loaded, or a target was added or removed.
    pub(super) changed: Notify,
    /// Notified when a peer has told its load.
    pub(super) loads_changed: Notify,
    /// Wakes the requests that wait for room.
    pub(super) wakers: Wakers,
    /// Notified when requests or prompt parts are refused from now on.
    pub(super) quarantine_changed: Notify,
    /// Notified when a peer has replied to a query for the origin of a stream.
    pub(super) origin_replied: Notify,
    /// A request waits for the store to confirm the software versions.
    pub(super) confirmation_wanted: Notify,
    /// Notified when a connection to a target failed.
    pub(super) path_doubted: Notify,
    /// Counts how often paths to targets were lost or regained.
    pub(super) paths_changed: watch::Sender<u64>,
    /// Notified when a loader has something to do.
    pub(super) loader_work: Notify,
    /// Notified when the instance starts to stop and when it starts to close connections.
    pub(super) stop: Notify,
    /// Whether the first attempt to register has finished; `peers_listed` is the same for the first list of
    /// instances.
    registered: watch::Sender<bool>,
    peers_listed: watch::Sender<bool>,
    /// Whether the store has responded to this instance.
    store_reached: watch::Sender<bool>,
    is_stopping: AtomicBool,
    closing_since: OnceLock<Time>,
    pub(super) connections: AtomicUsize,
    /// Open connections on which callers send requests.
    pub(super) callers: Arc<Callers>,
    /// Open connections for lookups of addresses and checks of the platform.
    pub(super) lookups: Arc<Callers>,
    /// Bodies of refused requests that are received and dropped.
    pub(super) discarding: Arc<AtomicUsize>,
    adapter_requests: Mutex<Vec<AdapterRequest>>,
    outgoing: mpsc::Sender<Outgoing>,
}

/// Max wait for the store's list of instances at the start.
const PEER_LIST_TIMEOUT: Duration = Duration::from_millis(400);
/// Capacity of the send queue; further datagrams are dropped, as on a full link.
const OUTGOING_QUEUE: usize = 256;

impl<E: Edge> Node<E> {
    /// Returns a node and the queue of datagrams that its tasks send.
    pub fn new(
        settings: NodeSettings,
        protocol: E::Protocol,
        store: E::Store,
    ) -> (Self, mpsc::Receiver<Outgoing>) {
        let mut tables = Tables::new(settings.member.clone(), settings.reloadable.retry_budget);
        tables.started = boot_time();
        tables.awaits_first_reports = true;
        tables.rests.set_max_rest(settings.max_rest);
        let (outgoing, packets) = mpsc::channel(OUTGOING_QUEUE);
        let leases = Leases::new(&settings.member.name, settings.handover);
        let memory = settings.memory_limit.map(Memory::new).map(Arc::new);
        let descriptors = descriptor_limit(settings.descriptor_limit);
        let cap = ConnectionCap::of(descriptors, settings.memory_limit);
        let [callers, lookups] = [Purpose::Requests, Purpose::Lookups]
            .map(|purpose| Arc::new(Callers::new(cap.part(purpose))));
        let node = Self {
            reloadable_settings: Mutex::new(settings.reloadable.clone()),
            settings,
            protocol,
            store,
            tables: Mutex::new(tables),
            pool: Pool::default(),
            peer_pool: Pool::default(),
            unnamed_services: UnnamedServices::default(),
            loaders: Loaders::default(),
            residency_updates: ResidencyQueue::default(),
            metrics: Metrics::new(Instruments::new()),
            memory,
            unknown_headers: UnknownHeaders::default(),
            leases,
            crash_checks: CrashChecks::default(),
            told_starts: ToldStarts::default(),
            peer_is_newer: Notify::new(),
            changed: Notify::new(),
            loads_changed: Notify::new(),
            wakers: Wakers::default(),
            quarantine_changed: Notify::new(),
            origin_replied: Notify::new(),
            confirmation_wanted: Notify::new(),
            path_doubted: Notify::new(),
            paths_changed: watch::Sender::new(0),
            loader_work: Notify::new(),
            stop: Notify::new(),
            registered: watch::Sender::new(false),
            peers_listed: watch::Sender::new(false),
            store_reached: watch::Sender::new(false),
            is_stopping: AtomicBool::new(false),
            closing_since: OnceLock::new(),
            connections: AtomicUsize::new(0),
            callers,
            lookups,
            discarding: Arc::default(),
            adapter_requests: Mutex::default(),
            outgoing,
        };
        (node, packets)
    }

    /// Locks the tables. They stay usable after a panic of a task that held the lock.
    pub fn tables(&self) -> MutexGuard<'_, Tables> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the current reloadable settings. They have a lock of their own, which must not be taken while the
    /// lock of the tables is held.
    pub fn reloadable_settings(&self) -> MutexGuard<'_, ReloadableSettings> {
        self.reloadable_settings
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the reloadable settings.
    pub(super) fn set_reloadable_settings(&self, reloadable_settings: ReloadableSettings) {
        self.tables()
            .set_retry_budget(reloadable_settings.retry_budget);
        *self.reloadable_settings() = reloadable_settings;
    }

    /// Returns the current time.
    pub fn now(&self) -> Time {
        boot_time()
    }

    /// Returns the newest era of the store that this instance or a peer has seen.
    pub(super) fn store_era(&self) -> Era {
        let known = StorePosition::from(self.tables().registry.revision());
        self.store.era().max(known.era)
    }

    /// Records that the first attempt to register has finished.
    pub(super) fn mark_registration_tried(&self) {
        self.registered.send_replace(true);
    }

    /// Waits until the first attempt to register has finished.
    pub(super) async fn wait_for_registration(&self) {
        wait_for(&self.registered).await;
    }

    /// Records that the store has listed the other instances, or failed to.
    pub(super) fn mark_peers_listed(&self) {
        self.peers_listed.send_replace(true);
    }

    /// Waits until the store has listed the other instances, but no longer than a healthy store takes: peers and
    /// seeds can supply the state if the store does not respond.
    pub(super) async fn wait_for_peer_list(&self) {
        let _listed_or_late =
            tokio::time::timeout(PEER_LIST_TIMEOUT, wait_for(&self.peers_listed)).await;
    }

    /// Records that the store has responded, and wakes the tasks that wait for the other instances: the list of
    /// instances is the first that is read.
    pub(super) fn mark_store_reached(&self) {
        if !self.store_reached.send_replace(true) {
            self.peer_is_newer.notify_one();
        }
    }

    /// Whether the store has responded to this instance.
    pub(super) fn is_store_reached(&self) -> bool {
        *self.store_reached.borrow()
    }

    /// Waits until the store has responded, at most for a `limit`.
    pub(super) async fn wait_for_store(&self, limit: Duration) {
        let _reached_or_late = tokio::time::timeout(limit, wait_for(&self.store_reached)).await;
    }

    /// Whether a planned stop is in progress.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }

    /// Whether connections are closed as soon as their requests have a response.
    pub(super) fn is_closing(&self) -> bool {
        self.closing_since.get().is_some()
    }

    /// Returns for how long connections have been closed so, if they are.
    pub(super) fn closing_for(&self) -> Option<Duration> {
        let since = self.closing_since.get()?;
        Some(self.now().since(*since))
    }

    pub(super) fn begin_closing(&self) {
        self.closing_since.get_or_init(|| self.now());
        self.stop.notify_waiters();
    }

    pub(super) fn begin_stop(&self) {
        self.is_stopping.store(true, Ordering::Relaxed);
        self.tables().stopping = true;
        self.stop.notify_waiters();
    }

    /// Queues a datagram; drops it if the queue is full.
    pub(super) fn send(&self, to: Destination, packet: Packet) {
        if self.outgoing.try_send((to, packet)).is_err() {
            super::log::event(super::log::LogEvent::DatagramDropped, &[]);
        }
    }

    /// Queues an adapter request, which is sent with the next batch.
    pub(super) fn queue_adapter_request(&self, adapter_request: AdapterRequest) {
        let mut adapter_requests = self
            .adapter_requests
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        adapter_requests.push(adapter_request);
    }

    pub(super) fn take_adapter_requests(&self) -> Vec<AdapterRequest> {
        let mut adapter_requests = self
            .adapter_requests
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *adapter_requests)
    }
}

async fn wait_for(flag: &watch::Sender<bool>) {
    let mut flag = flag.subscribe();
    // The sender is never dropped while the node exists.
    let _never_closed = flag.wait_for(|set| *set).await;
}
