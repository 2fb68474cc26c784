//! A full mesh, the simple alternative: every node sends every other a heartbeat each second.
//!
//! The bytes follow from the message sizes. The processor time is that of writing and reading
//! fixed fields for one node, without sockets and authentication tags.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::time::Instant;

use super::exchange_cost::ExchangeCost;
use super::exchange_cost::Workload;
use members::DATAGRAM_OVERHEAD_BYTES;

/// Bytes of a heartbeat: node, incarnation, sequence number, version in force.
const HEARTBEAT_BYTES: usize = 2 + 8 + 8 + 8;

/// Seconds between two reports, which are sent with heartbeats.
const REPORT_INTERVAL_S: f64 = 5.0;

/// Seconds of heartbeats that are processed to measure the processor time.
const SIMULATED_SECONDS: u64 = 20;

/// What a full mesh costs one node.
pub fn cost(nodes: u32, workload: Workload) -> ExchangeCost {
    let others = f64::from(nodes - 1);
    let heartbeat = (HEARTBEAT_BYTES + DATAGRAM_OVERHEAD_BYTES) as f64;
    let report = match workload {
        Workload::None => 0.0,
        Workload::Reports => {
            (Workload::LOADS_BYTES + Workload::DEMAND_BYTES) as f64 / REPORT_INTERVAL_S
        }
    };
    let each_way = others * (heartbeat + report);
    let core_share = measure_core_share(nodes, workload);
    ExchangeCost {
        sent: each_way,
        received: each_way,
        both_ways_max: 2.0 * each_way,
        datagrams: 2.0 * others,
        core_share,
        core_share_max: core_share,
        in_time: None,
        memory: f64::from(nodes) * (HEARTBEAT_BYTES as f64 + report * REPORT_INTERVAL_S),
    }
}

fn measure_core_share(nodes: u32, workload: Workload) -> f64 {
    let body_bytes = match workload {
        Workload::None => 0,
        Workload::Reports => {
            (Workload::LOADS_BYTES + Workload::DEMAND_BYTES) / REPORT_INTERVAL_S as usize
        }
    };
    let mut known: BTreeMap<u32, Vec<u8>> = BTreeMap::new();
    let started = Instant::now();
    for second in 0..SIMULATED_SECONDS {
        for other in 1..nodes {
            let mut datagram = Vec::with_capacity(HEARTBEAT_BYTES + body_bytes);
            datagram.extend(other.to_le_bytes());
            datagram.extend([second; 3].map(u64::to_le_bytes).concat());
            datagram.resize(HEARTBEAT_BYTES + body_bytes, 0);
            let received = black_box(datagram);
            let from = u32::from_le_bytes([received[0], received[1], received[2], received[3]]);
            known.insert(from, received);
        }
    }
    black_box(&known);
    started.elapsed().as_secs_f64() / SIMULATED_SECONDS as f64
}
