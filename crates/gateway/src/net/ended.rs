//! Finds out whether a target ended when runs on it were cut.
//!
//! A broken connection alone doesn't tell: it may have been reset, or its link cut. A process that has ended
//! refuses new connections.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bluebellstage_core::{TargetId, Time};
use tokio::sync::watch;

use crate::decide::quarantine::{Crash, EVALUATION_DELAY, InterruptedRun};
use crate::decide::rendezvous::ShortHash;
use crate::decide::target::Target;
use crate::edge::Edge;

use super::log::{LogEvent, event};
use super::node::Node;
use super::quarantine;
use super::sockets::connect;

/// Time for a connection that is to show whether the target ended.
const LOOK_WITHIN: Duration = Duration::from_millis(250);
/// Time in which the other runs that were cut with the first one are gathered.
const GATHER: Duration = Duration::from_millis(8);
/// Longest wait of a cut request until this is known.
const SETTLES_WITHIN: Duration = Duration::from_millis(300);
/// How long a look is remembered, for runs whose end is noticed late.
const LOOK_LASTS: Duration = Duration::from_secs(5);
/// Fingerprints named in one log line.
const NAMED_IN_A_LINE: usize = 80;

/// What is known of a target on which runs were cut.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Found {
    /// It is being looked at.
    Looking,
    /// Its process ended; the runs that it took with it are not judged yet.
    Ended,
    /// They are judged.
    Judged,
    /// It lives, or can't be told from one that does.
    Lives,
}

#[derive(Debug)]
struct Look {
    began: Time,
    cuts: Vec<InterruptedRun>,
    found: watch::Sender<Found>,
}

/// Looks at targets, by their lives.
#[derive(Debug, Default)]
pub(super) struct Looks {
    open: Mutex<HashMap<ShortHash, Look>>,
}

impl Looks {
    fn lock(&self) -> MutexGuard<'_, HashMap<ShortHash, Look>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs that were not told yet, and when the first one was cut.
    fn take_cuts(&self, life: ShortHash) -> Option<(Vec<InterruptedRun>, Time)> {
        let mut open = self.lock();
        let look = open.get_mut(&life)?;
        Some((std::mem::take(&mut look.cuts), look.began))
    }

    fn settle(&self, life: ShortHash, found: Found) {
        let mut open = self.lock();
        if let Some(look) = open.get(&life) {
            look.found.send_replace(found);
        }
        // One that lives may end later.
        if found == Found::Lives {
            open.remove(&life);
        }
    }

    /// Forgets what was found long ago.
    pub(super) fn sweep(&self, now: Time) {
        self.lock()
            .retain(|_, look| now.since(look.began) < LOOK_LASTS);
    }
}

/// A target that was serving.
#[derive(Clone, Debug)]
struct Serving {
    id: TargetId,
    life: ShortHash,
    address: SocketAddr,
    /// Targets of its service that live, this one included.
    living: u32,
}

/// The target, if it was not to leave anyway: what leaves as planned cuts runs, too.
fn serving<E: Edge>(node: &Node<E>, id: &TargetId) -> Option<Serving> {
    let tables = node.tables();
    let target = tables.registry.get(id).filter(|target| !target.leaving)?;
    let lives = |other: &&Target| !tables.quarantine.has_crashed(life(other));
    let others = tables.registry.all().filter(|other| other.id != *id);
    let others = others.filter(|other| other.service == target.service);
    let living = 1 + others.filter(lives).count();
    Some(Serving {
        id: id.clone(),
        life: life(target),
        address: target.address,
        living: u32::try_from(living).unwrap_or(u32::MAX),
    })
}

/// Names this life of a target; one that doesn't say when it started has one.
fn life(target: &Target) -> ShortHash {
    let life = target.incarnation();
    life.unwrap_or_else(|| ShortHash::of(target.id.as_str()))
}

/// A run was cut; returns when it is known, or can't soon be known, whether its target ended.
pub(super) async fn cut<E: Edge>(node: &Arc<Node<E>>, target: &TargetId, cut: InterruptedRun) {
    let Some(target) = serving(node, target) else {
        return;
    };
    let mut found = join(node, &target, cut);
    if *found.borrow() == Found::Judged {
        report(node, &target);
    }
    // A first end is no proof, so whoever has met no other need not wait for the judgement.
    let waits = |found: &Found| match found {
        Found::Looking => true,
        Found::Ended => node.tables().quarantine.crash_count(cut.request) > 1,
        Found::Judged | Found::Lives => false,
    };
    let known = found.wait_for(|found| !waits(found));
    let _known_or_late = tokio::time::timeout(SETTLES_WITHIN, known).await;
}

/// Adds a run to those of a target's look, which begins with the first one.
fn join<E: Edge>(
    node: &Arc<Node<E>>,
    target: &Serving,
    cut: InterruptedRun,
) -> watch::Receiver<Found> {
    let mut open = node.looks.lock();
    let began = node.now();
    let looked_at = open.entry(target.life).or_insert_with(|| {
        tokio::spawn(look(Arc::clone(node), target.clone()));
        Look {
            began,
            cuts: Vec::new(),
            found: watch::Sender::new(Found::Looking),
        }
    });
    looked_at.cuts.push(cut);
    looked_at.found.subscribe()
}

async fn look<E: Edge>(node: Arc<Node<E>>, target: Serving) {
    if !has_ended(target.address).await {
        node.looks.settle(target.life, Found::Lives);
        return;
    }
    node.metrics.target_ended();
    tokio::time::sleep(GATHER).await;
    let mut cuts = report(&node, &target);
    node.looks.settle(target.life, Found::Ended);
    tokio::time::sleep(EVALUATION_DELAY).await;
    cuts.extend(report(&node, &target));
    let requests = cuts.iter().map(|cut| cut.request).collect::<Vec<_>>();
    quarantine::judge(&node, &target.id, &requests);
    node.looks.settle(target.life, Found::Judged);
}

async fn has_ended(address: SocketAddr) -> bool {
    let connected = connect(address, LOOK_WITHIN).await;
    connected.is_err_and(|err| err.kind() == ErrorKind::ConnectionRefused)
}

/// Tells which runs the target took with it, those told before left out.
fn report<E: Edge>(node: &Node<E>, target: &Serving) -> Vec<InterruptedRun> {
    let taken = node.looks.take_cuts(target.life);
    let Some((cuts, at)) = taken.filter(|(cuts, _)| !cuts.is_empty()) else {
        return Vec::new();
    };
    let named = cuts.iter().take(NAMED_IN_A_LINE);
    let named = named.map(|cut| format!("{}:{}", cut.request, cut.run_ms));
    let requests = named.collect::<Vec<_>>().join(" ");
    let [id, count] = [target.id.to_string(), cuts.len().to_string()];
    event(
        LogEvent::TargetEnded,
        &[("target", &id), ("cut", &count), ("requests", &requests)],
    );
    let age = node.now().since(at);
    let ended = Crash::new(target.life, target.living, age, cuts);
    quarantine::ended(node, &ended);
    ended.interrupted
}
