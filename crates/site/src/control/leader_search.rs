//! Finds the leader for an operator's call, within the time that operators wait.

use std::time::Duration;

use crate::control::ControlHost;
use base::NodeId;
use base::Time;
use quorum::clock;
use wire::Call;

/// How long an operator's call may take in total.
const OPERATOR_CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Time between two attempts to reach the leader.
const LEADER_RETRY_INTERVAL: Duration = Duration::from_millis(60);

/// The search for the leader during one call.
pub(crate) struct LeaderSearch {
    deadline: Time,
    /// The leader as the control host that was asked last named it.
    hint: Option<NodeId>,
}

impl LeaderSearch {
    /// Begins a search.
    pub fn begin() -> Self {
        Self {
            deadline: clock::now() + OPERATOR_CALL_TIMEOUT,
            hint: None,
        }
    }

    /// The control host to ask, which may be this one.
    pub fn leader(&self, control: &ControlHost) -> Option<NodeId> {
        match control.is_leader() {
            true => Some(control.settings.node_id()),
            false => self.hint.or_else(|| control.known_leader()),
        }
    }

    /// Asks another control host. None if it does not answer in time.
    pub async fn ask<C: Call>(
        &self,
        control: &ControlHost,
        leader: NodeId,
        call: &C,
    ) -> Option<C::Reply> {
        let addr = control.settings.internal_addr(leader);
        let left = self.deadline.since(clock::now());
        match control.rpc.call(addr, call, left).await {
            Ok(reply) => Some(reply),
            Err(e) => {
                log::debug!("the leader {leader} did not answer {}: {e}", C::METHOD);
                None
            }
        }
    }

    /// Waits before the next attempt, unless the time is up. The control host asked last named
    /// `leader`.
    pub async fn goes_on(&mut self, leader: Option<NodeId>) -> bool {
        self.hint = leader;
        if self.deadline <= clock::now() + LEADER_RETRY_INTERVAL {
            return false;
        }
        compio::time::sleep(LEADER_RETRY_INTERVAL).await;
        true
    }
}
