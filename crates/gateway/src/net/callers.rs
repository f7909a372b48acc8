//! Open connections of callers.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bluebellstage_core::Time;
use slotmap::{SlotMap, new_key_type};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::decide::connection_cap::{ConnectionCap, Purpose};
use crate::edge::Edge;

use super::connection_activity::Activity;
use super::log::{LogEvent, event};
use super::node::Node;

/// Longest wait of a new connection for those that make room. They close as soon as their tasks run.
const MAX_ROOM_WAIT: Duration = Duration::from_millis(20);

new_key_type! {
    /// Identifies an open connection.
    struct PlaceKey;
}

/// An open connection.
#[derive(Debug)]
struct Open {
    activity: Arc<Activity>,
    evicted: Notify,
}

/// Open connections of callers for one purpose, up to a cap.
#[derive(Debug)]
pub(super) struct Callers {
    cap: ConnectionCap,
    open: Mutex<SlotMap<PlaceKey, Arc<Open>>>,
    /// Notified when a connection has closed.
    closed: Notify,
}

/// Whether a new connection may be kept.
#[derive(Debug)]
enum Admission {
    Kept(Place),
    /// Others make room.
    Later,
    /// On all others a request is at work.
    Refused,
}

impl Callers {
    pub(super) fn new(cap: ConnectionCap) -> Self {
        Self {
            cap,
            open: Mutex::default(),
            closed: Notify::new(),
        }
    }

    pub(super) const fn max_connections(&self) -> usize {
        self.cap.connections()
    }

    fn open(&self) -> MutexGuard<'_, SlotMap<PlaceKey, Arc<Open>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn admit(self: &Arc<Self>, activity: &Arc<Activity>, now: Time) -> Admission {
        let mut open = self.open();
        if self.cap.has_room(open.len()) {
            let connection = Arc::new(Open {
                activity: Arc::clone(activity),
                evicted: Notify::new(),
            });
            return Admission::Kept(Place {
                key: open.insert(Arc::clone(&connection)),
                connection,
                callers: Arc::clone(self),
            });
        }
        let standings = open.iter();
        let standings = standings.map(|(key, known)| (key, known.activity.standing(now)));
        let evicted = self.cap.evicted(standings);
        if evicted.is_empty() {
            return Admission::Refused;
        }
        for key in evicted {
            open[key].evicted.notify_one();
        }
        Admission::Later
    }

    /// Keeps a connection once others have made room. One of them may have closed before they were asked to, so that a
    /// single notification says nothing.
    async fn admit_later(
        self: &Arc<Self>,
        activity: &Arc<Activity>,
        now: impl Fn() -> Time,
    ) -> Option<Place> {
        let until = Instant::now() + MAX_ROOM_WAIT;
        loop {
            match self.admit(activity, now()) {
                Admission::Kept(place) => return Some(place),
                Admission::Later => self.log_full(),
                Admission::Refused => {
                    self.log_full();
                    return None;
                }
            }
            let closed = tokio::time::timeout_at(until, self.closed.notified());
            closed.await.ok()?;
        }
    }

    fn log_full(&self) {
        let cap = self.max_connections().to_string();
        event(LogEvent::ConnectionsFull, &[("max", &cap)]);
    }
}

/// Keeps a new connection, or returns `None` if it has to be closed unread.
pub(super) async fn admit<E: Edge>(
    node: &Node<E>,
    activity: &Arc<Activity>,
    purpose: Purpose,
) -> Option<Place> {
    let callers = match purpose {
        Purpose::Requests => &node.callers,
        Purpose::Lookups => &node.lookups,
    };
    let place = callers.admit_later(activity, || node.now()).await;
    if place.is_none() {
        node.metrics.callers.refused();
    }
    place
}

/// A connection that is kept, until it is dropped.
#[derive(Debug)]
pub(super) struct Place {
    key: PlaceKey,
    connection: Arc<Open>,
    callers: Arc<Callers>,
}

impl Place {
    /// Returns when the connection has to make room for others.
    pub(super) async fn until_evicted(&self) {
        self.connection.evicted.notified().await;
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.callers.open().remove(self.key);
        self.callers.closed.notify_one();
    }
}
