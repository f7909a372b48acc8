//! How this process speaks HTTP as a client.

use bluebellstage_gateway::net::keepalive;
use reqwest::ClientBuilder;
use reqwest::redirect::Policy;

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
