//! Whether the end of a service's answer shows that the answer is whole.

use std::net::SocketAddr;
use std::time::Duration;

use reqwest::Response;
use reqwest::header::TRANSFER_ENCODING;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Timeout for a connection that shows whether a service still runs.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
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

/// Whether a service that has just closed a connection still runs, as far as can be told from here.
pub(super) async fn still_runs(address: SocketAddr) -> bool {
    let Some(stream) = connect(address).await else {
        return false;
    };
    let closed = timeout(CLOSE_DELAY, stream.peek(&mut [0])).await;
    // A service with too many connections closes new ones, too.
    closed.is_err() || connect(address).await.is_some()
}

async fn connect(address: SocketAddr) -> Option<TcpStream> {
    let connected = timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await;
    connected.ok()?.ok()
}
