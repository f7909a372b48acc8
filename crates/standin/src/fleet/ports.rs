//! Free ports on loopback.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};

use eyre::WrapErr;

/// So many addresses with ports that were free a moment ago.
///
/// Settings name their ports, and two instances must know each other's before either runs; the
/// listeners are held until all are found, so that no port is given twice.
///
/// # Errors
/// If no port is free.
pub(super) fn free(count: usize) -> eyre::Result<Vec<SocketAddr>> {
    let listeners = (0..count).map(|_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0)));
    let listeners: Vec<_> = listeners
        .collect::<Result<_, _>>()
        .wrap_err("no port is free on loopback")?;
    let addresses = listeners.iter().map(TcpListener::local_addr);
    addresses
        .collect::<Result<_, _>>()
        .wrap_err("a port's number can't be read")
}
