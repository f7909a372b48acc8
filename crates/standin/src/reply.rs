//! Answers of the stand-ins.

use std::io::Cursor;

use futures::StreamExt;
use futures::stream::BoxStream;
use rocket::http::{ContentType, Status};
use rocket::request::Request;
use rocket::response::stream::ReaderStream;
use rocket::response::{self, Responder, Response};
use serde::Serialize;

/// An answer, or none.
pub(crate) enum Reply {
    /// A whole JSON answer.
    Json(Status, Vec<u8>),
    /// A streamed answer.
    Stream {
        kind: StreamKind,
        /// Length in bytes; a stream that ends before it is seen by the client as broken off.
        length: Option<usize>,
        body: BoxStream<'static, Vec<u8>>,
    },
    /// The connection closes without an answer.
    Hangup,
}

/// What a streamed answer consists of.
#[derive(Clone, Copy)]
pub(crate) enum StreamKind {
    /// Lines of JSON.
    Lines,
    /// Server-sent events.
    Events,
}

impl StreamKind {
    const fn content_type(self) -> ContentType {
        match self {
            Self::Lines => ContentType::JSON,
            Self::Events => ContentType::EventStream,
        }
    }
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Serialize)]
struct ErrorDetail<'a> {
    code: &'a str,
    message: &'a str,
}

impl Reply {
    pub(crate) fn json(status: Status, body: &impl Serialize) -> Self {
        Self::Json(status, serde_json::to_vec(body).unwrap_or_default())
    }

    pub(crate) fn ok(body: &impl Serialize) -> Self {
        Self::json(Status::Ok, body)
    }

    pub(crate) fn empty() -> Self {
        Self::Json(Status::Ok, b"{}".to_vec())
    }

    pub(crate) fn error(status: Status, code: &str, message: &str) -> Self {
        Self::json(
            status,
            &ErrorBody {
                error: ErrorDetail { code, message },
            },
        )
    }

    pub(crate) fn unavailable() -> Self {
        Self::error(
            Status::ServiceUnavailable,
            "unavailable",
            "a fault refuses this call",
        )
    }

    pub(crate) fn not_found(what: &str) -> Self {
        Self::error(Status::NotFound, "not_found", what)
    }
}

impl<'r> Responder<'r, 'static> for Reply {
    fn respond_to(self, _req: &'r Request<'_>) -> response::Result<'static> {
        match self {
            Self::Json(status, body) => Response::build()
                .status(status)
                .header(ContentType::JSON)
                .sized_body(body.len(), Cursor::new(body))
                .ok(),
            Self::Stream { kind, length, body } => {
                let mut response = Response::build();
                response.header(kind.content_type());
                if let Some(length) = length {
                    response.raw_header("Content-Length", length.to_string());
                }
                response
                    .streamed_body(ReaderStream::from(body.map(Cursor::new)))
                    .ok()
            }
            // A header with a line break can't be sent: the server drops such a response and closes
            // the connection, which is what a lost answer looks like to the client.
            Self::Hangup => Response::build().raw_header("x-hangup", "\n").ok(),
        }
    }
}
