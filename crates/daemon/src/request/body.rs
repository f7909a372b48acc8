//! Reading a caller's body: whole, in bounds, in time.

use std::time::Duration;

use bluebellstage_core::{Refusal, RefusalKind};
use rocket::Request;
use rocket::data::{ByteUnit, Data, DataStream};
use tokio::io::AsyncReadExt;
use tokio::time::timeout;

use crate::settings::Limits;

use super::Refused;
use super::body_memory::{BodyHold, OutOfMemory};

/// Capacity of the buffer for a body of unknown length, in bytes.
const FIRST_CAPACITY: usize = 16 * 1_024;
/// When a caller may come again whose body had no room.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Why a body was not read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum BodyError {
    /// It can't be served as it is.
    Refused(RefusalKind),
    /// There is no memory for it now.
    OutOfMemory,
}

impl From<OutOfMemory> for BodyError {
    fn from(OutOfMemory: OutOfMemory) -> Self {
        Self::OutOfMemory
    }
}

impl From<BodyError> for Refused {
    fn from(err: BodyError) -> Self {
        match err {
            BodyError::Refused(kind) => Self::at_door(kind),
            BodyError::OutOfMemory => {
                Self::unnamed(Refusal::retry_after(RefusalKind::Overloaded, RETRY_AFTER))
            }
        }
    }
}

/// Reads the body, whose bytes are counted by `hold` before they are received.
///
/// # Errors
/// [`RefusalKind::TooLarge`] as soon as the length that the caller states, or what it sent, is over
/// the limit; [`RefusalKind::SenderTimeout`] if it takes too long; [`RefusalKind::Malformed`] if
/// the connection broke before the body was whole; [`RefusalKind::Overloaded`] if there is no memory for it.
pub(crate) async fn read_body(
    request: &Request<'_>,
    data: Data<'_>,
    limits: &Limits,
    hold: &mut BodyHold,
) -> Result<Vec<u8>, Refused> {
    let stated = stated_length(request).map_err(Refused::at_door)?;
    if stated.is_some_and(|length| length > limits.body_bytes) {
        return Err(Refused::at_door(RefusalKind::TooLarge));
    }
    let mut buf = Vec::new();
    if let Some(length) = stated {
        let length = usize::try_from(length).unwrap_or(usize::MAX);
        let grown = grow(&mut buf, length, hold).await;
        grown.map_err(BodyError::from)?;
    }
    // One byte over the limit: a body of exactly the limit is told from one that was cut there.
    let stream = data.open(ByteUnit::Byte(limits.body_bytes.saturating_add(1)));
    let max_len = match stated {
        Some(_) => buf.capacity(),
        None => usize::try_from(limits.body_bytes.saturating_add(1)).unwrap_or(usize::MAX),
    };
    let reading = receive(stream, &mut buf, max_len, hold);
    let read = timeout(limits.body_timeout, reading).await;
    read.unwrap_or(Err(BodyError::Refused(RefusalKind::SenderTimeout)))?;
    hold.end_receiving();
    let length = u64::try_from(buf.len()).unwrap_or(u64::MAX);
    if length > limits.body_bytes {
        return Err(Refused::at_door(RefusalKind::TooLarge));
    }
    // A body cut short by the sender must not be taken for a whole one.
    if stated.is_some_and(|stated| stated != length) {
        return Err(Refused::at_door(RefusalKind::Malformed));
    }
    Ok(buf)
}

/// Receives a body to its end, or to `max_len` bytes. A buffer that is too short doubles, up to that length.
async fn receive(
    mut stream: DataStream<'_>,
    buf: &mut Vec<u8>,
    max_len: usize,
    hold: &mut BodyHold,
) -> Result<(), BodyError> {
    while buf.len() < max_len {
        if buf.len() == buf.capacity() {
            let doubled = buf.capacity().max(FIRST_CAPACITY);
            grow(buf, doubled.min(max_len - buf.len()), hold).await?;
        }
        let read = stream.read_buf(buf).await;
        let count = read.map_err(|_broken| BodyError::Refused(RefusalKind::Malformed))?;
        if count == 0 {
            break;
        }
    }
    Ok(())
}

async fn grow(buf: &mut Vec<u8>, more: usize, hold: &mut BodyHold) -> Result<(), OutOfMemory> {
    hold.add(more).await?;
    buf.reserve_exact(more);
    Ok(())
}

fn stated_length(request: &Request<'_>) -> Result<Option<u64>, RefusalKind> {
    let Some(raw) = request.headers().get_one("Content-Length") else {
        return Ok(None);
    };
    raw.parse()
        .map(Some)
        .map_err(|_not_a_number| RefusalKind::Malformed)
}
