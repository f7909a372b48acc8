//! The memory budget of an instance and its callers.
//!
//! Its lock is taken while bytes are dropped, at any place, so nothing else is locked while it is held.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

use bluebellstage_core::TargetId;
use slotmap::SecondaryMap;
use tokio::sync::Notify;

use crate::clock::boot_time;
use crate::decide::memory_budget::{
    ConnectionKey, EndedCaller, HeldKind, Mark, MemoryBudget, MemoryDump, MemoryLimit, Reservation,
};
use crate::edge::Edge;

use super::caller_memory::CallerMemory;
use super::log::{LogEvent, event};
use super::node::Node;

/// Interval of the checks for callers that make no progress.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// The memory budget of an instance.
#[derive(Debug)]
pub(super) struct Memory {
    budget: Mutex<MemoryBudget>,
    /// Open connections of callers.
    callers: Mutex<SecondaryMap<ConnectionKey, Weak<CallerMemory>>>,
    /// Notified when bytes were given back.
    pub(super) freed: Notify,
}

impl Memory {
    pub(super) fn new(limit: MemoryLimit) -> Self {
        Self {
            budget: Mutex::new(MemoryBudget::new(limit)),
            callers: Mutex::default(),
            freed: Notify::new(),
        }
    }

    pub(super) fn budget(&self) -> MutexGuard<'_, MemoryBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn callers(&self) -> MutexGuard<'_, SecondaryMap<ConnectionKey, Weak<CallerMemory>>> {
        self.callers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a new connection of a caller.
    pub(super) fn open(self: &Arc<Self>) -> Arc<CallerMemory> {
        let key = self.budget().open();
        let caller = Arc::new(CallerMemory::new(Arc::clone(self), key));
        self.callers().insert(key, Arc::downgrade(&caller));
        caller
    }

    /// Forgets a connection that was closed.
    pub(super) fn close(&self, key: ConnectionKey) {
        self.callers().remove(key);
        self.budget().close(key);
        self.freed.notify_waiters();
    }

    /// Gives back bytes.
    pub(super) fn release(&self, key: ConnectionKey, kind: HeldKind, bytes: u64) {
        self.budget().release(key, kind, bytes);
        self.freed.notify_waiters();
    }

    pub(super) fn reserve(&self, key: ConnectionKey, kind: HeldKind, bytes: u64) -> Reservation {
        self.budget().reserve(key, kind, bytes, boot_time())
    }

    pub(super) fn dump(&self) -> MemoryDump {
        self.budget().dump()
    }

    fn caller(&self, key: ConnectionKey) -> Option<Arc<CallerMemory>> {
        self.callers().get(key).and_then(Weak::upgrade)
    }

    /// Counts a request of `bytes` at a target until the guard is dropped; `None` if the target must not get it now.
    pub(super) fn start_at_target(
        self: &Arc<Self>,
        target: &TargetId,
        bytes: u64,
        sharing: usize,
    ) -> Option<BytesAtTarget> {
        let may_start = self.budget().targets.start(target, bytes, sharing);
        may_start.then(|| BytesAtTarget {
            memory: Arc::clone(self),
            target: target.clone(),
            bytes,
            sharing,
        })
    }
}

/// Counts the bytes of a request at a target until it is dropped.
#[derive(Debug)]
pub(super) struct BytesAtTarget {
    memory: Arc<Memory>,
    target: TargetId,
    bytes: u64,
    sharing: usize,
}

impl BytesAtTarget {
    /// Records that the target answers.
    pub(super) fn record_borne(&self) {
        let targets = &mut self.memory.budget().targets;
        targets.record_borne(&self.target, self.sharing);
    }

    /// Records that the target broke.
    pub(super) fn record_broken(&self) {
        let targets = &mut self.memory.budget().targets;
        targets.record_broken(&self.target, self.sharing);
    }
}

impl Drop for BytesAtTarget {
    fn drop(&mut self) {
        self.memory.budget().targets.end(&self.target, self.bytes);
    }
}

/// Ends callers that make no progress while memory is short, until the process ends.
pub(super) async fn run<E: Edge>(node: Arc<Node<E>>) {
    let Some(memory) = &node.memory else { return };
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let check = memory.budget().check(node.now());
        if let Some(left) = check.left {
            log_mark(left, &memory.dump());
        }
        for ended in check.ended {
            node.metrics.memory.caller_ended();
            log_ended(&ended);
            if let Some(caller) = memory.caller(ended.key) {
                caller.end();
            }
        }
        let tables = node.tables();
        let is_present = |target: &TargetId| tables.registry.get(target).is_some();
        memory.budget().targets.sweep(is_present);
    }
}

fn log_mark(left: Mark, dump: &MemoryDump) {
    let reached = if dump.mark > left {
        LogEvent::MemoryMarkReached
    } else {
        LogEvent::MemoryMarkLeft
    };
    let fields = [
        ("mark", dump.mark.name().to_owned()),
        ("held", dump.held().to_string()),
        ("budget", dump.budget.to_string()),
        ("request_bodies", dump.request_bodies.to_string()),
        ("responses", dump.responses.to_string()),
        ("untaken", dump.untaken.to_string()),
    ];
    let fields = fields.each_ref().map(|(name, value)| (*name, &**value));
    event(reached, &fields);
}

fn log_ended(ended: &EndedCaller) {
    let held = ended.held.to_string();
    let stalled = ended.stalled.as_millis().to_string();
    let fields = [("held", &*held), ("stalled_ms", &*stalled)];
    event(LogEvent::CallerEnded, &fields);
}
