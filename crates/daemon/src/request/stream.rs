//! A generation as a caller gets it who wants a stream.

use std::io::Cursor;

use futures::StreamExt;
use futures::stream::{Stream, unfold};
use rocket::http::{ContentType, Status};
use rocket::response::stream::ReaderStream;
use rocket::response::{Responder, Response, Result};
use rocket::{Request, response};
use tokio_util::bytes::Bytes;

use super::{Piece, Relay};

/// A comment, which readers of events skip: a caller that vanished shows when it is written.
const KEEP_ALIVE: &[u8] = b": keep-alive\n\n";

/// Most bytes given to a connection at once.
const MAX_CHUNK: usize = 64 * 1_024;

/// A relay whose engine has begun.
pub(crate) struct Streamed(pub(crate) Relay);

impl Streamed {
    fn into_bytes(self) -> impl Stream<Item = Bytes> + Send {
        unfold(Some(self.0), |relay| async move {
            let mut relay = relay?;
            match relay.next().await {
                Piece::Started | Piece::KeepAlive => {
                    Some((Bytes::from_static(KEEP_ALIVE), Some(relay)))
                }
                Piece::Events(events) => Some((events, Some(relay))),
                Piece::Failed(refused) => {
                    refused.note(&relay.handle().shell().metrics);
                    Some((refused.sse().into(), None))
                }
                Piece::CallerGone | Piece::End => None,
            }
        })
    }
}

impl<'r> Responder<'r, 'static> for Streamed {
    fn respond_to(self, _: &'r Request<'_>) -> Result<'static> {
        let id = self.0.handle().id();
        let readers = self.into_bytes().map(Cursor::new);
        let mut response: response::Builder<'_> = Response::build();
        response
            .status(Status::Ok)
            .header(ContentType::EventStream)
            .raw_header("Cache-Control", "no-store")
            .raw_header("X-Request-Id", id.to_string())
            .streamed_body(ReaderStream::from(readers))
            .max_chunk_size(MAX_CHUNK)
            .ok()
    }
}
