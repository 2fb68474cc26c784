//! The encoding of states and commands.

use std::borrow::Cow;

use derive_more::Display;
use derive_more::Error;

use crate::Command;
use crate::ReplicaRegister;
use crate::State;

/// The version of the snapshot encoding.
const FORMAT: u8 = 2;

/// The version before, which ends before the recorded replicas.
const FORMAT_WITHOUT_REPLICAS: u8 = 1;

/// Why bytes could not be decoded as a command.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("the command cannot be read: {source}")]
pub struct CommandError {
    /// The decoder's error.
    source: postcard::Error,
}

/// Why bytes could not be decoded as a state.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum SnapshotError {
    /// The snapshot was written by another release, in a format unknown to this one.
    #[display("the snapshot has format {found}, this release reads formats up to {FORMAT}")]
    Format {
        /// The version of the format that was found.
        found: u8,
    },
    /// The snapshot has no bytes.
    #[display("the snapshot is empty")]
    Empty,
    /// A record is not in the part where this release looks for it.
    #[display("a record of the snapshot is in the wrong part")]
    WrongPart,
    /// The bytes do not decode as a state.
    #[display("the snapshot cannot be read: {source}")]
    Content {
        /// The decoder's error.
        source: postcard::Error,
    },
}

/// A copy of the state after one entry of the log, to be encoded on another thread
/// while further entries are applied.
#[derive(Clone, Debug)]
pub struct StateCopy(pub(crate) State);

impl StateCopy {
    /// The index of the last applied entry in the copy.
    pub fn applied(&self) -> u64 {
        self.0.applied()
    }

    /// Encodes the state. Equal states have equal bytes.
    pub fn encode(&self) -> Vec<u8> {
        let start = vec![FORMAT];
        postcard::to_extend(&self.0, start).expect("the state has no type that cannot be written")
    }
}

impl State {
    /// Encodes the state. Equal states have equal bytes.
    pub fn encode(&self) -> Vec<u8> {
        self.copy_for_snapshot().encode()
    }

    /// Decodes the bytes of [`State::encode`].
    pub fn decode(bytes: &[u8]) -> Result<Self, SnapshotError> {
        let (format, content) = bytes.split_first().ok_or(SnapshotError::Empty)?;
        let content = match *format {
            FORMAT => Cow::Borrowed(content),
            FORMAT_WITHOUT_REPLICAS => Cow::Owned(with_no_replicas(content)),
            found => return Err(SnapshotError::Format { found }),
        };
        let state = postcard::from_bytes::<Self>(&content);
        let mut state = state.map_err(|source| SnapshotError::Content { source })?;
        if !state.has_valid_parts() {
            return Err(SnapshotError::WrongPart);
        }
        state.rebuild();
        Ok(state)
    }
}

/// Adds an empty register of replicas to a state encoded without one.
fn with_no_replicas(content: &[u8]) -> Vec<u8> {
    postcard::to_extend(&ReplicaRegister::default(), content.to_vec())
        .expect("the register has no type that cannot be written")
}

impl Command {
    /// Encodes the command.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("a command has no type that cannot be written")
    }

    /// Decodes the bytes of [`Command::encode`].
    pub fn decode(bytes: &[u8]) -> Result<Self, CommandError> {
        postcard::from_bytes(bytes).map_err(|source| CommandError { source })
    }
}
