//! Exit codes and the errors that lead to them.

use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

use derive_more::Display;
use derive_more::Error;

use net::RpcError;

/// How the tool ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// Done.
    Done,
    /// No node answered, or a file failed.
    Failed,
    /// Mistakes in the file or the command.
    Mistakes,
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
            Exit::Mistakes => 2,
            Exit::Conflict => 3,
            Exit::Unknown => 4,
        })
    }
}

/// Why the tool could not do what it was told.
#[derive(Debug, Display, Error)]
pub enum CliError {
    /// Something is missing on the command line.
    #[display("{what} is missing; --help tells more")]
    Missing {
        /// What is missing.
        #[error(not(source))]
        what: &'static str,
    },
    /// A file failed.
    #[display("{}: {error}", file.display())]
    File {
        /// The file.
        file: PathBuf,
        /// Why.
        #[error(source)]
        error: io::Error,
    },
    /// The file that notes the base and a change not yet answered is damaged.
    #[display("{} cannot be read; remove it to start from --base", file.display())]
    Note {
        /// The file.
        file: PathBuf,
    },
    /// No node answered.
    #[display("no node answered; the last one: {last}")]
    NoAnswer {
        /// What the last node that was tried did.
        #[error(source)]
        last: RpcError,
        /// True if a node may have done what it was asked.
        maybe_done: bool,
    },
    /// The HTTP client cannot be made.
    #[display("{_0}")]
    Client(cyper::Error),
}

impl CliError {
    /// How the tool ends after it.
    pub fn exit(&self) -> Exit {
        match self {
            Self::Missing { .. } => Exit::Mistakes,
            Self::NoAnswer {
                maybe_done: true, ..
            } => Exit::Unknown,
            Self::File { .. } | Self::Note { .. } | Self::NoAnswer { .. } | Self::Client(_) => {
                Exit::Failed
            }
        }
    }
}
