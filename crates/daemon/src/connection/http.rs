//! How this process speaks HTTP as a client.

use reqwest::ClientBuilder;
use reqwest::redirect::Policy;

/// A client that sends each request once, to the address it was given.
///
/// Each default that is switched off here would be a second run or a wrong target for a call that
/// may not be repeated: redirects that the library follows, repeats of its own, and proxies named
/// by environment variables.
pub(crate) fn http_client() -> ClientBuilder {
    reqwest::Client::builder()
        .redirect(Policy::none())
        .retry(reqwest::retry::never())
        .no_proxy()
        .referer(false)
        .http1_only()
        .tcp_nodelay(true)
}
