//! The kernel's table of TCP connections.

use std::collections::BTreeSet;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};
use std::path::Path;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

const TABLES: [&str; 2] = ["/proc/net/tcp", "/proc/net/tcp6"];

/// State of a connection that both ends hold open.
const ESTABLISHED: &str = "01";

const LOCAL_COLUMN: usize = 1;
const REMOTE_COLUMN: usize = 2;
const STATE_COLUMN: usize = 3;

/// The far ends of connections that this machine's `port` has open; none where the kernel shows no
/// table.
///
/// The HTTP library tells a handler nothing about its connection before the first byte of an
/// answer, nor when the last one left. The kernel knows both. A connection that the far end closed
/// is in another state and doesn't count.
pub(crate) fn open_connections(port: u16) -> Option<BTreeSet<SocketAddr>> {
    let mut open = BTreeSet::new();
    let mut is_readable = false;
    for table in TABLES {
        if let Ok(text) = std::fs::read_to_string(Path::new(table)) {
            is_readable = true;
            open.extend(text.lines().filter_map(|line| far_end(line, port)));
        }
    }
    is_readable.then_some(open)
}

fn far_end(line: &str, port: u16) -> Option<SocketAddr> {
    let columns: Vec<_> = line
        .split_ascii_whitespace()
        .take(STATE_COLUMN + 1)
        .collect();
    let state = *columns.get(STATE_COLUMN)?;
    if state != ESTABLISHED {
        return None;
    }
    let local = address(columns.get(LOCAL_COLUMN)?)?;
    if local.port() != port {
        return None;
    }
    address(columns.get(REMOTE_COLUMN)?)
}

/// Parses `0100007F:1F90`: words in the machine's byte order, then the port.
fn address(raw: &str) -> Option<SocketAddr> {
    let (ip, port) = raw.split_once(':')?;
    let port = u16::from_str_radix(port, 16).ok()?;
    let words: Vec<u32> = (0..ip.len())
        .step_by(8)
        .map(|at| u32::from_str_radix(ip.get(at..at + 8)?, 16).ok())
        .collect::<Option<_>>()?;
    let ip = match words.as_slice() {
        [word] => IpAddr::V4(Ipv4Addr::from(word.to_ne_bytes())),
        [a, b, c, d] => {
            let mut bytes = [0; 16];
            for (chunk, word) in bytes.chunks_exact_mut(4).zip([a, b, c, d]) {
                chunk.copy_from_slice(&word.to_ne_bytes());
            }
            Ipv6Addr::from(bytes).to_canonical()
        }
        _ => return None,
    };
    Some(SocketAddr::new(ip, port))
}

/// Which callers are still connected, read from the kernel's table once in a while.
#[derive(Debug)]
pub(crate) struct CallerSockets {
    port: u16,
    snapshots: Mutex<Snapshots>,
}

/// The last two readings of the table, the newer one first.
///
/// The kernel hands a long table out in pieces and may skip a line when another one goes meanwhile:
/// only a connection that two readings in a row lack counts as gone.
#[derive(Debug, Default)]
struct Snapshots([Option<Snapshot>; 2]);

#[derive(Debug)]
struct Snapshot {
    taken: Instant,
    open: BTreeSet<SocketAddr>,
}

impl CallerSockets {
    /// Watches the connections to the callers' port.
    pub(crate) fn new(port: u16) -> Self {
        Self {
            port,
            snapshots: Mutex::default(),
        }
    }

    /// Whether a caller whose request arrived at `arrived` has gone by now, as far as is known.
    ///
    /// Only readings after the arrival count: an older one can't show the connection yet.
    pub(crate) fn is_gone(&self, caller: SocketAddr, arrived: Instant) -> bool {
        let caller = SocketAddr::new(caller.ip().to_canonical(), caller.port());
        let snapshots = self
            .snapshots
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let lacks =
            |snapshot: &Snapshot| snapshot.taken > arrived && !snapshot.open.contains(&caller);
        let Snapshots(both) = &*snapshots;
        both.iter().all(|one| one.as_ref().is_some_and(lacks))
    }

    /// Reads the table until the task is dropped, as long as `is_wanted` says that someone waits.
    pub(crate) async fn watch(&self, every: Duration, is_wanted: impl Fn() -> bool) {
        let port = self.port;
        loop {
            tokio::time::sleep(every).await;
            if !is_wanted() {
                continue;
            }
            let taken = Instant::now();
            // On a thread for blocking work: a table of many connections takes milliseconds.
            let read = tokio::task::spawn_blocking(move || open_connections(port));
            let open = read.await.unwrap_or(None);
            let newer = open.map(|open| Snapshot { taken, open });
            let mut snapshots = self
                .snapshots
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            let Snapshots([newest, older]) = &mut *snapshots;
            *older = std::mem::replace(newest, newer);
        }
    }
}
