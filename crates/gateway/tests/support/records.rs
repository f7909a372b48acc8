//! The store's records of streams in a simulated fleet, which outlive its instances.

use std::collections::BTreeMap;

use bluebellstage_core::Revision;
use bluebellstage_gateway::decide::store::position::Era;
use bluebellstage_gateway::decide::streams::origins::{
    FoundRecord, RecordName, RecordStep, RecordWrite, StoredVersions, StreamRecord,
};
use bluebellstage_gateway::decide::tables::Tables;

use bluebellstage_core::Time;

/// The records of the store.
#[derive(Clone, Debug, Default)]
pub struct Records {
    /// Whether the store rejects all calls.
    pub is_away: bool,
    /// Whether it rejects all writes.
    pub is_read_only: bool,
    objects: BTreeMap<String, (Revision, StreamRecord)>,
    revision: u64,
    era: u32,
    writes: usize,
    calls: usize,
    /// Revision of a record of the software versions that can't be decoded.
    garbled_at: Option<Revision>,
}

impl Records {
    /// Number of calls that wrote or removed something, and of those in vain.
    pub const fn writes(&self) -> usize {
        self.writes
    }

    /// Number of all calls.
    pub const fn calls(&self) -> usize {
        self.calls
    }

    /// Number of objects with origins.
    pub fn origin_objects(&self) -> usize {
        let is_of_origins =
            |(_, record): &&(Revision, StreamRecord)| matches!(record, StreamRecord::Origins(_));
        self.objects.values().filter(is_of_origins).count()
    }

    /// The stored software versions.
    pub fn versions(&self) -> StoredVersions {
        match self.objects.get(&RecordName::Versions.to_string()) {
            Some((_, StreamRecord::Versions(versions))) => versions.clone(),
            _ => StoredVersions::default(),
        }
    }

    /// Restores the objects of a copy.
    pub fn restore(&mut self, copy: &Self) {
        self.objects.clone_from(&copy.objects);
        self.revision = copy.revision;
        self.era += 1;
    }

    /// Lets an instance take steps until it sleeps. Returns when it goes on.
    pub fn serve(&mut self, tables: &mut Tables, is_reached: bool, now: Time) -> Time {
        let is_away = self.is_away || !is_reached;
        loop {
            let step = tables.next_record_step(Era(self.era), now);
            self.calls += usize::from(!matches!(step, RecordStep::Sleep(_)));
            match step {
                RecordStep::Sleep(pause) => return now + pause,
                RecordStep::List if is_away => tables.record_list_failed(now),
                RecordStep::List => {
                    let found = self.objects.keys().filter_map(|name| self.found(name));
                    tables.record_listed(found.collect(), now);
                }
                RecordStep::Read(name) if is_away => tables.record_call_failed(&name, now),
                RecordStep::Read(name) => {
                    tables.record_read(&name, self.found(&name.to_string()), now);
                }
                RecordStep::Write(write) if is_away => {
                    tables.record_call_failed(&write.name, now);
                }
                RecordStep::Write(write) => self.write(write, tables, now),
                RecordStep::Remove(name) if is_away => tables.record_call_failed(&name, now),
                RecordStep::Remove(name) => {
                    self.writes += 1;
                    self.objects.remove(&name.to_string());
                    tables.record_removed(&name);
                }
            }
        }
    }

    /// Replaces the record of the software versions by one that can't be decoded.
    pub fn garble_versions(&mut self) {
        self.revision += 1;
        self.garbled_at = Some(Revision(self.revision));
    }

    /// Whether the record of the software versions can't be decoded.
    pub const fn is_garbled(&self) -> bool {
        self.garbled_at.is_some()
    }

    fn found(&self, name: &str) -> Option<FoundRecord> {
        let name = RecordName::parse(name)?;
        if let Some(revision) = self.garbled_at.filter(|_| name == RecordName::Versions) {
            return Some(FoundRecord {
                name,
                revision,
                record: None,
            });
        }
        let (revision, record) = self.objects.get(&name.to_string())?;
        Some(FoundRecord {
            name,
            revision: *revision,
            record: Some(record.clone()),
        })
    }

    fn write(&mut self, write: RecordWrite, tables: &mut Tables, now: Time) {
        self.writes += 1;
        let name = write.name.to_string();
        let stored = self.objects.get(&name).map(|(revision, _)| *revision);
        let garbled = self
            .garbled_at
            .filter(|_| write.name == RecordName::Versions);
        let known = garbled.or(stored);
        if self.is_read_only || known != write.at {
            tables.record_call_failed(&write.name, now);
            return;
        }
        self.revision += 1;
        let revision = Revision(self.revision);
        if write.name == RecordName::Versions {
            self.garbled_at = None;
        }
        let record = write.record.clone();
        self.objects.insert(name, (revision, record));
        tables.record_written(write, revision, now);
    }
}
