//! Updates a loader's view of its engine from order outcomes and reports.

use std::time::Duration;

use bluebellstage_core::{AdapterVersion, Time};

use super::adapter_state::{PendingLoad, ResidentAdapter, UnansweredLoad};
use super::order::{Order, OrderKind, OrderOutcome, Report};
use super::{
    LATE_ARRIVAL_GRACE, LOAD_FROM_HOST, LOAD_FROM_STORE, Loader, MAX_ORDER_DELAY, REPORT_LAG,
};
use crate::decide::adapters::adapter::AdapterKey;

/// Maximum age of the state in a report.
const MAX_REPORT_LAG: Duration = Duration::from_secs(1);
/// Added to the delay before the next order for each consecutive unanswered order after the first.
/// A crashed engine refuses connections at once and would otherwise receive hundreds of orders a
/// second.
const UNANSWERED_BACKOFF: Duration = Duration::from_millis(120);
/// Time for which an engine counts as silent after a report that could not be read: an engine that has crashed stays
/// registered for some seconds.
const SILENCE_PERIOD: Duration = Duration::from_secs(2);
/// Delay after a report that could not be read.
const REPORT_RETRY_DELAY: Duration = Duration::from_millis(400);
/// Delay while the engine carries out an order on a base model, which blocks all other orders.
const BUSY_ENGINE_DELAY: Duration = Duration::from_millis(100);

impl Loader {
    /// Records the outcome of an order. A load from the weight store is expected to take `slowdown`
    /// times as long as it takes without concurrent loads.
    pub fn record_outcome(
        &mut self,
        order: &Order,
        outcome: OrderOutcome,
        slowdown: f64,
        now: Time,
    ) {
        let consecutive_unanswered = if outcome == OrderOutcome::Unknown {
            self.consecutive_unanswered + 1
        } else {
            0
        };
        self.consecutive_unanswered = consecutive_unanswered;
        match outcome {
            OrderOutcome::Accepted => {
                self.set_accepted(order.expected_accepted + 1);
                self.last_confirmed_at = now;
            }
            // Unloading an absent adapter is reported as done, too, but is not counted by the
            // engine. If the next order conflicts, the next report corrects the count.
            OrderOutcome::Done if matches!(order.kind, OrderKind::UnloadAdapter(_)) => {
                self.accepted = Some(order.expected_accepted + 1);
            }
            OrderOutcome::Done => self.read_report_after(Duration::ZERO, now),
            OrderOutcome::Conflict | OrderOutcome::Refused => {
                self.read_report_after(REPORT_LAG, now);
            }
            OrderOutcome::Unknown => {
                self.accepted = Some(order.expected_accepted);
                if matches!(order.kind, OrderKind::LoadAdapter(..)) {
                    let expires_at = now + MAX_ORDER_DELAY;
                    self.unanswered_loads.retain(|load| load.expires_at > now);
                    self.unanswered_loads.push(UnansweredLoad {
                        expected_accepted: order.expected_accepted,
                        expires_at,
                    });
                }
                self.not_before =
                    now + UNANSWERED_BACKOFF * consecutive_unanswered.saturating_sub(1).min(4);
            }
        }
        self.apply_outcome(&order.kind, outcome, slowdown, now);
        self.forget_oldest_usage();
    }

    /// Updates the state of the adapter that the order names.
    fn apply_outcome(&mut self, kind: &OrderKind, outcome: OrderOutcome, slowdown: f64, now: Time) {
        match (kind, outcome) {
            (OrderKind::LoadAdapter(key, version), OrderOutcome::Accepted) => {
                let from_store = !self.has_host_copy(key);
                let duration = if from_store {
                    LOAD_FROM_STORE.mul_f64(slowdown)
                } else {
                    LOAD_FROM_HOST
                };
                self.resident.remove(key);
                let pending = PendingLoad {
                    version: *version,
                    ready_at: now + duration,
                    from_store,
                };
                self.pending_loads.insert(key.clone(), pending);
            }
            (OrderKind::LoadAdapter(key, version), OrderOutcome::Done) => {
                let version = version.unwrap_or(AdapterVersion(1));
                let resident = ResidentAdapter::new(version, now);
                self.resident.insert(key.clone(), resident);
                self.changed = true;
            }
            // No change is flagged: the adapter was idle, and the update sent when its replacement
            // arrives covers the unload.
            (OrderKind::UnloadAdapter(key), OrderOutcome::Done) => {
                self.resident.remove(key);
            }
            (OrderKind::UnloadAdapter(key), OrderOutcome::Accepted) => {
                self.mark_unloading(key);
                self.read_report_after(REPORT_LAG, now);
            }
            (OrderKind::UnloadAdapter(key), OrderOutcome::Conflict) => {
                self.record_use(key, now);
            }
            (OrderKind::LoadAdapter(key, _), OrderOutcome::Conflict) => {
                if let Some(request) = self.load_requests.get_mut(key) {
                    // Lets other load requests go first, so that one adapter can't block an engine.
                    request.move_to_back();
                }
            }
            _ => {}
        }
    }

    /// Marks an adapter whose unload waits for the requests that run on it. It takes its slot until
    /// a report lacks it.
    ///
    /// It must not be unloaded a second time. An engine reports a repeated unload as done without
    /// counting it, so the next order would expect a count that the engine has not reached. If that
    /// order is a load and gets no response, it can be carried out seconds later, when another
    /// order has raised the count and filled the slot.
    fn mark_unloading(&mut self, key: &AdapterKey) {
        if let Some(adapter) = self.resident.get_mut(key) {
            adapter.unloading = true;
            adapter.usable_from = Time(u64::MAX);
            self.changed = true;
        }
    }

    fn set_accepted(&mut self, count: u64) {
        self.accepted = Some(count);
        self.min_accepted = count;
    }

    fn read_report_after(&mut self, pause: Duration, now: Time) {
        self.accepted = None;
        self.not_before = now + pause;
    }

    /// Applies the engine's report; `None` if it could not be read.
    pub fn apply_report(&mut self, report: Option<Report>, now: Time) {
        let Some(report) = report else {
            self.not_before = now + REPORT_RETRY_DELAY;
            self.silent_until = now + SILENCE_PERIOD;
            return;
        };
        if report.accepted < self.min_accepted {
            // The report is older than the last order outcome: its slots are out of date, and loads
            // based on it would not fit. If reports keep showing the lower count, they are right
            // and the engine counts differently; loads must not stop for good.
            let since = *self.stale_since.get_or_insert(now);
            if now.since(since) < MAX_REPORT_LAG {
                self.not_before = now + REPORT_LAG;
                return;
            }
        }
        self.silent_until = Time::default();
        self.stale_since = None;
        self.last_confirmed_at = now;
        self.last_report_at = now;
        if report.busy {
            self.not_before = now + BUSY_ENGINE_DELAY;
        }
        self.set_accepted(report.accepted);
        self.must_read_report = false;
        let since = now - LATE_ARRIVAL_GRACE;
        let previous = std::mem::take(&mut self.resident);
        for adapter in report.adapters {
            let mut resident = ResidentAdapter::new(adapter.version, since);
            if previous
                .get(&adapter.key)
                .is_some_and(|previous| previous.unloading)
            {
                resident.unloading = true;
                resident.usable_from = Time(u64::MAX);
            }
            self.resident.insert(adapter.key, resident);
        }
        let known_loads = std::mem::take(&mut self.pending_loads);
        for pending in report.pending_loads {
            let known = known_loads.get(&pending.key).copied();
            let known = known.unwrap_or(PendingLoad {
                version: None,
                ready_at: now + LOAD_FROM_STORE,
                from_store: true,
            });
            let version = Some(pending.version);
            self.pending_loads
                .insert(pending.key, PendingLoad { version, ..known });
        }
        // The engine has no slots for more, whatever it reports: adapters that can be read are not unloaded for them.
        let other_slots = self
            .slots
            .saturating_sub(self.resident.len() + self.pending_loads.len());
        self.unreadable_adapters = report.unreadable_adapters.min(other_slots);
        self.changed = true;
    }
}
