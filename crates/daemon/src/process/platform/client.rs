//! Calls to the platform, each made once, with the outcome that can be proved.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use bluebellstage_core::{
    Expected, Incarnation, ObjectName, ObjectVersion, PlatformCall, PlatformOp, PlatformReply,
    PlatformResponse,
};
use reqwest::{Client, Method, RequestBuilder, Response, StatusCode};
use serde::de::DeserializeOwned;

use crate::connection::{http_client, read_json};
use crate::process::{Clock, Metrics, log_event};
use crate::settings::PlatformSettings;

use super::pods;
use super::wire::{ConfigMap, PodList};

/// Idle connections kept to the platform; enough for a takeover's burst of reads.
const IDLE_CONNECTIONS: usize = 8;

/// Largest answer: a list of all pods of a large deployment.
const MAX_ANSWER_BYTES: u64 = 64 * 1_024 * 1_024;

/// Client of the platform's object API.
#[derive(Debug)]
pub(in crate::process) struct PlatformClient {
    pub(super) http: Client,
    pub(super) base: Box<str>,
    pod: Box<str>,
    is_lost: AtomicBool,
    // The highest version seen in any answer: where a watch goes on from.
    newest: AtomicU64,
}

/// Why a call gave no usable answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Failure {
    /// Nothing was done.
    NotDone(&'static str),
    /// It may have been done.
    Unknown(&'static str),
}

impl PlatformClient {
    pub(in crate::process) fn new(settings: &PlatformSettings) -> Result<Self, reqwest::Error> {
        let http = http_client()
            .connect_timeout(settings.timeout)
            .pool_max_idle_per_host(IDLE_CONNECTIONS)
            .build()?;
        Ok(Self {
            http,
            base: format!("{}/api/v1/namespaces/{}", settings.url, settings.namespace).into(),
            pod: settings.pod.clone(),
            is_lost: AtomicBool::new(false),
            newest: AtomicU64::new(0),
        })
    }

    /// Makes a call, once; an answer that doesn't come within `timeout` is unknown.
    pub(in crate::process) async fn call(
        &self,
        clock: &Clock,
        metrics: &Metrics,
        timeout: Duration,
        call: PlatformCall,
    ) -> PlatformResponse {
        let operation = operation(&call.op);
        // Read before the question is sent: proofs of standing count from here.
        let asked = clock.now();
        let outcome = tokio::time::timeout(timeout, self.make(call.op))
            .await
            .unwrap_or(Err(Failure::Unknown("timeout")));
        self.note(operation, &outcome);
        let reply = outcome.unwrap_or_else(|failure| match failure {
            Failure::NotDone(_) => PlatformReply::Unavailable,
            Failure::Unknown(_) => PlatformReply::Unknown,
        });
        metrics.platform_call(operation, outcome_label(&reply));
        PlatformResponse {
            id: call.id,
            purpose: call.purpose,
            sent_at: asked,
            reply,
        }
    }

    /// Where a watch goes on from.
    pub(super) fn newest(&self) -> ObjectVersion {
        ObjectVersion(self.newest.load(Ordering::Relaxed))
    }

    /// Notes this life on the own pod.
    ///
    /// # Errors
    /// The cause, where the platform didn't take the note.
    pub(in crate::process) async fn note_incarnation(
        &self,
        timeout: Duration,
        incarnation: Incarnation,
    ) -> Result<(), NoteError> {
        let url = format!("{}/pods/{}", self.base, self.pod);
        let annotation = serde_json::json!({ pods::INCARNATION: incarnation.to_string() });
        let body = serde_json::json!({ "metadata": { "annotations": annotation } });
        let sent = self
            .http
            .patch(url)
            .header("Content-Type", "application/merge-patch+json")
            .body(body.to_string())
            .timeout(timeout)
            .send()
            .await;
        match sent.map(|response| response.status()) {
            Ok(status) if status.is_success() => Ok(()),
            Ok(StatusCode::NOT_FOUND) => {
                log_event!(PodMissing, "pod" = self.pod);
                Err(NoteError::Missing)
            }
            Ok(_) | Err(_) => Err(NoteError::Unavailable),
        }
    }

    async fn make(&self, op: PlatformOp) -> Result<PlatformReply, Failure> {
        match op {
            PlatformOp::Get { name } => self.get(&name).await,
            PlatformOp::Put {
                name,
                value,
                expected,
            } => self.put(&name, value, expected).await,
            PlatformOp::Delete { name } => self.delete(&name).await,
            PlatformOp::ListInstances => {
                let list = self.list(pods::INSTANCES).await?;
                Ok(PlatformReply::Instances(pods::instances(&list)))
            }
            PlatformOp::ListTargets => {
                let list = self.list(pods::TARGETS).await?;
                Ok(PlatformReply::Targets(pods::targets(&list)))
            }
        }
    }

    async fn get(&self, name: &ObjectName) -> Result<PlatformReply, Failure> {
        let response = self.send(self.request(Method::GET, name)).await?;
        match response.status() {
            StatusCode::OK => {
                let object: ConfigMap = read(response).await?;
                let versioned = object
                    .into_versioned()
                    .ok_or(Failure::Unknown("object without value or version"))?;
                self.saw(versioned.version);
                Ok(PlatformReply::Got(Some(versioned)))
            }
            StatusCode::NOT_FOUND => Ok(PlatformReply::Got(None)),
            status => Err(refused(status)),
        }
    }

    async fn put(
        &self,
        name: &ObjectName,
        value: Box<str>,
        expected: Expected,
    ) -> Result<PlatformReply, Failure> {
        let (request, version) = match expected {
            Expected::Absent => (self.http.post(format!("{}/configmaps", self.base)), None),
            Expected::Version(version) => (self.request(Method::PUT, name), Some(version)),
        };
        let object = ConfigMap::to_write(name.as_str(), value, version);
        let response = self.send(request.json(&object)).await?;
        match response.status() {
            StatusCode::OK | StatusCode::CREATED => {
                let object: ConfigMap = read(response).await?;
                let version = object
                    .version()
                    .ok_or(Failure::Unknown("object without version"))?;
                self.saw(version);
                Ok(PlatformReply::Written(version))
            }
            StatusCode::CONFLICT => Ok(PlatformReply::Conflict),
            StatusCode::NOT_FOUND if version.is_some() => Ok(PlatformReply::Conflict),
            status => Err(refused(status)),
        }
    }

    async fn delete(&self, name: &ObjectName) -> Result<PlatformReply, Failure> {
        let response = self.send(self.request(Method::DELETE, name)).await?;
        match response.status() {
            StatusCode::OK | StatusCode::NOT_FOUND => Ok(PlatformReply::Deleted),
            status => Err(refused(status)),
        }
    }

    async fn list(&self, selector: &str) -> Result<PodList, Failure> {
        // Version zero asks for the platform's cache: it lags, and costs the platform little.
        let url = format!(
            "{}/pods?labelSelector={selector}&resourceVersion=0",
            self.base
        );
        let response = self.send(self.http.get(url)).await?;
        match response.status() {
            StatusCode::OK => read(response).await,
            status => Err(refused(status)),
        }
    }

    fn request(&self, method: Method, name: &ObjectName) -> RequestBuilder {
        let url = format!("{}/configmaps/{name}", self.base);
        self.http.request(method, url)
    }

    async fn send(&self, request: RequestBuilder) -> Result<Response, Failure> {
        request.send().await.map_err(|error| {
            if error.is_connect() {
                // No connection came about, so no byte of the call left.
                return Failure::NotDone("no connection");
            }
            if error.is_builder() {
                return Failure::NotDone("call can't be put into a request");
            }
            Failure::Unknown("broken connection")
        })
    }

    fn saw(&self, version: ObjectVersion) {
        self.newest.fetch_max(version.0, Ordering::Relaxed);
    }

    /// Logs the change from answering to silent and back, not each call.
    fn note(&self, operation: &'static str, outcome: &Result<PlatformReply, Failure>) {
        match outcome {
            Ok(_) if self.is_lost.swap(false, Ordering::Relaxed) => log_event!(PlatformBack),
            Ok(_) => {}
            Err(Failure::NotDone(cause) | Failure::Unknown(cause)) => {
                if !self.is_lost.swap(true, Ordering::Relaxed) {
                    log_event!(PlatformLost, "call" = operation, "cause" = cause);
                }
            }
        }
    }
}

/// Why the note on the own pod was not taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(in crate::process) enum NoteError {
    /// The platform knows no such pod.
    Missing,
    /// The platform can't be reached.
    Unavailable,
}

/// A status that is none of the call's results.
///
/// Only statuses by which the platform says that it did nothing count as not done: a gateway's
/// 500, 502 or 504 may hide a write that took effect.
fn refused(status: StatusCode) -> Failure {
    match status {
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            Failure::NotDone("busy or down")
        }
        status if status.is_client_error() => Failure::NotDone("call refused"),
        _ => Failure::Unknown("unexpected status"),
    }
}

async fn read<T: DeserializeOwned>(response: Response) -> Result<T, Failure> {
    let parsed = read_json(response, MAX_ANSWER_BYTES).await;
    parsed.ok_or(Failure::Unknown("broken answer"))
}

const fn operation(op: &PlatformOp) -> &'static str {
    match op {
        PlatformOp::Get { .. } => "get",
        PlatformOp::Put { .. } => "put",
        PlatformOp::Delete { .. } => "delete",
        PlatformOp::ListInstances => "list_instances",
        PlatformOp::ListTargets => "list_targets",
    }
}

const fn outcome_label(reply: &PlatformReply) -> &'static str {
    match reply {
        PlatformReply::Conflict => "conflict",
        PlatformReply::Unavailable => "unavailable",
        PlatformReply::Unknown => "unknown",
        PlatformReply::Got(_)
        | PlatformReply::Written(_)
        | PlatformReply::Deleted
        | PlatformReply::Instances(_)
        | PlatformReply::Targets(_) => "ok",
    }
}
