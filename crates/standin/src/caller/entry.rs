//! Which instances a caller uses, and for how long it keeps the answer.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use reqwest::Client;
use serde::Deserialize;

/// Time for one instance to say which to use.
const ENTRY_LIMIT: Duration = Duration::from_secs(1);

/// The answer of `/v1/entry`.
#[derive(Debug, Deserialize)]
struct Entry {
    addresses: Vec<SocketAddr>,
    max_age_ms: u64,
}

/// The last answer, kept for as long as it allows.
#[derive(Debug)]
pub(super) struct EntryCache {
    http: Client,
    known: Vec<SocketAddr>,
    turn: AtomicU64,
    kept: Mutex<Kept>,
}

#[derive(Debug)]
struct Kept {
    addresses: Vec<SocketAddr>,
    until: Instant,
}

impl EntryCache {
    pub(super) fn new(http: Client, known: Vec<SocketAddr>, seed: u64) -> Self {
        Self {
            http,
            known,
            turn: AtomicU64::new(seed),
            kept: Mutex::new(Kept {
                addresses: Vec::new(),
                until: Instant::now(),
            }),
        }
    }

    /// An instance to use; none if nobody says which.
    pub(super) async fn pick(&self) -> Option<SocketAddr> {
        if let Some(address) = self.next_kept() {
            return Some(address);
        }
        for _ in 0..self.known.len() {
            let asked = self.turn(&self.known)?;
            if let Some(entry) = self.ask(asked).await {
                let mut kept = self.kept();
                kept.until = Instant::now() + Duration::from_millis(entry.max_age_ms);
                kept.addresses = entry.addresses;
                drop(kept);
                return self.next_kept();
            }
        }
        None
    }

    /// Leaves an instance out until the next answer; without others, asks again at once.
    pub(super) fn avoid(&self, address: SocketAddr) {
        let mut kept = self.kept();
        kept.addresses.retain(|other| *other != address);
    }

    fn next_kept(&self) -> Option<SocketAddr> {
        let kept = self.kept();
        if kept.until < Instant::now() {
            return None;
        }
        self.turn(&kept.addresses)
    }

    async fn ask(&self, address: SocketAddr) -> Option<Entry> {
        let url = format!("http://{address}/v1/entry");
        let request = self.http.get(url).timeout(ENTRY_LIMIT);
        let response = request.send().await.ok()?.error_for_status().ok()?;
        let entry: Entry = response.json().await.ok()?;
        (!entry.addresses.is_empty()).then_some(entry)
    }

    /// One after the other, each caller from a place of its own.
    fn turn(&self, addresses: &[SocketAddr]) -> Option<SocketAddr> {
        if addresses.is_empty() {
            return None;
        }
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        let index = usize::try_from(turn % addresses.len() as u64).unwrap_or(0);
        addresses.get(index).copied()
    }

    fn kept(&self) -> MutexGuard<'_, Kept> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
