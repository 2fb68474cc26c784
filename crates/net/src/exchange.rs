//! A request that is under way on a connection, until the head of its answer has come.
//!
//! An exchange that nobody waits for any more can be heard out: the upstream learns at once that
//! the caller has left, and what it says in its answer's head is still read.

use std::cell::RefCell;
use std::fmt;
use std::net::Shutdown;
use std::rc::Rc;
use std::time::Duration;

use compio::net::TcpStream;
use compio::time::timeout;
use futures_util::future::LocalBoxFuture;
use http::Response;
use socket2::SockRef;

use crate::Connection;
use crate::ReceivedBody;
use crate::RequestError;

/// A request on its way, and the connection that its answer comes on.
pub struct Exchange {
    connection: Connection,
    answer: LocalBoxFuture<'static, Result<Response<ReceivedBody>, RequestError>>,
}

/// This process's half of a connection, for as long as the connection lives.
#[derive(Clone)]
pub(crate) struct OwnHalf(Rc<RefCell<Option<TcpStream>>>);

impl OwnHalf {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self(Rc::new(RefCell::new(Some(stream))))
    }

    /// Lets go of the connection, which has ended.
    pub(crate) fn release(&self) {
        self.0.take();
    }

    /// Ends this process's half. The other half can still be read.
    fn end(&self) {
        if let Some(stream) = &*self.0.borrow()
            && let Err(e) = SockRef::from(stream).shutdown(Shutdown::Write)
        {
            log::debug!("a connection had ended before its half was: {e}");
        }
    }
}

impl fmt::Debug for Exchange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Exchange({})", self.connection.addr())
    }
}

impl Exchange {
    pub(crate) fn new(
        connection: Connection,
        answer: LocalBoxFuture<'static, Result<Response<ReceivedBody>, RequestError>>,
    ) -> Self {
        Self { connection, answer }
    }

    /// Waits for the head of the answer. May be called again if it was dropped.
    pub async fn head(&mut self) -> Result<Response<ReceivedBody>, RequestError> {
        self.answer.as_mut().await
    }

    /// The connection, once the head has come.
    pub fn into_connection(self) -> Connection {
        self.connection
    }

    /// Ends this process's half of the connection, so that the upstream stops. Its half can still
    /// be read.
    pub fn end_own_half(&self) {
        self.connection.own_half().end();
    }

    /// Waits for what the head says, then closes the connection. None if it doesn't come within
    /// `time_limit`.
    pub async fn hear_out(mut self, time_limit: Duration) -> Option<Response<()>> {
        let head = timeout(time_limit, self.head()).await.ok()?.ok()?;
        Some(head.map(|_body| ()))
    }
}
