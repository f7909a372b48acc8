//! Takes retries out of the budget, and tells of them.

use bluebellstage_core::ServiceId;

use crate::decide::retry_budget::RetryCause;
use crate::edge::Edge;

use super::log::{LogEvent, event};
use super::node::Node;

/// Takes a retry of a request out of its service's budget. Returns false if the budget is used up.
pub(super) fn take_retry<E: Edge>(
    node: &Node<E>,
    service: &ServiceId,
    request: &str,
    cause: RetryCause,
) -> bool {
    let now = node.now();
    let is_within_budget = node.tables().take_retry(service, now);
    node.metrics.retries.retry(service, cause, is_within_budget);
    if is_within_budget {
        let fields = [
            ("request", request),
            ("service", service.as_str()),
            ("cause", cause.name()),
        ];
        event(LogEvent::RequestRetried, &fields);
    }
    is_within_budget
}
