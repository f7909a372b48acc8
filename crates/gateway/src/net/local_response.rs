//! Responses that the instance itself generates.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use rand::Rng;

use crate::decide::retry_after::{
    when_nothing_can_run, when_room_comes, when_share_is_back, when_targets_rest,
};
use crate::decide::tables::Refusal;
use crate::edge::Protocol;

/// Body of any response.
pub(super) type ResponseBody = UnsyncBoxBody<Bytes, std::io::Error>;

/// Returns a body of the given bytes.
pub(super) fn full_body(bytes: Bytes) -> ResponseBody {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Returns a response with a message of this instance.
pub(super) fn error_response<P: Protocol>(
    protocol: &P,
    status: StatusCode,
    message: &str,
    retry_after: Option<Duration>,
) -> Response<ResponseBody> {
    let mut res = Response::new(full_body(protocol.error_body(message)));
    *res.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    res.headers_mut().insert(header::CONTENT_TYPE, json);
    if let Some(after) = retry_after {
        let text = format!("{:.2}", after.as_secs_f64());
        if let Ok(value) = HeaderValue::try_from(text) {
            res.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    res
}

/// Minimum delay before a rejected caller retries. Short enough that the second attempt can be served in time.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(80);
/// Range over which the retries of callers that are rejected at the same moment are spread.
const RETRY_AFTER_SPREAD: Duration = Duration::from_millis(240);

/// Returns a random delay after which a caller should retry when targets are full or missing.
pub(super) fn spread_retry_after() -> Duration {
    let fraction = rand::rng().random_range(0.0..1.0);
    MIN_RETRY_AFTER + RETRY_AFTER_SPREAD.mul_f64(fraction)
}

/// Returns the delay after which a caller with this timeout should retry when nothing can run its request.
pub(super) fn late_retry_after(timeout: Option<Duration>) -> Duration {
    when_nothing_can_run(timeout, rand::rng().random_range(0.0..1.0))
}

/// Returns the delay after which a caller with this timeout should retry when all targets rest, the first of them
/// for `left`.
pub(super) fn rest_retry_after(left: Duration, timeout: Option<Duration>) -> Duration {
    when_targets_rest(left, timeout, rand::rng().random_range(0.0..1.0))
}

/// Returns the delay after which a caller with this timeout should retry when there is room for its request after
/// `room_in`.
pub(super) fn room_retry_after(room_in: Duration, timeout: Option<Duration>) -> Duration {
    when_room_comes(room_in, timeout, rand::rng().random_range(0.0..1.0))
}

/// Returns the delay after which a caller with this timeout should retry whose workspace has its share back after
/// `back_in`.
pub(super) fn share_retry_after(back_in: Duration, timeout: Option<Duration>) -> Duration {
    when_share_is_back(back_in, timeout, rand::rng().random_range(0.0..1.0))
}

/// Returns the response to a rejected request. Every status below means that the request has not run.
pub(super) fn refusal_response<P: Protocol>(
    protocol: &P,
    refusal: &Refusal,
    timeout: Option<Duration>,
) -> Response<ResponseBody> {
    let unavailable = StatusCode::SERVICE_UNAVAILABLE;
    let soon = Some(spread_retry_after());
    let (status, message, after) = match *refusal {
        Refusal::NotConfigured => (unavailable, "no configuration yet: try again", soon),
        Refusal::StoreUnreachable => (
            unavailable,
            "no configuration, and the store does not respond: try again",
            Some(late_retry_after(timeout)),
        ),
        Refusal::Stopping => (unavailable, "this instance stops: use another one", soon),
        Refusal::NoRoute => (
            StatusCode::NOT_FOUND,
            "no route for this host and path: check both",
            None,
        ),
        Refusal::UnknownKey => (
            StatusCode::UNAUTHORIZED,
            "unknown key: use one of your workspace's current keys",
            None,
        ),
        Refusal::MalformedConfig => (
            unavailable,
            "the configuration of this route, service or key can't be read: try again",
            Some(late_retry_after(timeout)),
        ),
        Refusal::OverQuota { retry_after, .. } => (
            StatusCode::TOO_MANY_REQUESTS,
            "the workspace's quota is used up: wait, or ask for a larger one",
            Some(retry_after),
        ),
        Refusal::Full => (unavailable, "all targets are full: try again", soon),
        Refusal::NoTarget => (
            unavailable,
            "no target can run this: try again",
            Some(late_retry_after(timeout)),
        ),
    };
    error_response(protocol, status, message, after)
}
