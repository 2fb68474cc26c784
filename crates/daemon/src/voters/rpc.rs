//! The methods that voters offer to other nodes.

use std::rc::Rc;

use crate::node::Node;
use crate::voters::driver::receive_message;
use crate::voters::group;
use crate::voters::propose::local_key_status;
use crate::voters::propose::propose_locally;
use crate::voters::propose::propose_or_forward;
use net::RpcMethods;
use state::Op;
use wire::Fault;
use wire::peer::Forwarding;
use wire::peer::Propose;
use wire::peer::ReadOrder;
use wire::peer::ReadOrderReply;
use wire::peer::VoteMessage;
use wire::peer::VoteReply;

pub fn methods(methods: RpcMethods<Node>) -> RpcMethods<Node> {
    group::peer_methods(methods)
        .register(|node: Rc<Node>, call: VoteMessage| async move {
            let messages = receive_message(&node, call.from, call.message);
            Ok(VoteReply { messages })
        })
        .register(|node: Rc<Node>, call: Propose| async move {
            let op: Op = postcard::from_bytes(&call.op).map_err(Fault::invalid)?;
            let proposed = match call.relay {
                Forwarding::Allowed => propose_or_forward(&node, op, call).await,
                Forwarding::Done => propose_locally(&node, op).await,
            };
            proposed.map_err(|()| Fault::unknown("the voters did not agree in time"))
        })
        .register(|node: Rc<Node>, call: ReadOrder| async move {
            let standing = local_key_status(&node, &call);
            Ok(ReadOrderReply { standing })
        })
}
