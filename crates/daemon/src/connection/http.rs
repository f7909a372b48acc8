//! How this process speaks HTTP as a client.

use bluebellstage_gateway::net::keepalive;
use futures::StreamExt;
use reqwest::redirect::Policy;
use reqwest::{ClientBuilder, Response};
use serde::de::DeserializeOwned;

/// A client that sends each request once, to the address it was given.
///
/// Each default that is switched off here would be a second run or a wrong target for a call that
/// may not be repeated: redirects that the library follows, repeats of its own, and proxies named
/// by environment variables.
///
/// The library's own keep-alive options end a connection whose run is silent for 30 s if the only probe in that
/// time, after 15 s, is lost.
pub fn http_client() -> ClientBuilder {
    reqwest::Client::builder()
        .redirect(Policy::none())
        .retry(reqwest::retry::never())
        .no_proxy()
        .referer(false)
        .http1_only()
        .tcp_nodelay(true)
        .tcp_keepalive(keepalive::IDLE)
        .tcp_keepalive_interval(keepalive::INTERVAL)
        .tcp_keepalive_retries(keepalive::RETRIES)
        .tcp_user_timeout(keepalive::USER_TIMEOUT)
}

/// Reads a body of at most `max_bytes`; none if it is longer or breaks off. Whoever calls bounds the time.
pub(crate) async fn read_body(response: Response, max_bytes: u64) -> Option<Vec<u8>> {
    let mut chunks = response.bytes_stream();
    let mut body = Vec::new();
    while let Some(chunk) = chunks.next().await {
        body.extend_from_slice(&chunk.ok()?);
        if body.len() as u64 > max_bytes {
            return None;
        }
    }
    Some(body)
}

/// Reads JSON of at most `max_bytes`; none if it is longer, breaks off or doesn't parse.
pub(crate) async fn read_json<T: DeserializeOwned>(
    response: Response,
    max_bytes: u64,
) -> Option<T> {
    let body = read_body(response, max_bytes).await?;
    serde_json::from_slice(&body).ok()
}
