//! A request that was admitted and placed, until it ends.

use std::rc::Rc;
use std::time::Duration;

use crate::dispatch::Placement;
use crate::dispatch::PlacementRequest;
use crate::dispatch::refresh::poll_dispatcher;
use crate::entry::ExchangeError;
use crate::node::Node;
use crate::problem::Problem;
use crate::problem_kind::ProblemKind;
use admit::Decision;
use admit::Failure;
use admit::RefusalReason;
use base::ModelName;
use base::RequestId;
use quorum::clock;

/// A request that was placed on a replica. Dropped before its end, it counts as cancelled.
#[derive(Debug)]
pub struct PlacedRequest {
    entry: DispatcherEntry,
    placement: Placement,
}

/// A request's entry in the dispatcher. Cancelled on drop unless the request is over.
#[derive(Debug)]
struct DispatcherEntry {
    node: Rc<Node>,
    request: RequestId,
    model: ModelName,
    is_over: bool,
}

impl PlacedRequest {
    /// Follows the dispatcher's decisions on a request until it is placed or refused.
    pub(super) async fn resolve(
        node: &Rc<Node>,
        request: &PlacementRequest,
        decision: Decision,
    ) -> Result<Self, Problem> {
        let mut entry = DispatcherEntry {
            node: Rc::clone(node),
            request: request.request,
            model: request.contract.model.clone(),
            is_over: false,
        };
        let placement = entry.resolve(decision).await?;
        node.adjust_replica_count(placement.replica, 1);
        Ok(Self { entry, placement })
    }

    /// The replica that the request was placed on.
    pub fn placement(&self) -> &Placement {
        &self.placement
    }

    /// Records the arrival of the first token.
    pub fn record_first_token(&self) {
        let mut dispatcher = self.entry.node.dispatch.dispatcher.borrow_mut();
        dispatcher.record_first_token(self.entry.request, clock::now());
    }

    /// Records the arrival of a further token.
    pub fn record_token(&self) {
        let mut dispatcher = self.entry.node.dispatch.dispatcher.borrow_mut();
        dispatcher.record_tokens(self.entry.request, 1, clock::now());
    }

    /// Records that the answer is complete.
    pub fn record_finished(&mut self) {
        self.entry.is_over = true;
        let node = &self.entry.node;
        let mut dispatcher = node.dispatch.dispatcher.borrow_mut();
        dispatcher.record_finished(self.entry.request, clock::now());
        drop(dispatcher);
        poll_dispatcher(node);
    }

    /// Places the request again after a failed exchange, or returns why it was refused.
    pub async fn place_again(&mut self, error: &ExchangeError) -> Result<(), Problem> {
        let failure = match error.may_have_run() {
            true => Failure::Lost,
            false => Failure::Refused,
        };
        let decision = self.entry.handle_failure(failure);
        let placement = self.entry.resolve(decision).await?;
        let node = &self.entry.node;
        node.adjust_replica_count(self.placement.replica, -1);
        node.adjust_replica_count(placement.replica, 1);
        self.placement = placement;
        Ok(())
    }
}

impl Drop for PlacedRequest {
    fn drop(&mut self) {
        self.entry
            .node
            .adjust_replica_count(self.placement.replica, -1);
    }
}

impl DispatcherEntry {
    async fn resolve(&mut self, mut decision: Decision) -> Result<Placement, Problem> {
        loop {
            decision = match decision {
                Decision::Send {
                    replica,
                    priority,
                    model,
                    ..
                } => match self.node.dispatch.placement(replica, &model, priority) {
                    Some(placement) => return Ok(placement),
                    // The route became invalid since the dispatcher's last update.
                    None => self.handle_failure(Failure::Refused),
                },
                Decision::Queued => self.wait_for_decision().await,
                Decision::Refuse {
                    reason,
                    retry_after,
                } => {
                    self.is_over = true;
                    return Err(self.refusal(reason, retry_after));
                }
            };
        }
    }

    /// Replicas that rest are none to the dispatcher.
    fn refusal(&self, reason: RefusalReason, retry_after: Duration) -> Problem {
        let node = &self.node;
        let replicas = node.dispatch.replicas_of(&self.model);
        match (reason, node.rests.time_to_first(replicas)) {
            (RefusalReason::NoReplica, Some(left)) => {
                let what = "all replicas of the model asked for rest";
                Problem::not_run(ProblemKind::Resting, what).retry_after(left)
            }
            _ => refusal(reason, retry_after),
        }
    }

    fn handle_failure(&self, failure: Failure) -> Decision {
        let mut dispatcher = self.node.dispatch.dispatcher.borrow_mut();
        let decision = dispatcher.handle_failure(self.request, failure, clock::now());
        decision.unwrap_or(Decision::Refuse {
            reason: RefusalReason::Failed,
            retry_after: Duration::from_secs(1),
        })
    }

    async fn wait_for_decision(&self) -> Decision {
        let (tx, rx) = async_channel::bounded(1);
        let pending = &self.node.dispatch.pending_decisions;
        pending.borrow_mut().insert(self.request, tx);
        let decision = rx.recv().await;
        decision.unwrap_or(Decision::Refuse {
            reason: RefusalReason::Late,
            retry_after: Duration::from_secs(1),
        })
    }
}

impl Drop for DispatcherEntry {
    fn drop(&mut self) {
        if self.is_over {
            return;
        }
        let dispatch = &self.node.dispatch;
        dispatch
            .pending_decisions
            .borrow_mut()
            .remove(&self.request);
        dispatch
            .dispatcher
            .borrow_mut()
            .cancel(self.request, clock::now());
        poll_dispatcher(&self.node);
    }
}

fn refusal(reason: RefusalReason, retry_after: Duration) -> Problem {
    let kind = match reason {
        RefusalReason::NoContract => ProblemKind::NoContract,
        RefusalReason::RequestRate => ProblemKind::RequestRate,
        RefusalReason::TokenRate => ProblemKind::TokenRate,
        RefusalReason::NoReplica => ProblemKind::NoReplica,
        RefusalReason::Late => ProblemKind::Late,
        RefusalReason::Failed => ProblemKind::ReplicaFailed,
        RefusalReason::Interrupted => ProblemKind::Interrupted,
    };
    let problem = Problem::not_run(kind, reason).ran(reason.ran());
    match reason {
        RefusalReason::NoContract => problem,
        _ => problem.retry_after(retry_after),
    }
}
