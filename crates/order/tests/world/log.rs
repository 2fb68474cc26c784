//! A fake of the voters' log: one state that a restart rebuilds from snapshot and log.

use base::Time;
use state::Command;
use state::LogTime;
use state::Op;
use state::Reply;
use state::State;

/// The number of log entries between two snapshots.
const SNAPSHOT_INTERVAL: u64 = 50;

/// The log and the state after its last entry.
pub struct Log {
    pub state: State,
    /// Until when there is no leader, and every proposal is refused.
    pub no_leader_until: Time,
    snapshot: Vec<u8>,
    entries: Vec<(u64, Command)>,
    index: u64,
}

impl Default for Log {
    fn default() -> Self {
        let state = State::default();
        Self {
            snapshot: state.encode(),
            state,
            no_leader_until: Time::ZERO,
            entries: Vec::new(),
            index: 0,
        }
    }
}

impl Log {
    pub fn append(&mut self, now: Time, op: Op) -> Reply {
        self.index += 1;
        let at = LogTime(now.0 / 1_000);
        let command = Command { at, op };
        let reply = self.state.apply(self.index, &command);
        self.entries.push((self.index, command));
        if self.index.is_multiple_of(SNAPSHOT_INTERVAL) {
            self.snapshot = self.state.encode();
        }
        reply
    }

    /// Restarts all voters: decodes the snapshot and applies the whole log again.
    pub fn restart(&mut self) {
        let mut state = State::decode(&self.snapshot).unwrap();
        for (index, command) in &self.entries {
            state.apply(*index, command);
        }
        assert!(state.encode() == self.state.encode());
        self.state = state;
    }
}
