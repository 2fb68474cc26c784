//! One exchange with an engine: send the request, follow the frames.

use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;
use compio::time::timeout;
use derive_more::Display;
use derive_more::Error;
use eventsource_stream::EventStream;
use eventsource_stream::Eventsource;
use futures_util::Stream;
use futures_util::StreamExt;
use http::HeaderMap;
use http::Request;
use http::StatusCode;
use http_body_util::BodyDataStream;
use http_body_util::Full;
use hyper::body::Incoming;

use crate::dispatch::Placed;
use crate::entry::auth;
use crate::entry::chunk::Follower;
use crate::entry::chunk::Frame;
use crate::entry::chunk::FrameError;
use crate::node::Node;
use net::Connection;
use net::SendError;
use wire::engine::FENCE_HEADER;
use wire::engine::PRIORITY_HEADER;
use wire::engine::REPLICA_HEADER;
use wire::engine::REQUEST_ID_HEADER;
use wire::engine::RESUME_HEADER;

/// Time allowed to connect to an engine.
const CONNECT: Duration = Duration::from_millis(500);

/// Time allowed to an engine's head, which comes before any work.
const HEAD: Duration = Duration::from_secs(5);

/// Time allowed to the first token and between two tokens.
const SILENCE: Duration = Duration::from_secs(30);

/// Why an exchange ended before the answer was whole.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum Break {
    /// Nothing was sent.
    #[display("nothing was sent: {_0}")]
    NotSent(#[error(not(source))] SendError),
    /// The route ended before anything was sent.
    #[display("the route ended before anything was sent")]
    NotRouted,
    /// The engine took no work: it is of another replica, or full.
    #[display("the engine refused with status {_0}")]
    Refused(#[error(not(source))] StatusCode),
    /// The link broke or went silent after the request was sent.
    #[display("the link broke off")]
    Lost,
    /// The answer is not one to this request.
    #[display("{_0}")]
    Wrong(#[error(not(source))] FrameError),
}

impl Break {
    /// Whether the engine can have worked on the request.
    pub fn may_have_run(&self) -> bool {
        !matches!(self, Self::NotSent(_) | Self::NotRouted | Self::Refused(_))
    }
}

/// An answer that is coming in.
pub struct Exchange {
    events: Pin<Box<EventStream<DataStream>>>,
}

type DataStream = Pin<Box<dyn Stream<Item = Result<Bytes, hyper::Error>>>>;

impl Exchange {
    /// Sends a request to the first host of the replica it was placed on.
    pub async fn open(
        node: &Node,
        placed: &Placed,
        id: &str,
        body: Bytes,
        from: u32,
    ) -> Result<Self, Break> {
        let mut req = request(placed, id, body, from);
        req.headers_mut()
            .insert("authorization", auth::own_name(node));
        let connection = Connection::connect(placed.addr, CONNECT).await;
        let connection = connection.map_err(Break::NotSent)?;
        // The last look at the route, with no wait between it and the send.
        if !node.dispatch.allows(placed) {
            return Err(Break::NotRouted);
        }
        let response = connection.send(req, HEAD).await.map_err(|_| Break::Lost)?;
        if response.status() != StatusCode::OK {
            return Err(Break::Refused(response.status()));
        }
        if !names(response.headers(), placed) {
            return Err(Break::Lost);
        }
        Ok(Self::follow(response.into_body()))
    }

    fn follow(body: Incoming) -> Self {
        let data: DataStream = Box::pin(BodyDataStream::new(body));
        let events = Box::pin(data.eventsource());
        Self { events }
    }

    /// The next frame and its data.
    pub async fn next(&mut self, follower: &mut Follower) -> Result<(Frame, String), Break> {
        match timeout(SILENCE, self.events.next()).await {
            Ok(Some(Ok(event))) => {
                let frame = follower.follow(&event.data).map_err(Break::Wrong)?;
                Ok((frame, event.data))
            }
            Ok(Some(Err(_)) | None) | Err(_) => Err(Break::Lost),
        }
    }
}

fn request(placed: &Placed, id: &str, body: Bytes, from: u32) -> Request<Full<Bytes>> {
    let mut req = Request::new(Full::new(body));
    *req.method_mut() = http::Method::POST;
    *req.uri_mut() = http::Uri::from_static("/v1/chat/completions");
    let headers = req.headers_mut();
    let mut set = |name: &'static str, value: String| {
        if let Ok(value) = value.parse() {
            headers.insert(name, value);
        }
    };
    set("host", placed.addr.to_string());
    set("content-type", "application/json".to_owned());
    set(REQUEST_ID_HEADER, id.to_owned());
    set(REPLICA_HEADER, placed.replica.to_string());
    set(FENCE_HEADER, placed.fence.to_string());
    set(PRIORITY_HEADER, placed.priority.to_string());
    set(RESUME_HEADER, from.to_string());
    req
}

/// Whether an answer comes from the replica that was asked.
fn names(headers: &HeaderMap, placed: &Placed) -> bool {
    let is = |name: &str, value: String| {
        headers
            .get(name)
            .is_some_and(|v| v.as_bytes() == value.as_bytes())
    };
    is(REPLICA_HEADER, placed.replica.to_string()) && is(FENCE_HEADER, placed.fence.to_string())
}
