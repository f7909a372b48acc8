//! Decides what an instance reads and writes of what the store keeps of streams.
//!
//! The instances that follow the store write the software versions of each service, before a stream can need to know a
//! former one. While a service has, or lately had, several of them, a few instances write the origins that they keep.
//! A new process reads both before it takes a stream for one of any version.

use std::time::Duration;

use bluebellstage_core::{Revision, Time};

use super::recalled::Recorder;
use super::stored::{RecordName, StoredOrigins, StoredStream, StoredVersions, StreamRecord};
use super::{MAX_LIFETIME, StreamOrigin};
use crate::decide::rendezvous::ShortHash;
use crate::decide::store_position::Era;
use crate::decide::tables::Tables;

/// Time between two writes of origins: streams that began later than the last one are lost in a kill of all.
const WRITE_INTERVAL: Duration = Duration::from_millis(250);
/// Most bytes of origins that an instance writes in a second.
const WRITE_BYTES_PER_S: usize = 128 * 1_024;
/// Maximum number of streams in one object, which the store limits to a megabyte.
const MAX_STREAMS: usize = 50_000;
/// Initial and maximum backoff after a failed call.
const BACKOFF: [Duration; 2] = [Duration::from_millis(100), Duration::from_secs(1)];

/// What an instance does next about the store's records of streams.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RecordStep {
    /// Nothing for this time.
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

/// State of an instance's part in the store's records of streams.
#[derive(Debug, Default)]
pub struct StreamRecorder {
    /// Whether all records were read.
    is_loaded: bool,
    era: Option<Era>,
    versions: Known<StoredVersions>,
    origins: Known<StreamsDigest>,
    /// Objects of other instances that were there at the start.
    leftovers: Vec<RecordName>,
    next_step_at: Time,
    next_write_at: Time,
    backoff: Duration,
}

impl StreamRecorder {
    /// A restored store may have other revisions, or lack what was written.
    fn set_era(&mut self, era: Era) {
        if self.era.replace(era).is_some_and(|known| known != era) {
            self.versions = Known::Unread;
            self.origins = Known::Unread;
        }
    }

    fn back_off(&mut self, now: Time) {
        let backoff = self.backoff.max(BACKOFF[0]);
        self.next_step_at = now + backoff;
        self.backoff = (backoff * 2).min(BACKOFF[1]);
    }
}

impl Tables {
    /// Whether this instance knows all software versions at which streams may have begun that can still be continued:
    /// it has read them, or has run for longer than a stream can be continued.
    pub(super) fn knows_versions(&self, now: Time) -> bool {
        self.origins.recorder.is_loaded || now.since(self.started) >= MAX_LIFETIME
    }

    /// Whether this instance is about to read what the store keeps of streams.
    pub(super) fn awaits_records(&self, now: Time) -> bool {
        !self.knows_versions(now) && self.reads_records(now)
    }

    /// Returns the next step. Its result is to be recorded before the next call.
    pub fn next_record_step(&mut self, era: Era, now: Time) -> RecordStep {
        self.origins.recorder.set_era(era);
        let next_step_at = self.origins.recorder.next_step_at;
        if now < next_step_at {
            return RecordStep::Sleep(next_step_at.since(now));
        }
        if !self.origins.recorder.is_loaded && self.reads_records(now) {
            return RecordStep::List;
        }
        let versions = self.registry.continuable_versions(now);
        let mixed = versions.0.iter().filter(|(_, versions)| versions.len() > 1);
        let mixed = mixed.map(|(service, _)| ShortHash::of(service.as_str()));
        let mixed = mixed.collect::<Vec<_>>();
        if let Some(step) = self.versions_step(versions, now) {
            return step;
        }
        let step = if mixed.is_empty() {
            self.removal_step(now)
        } else {
            self.origins_step(&mixed, now)
        };
        step.unwrap_or(RecordStep::Sleep(WRITE_INTERVAL))
    }

    /// Keeps the software versions in the store, if this instance follows it.
    fn versions_step(&self, versions: StoredVersions, now: Time) -> Option<RecordStep> {
        let recorder = &self.origins.recorder;
        if !recorder.is_loaded || versions.0.is_empty() || !self.follows_store(now) {
            return None;
        }
        match &recorder.versions {
            Known::Unread => return Some(RecordStep::Read(RecordName::Versions)),
            Known::Present(_, stored) if *stored == versions => return None,
            Known::Present(..) | Known::Absent => {}
        }
        Some(RecordStep::Write(RecordWrite {
            name: RecordName::Versions,
            at: recorder.versions.revision(),
            record: StreamRecord::Versions(versions),
        }))
    }

    /// Stores the origins that this instance keeps of streams of services with several versions.
    fn origins_step(&self, mixed: &[ShortHash], now: Time) -> Option<RecordStep> {
        let recorder = &self.origins.recorder;
        if now < recorder.next_write_at || !self.is_recorder(now) {
            return None;
        }
        let name = RecordName::origins_of(&self.local.name);
        // A former process of this instance may have written some that are needed yet.
        if recorder.origins.is_unread() {
            return Some(RecordStep::Read(name));
        }
        let digest = self.origins.stored_digest(mixed, now);
        if let Known::Present(_, stored) = &recorder.origins
            && *stored == digest
        {
            return None;
        }
        if digest == StreamsDigest::default() {
            return None;
        }
        let streams = self.origins.streams_to_store(mixed, now);
        Some(RecordStep::Write(RecordWrite {
            name,
            at: recorder.origins.revision(),
            record: StreamRecord::Origins(StoredOrigins::encode(streams)),
        }))
    }

    /// Removes origins that nobody needs because no service has several versions.
    fn removal_step(&mut self, now: Time) -> Option<RecordStep> {
        if self.origins.recorder.origins.revision().is_some() {
            let name = RecordName::origins_of(&self.local.name);
            return Some(RecordStep::Remove(name));
        }
        if !self.follows_store(now) {
            return None;
        }
        let leftover = self.origins.recorder.leftovers.pop();
        leftover.map(RecordStep::Remove)
    }

    /// Records all records as read from the store. Returns the number of streams in them.
    pub fn record_listed(&mut self, found: Vec<FoundRecord>, now: Time) -> usize {
        let own = RecordName::origins_of(&self.local.name);
        let is_found = |name: &RecordName| found.iter().any(|record| record.name == *name);
        for name in [&own, &RecordName::Versions] {
            if !is_found(name) {
                self.record_read(name, None, now);
            }
        }
        for record in found {
            if record.name != own && record.name != RecordName::Versions {
                self.origins.recorder.leftovers.push(record.name.clone());
            }
            let name = record.name.clone();
            self.record_read(&name, Some(record), now);
        }
        self.origins.recorder.is_loaded = true;
        self.origins.recalled.count()
    }

    /// Records a record as read from the store; `None` if there is none.
    pub fn record_read(&mut self, name: &RecordName, found: Option<FoundRecord>, now: Time) {
        let is_own = *name == RecordName::origins_of(&self.local.name);
        let revision = found.as_ref().map(|found| found.revision);
        let record = found.and_then(|found| found.record);
        let recorder = &mut self.origins.recorder;
        recorder.backoff = Duration::ZERO;
        match (name, record) {
            (RecordName::Versions, Some(StreamRecord::Versions(stored))) => {
                self.registry.record_stored_versions(&stored, now);
                if let Some(revision) = revision {
                    recorder.versions = Known::Present(revision, stored);
                }
            }
            (RecordName::Versions, _) => {
                recorder.versions = revision.map_or(Known::Absent, |revision| {
                    Known::Present(revision, StoredVersions::default())
                });
            }
            (RecordName::Origins(_), record) => {
                if is_own {
                    let written = StreamsDigest::default();
                    let present = |revision| Known::Present(revision, written);
                    recorder.origins = revision.map_or(Known::Absent, present);
                }
                if let Some(StreamRecord::Origins(stored)) = record {
                    let recorder = if is_own {
                        Recorder::Local
                    } else {
                        Recorder::Other
                    };
                    self.origins.recalled.add(&stored, recorder, now);
                }
            }
        }
    }

    /// Records that a write took effect at a revision.
    pub fn record_written(&mut self, write: RecordWrite, revision: Revision, now: Time) {
        let recorder = &mut self.origins.recorder;
        recorder.backoff = Duration::ZERO;
        match write.record {
            StreamRecord::Versions(versions) => {
                recorder.versions = Known::Present(revision, versions);
            }
            StreamRecord::Origins(stored) => {
                let keys = stored.decode().flat_map(|(_, streams)| streams);
                let digest = StreamsDigest::of(keys.map(|stream| stream.key.number()));
                recorder.origins = Known::Present(revision, digest);
                let bytes = u64::try_from(stored.estimated_bytes()).unwrap_or(u64::MAX);
                let bytes_per_ms = u64::try_from(WRITE_BYTES_PER_S / 1_000).unwrap_or(1);
                let pause = Duration::from_millis(bytes / bytes_per_ms);
                recorder.next_write_at = now + pause.max(WRITE_INTERVAL);
            }
        }
    }

    /// Records that a record was removed, or that there was none.
    pub fn record_removed(&mut self, name: &RecordName) {
        if *name == RecordName::origins_of(&self.local.name) {
            self.origins.recorder.origins = Known::Absent;
        }
    }

    /// Records that a call about a record failed, so that its state is not known.
    pub fn record_call_failed(&mut self, name: &RecordName, now: Time) {
        let own = RecordName::origins_of(&self.local.name);
        let recorder = &mut self.origins.recorder;
        match name {
            RecordName::Versions => recorder.versions = Known::Unread,
            RecordName::Origins(_) if *name == own => recorder.origins = Known::Unread,
            RecordName::Origins(_) => {}
        }
        recorder.back_off(now);
    }

    /// Records that the records could not be listed.
    pub fn record_list_failed(&mut self, now: Time) {
        self.origins.recorder.back_off(now);
    }
}

impl StreamsDigest {
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
