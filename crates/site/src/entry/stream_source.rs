//! The response of one target that a relayed stream is read from.

use std::time::Duration;

use bytes::Bytes;
use compio::time::timeout;
use http::HeaderMap;
use http::header;
use http::response::Parts;
use http_body_util::BodyExt;

use crate::entry::attempt::AttemptResponse;
use crate::entry::attempt_guard::AttemptGuard;
use base::Time;
use forward::Framing;
use net::Connection;
use net::ReceivedBody;
use net::is_connection_end;
use quorum::clock;

/// A stream that goes on this long after its first event has not ended its upstream.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// The response that a stream is currently read from.
pub(crate) struct StreamSource {
    body: ReceivedBody,
    pub connection: Connection,
    pub guard: AttemptGuard,
    /// How long the upstream allows the connection to be idle afterwards. None if it names no
    /// time.
    pub keep_alive: Option<Duration>,
    /// When the first complete event arrived from this target.
    pub first_event_at: Option<Time>,
    /// What tells where the answer ends.
    pub framing: Framing,
    /// Whether an event came that is not passed on. Nothing more is read.
    pub is_rejected: bool,
}

/// The result of waiting for more of a stream.
pub(crate) enum StreamInput {
    Bytes(Bytes),
    End,
    Broken(&'static str),
    /// What came is no part of an answer.
    Unreadable,
    /// An event came that is not passed on.
    Rejected,
    Nothing,
}

impl StreamSource {
    /// Splits a response into its head and the source of its stream.
    pub fn open(answer: AttemptResponse) -> (Parts, Self) {
        let AttemptResponse {
            response,
            connection,
            guard,
            keep_alive,
        } = answer;
        let (head, body) = response.into_parts();
        let framing = framing_of(&head.headers);
        let source = Self {
            body,
            connection,
            guard,
            keep_alive,
            first_event_at: None,
            framing,
            is_rejected: false,
        };
        (head, source)
    }

    /// Waits for more of the stream, at most until `end`.
    pub async fn next_input(&mut self, end: Time) -> StreamInput {
        if self.is_rejected {
            return StreamInput::Rejected;
        }
        match timeout(end.since(clock::now()), self.body.frame()).await {
            Ok(Some(Ok(frame))) => match frame.into_data() {
                Ok(data) => StreamInput::Bytes(data),
                Err(_) => StreamInput::Nothing,
            },
            Ok(Some(Err(e))) if is_connection_end(&e) => {
                StreamInput::Broken("the connection broke")
            }
            Ok(Some(Err(_))) => StreamInput::Unreadable,
            Ok(None) => StreamInput::End,
            Err(_) => StreamInput::Nothing,
        }
    }

    /// Whether the end may have come before the first event. An answer with neither a length nor
    /// chunks ends with its connection, whatever ended that.
    pub fn may_have_lost_all(&self) -> bool {
        self.first_event_at.is_none() && self.framing == Framing::UntilClose
    }

    /// Whether the stream began long enough ago that its request can't be what ends the upstream.
    pub fn is_settled(&self, now: Time) -> bool {
        let began_at = self.first_event_at;
        began_at.is_some_and(|at| SETTLE_TIME <= now.since(at))
    }
}

/// What tells where the body of an answer ends.
pub(crate) fn framing_of(headers: &HeaderMap) -> Framing {
    let names = [header::CONTENT_LENGTH, header::TRANSFER_ENCODING];
    match names.iter().any(|name| headers.contains_key(name)) {
        true => Framing::Framed,
        false => Framing::UntilClose,
    }
}
