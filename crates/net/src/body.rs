//! Bodies of answers, whole or streamed, and the bounded reading of requests' bodies.

use std::fmt;
use std::pin::Pin;
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
use http_body::Frame;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;

/// Frames a streamed body holds before its sender has to wait.
const STREAM_FRAMES: usize = 64;

/// A body that ends before its end: the connection is broken off, so that it does not
/// look whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
#[display("the body was broken off")]
pub struct BodyAborted;

/// The frames of a body as somebody makes them.
pub type FrameStream = Pin<Box<dyn Stream<Item = Result<Bytes, BodyAborted>>>>;

/// The body of an answer.
pub enum Body {
    /// All of it at once.
    Whole(Option<Bytes>),
    /// Frame by frame, until the sender is dropped.
    Stream(Pin<Box<Receiver<Bytes>>>),
    /// Frame by frame, made as the connection asks for them. They are dropped with it.
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

/// The reader has gone or has not taken a frame for too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
#[display("the reader of the body has gone or stalled")]
pub struct ReaderGone;

/// A body that could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum BodyError {
    /// More bytes than allowed.
    #[display("the body is larger than {limit} bytes")]
    TooLarge {
        /// Bytes allowed.
        limit: usize,
    },
    /// It did not arrive in time.
    #[display("the body did not arrive within {} ms", time_limit.as_millis())]
    TooSlow {
        /// Time allowed.
        time_limit: Duration,
    },
    /// The connection broke.
    #[display("the connection broke within the body")]
    Broken,
}

impl Default for Body {
    fn default() -> Self {
        Self::Whole(None)
    }
}

impl Body {
    /// A body that is there as a whole.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()))
    }

    /// A streamed body and its sender.
    pub fn stream() -> (BodySender, Self) {
        let (tx, rx) = async_channel::bounded(STREAM_FRAMES);
        (BodySender(tx), Self::Stream(Box::pin(rx)))
    }
}

impl BodySender {
    /// Sends a frame, waiting at most `stall` for the reader to take earlier ones.
    pub async fn send(&self, frame: Bytes, stall: Duration) -> Result<(), ReaderGone> {
        match timeout(stall, self.0.send(frame)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(ReaderGone),
        }
    }

    /// True once the reader has gone.
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

/// Reads a body of at most `limit` bytes that arrives within `time_limit`.
pub async fn read_body<Input>(
    input: Input,
    limit: usize,
    time_limit: Duration,
) -> Result<Bytes, BodyError>
where
    Input: http_body::Body,
    Input::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    match timeout(time_limit, Limited::new(input, limit).collect()).await {
        Err(_) => Err(BodyError::TooSlow { time_limit }),
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(BodyError::TooLarge { limit }),
        Ok(Err(_)) => Err(BodyError::Broken),
    }
}
