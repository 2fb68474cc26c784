//! The naive exchange: every node sends a heartbeat to every other each second.
//!
//! Bytes follow from the sizes. Processor time is that of writing and reading
//! fixed fields for one node, without its sockets and tags.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::time::Instant;

use super::spent::Load;
use super::spent::Spent;
use members::DATAGRAM_OVERHEAD_BYTES;

/// Node, incarnation, sequence, version in force.
const HEARTBEAT_BYTES: usize = 2 + 8 + 8 + 8;

/// Seconds between two reports, which ride on heartbeats.
const REPORT_S: f64 = 5.0;

/// Seconds that are timed.
const SECONDS: u64 = 20;

/// What a full mesh costs a node.
pub fn spent(nodes: u32, load: Load) -> Spent {
    let others = f64::from(nodes - 1);
    let heartbeat = (HEARTBEAT_BYTES + DATAGRAM_OVERHEAD_BYTES) as f64;
    let report = match load {
        Load::None => 0.0,
        Load::Reports => (Load::LOADS_BYTES + Load::DEMAND_BYTES) as f64 / REPORT_S,
    };
    let each_way = others * (heartbeat + report);
    let core = core(nodes, load);
    Spent {
        sent: each_way,
        received: each_way,
        both_max: 2.0 * each_way,
        datagrams: 2.0 * others,
        core,
        core_max: core,
        in_time: None,
        memory: f64::from(nodes) * (HEARTBEAT_BYTES as f64 + report * REPORT_S),
    }
}

fn core(nodes: u32, load: Load) -> f64 {
    let body = match load {
        Load::None => 0,
        Load::Reports => (Load::LOADS_BYTES + Load::DEMAND_BYTES) / REPORT_S as usize,
    };
    let mut known: BTreeMap<u32, Vec<u8>> = BTreeMap::new();
    let begun = Instant::now();
    for second in 0..SECONDS {
        for other in 1..nodes {
            let mut datagram = Vec::with_capacity(HEARTBEAT_BYTES + body);
            datagram.extend(other.to_le_bytes());
            datagram.extend([second; 3].map(u64::to_le_bytes).concat());
            datagram.resize(HEARTBEAT_BYTES + body, 0);
            let received = black_box(datagram);
            let from = u32::from_le_bytes([received[0], received[1], received[2], received[3]]);
            known.insert(from, received);
        }
    }
    black_box(&known);
    begun.elapsed().as_secs_f64() / SECONDS as f64
}
