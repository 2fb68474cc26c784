//! One exchange with an engine: sends a request and reads the frames of its answer.

use std::time::Duration;

use bytes::Bytes;
use compio::time::timeout;
use derive_more::Display;
use derive_more::Error;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Full;

use crate::dispatch::Placement;
use crate::entry::auth;
use crate::entry::chunk::Frame;
use crate::entry::chunk::FrameError;
use crate::entry::chunk::FrameSequence;
use crate::entry::engine_events::EngineEvents;
use crate::entry::engine_events::NoEvent;
use crate::node::Node;
use crate::rests;
use base::Time;
use forward::AnswerHead;
use forward::AnswerMeaning;
use forward::AnsweredRequest;
use forward::IdUse;
use forward::RefusalProtocol;
use net::Connection;
use net::ReceivedBody;
use net::SendError;
use quorum::clock;
use wire::engine::FENCE_HEADER;
use wire::engine::NOT_RUN;
use wire::engine::PRIORITY_HEADER;
use wire::engine::RAN_HEADER;
use wire::engine::REPLICA_HEADER;
use wire::engine::REQUEST_ID_HEADER;
use wire::engine::RESUME_HEADER;

/// Time allowed to connect to an engine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time allowed for the head of a response, which an engine sends before any work.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Time allowed before the first token and between two tokens.
const TOKEN_TIMEOUT: Duration = Duration::from_secs(30);

/// Why an exchange ended before the answer was complete.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum ExchangeError {
    /// Nothing was sent.
    #[display("nothing was sent: {_0}")]
    NotSent(#[error(not(source))] SendError),
    /// The route became invalid before anything was sent.
    #[display("the route ended before anything was sent")]
    RouteEnded,
    /// The replica asked for rest before anything was sent.
    #[display("the replica asked for rest before anything was sent")]
    Resting,
    /// The engine refused the request and said that it did not run it.
    #[display("the engine refused with status {_0}")]
    Refused(#[error(not(source))] StatusCode),
    /// The answer cannot be taken for anything. The request may have run.
    #[display("status {status}: {doubt}")]
    Doubtful {
        /// The answer's status.
        status: StatusCode,
        /// Why.
        doubt: &'static str,
    },
    /// After the request was sent, the connection broke or timed out.
    #[display("the connection broke off")]
    ConnectionLost,
    /// Too much came that is no event.
    #[display("too many bytes came without an event")]
    NoEvent,
    /// The answer has a frame that does not belong to it.
    #[display("{_0}")]
    InvalidFrame(#[error(not(source))] FrameError),
}

impl ExchangeError {
    /// Whether the engine may have started to run the request.
    pub fn may_have_run(&self) -> bool {
        !matches!(
            self,
            Self::NotSent(_) | Self::RouteEnded | Self::Resting | Self::Refused(_)
        )
    }

    /// Whether the replica may go on with the answer if it is asked again.
    pub fn may_go_on(&self) -> bool {
        matches!(self, Self::ConnectionLost | Self::InvalidFrame(_))
    }
}

/// An engine's answer that is being received.
pub struct Exchange {
    events: EngineEvents,
    /// When the last frame came that gets the answer on, or the request was sent.
    last_progress: Time,
}

impl Exchange {
    /// Sends a request to the first host of the replica that it was placed on. The answer
    /// starts at the token `first_index`.
    pub async fn open(
        node: &Node,
        placement: &Placement,
        id: &str,
        body: Bytes,
        first_index: u32,
    ) -> Result<Self, ExchangeError> {
        let mut req = request(placement, id, body, first_index);
        req.headers_mut()
            .insert("authorization", auth::upstream_authorization(node));
        let connection = Connection::connect(placement.addr, CONNECT_TIMEOUT).await;
        let connection = connection.map_err(ExchangeError::NotSent)?;
        // The last check of the route, with no await between it and the send.
        if !node.dispatch.may_send(placement) {
            return Err(ExchangeError::RouteEnded);
        }
        let upstream = placement.resting_upstream();
        if !node.rests.may_send(upstream) {
            return Err(ExchangeError::Resting);
        }
        let id_use = node.record_sent_id(placement.addr, id);
        let response = rests::send(node, upstream, connection, req, HEAD_TIMEOUT).await;
        let response = response.map_err(|_| ExchangeError::ConnectionLost)?;
        let status = response.status();
        let is_signed = is_from_replica(response.headers(), placement);
        match answer_head(&response, id, id_use, is_signed).meaning() {
            AnswerMeaning::Answer if status == StatusCode::OK => Ok(Self {
                events: EngineEvents::open(response.into_body()),
                last_progress: clock::now(),
            }),
            AnswerMeaning::Answer => Err(ExchangeError::Doubtful {
                status,
                doubt: "an error that does not say that the request did not run",
            }),
            AnswerMeaning::NotRun => Err(ExchangeError::Refused(status)),
            AnswerMeaning::Unknown(doubt) => Err(ExchangeError::Doubtful {
                status,
                doubt: doubt.text(),
            }),
        }
    }

    /// Reads the next frame and its data.
    pub async fn next(
        &mut self,
        frames: &mut FrameSequence,
    ) -> Result<(Frame, String), ExchangeError> {
        // Repeated frames don't put this off.
        let left = (self.last_progress + TOKEN_TIMEOUT).since(clock::now());
        if left.is_zero() {
            return Err(ExchangeError::ConnectionLost);
        }
        let data = match timeout(left, self.events.next()).await {
            Ok(Ok(data)) => data,
            Ok(Err(NoEvent::TooLong)) => return Err(ExchangeError::NoEvent),
            Ok(Err(NoEvent::Ended | NoEvent::Broken(_) | NoEvent::NoText)) | Err(_) => {
                return Err(ExchangeError::ConnectionLost);
            }
        };
        let frame = frames.check_event(&data);
        let frame = frame.map_err(ExchangeError::InvalidFrame)?;
        if frame != Frame::Repeated {
            self.last_progress = clock::now();
        }
        Ok((frame, data))
    }
}

fn request(placement: &Placement, id: &str, body: Bytes, first_index: u32) -> Request<Full<Bytes>> {
    let mut req = Request::new(Full::new(body));
    *req.method_mut() = http::Method::POST;
    *req.uri_mut() = http::Uri::from_static("/v1/chat/completions");
    let headers = req.headers_mut();
    let mut set = |name: &'static str, value: String| {
        if let Ok(value) = value.parse() {
            headers.insert(name, value);
        }
    };
    set("host", placement.addr.to_string());
    set("content-type", "application/json".to_owned());
    set(REQUEST_ID_HEADER, id.to_owned());
    set(REPLICA_HEADER, placement.replica.to_string());
    set(FENCE_HEADER, placement.fence.to_string());
    set(PRIORITY_HEADER, placement.priority.to_string());
    set(RESUME_HEADER, first_index.to_string());
    req
}

/// The head of a response to the only request of its connection.
pub(crate) fn answer_head(
    response: &Response<ReceivedBody>,
    id: &str,
    id_use: IdUse,
    is_signed: bool,
) -> AnswerHead {
    let headers = response.headers();
    let named = headers.get(REQUEST_ID_HEADER);
    let named = named.map(http::HeaderValue::as_bytes);
    AnswerHead {
        protocol: RefusalProtocol::Marks,
        status: response.status().as_u16(),
        request: AnsweredRequest::of(Some(id.as_bytes()), named),
        id_use,
        says_not_run: headers.get(RAN_HEADER).is_some_and(|ran| ran == NOT_RUN),
        is_signed,
        is_encoded: headers.contains_key(http::header::CONTENT_ENCODING),
    }
}

/// Whether a response comes from the replica and fence that the request was sent to.
fn is_from_replica(headers: &HeaderMap, placement: &Placement) -> bool {
    let has = |name: &str, value: String| {
        headers
            .get(name)
            .is_some_and(|v| v.as_bytes() == value.as_bytes())
    };
    has(REPLICA_HEADER, placement.replica.to_string())
        && has(FENCE_HEADER, placement.fence.to_string())
}
