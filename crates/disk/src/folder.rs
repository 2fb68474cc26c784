//! The data folder: its lock, its file names and its size limit.

use std::fs;
use std::fs::File;
use std::fs::OpenOptions;
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;
use std::path::PathBuf;

use rustix::fs::FlockOperation;
use rustix::fs::flock;

use crate::FileFaults;
use crate::FileOp;
use crate::OpenError;
use crate::Options;

const LOCK_FILE: &str = "lock";
const SEGMENT_PREFIX: &str = "log-";
const SNAPSHOT_PREFIX: &str = "snapshot-";
const TEMPORARY_SUFFIX: &str = ".tmp";

/// An open data folder. Dropping it releases the lock.
#[derive(Debug)]
pub(crate) struct Folder {
    pub(crate) path: PathBuf,
    /// The most bytes that all files of the folder together may take.
    pub(crate) quota: Option<u64>,
    faults: Option<FileFaults>,
    _lock: File,
}

/// The segments and snapshots in a data folder, sorted. A segment is listed by the number of
/// its first frame, a snapshot by the number of the first frame after it.
#[derive(Debug, Default)]
pub(crate) struct Listing {
    pub(crate) segments: Vec<u64>,
    pub(crate) snapshots: Vec<u64>,
}

impl Folder {
    pub(crate) fn open(path: &Path, options: &Options) -> Result<Self, OpenError> {
        fs::create_dir_all(path).map_err(OpenError::io(path))?;
        let lock_path = path.join(LOCK_FILE);
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(&lock_path)
            .map_err(OpenError::io(&lock_path))?;
        match flock(&lock, FlockOperation::NonBlockingLockExclusive) {
            Ok(()) => Ok(Self {
                path: path.to_owned(),
                quota: options.quota.map(|size| size.0),
                faults: options.faults.clone(),
                _lock: lock,
            }),
            Err(rustix::io::Errno::WOULDBLOCK) => Err(OpenError::InUse {
                folder: path.to_owned(),
            }),
            Err(errno) => Err(OpenError::io(&lock_path)(errno.into())),
        }
    }

    pub(crate) fn segment_path(&self, first: u64) -> PathBuf {
        self.path.join(format!("{SEGMENT_PREFIX}{first:020}"))
    }

    pub(crate) fn snapshot_path(&self, seq: u64) -> PathBuf {
        self.path.join(format!("{SNAPSHOT_PREFIX}{seq:020}"))
    }

    /// Lists segments and snapshots, and removes temporary files of interrupted writes.
    pub(crate) fn list_and_clean(&self) -> io::Result<Listing> {
        let mut listing = Listing::default();
        for entry in fs::read_dir(&self.path)? {
            let name = entry?.file_name();
            let Some(name) = name.to_str() else {
                continue;
            };
            if name.ends_with(TEMPORARY_SUFFIX) {
                fs::remove_file(self.path.join(name))?;
            } else if let Some(first) = parse_number(name, SEGMENT_PREFIX) {
                listing.segments.push(first);
            } else if let Some(seq) = parse_number(name, SNAPSHOT_PREFIX) {
                listing.snapshots.push(seq);
            }
        }
        listing.segments.sort_unstable();
        listing.snapshots.sort_unstable();
        Ok(listing)
    }

    fn check(&self, op: FileOp) -> io::Result<()> {
        match &self.faults {
            Some(faults) => faults.check(op),
            None => Ok(()),
        }
    }

    /// Creates an empty file, or empties the one there is.
    pub(crate) fn create(&self, path: &Path) -> io::Result<File> {
        self.check(FileOp::Create)?;
        let mut options = OpenOptions::new();
        options.create(true).truncate(true).write(true).open(path)
    }

    /// Makes the bytes of a file durable.
    pub(crate) fn sync_data(&self, file: &File) -> io::Result<()> {
        self.check(FileOp::SyncFile)?;
        file.sync_data()
    }

    /// Makes the bytes and the length of a file durable.
    pub(crate) fn sync_all(&self, file: &File) -> io::Result<()> {
        self.check(FileOp::SyncFile)?;
        file.sync_all()
    }

    /// Sets a file's length.
    pub(crate) fn set_len(&self, file: &File, len: u64) -> io::Result<()> {
        self.check(FileOp::SetLength)?;
        file.set_len(len)
    }

    /// Removes a file. One that isn't there is removed already.
    pub(crate) fn remove(&self, path: &Path) -> io::Result<()> {
        self.check(FileOp::Remove)?;
        match fs::remove_file(path) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(()),
            removed => removed,
        }
    }

    /// Makes created, renamed and removed names durable.
    pub(crate) fn sync(&self) -> io::Result<()> {
        self.check(FileOp::SyncFolder)?;
        File::open(&self.path)?.sync_all()
    }

    /// Writes and syncs a whole file under a temporary name.
    pub(crate) fn write_temporary(&self, target: &Path, bytes: &[u8]) -> io::Result<()> {
        let file = self.create(&temporary_path(target))?;
        let written = self
            .write_at(&file, bytes, 0)
            .and_then(|()| self.sync_all(&file));
        if written.is_err() {
            self.discard_temporary(target);
        }
        written
    }

    /// Removes a temporary file. If that fails, the next attempt empties it, or the next opening
    /// of the folder removes it.
    pub(crate) fn discard_temporary(&self, target: &Path) {
        let _ = self.remove(&temporary_path(target));
    }

    /// Durably renames the temporary file for `target` to `target`.
    pub(crate) fn publish_temporary(&self, target: &Path) -> io::Result<()> {
        self.check(FileOp::Rename)?;
        fs::rename(temporary_path(target), target)?;
        self.sync()
    }

    /// Writes bytes to a file at an offset. If they exceed the folder's quota, the part that
    /// fits is written and the call fails, as on a full disk.
    pub(crate) fn write_at(&self, file: &File, bytes: &[u8], offset: u64) -> io::Result<()> {
        if let Err(e) = self.check(FileOp::Write) {
            file.write_all_at(&bytes[..bytes.len() / 2], offset)?;
            return Err(e);
        }
        let Some(quota) = self.quota else {
            return file.write_all_at(bytes, offset);
        };
        let free = quota.saturating_sub(self.used_bytes()?);
        if bytes.len() as u64 <= free {
            return file.write_all_at(bytes, offset);
        }
        file.write_all_at(&bytes[..free as usize], offset)?;
        Err(io::ErrorKind::StorageFull.into())
    }

    fn used_bytes(&self) -> io::Result<u64> {
        let mut used = 0;
        for entry in fs::read_dir(&self.path)? {
            used += entry?.metadata()?.len();
        }
        Ok(used)
    }
}

fn parse_number(name: &str, prefix: &str) -> Option<u64> {
    name.strip_prefix(prefix)?.parse().ok()
}

fn temporary_path(target: &Path) -> PathBuf {
    let mut name = target.as_os_str().to_owned();
    name.push(TEMPORARY_SUFFIX);
    PathBuf::from(name)
}
