//! Acquires, renews and releases the leases of the loader shards.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bluebellstage_core::{InstanceId, Revision, TargetId, Time};

use crate::decide::adapters::loader::MAX_ORDER_DELAY;
use crate::decide::lease::{LeaseRecord, LeaseStep, SHARDS, ShardLease};
use crate::decide::peers::Peer;
use crate::decide::rendezvous::ShortHash;
use crate::decide::store::access::lease_key;
use crate::decide::store::position::{Era, StorePosition};
use crate::decide::tables::shard_of;
use crate::edge::{Content, Edge, Kind, ObjectStore};
use crate::error::StoreError;

use super::log::{LogEvent, event};
use super::node::Node;

/// Max sleep of a lease's task.
const MAX_SLEEP: Duration = Duration::from_millis(300);
/// Time after the start before an instance claims leases. Peers are discovered meanwhile, so that the first
/// instance does not claim all shards; a lease held before a restart is taken immediately.
const PEER_DISCOVERY_TIME: Duration = Duration::from_millis(700);

/// Added for each shard, so that an instance does not claim several shards before the others receive its
/// claims.
const SHARD_CLAIM_DELAY: Duration = Duration::from_millis(250);

/// State of the shard leases as known to this instance.
#[derive(Debug)]
pub(super) struct Leases {
    shards: Vec<Mutex<ShardLease>>,
    released: AtomicBool,
}

impl Leases {
    pub(super) fn new(local: &InstanceId, handover: Duration) -> Self {
        let lease = |_| Mutex::new(ShardLease::new(local.clone(), handover));
        Self {
            shards: (0..SHARDS).map(lease).collect(),
            released: AtomicBool::new(false),
        }
    }

    /// Whether this instance has released its leases and renews none.
    fn released(&self) -> bool {
        self.released.load(Ordering::Relaxed)
    }

    fn lock(&self, shard: u8) -> MutexGuard<'_, ShardLease> {
        let lease = &self.shards[usize::from(shard)];
        lease.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Incarnations of a shard's engines that a delayed order to an earlier incarnation can't reach any more, as of
    /// the last write.
    pub(super) fn settled_incarnations(&self, shard: u8) -> Vec<ShortHash> {
        self.lock(shard).settled().to_vec()
    }

    /// Returns the shard's fencing number while this instance may send orders, `None` otherwise.
    pub(super) fn may_order(&self, shard: u8, now: Time) -> Option<u64> {
        self.lock(shard).may_order(now)
    }
}

fn object_name(shard: u8) -> String {
    format!("shard-{shard}")
}

/// Starts a task for the lease of each shard. If this instance may have held leases before a restart, all are
/// read in one call first, so that those leases are taken immediately.
pub(super) async fn run<E: Edge>(node: Arc<Node<E>>) {
    node.wait_for_peer_list().await;
    let may_hold = node.tables().may_hold_leases();
    if may_hold && let Ok(listing) = node.store.list(Kind::Leases).await {
        let now = node.now();
        for shard in 0..SHARDS {
            let name = object_name(shard);
            let found = listing.objects.iter().find(|object| *object.name == *name);
            match found.map(|object| (object.revision, object.content.clone())) {
                Some((revision, Some(Content::Lease(record)))) => {
                    node.leases
                        .lock(shard)
                        .record_read(Some((record, revision)), now);
                }
                Some(_) => {}
                None => node.leases.lock(shard).record_read(None, now),
            }
        }
    }
    for shard in 0..SHARDS {
        tokio::spawn(maintain(Arc::clone(&node), shard));
    }
}

/// Maintains the lease of one shard until the process ends. A stopping instance claims no further lease, but
/// keeps those that it holds: its engines continue to load while it serves its last requests. An instance that
/// can't reach the engines releases its leases to one that can.
async fn maintain<E: Edge>(node: Arc<Node<E>>, shard: u8) {
    let may_claim_at = node.now() + PEER_DISCOVERY_TIME + SHARD_CLAIM_DELAY * u32::from(shard);
    while !node.leases.released() && (!node.is_stopping() || is_held(&node, shard)) {
        let now = node.now();
        if is_held(&node, shard) && node.tables().leaves_loading_to_peers(now) {
            release(&node, shard).await;
            record_lease(&node, shard);
            tokio::time::sleep(MAX_SLEEP).await;
            continue;
        }
        let is_wanted = now > may_claim_at && is_wanted(&node, shard, now);
        let before = node.leases.settled_incarnations(shard);
        let settled_incarnations = settled_incarnations(&node, shard, &before, now);
        let step = {
            let era = node.store_era();
            let mut lease = node.leases.lock(shard);
            // An instance that has not reached the store takes era 0 for unknown.
            if era > Era::default() || node.is_store_reached() {
                lease.set_era(era, now);
            }
            lease.set_settled(settled_incarnations);
            lease.step(is_wanted, now)
        };
        match step {
            LeaseStep::Sleep(until) => {
                let pause = until.since(now).min(MAX_SLEEP);
                tokio::time::sleep(pause.max(Duration::from_millis(5))).await;
            }
            LeaseStep::Read => read(&node, shard).await,
            LeaseStep::Write(record, at) => write(&node, shard, record, at).await,
        }
        record_lease(&node, shard);
    }
}

fn settled_incarnations<E: Edge>(
    node: &Node<E>,
    shard: u8,
    before: &[ShortHash],
    now: Time,
) -> Vec<ShortHash> {
    let in_shard = |target: &TargetId| shard_of(target) == shard;
    let tables = node.tables();
    tables
        .registry
        .settled_incarnations(in_shard, before, MAX_ORDER_DELAY, now)
}

fn is_held<E: Edge>(node: &Node<E>, shard: u8) -> bool {
    node.leases.lock(shard).is_held(node.now())
}

/// Returns whether this instance has the highest precedence for the shard among the live instances that reach
/// the store and hold no shard yet. So the shards are spread over the instances, and a holder that is
/// partitioned from the store is replaced.
fn is_wanted<E: Edge>(node: &Node<E>, shard: u8, now: Time) -> bool {
    let tables = node.tables();
    let is_able = tables.ready() && tables.registry.is_store_reachable(now);
    if !is_able || tables.leaves_loading_to_peers(now) {
        return false;
    }
    let is_candidate = |peer: &&Peer| {
        peer.ready && peer.store_reachable && tables.reaches_engines(&peer.lost_services)
    };
    let holder = tables.peers.holder(shard, now);
    if holder.is_some_and(|peer| peer.store_reachable) {
        return false;
    }
    let peers = tables.peers.live(now).filter(is_candidate);
    let peers = peers.map(|peer| (&peer.member, peer.shards.is_empty()));
    let all = peers
        .chain([(&tables.local, tables.shards.is_empty())])
        .collect::<Vec<_>>();
    let has_free_candidate = all.iter().any(|(_, is_free)| *is_free);
    let candidates = all
        .iter()
        .filter(|(_, is_free)| *is_free || !has_free_candidate);
    let key = lease_key(shard);
    let first = candidates.max_by_key(|(member, _)| member.precedence(key));
    first.is_some_and(|(member, _)| member.name == tables.local.name)
}

async fn read<E: Edge>(node: &Node<E>, shard: u8) {
    let found = node.store.read(Kind::Leases, &object_name(shard)).await;
    let now = node.now();
    let mut lease = node.leases.lock(shard);
    match found {
        Ok(Some(object)) => match object.content {
            Some(Content::Lease(record)) => lease.record_read(Some((record, object.revision)), now),
            _ => lease.record_unreadable(object.revision, now),
        },
        Ok(None) => lease.record_read(None, now),
        Err(_unavailable) => lease.record_write_failure(false, now),
    }
}

async fn write<E: Edge>(node: &Node<E>, shard: u8, record: LeaseRecord, at: Option<Revision>) {
    {
        // Recorded before the response arrives, so that this instance does not claim a second shard meanwhile.
        let claims = &mut node.tables().claims;
        if !claims.contains(&shard) {
            claims.push(shard);
        }
    }
    let sent = node.now();
    let content = Content::Lease(record.clone());
    let written = node
        .store
        .write(Kind::Leases, &object_name(shard), at, &content)
        .await;
    let now = node.now();
    let mut lease = node.leases.lock(shard);
    match written {
        // A token of an earlier era may be lower than one that the store has forgotten.
        Ok(revision) if StorePosition::from(revision).era != lease.era() => {
            lease.record_write_failure(true, now);
        }
        Ok(revision) => lease.record_write(record, revision, sent, now),
        Err(err) => lease.record_write_failure(err == StoreError::Conflict, now),
    }
}

/// Updates the tables from the lease and logs changes.
fn record_lease<E: Edge>(node: &Node<E>, shard: u8) {
    let now = node.now();
    let may_order = node.leases.may_order(shard, now);
    let is_held = node.leases.lock(shard).is_held(now);
    let mut tables = node.tables();
    tables.claims.retain(|held| *held != shard);
    if is_held {
        tables.claims.push(shard);
    }
    let was_held = tables.shards.contains(&shard);
    if was_held == may_order.is_some() {
        return;
    }
    if may_order.is_some() {
        tables.shards.push(shard);
    } else {
        tables.shards.retain(|held| *held != shard);
    }
    drop(tables);
    let log_event = if was_held {
        LogEvent::LeaseLost
    } else {
        LogEvent::LeaseTaken
    };
    let fencing = may_order.map_or("none".into(), |fencing| fencing.to_string());
    event(
        log_event,
        &[("shard", &shard.to_string()), ("fencing", &fencing)],
    );
    node.loader_work.notify_waiters();
}

/// Releases all leases, so that other instances need not wait for them to expire.
///
/// A lease whose release the store rejects stays held: no other instance can take it meanwhile, and this
/// instance, or its next incarnation under the same name, continues with it.
pub(super) async fn release_all<E: Edge>(node: &Node<E>) {
    node.leases.released.store(true, Ordering::Relaxed);
    for shard in 0..SHARDS {
        release(node, shard).await;
    }
}

async fn release<E: Edge>(node: &Node<E>, shard: u8) {
    let record = node.leases.lock(shard).release_record(node.now());
    let Some((record, at)) = record else {
        return;
    };
    node.tables().shards.retain(|held| *held != shard);
    event(
        LogEvent::LeaseLost,
        &[("shard", &shard.to_string()), ("fencing", "released")],
    );
    let content = Content::Lease(record);
    let name = object_name(shard);
    let written = node.store.write(Kind::Leases, &name, Some(at), &content);
    match written.await {
        Err(StoreError::Refused(_)) => node.tables().shards.push(shard),
        Ok(_) | Err(_) => node.leases.lock(shard).clear(),
    }
}
