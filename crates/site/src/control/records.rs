//! Commits the controller's records of replicas to the voters' log.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use compio::time::timeout;

use crate::control::ControlHost;
use crate::control::lead::COMMIT_TIMEOUT;
use crate::control::voter::VoterEnvironment;
use fleet::RecordChanges;
use state::Op;
use state::Reply;

/// Time between two proposals of changes that were not committed.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Commits changes of the records one set after the other.
#[derive(Debug, Default)]
pub(crate) struct RecordWriter {
    is_committing: Cell<bool>,
}

impl RecordWriter {
    /// Proposes the controller's changes of the records, unless earlier ones are under way. What
    /// isn't committed is proposed again.
    pub fn commit_changes(control: &Rc<ControlHost>) {
        if control.record_writer.is_committing.get() {
            return;
        }
        let changes = control.controller.borrow_mut().take_record_changes();
        if changes.is_empty() {
            return;
        }
        control.record_writer.is_committing.set(true);
        let control = Rc::clone(control);
        compio::runtime::spawn(async move {
            if commit(&control, &changes).await {
                let mut controller = control.controller.borrow_mut();
                controller.confirm_record_changes(&changes);
            } else {
                compio::time::sleep(RETRY_INTERVAL).await;
            }
            control.record_writer.is_committing.set(false);
            control.controller_changed.notify_waiters();
        })
        .detach();
    }
}

async fn commit(control: &Rc<ControlHost>, changes: &RecordChanges) -> bool {
    let op = Op::RecordReplicas(changes.clone());
    let reply = match control.local_voter.propose(op) {
        Ok(reply) => reply,
        Err(e) => {
            log::debug!("records of replicas were not proposed: {e}");
            return false;
        }
    };
    quorum::run_effects(&VoterEnvironment(Rc::clone(control)));
    let reply = timeout(COMMIT_TIMEOUT, reply.recv()).await;
    matches!(reply, Ok(Ok(Some(Reply::ReplicasRecorded))))
}
