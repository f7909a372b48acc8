//! Generations, resumes and cancels.

use std::sync::Arc;

use rocket::data::Data;
use rocket::http::Status;
use rocket::{Route, State, delete, get, post, routes};

use super::prefix::BYTES_PER_TOKEN;
use super::prompt::GenerateBody;
use super::reader::Reader;
use super::state::{Admission, EngineState};
use super::stream::{Framing, Stream};
use super::{EngineRun, RunEnd};
use crate::clock::now;
use crate::faults::Passage;
use crate::reply::{Reply, StreamKind};
use crate::{CallKind, Faults, SeenRequest};

/// Priority of a request that names none: between urgent (0) and batch (10).
const DEFAULT_PRIORITY: u8 = 5;

type Held = State<Arc<EngineState>>;
type HeldFaults = State<Arc<Faults>>;

#[expect(clippy::redundant_type_annotations, reason = "the macro writes them")]
pub(super) fn routes() -> Vec<Route> {
    routes![chat, completion, resume, cancel]
}

#[post("/v1/chat/completions", data = "<data>")]
async fn chat(held: &Held, faults: &HeldFaults, seen: SeenRequest, data: Data<'_>) -> Reply {
    generate(held, faults, seen, data, Framing::Chat).await
}

#[post("/v1/completions", data = "<data>")]
async fn completion(held: &Held, faults: &HeldFaults, seen: SeenRequest, data: Data<'_>) -> Reply {
    generate(held, faults, seen, data, Framing::Completion).await
}

async fn generate(
    held: &Arc<EngineState>,
    faults: &Arc<Faults>,
    mut seen: SeenRequest,
    data: Data<'_>,
    framing: Framing,
) -> Reply {
    let complete = seen.read_body(data).await;
    let body = serde_json::from_str::<GenerateBody>(&seen.body);
    let request_id = seen.header("x-request-id").map(Box::from);
    held.see(seen);
    let (true, Ok(body)) = (complete, body) else {
        return Reply::error(
            Status::BadRequest,
            "malformed",
            "the body is cut short or no request",
        );
    };
    let passage = faults.enter(CallKind::Generate).await;
    if passage == Passage::Refused {
        return Reply::unavailable();
    }
    let reply = held
        .generate(faults, body, request_id, framing, passage)
        .await;
    match passage {
        Passage::LoseAnswer => Reply::Hangup,
        Passage::Open | Passage::Refused | Passage::Cut { .. } => reply,
    }
}

impl EngineState {
    async fn generate(
        &self,
        faults: &Arc<Faults>,
        body: GenerateBody,
        request_id: Option<Box<str>>,
        framing: Framing,
        passage: Passage,
    ) -> Reply {
        let weights = match self.admission(&body.model) {
            Admission::Run(weights) => weights,
            refused => return refusal(&refused),
        };
        let start = body.start(&weights, framing);
        let prompt_tokens = start.prompt.len().div_ceil(BYTES_PER_TOKEN) + start.delivered;
        let run = EngineRun {
            request_id: request_id.unwrap_or_default(),
            asked: body.model,
            ran: weights,
            priority: body.priority.unwrap_or(DEFAULT_PRIORITY),
            prompt_tokens,
            answer_tokens: start.answer.len(),
            begun: start.delivered,
            produced: 0,
            arrived: now(),
            started: None,
            first_token: None,
            ended: None,
            end: None,
        };
        let id = run.request_id.clone();
        let stream = Arc::new(Stream::new(id, start.answer, start.delivered, framing));
        let reader = Reader::new(Arc::clone(&stream), 0);
        self.submit(&stream, run, &start.prompt);
        if body.stream {
            return events(&stream, reader, faults, passage);
        }
        let end = reader.finish().await;
        faults.thaw(CallKind::Generate).await;
        match (end, passage) {
            (RunEnd::Complete, Passage::Open) => Reply::ok(&stream.whole(prompt_tokens)),
            _ => Reply::Hangup,
        }
    }
}

fn refusal(admission: &Admission) -> Reply {
    match admission {
        Admission::Draining => {
            Reply::error(Status::ServiceUnavailable, "draining", "ask another engine")
        }
        Admission::Full => Reply::error(Status::TooManyRequests, "full", "come back later"),
        Admission::NotLoaded | Admission::Run(_) => Reply::error(
            Status::NotFound,
            "adapter_not_loaded",
            "load the adapter first",
        ),
    }
}

fn events(stream: &Arc<Stream>, reader: Reader, faults: &Arc<Faults>, passage: Passage) -> Reply {
    let cut_after = match passage {
        Passage::Cut { after_tokens } => usize::try_from(after_tokens).ok(),
        Passage::Open | Passage::Refused | Passage::LoseAnswer => None,
    };
    Reply::Stream {
        kind: StreamKind::Events,
        length: Some(stream.length_after(reader.delivered())),
        body: reader.cut_after(cut_after).events(Arc::clone(faults)),
    }
}

#[get("/v1/streams/<id>")]
async fn resume(held: &Held, faults: &HeldFaults, seen: SeenRequest, id: &str) -> Reply {
    let last: usize = seen
        .header("last-event-id")
        .and_then(|raw| raw.parse().ok())
        .unwrap_or(0);
    held.see(seen);
    let passage = faults.enter(CallKind::Resume).await;
    if passage == Passage::Refused {
        return Reply::unavailable();
    }
    let Some(stream) = held.stream(id) else {
        return Reply::not_found("the stream is not kept");
    };
    if passage == Passage::LoseAnswer {
        return Reply::Hangup;
    }
    let reader = Reader::new(Arc::clone(&stream), last.min(stream.len()));
    events(&stream, reader, faults, passage)
}

#[delete("/v1/streams/<id>")]
async fn cancel(held: &Held, faults: &HeldFaults, seen: SeenRequest, id: &str) -> Reply {
    held.see(seen);
    let effect = async {
        if held.cancel(id) {
            return Reply::empty();
        }
        Reply::not_found("the stream is not kept")
    };
    faults.guard(CallKind::Resume, effect).await
}
