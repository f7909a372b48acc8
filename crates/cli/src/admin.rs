//! Client of an instance's administration API.

use std::time::Duration;

use bluebellstage_core::catalogue::{ApplyOutcome, ChangeRequest};
use reqwest::redirect::Policy;
use reqwest::{Client, Method, RequestBuilder, Response, StatusCode};
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::args::Args;
use crate::error::CliError;
use crate::view::{Catalogue, Status};

const ADMIN_VARIABLE: &str = "BLUEBELLSTAGE_ADMIN";
const TOKEN_VARIABLE: &str = "BLUEBELLSTAGE_TOKEN";

/// Longer than an instance waits for the outcome of a change.
const TIMEOUT: Duration = Duration::from_secs(15);

/// An instance, as operators reach it.
#[derive(Debug)]
pub(crate) struct Admin {
    http: Client,
    base: Box<str>,
    token: Box<str>,
}

impl Admin {
    /// The instance that the arguments or the environment name.
    pub(crate) fn from_args(args: &Args) -> Result<Self, CliError> {
        let base = args
            .admin
            .clone()
            .or_else(|| std::env::var(ADMIN_VARIABLE).ok());
        let base = base.ok_or(CliError::NoAdmin)?;
        let http = Client::builder()
            .redirect(Policy::none())
            .no_proxy()
            .timeout(TIMEOUT)
            .build();
        let http = http.map_err(|error| CliError::Unreachable {
            url: base.as_str().into(),
            cause: error.to_string().into(),
        })?;
        Ok(Self {
            http,
            base: base.trim_end_matches('/').into(),
            token: token(args)?,
        })
    }

    /// The catalogue in force.
    pub(crate) async fn catalogue(&self) -> Result<Catalogue, CliError> {
        self.read("/admin/v1/catalogue").await
    }

    /// The instance's status.
    pub(crate) async fn status(&self) -> Result<Status, CliError> {
        self.read("/admin/v1/status").await
    }

    /// Reads JSON.
    pub(crate) async fn read<T: DeserializeOwned>(&self, path: &str) -> Result<T, CliError> {
        let response = self.send(self.request(Method::GET, path)).await?;
        if !response.status().is_success() {
            return Err(answered(response).await);
        }
        let parsed = response.json().await;
        parsed.map_err(|error| self.unreachable(&error))
    }

    /// Applies a change; one whose outcome is not known is asked for once more.
    pub(crate) async fn change(&self, request: &ChangeRequest) -> Result<ApplyOutcome, CliError> {
        let first = self.change_once(request).await;
        // The change's name makes the second try harmless.
        match first {
            Ok(ApplyOutcome::Unknown) | Err(CliError::Unreachable { .. }) => {
                let second = self.change_once(request).await;
                second.or(Ok(ApplyOutcome::Unknown))
            }
            decided => decided,
        }
    }

    /// Begins a planned stop.
    pub(crate) async fn stop(&self) -> Result<(), CliError> {
        let response = self
            .send(self.request(Method::POST, "/admin/v1/stop"))
            .await?;
        if response.status().is_success() {
            return Ok(());
        }
        Err(answered(response).await)
    }

    async fn change_once(&self, request: &ChangeRequest) -> Result<ApplyOutcome, CliError> {
        let sent = self
            .request(Method::POST, "/admin/v1/changes")
            .json(request);
        let response = self.send(sent).await?;
        match response.status().as_u16() {
            200 | 412 | 422 | 503 | 504 => {
                let body: Result<Value, _> = response.json().await;
                let outcome = body.ok().and_then(|body| serde_json::from_value(body).ok());
                Ok(outcome.unwrap_or(ApplyOutcome::Unknown))
            }
            _ => Err(answered(response).await),
        }
    }

    fn request(&self, method: Method, path: &str) -> RequestBuilder {
        let url = format!("{}{path}", self.base);
        self.http.request(method, url).bearer_auth(&self.token)
    }

    async fn send(&self, request: RequestBuilder) -> Result<Response, CliError> {
        let response = request.send().await;
        let response = response.map_err(|error| self.unreachable(&error))?;
        if response.status() == StatusCode::UNAUTHORIZED {
            return Err(CliError::TokenRefused {
                url: self.base.clone(),
            });
        }
        Ok(response)
    }

    fn unreachable(&self, error: &reqwest::Error) -> CliError {
        let mut cause: &dyn std::error::Error = error;
        while let Some(deeper) = cause.source() {
            cause = deeper;
        }
        CliError::Unreachable {
            url: self.base.clone(),
            cause: cause.to_string().into(),
        }
    }
}

async fn answered(response: Response) -> CliError {
    let status = response.status();
    let body: Value = response.json().await.unwrap_or_default();
    let message = body["error"]["message"].as_str();
    CliError::Answered {
        status: status.as_u16(),
        message: message.map_or_else(|| status.to_string().into(), Into::into),
    }
}

fn token(args: &Args) -> Result<Box<str>, CliError> {
    if let Some(file) = &args.token_file {
        let read = std::fs::read_to_string(file);
        let text = read.map_err(|error| CliError::Unreadable {
            file: file.display().to_string().into(),
            cause: error.to_string().into(),
        })?;
        return Ok(text.trim().into());
    }
    let token = std::env::var(TOKEN_VARIABLE).ok();
    token.map(Into::into).ok_or(CliError::NoToken)
}
