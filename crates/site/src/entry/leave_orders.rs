//! Orders head hosts that the leader cannot reach to leave their replicas.

use std::rc::Rc;
use std::time::Duration;

use compio::time::timeout;
use derive_more::Display;
use http::StatusCode;

use crate::entry::EntryHost;
use crate::events::Event;
use crate::events::emit;
use crate::message::UnreachableHead;
use crate::order_request::order_answer;
use crate::order_request::order_request;
use form::Action;
use form::OrderAnswer;
use form::Outcome;

/// How long connecting to a host that is to leave may take, and how long its answer.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(300);

const LEAVE_RETRY_INTERVAL: Duration = Duration::from_millis(700);

/// What came of an order to leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
enum LeaveOutcome {
    /// The head host has left.
    #[display("left")]
    Left,
    /// The head host runs, and may still serve.
    #[display("refused")]
    Refused,
    /// The head host could not be reached, or another process has its address by now.
    #[display("unreached")]
    Unreached,
}

impl LeaveOutcome {
    fn of_answer(answer: OrderAnswer) -> Self {
        match answer.outcome() {
            Outcome::Begun | Outcome::Done => Self::Left,
            // The order names the host that it is for.
            Outcome::Refused if answer.status == StatusCode::MISDIRECTED_REQUEST => Self::Unreached,
            Outcome::Refused | Outcome::Unknown | Outcome::NotSent => Self::Refused,
        }
    }
}

/// Orders a head host to leave, and reports what came of it. While an order to leave the same
/// replica is under way, nothing is done.
pub(crate) fn send_leave_order(entry: &Rc<EntryHost>, head: UnreachableHead) {
    if !entry.leave_orders.borrow_mut().insert(head.epoch) {
        return;
    }
    let entry = Rc::clone(entry);
    compio::runtime::spawn(async move {
        let outcome = order_to_leave(&entry, &head).await;
        emit(&Event::LeaveSent {
            host: &head.host,
            replica: &head.replica,
            outcome: outcome.to_string(),
        });
        record_outcome(&entry, &head, outcome);
        compio::time::sleep(LEAVE_RETRY_INTERVAL).await;
        entry.leave_orders.borrow_mut().remove(&head.epoch);
    })
    .detach();
}

async fn order_to_leave(entry: &EntryHost, head: &UnreachableHead) -> LeaveOutcome {
    let action = Action::Leave {
        replica: head.replica.clone(),
        epoch: head.epoch,
    };
    let platform = entry.platform.as_ref();
    let request = order_request(platform, &head.host, &action, None);
    let Ok(mut connection) = entry.pool.connect(head.addr, LEAVE_TIMEOUT).await else {
        return LeaveOutcome::Unreached;
    };
    match timeout(LEAVE_TIMEOUT, connection.request(request)).await {
        Ok(Ok(response)) => LeaveOutcome::of_answer(order_answer(platform, &response)),
        // The host runs: one with too many connections accepts new ones and ends them, and one
        // that stands still may go on.
        Ok(Err(_)) | Err(_) => LeaveOutcome::Refused,
    }
}

fn record_outcome(entry: &EntryHost, head: &UnreachableHead, outcome: LeaveOutcome) {
    match outcome {
        LeaveOutcome::Left => entry.left_replicas.borrow_mut().push(head.epoch),
        // Leaders of earlier releases wait for it.
        LeaveOutcome::Unreached => entry.unreached_replicas.borrow_mut().push(head.epoch),
        LeaveOutcome::Refused => return,
    }
    entry.observations_added.notify_waiters();
}
