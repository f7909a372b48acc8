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

use crate::decide::quarantine::Fingerprint;
use crate::decide::rendezvous::ShortHash;
use crate::edge::Edge;

use super::log::{LogEvent, event};
use super::node::Node;
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

/// A run that was cut.
#[derive(Clone, Copy, Debug)]
pub(super) struct Cut {
    /// The request.
    pub(super) request: Fingerprint,
    /// Time since it began, or since it was sent if it had not begun.
    pub(super) ran: Duration,
}

/// What is known of a target on which runs were cut.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Found {
    /// It is being looked at.
    Looking,
    /// Its process ended.
    Ended,
    /// It lives, or can't be told from one that does.
    Lives,
}

#[derive(Debug)]
struct Look {
    began: Time,
    cuts: Vec<Cut>,
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

    fn take_cuts(&self, life: ShortHash) -> Vec<Cut> {
        let mut open = self.lock();
        let look = open.get_mut(&life);
        look.map_or_else(Vec::new, |look| std::mem::take(&mut look.cuts))
    }

    fn settle(&self, life: ShortHash, found: Found) {
        if let Some(look) = self.lock().get(&life) {
            look.found.send_replace(found);
        }
    }

    /// Forgets what was found long ago.
    pub(super) fn sweep(&self, now: Time) {
        self.lock()
            .retain(|_, look| now.since(look.began) < LOOK_LASTS);
    }
}

/// A target that was serving.
struct Serving {
    id: TargetId,
    life: ShortHash,
    address: SocketAddr,
}

/// The target, if it was not to leave anyway: what leaves as planned cuts runs, too.
fn serving<E: Edge>(node: &Node<E>, id: &TargetId) -> Option<Serving> {
    let tables = node.tables();
    let target = tables.registry.get(id)?;
    let life = target.life().unwrap_or_else(|| ShortHash::of(id.as_str()));
    (!target.leaving).then(|| Serving {
        id: id.clone(),
        life,
        address: target.address,
    })
}

/// A run was cut; returns when it is known, or can't soon be known, whether its target ended.
pub(super) async fn cut<E: Edge>(node: &Arc<Node<E>>, target: &TargetId, cut: Cut) {
    let Some(target) = serving(node, target) else {
        return;
    };
    let life = target.life;
    let mut found = {
        let mut open = node.looks.lock();
        let now = node.now();
        let look = open.entry(life).or_insert_with(|| {
            tokio::spawn(look(Arc::clone(node), target));
            Look {
                began: now,
                cuts: Vec::new(),
                found: watch::Sender::new(Found::Looking),
            }
        });
        look.cuts.push(cut);
        look.found.subscribe()
    };
    let known = found.wait_for(|found| *found != Found::Looking);
    let _known_or_late = tokio::time::timeout(SETTLES_WITHIN, known).await;
}

async fn look<E: Edge>(node: Arc<Node<E>>, target: Serving) {
    if !has_ended(target.address).await {
        node.looks.settle(target.life, Found::Lives);
        return;
    }
    tokio::time::sleep(GATHER).await;
    report(&node, &target);
    node.looks.settle(target.life, Found::Ended);
    tokio::time::sleep(SETTLES_WITHIN).await;
    report(&node, &target);
}

async fn has_ended(address: SocketAddr) -> bool {
    let connected = connect(address, LOOK_WITHIN).await;
    connected.is_err_and(|err| err.kind() == ErrorKind::ConnectionRefused)
}

/// Tells which runs the target took with it.
fn report<E: Edge>(node: &Node<E>, target: &Serving) {
    let cuts = node.looks.take_cuts(target.life);
    if cuts.is_empty() {
        return;
    }
    let named = cuts.iter().take(NAMED_IN_A_LINE);
    let named = named.map(|cut| format!("{}:{}", cut.request, cut.ran.as_millis()));
    let requests = named.collect::<Vec<_>>().join(" ");
    let [id, count] = [target.id.to_string(), cuts.len().to_string()];
    event(
        LogEvent::TargetEnded,
        &[("target", &id), ("cut", &count), ("requests", &requests)],
    );
}
