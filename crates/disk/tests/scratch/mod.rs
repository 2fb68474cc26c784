//! Temporary data folders, removed when a test ends.

#![allow(dead_code)]

use std::fs;
use std::ops::Deref;
use std::path::Path;
use std::path::PathBuf;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use disk::Log;
use disk::Restored;

static COUNT: AtomicU64 = AtomicU64::new(0);

/// An empty temporary folder.
pub struct Scratch(PathBuf);

impl Default for Scratch {
    fn default() -> Self {
        let count = COUNT.fetch_add(1, Ordering::Relaxed);
        let name = format!("berylbay-disk-{}-{count}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).unwrap();
        Self(path)
    }
}

impl Scratch {
    /// Copies the folder as it is on disk, which is what a crash would leave.
    pub fn copy(&self) -> Self {
        let copy = Self::default();
        for entry in fs::read_dir(&self.0).unwrap() {
            let entry = entry.unwrap();
            fs::copy(entry.path(), copy.join(entry.file_name())).unwrap();
        }
        copy
    }

    /// The files whose names start with `prefix`, sorted by name.
    pub fn files(&self, prefix: &str) -> Vec<PathBuf> {
        let entries = fs::read_dir(&self.0).unwrap().map(|e| e.unwrap().path());
        let has_prefix = |path: &PathBuf| {
            let name = path.file_name().unwrap().to_str().unwrap();
            name.starts_with(prefix)
        };
        let mut files: Vec<_> = entries.filter(has_prefix).collect();
        files.sort();
        files
    }

    pub fn open(&self) -> (Log, Restored) {
        Log::open(&self.0).unwrap()
    }
}

impl Deref for Scratch {
    type Target = Path;

    fn deref(&self) -> &Path {
        &self.0
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Records numbered from `from` up to but not including `to`.
pub fn numbered(from: u64, to: u64) -> Vec<Vec<u8>> {
    let record = |n: u64| format!("record {n}").into_bytes();
    (from..to).map(record).collect()
}

/// Appends records one at a time and syncs after each.
pub fn append_each(log: &mut Log, records: &[Vec<u8>]) {
    for record in records {
        log.append(std::slice::from_ref(record)).unwrap();
        log.sync().unwrap();
    }
}
