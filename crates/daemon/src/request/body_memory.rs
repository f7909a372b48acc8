//! Memory for the bodies of callers' requests.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bluebellstage_core::WorkspaceId;
use bluebellstage_gateway::decide::memory_budget::{
    ConnectionKey, HeldKind, MemoryBudget, Reservation,
};
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

use crate::process::Clock;
use crate::settings::Limits;

/// Longest wait of a body for memory. It is not read meanwhile.
const MAX_ROOM_WAIT: Duration = Duration::from_millis(500);
/// Bodies of the longest length that have room at once, whatever the settings say.
const MIN_BODIES: u64 = 4;

/// What all callers' bodies take, against one budget.
#[derive(Debug)]
pub(crate) struct BodyMemory {
    budget: Mutex<MemoryBudget>,
    /// Notified when bytes were given back.
    freed: Notify,
    clock: Clock,
}

/// There is no memory for a body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct OutOfMemory;

impl BodyMemory {
    pub(crate) fn new(limits: &Limits, clock: Clock) -> Self {
        let bytes = limits
            .body_memory_bytes
            .max(limits.body_bytes.saturating_mul(MIN_BODIES));
        Self {
            budget: Mutex::new(MemoryBudget::of_bytes(bytes)),
            freed: Notify::new(),
            clock,
        }
    }

    /// Begins to count the body of a workspace's request, and what the HTTP library buffers until it is whole.
    pub(crate) fn open(self: &Arc<Self>, workspace: &WorkspaceId) -> BodyHold {
        let mut budget = self.budget();
        let key = budget.open();
        budget.start_request(key, Some(workspace));
        drop(budget);
        BodyHold {
            memory: Arc::clone(self),
            key,
            bytes: 0,
            is_received: false,
        }
    }

    fn budget(&self) -> MutexGuard<'_, MemoryBudget> {
        // Each change is made whole: a panic elsewhere leaves the counts sound.
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Bytes of one body, which count as held until it is dropped.
#[derive(Debug)]
pub(crate) struct BodyHold {
    memory: Arc<BodyMemory>,
    key: ConnectionKey,
    bytes: u64,
    is_received: bool,
}

impl BodyHold {
    /// Adds bytes once there is room for them.
    ///
    /// # Errors
    /// [`OutOfMemory`] if there is none in time.
    pub(crate) async fn add(&mut self, bytes: usize) -> Result<(), OutOfMemory> {
        let until = Instant::now() + MAX_ROOM_WAIT;
        let added = self.add_until(bytes, until).await;
        self.memory.budget().stop_waiting(self.key);
        added
    }

    async fn add_until(&mut self, bytes: usize, until: Instant) -> Result<(), OutOfMemory> {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        let memory = Arc::clone(&self.memory);
        loop {
            let mut freed = std::pin::pin!(memory.freed.notified());
            freed.as_mut().enable();
            let now = memory.clock.now();
            let reservation = memory
                .budget()
                .reserve(self.key, HeldKind::RequestBody, bytes, now);
            match reservation {
                Reservation::Granted => {
                    self.bytes += bytes;
                    return Ok(());
                }
                Reservation::Refused => return Err(OutOfMemory),
                Reservation::Wait => {}
            }
            if timeout_at(until, freed).await.is_err() {
                return Err(OutOfMemory);
            }
        }
    }

    /// Records that the body is whole, so that nothing more of it is buffered.
    pub(crate) fn end_receiving(&mut self) {
        if !std::mem::replace(&mut self.is_received, true) {
            self.memory.budget().close(self.key);
            self.memory.freed.notify_waiters();
        }
    }
}

impl Drop for BodyHold {
    fn drop(&mut self) {
        self.end_receiving();
        if self.bytes > 0 {
            let mut budget = self.memory.budget();
            budget.release(self.key, HeldKind::RequestBody, self.bytes);
            drop(budget);
            self.memory.freed.notify_waiters();
        }
    }
}
