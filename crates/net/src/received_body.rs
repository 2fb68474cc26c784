//! The body of a request or an answer that a connection receives.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body::Frame;
use hyper::body::Incoming;

use crate::overhead::Overhead;

/// A body that is received. What comes between two parts of it is bounded.
#[derive(Debug)]
pub struct ReceivedBody {
    body: Incoming,
    overhead: Overhead,
}

impl ReceivedBody {
    pub(crate) fn new(body: Incoming, overhead: Overhead) -> Self {
        Self { body, overhead }
    }
}

impl http_body::Body for ReceivedBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = Pin::new(&mut self.body).poll_frame(cx);
        if let Poll::Ready(Some(Ok(_))) = &frame {
            self.overhead.record_content();
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> http_body::SizeHint {
        self.body.size_hint()
    }
}
