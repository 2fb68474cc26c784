//! Failures of operations on files, which tests have a log meet.

use std::io;
use std::sync::Arc;
use std::sync::Mutex;

/// A kind of operation on files.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileOp {
    /// A file is created or opened for writing.
    Create,
    /// Bytes are written. Half of them are, if it fails.
    Write,
    /// A file is truncated.
    SetLength,
    /// A file is synced.
    SyncFile,
    /// The names in a folder are synced.
    SyncFolder,
    /// A file gets another name.
    Rename,
    /// A file is removed.
    Remove,
}

/// Which calls fail.
#[derive(Clone, Copy, Debug)]
pub struct FaultPlan {
    /// The kind of operation; none for all.
    pub op: Option<FileOp>,
    /// So many calls succeed first.
    pub skip: usize,
    /// So many calls fail then.
    pub count: usize,
    /// The operating system's number of the error.
    pub errno: i32,
}

/// Failures that are planned, shared with the test that plans them.
#[derive(Clone, Debug, Default)]
pub struct FileFaults(Arc<Mutex<State>>);

#[derive(Debug, Default)]
struct State {
    plan: Option<FaultPlan>,
    /// Calls that the plan is about.
    calls: usize,
    failed: usize,
}

impl FileFaults {
    /// Replaces the plan. None lets all calls succeed.
    pub fn plan(&self, plan: Option<FaultPlan>) {
        let mut state = self.state();
        state.plan = plan;
        state.calls = 0;
    }

    /// How many calls have failed.
    pub fn failed(&self) -> usize {
        self.state().failed
    }

    pub(crate) fn check(&self, op: FileOp) -> io::Result<()> {
        let mut state = self.state();
        let Some(plan) = state.plan.filter(|plan| plan.op.is_none_or(|o| o == op)) else {
            return Ok(());
        };
        let call = state.calls;
        state.calls += 1;
        if call < plan.skip || plan.skip + plan.count <= call {
            return Ok(());
        }
        state.failed += 1;
        Err(io::Error::from_raw_os_error(plan.errno))
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.0
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
