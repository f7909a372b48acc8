//! Reads what targets report about themselves in the heads of their responses.

use std::sync::Arc;
use std::time::Duration;

use bluebellstage_core::{Event, RequestEvent, RequestId, TargetReport, parse_milli};
use reqwest::header::{HeaderMap, RETRY_AFTER};
use reqwest::{Response, StatusCode};

use crate::process::Shell;

/// Header of all responses of a target that leaves; its value is 1.
const LEAVING_HEADER: &str = "Server-Leaving";

/// Returns what a response reports. Malformed headers report nothing.
fn target_report(response: &Response) -> TargetReport {
    let headers = response.headers();
    let mut leaving = headers.get_all(LEAVING_HEADER).iter().peekable();
    let has_leaving = leaving.peek().is_some();
    let all_leaving = leaving.all(|value| value.as_bytes().trim_ascii() == b"1");
    let is_refusal = response.status() == StatusCode::SERVICE_UNAVAILABLE;
    TargetReport {
        is_leaving: has_leaving && all_leaving,
        rest: is_refusal.then(|| requested_rest(headers)).flatten(),
    }
}

/// Returns the rest that a refusal asks for, in seconds that may include a fraction.
fn requested_rest(headers: &HeaderMap) -> Option<Duration> {
    let mut values = headers.get_all(RETRY_AFTER).iter();
    let value = values.next()?;
    if values.next().is_some() {
        return None;
    }
    let milli = parse_milli(value.to_str().ok()?.trim())?;
    (milli > 0).then(|| Duration::from_millis(milli.into()))
}

/// Tells the core what a target reports about itself. Returns the report.
pub(super) fn record_target_report(
    shell: &Arc<Shell>,
    request: RequestId,
    response: &Response,
) -> TargetReport {
    let report = target_report(response);
    if report != TargetReport::default() {
        shell.feed(Event::Request {
            id: request,
            event: RequestEvent::TargetReported(report),
        });
    }
    report
}
