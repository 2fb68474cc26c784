//! Performs what [`order::AttemptTable`] decides for the open calls to services.

use std::rc::Rc;

use bytes::Bytes;

use super::PROPOSE_TIMEOUT;
use super::handle_event;
use crate::entry::service;
use crate::entry::service::Declined;
use crate::events;
use crate::events::emit;
use crate::node::Node;
use crate::voters;
use crate::voters::ProposalOutcome;
use base::Ran;
use base::ServiceReport;
use order::Action;
use order::Answer;
use order::Event;
use order::ProposalKind;
use quorum::clock;
use state::ClaimReply;
use state::Op;
use state::Reply;

/// Performs the actions for one call, in order.
pub(super) fn perform_actions(node: &Rc<Node>, sequence: u64, actions: Vec<Action>) {
    for action in actions {
        match action {
            Action::Propose(op) => propose(node, sequence, op),
            Action::Connect => connect(node, sequence),
            Action::WriteRequest => write_request(node, sequence),
            Action::QueryOutcome => query_outcome(node, sequence),
            Action::Answer(answer) => send_answer(node, sequence, answer),
            Action::DropConnection => drop_connection(node, sequence),
            Action::Close => {
                node.service_calls.open_calls.borrow_mut().remove(&sequence);
            }
        }
    }
}

fn propose(node: &Rc<Node>, sequence: u64, op: Op) {
    let proposal = match &op {
        Op::Claim(_) => ProposalKind::Claim,
        Op::Withdraw(_) => ProposalKind::Withdraw,
        _ => ProposalKind::Record,
    };
    let node = Rc::clone(node);
    compio::runtime::spawn(async move {
        let until = clock::now() + PROPOSE_TIMEOUT;
        let event = match voters::propose(&node, op, until).await {
            ProposalOutcome::Accepted(reply) => {
                count_claim(&node, &reply);
                Event::Reply(reply)
            }
            ProposalOutcome::Refused | ProposalOutcome::Unknown => Event::ProposalLost(proposal),
        };
        handle_event(&node, sequence, event);
    })
    .detach();
}

fn count_claim(node: &Node, reply: &Reply) {
    if matches!(reply, Reply::Claim(ClaimReply::Granted)) {
        node.metrics.claims.inc();
    }
}

fn connect(node: &Rc<Node>, sequence: u64) {
    let mut open_calls = node.service_calls.open_calls.borrow_mut();
    let Some(open_call) = open_calls.get_mut(&sequence) else {
        return;
    };
    let processes = service::processes(node, &open_call.service);
    let process = processes
        .get(open_call.connect_attempts % processes.len().max(1))
        .cloned();
    open_call.connect_attempts += 1;
    let node = Rc::clone(node);
    let task = compio::runtime::spawn(async move {
        let event = match process {
            Some(process) => connect_to(&node, sequence, &process).await,
            None => Event::ConnectFailed,
        };
        handle_event(&node, sequence, event);
    });
    task.detach();
}

/// Connects to a process, and keeps the connection until the attempt table decides whether the
/// request is written to it.
async fn connect_to(node: &Node, sequence: u64, process: &ServiceReport) -> Event {
    let Ok(connection) = service::connect(process.addr).await else {
        return Event::ConnectFailed;
    };
    let process = service::resting_process(process);
    // It may have asked for rest meanwhile. Nothing is waited for before the request is written.
    if !node.rests.may_send(process) {
        return Event::ConnectFailed;
    }
    if let Some(open_call) = node
        .service_calls
        .open_calls
        .borrow_mut()
        .get_mut(&sequence)
    {
        open_call.connection = Some((connection, process));
    }
    Event::Connected
}

fn write_request(node: &Rc<Node>, sequence: u64) {
    let mut open_calls = node.service_calls.open_calls.borrow_mut();
    let Some(open_call) = open_calls.get_mut(&sequence) else {
        return;
    };
    let Some((connection, process)) = open_call.connection.take() else {
        return;
    };
    let id = node.global_request_id(node.next_request_id());
    let req = service::request(
        node,
        connection.addr(),
        open_call.body.clone(),
        &open_call.headers,
        &id,
    );
    let node = Rc::clone(node);
    open_call.exchange = Some(compio::runtime::spawn(async move {
        let event = match service::exchange(&node, process, connection, req, &id).await {
            Ok(Ok(answer)) => Event::Answered(answer),
            Ok(Err(Declined)) => Event::Declined,
            Err(_) => Event::ConnectionLost,
        };
        let own_task = node
            .service_calls
            .open_calls
            .borrow_mut()
            .get_mut(&sequence)
            .map(|call| call.exchange.take());
        if let Some(Some(own_task)) = own_task {
            own_task.detach();
        }
        handle_event(&node, sequence, event);
    }));
}

fn query_outcome(node: &Rc<Node>, sequence: u64) {
    let open_calls = node.service_calls.open_calls.borrow();
    let Some(open_call) = open_calls.get(&sequence) else {
        return;
    };
    let processes = service::processes(node, &open_call.service);
    let headers = open_call.headers.clone();
    let node = Rc::clone(node);
    compio::runtime::spawn(async move {
        let reply = service::query_outcome(&node, &processes, &headers).await;
        handle_event(&node, sequence, Event::OutcomeQueried(reply));
    })
    .detach();
}

fn send_answer(node: &Node, sequence: u64, answer: Answer) {
    let mut open_calls = node.service_calls.open_calls.borrow_mut();
    let Some(open_call) = open_calls.get_mut(&sequence) else {
        return;
    };
    // A call whose caller has an answer is not sent again, though its outcome may still have to be
    // asked for and recorded.
    open_call.body = Bytes::new();
    if let (Ran::Unknown, Some(key)) = (answer.ran, &open_call.key) {
        let service = &open_call.service;
        let key = key.clone();
        emit(&events::Event::OrderUnknown { service, key });
    }
    let _ = open_call.answer_tx.try_send(answer);
}

fn drop_connection(node: &Node, sequence: u64) {
    if let Some(open_call) = node
        .service_calls
        .open_calls
        .borrow_mut()
        .get_mut(&sequence)
    {
        open_call.connection = None;
        open_call.exchange = None;
    }
}
