//! The events of an engine's answer, each within a bounded number of bytes.
//!
//! What has come of an event is kept until it is whole, so an upstream that sends text without an
//! end, or comments, must not go on for good.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use eventsource_stream::EventStream;
use eventsource_stream::EventStreamError;
use eventsource_stream::Eventsource;
use futures_util::Stream;
use futures_util::StreamExt;
use http_body_util::BodyDataStream;

use net::ReceivedBody;

/// The most bytes that may come until an event is whole.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Why an answer has no further event.
#[derive(Debug, Display, Error, From)]
pub(crate) enum NoEvent {
    /// The answer ended.
    #[display("the answer ended")]
    Ended,
    /// Too much came that is no event.
    #[display("{MAX_EVENT_BYTES} bytes came without an event")]
    TooLong,
    /// The connection broke, or what came can't be read.
    #[display("the answer broke off: {_0}")]
    Broken(hyper::Error),
    /// What came is no text.
    #[display("the answer is no text")]
    NoText,
}

/// The events of an answer.
pub(crate) struct EngineEvents {
    events: Pin<Box<EventStream<Data>>>,
    /// Bytes since the last event.
    bytes: Rc<Cell<usize>>,
}

type Data = Pin<Box<dyn Stream<Item = Result<Bytes, NoEvent>>>>;

impl EngineEvents {
    /// Reads the events of an answer's body.
    pub fn open(body: ReceivedBody) -> Self {
        let bytes = Rc::new(Cell::new(0));
        let counted = Rc::clone(&bytes);
        let data = BodyDataStream::new(body).map(move |data| {
            let data = data?;
            counted.set(counted.get() + data.len());
            match MAX_EVENT_BYTES < counted.get() {
                true => Err(NoEvent::TooLong),
                false => Ok(data),
            }
        });
        let data: Data = Box::pin(data);
        let events = Box::pin(data.eventsource());
        Self { events, bytes }
    }

    /// The data of the next event.
    pub async fn next(&mut self) -> Result<String, NoEvent> {
        let event = self.events.next().await.ok_or(NoEvent::Ended)?;
        let event = event.map_err(|e| match e {
            EventStreamError::Transport(e) => e,
            EventStreamError::Utf8(_) | EventStreamError::Parser(_) => NoEvent::NoText,
        })?;
        self.bytes.set(0);
        Ok(event.data)
    }
}
