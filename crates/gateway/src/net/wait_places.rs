//! Requests that wait for room, and how they are woken.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bluebellstage_core::Time;
use slotmap::SecondaryMap;
use tokio::sync::Notify;

use crate::decide::placement::Pick;
use crate::decide::rendezvous::ShortHash;
use crate::decide::wait_queue::{Room, Turn, WaitKey, Waiter};
use crate::edge::Edge;

use super::front::Job;
use super::log::{LogEvent, event};
use super::node::Node;
use super::search_outcome::{ALL_FULL, SearchOutcome};

/// Wakes the requests of the queue.
#[derive(Debug, Default)]
pub(super) struct Wakers(Mutex<SecondaryMap<WaitKey, Arc<Notify>>>);

impl Wakers {
    fn add(&self, key: WaitKey) -> Arc<Notify> {
        let woken = Arc::new(Notify::new());
        self.lock().insert(key, Arc::clone(&woken));
        woken
    }

    fn remove(&self, key: WaitKey) {
        self.lock().remove(key);
    }

    fn wake(&self, key: WaitKey) {
        if let Some(woken) = self.lock().get(key) {
            woken.notify_one();
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, SecondaryMap<WaitKey, Arc<Notify>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<E: Edge> Node<E> {
    /// Wakes the first of the requests that may find room now.
    pub(super) fn room_came(&self, room: &Room) {
        let now = self.now();
        let mut tables = self.tables();
        let queue = &mut tables.wait_queue;
        let services = queue.room_came(room);
        let first = services
            .into_iter()
            .filter_map(|service| queue.next(service, now));
        for key in first.collect::<Vec<_>>() {
            self.wakers.wake(key);
        }
    }

    fn wake_next(&self, service: ShortHash) {
        let now = self.now();
        let mut tables = self.tables();
        if let Some(key) = tables.wait_queue.next(service, now) {
            self.wakers.wake(key);
        }
    }
}

/// Wakes waiting requests when loads of peers, targets or adapters have changed, until the process ends.
pub(super) async fn run<E: Edge>(node: Arc<Node<E>>) {
    loop {
        let changed = node.changed.notified();
        node.room_came(&Room::Anywhere);
        tokio::select! {
            () = changed => {}
            () = node.loads_changed.notified() => {}
        }
    }
}

/// A request's place in the queue, which it leaves when this is dropped.
#[derive(Debug)]
pub(super) struct Place<E: Edge> {
    node: Arc<Node<E>>,
    key: WaitKey,
    service: ShortHash,
    since: Time,
    woken: Arc<Notify>,
}

impl<E: Edge> Place<E> {
    /// Waits until the request may try again, no longer than `until`.
    async fn wait(&self, until: Time) {
        let left = until.since(self.node.now());
        let _woken_or_due = tokio::time::timeout(left, self.woken.notified()).await;
    }

    fn waited(&self) -> Duration {
        self.node.now().since(self.since)
    }
}

impl<E: Edge> Drop for Place<E> {
    fn drop(&mut self) {
        self.node.tables().wait_queue.leave(self.key);
        self.node.wakers.remove(self.key);
        self.node.wake_next(self.service);
    }
}

/// What a request does after its turn was decided.
pub(super) enum AfterTurn<E: Edge> {
    /// It goes on as picked.
    GoOn,
    /// It has waited and picks again.
    PickAgain,
    /// It has not found room in a useful time.
    Refused(SearchOutcome<E>),
}

impl<E: Edge> Job<E> {
    /// Lets the request wait for its turn, if it has to.
    pub(super) async fn wait_for_turn(
        &mut self,
        place: &mut Option<Place<E>>,
        pick: &Pick,
        now: Time,
    ) -> AfterTurn<E> {
        match self.take_turn(place, pick, now) {
            Turn::TryNow => {
                self.leave_queue(place, pick);
                AfterTurn::GoOn
            }
            Turn::Wait {
                until, displaced, ..
            } => {
                if let Some(displaced) = displaced {
                    event(
                        LogEvent::WaitQueueFull,
                        &[("service", self.ticket.service.as_str())],
                    );
                    self.node.wakers.wake(displaced);
                }
                let until = self.owner_wait_end().map_or(until, |end| until.min(end));
                if let Some(place) = place {
                    self.node.wake_next(place.service);
                    place.wait(until).await;
                }
                AfterTurn::PickAgain
            }
            Turn::Refuse { room_in } => {
                self.log_refused_from_queue(place.as_ref(), room_in);
                AfterTurn::Refused(self.no_room(pick, room_in))
            }
        }
    }

    /// Decides the turn, and takes a place if the request has to wait.
    fn take_turn(&mut self, place: &mut Option<Place<E>>, pick: &Pick, now: Time) -> Turn {
        let held = place.as_ref().map(|place| place.key);
        let left_out = [&self.tried, &self.refused, &self.returned];
        let has_tried = left_out.iter().any(|targets| !targets.is_empty());
        let mut tables = self.node.tables();
        let turn = tables.take_turn(held, pick, (&self.ticket, &self.call), has_tried, now);
        let Turn::Wait { key, .. } = turn else {
            return turn;
        };
        if held.is_some() {
            return turn;
        }
        // Its waker is there before the tables are unlocked: it may be the next that is woken.
        *place = Some(Place {
            node: Arc::clone(&self.node),
            key,
            service: ShortHash::of(self.ticket.service.as_str()),
            since: now,
            woken: self.node.wakers.add(key),
        });
        self.ticket.waits = true;
        if let Some(waiter) = tables.wait_queue.get(key) {
            let position = tables.wait_queue.position(waiter, now);
            self.log_waits(waiter, position, now);
        }
        turn
    }

    fn leave_queue(&self, place: &mut Option<Place<E>>, pick: &Pick) {
        let Some(place) = place.take() else {
            return;
        };
        let waited = place.waited();
        if !matches!(pick, Pick::Send { .. }) {
            self.node.metrics.waits.ended("held up", waited);
            return;
        }
        self.node.metrics.waits.ended("placed", waited);
        let waited_ms = waited.as_millis().to_string();
        event(
            LogEvent::RequestPlaced,
            &[
                ("request", &self.call.id),
                ("rank", &self.ticket.rank.to_string()),
                ("waited_ms", &waited_ms),
            ],
        );
    }

    fn log_waits(&self, waiter: &Waiter, position: usize, now: Time) {
        let in_time = if waiter.is_late(now) { "no" } else { "yes" };
        let starts_in_ms = waiter.starts_at.since(now).as_millis().to_string();
        event(
            LogEvent::RequestWaits,
            &[
                ("request", &self.call.id),
                ("service", self.ticket.service.as_str()),
                ("rank", &waiter.rank.to_string()),
                ("position", &position.to_string()),
                ("tokens", &waiter.tokens.to_string()),
                ("starts_in_ms", &starts_in_ms),
                ("in_time", in_time),
            ],
        );
    }

    fn log_refused_from_queue(&self, place: Option<&Place<E>>, room_in: Duration) {
        let waited = place.map_or(Duration::ZERO, Place::waited);
        if place.is_some() {
            self.node.metrics.waits.ended("refused", waited);
        }
        event(
            LogEvent::WaitRefused,
            &[
                ("request", &self.call.id),
                ("service", self.ticket.service.as_str()),
                ("rank", &self.ticket.rank.to_string()),
                ("waited_ms", &waited.as_millis().to_string()),
                ("room_in_ms", &room_in.as_millis().to_string()),
            ],
        );
    }

    fn no_room(&self, pick: &Pick, room_in: Duration) -> SearchOutcome<E> {
        match pick {
            Pick::Full => self.unserved(ALL_FULL),
            _ => self.late(room_in),
        }
    }
}
