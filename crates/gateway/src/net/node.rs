//! What the tasks of an instance share.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bluebellstage_core::{InstanceId, Time};
use tokio::sync::{Notify, mpsc, watch};

use crate::clock::boot_time;
use crate::decide::tables::Tables;
use crate::edge::Edge;
use crate::packet::{AdapterRequest, Packet};
use crate::settings::{NodeSettings, Terms};

use super::crash_check::CrashChecks;
use super::leases::Leases;
use super::loaders::Loaders;
use super::metrics::Metrics;
use super::pool::Pool;
use super::residency_updates::ResidencyQueue;

/// Whom a datagram goes to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Destination {
    /// All instances, each by itself.
    All,
    /// All instances, through relays where there are some.
    Fleet,
    /// Those that ask this instance for news.
    Subscribers,
    /// One instance.
    Peer(InstanceId),
    /// Whoever sent from this address.
    Address(SocketAddr),
}

/// A datagram that waits to be sent.
pub type Outgoing = (Destination, Packet);

/// What the tasks of an instance share.
#[derive(Debug)]
pub struct Node<E: Edge> {
    /// The settings that it started with; [`Node::terms`] says what has changed of them.
    pub settings: NodeSettings,
    terms: Mutex<Terms>,
    /// How callers and targets speak.
    pub protocol: E::Protocol,
    /// Where lasting state is kept.
    pub store: E::Store,
    tables: Mutex<Tables>,
    pub(super) pool: Pool,
    pub(super) loaders: Loaders,
    pub(super) residency_updates: ResidencyQueue,
    pub(super) metrics: Metrics,
    pub(super) leases: Leases,
    /// Targets on which runs were cut.
    pub(super) crash_checks: CrashChecks,
    /// A peer has newer state than this instance.
    pub(super) peer_is_newer: Notify,
    /// An adapter was loaded, a target came or went.
    pub(super) changed: Notify,
    /// A loader has something to do.
    pub(super) loader_work: Notify,
    /// The instance begins to stop.
    pub(super) stop: Notify,
    /// The first try to register is over; the first list of instances is, too.
    registered: watch::Sender<bool>,
    peers_listed: watch::Sender<bool>,
    is_stopping: AtomicBool,
    is_closing: AtomicBool,
    pub(super) connections: AtomicUsize,
    adapter_requests: Mutex<Vec<AdapterRequest>>,
    outgoing: mpsc::Sender<Outgoing>,
}

/// Longest wait for the store's list of instances at the start.
const PEER_LIST_TIMEOUT: Duration = Duration::from_millis(400);
/// Datagrams that may wait to be sent; more are dropped, as on a full link.
const OUTGOING_QUEUE: usize = 256;

impl<E: Edge> Node<E> {
    /// A node, and the datagrams that its tasks want sent.
    pub fn new(
        settings: NodeSettings,
        protocol: E::Protocol,
        store: E::Store,
    ) -> (Self, mpsc::Receiver<Outgoing>) {
        let mut tables = Tables::new(settings.member.clone(), settings.terms.retry_budget);
        tables.started = boot_time();
        let (outgoing, packets) = mpsc::channel(OUTGOING_QUEUE);
        let leases = Leases::new(&settings.member.name, settings.handover);
        let node = Self {
            terms: Mutex::new(settings.terms.clone()),
            settings,
            protocol,
            store,
            tables: Mutex::new(tables),
            pool: Pool::default(),
            loaders: Loaders::default(),
            residency_updates: ResidencyQueue::default(),
            metrics: Metrics::new(),
            leases,
            crash_checks: CrashChecks::default(),
            peer_is_newer: Notify::new(),
            changed: Notify::new(),
            loader_work: Notify::new(),
            stop: Notify::new(),
            registered: watch::Sender::new(false),
            peers_listed: watch::Sender::new(false),
            is_stopping: AtomicBool::new(false),
            is_closing: AtomicBool::new(false),
            connections: AtomicUsize::new(0),
            adapter_requests: Mutex::default(),
            outgoing,
        };
        (node, packets)
    }

    /// The tables, locked; a panic of another task while it held them leaves them usable.
    pub fn tables(&self) -> MutexGuard<'_, Tables> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The terms in force. A lock of its own: hold none of the tables' while it is taken.
    pub fn terms(&self) -> MutexGuard<'_, Terms> {
        self.terms.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Puts other terms in force.
    pub(super) fn set_terms(&self, terms: Terms) {
        self.tables().set_retry_budget(terms.retry_budget);
        *self.terms() = terms;
    }

    /// The time.
    pub fn now(&self) -> Time {
        boot_time()
    }

    /// The first try to register is over.
    pub(super) fn mark_registration_tried(&self) {
        self.registered.send_replace(true);
    }

    /// Waits for that.
    pub(super) async fn wait_for_registration(&self) {
        wait_for(&self.registered).await;
    }

    /// The store has told who the other instances are, or failed to.
    pub(super) fn mark_peers_listed(&self) {
        self.peers_listed.send_replace(true);
    }

    /// Waits for that, but no longer than the store takes on a good day: peers and seeds may help where it
    /// doesn't answer.
    pub(super) async fn wait_for_peer_list(&self) {
        let _listed_or_late =
            tokio::time::timeout(PEER_LIST_TIMEOUT, wait_for(&self.peers_listed)).await;
    }

    /// A planned stop is under way.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }

    /// Connections are closed as soon as their requests are answered.
    pub(super) fn is_closing(&self) -> bool {
        self.is_closing.load(Ordering::Relaxed)
    }

    pub(super) fn begin_closing(&self) {
        self.is_closing.store(true, Ordering::Relaxed);
        self.stop.notify_waiters();
    }

    pub(super) fn begin_stop(&self) {
        self.is_stopping.store(true, Ordering::Relaxed);
        self.tables().stopping = true;
        self.stop.notify_waiters();
    }

    /// Queues a datagram.
    pub(super) fn send(&self, to: Destination, packet: Packet) {
        if self.outgoing.try_send((to, packet)).is_err() {
            super::log::event(super::log::LogEvent::DatagramDropped, &[]);
        }
    }

    /// Queues news for the loaders; sent with the next round, or at once if `urgent`.
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
    // The sender lives as long as the node does.
    let _never_gone = flag.wait_for(|set| *set).await;
}
