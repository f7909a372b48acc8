//! Keeps a loader's account of its engine by what the engine answers and reports.

use std::time::Duration;

use bluebellstage_core::{AdapterVersion, Time};

use super::entry::{Coming, LateLoad, Resident};
use super::order::{Order, OrderAnswer, OrderKind, Report};
use super::{LATE_ARRIVAL, LATE_ORDER, LOAD_FROM_HOST, LOAD_FROM_STORE, Loader, REPORT_LAG};
use crate::decide::adapter::AdapterKey;

/// Longest time by which a report lags.
const LONGEST_LAG: Duration = Duration::from_secs(1);
/// Added to the pause with each order in a row that is not answered, after the first: an engine
/// that has crashed refuses connections at once, and would be asked hundreds of times a second.
const UNANSWERED_PAUSE: Duration = Duration::from_millis(120);
/// Pause after a report that did not come.
const UNREPORTED_PAUSE: Duration = Duration::from_millis(400);
/// Pause while the engine carries out an order that stops all others.
const BUSY_PAUSE: Duration = Duration::from_millis(100);

impl Loader {
    /// An order was answered. A load from the weight store takes `stretch` times as long as alone.
    pub fn answered(&mut self, order: &Order, answer: OrderAnswer, stretch: f64, now: Time) {
        let unanswered = if answer == OrderAnswer::Unknown {
            self.unanswered + 1
        } else {
            0
        };
        self.unanswered = unanswered;
        match answer {
            OrderAnswer::Accepted => {
                self.count_to(order.expected + 1);
                self.proved = now;
            }
            // An unload of what is not there is done, too, and not counted: if the next order
            // conflicts, the report settles it.
            OrderAnswer::Done if matches!(order.what, OrderKind::UnloadAdapter(_)) => {
                self.accepted = Some(order.expected + 1);
            }
            OrderAnswer::Done => self.read_after(Duration::ZERO, now),
            OrderAnswer::Conflict | OrderAnswer::Refused => self.read_after(REPORT_LAG, now),
            OrderAnswer::Unknown => {
                self.accepted = Some(order.expected);
                if matches!(order.what, OrderKind::LoadAdapter(..)) {
                    let until = now + LATE_ORDER;
                    self.late.retain(|late| late.until > now);
                    self.late.push(LateLoad {
                        expected: order.expected,
                        until,
                    });
                }
                self.not_before = now + UNANSWERED_PAUSE * unanswered.saturating_sub(1).min(4);
            }
        }
        self.place(&order.what, answer, stretch, now);
        self.forget_copies();
    }

    /// What an answer tells of the adapter that was ordered.
    fn place(&mut self, what: &OrderKind, answer: OrderAnswer, stretch: f64, now: Time) {
        match (what, answer) {
            (OrderKind::LoadAdapter(key, version), OrderAnswer::Accepted) => {
                let from_store = !self.has_copy(key);
                let took = if from_store {
                    LOAD_FROM_STORE.mul_f64(stretch)
                } else {
                    LOAD_FROM_HOST
                };
                self.resident.remove(key);
                let coming = Coming {
                    version: *version,
                    ready: now + took,
                    from_store,
                };
                self.coming.insert(key.clone(), coming);
            }
            (OrderKind::LoadAdapter(key, version), OrderAnswer::Done) => {
                let version = version.unwrap_or(AdapterVersion(1));
                let resident = Resident::new(version, now);
                self.resident.insert(key.clone(), resident);
                self.changed = true;
            }
            // The word on what arrives in its place tells of it, too: it was idle.
            (OrderKind::UnloadAdapter(key), OrderAnswer::Done) => {
                self.resident.remove(key);
            }
            (OrderKind::UnloadAdapter(key), OrderAnswer::Accepted) => {
                self.leaves_later(key);
                self.read_after(REPORT_LAG, now);
            }
            (OrderKind::UnloadAdapter(key), OrderAnswer::Conflict) => {
                self.touch(key, now);
            }
            (OrderKind::LoadAdapter(key, _), OrderAnswer::Conflict) => {
                if let Some(wish) = self.wishes.get_mut(key) {
                    // Others go first, so that one adapter can't hold up an engine.
                    wish.put_back();
                }
            }
            _ => {}
        }
    }

    /// An unload waits for requests that run on `key`: it goes on taking its slot until a report lacks
    /// it.
    ///
    /// It must not be unloaded a second time either. An engine answers that as done and doesn't count
    /// it, so that the next order names a count that the engine has not reached; without an answer,
    /// such a load came seconds later, when another order had made up the count and filled the slot.
    fn leaves_later(&mut self, key: &AdapterKey) {
        if let Some(held) = self.resident.get_mut(key) {
            held.leaves = true;
            held.usable_from = Time(u64::MAX);
            self.changed = true;
        }
    }

    fn count_to(&mut self, count: u64) {
        self.accepted = Some(count);
        self.least = count;
    }

    fn read_after(&mut self, pause: Duration, now: Time) {
        self.accepted = None;
        self.not_before = now + pause;
    }

    /// The engine told its state, or didn't.
    pub fn reported(&mut self, report: Option<Report>, now: Time) {
        let Some(report) = report else {
            self.not_before = now + UNREPORTED_PAUSE;
            return;
        };
        if report.accepted < self.least {
            // The report is older than the last answer: what it says of slots is out of date, and
            // loads ordered by it would not fit. One that still says so later is right: the engine
            // counts otherwise, and loads must not stop for good.
            let since = *self.stale_since.get_or_insert(now);
            if now.since(since) < LONGEST_LAG {
                self.not_before = now + REPORT_LAG;
                return;
            }
        }
        self.stale_since = None;
        self.proved = now;
        self.read = now;
        if report.busy {
            self.not_before = now + BUSY_PAUSE;
        }
        self.count_to(report.accepted);
        self.must_read = false;
        let since = now - LATE_ARRIVAL;
        let former = std::mem::take(&mut self.resident);
        for held in report.adapters {
            let mut resident = Resident::new(held.version, since);
            if former.get(&held.key).is_some_and(|former| former.leaves) {
                resident.leaves = true;
                resident.usable_from = Time(u64::MAX);
            }
            self.resident.insert(held.key, resident);
        }
        let before = std::mem::take(&mut self.coming);
        for coming in report.coming {
            let known = before.get(&coming.key).copied();
            let known = known.unwrap_or(Coming {
                version: None,
                ready: now + LOAD_FROM_STORE,
                from_store: true,
            });
            let version = Some(coming.version);
            self.coming.insert(coming.key, Coming { version, ..known });
        }
        self.changed = true;
    }
}
