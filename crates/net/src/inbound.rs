//! The body of a request that a server received, and its connection in the memory account.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body::Frame;

use crate::ConnectionAccount;
use crate::ReceivedBody;

/// The body of a request. [`crate::read_request`] reads it whole.
#[derive(Debug)]
pub struct Inbound {
    body: ReceivedBody,
    account: ConnectionAccount,
}

impl Inbound {
    pub(crate) fn new(body: ReceivedBody, account: ConnectionAccount) -> Self {
        Self { body, account }
    }

    /// The part of its connection in the memory account.
    pub fn account(&self) -> &ConnectionAccount {
        &self.account
    }
}

impl http_body::Body for Inbound {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> http_body::SizeHint {
        self.body.size_hint()
    }
}
