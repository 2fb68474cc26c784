//! A request that was admitted, until it is over.

use std::rc::Rc;
use std::time::Duration;

use crate::dispatch::Placed;
use crate::dispatch::refresh::decide;
use crate::entry::Break;
use crate::node::Node;
use crate::problem::Problem;
use crate::problem_kind::ProblemKind;
use admit::Decision;
use admit::Failure;
use admit::RefusalReason;
use base::RequestId;
use quorum::clock;

/// A request that was admitted. Dropped before its end, it counts as cancelled.
#[derive(Debug)]
pub struct Work {
    turn: Turn,
    placed: Placed,
}

/// A request's turn with the dispatcher, given back on drop.
#[derive(Debug)]
struct Turn {
    node: Rc<Node>,
    request: RequestId,
    over: bool,
}

impl Work {
    /// Acts on a request's decision until it is placed or refused.
    pub(super) async fn settle(
        node: &Rc<Node>,
        request: RequestId,
        decision: Decision,
    ) -> Result<Self, Problem> {
        let mut turn = Turn {
            node: Rc::clone(node),
            request,
            over: false,
        };
        let placed = turn.settle(decision).await?;
        node.count_placed(placed.replica, 1);
        Ok(Self { turn, placed })
    }

    /// Where it was placed.
    pub fn placed(&self) -> &Placed {
        &self.placed
    }

    /// Its first token came.
    pub fn first_token(&self) {
        let mut dispatcher = self.turn.node.dispatch.dispatcher.borrow_mut();
        dispatcher.record_first_token(self.turn.request, clock::now());
    }

    /// A further token came.
    pub fn token(&self) {
        let mut dispatcher = self.turn.node.dispatch.dispatcher.borrow_mut();
        dispatcher.record_tokens(self.turn.request, 1, clock::now());
    }

    /// Its answer is whole.
    pub fn finished(&mut self) {
        self.turn.over = true;
        let node = &self.turn.node;
        let mut dispatcher = node.dispatch.dispatcher.borrow_mut();
        dispatcher.record_finished(self.turn.request, clock::now());
        drop(dispatcher);
        decide(node);
    }

    /// It broke off: places it again, or says why not.
    pub async fn again(&mut self, error: &Break) -> Result<(), Problem> {
        let failure = match error.may_have_run() {
            true => Failure::Lost,
            false => Failure::Refused,
        };
        let decision = self.turn.fail(failure);
        let placed = self.turn.settle(decision).await?;
        let node = &self.turn.node;
        node.count_placed(self.placed.replica, -1);
        node.count_placed(placed.replica, 1);
        self.placed = placed;
        Ok(())
    }
}

impl Drop for Work {
    fn drop(&mut self) {
        self.turn.node.count_placed(self.placed.replica, -1);
    }
}

impl Turn {
    async fn settle(&mut self, mut decision: Decision) -> Result<Placed, Problem> {
        loop {
            decision = match decision {
                Decision::Send {
                    replica,
                    priority,
                    model,
                    ..
                } => match self.node.dispatch.placed(replica, &model, priority) {
                    Some(placed) => return Ok(placed),
                    // The route ended since the dispatcher was told of it.
                    None => self.fail(Failure::Refused),
                },
                Decision::Queued => self.wait().await,
                Decision::Refuse {
                    reason,
                    retry_after,
                } => {
                    self.over = true;
                    return Err(refusal(reason, retry_after));
                }
            };
        }
    }

    fn fail(&self, failure: Failure) -> Decision {
        let mut dispatcher = self.node.dispatch.dispatcher.borrow_mut();
        let decision = dispatcher.handle_failure(self.request, failure, clock::now());
        decision.unwrap_or(Decision::Refuse {
            reason: RefusalReason::Failed,
            retry_after: Duration::from_secs(1),
        })
    }

    async fn wait(&self) -> Decision {
        let (tx, rx) = async_channel::bounded(1);
        let waiting = &self.node.dispatch.waiting;
        waiting.borrow_mut().insert(self.request, tx);
        let decision = rx.recv().await;
        decision.unwrap_or(Decision::Refuse {
            reason: RefusalReason::Late,
            retry_after: Duration::from_secs(1),
        })
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        if self.over {
            return;
        }
        let dispatch = &self.node.dispatch;
        dispatch.waiting.borrow_mut().remove(&self.request);
        dispatch
            .dispatcher
            .borrow_mut()
            .cancel(self.request, clock::now());
        decide(&self.node);
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
