//! Reading and changing the map object.

use std::time::Duration;

use crate::{
    Action, CallId, Expected, Map, ObjectName, ObjectVersion, PlatformCall, PlatformOp,
    PlatformPurpose, Time, Tuning,
};

use super::calls::Slot;

/// Name of the map object.
const MAP_OBJECT: &str = "map";

/// Least time between two reads that news asks for.
const NEWS_SPACING: Duration = Duration::from_millis(100);

/// A read goes out without any reason after this many `map_read_interval`s: a change whose author
/// died before telling anyone must come to light.
const READS_WITHOUT_REASON: u32 = 5;

/// Why the map should be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ReadReason {
    /// There is news, or a change to write.
    News,
    /// Standing is about to end.
    Standing,
    /// None in particular.
    Routine,
}

/// The map object as this instance last saw it, and the calls on it.
#[derive(Debug)]
pub(super) struct Store {
    next_id: u64,
    read: Slot,
    write: Slot,
    list: Slot,
    base: Option<Expected>,
    history: usize,
    written: Option<Map>,
    news: bool,
}

impl Store {
    pub(super) const fn new() -> Self {
        Self {
            next_id: 0,
            read: Slot::new(),
            write: Slot::new(),
            list: Slot::new(),
            base: None,
            history: 0,
            written: None,
            news: true,
        }
    }

    /// There may be a newer map.
    pub(super) const fn expect_news(&mut self) {
        self.news = true;
    }

    pub(super) const fn expects_news(&self) -> bool {
        self.news
    }

    /// The object's state that the map in force was seen in; a change is written against it.
    pub(super) const fn base(&self) -> Option<Expected> {
        self.base
    }

    /// `history` is how many earlier revisions the object records.
    pub(super) const fn set_base(&mut self, base: Option<Expected>, history: usize) {
        self.base = base;
        self.history = history;
    }

    /// How many earlier revisions the object recorded when it was last seen.
    pub(super) const fn history(&self) -> usize {
        self.history
    }

    /// Whether a write of this instance may still take effect unnoticed.
    pub(super) const fn is_settled(&self) -> bool {
        self.written.is_none() && self.base.is_some()
    }

    pub(super) fn read_map(
        &mut self,
        now: Time,
        cfg: &Tuning,
        reason: ReadReason,
        out: &mut Vec<Action>,
    ) {
        let spacing = match reason {
            ReadReason::News => NEWS_SPACING,
            ReadReason::Standing => cfg.map_read_interval,
            ReadReason::Routine => cfg.map_read_interval * READS_WITHOUT_REASON,
        };
        if !self.read.is_free(now, spacing) {
            return;
        }
        self.news = false;
        let id = self.call(PlatformPurpose::MapRead, get_map(), out);
        self.read.send(now, id);
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
        self.written = Some(map);
        let id = self.call(PlatformPurpose::MapWrite, op, out);
        self.write.send(now, id);
    }

    pub(super) fn can_write(&self, now: Time) -> bool {
        self.write.is_free(now, Duration::ZERO)
    }

    pub(super) fn list_instances(&mut self, now: Time, cfg: &Tuning, out: &mut Vec<Action>) {
        if !self.list.is_free(now, cfg.list_interval) {
            return;
        }
        let id = self.call(
            PlatformPurpose::InstanceList,
            PlatformOp::ListInstances,
            out,
        );
        self.list.send(now, id);
    }

    /// Ends a read; false for an answer that was given up.
    pub(super) fn end_read(&mut self, now: Time, cfg: &Tuning, id: CallId, ok: bool) -> bool {
        let ours = self.read.take(id);
        if !ours {
            return false;
        }
        if ok {
            self.read.succeed();
            return true;
        }
        self.read.fail(now, cfg.map_read_interval);
        self.news = true;
        true
    }

    /// Ends a write that took effect; gives the map that it wrote.
    pub(super) fn end_write(&mut self, id: CallId, version: ObjectVersion) -> Option<Map> {
        if !self.write.take(id) {
            return None;
        }
        self.write.succeed();
        self.base = Some(Expected::Version(version));
        self.written.take()
    }

    /// Ends a write that failed, or may have: only a fresh read tells what the object holds.
    pub(super) fn fail_write(&mut self, now: Time, cfg: &Tuning, id: CallId, retry: Retry) {
        if !self.write.take(id) {
            return;
        }
        self.written = None;
        match retry {
            Retry::AfterRead => {
                self.base = None;
                self.news = true;
            }
            Retry::AfterPause => self.write.fail(now, cfg.map_read_interval),
        }
    }

    pub(super) fn end_list(&mut self, id: CallId) -> bool {
        self.list.take(id)
    }

    fn call(&mut self, purpose: PlatformPurpose, op: PlatformOp, out: &mut Vec<Action>) -> CallId {
        self.next_id += 1;
        let id = CallId(self.next_id);
        out.push(Action::Platform(PlatformCall { id, purpose, op }));
        id
    }
}

/// How to go on after a write that failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Retry {
    /// The object may have changed.
    AfterRead,
    /// Nothing was done.
    AfterPause,
}

/// Name of the map object.
pub(super) fn map_object() -> ObjectName {
    ObjectName::try_from(MAP_OBJECT).expect("`map` is a legal name")
}

fn get_map() -> PlatformOp {
    PlatformOp::Get { name: map_object() }
}
