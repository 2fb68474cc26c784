//! The log: opening it, appending and syncing records, writing snapshots.

use std::fs::File;
use std::io;
use std::path::Path;
use std::path::PathBuf;

use crate::FileFaults;
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

const DEFAULT_SEGMENT_SIZE: ByteSize = ByteSize(16 << 20);

/// Limits of a log.
#[derive(Clone, Debug)]
pub struct Options {
    /// A new segment is begun once the current one has at least this size.
    pub segment_size: ByteSize,
    /// The most that all files of the folder together may take; none for no limit.
    pub quota: Option<ByteSize>,
    /// Failures that operations on files meet; for tests.
    pub faults: Option<FileFaults>,
}

/// Whether a data folder has been used before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// The folder was empty and has got a new identity.
    New,
    /// The folder was opened before and has kept its identity.
    Existing,
}

/// A torn tail that was truncated when the log was opened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Truncation {
    /// The segment's file.
    pub file: PathBuf,
    /// The segment's size after the truncation, in bytes.
    pub offset: u64,
    /// The number of bytes that were removed.
    pub bytes: u64,
}

/// What a data folder held when it was opened.
#[derive(Debug)]
pub struct Restored {
    /// The folder's identity.
    pub disk: DiskId,
    /// Whether the folder was used before.
    pub origin: Origin,
    /// The state of the newest snapshot.
    pub snapshot: Option<Vec<u8>>,
    /// All records after the snapshot, in order.
    pub records: Vec<Vec<u8>>,
    /// The torn tail that was truncated, if there was one.
    pub truncation: Option<Truncation>,
}

/// An open log.
#[derive(Debug)]
pub struct Log {
    folder: Folder,
    segment_limit: u64,
    file: File,
    path: PathBuf,
    /// First frame numbers of the segments; the last segment is open.
    segments: Vec<u64>,
    snapshots: Vec<u64>,
    /// Files from before the last snapshot that could not be removed yet.
    leftover: Listing,
    /// The number of the next frame.
    next_seq: u64,
    written_bytes: u64,
    synced_bytes: u64,
    /// All frames with smaller numbers are synced.
    synced_seq: u64,
    health: Health,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Health {
    Good,
    /// The open segment may be longer than what is synced, and must be truncated before anything
    /// is written.
    Untruncated,
    /// What the disk holds is not known.
    Failed,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            segment_size: DEFAULT_SEGMENT_SIZE,
            quota: None,
            faults: None,
        }
    }
}

impl Log {
    /// Opens a data folder, which is created if it does not exist.
    pub fn open(folder: impl AsRef<Path>) -> Result<(Self, Restored), OpenError> {
        Self::open_with(folder, Options::default())
    }

    /// Opens a data folder with the given options.
    pub fn open_with(
        folder: impl AsRef<Path>,
        options: Options,
    ) -> Result<(Self, Restored), OpenError> {
        let folder = Folder::open(folder.as_ref(), &options)?;
        let listing = folder
            .list_and_clean()
            .map_err(OpenError::io(&folder.path))?;
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
        let (next_seq, valid_bytes) = restore::load_segments(&folder, &segments, &mut restored)?;
        let (file, path) = restore::open_last(&folder, &segments, &restored)?;
        let mut log = Self {
            folder,
            segment_limit: options.segment_size.0,
            file,
            path,
            segments,
            snapshots: listing.snapshots.last().copied().into_iter().collect(),
            leftover: Listing::default(),
            next_seq,
            written_bytes: valid_bytes,
            synced_bytes: valid_bytes,
            synced_seq: next_seq,
            health: Health::Good,
        };
        log.remove_files_before(first, listing);
        Ok((log, restored))
    }

    /// Writes records as one batch, of which a crash keeps all or none.
    ///
    /// They are durable once [`Log::sync`] has returned. After an error, everything
    /// appended since the last sync is lost and must be appended again.
    pub fn append(&mut self, records: &[Vec<u8>]) -> Result<(), WriteError> {
        self.regain_health()?;
        if records.is_empty() {
            return Ok(());
        }
        check_size(frame::payload_bytes(records))?;
        if self.segment_limit <= self.written_bytes {
            self.rotate()?;
        }
        let bytes = frame::encode(self.next_seq, self.synced_seq, records);
        let result = self.folder.write_at(&self.file, &bytes, self.written_bytes);
        if let Err(e) = result {
            return Err(self.roll_back(e));
        }
        self.written_bytes += bytes.len() as u64;
        self.next_seq += 1;
        Ok(())
    }

    /// Makes everything appended so far durable.
    pub fn sync(&mut self) -> Result<(), WriteError> {
        self.regain_health()?;
        if self.synced_bytes == self.written_bytes {
            return Ok(());
        }
        if let Err(e) = self.folder.sync_data(&self.file) {
            return Err(self.roll_back(e));
        }
        self.synced_bytes = self.written_bytes;
        self.synced_seq = self.next_seq;
        Ok(())
    }

    /// Durably replaces all records so far with a state and the records that follow it, and
    /// removes older segments and snapshots.
    ///
    /// After [`WriteError::Full`] the synced records are kept and the log remains usable.
    pub fn write_snapshot(&mut self, state: &[u8], records: &[Vec<u8>]) -> Result<(), WriteError> {
        self.sync()?;
        check_size(frame::payload_bytes(records) + state.len())?;
        let seq = self.next_seq;
        let path = self.folder.snapshot_path(seq);
        let bytes = snapshot::encode(seq, state, records);
        self.folder
            .write_temporary(&path, &bytes)
            .map_err(WriteError::io(&path))?;
        if self.segments.last() != Some(&seq)
            && let Err(e) = self.begin_segment()
        {
            self.folder.discard_temporary(&path);
            return Err(e);
        }
        if let Err(e) = self.folder.publish_temporary(&path) {
            let error = WriteError::io(&path)(e);
            // Without room nothing is lost: the older files are kept, and the new snapshot holds
            // the same state whether its name is durable or not.
            if !matches!(error, WriteError::Full { .. }) {
                self.health = Health::Failed;
            }
            return Err(error);
        }
        let old = Listing {
            segments: std::mem::replace(&mut self.segments, vec![seq]),
            snapshots: std::mem::replace(&mut self.snapshots, vec![seq]),
        };
        self.remove_files_before(seq, old);
        Ok(())
    }

    /// The approximate size of the segments since the last snapshot.
    pub fn size_since_snapshot(&self) -> ByteSize {
        let full_segments = self.segments.len().saturating_sub(1) as u64;
        ByteSize(full_segments * self.segment_limit + self.written_bytes)
    }

    /// Completes what an earlier failure left behind.
    fn regain_health(&mut self) -> Result<(), WriteError> {
        match self.health {
            Health::Good => Ok(()),
            Health::Untruncated => self.truncate().map_err(WriteError::io(&self.path)),
            Health::Failed => Err(WriteError::Failed),
        }
    }

    /// Truncates the open segment to its synced length.
    fn truncate(&mut self) -> io::Result<()> {
        self.folder.set_len(&self.file, self.synced_bytes)?;
        self.folder.sync_all(&self.file)?;
        self.health = Health::Good;
        Ok(())
    }

    fn rotate(&mut self) -> Result<(), WriteError> {
        self.sync()?;
        self.begin_segment()
    }

    /// Begins a segment. All frames before it must be synced.
    fn begin_segment(&mut self) -> Result<(), WriteError> {
        debug_assert_eq!(self.synced_bytes, self.written_bytes);
        let path = self.folder.segment_path(self.next_seq);
        let file = segment::create(&self.folder, self.next_seq).map_err(WriteError::io(&path))?;
        self.file = file;
        self.path = path;
        self.segments.push(self.next_seq);
        self.written_bytes = segment::HEADER_BYTES;
        self.synced_bytes = segment::HEADER_BYTES;
        Ok(())
    }

    /// Truncates the segment to its synced length after a failed write or sync, so that no
    /// partial frame remains. The log stays usable only if the disk was full.
    fn roll_back(&mut self, error: io::Error) -> WriteError {
        self.written_bytes = self.synced_bytes;
        self.next_seq = self.synced_seq;
        self.health = Health::Untruncated;
        let error = WriteError::io(&self.path)(error);
        let is_without_room = |e: &WriteError| matches!(e, WriteError::Full { .. });
        let truncated = self.truncate().map_err(WriteError::io(&self.path));
        if !is_without_room(&error) || truncated.is_err_and(|e| !is_without_room(&e)) {
            self.health = Health::Failed;
        }
        error
    }

    /// Removes the listed segments and snapshots whose numbers are below `first`. Those that
    /// cannot be removed are no part of the log any more, and are tried again later.
    fn remove_files_before(&mut self, first: u64, listing: Listing) {
        self.leftover.segments.extend(listing.segments);
        self.leftover.snapshots.extend(listing.snapshots);
        let folder = &self.folder;
        let is_left = |path: PathBuf| match folder.remove(&path) {
            Ok(()) => false,
            Err(e) => {
                log::warn!(
                    "{} is not needed, and cannot be removed: {e}",
                    path.display()
                );
                true
            }
        };
        let segments = &mut self.leftover.segments;
        segments.retain(|old| *old < first && is_left(folder.segment_path(*old)));
        let snapshots = &mut self.leftover.snapshots;
        snapshots.retain(|old| *old < first && is_left(folder.snapshot_path(*old)));
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
