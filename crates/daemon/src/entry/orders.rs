//! Drives the calls of services that are open at this node.
//!
//! What may be sent when is decided by [`order::AttemptTable`]; here its steps are
//! carried out and what comes of them is told back.

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

use crate::entry::service;
use crate::entry::service::Declined;
use crate::events;
use crate::events::emit;
use crate::node::Node;
use crate::voters;
use crate::voters::Fate;
use base::Incarnation;
use base::NodeId;
use base::Ran;
use base::ServiceName;
use net::Connection;
use order::Action;
use order::Answer;
use order::AnswerContent;
use order::AttemptTable;
use order::Call;
use order::Event;
use order::OpenError;
use order::ProposalKind;
use order::Refusal;
use order::Sent;
use quorum::clock;
use state::ClaimReply;
use state::Op;
use state::Reply;
use state::StoredAnswer;

/// Calls that may be open at one node.
const MOST_OPEN: usize = 4_096;

/// How often the book is looked at while calls are open.
const TICK: Duration = Duration::from_millis(20);

/// How often it is looked at while none is.
const IDLE_TICK: Duration = Duration::from_millis(100);

/// How long one proposal looks for the voters' leader. The book proposes again.
const PROPOSE_WITHIN: Duration = Duration::from_millis(250);

/// The calls that are open at this node.
#[derive(Debug)]
pub struct Orders {
    book: RefCell<AttemptTable>,
    flights: RefCell<BTreeMap<u64, Flight>>,
}

/// What carries out one call.
#[derive(Debug)]
struct Flight {
    service: ServiceName,
    key: Option<String>,
    body: Bytes,
    headers: HeaderMap,
    tell: Sender<Answer>,
    connection: Option<Connection>,
    /// Processes that could not be reached.
    tried: usize,
    /// Dropping it ends the exchange with the service.
    exchange: Option<JoinHandle<()>>,
}

/// What is to be sent.
#[derive(Debug)]
pub struct Request {
    /// What is called, and how often it may run.
    pub call: Call,
    /// The body.
    pub body: Bytes,
    /// The caller's head.
    pub headers: HeaderMap,
}

/// Tells the book when the caller has gone.
struct Caller {
    node: Rc<Node>,
    sequence: u64,
    told: bool,
}

impl Orders {
    /// No call is open.
    pub fn open(node: NodeId, incarnation: Incarnation) -> Self {
        Self {
            book: RefCell::new(AttemptTable::new(
                clock::now(),
                node,
                incarnation,
                MOST_OPEN,
            )),
            flights: RefCell::default(),
        }
    }

    /// Calls that are not finished, those included whose caller has its answer.
    pub fn open_calls(&self) -> usize {
        self.book.borrow().open_attempts()
    }
}

/// Makes a call and waits for what its caller is to be told.
pub async fn make(node: &Rc<Node>, request: Request) -> Result<Answer, OpenError> {
    let (tell, told) = async_channel::bounded(1);
    let service = request.call.service.clone();
    let key = key_of(&request.call);
    let opened = node
        .orders
        .book
        .borrow_mut()
        .open_attempt(request.call, clock::now());
    let (sequence, steps) = opened?;
    let flight = Flight {
        service,
        key,
        body: request.body,
        headers: request.headers,
        tell,
        connection: None,
        tried: 0,
        exchange: None,
    };
    node.orders.flights.borrow_mut().insert(sequence, flight);
    let mut caller = Caller {
        node: Rc::clone(node),
        sequence,
        told: false,
    };
    carry_out(node, sequence, steps);
    let answer = wait(&told).await;
    caller.told = true;
    Ok(answer.unwrap_or(LOST))
}

/// What is told if the book never tells: the call may have been sent.
const LOST: Answer = Answer {
    ran: Ran::Unknown,
    sent: Sent::Yes,
    content: AnswerContent::Refused(Refusal::AnswerLost),
};

async fn wait(told: &Receiver<Answer>) -> Option<Answer> {
    told.recv().await.ok()
}

impl Drop for Caller {
    fn drop(&mut self) {
        if !self.told {
            on(&self.node, self.sequence, Event::CallerGone);
        }
    }
}

fn key_of(call: &Call) -> Option<String> {
    match &call.kind {
        order::CallKind::Keyed(key) => Some(key.key.to_string()),
        order::CallKind::Idempotent | order::CallKind::Keyless => None,
    }
}

/// Wakes calls whose time has come, for as long as the node runs.
pub async fn orders_on(node: Rc<Node>) {
    loop {
        let pause = match node.orders.open_calls() {
            0 => IDLE_TICK,
            _ => TICK,
        };
        compio::time::sleep(pause).await;
        let now = clock::now();
        let applied = node.known_index();
        node.orders
            .book
            .borrow_mut()
            .note_applied_index(applied, now);
        let steps = node.orders.book.borrow_mut().tick(now);
        for (sequence, step) in steps {
            carry_out(&node, sequence, vec![step]);
        }
    }
}

fn on(node: &Rc<Node>, sequence: u64, event: Event) {
    let steps = node
        .orders
        .book
        .borrow_mut()
        .handle_event(sequence, event, clock::now());
    carry_out(node, sequence, steps);
}

fn carry_out(node: &Rc<Node>, sequence: u64, steps: Vec<Action>) {
    for step in steps {
        match step {
            Action::Propose(op) => propose(node, sequence, op),
            Action::Connect => connect(node, sequence),
            Action::WriteRequest => write(node, sequence),
            Action::QueryOutcome => ask(node, sequence),
            Action::Answer(answer) => tell(node, sequence, answer),
            Action::DropConnection => abandon(node, sequence),
            Action::Close => {
                node.orders.flights.borrow_mut().remove(&sequence);
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
        let until = clock::now() + PROPOSE_WITHIN;
        let event = match voters::propose(&node, op, until).await {
            Fate::Accepted(reply) => {
                count_claim(&node, &reply);
                Event::Reply(reply)
            }
            Fate::Refused | Fate::Unknown => Event::ProposalLost(proposal),
        };
        on(&node, sequence, event);
    })
    .detach();
}

fn count_claim(node: &Node, reply: &Reply) {
    if matches!(reply, Reply::Claim(ClaimReply::Granted)) {
        node.metrics.claims.inc();
    }
}

fn connect(node: &Rc<Node>, sequence: u64) {
    let mut flights = node.orders.flights.borrow_mut();
    let Some(flight) = flights.get_mut(&sequence) else {
        return;
    };
    let processes = service::processes(node, &flight.service);
    let process = processes
        .get(flight.tried % processes.len().max(1))
        .cloned();
    flight.tried += 1;
    let node = Rc::clone(node);
    let task = compio::runtime::spawn(async move {
        let connected = match process {
            Some(process) => service::connect(process.addr).await.ok(),
            None => None,
        };
        let event = match connected {
            Some(connection) => hold(&node, sequence, connection),
            None => Event::ConnectFailed,
        };
        on(&node, sequence, event);
    });
    task.detach();
}

/// Keeps a connection until the book says whether it is to be written on.
fn hold(node: &Node, sequence: u64, connection: Connection) -> Event {
    if let Some(flight) = node.orders.flights.borrow_mut().get_mut(&sequence) {
        flight.connection = Some(connection);
    }
    Event::Connected
}

fn write(node: &Rc<Node>, sequence: u64) {
    let mut flights = node.orders.flights.borrow_mut();
    let Some(flight) = flights.get_mut(&sequence) else {
        return;
    };
    let Some(connection) = flight.connection.take() else {
        return;
    };
    let req = service::request(
        node,
        connection.addr(),
        flight.body.clone(),
        &flight.headers,
    );
    let node = Rc::clone(node);
    flight.exchange = Some(compio::runtime::spawn(async move {
        let event = match service::exchange(connection, req).await {
            Ok(Ok(answer)) => Event::Answered(answer),
            Ok(Err(Declined)) => Event::Declined,
            Err(_) => Event::ConnectionLost,
        };
        let flight = node
            .orders
            .flights
            .borrow_mut()
            .get_mut(&sequence)
            .map(|f| f.exchange.take());
        if let Some(Some(own)) = flight {
            own.detach();
        }
        on(&node, sequence, event);
    }));
}

fn ask(node: &Rc<Node>, sequence: u64) {
    let flights = node.orders.flights.borrow();
    let Some(flight) = flights.get(&sequence) else {
        return;
    };
    let processes = service::processes(node, &flight.service);
    let headers = flight.headers.clone();
    let node = Rc::clone(node);
    compio::runtime::spawn(async move {
        let reply = service::ask(&node, &processes, &headers).await;
        on(&node, sequence, Event::OutcomeQueried(reply));
    })
    .detach();
}

fn tell(node: &Node, sequence: u64, answer: Answer) {
    let flights = node.orders.flights.borrow();
    let Some(flight) = flights.get(&sequence) else {
        return;
    };
    if let (Ran::Unknown, Some(key)) = (answer.ran, &flight.key) {
        let service = &flight.service;
        let key = key.clone();
        emit(&events::Event::OrderUnknown { service, key });
    }
    let _ = flight.tell.try_send(answer);
}

fn abandon(node: &Node, sequence: u64) {
    if let Some(flight) = node.orders.flights.borrow_mut().get_mut(&sequence) {
        flight.connection = None;
        flight.exchange = None;
    }
}

/// The answer that is stored for a service's answer.
pub fn stored(status: u16, content_type: &str, body: &[u8]) -> Arc<StoredAnswer> {
    Arc::new(StoredAnswer::new(status, content_type, body))
}
