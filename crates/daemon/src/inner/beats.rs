//! Beats of hosts as they come in over one long request each.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use hyper::body::Incoming;

use crate::inner::announce::hear_beat;
use crate::node::Node;
use net::Body;
use net::BodySender;
use net::LineReader;
use wire::upstream::HEARTBEAT_ACCEPTED;
use wire::upstream::HEARTBEAT_UNKNOWN;
use wire::upstream::HostHeartbeat;

/// The longest line of a beat in bytes.
const LONGEST_BEAT: usize = 256;

/// How long a host may take no answer.
const STALL: Duration = Duration::from_secs(5);

/// Bytes of the TCP and IP headers and the chunk's frame of one line.
const LINE_HEAD_BYTES: u64 = 46;

/// Takes a host's beats for as long as it sends them, and answers each.
pub fn take(node: Rc<Node>, body: Incoming) -> Response<Body> {
    let (tx, answers) = Body::stream();
    compio::runtime::spawn(take_on(node, body, tx)).detach();
    Response::new(answers)
}

async fn take_on(node: Rc<Node>, body: Incoming, tx: BodySender) {
    let mut lines = LineReader::new(body, LONGEST_BEAT);
    while let Some(line) = lines.next_line().await {
        let Ok(beat) = serde_json::from_str::<HostHeartbeat>(&line) else {
            return;
        };
        node.meter
            .add_received_bytes(LINE_HEAD_BYTES + line.len() as u64);
        let known = hear_beat(&node, &beat);
        if known {
            node.relay.borrow_mut().beats.insert(beat.host, beat);
        }
        let answer = match known {
            true => HEARTBEAT_ACCEPTED,
            false => HEARTBEAT_UNKNOWN,
        };
        node.meter
            .add_sent_bytes(LINE_HEAD_BYTES + answer.len() as u64);
        let line = Bytes::from(format!("{answer}\n"));
        if !known || tx.send(line, STALL).await.is_err() {
            return;
        }
    }
}
