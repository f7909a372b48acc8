//! Decides what an instance reads and writes of what the store keeps of streams.
//!
//! The instances that follow the store write the software versions of each service, before a stream can need to know a
//! former one. While a service has, or lately had, several of them, a few instances write the origins that they keep.
//! A new process reads both before it takes a stream for one of any version.

use std::time::Duration;

use bluebellstage_core::{Revision, Time};

use super::recalled::Writer;
use super::stored::{RecordName, StoredOrigins, StoredStream, StoredVersions, StreamRecord};
use super::{MAX_LIFETIME, StreamOrigin};
use crate::decide::rendezvous::ShortHash;
use crate::decide::store::position::Era;
use crate::decide::tables::Tables;

/// Minimum time between two writes of origins; streams that began after the last write are lost if all instances are
/// killed.
const WRITE_INTERVAL: Duration = Duration::from_millis(250);
/// Most bytes of origins that an instance writes in a millisecond, on average.
const WRITE_BYTES_PER_MS: u64 = 128;
/// Maximum number of streams in one object, which the store limits to a megabyte.
const MAX_STREAMS: usize = 50_000;
/// Initial backoff after a failed call.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum backoff after failed calls.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// What an instance does next about the store's records of streams.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RecordStep {
    /// Do nothing for this time.
    Sleep(Duration),
    /// Read all records.
    List,
    /// Read one record.
    Read(RecordName),
    /// Write a record.
    Write(RecordWrite),
    /// Remove a record.
    Remove(RecordName),
}

/// A record to write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RecordWrite {
    /// Its name.
    pub name: RecordName,
    /// The revision that it replaces; `None` if there is none.
    pub at: Option<Revision>,
    /// Its content.
    pub record: StreamRecord,
}

/// A record as the store has it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FoundRecord {
    /// Its name.
    pub name: RecordName,
    /// Revision of its last change.
    pub revision: Revision,
    /// Its content; `None` if it can't be decoded.
    pub record: Option<StreamRecord>,
}

/// What is known of an object that this instance writes.
#[derive(Clone, Debug, Default)]
enum Known<T> {
    /// It has to be read.
    #[default]
    Unread,
    /// The store has no such object.
    Absent,
    /// The store has it at a revision.
    Present(Revision, T),
}

impl<T> Known<T> {
    const fn revision(&self) -> Option<Revision> {
        match self {
            Self::Present(revision, _) => Some(*revision),
            Self::Unread | Self::Absent => None,
        }
    }

    const fn is_unread(&self) -> bool {
        matches!(self, Self::Unread)
    }
}

/// Identifies a set of streams.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct StreamsDigest(u64);

/// When a call is made again after failures.
#[derive(Debug, Default)]
pub(super) struct Backoff {
    next_at: Time,
    last: Duration,
}

impl Backoff {
    pub(super) const fn is_set(&self) -> bool {
        !self.last.is_zero()
    }

    pub(super) fn is_due(&self, now: Time) -> bool {
        now >= self.next_at
    }

    pub(super) fn record_failure(&mut self, now: Time) {
        self.last = (self.last * 2).clamp(MIN_BACKOFF, MAX_BACKOFF);
        self.next_at = now + self.last;
    }

    pub(super) fn reset(&mut self) {
        *self = Self::default();
    }
}

/// State of an instance's part in the store's records of streams.
#[derive(Debug, Default)]
pub struct RecordState {
    /// Whether the stored versions were read, and whether all stored origins were.
    has_read_versions: bool,
    has_read_origins: bool,
    /// Since when the targets are known.
    informed_since: Option<Time>,
    era: Option<Era>,
    versions: Known<StoredVersions>,
    origins: Known<StreamsDigest>,
    /// Whether this process has written origins.
    has_written: bool,
    /// Objects of other instances that were there at the start.
    leftovers: Vec<RecordName>,
    versions_backoff: Backoff,
    origins_backoff: Backoff,
    next_write_at: Time,
}

impl RecordState {
    /// A restored store may have other revisions, or lack what was written.
    fn set_era(&mut self, era: Era) {
        if self.era.replace(era).is_some_and(|known| known != era) {
            self.versions = Known::Unread;
            self.origins = Known::Unread;
        }
    }

    /// Whether this process has known the targets for longer than a stream can be continued.
    fn has_run_long(&self, now: Time) -> bool {
        let since = self.informed_since;
        since.is_some_and(|since| now.since(since) >= MAX_LIFETIME)
    }
}

impl Tables {
    /// Whether this instance knows all software versions at which streams may have begun that can still be continued.
    pub(super) fn knows_versions(&self, now: Time) -> bool {
        let state = &self.origins.record_state;
        state.has_read_versions || state.has_run_long(now)
    }

    /// Whether this instance needs no stored origins: it has read them, or those that it has not read have expired.
    pub(super) fn has_read_origins(&self, now: Time) -> bool {
        let state = &self.origins.record_state;
        state.has_read_origins || state.has_run_long(now)
    }

    /// Returns the next step. Its result is to be recorded before the next call.
    pub fn next_record_step(&mut self, era: Era, now: Time) -> RecordStep {
        let is_informed = self.registry.revision() > Revision::default();
        let state = &mut self.origins.record_state;
        state.set_era(era);
        state.informed_since = state.informed_since.or(is_informed.then_some(now));
        let step = self.reading_step(now);
        let step = step.or_else(|| self.writing_step(now));
        step.unwrap_or(RecordStep::Sleep(WRITE_INTERVAL))
    }

    /// Reads what the store keeps, if this process has not done so.
    fn reading_step(&self, now: Time) -> Option<RecordStep> {
        let state = &self.origins.record_state;
        let lacks_origins = !state.has_read_origins && self.reads_origins(now);
        if lacks_origins && state.origins_backoff.is_due(now) {
            return Some(RecordStep::List);
        }
        let lacks_versions = !self.knows_versions(now) && state.versions_backoff.is_due(now);
        lacks_versions.then_some(RecordStep::Read(RecordName::Versions))
    }

    /// Writes or removes what has changed.
    fn writing_step(&self, now: Time) -> Option<RecordStep> {
        let versions = self.registry.continuable_versions(now);
        if versions.0.is_empty() {
            return None;
        }
        let several = versions
            .0
            .iter()
            .filter(|(_, of_service)| of_service.len() > 1);
        let mixed = several.map(|(service, _)| ShortHash::of(service.as_str()));
        let mixed = mixed.collect::<Vec<_>>();
        let step = self.versions_step(versions, now);
        step.or_else(|| match mixed.as_slice() {
            [] => self.removal_step(now),
            mixed => self.origins_step(mixed, now),
        })
    }

    /// Keeps the software versions in the store, if this instance follows it.
    fn versions_step(&self, versions: StoredVersions, now: Time) -> Option<RecordStep> {
        let state = &self.origins.record_state;
        let is_due = state.versions_backoff.is_due(now);
        if !is_due || !self.knows_versions(now) || !self.follows_store(now) {
            return None;
        }
        match &state.versions {
            Known::Unread => return Some(RecordStep::Read(RecordName::Versions)),
            Known::Present(_, stored) if *stored == versions => return None,
            Known::Present(..) | Known::Absent => {}
        }
        Some(RecordStep::Write(RecordWrite {
            name: RecordName::Versions,
            at: state.versions.revision(),
            record: StreamRecord::Versions(versions),
        }))
    }

    /// Stores the origins that this instance keeps of streams of services with several versions.
    fn origins_step(&self, mixed: &[ShortHash], now: Time) -> Option<RecordStep> {
        let state = &self.origins.record_state;
        let is_due = now >= state.next_write_at && state.origins_backoff.is_due(now);
        if !is_due || !self.is_recorder(now) {
            return None;
        }
        let name = RecordName::origins_of(&self.local.name);
        // A former process of this instance may have written some that are needed yet.
        if state.origins.is_unread() {
            return Some(RecordStep::Read(name));
        }
        let digest = self.origins.stored_digest(mixed, now);
        if let Known::Present(_, stored) = &state.origins
            && *stored == digest
        {
            return None;
        }
        if digest.is_empty() {
            return None;
        }
        let streams = self.origins.streams_to_store(mixed, now);
        Some(RecordStep::Write(RecordWrite {
            name,
            at: state.origins.revision(),
            record: StreamRecord::Origins(StoredOrigins::encode(streams)),
        }))
    }

    /// Removes origins that nobody needs because no service has several versions.
    fn removal_step(&self, now: Time) -> Option<RecordStep> {
        let state = &self.origins.record_state;
        if !state.origins_backoff.is_due(now) || !self.knows_versions(now) {
            return None;
        }
        let own = RecordName::origins_of(&self.local.name);
        match &state.origins {
            Known::Present(..) => return Some(RecordStep::Remove(own)),
            Known::Unread if state.has_written => return Some(RecordStep::Read(own)),
            Known::Unread | Known::Absent => {}
        }
        if !self.follows_store(now) {
            return None;
        }
        let leftover = state.leftovers.last();
        leftover.cloned().map(RecordStep::Remove)
    }

    /// Records all records as read from the store. Returns the number of streams in them.
    pub fn record_listed(&mut self, found: Vec<FoundRecord>, now: Time) -> usize {
        let own = RecordName::origins_of(&self.local.name);
        for name in [&own, &RecordName::Versions] {
            if !found.iter().any(|record| record.name == *name) {
                self.record_read(name, None, now);
            }
        }
        for record in found {
            let name = record.name.clone();
            if name != own && name != RecordName::Versions {
                self.origins.record_state.leftovers.push(name.clone());
            }
            self.record_read(&name, Some(record), now);
        }
        self.origins.record_state.has_read_origins = true;
        self.origins.record_state.origins_backoff.reset();
        self.origins.recalled.count()
    }

    /// Records a record as read from the store; `None` if there is none.
    pub fn record_read(&mut self, name: &RecordName, found: Option<FoundRecord>, now: Time) {
        match name {
            RecordName::Versions => self.record_versions_read(found, now),
            RecordName::Origins(_) => self.record_origins_read(name, found, now),
        }
    }

    fn record_versions_read(&mut self, found: Option<FoundRecord>, now: Time) {
        let state = &mut self.origins.record_state;
        let Some(found) = found else {
            state.versions = Known::Absent;
            state.has_read_versions = true;
            return;
        };
        let Some(StreamRecord::Versions(stored)) = found.record else {
            // It says nothing, and is written over when no stream is left of what it may have named.
            state.versions = Known::Present(found.revision, StoredVersions::default());
            state.versions_backoff.record_failure(now);
            return;
        };
        self.registry.record_stored_versions(&stored, now);
        state.versions = Known::Present(found.revision, stored);
        state.has_read_versions = true;
    }

    fn record_origins_read(&mut self, name: &RecordName, found: Option<FoundRecord>, now: Time) {
        let is_own = *name == RecordName::origins_of(&self.local.name);
        if is_own {
            let revision = found.as_ref().map(|found| found.revision);
            // The content is not compared: the next set that is not empty is written.
            let present = |revision| Known::Present(revision, StreamsDigest::default());
            self.origins.record_state.origins = revision.map_or(Known::Absent, present);
        }
        let writer = if is_own {
            Writer::FormerProcess
        } else {
            Writer::Other
        };
        if let Some(StreamRecord::Origins(stored)) = found.and_then(|found| found.record) {
            self.origins.recalled.add(&stored, writer, now);
        }
    }

    /// Records that a write took effect at a revision.
    pub fn record_written(&mut self, write: RecordWrite, revision: Revision, now: Time) {
        let state = &mut self.origins.record_state;
        match write.record {
            StreamRecord::Versions(versions) => {
                state.versions = Known::Present(revision, versions);
                state.versions_backoff.reset();
            }
            StreamRecord::Origins(stored) => {
                let keys = stored.decode().flat_map(|(_, streams)| streams);
                let digest = StreamsDigest::of(keys.map(|stream| stream.key.number()));
                state.origins = Known::Present(revision, digest);
                state.has_written = true;
                state.origins_backoff.reset();
                state.next_write_at = now + pause_after(&stored);
            }
        }
    }

    /// Records that a record was removed, or that there was none.
    pub fn record_removed(&mut self, name: &RecordName) {
        let state = &mut self.origins.record_state;
        state.leftovers.retain(|leftover| leftover != name);
        if *name == RecordName::origins_of(&self.local.name) {
            state.origins = Known::Absent;
        }
    }

    /// Records that a call about a record failed, so that its state is not known.
    pub fn record_call_failed(&mut self, name: &RecordName, now: Time) {
        let own = RecordName::origins_of(&self.local.name);
        let state = &mut self.origins.record_state;
        match name {
            RecordName::Versions => {
                state.versions = Known::Unread;
                state.versions_backoff.record_failure(now);
            }
            RecordName::Origins(_) => {
                if *name == own {
                    state.origins = Known::Unread;
                }
                state.origins_backoff.record_failure(now);
            }
        }
    }

    /// Records that the records could not be listed.
    pub fn record_list_failed(&mut self, now: Time) {
        self.origins
            .record_state
            .origins_backoff
            .record_failure(now);
    }
}

/// Returns the time after a write of origins before the next one.
fn pause_after(written: &StoredOrigins) -> Duration {
    let bytes = u64::try_from(written.estimated_bytes()).unwrap_or(u64::MAX);
    Duration::from_millis(bytes / WRITE_BYTES_PER_MS).max(WRITE_INTERVAL)
}

impl StreamsDigest {
    fn is_empty(self) -> bool {
        self == Self::default()
    }

    fn of(keys: impl Iterator<Item = u64>) -> Self {
        // Keys are hashes: two sets have the same sum by chance only.
        Self(keys.fold(0, u64::wrapping_add))
    }
}

impl super::StreamOrigins {
    /// Returns the streams whose origins this instance stores: those of services with several versions, and those that a
    /// former process of it has stored.
    fn streams_to_store<'a>(
        &'a self,
        mixed: &'a [ShortHash],
        now: Time,
    ) -> impl Iterator<Item = (&'a StreamOrigin, StoredStream)> {
        let kept = self.entries.iter();
        let kept = kept
            .filter(move |(_, entry)| mixed.contains(&entry.origin.service) && now < entry.expires);
        let kept = kept.map(move |(key, entry)| {
            let left = entry.expires.since(now);
            (&entry.origin, StoredStream { key: *key, left })
        });
        let recalled = self.recalled.of_former_process(now);
        let recalled = recalled.filter(|(_, stream)| !self.entries.contains_key(&stream.key));
        kept.chain(recalled).take(MAX_STREAMS)
    }

    fn stored_digest(&self, mixed: &[ShortHash], now: Time) -> StreamsDigest {
        let streams = self.streams_to_store(mixed, now);
        StreamsDigest::of(streams.map(|(_, stream)| stream.key.number()))
    }
}
