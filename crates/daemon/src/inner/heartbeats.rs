//! Receives heartbeats of hosts. Each host sends its own as lines of one long request.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;

use crate::inner::announce::handle_heartbeat;
use crate::node::Node;
use net::Body;
use net::BodySender;
use net::Inbound;
use net::LineReader;
use wire::upstream::HEARTBEAT_ACCEPTED;
use wire::upstream::HEARTBEAT_UNKNOWN;
use wire::upstream::HostHeartbeat;

/// The longest line with a heartbeat, in bytes.
const MAX_LINE_BYTES: usize = 256;

/// How long sending an answer to a host may block.
const SEND_TIMEOUT: Duration = Duration::from_secs(5);

/// Bytes of the TCP and IP headers and the HTTP chunk framing of one line.
const LINE_OVERHEAD_BYTES: u64 = 46;

/// Handles a host's heartbeats for as long as it sends them, and answers each.
pub fn accept_heartbeats(node: Rc<Node>, body: Inbound) -> Response<Body> {
    let (tx, answers) = Body::stream();
    compio::runtime::spawn(read_heartbeats(node, body, tx)).detach();
    Response::new(answers)
}

async fn read_heartbeats(node: Rc<Node>, body: Inbound, tx: BodySender) {
    let mut lines = LineReader::new(body, MAX_LINE_BYTES);
    while let Some(line) = lines.next_line().await {
        let Ok(heartbeat) = serde_json::from_str::<HostHeartbeat>(&line) else {
            return;
        };
        node.meter
            .add_received_bytes(LINE_OVERHEAD_BYTES + line.len() as u64);
        let known = handle_heartbeat(&node, &heartbeat);
        if known {
            node.pending_relay
                .borrow_mut()
                .heartbeats
                .insert(heartbeat.host, heartbeat);
        }
        let answer = match known {
            true => HEARTBEAT_ACCEPTED,
            false => HEARTBEAT_UNKNOWN,
        };
        node.meter
            .add_sent_bytes(LINE_OVERHEAD_BYTES + answer.len() as u64);
        let line = Bytes::from(format!("{answer}\n"));
        if !known || tx.send(line, SEND_TIMEOUT).await.is_err() {
            return;
        }
    }
}
