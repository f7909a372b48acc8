//! Origins that a process has read from the store: they were recorded before it started.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bluebellstage_core::Time;

use super::stored::{StoredOrigins, StoredStream};
use super::{OriginRecord, StreamKey, StreamOrigin};

/// Maximum number of origins that are read from the store: those of the largest fleet.
const MAX_RECALLED: usize = 150_000;

/// Who has stored an origin.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Writer {
    /// A former process of this instance.
    FormerProcess,
    /// Another instance.
    Other,
}

#[derive(Clone, Debug)]
struct Recalled {
    origin: Arc<StreamOrigin>,
    read_at: Time,
    expires: Time,
    writer: Writer,
}

/// Origins read from the store.
#[derive(Debug, Default)]
pub(super) struct RecalledOrigins {
    by_key: HashMap<StreamKey, Recalled>,
}

impl RecalledOrigins {
    pub(super) fn count(&self) -> usize {
        self.by_key.len()
    }

    /// Adds what an instance has stored. The store does not say when: the origins are kept as long as if it was now.
    pub(super) fn add(&mut self, stored: &StoredOrigins, writer: Writer, now: Time) {
        for (origin, streams) in stored.decode() {
            let origin = Arc::new(origin.clone());
            for StoredStream { key, left } in streams {
                if self.by_key.len() >= MAX_RECALLED {
                    return;
                }
                let recalled = Recalled {
                    origin: Arc::clone(&origin),
                    read_at: now,
                    expires: now + left,
                    writer,
                };
                self.by_key.insert(key, recalled);
            }
        }
    }

    fn unexpired(&self, key: StreamKey, now: Time) -> Option<&Recalled> {
        let recalled = self.by_key.get(&key)?;
        (now < recalled.expires).then_some(recalled)
    }

    /// Returns the origin of a stream and the time since it was read.
    pub(super) fn get(&self, key: StreamKey, now: Time) -> Option<(&StreamOrigin, Duration)> {
        let recalled = self.unexpired(key, now)?;
        Some((&recalled.origin, now.since(recalled.read_at)))
    }

    /// Returns the origin of a stream for another instance.
    pub(super) fn record(&self, key: StreamKey, now: Time) -> Option<OriginRecord> {
        let recalled = self.unexpired(key, now)?;
        let age = now.since(recalled.read_at);
        let lifetime = recalled.expires.since(recalled.read_at);
        let origin = (*recalled.origin).clone();
        Some(OriginRecord::new(key, origin, age, lifetime))
    }

    /// Returns the origins that a former process of this instance has stored.
    pub(super) fn of_former_process(
        &self,
        now: Time,
    ) -> impl Iterator<Item = (&StreamOrigin, StoredStream)> {
        let recalled = self.by_key.iter();
        let own = recalled.filter(move |(_, recalled)| {
            recalled.writer == Writer::FormerProcess && now < recalled.expires
        });
        own.map(move |(key, recalled)| {
            let left = recalled.expires.since(now);
            (&*recalled.origin, StoredStream { key: *key, left })
        })
    }

    /// Removes expired origins.
    pub(super) fn sweep(&mut self, now: Time) {
        if !self.by_key.is_empty() {
            self.by_key.retain(|_, recalled| now < recalled.expires);
        }
    }
}
