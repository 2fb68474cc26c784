//! Writes a voter's batches to disk on a thread that may wait.
//!
//! While one batch is being synced the loop goes on, and what comes in
//! meanwhile is synced together.

use std::time::Duration;

use async_channel::Receiver;
use serde::Serialize;

use crate::clock;
use crate::environment::Environment;
use crate::environment::VoterEvent;
use crate::local_voter::run_effects;
use disk::Log;
use disk::WriteError;
use vote::Batch;
use vote::DiskWrite;
use vote::Record;

/// Time between two tries while the disk is full.
const RETRY_EVERY: Duration = Duration::from_millis(500);

/// A batch as bytes.
enum Encoded {
    Append(Vec<Vec<u8>>),
    Checkpoint(Vec<u8>, Vec<Vec<u8>>),
}

/// Writes batches in their order, for as long as the node runs and the disk is sound.
pub async fn write_batches<Env: Environment>(env: Env, log: Log, batches: Receiver<Batch>) {
    let mut log = log;
    while let Ok(batch) = batches.recv().await {
        match write(&env, log, Encoded::of(&batch.write)).await {
            Some(same) => log = same,
            None => return,
        }
        let Some(local) = env.local_voter() else {
            return;
        };
        local.voter.borrow_mut().mark_synced(batch.id, clock::now());
        run_effects(&env);
    }
}

/// Writes one batch, trying again while the disk is full. None if the disk failed:
/// this voter then takes no further part, and the node serves on without it.
async fn write<Env: Environment>(env: &Env, mut log: Log, mut encoded: Encoded) -> Option<Log> {
    loop {
        let task = compio::runtime::spawn_blocking(move || {
            let written = encoded.write(&mut log);
            (log, encoded, written)
        });
        let (same_log, same_encoded, written) = task.await.ok()?;
        let error = match written {
            Ok(()) => return Some(same_log),
            Err(e) => e,
        };
        report(env, &error);
        if !matches!(error, WriteError::Full { .. }) {
            return None;
        }
        log = same_log;
        encoded = same_encoded;
        compio::time::sleep(RETRY_EVERY).await;
    }
}

fn report<Env: Environment>(env: &Env, error: &WriteError) {
    let error = error.to_string();
    if let Some(local) = env.local_voter() {
        let folder = &local.folder;
        env.log_event(&VoterEvent::DiskFailed { folder, error });
    }
}

impl Encoded {
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
            Self::Checkpoint(snapshot, records) => log.snapshot(snapshot, records),
        }
    }
}

/// The bytes of a record or snapshot.
fn encode<Value: Serialize>(value: &Value) -> Vec<u8> {
    postcard::to_stdvec(value).expect("records have no type that cannot be written")
}

/// Reads what [`encode`] wrote.
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
