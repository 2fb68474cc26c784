//! Answers to requests that are given up before the head of their answer has come.
//!
//! What an upstream says of itself in a head holds whoever waits for the answer. So the head of an
//! abandoned request is still read, for a bounded time and on a bounded number of connections.

use std::cell::Cell;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_channel::Sender;
use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;

use crate::Connection;
use crate::Exchange;
use crate::ReceivedBody;
use crate::RequestError;

/// How long the answer to an abandoned request is waited for. Upstreams that don't look at their
/// connections turn requests away at the end of their queues, which are shorter.
const HEAR_TIME: Duration = Duration::from_secs(2);

/// Connections on which such answers are waited for at once. They need memory and descriptors.
const MAX_HEARD: usize = 256;

/// Waits for the answers to abandoned requests, for as long as it or a request exists.
#[derive(Clone, Debug)]
pub struct LateAnswers {
    /// How many are waited for.
    heard: Rc<Cell<usize>>,
    abandoned: Sender<Abandoned>,
}

/// What became of the answer to an abandoned request.
#[derive(Debug)]
pub enum LateAnswer {
    /// Its head came this long after the request was abandoned.
    Heard(Response<()>, Duration),
    /// It did not come in time, or not at all.
    Unheard,
    /// Too many others are waited for.
    Surplus,
}

/// Takes what became of an answer.
type OnLate = Box<dyn FnOnce(LateAnswer)>;

/// An abandoned request. This process's half of its connection has ended.
struct Abandoned {
    exchange: Exchange,
    on_late: OnLate,
    at: Instant,
}

/// A request under way. If it is dropped before the head of its answer has come, it is abandoned.
pub struct AwaitedAnswer {
    exchange: Option<Exchange>,
    late_answers: LateAnswers,
    on_late: Option<OnLate>,
}

impl fmt::Debug for AwaitedAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "AwaitedAnswer({:?})", self.exchange)
    }
}

impl LateAnswers {
    /// Starts to wait for such answers.
    pub fn spawn() -> Self {
        let (tx, rx) = async_channel::bounded(MAX_HEARD);
        let heard = Rc::default();
        compio::runtime::spawn(hear_out(rx)).detach();
        Self {
            heard,
            abandoned: tx,
        }
    }

    /// Sends a request. `on_late` is called if it is abandoned.
    pub fn send(
        &self,
        connection: Connection,
        req: Request<Full<Bytes>>,
        on_late: impl FnOnce(LateAnswer) + 'static,
    ) -> AwaitedAnswer {
        AwaitedAnswer {
            exchange: Some(connection.begin(req)),
            late_answers: self.clone(),
            on_late: Some(Box::new(on_late)),
        }
    }

    fn abandon(&self, exchange: Exchange, on_late: OnLate) {
        if MAX_HEARD <= self.heard.get() {
            on_late(LateAnswer::Surplus);
            return;
        }
        exchange.end_own_half();
        let heard = Heard::count(&self.heard);
        let abandoned = Abandoned {
            exchange,
            on_late: Box::new(move |answer| {
                drop(heard);
                on_late(answer);
            }),
            at: Instant::now(),
        };
        if self.abandoned.try_send(abandoned).is_err() {
            log::debug!("this process ends, so an answer is not waited for");
        }
    }
}

/// Waits for the answers to abandoned requests, all at once.
async fn hear_out(abandoned: Receiver<Abandoned>) {
    while let Ok(abandoned) = abandoned.recv().await {
        compio::runtime::spawn(abandoned.hear_out()).detach();
    }
}

impl Abandoned {
    async fn hear_out(self) {
        let head = self.exchange.hear_out(HEAR_TIME).await;
        let late = self.at.elapsed();
        (self.on_late)(match head {
            Some(head) => LateAnswer::Heard(head, late),
            None => LateAnswer::Unheard,
        });
    }
}

impl AwaitedAnswer {
    /// Waits for the head of the answer. May be called again if it was dropped, but not after it
    /// returned.
    pub async fn head(&mut self) -> Result<(Response<ReceivedBody>, Connection), RequestError> {
        let Some(exchange) = &mut self.exchange else {
            return Err(RequestError::Lost);
        };
        let head = exchange.head().await;
        let ended = self.exchange.take().ok_or(RequestError::Lost)?;
        head.map(|response| (response, ended.into_connection()))
    }
}

impl Drop for AwaitedAnswer {
    fn drop(&mut self) {
        if let (Some(exchange), Some(on_late)) = (self.exchange.take(), self.on_late.take()) {
            self.late_answers.abandon(exchange, on_late);
        }
    }
}

/// Counts a connection until it is dropped.
struct Heard(Rc<Cell<usize>>);

impl Heard {
    fn count(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Self(Rc::clone(open))
    }
}

impl Drop for Heard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
