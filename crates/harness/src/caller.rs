//! Talks to one node as a caller does.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use compio::runtime::Runtime;
use http::HeaderMap;
use http::Method;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;

use crate::caller_secret;
use net::Connection;
use net::SendError;

/// Time allowed to connect.
const CONNECT: Duration = Duration::from_secs(2);

/// Time allowed to the head of an answer.
const HEAD: Duration = Duration::from_secs(30);

/// A caller with its secret, at one node.
#[derive(Clone, Debug)]
pub struct Caller {
    addr: SocketAddr,
    secret: String,
    is_first_call: bool,
    extra: Vec<(&'static str, String)>,
}

/// An answer as it came.
#[derive(Clone, Debug, Default)]
pub struct Reply {
    /// HTTP's status.
    pub status: u16,
    /// Its head.
    pub headers: HeaderMap,
    /// Its body.
    pub body: String,
    /// From the request to each piece of the body.
    pub chunk_times: Vec<Duration>,
    /// Whether the body ended as it should.
    pub is_complete: bool,
}

impl Caller {
    /// A caller of this name.
    pub fn new(addr: SocketAddr, name: &str) -> Self {
        Self::with_secret(addr, &caller_secret(name))
    }

    /// Someone who names itself by this secret.
    pub fn with_secret(addr: SocketAddr, secret: &str) -> Self {
        Self {
            addr,
            secret: secret.to_owned(),
            is_first_call: false,
            extra: Vec::new(),
        }
    }

    /// The same caller, which sends a further header.
    pub fn with_header(mut self, name: &'static str, value: &str) -> Self {
        self.extra.push((name, value.to_owned()));
        self
    }

    /// The same caller, which says that it makes no other call under its key.
    pub fn with_first_call_header(mut self) -> Self {
        self.is_first_call = true;
        self
    }

    /// Streams a chat.
    pub fn chat(&self, prompt: &str, max_tokens: u32) -> Result<Reply, SendError> {
        self.post(
            "/v1/chat/completions",
            &chat_body(prompt, max_tokens, true),
            None,
        )
    }

    /// Streams a chat, beside others on the same thread.
    pub async fn chat_async(&self, prompt: &str, max_tokens: u32) -> Result<Reply, SendError> {
        let body = chat_body(prompt, max_tokens, true);
        let path = "/v1/chat/completions";
        self.exchange(Method::POST, path, &body, None).await
    }

    /// Asks for a chat's whole answer at once.
    pub fn chat_without_streaming(
        &self,
        prompt: &str,
        max_tokens: u32,
    ) -> Result<Reply, SendError> {
        self.post(
            "/v1/chat/completions",
            &chat_body(prompt, max_tokens, false),
            None,
        )
    }

    /// Calls a service, under a key if there is one.
    pub fn call(&self, service: &str, body: &str, key: Option<&str>) -> Result<Reply, SendError> {
        self.post(&format!("/v1/services/{service}"), body, key)
    }

    /// Fetches a path.
    pub fn get(&self, path: &str) -> Result<Reply, SendError> {
        let runtime = Runtime::new().expect("a runtime can be made");
        runtime.block_on(self.exchange(Method::GET, path, "", None))
    }

    /// Posts a body.
    pub fn post(&self, path: &str, body: &str, key: Option<&str>) -> Result<Reply, SendError> {
        let runtime = Runtime::new().expect("a runtime can be made");
        runtime.block_on(self.exchange(Method::POST, path, body, key))
    }

    /// Sends one request and reads its answer to the end.
    pub async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: &str,
        key: Option<&str>,
    ) -> Result<Reply, SendError> {
        let start = Instant::now();
        let connection = Connection::connect(self.addr, CONNECT).await?;
        let response = connection
            .send(self.request(method, path, body, key), HEAD)
            .await?;
        let (head, mut body) = response.into_parts();
        let mut reply = Reply {
            status: head.status.as_u16(),
            headers: head.headers,
            is_complete: true,
            ..Reply::default()
        };
        while let Some(frame) = body.frame().await {
            match frame.map(http_body::Frame::into_data) {
                Ok(Ok(data)) => {
                    reply.body += &String::from_utf8_lossy(&data);
                    reply.chunk_times.push(start.elapsed());
                }
                Ok(Err(_)) => {}
                Err(_) => {
                    reply.is_complete = false;
                    break;
                }
            }
        }
        Ok(reply)
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        body: &str,
        key: Option<&str>,
    ) -> Request<Full<Bytes>> {
        let mut builder = Request::builder()
            .method(method)
            .uri(path)
            .header("host", self.addr.to_string())
            .header("authorization", format!("Bearer {}", self.secret))
            .header("content-type", "application/json");
        if let Some(key) = key {
            builder = builder.header("idempotency-key", key);
        }
        if self.is_first_call {
            builder = builder.header("x-first-call", "true");
        }
        for (name, value) in &self.extra {
            builder = builder.header(*name, value);
        }
        builder
            .body(Full::new(Bytes::from(body.to_owned())))
            .expect("the request is well formed")
    }
}

impl Reply {
    /// Whether a streamed answer has its end marker.
    pub fn is_done(&self) -> bool {
        self.is_complete && self.body.trim_end().ends_with("data: [DONE]")
    }

    /// The text of a streamed answer.
    pub fn text(&self) -> String {
        let events = self
            .body
            .lines()
            .filter_map(|line| line.strip_prefix("data: "));
        let chunks = events.filter_map(|data| serde_json::from_str::<serde_json::Value>(data).ok());
        let content = |c: serde_json::Value| {
            c["choices"][0]["delta"]["content"]
                .as_str()
                .unwrap_or_default()
                .to_owned()
        };
        chunks.map(content).collect()
    }

    /// What the answer says of the request's execution.
    pub fn ran(&self) -> &str {
        let ran = self.headers.get("x-ran");
        ran.and_then(|v| v.to_str().ok()).unwrap_or_default()
    }

    /// The body as JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }
}

fn chat_body(prompt: &str, max_tokens: u32, stream: bool) -> String {
    serde_json::json!({
        "model": "design-chat",
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": max_tokens,
        "stream": stream,
    })
    .to_string()
}
