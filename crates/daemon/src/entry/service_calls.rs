//! Runs the open calls to services at this node.
//!
//! [`order::AttemptTable`] decides what is sent and when. This module performs its actions
//! and reports their results to it as events.

mod actions;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use bytes::Bytes;
use compio::runtime::JoinHandle;
use http::HeaderMap;

use self::actions::perform_actions;
use crate::node::Node;
use crate::rests::RestingUpstream;
use base::Incarnation;
use base::NodeId;
use base::Ran;
use base::ServiceName;
use net::Connection;
use order::Answer;
use order::AnswerContent;
use order::AttemptTable;
use order::Call;
use order::Event;
use order::OpenError;
use order::Refusal;
use order::Sent;
use quorum::clock;
use state::StoredAnswer;

/// The most calls that may be open at one node.
const MAX_OPEN_CALLS: usize = 4_096;

/// Time between two ticks of the attempt table while calls are open.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Time between two ticks of the attempt table while none is open.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(100);

/// How long one proposal is retried. The attempt table then proposes again.
const PROPOSE_TIMEOUT: Duration = Duration::from_millis(250);

/// The open calls to services at this node.
#[derive(Debug)]
pub struct ServiceCalls {
    attempts: RefCell<AttemptTable>,
    open_calls: RefCell<BTreeMap<u64, OpenCall>>,
}

/// The request, connection and answer channel of one open call.
#[derive(Debug)]
struct OpenCall {
    service: ServiceName,
    key: Option<String>,
    /// The request's body, until the caller has an answer.
    body: Bytes,
    headers: HeaderMap,
    answer_tx: Sender<Answer>,
    connection: Option<(Connection, RestingUpstream)>,
    /// Attempts to connect, by which the next process is chosen.
    connect_attempts: usize,
    /// The task of the exchange with the service. Dropping it ends the exchange.
    exchange: Option<JoinHandle<()>>,
}

/// A caller's request to a service.
#[derive(Debug)]
pub struct ServiceRequest {
    /// The call and how often it may run.
    pub call: Call,
    /// The request's body.
    pub body: Bytes,
    /// The request's headers.
    pub headers: HeaderMap,
}

/// Reports on drop that the caller disconnected, unless it has its answer.
struct CallerGuard {
    node: Rc<Node>,
    sequence: u64,
    is_answered: bool,
}

impl ServiceCalls {
    /// Creates a table without calls.
    pub fn open(node: NodeId, incarnation: Incarnation) -> Self {
        Self {
            attempts: RefCell::new(AttemptTable::new(
                clock::now(),
                node,
                incarnation,
                MAX_OPEN_CALLS,
            )),
            open_calls: RefCell::default(),
        }
    }

    /// The number of unfinished calls, including those whose caller has its answer.
    pub fn count_open(&self) -> usize {
        self.attempts.borrow().open_attempts()
    }
}

/// Makes a call and waits for the answer to its caller.
pub async fn make_call(node: &Rc<Node>, request: ServiceRequest) -> Result<Answer, OpenError> {
    let (answer_tx, answer_rx) = async_channel::bounded(1);
    let service = request.call.service.clone();
    let key = key_of(&request.call);
    let opened = node
        .service_calls
        .attempts
        .borrow_mut()
        .open_attempt(request.call, clock::now());
    let (sequence, actions) = opened?;
    let open_call = OpenCall {
        service,
        key,
        body: request.body,
        headers: request.headers,
        answer_tx,
        connection: None,
        connect_attempts: 0,
        exchange: None,
    };
    node.service_calls
        .open_calls
        .borrow_mut()
        .insert(sequence, open_call);
    let mut caller_guard = CallerGuard {
        node: Rc::clone(node),
        sequence,
        is_answered: false,
    };
    perform_actions(node, sequence, actions);
    let answer = wait_for_answer(&answer_rx).await;
    caller_guard.is_answered = true;
    Ok(answer.unwrap_or(LOST_ANSWER))
}

/// The answer if the attempt table gives none: the call may have been sent.
const LOST_ANSWER: Answer = Answer {
    ran: Ran::Unknown,
    sent: Sent::Yes,
    content: AnswerContent::Refused(Refusal::AnswerLost),
};

async fn wait_for_answer(answer_rx: &Receiver<Answer>) -> Option<Answer> {
    answer_rx.recv().await.ok()
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        if !self.is_answered {
            handle_event(&self.node, self.sequence, Event::CallerGone);
        }
    }
}

fn key_of(call: &Call) -> Option<String> {
    match &call.kind {
        order::CallKind::Keyed(key) => Some(key.key.to_string()),
        order::CallKind::Idempotent | order::CallKind::Keyless => None,
    }
}

/// Ticks the attempt table, for as long as the node runs.
pub async fn run_service_calls(node: Rc<Node>) {
    loop {
        let interval = match node.service_calls.count_open() {
            0 => IDLE_TICK_INTERVAL,
            _ => TICK_INTERVAL,
        };
        compio::time::sleep(interval).await;
        let now = clock::now();
        let applied = node.known_applied_index();
        node.service_calls
            .attempts
            .borrow_mut()
            .note_applied_index(applied, now);
        let actions = node.service_calls.attempts.borrow_mut().tick(now);
        for (sequence, action) in actions {
            perform_actions(&node, sequence, vec![action]);
        }
    }
}

fn handle_event(node: &Rc<Node>, sequence: u64, event: Event) {
    let actions =
        node.service_calls
            .attempts
            .borrow_mut()
            .handle_event(sequence, event, clock::now());
    perform_actions(node, sequence, actions);
}

/// The form in which a service's answer is stored.
pub fn stored_answer(status: u16, content_type: &str, body: &[u8]) -> Arc<StoredAnswer> {
    Arc::new(StoredAnswer::new(status, content_type, body))
}
