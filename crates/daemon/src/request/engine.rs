//! Calls to engines for one request: generate, resume, cancel.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bluebellstage_core::{Finish, RequestId, Tokens};
use futures::stream::BoxStream;
use futures::{StreamExt, TryStreamExt};
use reqwest::{Response, StatusCode};
use tokio::time::{Instant, sleep, timeout};
use tokio_util::bytes::Bytes;

use crate::connection::read_json;
use crate::process::Shell;

use super::Endpoint;
use super::chunk::EngineError;
use super::target_report::record_target_report;

/// Header under which an engine keeps a request's stream.
const REQUEST_HEADER: &str = "X-Request-Id";
/// Header that names the last event that arrived.
const LAST_EVENT_HEADER: &str = "Last-Event-ID";
/// How long one try of a resume may take to begin; an engine that has the stream answers at once.
const RESUME_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause between two tries.
const RESUME_PAUSE: Duration = Duration::from_millis(100);
/// How long one try of a cancel may take.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);
/// How often a cancel is tried; an engine that can't be reached ends the stream by itself.
const CANCEL_TRIES: u32 = 3;
/// Pause between two tries.
const CANCEL_PAUSE: Duration = Duration::from_millis(100);

/// Largest error of an engine.
const MAX_ERROR_BYTES: u64 = 64 * 1_024;

/// Bytes of an answer as they arrive.
pub(super) type Chunks = BoxStream<'static, Result<Bytes, reqwest::Error>>;

/// How an engine took a request.
pub(super) enum Sent {
    /// It answers.
    Streaming(Chunks),
    /// It didn't, and another engine may.
    Failed(Finish),
    /// It holds the body for malformed, as any other would.
    Malformed,
}

/// How an engine took a request for the rest of a stream.
enum Rest {
    Answered(Response),
    /// The connection was refused, or broke.
    Broken,
    /// Nothing came in time.
    Silent,
}

/// An engine that works on a request.
#[derive(Clone, Debug)]
pub(super) struct Engine {
    pub(super) shell: Arc<Shell>,
    pub(super) address: SocketAddr,
    pub(super) request: RequestId,
}

impl Engine {
    /// Sends the request.
    pub(super) async fn generate(
        self,
        endpoint: Endpoint,
        body: String,
        delivered: Tokens,
    ) -> Sent {
        let url = format!("http://{}{}", self.address, endpoint.path());
        let request = self
            .shell
            .targets
            .pooled
            .post(url)
            .header("Content-Type", "application/json")
            .header(REQUEST_HEADER, self.request.to_string())
            .body(body);
        let silence = self.shell.settings.limits.engine_silence;
        match timeout(silence, request.send()).await {
            Ok(Ok(response)) => {
                record_target_report(&self.shell, self.request, &response);
                sent(response, silence).await
            }
            Ok(Err(error)) if error.is_connect() => Sent::Failed(Finish::Unreachable),
            Ok(Err(_)) | Err(_) => Sent::Failed(Finish::Interrupted { delivered }),
        }
    }

    /// Asks for what comes after `last`; none if the engine no longer keeps the stream. One that is silent is asked
    /// again for as long as `patience`, and at least once.
    pub(super) async fn resume(self, last: u64, patience: Duration) -> Option<Chunks> {
        let until = Instant::now() + patience;
        loop {
            match self.rest(last).await {
                Rest::Answered(response) => {
                    record_target_report(&self.shell, self.request, &response);
                    return (response.status() == StatusCode::OK).then(|| chunks(response));
                }
                Rest::Broken => return None,
                Rest::Silent if Instant::now() + RESUME_PAUSE >= until => return None,
                Rest::Silent => sleep(RESUME_PAUSE).await,
            }
        }
    }

    async fn rest(&self, last: u64) -> Rest {
        let request = self.shell.targets.pooled.get(self.stream_url());
        let request = request.header(LAST_EVENT_HEADER, last.to_string());
        match timeout(RESUME_TIMEOUT, request.send()).await {
            Ok(Ok(response)) => Rest::Answered(response),
            Ok(Err(error)) if !error.is_timeout() => Rest::Broken,
            Ok(Err(_)) | Err(_) => Rest::Silent,
        }
    }

    /// Ends the engine's work on the request, in a task of its own.
    ///
    /// An engine goes on with a stream whose connection closed, so that it can be resumed: without
    /// the cancel it would compute an answer that nobody reads.
    pub(super) fn cancel(self) {
        let shell = Arc::clone(&self.shell);
        shell.spawn(async move {
            for _ in 0..CANCEL_TRIES {
                let request = self.shell.targets.pooled.delete(self.stream_url());
                let sent = timeout(CANCEL_TIMEOUT, request.send()).await;
                if sent.is_ok_and(|sent| sent.is_ok_and(|answer| answer.status().is_success())) {
                    return;
                }
                // Not found may mean not yet: the request may still be on its way on another
                // connection.
                sleep(CANCEL_PAUSE).await;
            }
        });
    }

    fn stream_url(&self) -> String {
        format!("http://{}/v1/streams/{}", self.address, self.request)
    }
}

async fn sent(response: Response, silence: Duration) -> Sent {
    match response.status() {
        StatusCode::OK => Sent::Streaming(chunks(response)),
        StatusCode::NOT_FOUND => Sent::Failed(Finish::WrongAdapter),
        StatusCode::BAD_REQUEST | StatusCode::UNPROCESSABLE_ENTITY => Sent::Malformed,
        _ => {
            let reading = read_json::<EngineError>(response, MAX_ERROR_BYTES);
            let error = timeout(silence, reading).await.ok().flatten();
            let error = error.unwrap_or_default();
            let leaving = &*error.error.code == "draining";
            Sent::Failed(Finish::Rejected { leaving })
        }
    }
}

fn chunks(response: Response) -> Chunks {
    response.bytes_stream().into_stream().boxed()
}
