//! Whether the end of a service's answer shows that the answer is whole.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use reqwest::Response;
use reqwest::header::TRANSFER_ENCODING;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Timeout for a connection that shows whether a service still runs.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Pause between two such connections.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which a process that is ending has closed the connections that its listener still accepted.
const CLOSE_DELAY: Duration = Duration::from_millis(5);

/// Whether only the end of the connection marks the end of an answer. It looks alike whether the answer is whole or
/// the service crashed.
pub(super) fn ends_with_connection(response: &Response) -> bool {
    let encodings = response.headers().get_all(TRANSFER_ENCODING).iter();
    let mut encodings = encodings.filter_map(|value| value.to_str().ok());
    let has_chunks = encodings.any(|names| names.to_ascii_lowercase().contains("chunked"));
    !has_chunks && response.content_length().is_none()
}

/// What a new connection to a service that has just closed one shows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ProcessState {
    Runs,
    Ended,
    /// Nothing: the service or the path to it is silent.
    Unknown,
}

/// Whether a service that has just closed a connection still runs, as far as can be told from here.
///
/// One that is silent is asked until it accepts a connection or refuses one: the caller bounds the time.
pub(super) async fn still_runs(address: SocketAddr) -> bool {
    loop {
        match process_state(address).await {
            ProcessState::Runs => return true,
            ProcessState::Ended => return false,
            ProcessState::Unknown => sleep(PROBE_INTERVAL).await,
        }
    }
}

async fn process_state(address: SocketAddr) -> ProcessState {
    match connect(address).await {
        Ok(stream) => {
            let closed = timeout(CLOSE_DELAY, stream.peek(&mut [0])).await;
            if closed.is_err() {
                return ProcessState::Runs;
            }
        }
        Err(kind) => return state_shown_by(kind),
    }
    // A service with too many connections closes new ones, too.
    match connect(address).await {
        Ok(_) => ProcessState::Runs,
        Err(kind) => state_shown_by(kind),
    }
}

/// Returns what a connection that could not be opened shows. Only a refusal is an answer.
const fn state_shown_by(kind: ErrorKind) -> ProcessState {
    match kind {
        ErrorKind::ConnectionRefused => ProcessState::Ended,
        _ => ProcessState::Unknown,
    }
}

async fn connect(address: SocketAddr) -> Result<TcpStream, ErrorKind> {
    let connected = timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await;
    let connected = connected.map_err(|_elapsed| ErrorKind::TimedOut)?;
    connected.map_err(|err| err.kind())
}
