//! The voters' log, as one state that can be lost and read again.

use base::Time;
use state::Command;
use state::LogTime;
use state::Op;
use state::Reply;
use state::State;

/// Entries between two snapshots.
const SNAPSHOT_EVERY: u64 = 50;

/// The log and what was applied.
pub struct Log {
    pub state: State,
    /// Until when there is no leader.
    pub away_until: Time,
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
            away_until: Time::ZERO,
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
        if self.index.is_multiple_of(SNAPSHOT_EVERY) {
            self.snapshot = self.state.encode();
        }
        reply
    }

    /// All voters restart: the snapshot is read, the whole log is applied.
    pub fn restart(&mut self) {
        let mut state = State::decode(&self.snapshot).unwrap();
        for (index, command) in &self.entries {
            state.apply(*index, command);
        }
        assert!(state.encode() == self.state.encode());
        self.state = state;
    }
}
