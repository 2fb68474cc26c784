//! Shows and changes the members of the voters, from any node by way of the leader.

use std::rc::Rc;
use std::time::Duration;

use crate::node::Node;
use crate::voters::driver::run_effects;
use base::DiskId;
use base::NodeId;
use net::RpcError;
use net::RpcMethods;
use quorum::LocalVoter;
use quorum::clock;
use vote::Change;
use vote::ChangeError;
use vote::Duty;
use vote::Trust;
use wire::Call;
use wire::Fault;
use wire::operator::ChangeVoters;
use wire::operator::ChangeVotersReply;
use wire::operator::ShowVoters;
use wire::operator::VoterRow;
use wire::operator::VotersReply;

/// How long the leader may take to answer.
const LEADER_TIMEOUT: Duration = Duration::from_millis(2_000);

/// The methods offered to other nodes. Only the leader serves them.
pub fn peer_methods(methods: RpcMethods<Node>) -> RpcMethods<Node> {
    methods
        .register(|node: Rc<Node>, _: ShowVoters| async move { show_voters(&node) })
        .register(|node: Rc<Node>, call: ChangeVoters| async move { change_voters(&node, call) })
}

/// The methods offered to operators. A node that does not lead forwards them to the leader.
pub fn operator_methods(methods: RpcMethods<Node>) -> RpcMethods<Node> {
    methods
        .register(|node: Rc<Node>, call: ShowVoters| async move {
            match show_voters(&node) {
                Ok(reply) => Ok(reply),
                Err(_) => ask_leader(&node, call).await,
            }
        })
        .register(|node: Rc<Node>, call: ChangeVoters| async move {
            match leading_voter(&node) {
                Some(_) => change_voters(&node, call),
                None => ask_leader(&node, call).await,
            }
        })
}

/// Calls the voters in turn until the leader answers.
async fn ask_leader<C: Call>(node: &Rc<Node>, call: C) -> Result<C::Reply, Fault> {
    let mut last = Fault::unavailable("no voter leads");
    for voter in node.settings.voters().filter(|id| *id != node.id()) {
        let addr = node.settings.peers[&voter].internal_addr;
        match node.peers.call(addr, &call, LEADER_TIMEOUT).await {
            Ok(reply) => return Ok(reply),
            Err(RpcError::Refused { fault, .. }) if fault.message != NOT_LEADING => last = fault,
            Err(_) => {}
        }
    }
    Err(last)
}

const NOT_LEADING: &str = "this node does not lead the voters";

fn leading_voter(node: &Node) -> Option<&LocalVoter> {
    let local_voter = node.local_voter.as_ref()?;
    let lease = local_voter.voter.borrow().lease(clock::now());
    lease.map(|_| local_voter)
}

fn show_voters(node: &Node) -> Result<VotersReply, Fault> {
    let local_voter = leading_voter(node).ok_or_else(|| Fault::unavailable(NOT_LEADING))?;
    let status = local_voter.voter.borrow().status();
    let me = VoterRow {
        node: node.id(),
        duty: "leader".to_owned(),
        matched: status.last.0,
        silent_ms: None,
        disk: "trusted".to_owned(),
    };
    let others = status.peers.iter().map(|peer| VoterRow {
        node: peer.node,
        duty: duty_name(peer.duty).to_owned(),
        matched: peer.matched.0,
        silent_ms: peer.silent.map(|span| span.as_millis() as u64),
        disk: trust_name(peer.trust).to_owned(),
    });
    Ok(VotersReply {
        leader: node.id(),
        members: [me].into_iter().chain(others).collect(),
        waiting: status
            .non_members
            .iter()
            .map(|candidate| candidate.node)
            .collect(),
    })
}

fn change_voters(node: &Rc<Node>, call: ChangeVoters) -> Result<ChangeVotersReply, Fault> {
    let local_voter = leading_voter(node).ok_or_else(|| Fault::unavailable(NOT_LEADING))?;
    let change = match call {
        ChangeVoters::Add(node) => Change::Add {
            node,
            disk: disk_of(local_voter, node)?,
        },
        ChangeVoters::Replace(node) => Change::Replace {
            node,
            disk: disk_of(local_voter, node)?,
        },
        ChangeVoters::Remove(node) => Change::Remove { node },
    };
    let changed = local_voter
        .voter
        .borrow_mut()
        .change_members(change, clock::now());
    changed.map_err(fault_of)?;
    run_effects(node);
    Ok(ChangeVotersReply { leader: node.id() })
}

/// The disk of a node that waits to become a member.
fn disk_of(local_voter: &LocalVoter, node: NodeId) -> Result<DiskId, Fault> {
    let status = local_voter.voter.borrow().status();
    let waiting = status
        .non_members
        .iter()
        .find(|candidate| candidate.node == node);
    waiting.map(|candidate| candidate.disk).ok_or_else(|| {
        Fault::invalid(format!(
            "{node} does not wait to become a member: start it first"
        ))
    })
}

fn fault_of(error: ChangeError) -> Fault {
    match error {
        ChangeError::NotLeader { .. } | ChangeError::Busy => Fault::unavailable(error),
        _ => Fault::invalid(error),
    }
}

fn duty_name(duty: Duty) -> &'static str {
    match duty {
        Duty::Voter => "voter",
        Duty::Learner => "learner",
    }
}

fn trust_name(trust: Trust) -> &'static str {
    match trust {
        Trust::Trusted => "trusted",
        _ => "lost",
    }
}
