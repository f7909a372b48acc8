//! Ports of a deployment on this machine.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};

use eyre::OptionExt;

/// First of the ports that are tried. They end below the range from which the system takes the ports of outgoing
/// connections, which would take one between its choice and its use.
const FIRST_PORT: u16 = 10_000;
/// Number of ports that are tried.
const PORTS: u16 = 20_000;
/// Distance between the first ports of two processes.
const PORTS_PER_PROCESS: u32 = 100;

static PORTS_TRIED: AtomicU16 = AtomicU16::new(0);

/// So many addresses with ports that were free a moment ago and that this process has not returned before.
///
/// Whoever takes one of them in between makes the process that was to have it end with a message.
///
/// # Errors
///
/// If no port is free.
pub(super) fn free(count: usize) -> eyre::Result<Vec<SocketAddr>> {
    let offset = std::process::id() * PORTS_PER_PROCESS % u32::from(PORTS);
    let offset = u16::try_from(offset).unwrap_or(0);
    let mut found = Vec::new();
    for _ in 0..PORTS {
        if found.len() == count {
            break;
        }
        let tried = PORTS_TRIED.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + offset.wrapping_add(tried) % PORTS;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() {
            found.push(address);
        }
    }
    let is_complete = found.len() == count;
    is_complete
        .then_some(found)
        .ok_or_eyre("no port is free on loopback")
}
