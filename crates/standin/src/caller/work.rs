//! What callers ask for.

use std::net::SocketAddr;

use reqwest::{Client, Method, RequestBuilder};
use serde_json::json;

use crate::engine::Answer;

/// What a caller asks for.
#[derive(Clone, Debug)]
pub enum Work {
    /// A generation, streamed.
    Draft(Draft),
    /// A call to a plain service.
    Call(ServiceCall),
}

/// A generation.
#[derive(Clone, Debug)]
pub struct Draft {
    /// The adapter, with `@version` or without.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// The longest answer wanted.
    pub max_tokens: usize,
}

/// A call to a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// Which service.
    pub service: String,
    /// Path below it.
    pub path: String,
    /// The caller's name for a call that may not be repeated; none for reading.
    pub idempotency_key: Option<String>,
}

impl Work {
    /// Whether it may be repeated.
    #[must_use]
    pub const fn is_idempotent(&self) -> bool {
        match self {
            Self::Draft(_) => true,
            Self::Call(call) => call.idempotency_key.is_none(),
        }
    }

    pub(super) fn request(&self, http: &Client, at: SocketAddr, key: &str) -> RequestBuilder {
        match self {
            Self::Draft(draft) => http
                .post(format!("http://{at}/v1/chat/completions"))
                .bearer_auth(key)
                .json(&draft.body()),
            Self::Call(call) => call.request(http, at).bearer_auth(key),
        }
    }
}

impl Draft {
    /// What the adapter named as `adapter@version` answers.
    #[must_use]
    pub fn answer(&self, adapter: &str) -> Answer {
        Answer::new(adapter, &self.prompt, self.max_tokens)
    }

    fn body(&self) -> serde_json::Value {
        json!({
            "model": self.model,
            "messages": [{ "role": "user", "content": self.prompt }],
            "max_tokens": self.max_tokens,
            "stream": true,
        })
    }
}

impl ServiceCall {
    fn request(&self, http: &Client, at: SocketAddr) -> RequestBuilder {
        let url = format!("http://{at}/v1/services/{}/{}", self.service, self.path);
        match &self.idempotency_key {
            None => http.request(Method::GET, url),
            Some(name) => http
                .request(Method::POST, url)
                .header("Idempotency-Key", name)
                .json(&json!({ "filing": name })),
        }
    }
}
