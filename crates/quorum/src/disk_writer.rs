//! Writes a voter's batches to disk on a thread that may block.
//!
//! The voter goes on while a batch is being synced. The records that arrive
//! meanwhile form the next batch and are synced together.

use std::time::Duration;

use async_channel::Receiver;
use serde::Serialize;

use crate::clock;
use crate::environment::Environment;
use crate::environment::VoterEvent;
use crate::local_voter::hand_over_leadership;
use crate::local_voter::run_effects;
use disk::Log;
use disk::WriteError;
use vote::Batch;
use vote::DiskWrite;
use vote::Record;

/// The time between two attempts while the disk is full.
const FULL_DISK_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// An encoded batch.
enum EncodedWrite {
    Append(Vec<Vec<u8>>),
    Checkpoint(Vec<u8>, Vec<Vec<u8>>),
}

/// Writes batches in order until the process ends or the disk fails.
pub async fn write_batches<Env: Environment>(env: Env, log: Log, batches: Receiver<Batch>) {
    let mut log = log;
    while let Ok(batch) = batches.recv().await {
        match write_batch(&env, log, EncodedWrite::of(&batch.write)).await {
            Some(returned_log) => log = returned_log,
            None => return,
        }
        let Some(local_voter) = env.local_voter() else {
            return;
        };
        local_voter
            .voter
            .borrow_mut()
            .mark_synced(batch.id, clock::now());
        run_effects(&env);
    }
}

/// Writes one batch and retries while the disk is full. Meanwhile another voter leads. Returns
/// `None` if the disk failed: what it holds is known only once the folder is opened again, so the
/// process is to end.
async fn write_batch<Env: Environment>(
    env: &Env,
    mut log: Log,
    mut encoded: EncodedWrite,
) -> Option<Log> {
    let mut is_reported = false;
    loop {
        let task = compio::runtime::spawn_blocking(move || {
            let written = encoded.write(&mut log);
            (log, encoded, written)
        });
        let (returned_log, returned_encoded, written) = task.await.ok()?;
        let error = match written {
            Ok(()) => return Some(returned_log),
            Err(e) => e,
        };
        report_error(env, &error);
        if !is_reported {
            hand_over_leadership(env);
            is_reported = true;
        }
        if !matches!(error, WriteError::Full { .. }) {
            if let Some(local_voter) = env.local_voter() {
                local_voter.halt(env, error.to_string());
            }
            env.disk_failed();
            return None;
        }
        log = returned_log;
        encoded = returned_encoded;
        compio::time::sleep(FULL_DISK_RETRY_INTERVAL).await;
    }
}

fn report_error<Env: Environment>(env: &Env, error: &WriteError) {
    let error = error.to_string();
    if let Some(local_voter) = env.local_voter() {
        let folder = &local_voter.folder;
        env.log_event(&VoterEvent::DiskFailed { folder, error });
    }
}

impl EncodedWrite {
    fn of(write: &DiskWrite) -> Self {
        match write {
            DiskWrite::Append(records) => Self::Append(records.iter().map(encode).collect()),
            DiskWrite::Checkpoint { snapshot, records } => {
                Self::Checkpoint(encode(snapshot), records.iter().map(encode).collect())
            }
        }
    }

    fn write(&self, log: &mut Log) -> Result<(), WriteError> {
        match self {
            Self::Append(records) => {
                log.append(records)?;
                log.sync()
            }
            Self::Checkpoint(snapshot, records) => log.write_snapshot(snapshot, records),
        }
    }
}

/// Encodes a record or a snapshot.
fn encode<Value: Serialize>(value: &Value) -> Vec<u8> {
    postcard::to_stdvec(value).expect("records and snapshots can be encoded")
}

/// Decodes what [`encode`] wrote.
pub fn decode(restored: &disk::Restored) -> Result<vote::Restored, postcard::Error> {
    let snapshot = restored.snapshot.as_deref().map(postcard::from_bytes);
    let records = restored
        .records
        .iter()
        .map(|bytes| postcard::from_bytes::<Record>(bytes));
    Ok(vote::Restored {
        snapshot: snapshot.transpose()?,
        records: records.collect::<Result<_, _>>()?,
    })
}
