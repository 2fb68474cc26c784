//! Exit codes and the errors that lead to them.

use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

use derive_more::Display;
use derive_more::Error;

use net::RpcError;

/// How the tool ends; each variant has an exit code of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The command was carried out.
    Done,
    /// No node answered, or a file could not be read or written.
    Failed,
    /// The rules file or the command line has errors.
    Invalid,
    /// Another change was accepted first.
    Conflict,
    /// The outcome is unknown.
    Unknown,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(match exit {
            Exit::Done => 0,
            Exit::Failed => 1,
            Exit::Invalid => 2,
            Exit::Conflict => 3,
            Exit::Unknown => 4,
        })
    }
}

/// Why the tool could not carry out the command.
#[derive(Debug, Display, Error)]
pub enum CliError {
    /// Something is missing on the command line.
    #[display("{what} is missing; see --help")]
    Missing {
        /// What is missing.
        #[error(not(source))]
        what: &'static str,
    },
    /// A file could not be read or written.
    #[display("{}: {error}", file.display())]
    File {
        /// The file.
        file: PathBuf,
        /// The error of the file system.
        #[error(source)]
        error: io::Error,
    },
    /// The file with the base version and the unanswered change cannot be parsed.
    #[display("{} cannot be read; remove it to start from --base", file.display())]
    SavedState {
        /// The file.
        file: PathBuf,
    },
    /// No node answered.
    #[display("no node answered; the last one: {last}")]
    NoAnswer {
        /// The error of the last node that was tried.
        #[error(source)]
        last: RpcError,
        /// True if a node may have carried out the call.
        maybe_done: bool,
    },
    /// The control hosts have no leader that answers.
    #[display("no control host leads")]
    NoLeader {
        /// True if the call may have been carried out.
        maybe_done: bool,
    },
    /// The HTTP client could not be created.
    #[display("{_0}")]
    Client(cyper::Error),
}

impl CliError {
    /// How the tool ends after this error.
    pub fn exit(&self) -> Exit {
        match self {
            Self::Missing { .. } => Exit::Invalid,
            Self::NoAnswer {
                maybe_done: true, ..
            }
            | Self::NoLeader { maybe_done: true } => Exit::Unknown,
            Self::File { .. }
            | Self::SavedState { .. }
            | Self::NoAnswer { .. }
            | Self::NoLeader { .. }
            | Self::Client(_) => Exit::Failed,
        }
    }
}
