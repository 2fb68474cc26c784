//! Sends requests to one node as a caller does.

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
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time allowed for the head of a response to arrive.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

/// A caller with its secret, at one node.
#[derive(Clone, Debug)]
pub struct Caller {
    addr: SocketAddr,
    secret: String,
    is_first_call: bool,
    extra_headers: Vec<(&'static str, String)>,
}

/// A response as it was received.
#[derive(Clone, Debug, Default)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The headers.
    pub headers: HeaderMap,
    /// The body, as far as it was received.
    pub body: String,
    /// The time from the request to each chunk of the body.
    pub chunk_times: Vec<Duration>,
    /// Whether the body is complete.
    pub is_complete: bool,
}

impl Caller {
    /// Creates a caller with the secret of a caller in the rules.
    pub fn new(addr: SocketAddr, name: &str) -> Self {
        Self::with_secret(addr, &caller_secret(name))
    }

    /// Creates a caller with any secret.
    pub fn with_secret(addr: SocketAddr, secret: &str) -> Self {
        Self {
            addr,
            secret: secret.to_owned(),
            is_first_call: false,
            extra_headers: Vec::new(),
        }
    }

    /// Adds a header to all requests.
    pub fn with_header(mut self, name: &'static str, value: &str) -> Self {
        self.extra_headers.push((name, value.to_owned()));
        self
    }

    /// Says in a header that no earlier call was made under the key.
    pub fn with_first_call_header(mut self) -> Self {
        self.is_first_call = true;
        self
    }

    /// Sends a chat request with a streamed response.
    pub fn chat(&self, prompt: &str, max_tokens: u32) -> Result<Reply, SendError> {
        self.post(
            "/v1/chat/completions",
            &chat_body(prompt, max_tokens, true),
            None,
        )
    }

    /// Does the same as [`Caller::chat`] in an async runtime.
    pub async fn chat_async(&self, prompt: &str, max_tokens: u32) -> Result<Reply, SendError> {
        let body = chat_body(prompt, max_tokens, true);
        let path = "/v1/chat/completions";
        self.exchange(Method::POST, path, &body, None).await
    }

    /// Sends a chat request with a whole response.
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

    /// Calls a service.
    pub fn call(&self, service: &str, body: &str, key: Option<&str>) -> Result<Reply, SendError> {
        self.post(&format!("/v1/services/{service}"), body, key)
    }

    /// Sends a GET request.
    pub fn get(&self, path: &str) -> Result<Reply, SendError> {
        let runtime = Runtime::new().expect("a runtime can be made");
        runtime.block_on(self.exchange(Method::GET, path, "", None))
    }

    /// Sends a POST request.
    pub fn post(&self, path: &str, body: &str, key: Option<&str>) -> Result<Reply, SendError> {
        let runtime = Runtime::new().expect("a runtime can be made");
        runtime.block_on(self.exchange(Method::POST, path, body, key))
    }

    /// Sends a request and reads its response to the end.
    pub async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: &str,
        key: Option<&str>,
    ) -> Result<Reply, SendError> {
        let start = Instant::now();
        let connection = Connection::connect(self.addr, CONNECT_TIMEOUT).await?;
        let response = connection
            .send(self.request(method, path, body, key), RESPONSE_TIMEOUT)
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
        for (name, value) in &self.extra_headers {
            builder = builder.header(*name, value);
        }
        builder
            .body(Full::new(Bytes::from(body.to_owned())))
            .expect("the request is well formed")
    }
}

impl Reply {
    /// Whether a streamed response has its end marker.
    pub fn is_done(&self) -> bool {
        self.is_complete && self.body.trim_end().ends_with("data: [DONE]")
    }

    /// The text of a streamed completion.
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

    /// What the response says about whether the request ran.
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
