//! How the end of a response's body is marked.

use http::{header, response};
use hyper::body::{Body, Incoming};

/// How the end of a response's body is marked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Framing {
    /// By its length or its last chunk: a body without it is incomplete.
    Explicit,
    /// By the end of the connection, which looks alike whether the body is complete or its sender crashed.
    Connection,
}

impl Framing {
    pub(super) fn of(parts: &response::Parts, body: &Incoming) -> Self {
        let encodings = parts.headers.get_all(header::TRANSFER_ENCODING).iter();
        let encodings = encodings.filter_map(|value| value.to_str().ok());
        let mut encodings = encodings.flat_map(|value| value.split(','));
        let has_chunks = encodings.any(|name| name.trim().eq_ignore_ascii_case("chunked"));
        if has_chunks || body.size_hint().exact().is_some() {
            Self::Explicit
        } else {
            Self::Connection
        }
    }
}
