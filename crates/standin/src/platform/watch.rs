//! A watch under way.

use std::sync::Arc;

use futures::StreamExt;
use futures::stream::{self, BoxStream};
use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};

use super::objects::Change;
use super::state::PlatformState;
use crate::{CallKind, Faults};

/// Where a watch stands.
pub(super) struct WatchCursor {
    pub(super) held: Arc<PlatformState>,
    pub(super) faults: Arc<Faults>,
    pub(super) versions: watch::Receiver<u64>,
    pub(super) namespace: Box<str>,
    pub(super) after: u64,
    pub(super) until: Instant,
}

impl WatchCursor {
    pub(super) fn lines(self) -> BoxStream<'static, Vec<u8>> {
        stream::unfold(self, Self::next).boxed()
    }

    async fn next(mut self) -> Option<(Vec<u8>, Self)> {
        loop {
            self.versions.borrow_and_update();
            let changes = self.held.changes_after(&self.namespace, self.after)?;
            if let Some(last) = changes.last() {
                self.after = last.version;
                self.faults.thaw(CallKind::Watch).await;
                return Some((lines(&changes), self));
            }
            timeout_at(self.until, self.versions.changed())
                .await
                .ok()?
                .ok()?;
        }
    }
}

fn lines(changes: &[Change]) -> Vec<u8> {
    let mut buf = Vec::new();
    for change in changes {
        buf.extend(serde_json::to_vec(change).unwrap_or_default());
        buf.push(b'\n');
    }
    buf
}
