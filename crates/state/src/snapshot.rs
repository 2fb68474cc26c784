//! States and commands as bytes.

use derive_more::Display;
use derive_more::Error;

use crate::Command;
use crate::State;

/// The form in which the state is written.
const FORMAT: u8 = 1;

/// Bytes that are not a command.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("the command cannot be read: {source}")]
pub struct CommandError {
    /// What the codec says.
    source: postcard::Error,
}

/// Bytes that are not a state.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum SnapshotError {
    /// Written by another release in a form that this one does not know.
    #[display("the snapshot has format {found}, this release reads format {FORMAT}")]
    Format {
        /// The format found.
        found: u8,
    },
    /// Nothing to read.
    #[display("the snapshot is empty")]
    Empty,
    /// The records do not lie where they belong.
    #[display("the snapshot's records are not in their places")]
    WrongPartition,
    /// Not a state.
    #[display("the snapshot cannot be read: {source}")]
    Content {
        /// What the codec says.
        source: postcard::Error,
    },
}

/// The state as it was at one entry of the log, to be written on another thread
/// while the state goes on.
#[derive(Clone, Debug)]
pub struct StateCopy(pub(crate) State);

impl StateCopy {
    /// The index of the last entry that it contains.
    pub fn applied(&self) -> u64 {
        self.0.applied()
    }

    /// The state as bytes, the same for equal states.
    pub fn encode(&self) -> Vec<u8> {
        let start = vec![FORMAT];
        postcard::to_extend(&self.0, start).expect("the state has no type that cannot be written")
    }
}

impl State {
    /// The state as bytes, the same for equal states.
    pub fn encode(&self) -> Vec<u8> {
        self.copy_for_snapshot().encode()
    }

    /// Reads what [`State::encode`] wrote.
    pub fn decode(bytes: &[u8]) -> Result<Self, SnapshotError> {
        let (format, content) = bytes.split_first().ok_or(SnapshotError::Empty)?;
        if *format != FORMAT {
            return Err(SnapshotError::Format { found: *format });
        }
        let state = postcard::from_bytes::<Self>(content);
        let mut state = state.map_err(|source| SnapshotError::Content { source })?;
        if !state.is_sound() {
            return Err(SnapshotError::WrongPartition);
        }
        state.rebuild();
        Ok(state)
    }
}

impl Command {
    /// The command as bytes.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("a command has no type that cannot be written")
    }

    /// Reads what [`Command::encode`] wrote.
    pub fn decode(bytes: &[u8]) -> Result<Self, CommandError> {
        postcard::from_bytes(bytes).map_err(|source| CommandError { source })
    }
}
