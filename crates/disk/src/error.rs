//! Errors of opening and writing a data folder, and what an operator does about them.

use std::io;
use std::path::Path;
use std::path::PathBuf;

use derive_more::Display;
use derive_more::Error;

/// Why a data folder cannot be opened.
#[derive(Debug, Display, Error)]
pub enum OpenError {
    /// Another process has the data folder open.
    #[display("data folder \"{}\" is in use by another process", folder.display())]
    InUse {
        /// The folder.
        folder: PathBuf,
    },
    /// The operating system reported an error.
    #[display("\"{}\": {source}", path.display())]
    Io {
        /// The file or folder.
        path: PathBuf,
        /// The operating system's error.
        source: io::Error,
    },
    /// Records that were synced can no longer be read.
    #[display(
        "\"{}\" is damaged at byte {offset}: move the data folder aside, start with an empty \
         one and replace this voter",
        file.display()
    )]
    Corrupt {
        /// The damaged file.
        file: PathBuf,
        /// Offset of the first damaged frame, in bytes.
        offset: u64,
    },
    /// A file that must exist is missing.
    #[display(
        "\"{}\" is missing: bring it back, or move the data folder aside, start with an empty \
         one and replace this voter",
        file.display()
    )]
    Missing {
        /// The missing file.
        file: PathBuf,
    },
}

/// Why records or a snapshot could not be written.
#[derive(Debug, Display, Error)]
pub enum WriteError {
    /// No space is left. Everything appended since the last sync was removed and can be
    /// appended again once there is space.
    #[display("no space left for \"{}\": free some, it is tried again", path.display())]
    Full {
        /// The file.
        path: PathBuf,
    },
    /// The batch is larger than the payload of a frame may be.
    #[display("a batch of {bytes} bytes exceeds the limit of {limit}")]
    TooLarge {
        /// The size of the batch in bytes.
        bytes: u64,
        /// The largest size allowed, in bytes.
        limit: u64,
    },
    /// The operating system reported an error. What the disk holds is not known; the
    /// log accepts no more writes until it is opened again.
    #[display("\"{}\": {source}", path.display())]
    Io {
        /// The file.
        path: PathBuf,
        /// The operating system's error.
        source: io::Error,
    },
    /// An earlier write failed in a way that leaves the disk's content unknown.
    #[display("an earlier write failed: the data folder must be opened again")]
    Failed,
}

impl OpenError {
    pub(crate) fn io(path: &Path) -> impl FnOnce(io::Error) -> Self {
        let path = path.to_owned();
        move |source| Self::Io { path, source }
    }

    pub(crate) fn corrupt(file: &Path, offset: usize) -> Self {
        Self::Corrupt {
            file: file.to_owned(),
            offset: offset as u64,
        }
    }
}

impl WriteError {
    pub(crate) fn io(path: &Path) -> impl FnOnce(io::Error) -> Self {
        let path = path.to_owned();
        move |source| match source.kind() {
            // A write that takes no byte met the end of the room, too.
            io::ErrorKind::StorageFull
            | io::ErrorKind::QuotaExceeded
            | io::ErrorKind::WriteZero => Self::Full { path },
            _ => Self::Io { path, source },
        }
    }
}
