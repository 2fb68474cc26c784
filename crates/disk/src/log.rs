//! The log: opening, appending, syncing, snapshots.

use std::fs;
use std::fs::File;
use std::io;
use std::path::Path;
use std::path::PathBuf;

use crate::OpenError;
use crate::WriteError;
use crate::folder::Folder;
use crate::folder::Listing;
use crate::frame;
use crate::restore;
use crate::segment;
use crate::snapshot;
use base::ByteSize;
use base::DiskId;

const SEGMENT: ByteSize = ByteSize(16 << 20);

/// Limits of a log.
#[derive(Clone, Debug)]
pub struct Options {
    /// A new segment is begun once the present one has this size.
    pub segment_size: ByteSize,
    /// What all files of the folder together may take.
    pub quota: Option<ByteSize>,
}

/// Whether a data folder has been used before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// It was empty: a new identity was drawn.
    New,
    /// It was opened before.
    Existing,
}

/// A torn tail that was cut when the log was opened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Truncation {
    /// The segment.
    pub file: PathBuf,
    /// Where it was cut, in bytes.
    pub offset: u64,
    /// Bytes that went.
    pub bytes: u64,
}

/// What a data folder held.
#[derive(Debug)]
pub struct Restored {
    /// The folder's identity.
    pub disk: DiskId,
    /// Whether it was used before.
    pub origin: Origin,
    /// The state of the newest snapshot.
    pub snapshot: Option<Vec<u8>>,
    /// All records after it, in order.
    pub records: Vec<Vec<u8>>,
    /// The torn tail, if there was one.
    pub truncation: Option<Truncation>,
}

/// An open log.
#[derive(Debug)]
pub struct Log {
    folder: Folder,
    segment_limit: u64,
    file: File,
    path: PathBuf,
    /// Numbers of the first frame of each segment, the last one open.
    segments: Vec<u64>,
    snapshots: Vec<u64>,
    /// The number of the frame that comes next.
    next: u64,
    written: u64,
    synced: u64,
    synced_next: u64,
    health: Health,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Health {
    Good,
    /// What the disk holds is not known.
    Failed,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            segment_size: SEGMENT,
            quota: None,
        }
    }
}

impl Log {
    /// Opens a data folder, which is created if it does not exist.
    pub fn open(folder: impl AsRef<Path>) -> Result<(Self, Restored), OpenError> {
        Self::open_with(folder, Options::default())
    }

    /// Opens a data folder under given limits.
    pub fn open_with(
        folder: impl AsRef<Path>,
        options: Options,
    ) -> Result<(Self, Restored), OpenError> {
        let quota = options.quota.map(|size| size.0);
        let folder = Folder::open(folder.as_ref(), quota)?;
        let listing = folder.list().map_err(OpenError::io(&folder.path))?;
        let (disk, origin, listing) = restore::identify(&folder, listing)?;
        let mut restored = Restored {
            disk,
            origin,
            snapshot: None,
            records: Vec::new(),
            truncation: None,
        };
        let first = restore::load_snapshot(&folder, &listing, &mut restored)?;
        let segments = restore::live_segments(&folder, &listing, first)?;
        let (next, whole) = restore::load_segments(&folder, &segments, &mut restored)?;
        let (file, path) = restore::open_last(&folder, &segments, &restored)?;
        let log = Self {
            folder,
            segment_limit: options.segment_size.0,
            file,
            path,
            segments,
            snapshots: listing.snapshots.last().copied().into_iter().collect(),
            next,
            written: whole,
            synced: whole,
            synced_next: next,
            health: Health::Good,
        };
        log.remove_before(first, &listing)
            .map_err(OpenError::io(&log.folder.path))?;
        Ok((log, restored))
    }

    /// Writes records as one batch: after a crash all of them are there or none.
    ///
    /// They last once [`Log::sync`] has returned. After an error everything
    /// since the last sync is gone and must be appended again.
    pub fn append(&mut self, records: &[Vec<u8>]) -> Result<(), WriteError> {
        self.check_health()?;
        if records.is_empty() {
            return Ok(());
        }
        check_size(frame::payload_bytes(records))?;
        if self.segment_limit <= self.written {
            self.rotate()?;
        }
        let bytes = frame::encode(self.next, self.synced_next, records);
        let result = self.folder.write_at(&self.file, &bytes, self.written);
        if let Err(e) = result {
            return Err(self.take_back(e));
        }
        self.written += bytes.len() as u64;
        self.next += 1;
        Ok(())
    }

    /// Makes everything appended last.
    pub fn sync(&mut self) -> Result<(), WriteError> {
        self.check_health()?;
        if self.synced == self.written {
            return Ok(());
        }
        if let Err(e) = self.file.sync_data() {
            return Err(self.take_back(e));
        }
        self.synced = self.written;
        self.synced_next = self.next;
        Ok(())
    }

    /// Keeps a state in place of all records so far, with the records that come
    /// after it. Lasts when it returns; old segments are removed.
    ///
    /// After [`WriteError::Full`] the records that were synced before are still
    /// there and the log goes on.
    pub fn write_snapshot(&mut self, state: &[u8], records: &[Vec<u8>]) -> Result<(), WriteError> {
        self.sync()?;
        check_size(frame::payload_bytes(records) + state.len())?;
        let seq = self.next;
        let path = self.folder.snapshot(seq);
        let bytes = snapshot::encode(seq, state, records);
        self.folder
            .write_temporary(&path, &bytes)
            .map_err(WriteError::io(&path))?;
        if self.segments.last() != Some(&seq)
            && let Err(e) = self.begin_segment()
        {
            self.folder.discard(&path);
            return Err(e);
        }
        if let Err(e) = self.folder.publish(&path) {
            self.health = Health::Failed;
            return Err(WriteError::io(&path)(e));
        }
        let old = Listing {
            segments: std::mem::replace(&mut self.segments, vec![seq]),
            snapshots: std::mem::replace(&mut self.snapshots, vec![seq]),
        };
        self.remove_before(seq, &old)
            .map_err(WriteError::io(&self.folder.path))
    }

    /// The size of the records since the last snapshot's segment began.
    pub fn size_since_snapshot(&self) -> ByteSize {
        let full = self.segments.len().saturating_sub(1) as u64;
        ByteSize(full * self.segment_limit + self.written)
    }

    fn check_health(&self) -> Result<(), WriteError> {
        match self.health {
            Health::Good => Ok(()),
            Health::Failed => Err(WriteError::Failed),
        }
    }

    fn rotate(&mut self) -> Result<(), WriteError> {
        self.sync()?;
        self.begin_segment()
    }

    /// Begins a segment. All frames before it are synced.
    fn begin_segment(&mut self) -> Result<(), WriteError> {
        debug_assert_eq!(self.synced, self.written);
        let path = self.folder.segment(self.next);
        let file = segment::create(&self.folder, self.next).map_err(WriteError::io(&path))?;
        self.file = file;
        self.path = path;
        self.segments.push(self.next);
        self.written = segment::HEADER_BYTES;
        self.synced = segment::HEADER_BYTES;
        Ok(())
    }

    /// Cuts the segment back to its synced length after a failed write, so that
    /// no half frame stays. Only a full disk leaves the log usable.
    fn take_back(&mut self, error: io::Error) -> WriteError {
        let cut = self
            .file
            .set_len(self.synced)
            .and_then(|()| self.file.sync_all());
        self.written = self.synced;
        self.next = self.synced_next;
        let error = WriteError::io(&self.path)(error);
        if cut.is_err() || !matches!(error, WriteError::Full { .. }) {
            self.health = Health::Failed;
        }
        error
    }

    fn remove_before(&self, first: u64, listing: &Listing) -> io::Result<()> {
        for old in listing.segments.iter().filter(|s| **s < first) {
            fs::remove_file(self.folder.segment(*old))?;
        }
        for old in listing.snapshots.iter().filter(|s| **s < first) {
            fs::remove_file(self.folder.snapshot(*old))?;
        }
        Ok(())
    }
}

fn check_size(bytes: usize) -> Result<(), WriteError> {
    if bytes <= frame::MAX_PAYLOAD_BYTES {
        return Ok(());
    }
    Err(WriteError::TooLarge {
        bytes: bytes as u64,
        limit: frame::MAX_PAYLOAD_BYTES as u64,
    })
}
