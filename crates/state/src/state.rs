//! The state machine that applies the voters' log.

use serde::Deserialize;
use serde::Serialize;

use crate::Command;
use crate::ConfigRegister;
use crate::Ledger;
use crate::Limits;
use crate::LogTime;
use crate::Op;
use crate::ReplicaRegister;
use crate::Reply;
use crate::StateCopy;

/// The replicated state: what the committed entries of the log amount to.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct State {
    applied: u64,
    now: LogTime,
    limits: Limits,
    register: ConfigRegister,
    ledger: Ledger,
    replicas: ReplicaRegister,
}

impl State {
    /// Creates the state before the first command, with these limits.
    pub fn with_limits(limits: Limits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Applies the log entry at `index`. An entry that was applied before is skipped.
    pub fn apply(&mut self, index: u64, command: &Command) -> Reply {
        if index <= self.applied {
            return Reply::Skipped;
        }
        self.applied = index;
        self.now = self.now.max(command.at);
        let now = self.now;
        self.ledger.end_due(now);
        let limits = &self.limits;
        match &command.op {
            Op::Nothing => Reply::Nothing,
            Op::Change(change) => Reply::Change(self.register.apply(change, limits)),
            Op::Claim(claim) => Reply::Claim(self.ledger.claim(claim, now, limits)),
            Op::Record(record) => Reply::Record(self.ledger.record_outcome(record, now, limits)),
            Op::Learn(queried) => {
                Reply::Record(self.ledger.record_queried_answer(queried, now, limits))
            }
            Op::Withdraw(withdraw) => {
                Reply::Withdraw(self.ledger.withdraw(withdraw, index, now, limits))
            }
            Op::Offer(offer) => Reply::Offer(self.register.offer(offer, limits)),
            Op::RecordReplicas(changes) => {
                self.replicas.apply(changes);
                Reply::ReplicasRecorded
            }
            Op::Gone { node, before } => Reply::Gone {
                orders: self.ledger.end_incarnations(*node, *before, now),
            },
        }
    }

    /// The index of the last applied entry.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// The log's time after the last applied entry.
    pub fn now(&self) -> LogTime {
        self.now
    }

    /// The configuration in force.
    pub fn config(&self) -> &ConfigRegister {
        &self.register
    }

    /// The ledger of orders.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// The replicas that may be open.
    pub fn replicas(&self) -> &ReplicaRegister {
        &self.replicas
    }

    /// A copy of the state to encode as a snapshot. It is cheap, as it shares the records.
    pub fn copy_for_snapshot(&self) -> StateCopy {
        StateCopy(Self {
            register: self.register.copy_for_snapshot(),
            ledger: self.ledger.copy_for_snapshot(),
            replicas: self.replicas.clone(),
            ..*self
        })
    }

    pub(crate) fn has_valid_parts(&self) -> bool {
        self.ledger.has_valid_parts()
    }

    /// Rebuilds what is not part of a snapshot.
    pub(crate) fn rebuild(&mut self) {
        self.register.rebuild();
        self.ledger.rebuild();
    }
}
