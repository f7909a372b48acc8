//! A generation as a caller gets it who wants it whole.

use bluebellstage_core::{CallerWork, RequestId};
use rocket::http::{ContentType, Status};
use rocket::response::{Responder, Response, Result};
use rocket::{Request, response};
use serde_json::{Value, json};

use super::{Endpoint, Piece, Refused, Relay};

/// A whole answer.
#[derive(Debug)]
pub(crate) struct Collected {
    request: RequestId,
    body: String,
}

impl Collected {
    /// Reads a relay to its end; none if the caller went away meanwhile.
    ///
    /// # Errors
    /// The refusal that ended it.
    pub(crate) async fn read(mut relay: Relay) -> std::result::Result<Option<Self>, Refused> {
        loop {
            match relay.next().await {
                Piece::Started | Piece::Events(_) | Piece::KeepAlive => {}
                Piece::Failed(refused) => return Err(refused),
                Piece::CallerGone => return Ok(None),
                Piece::End => return Ok(Some(Self::of(&mut relay))),
            }
        }
    }

    fn of(relay: &mut Relay) -> Self {
        let request = relay.handle().id();
        let endpoint = relay.work().endpoint;
        let prompt = match relay.work().work() {
            CallerWork::Generate { prompt, .. } => prompt.0,
            CallerWork::Call(_) => 0,
        };
        let completion = relay.delivered();
        let model = relay.model().to_owned();
        let transcript = relay.transcript();
        let head = transcript.head().clone();
        let choice = choice(endpoint, transcript.text(), head.finish_reason.as_deref());
        let object = match endpoint {
            Endpoint::Chat => "chat.completion",
            Endpoint::Text => "text_completion",
        };
        let body = json!({
            "id": head.id,
            "object": object,
            "created": head.created,
            "model": model,
            "system_fingerprint": model,
            "choices": [choice],
            "usage": {
                "prompt_tokens": prompt,
                "completion_tokens": completion,
                "total_tokens": prompt + completion,
            },
        });
        Self {
            request,
            body: body.to_string(),
        }
    }
}

fn choice(endpoint: Endpoint, text: &str, finish_reason: Option<&str>) -> Value {
    match endpoint {
        Endpoint::Chat => json!({
            "index": 0,
            "message": { "role": "assistant", "content": text },
            "finish_reason": finish_reason,
        }),
        Endpoint::Text => json!({ "index": 0, "text": text, "finish_reason": finish_reason }),
    }
}

impl<'r> Responder<'r, 'static> for Collected {
    fn respond_to(self, _: &'r Request<'_>) -> Result<'static> {
        let mut response: response::Builder<'_> = Response::build();
        response
            .status(Status::Ok)
            .header(ContentType::JSON)
            .raw_header("X-Request-Id", self.request.to_string())
            .sized_body(self.body.len(), std::io::Cursor::new(self.body))
            .ok()
    }
}
