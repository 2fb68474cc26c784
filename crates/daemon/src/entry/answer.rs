//! An answer that is being received, and its resumption after the engine's connection broke.

use std::rc::Rc;

use crate::dispatch::PlacedRequest;
use crate::dispatch::Placement;
use crate::entry::chunk::Frame;
use crate::entry::chunk::FrameSequence;
use crate::entry::exchange::Exchange;
use crate::entry::exchange::ExchangeError;
use crate::entry::request::ChatRequest;
use crate::events::Event;
use crate::events::emit;
use crate::metrics::Class;
use crate::metrics::observe_time;
use crate::node::ClassRequest;
use crate::node::InFlightRequest;
use crate::node::Node;
use base::Time;
use quorum::clock;

/// The most times that one answer is resumed after its connection broke.
const MAX_RESUMES: u32 = 3;

/// An answer that is being received from an engine.
pub(crate) struct Answer {
    pub(crate) node: Rc<Node>,
    pub(crate) placed: PlacedRequest,
    pub(crate) id: String,
    pub(crate) chat: ChatRequest,
    pub(crate) exchange: Exchange,
    pub(crate) frames: FrameSequence,
    /// The first frame, which was read to see that the answer started.
    pub(crate) first: Option<(Frame, String)>,
    pub(crate) resumes: u32,
    /// Whether the answer was resumed and its first token since then has not arrived.
    pub(crate) awaits_first_token: bool,
    pub(crate) class: Class,
    pub(crate) class_request: ClassRequest,
    pub(crate) arrived: Time,
    pub(crate) last_token_at: Time,
    /// Counts the request as in progress until the answer is dropped.
    pub(crate) _in_flight: InFlightRequest,
}

impl Answer {
    /// The next frame. Resumes after the last delivered token if the connection breaks.
    pub(crate) async fn next(&mut self) -> Result<(Frame, String), ExchangeError> {
        if let Some(first) = self.first.take() {
            return Ok(first);
        }
        loop {
            match self.exchange.next(&mut self.frames).await {
                Ok(frame) => {
                    self.record_frame(&frame.0);
                    return Ok(frame);
                }
                Err(e) => self.resume(e).await?,
            }
        }
    }

    /// Resumes after the last delivered token, at the same replica while that can be reached.
    async fn resume(&mut self, mut error: ExchangeError) -> Result<(), ExchangeError> {
        let delivered = self.frames.delivered_tokens();
        log_exchange_error(self.placed.placement(), &error);
        while self.resumes < MAX_RESUMES {
            self.resumes += 1;
            self.place_again(&error).await?;
            let (node, placement) = (&self.node, self.placed.placement());
            let body = self.chat.engine_body(&placement.model);
            match Exchange::open(node, placement, &self.id, body, delivered).await {
                Ok(exchange) => {
                    self.exchange = exchange;
                    self.awaits_first_token = true;
                    self.node.metrics.retries.inc();
                    let replica = placement.replica;
                    emit(&Event::AnswerResumed { replica, delivered });
                    return Ok(());
                }
                Err(e) => {
                    log_exchange_error(placement, &e);
                    error = e;
                }
            }
        }
        Err(error)
    }

    /// Places the request on another replica of the model unless the present one may go on.
    async fn place_again(&mut self, error: &ExchangeError) -> Result<(), ExchangeError> {
        let placement = self.placed.placement();
        if error.may_go_on() && self.node.dispatch.may_send(placement) {
            return Ok(());
        }
        let model = placement.model.clone();
        let again = self.placed.place_again(error).await;
        again.map_err(|_| error.clone())?;
        // Another model would not continue the same text.
        match self.placed.placement().model == model {
            true => Ok(()),
            false => Err(error.clone()),
        }
    }

    fn record_frame(&mut self, frame: &Frame) {
        if !matches!(frame, Frame::Token { .. }) {
            return;
        }
        let now = clock::now();
        let gap = now.since(self.last_token_at);
        self.last_token_at = now;
        match std::mem::take(&mut self.awaits_first_token) {
            true => self.placed.record_first_token(),
            false => self.placed.record_token(),
        }
        observe_time(&self.node.metrics.between_tokens, &self.class, gap);
    }

    /// Records that the whole answer was received.
    pub(crate) fn record_finished(&mut self) {
        self.placed.record_finished();
        self.class_request.mark_answered();
        let total = clock::now().since(self.arrived);
        observe_time(&self.node.metrics.total, &self.class, total);
    }
}

/// Logs why an exchange with an engine failed.
pub(crate) fn log_exchange_error(placement: &Placement, error: &ExchangeError) {
    let replica = placement.replica;
    let error = error.to_string();
    emit(&Event::AnswerRejected { replica, error });
}
