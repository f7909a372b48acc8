//! Reads and writes of the map object on the platform.

use std::time::Duration;

use crate::{
    Action, CallId, Expected, Map, ObjectName, ObjectVersion, PlatformCall, PlatformOp,
    PlatformPurpose, Time, Tuning,
};

use super::call_pacer::CallPacer;

/// Name of the map object.
const MAP_OBJECT: &str = "map";

/// Minimum time between two requested reads.
const MIN_REQUESTED_READ_INTERVAL: Duration = Duration::from_millis(100);

/// Without another reason, the map is read after this many `map_read_interval`s: a change whose
/// author died before it informed any peer must be found.
const ROUTINE_READ_INTERVALS: u32 = 5;

/// Why the map should be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ReadReason {
    /// There may be a newer map, or there is a change to write.
    Requested,
    /// The lease is about to expire.
    LeaseExpiry,
    /// No particular reason.
    Routine,
}

/// The map object as this instance last saw it, and the calls on it.
#[derive(Debug)]
pub(super) struct MapStore {
    next_id: u64,
    read_calls: CallPacer,
    write_calls: CallPacer,
    list_calls: CallPacer,
    write_precondition: Option<Expected>,
    stored_history_len: usize,
    pending_write: Option<Map>,
    is_read_requested: bool,
}

impl MapStore {
    pub(super) const fn new() -> Self {
        Self {
            next_id: 0,
            read_calls: CallPacer::new(),
            write_calls: CallPacer::new(),
            list_calls: CallPacer::new(),
            write_precondition: None,
            stored_history_len: 0,
            pending_write: None,
            is_read_requested: true,
        }
    }

    /// Requests a read because there may be a newer map.
    pub(super) const fn request_read(&mut self) {
        self.is_read_requested = true;
    }

    pub(super) const fn is_read_requested(&self) -> bool {
        self.is_read_requested
    }

    /// The state of the object that holds the map in force. A write requires that the object is
    /// still in this state. `None` if the state is unknown.
    pub(super) const fn write_precondition(&self) -> Option<Expected> {
        self.write_precondition
    }

    /// Sets the write precondition and the number of earlier revisions in the stored map.
    pub(super) const fn set_write_precondition(
        &mut self,
        precondition: Option<Expected>,
        history_len: usize,
    ) {
        self.write_precondition = precondition;
        self.stored_history_len = history_len;
    }

    /// The number of earlier revisions in the stored map when it was last seen.
    pub(super) const fn stored_history_len(&self) -> usize {
        self.stored_history_len
    }

    /// Whether the object's state is known and no write of this instance can still take effect
    /// unnoticed.
    pub(super) const fn is_settled(&self) -> bool {
        self.pending_write.is_none() && self.write_precondition.is_some()
    }

    pub(super) fn read_map(
        &mut self,
        now: Time,
        cfg: &Tuning,
        reason: ReadReason,
        out: &mut Vec<Action>,
    ) {
        let min_interval = match reason {
            ReadReason::Requested => MIN_REQUESTED_READ_INTERVAL,
            ReadReason::LeaseExpiry => cfg.map_read_interval,
            ReadReason::Routine => cfg.map_read_interval * ROUTINE_READ_INTERVALS,
        };
        if !self.read_calls.can_send(now, min_interval) {
            return;
        }
        self.is_read_requested = false;
        let id = self.call(PlatformPurpose::MapRead, get_map(), out);
        self.read_calls.record_sent(now, id);
    }

    pub(super) fn write_map(
        &mut self,
        now: Time,
        expected: Expected,
        map: Map,
        out: &mut Vec<Action>,
    ) {
        if !self.can_write(now) {
            return;
        }
        let Ok(value) = serde_json::to_string(&map) else {
            return;
        };
        let op = PlatformOp::Put {
            name: map_object(),
            value: value.into(),
            expected,
        };
        self.pending_write = Some(map);
        let id = self.call(PlatformPurpose::MapWrite, op, out);
        self.write_calls.record_sent(now, id);
    }

    pub(super) fn can_write(&self, now: Time) -> bool {
        self.write_calls.can_send(now, Duration::ZERO)
    }

    pub(super) fn list_instances(&mut self, now: Time, cfg: &Tuning, out: &mut Vec<Action>) {
        if !self.list_calls.can_send(now, cfg.list_interval) {
            return;
        }
        let id = self.call(
            PlatformPurpose::InstanceList,
            PlatformOp::ListInstances,
            out,
        );
        self.list_calls.record_sent(now, id);
    }

    /// Completes a read; returns false if the read had already timed out.
    pub(super) fn complete_read(&mut self, now: Time, cfg: &Tuning, id: CallId, ok: bool) -> bool {
        let is_in_flight = self.read_calls.complete(id);
        if !is_in_flight {
            return false;
        }
        if ok {
            self.read_calls.record_success();
            return true;
        }
        self.read_calls.record_failure(now, cfg.map_read_interval);
        self.is_read_requested = true;
        true
    }

    /// Completes a successful write; returns the written map, or `None` if the write had already
    /// timed out.
    pub(super) fn complete_write(&mut self, id: CallId, version: ObjectVersion) -> Option<Map> {
        if !self.write_calls.complete(id) {
            return None;
        }
        self.write_calls.record_success();
        self.write_precondition = Some(Expected::Version(version));
        self.pending_write.take()
    }

    /// Completes a write that failed or may have failed. In the second case only a new read shows
    /// what the object contains.
    pub(super) fn fail_write(&mut self, now: Time, cfg: &Tuning, id: CallId, retry: Retry) {
        if !self.write_calls.complete(id) {
            return;
        }
        self.pending_write = None;
        match retry {
            Retry::AfterRead => {
                self.write_precondition = None;
                self.is_read_requested = true;
            }
            Retry::AfterBackoff => self.write_calls.record_failure(now, cfg.map_read_interval),
        }
    }

    pub(super) fn complete_list(&mut self, id: CallId) -> bool {
        self.list_calls.complete(id)
    }

    fn call(&mut self, purpose: PlatformPurpose, op: PlatformOp, out: &mut Vec<Action>) -> CallId {
        self.next_id += 1;
        let id = CallId(self.next_id);
        out.push(Action::Platform(PlatformCall { id, purpose, op }));
        id
    }
}

/// When to retry a failed write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Retry {
    /// After a new read, because the object may have changed.
    AfterRead,
    /// After a backoff, because the object did not change.
    AfterBackoff,
}

/// Name of the map object.
pub(super) fn map_object() -> ObjectName {
    ObjectName::try_from(MAP_OBJECT).expect("`map` is a legal name")
}

fn get_map() -> PlatformOp {
    PlatformOp::Get { name: map_object() }
}
