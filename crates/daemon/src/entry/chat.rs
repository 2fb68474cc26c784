//! Chat completions: admitted, placed, streamed, resumed or refused.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::select_biased;
use http::Response;

use crate::dispatch;
use crate::dispatch::Placed;
use crate::dispatch::Wish;
use crate::dispatch::Work;
use crate::entry::Arrival;
use crate::entry::chunk::DONE;
use crate::entry::chunk::Follower;
use crate::entry::chunk::Frame;
use crate::entry::completion::Text;
use crate::entry::completion::completion;
use crate::entry::exchange::Break;
use crate::entry::exchange::Exchange;
use crate::entry::request::ChatRequest;
use crate::events::Event;
use crate::events::emit;
use crate::metrics::Class;
use crate::node::ClassTurn;
use crate::node::InFlight;
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

/// How often one answer is resumed after its link broke.
const MOST_RESUMES: u32 = 3;

/// An answer that is coming in.
struct Answer {
    node: Rc<Node>,
    work: Work,
    id: String,
    chat: ChatRequest,
    exchange: Exchange,
    follower: Follower,
    /// The frame that was read to see that the answer began.
    first: Option<(Frame, String)>,
    resumes: u32,
    /// Whether the engine that goes on has still to show its first token.
    awaits_first: bool,
    class: Class,
    turn: ClassTurn,
    arrived: Time,
    last: Time,
    _in_flight: InFlight,
}

/// Serves one chat.
pub async fn chat(node: &Rc<Node>, arrival: Arrival) -> Result<Response<Body>, Problem> {
    let chat = ChatRequest::parse(&arrival.body)?;
    let contract = contract(node, &arrival, &chat.model)?;
    let wish = wish(node, &arrival, &chat, contract);
    let class = Class {
        org: arrival.caller.org.to_string(),
        class: wish.contract.name.to_string(),
    };
    let turn = node.count_class(class.clone());
    let is_streamed = chat.stream;
    let begun = begin(node, arrival, chat, wish, turn).await;
    let answer = begun.map_err(|problem| problem.of(&class))?;
    match is_streamed {
        true => Ok(stream(answer)),
        false => collect(answer).await.map_err(|problem| problem.of(&class)),
    }
}

fn contract(node: &Node, arrival: &Arrival, model: &ModelName) -> Result<Contract, Problem> {
    let rules = node.rules();
    let found = rules.contract_for(&arrival.caller.name, model).cloned();
    found.ok_or_else(|| {
        let what = format_args!(
            "no contract gives {} the model {model}",
            arrival.caller.name
        );
        Problem::not_run(ProblemKind::NoContract, what)
    })
}

fn wish(node: &Node, arrival: &Arrival, chat: &ChatRequest, contract: Contract) -> Wish {
    Wish {
        request: node.next_request(),
        contract,
        prompt: chat.prompt,
        max_tokens: chat.max_tokens,
        prefix: Some(chat.prefix),
        arrived: arrival.arrived,
    }
}

/// Finds a replica and waits for the first frame, trying others while that is safe.
async fn begin(
    node: &Rc<Node>,
    arrival: Arrival,
    chat: ChatRequest,
    wish: Wish,
    turn: ClassTurn,
) -> Result<Answer, Problem> {
    let class = turn.class.clone();
    let mut ran = Ran::NotRun;
    let id = node.name_of(wish.request);
    let mut work = dispatch::place(node, &wish).await?;
    loop {
        let queued = clock::now().since(arrival.arrived);
        node.metrics
            .queueing
            .get_or_create(&class)
            .observe(queued.as_secs_f64());
        let mut follower = Follower::new(id.clone());
        match first_frame(node, work.placed(), &id, &chat, &mut follower).await {
            Ok((exchange, first)) => {
                work.first_token();
                let waited = clock::now().since(arrival.arrived);
                node.metrics
                    .first_token
                    .get_or_create(&class)
                    .observe(waited.as_secs_f64());
                return Ok(Answer {
                    node: Rc::clone(node),
                    work,
                    id,
                    chat,
                    exchange,
                    follower,
                    first: Some(first),
                    resumes: 0,
                    awaits_first: false,
                    class,
                    turn,
                    arrived: arrival.arrived,
                    last: clock::now(),
                    _in_flight: arrival.in_flight,
                });
            }
            Err(e) => {
                if e.may_have_run() {
                    ran = Ran::Unknown;
                }
                report_break(work.placed(), &e);
                work.again(&e).await.map_err(|p| p.at_least(ran))?;
                node.metrics.retries.inc();
            }
        }
    }
}

async fn first_frame(
    node: &Node,
    placed: &Placed,
    id: &str,
    chat: &ChatRequest,
    follower: &mut Follower,
) -> Result<(Exchange, (Frame, String)), Break> {
    let body = chat.for_engine(&placed.model);
    let mut exchange = Exchange::open(node, placed, id, body, 0).await?;
    let first = exchange.next(follower).await?;
    Ok((exchange, first))
}

impl Answer {
    /// The next frame. Resumes after the last delivered token if the link breaks.
    async fn next(&mut self) -> Result<(Frame, String), Break> {
        if let Some(first) = self.first.take() {
            return Ok(first);
        }
        loop {
            match self.exchange.next(&mut self.follower).await {
                Ok(frame) => {
                    self.note(&frame.0);
                    return Ok(frame);
                }
                Err(e) => self.resume(e).await?,
            }
        }
    }

    /// Goes on after the last delivered token, at the same replica while that can be reached.
    async fn resume(&mut self, mut broken: Break) -> Result<(), Break> {
        let delivered = self.follower.delivered();
        report_break(self.work.placed(), &broken);
        while self.resumes < MOST_RESUMES {
            self.resumes += 1;
            self.place_again(&broken).await?;
            let (node, placed) = (&self.node, self.work.placed());
            let body = self.chat.for_engine(&placed.model);
            match Exchange::open(node, placed, &self.id, body, delivered).await {
                Ok(exchange) => {
                    self.exchange = exchange;
                    self.awaits_first = true;
                    self.node.metrics.retries.inc();
                    let replica = placed.replica;
                    emit(&Event::AnswerResumed { replica, delivered });
                    return Ok(());
                }
                Err(e) => {
                    report_break(placed, &e);
                    broken = e;
                }
            }
        }
        Err(broken)
    }

    /// Finds another replica of the same model unless the present one may still serve.
    async fn place_again(&mut self, broken: &Break) -> Result<(), Break> {
        let placed = self.work.placed();
        if broken.may_have_run() && self.node.dispatch.allows(placed) {
            return Ok(());
        }
        let model = placed.model.clone();
        let again = self.work.again(broken).await;
        again.map_err(|_| broken.clone())?;
        // Another model would not go on with the same text.
        match self.work.placed().model == model {
            true => Ok(()),
            false => Err(broken.clone()),
        }
    }

    fn note(&mut self, frame: &Frame) {
        if !matches!(frame, Frame::Token { .. }) {
            return;
        }
        let now = clock::now();
        let gap = now.since(self.last);
        self.last = now;
        match std::mem::take(&mut self.awaits_first) {
            true => self.work.first_token(),
            false => self.work.token(),
        }
        let times = &self.node.metrics.between_tokens;
        times.get_or_create(&self.class).observe(gap.as_secs_f64());
    }

    fn finish(&mut self) {
        self.work.finished();
        self.turn.answered();
        let total = clock::now().since(self.arrived);
        let times = &self.node.metrics.total;
        times
            .get_or_create(&self.class)
            .observe(total.as_secs_f64());
    }
}

/// Streams an answer to its caller in the background.
fn stream(answer: Answer) -> Response<Body> {
    let (tx, body) = Body::stream();
    let id = answer.id.clone();
    compio::runtime::spawn(pump(answer, tx)).detach();
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

/// Passes frames on until the answer is whole, breaks or its caller has gone.
///
/// Dropping the answer closes the engine's connection, which cancels its work.
async fn pump(mut answer: Answer, tx: BodySender) {
    let stall = answer.node.settings.limits.stall_timeout;
    loop {
        let next = {
            let mut gone = Box::pin(tx.closed()).fuse();
            let mut next = Box::pin(answer.next()).fuse();
            select_biased! {
                next = next => next,
                () = gone => return,
            }
        };
        match next {
            Ok((Frame::Repeated, _)) => {}
            Ok((Frame::Done, _)) => {
                let _ = tx.send(event(DONE), stall).await;
                answer.finish();
                return;
            }
            Ok((Frame::Token { .. } | Frame::Finish { .. }, data)) => {
                if tx.send(event(&data), stall).await.is_err() {
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

/// Reads an answer to its end and gives it as a whole.
async fn collect(mut answer: Answer) -> Result<Response<Body>, Problem> {
    let mut content = String::new();
    let mut finish_reason = String::new();
    loop {
        match answer.next().await {
            Ok((Frame::Token { text }, _)) => content += &text,
            Ok((Frame::Finish { reason }, _)) => finish_reason = reason,
            Ok((Frame::Repeated, _)) => {}
            Ok((Frame::Done, _)) => break,
            Err(e) => {
                return Err(broken_off(&e).ran(Ran::Run));
            }
        }
    }
    answer.finish();
    let model = &answer.work.placed().model;
    let text = Text {
        content,
        finish_reason,
        tokens: answer.follower.delivered(),
    };
    Ok(completion(&answer.id, model, text))
}

fn event(data: &str) -> Bytes {
    Bytes::from(format!("data: {data}\n\n"))
}

/// The last event of an answer that broke off. No end marker follows it.
fn error_event(error: &Break) -> Bytes {
    let problem = broken_off(error).ran(Ran::Run);
    let json = serde_json::to_string(&problem).unwrap_or_default();
    Bytes::from(format!("event: error\ndata: {{\"error\":{json}}}\n\n"))
}

fn broken_off(error: &Break) -> Problem {
    let what = format_args!("the answer broke off: {error}");
    let problem = Problem::not_run(ProblemKind::AnswerBroken, what);
    problem.retry_after(Duration::from_secs(1))
}

fn report_break(placed: &Placed, error: &Break) {
    let replica = placed.replica;
    let error = error.to_string();
    emit(&Event::AnswerRejected { replica, error });
}
