//! What the state costs: time per command, memory per record, recovery.

use std::fs;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use super::claim::claim;
use crate::report::Table;
use state::Claim;
use state::Command;
use state::Limits;
use state::LogTime;
use state::Op;
use state::Outcome;
use state::RecordOutcome;
use state::State;
use state::StoredAnswer;
use state::Withdraw;

const SIZES: [u64; 3] = [10_000, 100_000, 1_000_000];
const TIMED: u64 = 20_000;
const ANSWER_BYTES: usize = 200;
const PAGE_BYTES: u64 = 4_096;

/// The memory of a record. To be called before the process has freed much.
pub fn memory() -> Table {
    let mut table = Table::new(
        "memory of a record, bytes",
        &["records", "answer", "resident", "as the limits count"],
    );
    let size = SIZES[2];
    let before = resident();
    let filled = fill(size);
    let held = resident().saturating_sub(before);
    table.row([
        size.to_string(),
        ANSWER_BYTES.to_string(),
        (held / size).to_string(),
        (filled.state.ledger().size_bytes() / size).to_string(),
    ]);
    table
}

/// Time per command beside the records that are held.
pub fn commands(_seed: u64) -> Table {
    let mut table = Table::new(
        "us per command",
        &["records held", "claim", "record of an answer", "withdraw"],
    );
    for size in SIZES {
        let mut filled = fill(size);
        let more = size..size + TIMED;
        let claims = time(&mut filled, more.clone().map(claim));
        let records = time(&mut filled, more.map(record));
        let free = size + TIMED..size + 2 * TIMED;
        let withdraws = time(&mut filled, free.map(withdraw));
        let us = |span: Duration| format!("{:.2}", span.as_secs_f64() * 1e6 / TIMED as f64);
        table.row([size.to_string(), us(claims), us(records), us(withdraws)]);
    }
    table
}

/// Writing and reading a snapshot, and the memory of a record.
pub fn recovery(_seed: u64) -> Table {
    let mut table = Table::new(
        "snapshot of records with answers of 200 bytes",
        &[
            "records",
            "snapshot MB",
            "write s",
            "image ms",
            "read s",
            "counted bytes/record",
        ],
    );
    for size in SIZES {
        let filled = fill(size);
        let start = Instant::now();
        let bytes = filled.state.encode();
        let wrote = start.elapsed();
        let start = Instant::now();
        let image = filled.state.copy_for_snapshot();
        let imaged = start.elapsed();
        drop(image);
        let counted = filled.state.ledger().size_bytes() / size;
        drop(filled);
        let start = Instant::now();
        let read = State::decode(&bytes).expect("what was written");
        let took = start.elapsed();
        assert_eq!(read.ledger().record_count(), size);
        table.row([
            size.to_string(),
            format!("{:.1}", bytes.len() as f64 / 1e6),
            format!("{:.2}", wrote.as_secs_f64()),
            format!("{:.2}", imaged.as_secs_f64() * 1e3),
            format!("{:.2}", took.as_secs_f64()),
            counted.to_string(),
        ]);
    }
    table
}

struct Filled {
    state: State,
    index: u64,
}

/// A state with this many records that have their answers.
fn fill(records: u64) -> Filled {
    let limits = Limits {
        ledger_bytes: u64::MAX / 4,
        org_bytes: u64::MAX / 4,
        ..Limits::default()
    };
    let state = State::with_limits(limits);
    let mut filled = Filled { state, index: 0 };
    for n in 0..records {
        apply(&mut filled, claim(n));
        apply(&mut filled, record(n));
    }
    filled
}

/// Applies commands as they come from the log.
fn time(filled: &mut Filled, ops: impl Iterator<Item = Op>) -> Duration {
    let ops: Vec<_> = ops.collect();
    let start = Instant::now();
    ops.into_iter().for_each(|op| apply(filled, op));
    start.elapsed()
}

fn apply(filled: &mut Filled, op: Op) {
    filled.index += 1;
    let at = LogTime(filled.index / 100);
    filled.state.apply(filled.index, &Command { at, op });
}

fn terms(n: u64) -> Claim {
    match claim(n) {
        Op::Claim(claim) => claim,
        other => unreachable!("{other:?} is not a claim"),
    }
}

fn record(n: u64) -> Op {
    let Claim {
        org, key, attempt, ..
    } = terms(n);
    let answer = StoredAnswer::new(201, "application/json", vec![n as u8; ANSWER_BYTES]);
    let outcome = Outcome::Done(Arc::new(answer));
    Op::Record(RecordOutcome {
        org,
        key,
        attempt,
        outcome,
    })
}

fn withdraw(n: u64) -> Op {
    let Claim {
        org,
        key,
        attempt,
        floor,
        ..
    } = terms(n);
    Op::Withdraw(Withdraw {
        org,
        key,
        attempt,
        floor,
    })
}

/// Bytes of this process in memory, zero where the system does not tell.
fn resident() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|n| n.parse::<u64>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}
