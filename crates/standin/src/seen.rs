//! What reached a stand-in.

use std::convert::Infallible;

use rocket::data::{Data, ToByteUnit};
use rocket::request::{FromRequest, Outcome, Request};
use serde::{Deserialize, Serialize};

use crate::clock::{Micros, now};

/// Longest body that a stand-in reads, in mebibytes; over the platform's limit on objects.
const BODY_LIMIT_MIB: u64 = 4;

/// A request as it arrived, with all that could carry a key.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct SeenRequest {
    /// When it arrived.
    pub at: Micros,
    /// Method.
    pub method: Box<str>,
    /// Path.
    pub path: Box<str>,
    /// Query, as sent.
    pub query: Box<str>,
    /// Headers in the order of arrival.
    pub headers: Vec<SeenHeader>,
    /// Body; bytes that are no text are replaced.
    pub body: Box<str>,
}

/// A header as it arrived.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct SeenHeader {
    /// Name.
    pub name: Box<str>,
    /// Value.
    pub value: Box<str>,
}

impl SeenRequest {
    /// The value of a header, by its name in any case.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|header| header.name.eq_ignore_ascii_case(name))
            .map(|header| &*header.value)
    }

    /// Whether `needle` stands in the path, the query, a header or the body.
    #[must_use]
    pub fn contains(&self, needle: &str) -> bool {
        let in_headers = self
            .headers
            .iter()
            .any(|header| header.name.contains(needle) || header.value.contains(needle));
        in_headers
            || self.path.contains(needle)
            || self.query.contains(needle)
            || self.body.contains(needle)
    }

    /// Reads the body; false if it was over the limit or broke off.
    pub(crate) async fn read_body(&mut self, data: Data<'_>) -> bool {
        let read = data.open(BODY_LIMIT_MIB.mebibytes()).into_bytes().await;
        let Ok(bytes) = read else {
            return false;
        };
        let complete = bytes.is_complete();
        self.body = String::from_utf8_lossy(&bytes.into_inner()).into();
        complete
    }
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for SeenRequest {
    type Error = Infallible;

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, Infallible> {
        let headers = request.headers().iter().map(|header| SeenHeader {
            name: header.name().as_str().into(),
            value: header.value().into(),
        });
        Outcome::Success(Self {
            at: now(),
            method: request.method().as_str().into(),
            path: request.uri().path().as_str().into(),
            query: request
                .uri()
                .query()
                .map_or("", |query| query.as_str())
                .into(),
            headers: headers.collect(),
            body: "".into(),
        })
    }
}
