//! Serves chat completions: admits, places, streams and resumes them.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::select_biased;
use http::Response;

use crate::dispatch;
use crate::dispatch::PlacedRequest;
use crate::dispatch::Placement;
use crate::dispatch::PlacementRequest;
use crate::entry::Arrival;
use crate::entry::chunk::END_MARKER;
use crate::entry::chunk::Frame;
use crate::entry::chunk::FrameSequence;
use crate::entry::completion::CompleteAnswer;
use crate::entry::completion::completion;
use crate::entry::exchange::Exchange;
use crate::entry::exchange::ExchangeError;
use crate::entry::request::ChatRequest;
use crate::events::Event;
use crate::events::emit;
use crate::metrics::Class;
use crate::node::ClassRequest;
use crate::node::InFlightRequest;
use crate::node::Node;
use crate::problem::Problem;
use crate::problem_kind::ProblemKind;
use base::Contract;
use base::ModelName;
use base::Ran;
use base::Time;
use net::Body;
use net::BodySender;
use quorum::clock;

/// The most times that one answer is resumed after its connection broke.
const MAX_RESUMES: u32 = 3;

/// An answer that is being received from an engine.
struct Answer {
    node: Rc<Node>,
    placed: PlacedRequest,
    id: String,
    chat: ChatRequest,
    exchange: Exchange,
    frames: FrameSequence,
    /// The first frame, which was read to see that the answer started.
    first: Option<(Frame, String)>,
    resumes: u32,
    /// Whether the answer was resumed and its first token since then has not arrived.
    awaits_first_token: bool,
    class: Class,
    class_request: ClassRequest,
    arrived: Time,
    last_token_at: Time,
    _in_flight: InFlightRequest,
}

/// Serves one chat.
pub async fn chat(node: &Rc<Node>, arrival: Arrival) -> Result<Response<Body>, Problem> {
    let chat = ChatRequest::parse(&arrival.body)?;
    let contract = contract_for(node, &arrival, &chat.model)?;
    let request = placement_request(node, &arrival, &chat, contract);
    let class = Class {
        org: arrival.caller.org.to_string(),
        class: request.contract.name.to_string(),
    };
    let class_request = node.start_class_request(class.clone());
    let is_streamed = chat.stream;
    let started = start_answer(node, arrival, chat, request, class_request).await;
    let answer = started.map_err(|problem| problem.with_class(&class))?;
    match is_streamed {
        true => Ok(stream_answer(answer)),
        false => collect_answer(answer)
            .await
            .map_err(|problem| problem.with_class(&class)),
    }
}

fn contract_for(node: &Node, arrival: &Arrival, model: &ModelName) -> Result<Contract, Problem> {
    let rules = node.rules();
    let found = rules.contract_for(&arrival.caller.name, model).cloned();
    found.ok_or_else(|| {
        let what = format_args!(
            "no contract covers caller {} and model {model}",
            arrival.caller.name
        );
        Problem::not_run(ProblemKind::NoContract, what)
    })
}

fn placement_request(
    node: &Node,
    arrival: &Arrival,
    chat: &ChatRequest,
    contract: Contract,
) -> PlacementRequest {
    PlacementRequest {
        request: node.next_request_id(),
        contract,
        prompt: chat.prompt,
        max_tokens: chat.max_tokens,
        prefix: Some(chat.prefix),
        arrived: arrival.arrived,
    }
}

/// Places a request and waits for its first frame. Tries other replicas while that is safe.
async fn start_answer(
    node: &Rc<Node>,
    arrival: Arrival,
    chat: ChatRequest,
    request: PlacementRequest,
    class_request: ClassRequest,
) -> Result<Answer, Problem> {
    let class = class_request.class.clone();
    let mut ran = Ran::NotRun;
    let id = node.global_request_id(request.request);
    let mut placed = dispatch::place_request(node, &request).await?;
    loop {
        let queued = clock::now().since(arrival.arrived);
        node.metrics
            .queueing
            .get_or_create(&class)
            .observe(queued.as_secs_f64());
        let mut frames = FrameSequence::new(id.clone());
        match first_frame(node, placed.placement(), &id, &chat, &mut frames).await {
            Ok((exchange, first)) => {
                placed.record_first_token();
                let waited = clock::now().since(arrival.arrived);
                node.metrics
                    .first_token
                    .get_or_create(&class)
                    .observe(waited.as_secs_f64());
                return Ok(Answer {
                    node: Rc::clone(node),
                    placed,
                    id,
                    chat,
                    exchange,
                    frames,
                    first: Some(first),
                    resumes: 0,
                    awaits_first_token: false,
                    class,
                    class_request,
                    arrived: arrival.arrived,
                    last_token_at: clock::now(),
                    _in_flight: arrival.in_flight,
                });
            }
            Err(e) => {
                if e.may_have_run() {
                    ran = Ran::Unknown;
                }
                log_exchange_error(placed.placement(), &e);
                placed
                    .place_again(&e)
                    .await
                    .map_err(|p| p.ran_at_least(ran))?;
                node.metrics.retries.inc();
            }
        }
    }
}

async fn first_frame(
    node: &Node,
    placement: &Placement,
    id: &str,
    chat: &ChatRequest,
    frames: &mut FrameSequence,
) -> Result<(Exchange, (Frame, String)), ExchangeError> {
    let body = chat.engine_body(&placement.model);
    let mut exchange = Exchange::open(node, placement, id, body, 0).await?;
    let first = exchange.next(frames).await?;
    Ok((exchange, first))
}

impl Answer {
    /// The next frame. Resumes after the last delivered token if the connection breaks.
    async fn next(&mut self) -> Result<(Frame, String), ExchangeError> {
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

    /// Places the request on another replica of the same model, unless the present one may
    /// still serve it.
    async fn place_again(&mut self, error: &ExchangeError) -> Result<(), ExchangeError> {
        let placement = self.placed.placement();
        if error.may_have_run() && self.node.dispatch.may_send(placement) {
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
        let times = &self.node.metrics.between_tokens;
        times.get_or_create(&self.class).observe(gap.as_secs_f64());
    }

    fn record_finished(&mut self) {
        self.placed.record_finished();
        self.class_request.mark_answered();
        let total = clock::now().since(self.arrived);
        let times = &self.node.metrics.total;
        times
            .get_or_create(&self.class)
            .observe(total.as_secs_f64());
    }
}

/// Streams an answer to its caller in the background.
fn stream_answer(answer: Answer) -> Response<Body> {
    let (tx, body) = Body::stream();
    let id = answer.id.clone();
    compio::runtime::spawn(stream_frames(answer, tx)).detach();
    let mut response = Response::new(body);
    let headers = response.headers_mut();
    headers.insert(
        "content-type",
        http::HeaderValue::from_static("text/event-stream"),
    );
    headers.insert("cache-control", http::HeaderValue::from_static("no-store"));
    if let Ok(id) = id.parse() {
        headers.insert("x-request-id", id);
    }
    response
}

/// Forwards frames until the answer is complete, fails or its caller disconnects.
///
/// Dropping the answer closes the engine's connection, which cancels the request there.
async fn stream_frames(mut answer: Answer, tx: BodySender) {
    let stall = answer.node.settings.limits.stall_timeout;
    loop {
        let next = {
            let mut caller_gone = Box::pin(tx.closed()).fuse();
            let mut next = Box::pin(answer.next()).fuse();
            select_biased! { next = next => next , ( ) = caller_gone => return , }
        };
        match next {
            Ok((Frame::Repeated, _)) => {}
            Ok((Frame::Done, _)) => {
                let _ = tx.send(sse_event(END_MARKER), stall).await;
                answer.record_finished();
                return;
            }
            Ok((Frame::Token { .. } | Frame::Finish { .. }, data)) => {
                if tx.send(sse_event(&data), stall).await.is_err() {
                    return;
                }
            }
            Err(e) => {
                let _ = tx.send(error_event(&e), stall).await;
                return;
            }
        }
    }
}

/// Reads an answer to its end and returns it as one response.
async fn collect_answer(mut answer: Answer) -> Result<Response<Body>, Problem> {
    let mut content = String::new();
    let mut finish_reason = String::new();
    loop {
        match answer.next().await {
            Ok((Frame::Token { text }, _)) => content += &text,
            Ok((Frame::Finish { reason }, _)) => finish_reason = reason,
            Ok((Frame::Repeated, _)) => {}
            Ok((Frame::Done, _)) => break,
            Err(e) => {
                return Err(broken_answer_problem(&e).ran(Ran::Run));
            }
        }
    }
    answer.record_finished();
    let model = &answer.placed.placement().model;
    let complete = CompleteAnswer {
        content,
        finish_reason,
        tokens: answer.frames.delivered_tokens(),
    };
    Ok(completion(&answer.id, model, complete))
}

fn sse_event(data: &str) -> Bytes {
    Bytes::from(format!("data: {data}\n\n"))
}

/// The last event of an answer that failed. No end marker follows it.
fn error_event(error: &ExchangeError) -> Bytes {
    let problem = broken_answer_problem(error).ran(Ran::Run);
    let json = serde_json::to_string(&problem).unwrap_or_default();
    Bytes::from(format!("event: error\ndata: {{\"error\":{json}}}\n\n"))
}

fn broken_answer_problem(error: &ExchangeError) -> Problem {
    let what = format_args!("the answer ended before it was complete: {error}");
    let problem = Problem::not_run(ProblemKind::AnswerBroken, what);
    problem.retry_after(Duration::from_secs(1))
}

fn log_exchange_error(placement: &Placement, error: &ExchangeError) {
    let replica = placement.replica;
    let error = error.to_string();
    emit(&Event::AnswerRejected { replica, error });
}
