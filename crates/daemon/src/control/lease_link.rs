//! Exchanges the lease's messages between the nodes of the data centre.

use std::rc::Rc;
use std::time::Duration;

use crate::node::Node;
use base::NodeId;
use lease::Output;
use net::RpcMethods;
use quorum::clock;
use wire::peer::LeaseMessage;
use wire::peer::LeaseReply;

/// How long a message and its answer may take.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(1_000);

pub fn methods(methods: RpcMethods<Node>) -> RpcMethods<Node> {
    methods.register(|node: Rc<Node>, call: LeaseMessage| async move {
        let is_neighbour = node.settings.local_nodes().any(|id| id == call.from);
        let output = match is_neighbour {
            true => receive(&node, call.from, call.message),
            false => None,
        };
        let message = output.map(|output| output.outgoing.message);
        Ok(LeaseReply { message })
    })
}

/// Sends each message in a task of its own, and handles the reply to it.
pub fn send(node: &Rc<Node>, outputs: Vec<Output>) {
    for output in outputs {
        let to = output.outgoing.to;
        if to == node.id() {
            let reply = receive(node, to, output.outgoing.message);
            send(node, reply.into_iter().collect());
            continue;
        }
        let Some(peer) = node.settings.peers.get(&to) else {
            continue;
        };
        let addr = peer.internal_addr;
        let call = LeaseMessage {
            from: node.id(),
            message: output.outgoing.message,
        };
        let node = Rc::clone(node);
        compio::runtime::spawn(async move {
            let answer = node.peers.call(addr, &call, MESSAGE_TIMEOUT).await;
            if let Ok(LeaseReply {
                message: Some(message),
            }) = answer
            {
                receive(&node, to, message);
            }
        })
        .detach();
    }
}

fn receive(node: &Node, from: NodeId, message: lease::Message) -> Option<Output> {
    let mut lease = node.control.lease.borrow_mut();
    lease.receive(from, message, clock::now())
}
