//! The identity of a data folder.
//!
//! It is drawn once, when the folder is empty. A folder that was wiped gets
//! another one, so that nobody takes it for the one that remembered.

use std::fs;
use std::fs::File;
use std::io;
use std::io::Read;
use std::path::PathBuf;

use crate::OpenError;
use crate::folder::Folder;
use crate::frame;
use base::DiskId;

const NAME: &str = "identity";
const RANDOM: &str = "/dev/urandom";

pub(crate) fn path(folder: &Folder) -> PathBuf {
    folder.path.join(NAME)
}

/// The identity, none if none was drawn yet.
pub(crate) fn load(folder: &Folder) -> Result<Option<DiskId>, OpenError> {
    let path = path(folder);
    let bytes = match fs::read(&path) {
        Ok(bytes) => bytes,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(OpenError::io(&path)(e)),
    };
    let whole = frame::decode(&bytes, 0).filter(|f| f.payload.end == bytes.len());
    let frame = whole.ok_or_else(|| OpenError::corrupt(&path, 0))?;
    Ok(Some(DiskId(frame.seq)))
}

/// Draws an identity and makes it last.
pub(crate) fn create(folder: &Folder) -> Result<DiskId, OpenError> {
    let path = path(folder);
    let disk = draw().map_err(OpenError::io(RANDOM.as_ref()))?;
    let bytes = frame::encode::<&[u8]>(disk.0, 0, &[]);
    folder
        .write_temporary(&path, &bytes)
        .and_then(|()| folder.publish(&path))
        .map_err(OpenError::io(&path))?;
    Ok(disk)
}

fn draw() -> io::Result<DiskId> {
    let mut bytes = [0; 8];
    File::open(RANDOM)?.read_exact(&mut bytes)?;
    Ok(DiskId(u64::from_le_bytes(bytes)))
}
