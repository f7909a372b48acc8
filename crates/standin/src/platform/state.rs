//! All that the platform holds.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::watch;

use super::calls::Counted;
use super::lists::Lists;
use super::objects::{Change, Object, Objects, Written};
use super::{CallCounts, PlatformConfig, PlatformLog};
use crate::{Pod, SeenRequest};

#[derive(Debug)]
pub(super) struct PlatformState {
    inner: Mutex<Inner>,
    version: watch::Sender<u64>,
    keep_requests: bool,
}

#[derive(Debug)]
struct Inner {
    objects: Objects,
    lists: Lists,
    log: PlatformLog,
}

impl PlatformState {
    pub(super) fn new(cfg: &PlatformConfig) -> Self {
        let inner = Inner {
            objects: Objects::new(cfg.kept_changes),
            lists: Lists::new(cfg.list_lag),
            log: PlatformLog::default(),
        };
        Self {
            inner: Mutex::new(inner),
            version: watch::Sender::new(0),
            keep_requests: cfg.keep_requests,
        }
    }

    pub(super) fn log(&self) -> PlatformLog {
        let inner = self.lock();
        PlatformLog {
            version: inner.objects.version(),
            ..inner.log.clone()
        }
    }

    pub(super) fn calls(&self) -> CallCounts {
        self.lock().log.calls
    }

    pub(super) fn see(&self, call: Counted, seen: SeenRequest) {
        let mut inner = self.lock();
        inner.log.calls.count(call);
        if self.keep_requests {
            inner.log.seen.push(seen);
        }
    }

    pub(super) fn get(&self, namespace: &str, name: &str) -> Option<Object> {
        self.lock().objects.get(namespace, name)
    }

    pub(super) fn create(&self, namespace: &str, new: Object) -> Written {
        let length = new.data.value.len();
        self.write(length, |objects| objects.create(namespace, new))
    }

    pub(super) fn update(&self, namespace: &str, name: &str, new: Object) -> Written {
        let length = new.data.value.len();
        self.write(length, |objects| objects.update(namespace, name, new))
    }

    pub(super) fn remove(&self, namespace: &str, name: &str) -> bool {
        let mut inner = self.lock();
        let removed = inner.objects.remove(namespace, name);
        self.version.send_replace(inner.objects.version());
        removed
    }

    pub(super) fn versions(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }

    pub(super) fn changes_after(&self, namespace: &str, version: u64) -> Option<Vec<Change>> {
        self.lock().objects.changes_after(namespace, version)
    }

    pub(super) fn pods(&self) -> Vec<Pod> {
        self.lock().lists.current().cloned().collect()
    }

    pub(super) fn list(&self, label: &str, value: &str) -> Vec<Pod> {
        self.lock().lists.lagging(label, value)
    }

    pub(super) fn put_pod(&self, pod: Pod) {
        self.lock().lists.change(|pods| {
            pods.insert(pod.metadata.name.clone(), pod);
        });
    }

    pub(super) fn remove_pod(&self, name: &str) {
        self.lock().lists.change(|pods| {
            pods.remove(name);
        });
    }

    /// Merges notes into a pod; false if there is none.
    pub(super) fn patch_pod(&self, name: &str, patch: &Pod) -> bool {
        let mut inner = self.lock();
        if !inner.lists.contains(name) {
            return false;
        }
        inner.lists.change(|pods| {
            let Some(pod) = pods.get_mut(name) else {
                return;
            };
            let from = patch.metadata.clone();
            pod.metadata.annotations.extend(from.annotations);
            pod.metadata.labels.extend(from.labels);
        });
        true
    }

    pub(super) fn set_list_lag(&self, lag: Duration) {
        self.lock().lists.lag = lag;
    }

    fn write(&self, length: usize, write: impl FnOnce(&mut Objects) -> Written) -> Written {
        let mut inner = self.lock();
        let written = write(&mut inner.objects);
        match &written {
            Written::Done(_) => inner.log.written_bytes += length as u64,
            Written::Conflict => inner.log.conflicts += 1,
            Written::Missing | Written::TooLarge | Written::Malformed => {}
        }
        self.version.send_replace(inner.objects.version());
        written
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
