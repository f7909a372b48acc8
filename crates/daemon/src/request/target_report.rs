//! Reads what targets report about themselves in the heads of their responses.

use std::sync::Arc;

use bluebellstage_core::{Event, RequestEvent, RequestId, TargetReport};
use reqwest::Response;

use crate::process::Shell;

/// Header of all responses of a target that leaves; its value is 1.
const LEAVING_HEADER: &str = "Server-Leaving";

/// Returns what a response reports. Malformed headers report nothing.
fn target_report(response: &Response) -> TargetReport {
    let headers = response.headers();
    let mut leaving = headers.get_all(LEAVING_HEADER).iter().peekable();
    let has_leaving = leaving.peek().is_some();
    let all_leaving = leaving.all(|value| value.as_bytes().trim_ascii() == b"1");
    TargetReport {
        is_leaving: has_leaving && all_leaving,
    }
}

/// Tells the core what a target reports about itself.
pub(super) fn record_target_report(shell: &Arc<Shell>, request: RequestId, response: &Response) {
    let report = target_report(response);
    if report != TargetReport::default() {
        shell.feed(Event::Request {
            id: request,
            event: RequestEvent::TargetReported(report),
        });
    }
}
