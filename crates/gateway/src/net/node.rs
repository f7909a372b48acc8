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
use crate::packet::{Packet, Wish};
use crate::settings::{NodeSettings, Terms};

use super::ended::Looks;
use super::leases::Leases;
use super::loaders::Loaders;
use super::metrics::Metrics;
use super::pool::Pool;
use super::words::Words;

/// Whom a datagram goes to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Receiver {
    /// All instances, each by itself.
    All,
    /// All instances, through relays where there are some.
    Fleet,
    /// Those that ask this instance for news.
    Readers,
    /// One instance.
    Peer(InstanceId),
    /// Whoever sent from this address.
    Address(SocketAddr),
}

/// A datagram that waits to be sent.
pub type Outgoing = (Receiver, Packet);

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
    pub(super) words: Words,
    pub(super) metrics: Metrics,
    pub(super) leases: Leases,
    /// Targets on which runs were cut.
    pub(super) looks: Looks,
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
    met: watch::Sender<bool>,
    stopping: AtomicBool,
    closing: AtomicBool,
    pub(super) connections: AtomicUsize,
    wishes: Mutex<Vec<Wish>>,
    outgoing: mpsc::Sender<Outgoing>,
}

/// Longest wait for the store's list of instances at the start.
const MEETS_WITHIN: Duration = Duration::from_millis(400);
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
            words: Words::default(),
            metrics: Metrics::new(),
            leases,
            looks: Looks::default(),
            peer_is_newer: Notify::new(),
            changed: Notify::new(),
            loader_work: Notify::new(),
            stop: Notify::new(),
            registered: watch::Sender::new(false),
            met: watch::Sender::new(false),
            stopping: AtomicBool::new(false),
            closing: AtomicBool::new(false),
            connections: AtomicUsize::new(0),
            wishes: Mutex::default(),
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
    pub(super) fn take_terms(&self, terms: Terms) {
        self.tables().set_retry_budget(terms.retry_budget);
        *self.terms() = terms;
    }

    /// The time.
    pub fn now(&self) -> Time {
        boot_time()
    }

    /// The first try to register is over.
    pub(super) fn register_tried(&self) {
        self.registered.send_replace(true);
    }

    /// Waits for that.
    pub(super) async fn registered(&self) {
        wait_for(&self.registered).await;
    }

    /// The store has told who the other instances are, or failed to.
    pub(super) fn meet(&self) {
        self.met.send_replace(true);
    }

    /// Waits for that, but no longer than the store takes on a good day: peers and seeds may help where it
    /// doesn't answer.
    pub(super) async fn met(&self) {
        let _met_or_late = tokio::time::timeout(MEETS_WITHIN, wait_for(&self.met)).await;
    }

    /// A planned stop is under way.
    pub fn stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Connections are closed as soon as their requests are answered.
    pub(super) fn closing(&self) -> bool {
        self.closing.load(Ordering::Relaxed)
    }

    pub(super) fn begin_closing(&self) {
        self.closing.store(true, Ordering::Relaxed);
        self.stop.notify_waiters();
    }

    pub(super) fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
        self.tables().stopping = true;
        self.stop.notify_waiters();
    }

    /// Queues a datagram.
    pub(super) fn send(&self, to: Receiver, packet: Packet) {
        if self.outgoing.try_send((to, packet)).is_err() {
            super::log::event(super::log::LogEvent::DatagramDropped, &[]);
        }
    }

    /// Queues news for the loaders; sent with the next round, or at once if `urgent`.
    pub(super) fn wish(&self, wish: Wish) {
        let mut wishes = self.wishes.lock().unwrap_or_else(PoisonError::into_inner);
        wishes.push(wish);
    }

    pub(super) fn take_wishes(&self) -> Vec<Wish> {
        let mut wishes = self.wishes.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *wishes)
    }
}

async fn wait_for(flag: &watch::Sender<bool>) {
    let mut flag = flag.subscribe();
    // The sender lives as long as the node does.
    let _never_gone = flag.wait_for(|set| *set).await;
}
