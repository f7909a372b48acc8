//! Sockets and their options.

use std::net::SocketAddr;
use std::time::Duration;

use socket2::{Domain, SockRef, Socket, TcpKeepalive, Type};
use tokio::net::{TcpListener, TcpStream};

use crate::decide::memory_budget::MIN_RECEIVE_WINDOW;

use super::keepalive;
use super::log::{LogEvent, event};

/// Length of the accept queue. A full queue costs the caller a second.
const BACKLOG: i32 = 1_024;
/// Bytes that the kernel is asked to buffer of what a caller does not take, if memory is limited.
const SEND_BUFFER: usize = 64 * 1_024;

/// Sets the options of a connection. A failure is only logged: it costs speed or makes a timeout later.
pub(super) fn set_options(stream: &TcpStream) {
    let sock = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(keepalive::IDLE)
        .with_interval(keepalive::INTERVAL)
        .with_retries(keepalive::RETRIES);
    let set = sock
        .set_tcp_nodelay(true)
        .and_then(|()| sock.set_tcp_user_timeout(Some(keepalive::USER_TIMEOUT)))
        .and_then(|()| sock.set_tcp_keepalive(&keepalive));
    log_failure(set);
}

fn log_failure(set: std::io::Result<()>) {
    if let Err(err) = set {
        event(LogEvent::SocketOption, &[("cause", &err.to_string())]);
    }
}

/// Makes the close of a connection reset it. A failure is only logged.
pub(super) fn set_reset_on_close(stream: &TcpStream) {
    log_failure(SockRef::from(stream).set_linger(Some(Duration::ZERO)));
}

/// Bounds what the kernel buffers in each direction of a listener's connections. What is not read counts against the
/// memory limit of the process, also before a connection is accepted. A failure is only logged.
pub(super) fn limit_buffers(listener: &TcpListener) {
    let sock = SockRef::from(listener);
    let set = sock
        .set_send_buffer_size(SEND_BUFFER)
        .and_then(|()| sock.set_recv_buffer_size(MIN_RECEIVE_WINDOW));
    log_failure(set);
}

/// Sets how many bytes the kernel is asked to buffer of what a caller sends. A failure is only logged.
pub(super) fn set_receive_window(stream: &TcpStream, bytes: usize) {
    log_failure(SockRef::from(stream).set_recv_buffer_size(bytes));
}

/// Opens a listener on an address.
pub(super) fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let sock = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    sock.set_reuse_address(true)?;
    sock.set_nonblocking(true)?;
    sock.bind(&address.into())?;
    sock.listen(BACKLOG)?;
    TcpListener::from_std(sock.into())
}

/// Connects to an address; fails with `TimedOut` after `timeout`.
pub(super) async fn connect(address: SocketAddr, timeout: Duration) -> std::io::Result<TcpStream> {
    let connecting = tokio::time::timeout(timeout, TcpStream::connect(address));
    let stream = connecting
        .await
        .map_err(|_elapsed| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
    set_options(&stream);
    Ok(stream)
}
