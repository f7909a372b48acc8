//! Reading a caller's body: whole, in bounds, in time.

use bluebellstage_core::RefusalKind;
use rocket::Request;
use rocket::data::{ByteUnit, Data};
use tokio::time::timeout;

use crate::settings::Limits;

/// Reads the body.
///
/// # Errors
/// [`RefusalKind::TooLarge`] as soon as the length that the caller states, or what it sent, is over
/// the limit; [`RefusalKind::SenderTimeout`] if it takes too long; [`RefusalKind::Malformed`] if
/// the connection broke before the body was whole.
pub(crate) async fn read_body(
    request: &Request<'_>,
    data: Data<'_>,
    limits: &Limits,
) -> Result<Vec<u8>, RefusalKind> {
    let stated = stated_length(request)?;
    if stated.is_some_and(|length| length > limits.body_bytes) {
        return Err(RefusalKind::TooLarge);
    }
    // One byte over the limit: a body of exactly the limit is told from one that was cut there.
    let stream = data.open(ByteUnit::Byte(limits.body_bytes.saturating_add(1)));
    let read = timeout(limits.body_timeout, stream.into_bytes()).await;
    let body = match read {
        Ok(Ok(body)) => body.into_inner(),
        Ok(Err(_broken)) => return Err(RefusalKind::Malformed),
        Err(_elapsed) => return Err(RefusalKind::SenderTimeout),
    };
    let length = u64::try_from(body.len()).unwrap_or(u64::MAX);
    if length > limits.body_bytes {
        return Err(RefusalKind::TooLarge);
    }
    // A body cut short by the sender must not be taken for a whole one.
    if stated.is_some_and(|stated| stated != length) {
        return Err(RefusalKind::Malformed);
    }
    Ok(body)
}

fn stated_length(request: &Request<'_>) -> Result<Option<u64>, RefusalKind> {
    let Some(raw) = request.headers().get_one("Content-Length") else {
        return Ok(None);
    };
    raw.parse()
        .map(Some)
        .map_err(|_not_a_number| RefusalKind::Malformed)
}
