//! Serves chat completions: admits a request, places it and waits for its first token.

use std::rc::Rc;

use http::Response;

use crate::dispatch;
use crate::dispatch::PlacedRequest;
use crate::dispatch::Placement;
use crate::dispatch::PlacementRequest;
use crate::entry::Arrival;
use crate::entry::answer::Answer;
use crate::entry::answer::log_exchange_error;
use crate::entry::answer_body::collect_answer;
use crate::entry::answer_body::stream_answer;
use crate::entry::chunk::Frame;
use crate::entry::chunk::FrameSequence;
use crate::entry::exchange::Exchange;
use crate::entry::exchange::ExchangeError;
use crate::entry::request::ChatRequest;
use crate::metrics::Class;
use crate::metrics::observe_time;
use crate::node::ClassRequest;
use crate::node::Node;
use crate::problem::Problem;
use crate::problem_kind::ProblemKind;
use base::Contract;
use base::ModelName;
use base::Ran;
use net::Body;
use quorum::clock;

/// An exchange whose first frame has arrived.
struct StartedExchange {
    exchange: Exchange,
    frames: FrameSequence,
    first: (Frame, String),
}

/// Serves one chat request.
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
    let id = node.global_request_id(request.request);
    let mut placed = dispatch::place_request(node, &request).await?;
    let started = start_exchange(node, &arrival, &chat, &class, &id, &mut placed).await?;
    placed.record_first_token();
    let waited = clock::now().since(arrival.arrived);
    observe_time(&node.metrics.first_token, &class, waited);
    Ok(Answer {
        node: Rc::clone(node),
        placed,
        id,
        chat,
        exchange: started.exchange,
        frames: started.frames,
        first: Some(started.first),
        resumes: 0,
        awaits_first_token: false,
        class,
        class_request,
        arrived: arrival.arrived,
        last_token_at: clock::now(),
        _in_flight: arrival.in_flight,
    })
}

/// Tries the replicas at which the request is placed, one after the other, until one answers.
async fn start_exchange(
    node: &Node,
    arrival: &Arrival,
    chat: &ChatRequest,
    class: &Class,
    id: &str,
    placed: &mut PlacedRequest,
) -> Result<StartedExchange, Problem> {
    let mut ran = Ran::NotRun;
    loop {
        let queued = clock::now().since(arrival.arrived);
        observe_time(&node.metrics.queueing, class, queued);
        let e = match first_frame(node, placed.placement(), id, chat).await {
            Ok(started) => return Ok(started),
            Err(e) => e,
        };
        if e.may_have_run() {
            ran = Ran::Unknown;
        }
        log_exchange_error(placed.placement(), &e);
        let again = placed.place_again(&e).await;
        again.map_err(|problem| problem.ran_at_least(ran))?;
        node.metrics.retries.inc();
    }
}

async fn first_frame(
    node: &Node,
    placement: &Placement,
    id: &str,
    chat: &ChatRequest,
) -> Result<StartedExchange, ExchangeError> {
    let body = chat.engine_body(&placement.model);
    let mut frames = FrameSequence::new(id.to_owned(), chat.max_tokens.0);
    let mut exchange = Exchange::open(node, placement, id, body, 0).await?;
    let first = exchange.next(&mut frames).await?;
    Ok(StartedExchange {
        exchange,
        frames,
        first,
    })
}
