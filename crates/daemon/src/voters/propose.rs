//! Proposes commands to the voters' leader, from any node.

use std::rc::Rc;
use std::time::Duration;

use compio::time::timeout;

use crate::node::Node;
use crate::voters::driver::run_effects;
use base::NodeId;
use base::OrderKey;
use base::OrgName;
use base::Time;
use net::RpcError;
use quorum::clock;
use state::Op;
use state::Reply;
use vote::Blob;
use vote::ProposeError;
use wire::FaultKind;
use wire::peer::Forwarding;
use wire::peer::Propose;
use wire::peer::ProposeReply;
use wire::peer::ReadOrder;

/// How long one voter may take to get a command committed.
const PROPOSE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time between two rounds of calls to all voters.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);

/// The outcome of a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposalOutcome {
    /// It was accepted, and this is the reply of the state machine.
    Accepted(Reply),
    /// It was not accepted and never will be.
    Refused,
    /// It may have been accepted already, or may be later.
    Unknown,
}

/// Proposes a command. Retries until `until` to find the leader.
pub async fn propose(node: &Rc<Node>, op: Op, until: Time) -> ProposalOutcome {
    let bytes = postcard::to_stdvec(&op).expect("commands have no type that cannot be written");
    let call = Propose {
        op: Blob::from(bytes),
        relay: Forwarding::Allowed,
    };
    let mut leader = None;
    let mut outcome = ProposalOutcome::Refused;
    while clock::now() < until {
        let first = leader.take().or(node.leader_hint.get());
        let voters = node.settings.voters().filter(|v| Some(*v) != first);
        let round: Vec<NodeId> = first.into_iter().chain(voters).collect();
        for voter in round {
            match ask_voter(node, voter, &call, &op).await {
                Ok(ProposeReply::Done { reply }) => {
                    node.leader_hint.set(Some(voter));
                    return decode_reply(&reply);
                }
                Ok(ProposeReply::NotLeader { leader: known }) => leader = known.or(leader),
                Ok(ProposeReply::NotAccepted) => return outcome,
                Err(AskError::NotProposed) => {}
                // Commands are idempotent, so it is safe to propose to another voter.
                Err(AskError::MaybeProposed) => outcome = ProposalOutcome::Unknown,
            }
        }
        node.leader_hint.set(None);
        compio::time::sleep(ROUND_INTERVAL).await;
    }
    outcome
}

/// Why a voter gave no reply to a proposal.
enum AskError {
    /// It refused the call, so the command was not proposed.
    NotProposed,
    /// The call failed after it may have been received.
    MaybeProposed,
}

async fn ask_voter(
    node: &Rc<Node>,
    voter: NodeId,
    call: &Propose,
    op: &Op,
) -> Result<ProposeReply, AskError> {
    if voter == node.id() {
        return propose_locally(node, op.clone())
            .await
            .map_err(|()| AskError::MaybeProposed);
    }
    let addr = node.settings.peers[&voter].internal_addr;
    match node.peers.call(addr, call, PROPOSE_TIMEOUT).await {
        Ok(proposal) => Ok(proposal),
        Err(RpcError::Refused { fault, .. }) if fault.kind != FaultKind::Unknown => {
            Err(AskError::NotProposed)
        }
        // A voter that could not be reached received nothing, but a connection that
        // broke midway gives the same error.
        Err(_) => Err(AskError::MaybeProposed),
    }
}

/// Proposes a command to this node's own voter. An error means that the outcome is unknown.
pub async fn propose_locally(node: &Rc<Node>, op: Op) -> Result<ProposeReply, ()> {
    let Some(local_voter) = &node.local_voter else {
        return Ok(ProposeReply::NotLeader { leader: None });
    };
    let proposal = local_voter.propose(op);
    let reply_rx = match proposal {
        Ok(reply_rx) => reply_rx,
        Err(ProposeError::NotLeader { leader }) => return Ok(ProposeReply::NotLeader { leader }),
        Err(ProposeError::Busy | ProposeError::TooLarge { .. }) => {
            return Ok(ProposeReply::NotAccepted);
        }
    };
    run_effects(node);
    match timeout(PROPOSE_TIMEOUT, reply_rx.recv()).await {
        Ok(Ok(Some(reply))) => Ok(ProposeReply::Done {
            reply: encode_reply(&reply),
        }),
        Ok(Ok(None)) => Ok(ProposeReply::NotAccepted),
        Ok(Err(_)) | Err(_) => Err(()),
    }
}

/// Proposes locally if this voter leads, else forwards the command to the leader, which
/// the sender may be unable to reach.
pub async fn propose_or_forward(
    node: &Rc<Node>,
    op: Op,
    call: Propose,
) -> Result<ProposeReply, ()> {
    let leader = match propose_locally(node, op).await? {
        ProposeReply::NotLeader {
            leader: Some(leader),
        } if leader != node.id() => leader,
        other => return Ok(other),
    };
    let Some(peer) = node.settings.peers.get(&leader) else {
        return Ok(ProposeReply::NotLeader { leader: None });
    };
    let call = Propose {
        relay: Forwarding::Done,
        ..call
    };
    match node
        .peers
        .call(peer.internal_addr, &call, PROPOSE_TIMEOUT)
        .await
    {
        Ok(proposal) => Ok(proposal),
        Err(RpcError::Refused { fault, .. }) if fault.kind != FaultKind::Unknown => {
            Ok(ProposeReply::NotLeader { leader: None })
        }
        Err(_) => Err(()),
    }
}

/// Records in the ledger that this node's earlier incarnations have ended, so that the
/// outcomes of their open claims become unknown at once.
pub async fn announce_incarnation(node: Rc<Node>) {
    const RETRY_INTERVAL: Duration = Duration::from_secs(5);
    loop {
        let op = Op::Gone {
            node: node.id(),
            before: node.incarnation,
        };
        let outcome = propose(&node, op, clock::now() + RETRY_INTERVAL).await;
        if matches!(outcome, ProposalOutcome::Accepted(_)) {
            return;
        }
        compio::time::sleep(RETRY_INTERVAL).await;
    }
}

/// The status of a key in the leader's ledger. None if no leader answers.
pub async fn key_status(
    node: &Rc<Node>,
    org: &OrgName,
    key: &OrderKey,
) -> Option<state::KeyStatus> {
    let call = ReadOrder {
        org: org.clone(),
        key: key.clone(),
    };
    for voter in node.settings.voters() {
        let status = match voter == node.id() {
            true => local_key_status(node, &call),
            false => {
                let addr = node.settings.peers[&voter].internal_addr;
                node.peers
                    .call(addr, &call, PROPOSE_TIMEOUT)
                    .await
                    .ok()
                    .and_then(|r| r.standing)
            }
        };
        if status.is_some() {
            return status;
        }
    }
    None
}

/// The status of a key in this node's ledger, if it leads and its state is current.
pub fn local_key_status(node: &Node, call: &ReadOrder) -> Option<state::KeyStatus> {
    let local_voter = node.local_voter.as_ref()?;
    local_voter.leader_term(clock::now())?;
    let state = local_voter.state.borrow();
    Some(state.ledger().key_status(&call.org, &call.key))
}

fn encode_reply(reply: &Reply) -> Blob {
    let bytes = postcard::to_stdvec(reply);
    Blob::from(bytes.expect("replies have no type that cannot be written"))
}

fn decode_reply(bytes: &[u8]) -> ProposalOutcome {
    match postcard::from_bytes(bytes) {
        Ok(reply) => ProposalOutcome::Accepted(reply),
        Err(_) => ProposalOutcome::Unknown,
    }
}
