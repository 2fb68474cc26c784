//! The cost of the state: time of a command, memory of a record, and snapshots.

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

/// The numbers of records that are measured.
const SIZES: [u64; 3] = [10_000, 100_000, 1_000_000];
/// Commands of each kind that are timed.
const TIMED_COMMANDS: u64 = 20_000;
const ANSWER_BYTES: usize = 200;
const PAGE_BYTES: u64 = 4_096;

/// The memory of a record. Must run before the process has freed much memory, because it compares
/// the resident size before and after.
pub fn memory() -> Table {
    let mut table = Table::new(
        "memory of a record, bytes",
        &["records", "answer", "resident", "as the limits count"],
    );
    let size = SIZES[2];
    let before = resident_bytes();
    let filled = fill(size);
    let used = resident_bytes().saturating_sub(before);
    table.row([
        size.to_string(),
        ANSWER_BYTES.to_string(),
        (used / size).to_string(),
        (filled.state.ledger().size_bytes() / size).to_string(),
    ]);
    table
}

/// The time of a command, by the number of records in the state.
pub fn commands(_seed: u64) -> Table {
    let mut table = Table::new(
        "us per command",
        &["records held", "claim", "record of an answer", "withdraw"],
    );
    for size in SIZES {
        let mut filled = fill(size);
        let new_keys = size..size + TIMED_COMMANDS;
        let claims = time_commands(&mut filled, new_keys.clone().map(claim));
        let records = time_commands(&mut filled, new_keys.map(record));
        let unclaimed_keys = size + TIMED_COMMANDS..size + 2 * TIMED_COMMANDS;
        let withdraws = time_commands(&mut filled, unclaimed_keys.map(withdraw));
        let us =
            |span: Duration| format!("{:.2}", span.as_secs_f64() * 1e6 / TIMED_COMMANDS as f64);
        table.row([size.to_string(), us(claims), us(records), us(withdraws)]);
    }
    table
}

/// The time to write, copy and read a snapshot, its size, and the counted size of a record.
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
        let write_time = start.elapsed();
        let start = Instant::now();
        let image = filled.state.copy_for_snapshot();
        let copy_time = start.elapsed();
        drop(image);
        let counted_bytes = filled.state.ledger().size_bytes() / size;
        drop(filled);
        let start = Instant::now();
        let read = State::decode(&bytes).expect("what was written");
        let read_time = start.elapsed();
        assert_eq!(read.ledger().record_count(), size);
        table.row([
            size.to_string(),
            format!("{:.1}", bytes.len() as f64 / 1e6),
            format!("{:.2}", write_time.as_secs_f64()),
            format!("{:.2}", copy_time.as_secs_f64() * 1e3),
            format!("{:.2}", read_time.as_secs_f64()),
            counted_bytes.to_string(),
        ]);
    }
    table
}

/// A state and the log index of its last command.
struct Filled {
    state: State,
    index: u64,
}

/// Creates a state with this many records, each with its answer.
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

/// Applies commands in order and returns how long that took.
fn time_commands(filled: &mut Filled, ops: impl Iterator<Item = Op>) -> Duration {
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

fn claim_of(n: u64) -> Claim {
    match claim(n) {
        Op::Claim(claim) => claim,
        other => unreachable!("{other:?} is not a claim"),
    }
}

fn record(n: u64) -> Op {
    let Claim {
        org, key, attempt, ..
    } = claim_of(n);
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
    } = claim_of(n);
    Op::Withdraw(Withdraw {
        org,
        key,
        attempt,
        floor,
    })
}

/// The resident size of this process in bytes, or zero if the system does not report it.
fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|n| n.parse::<u64>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}
