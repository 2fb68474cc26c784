//! The data folder: its lock, its file names and its space.

use std::fs;
use std::fs::File;
use std::fs::OpenOptions;
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;
use std::path::PathBuf;

use rustix::fs::FlockOperation;
use rustix::fs::flock;

use crate::OpenError;

const LOCK: &str = "lock";
const SEGMENT_PREFIX: &str = "log-";
const SNAPSHOT_PREFIX: &str = "snapshot-";
const TEMPORARY_SUFFIX: &str = ".tmp";

/// An open data folder. Dropping it releases the lock.
#[derive(Debug)]
pub(crate) struct Folder {
    pub(crate) path: PathBuf,
    /// Bytes that all files together may take.
    pub(crate) quota: Option<u64>,
    _lock: File,
}

/// Segments and snapshots by the number of their first frame.
#[derive(Debug, Default)]
pub(crate) struct Listing {
    pub(crate) segments: Vec<u64>,
    pub(crate) snapshots: Vec<u64>,
}

impl Folder {
    pub(crate) fn open(path: &Path, quota: Option<u64>) -> Result<Self, OpenError> {
        fs::create_dir_all(path).map_err(OpenError::io(path))?;
        let lock_path = path.join(LOCK);
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(&lock_path)
            .map_err(OpenError::io(&lock_path))?;
        match flock(&lock, FlockOperation::NonBlockingLockExclusive) {
            Ok(()) => Ok(Self {
                path: path.to_owned(),
                quota,
                _lock: lock,
            }),
            Err(rustix::io::Errno::WOULDBLOCK) => Err(OpenError::InUse {
                folder: path.to_owned(),
            }),
            Err(errno) => Err(OpenError::io(&lock_path)(errno.into())),
        }
    }

    pub(crate) fn segment(&self, first: u64) -> PathBuf {
        self.path.join(format!("{SEGMENT_PREFIX}{first:020}"))
    }

    pub(crate) fn snapshot(&self, seq: u64) -> PathBuf {
        self.path.join(format!("{SNAPSHOT_PREFIX}{seq:020}"))
    }

    /// Lists the folder and removes what an interrupted write left behind.
    pub(crate) fn list(&self) -> io::Result<Listing> {
        let mut listing = Listing::default();
        for entry in fs::read_dir(&self.path)? {
            let name = entry?.file_name();
            let Some(name) = name.to_str() else {
                continue;
            };
            if name.ends_with(TEMPORARY_SUFFIX) {
                fs::remove_file(self.path.join(name))?;
            } else if let Some(first) = number(name, SEGMENT_PREFIX) {
                listing.segments.push(first);
            } else if let Some(seq) = number(name, SNAPSHOT_PREFIX) {
                listing.snapshots.push(seq);
            }
        }
        listing.segments.sort_unstable();
        listing.snapshots.sort_unstable();
        Ok(listing)
    }

    /// Makes created, renamed and removed names last.
    pub(crate) fn sync(&self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }

    /// Writes a whole file and makes its content last, under a name that does
    /// not count yet. [`Folder::publish`] gives it its own.
    pub(crate) fn write_temporary(&self, target: &Path, bytes: &[u8]) -> io::Result<()> {
        let temporary = temporary(target);
        let file = OpenOptions::new()
            .create(true)
            .truncate(true)
            .write(true)
            .open(&temporary)?;
        let written = self
            .write_at(&file, bytes, 0)
            .and_then(|()| file.sync_all());
        if written.is_err() {
            fs::remove_file(&temporary)?;
        }
        written
    }

    /// Removes a file that was not published. What stays is removed at the next
    /// opening.
    pub(crate) fn discard(&self, target: &Path) {
        let _ = fs::remove_file(temporary(target));
    }

    pub(crate) fn publish(&self, target: &Path) -> io::Result<()> {
        fs::rename(temporary(target), target)?;
        self.sync()
    }

    /// Writes at an offset. Where the space ends, the part that fits is written
    /// and the rest fails, as on a disk that runs full.
    pub(crate) fn write_at(&self, file: &File, bytes: &[u8], offset: u64) -> io::Result<()> {
        let Some(quota) = self.quota else {
            return file.write_all_at(bytes, offset);
        };
        let free = quota.saturating_sub(self.used()?);
        if bytes.len() as u64 <= free {
            return file.write_all_at(bytes, offset);
        }
        file.write_all_at(&bytes[..free as usize], offset)?;
        Err(io::ErrorKind::StorageFull.into())
    }

    fn used(&self) -> io::Result<u64> {
        let mut used = 0;
        for entry in fs::read_dir(&self.path)? {
            used += entry?.metadata()?.len();
        }
        Ok(used)
    }
}

fn number(name: &str, prefix: &str) -> Option<u64> {
    name.strip_prefix(prefix)?.parse().ok()
}

fn temporary(target: &Path) -> PathBuf {
    let mut name = target.as_os_str().to_owned();
    name.push(TEMPORARY_SUFFIX);
    PathBuf::from(name)
}
