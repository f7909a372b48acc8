//! A response together with the report on it.

use http::Response;

use super::forwarded_request::ForwardReport;
use super::local_response::ResponseBody;

/// A response to a request, and what became of the request. A peer that forwarded it learns of its runs from the report, so
/// there is none without one, whoever made it.
#[derive(Debug)]
pub(super) struct ReportedResponse {
    pub(super) res: Response<ResponseBody>,
    pub(super) report: ForwardReport,
}

impl ReportedResponse {
    /// Returns the response for a caller.
    pub(super) fn into_response(self) -> Response<ResponseBody> {
        self.res
    }

    /// Returns the response for the peer that forwarded the request.
    pub(super) fn into_forwarded(self) -> Response<ResponseBody> {
        let Self { mut res, report } = self;
        report.add_to(res.headers_mut());
        res
    }
}
