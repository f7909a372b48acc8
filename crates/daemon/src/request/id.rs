//! Names of requests.

use bluebellstage_core::RequestId;

/// A name for a request, drawn at random: unique over all instances and their restarts.
///
/// A caller can't choose it: an engine keeps streams under it, and two callers with one name would
/// get each other's.
pub(crate) fn fresh_request_id() -> RequestId {
    RequestId(rand::random())
}
