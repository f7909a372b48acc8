//! What the tests of the stand-ins share.

#![expect(dead_code, reason = "each test file uses its own part")]

pub mod bench;
pub mod content;
pub mod evidence;
pub mod traffic;

use std::net::SocketAddr;

use reqwest::{Client, Method, Response};
use serde_json::{Value, json};

/// A client of one stand-in.
pub struct Caller {
    http: Client,
    address: SocketAddr,
}

impl Caller {
    pub fn new(address: SocketAddr) -> Self {
        let http = Client::builder()
            .no_proxy()
            .build()
            .expect("a client with no settings builds");
        Self { http, address }
    }

    pub async fn send(
        &self,
        method: Method,
        path: &str,
        body: &Value,
    ) -> reqwest::Result<Response> {
        self.request(method, path).json(body).send().await
    }

    pub fn request(&self, method: Method, path: &str) -> reqwest::RequestBuilder {
        self.http
            .request(method, format!("http://{}{path}", self.address))
    }

    pub async fn get(&self, path: &str) -> reqwest::Result<Response> {
        self.request(Method::GET, path).send().await
    }

    pub async fn post(&self, path: &str, body: &Value) -> reqwest::Result<Response> {
        self.send(Method::POST, path, body).await
    }

    pub async fn put(&self, path: &str, body: &Value) -> reqwest::Result<Response> {
        self.send(Method::PUT, path, body).await
    }

    pub async fn delete(&self, path: &str) -> reqwest::Result<Response> {
        self.request(Method::DELETE, path).send().await
    }

    /// Status and body of an answer that must come.
    pub async fn answer(response: reqwest::Result<Response>) -> (u16, Value) {
        let response = response.expect("an answer");
        let status = response.status().as_u16();
        (status, response.json().await.expect("a JSON body"))
    }
}

/// Body of a generation.
pub fn generation(model: &str, prompt: &str, max_tokens: usize) -> Value {
    json!({
        "model": model,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": max_tokens,
        "stream": true,
    })
}

/// Token texts and event numbers of a body of server-sent events; whether the end mark came.
pub struct Events {
    pub ids: Vec<usize>,
    pub text: String,
    pub ran: Vec<String>,
    pub done: bool,
}

impl Events {
    pub fn parse(body: &str) -> Self {
        let mut events = Self {
            ids: Vec::new(),
            text: String::new(),
            ran: Vec::new(),
            done: false,
        };
        for line in body.lines() {
            if let Some(id) = line.strip_prefix("id: ") {
                events.ids.push(id.parse().expect("a number"));
            }
            match line.strip_prefix("data: ") {
                Some("[DONE]") => events.done = true,
                Some(chunk) => events.add(&serde_json::from_str(chunk).expect("a chunk")),
                None => {}
            }
        }
        events
    }

    fn add(&mut self, chunk: &Value) {
        let token = chunk["choices"][0]["delta"]["content"].as_str();
        self.text.push_str(token.expect("a token"));
        let ran = chunk["system_fingerprint"].as_str().expect("what ran");
        self.ran.push(ran.into());
    }
}

/// Reads a body that breaks off, up to the break; whether it broke off.
pub async fn read_broken(mut response: Response) -> (String, bool) {
    let mut bytes = Vec::new();
    loop {
        match response.chunk().await {
            Ok(Some(chunk)) => bytes.extend_from_slice(&chunk),
            Ok(None) => return (String::from_utf8_lossy(&bytes).into(), false),
            Err(_) => return (String::from_utf8_lossy(&bytes).into(), true),
        }
    }
}
