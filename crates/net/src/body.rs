//! Response bodies, whole or streamed, and reading of bodies within limits.

use std::fmt;
use std::pin::Pin;
use std::pin::pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use bytes::Bytes;
use compio::time::timeout;
use derive_more::Display;
use derive_more::Error;
use futures_util::Stream;
use futures_util::future::Either;
use futures_util::future::select;
use http::StatusCode;
use http_body::Body as _;
use http_body::Frame;
use http_body_util::BodyExt;

use crate::Charge;
use crate::Inbound;
use crate::ReceivedBody;
use crate::collector::CollectError;
use crate::collector::Collector;
use crate::connection::is_connection_end;
use memory::Holding;

/// Frames that a streamed body buffers before its sender has to wait.
const STREAM_BUFFER_FRAMES: usize = 64;

/// The error of a body that ends early. Its connection is aborted, so that it does not look
/// complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
#[display("the body was broken off")]
pub struct BodyAborted;

/// The frames of a body, as a stream that produces them on demand.
pub type FrameStream = Pin<Box<dyn Stream<Item = Result<Bytes, BodyAborted>>>>;

/// The body of a response.
pub enum Body {
    /// A body that is sent as a whole.
    Whole(Option<Bytes>),
    /// Frames from a [`BodySender`], until the sender is dropped.
    Stream(Pin<Box<Receiver<Bytes>>>),
    /// Frames from a stream that the connection polls. It is dropped with the connection.
    Driven(FrameStream),
}

impl fmt::Debug for Body {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Whole(_) => "Whole",
            Self::Stream(_) => "Stream",
            Self::Driven(_) => "Driven",
        })
    }
}

/// The sending end of a streamed body.
#[derive(Clone, Debug)]
pub struct BodySender(Sender<Bytes>);

/// The reader of a body has disconnected or has not taken a frame for too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
#[display("the reader of the body has gone or stalled")]
pub struct ReaderGone;

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum BodyError {
    /// The body has more bytes than allowed.
    #[display("the body is larger than {limit} bytes")]
    TooLarge {
        /// The largest size allowed, in bytes.
        limit: usize,
    },
    /// The body did not arrive in time.
    #[display("the body did not arrive within {} ms", time_limit.as_millis())]
    TooSlow {
        /// The time allowed for the whole body.
        time_limit: Duration,
    },
    /// The connection ended before the body was complete.
    #[display("the connection broke within the body")]
    Broken,
    /// What came is no body.
    #[display("the body cannot be read")]
    Unreadable,
    /// Other requests and answers take up the memory.
    #[display("other requests and answers take up the memory")]
    NoMemory,
}

impl BodyError {
    /// The status of the answer to a call whose body was not read.
    pub fn status(self) -> StatusCode {
        match self {
            Self::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::TooSlow { .. } | Self::Broken | Self::Unreadable => StatusCode::BAD_REQUEST,
            Self::NoMemory => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

impl From<CollectError> for BodyError {
    fn from(e: CollectError) -> Self {
        match e {
            CollectError::TooLarge { limit } => Self::TooLarge { limit },
            CollectError::NoMemory => Self::NoMemory,
        }
    }
}

impl Default for Body {
    fn default() -> Self {
        Self::Whole(None)
    }
}

impl Body {
    /// Creates a body that is sent as a whole.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()))
    }

    /// Creates a streamed body and its sender.
    pub fn stream() -> (BodySender, Self) {
        let (tx, rx) = async_channel::bounded(STREAM_BUFFER_FRAMES);
        (BodySender(tx), Self::Stream(Box::pin(rx)))
    }
}

impl BodySender {
    /// Sends a frame, waiting at most `time_limit` for the reader to take earlier ones.
    pub async fn send(&self, frame: Bytes, time_limit: Duration) -> Result<(), ReaderGone> {
        match timeout(time_limit, self.0.send(frame)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(ReaderGone),
        }
    }

    /// Whether the reader has gone.
    pub fn is_closed(&self) -> bool {
        self.0.is_closed()
    }

    /// Waits until the reader has gone.
    pub async fn closed(&self) {
        self.0.closed().await;
    }
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Self::Stream(rx) => rx
                .as_mut()
                .poll_next(cx)
                .map(|b| b.map(|b| Ok(Frame::data(b)))),
            Self::Driven(frames) => frames
                .as_mut()
                .poll_next(cx)
                .map(|b| b.map(|b| b.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> http_body::SizeHint {
        match self {
            Self::Whole(bytes) => {
                let len = bytes.as_ref().map_or(0, Bytes::len);
                http_body::SizeHint::with_exact(len as u64)
            }
            Self::Stream(_) | Self::Driven(_) => http_body::SizeHint::default(),
        }
    }
}

/// Reads the body of a request, of at most `limit` bytes, that arrives within `time_limit`. What
/// it takes is charged to its connection until the last clone of the body is dropped.
pub async fn read_request(
    body: Inbound,
    limit: usize,
    time_limit: Duration,
) -> Result<Bytes, BodyError> {
    let account = body.account().clone();
    let largest = account.memory().machine().largest_request();
    let charge = account.charge(Holding::Request);
    let collector = Collector::new(Some(charge), limit.min(largest), &body.size_hint())?;
    let arrival = account.begin_arrival();
    let read = pin!(timeout(
        time_limit,
        collect(body, collector, |len| arrival.record(len))
    ));
    match select(read, pin!(account.given_up())).await {
        Either::Left((Ok(read), _)) => read,
        Either::Left((Err(_), _)) => Err(BodyError::TooSlow { time_limit }),
        Either::Right(_) => Err(BodyError::NoMemory),
    }
}

/// Reads the body of an answer to a caller, of at most `limit` bytes, that comes within
/// `time_limit`. What it takes is charged until the last clone of the body is dropped.
pub async fn read_answer(
    body: ReceivedBody,
    limit: usize,
    time_limit: Duration,
    charge: Charge,
) -> Result<Bytes, BodyError> {
    read_within(body, limit, time_limit, Some(charge)).await
}

/// Reads the body of an answer to this process itself, of at most `limit` bytes, that comes within
/// `time_limit`. As such answers are small and few, they are charged to nobody.
pub async fn read_body(
    body: ReceivedBody,
    limit: usize,
    time_limit: Duration,
) -> Result<Bytes, BodyError> {
    read_within(body, limit, time_limit, None).await
}

async fn read_within(
    body: ReceivedBody,
    limit: usize,
    time_limit: Duration,
    charge: Option<Charge>,
) -> Result<Bytes, BodyError> {
    let collector = Collector::new(charge, limit, &body.size_hint())?;
    match timeout(time_limit, collect(body, collector, |_| {})).await {
        Ok(read) => read,
        Err(_) => Err(BodyError::TooSlow { time_limit }),
    }
}

async fn collect<Input>(
    body: Input,
    mut collector: Collector,
    record: impl Fn(usize),
) -> Result<Bytes, BodyError>
where
    Input: http_body::Body<Data = Bytes, Error = hyper::Error>,
{
    let mut body = pin!(body);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| match is_connection_end(&e) {
            true => BodyError::Broken,
            false => BodyError::Unreadable,
        })?;
        if let Ok(data) = frame.into_data() {
            record(data.len());
            collector.push(&data).await?;
        }
    }
    Ok(collector.finish())
}
