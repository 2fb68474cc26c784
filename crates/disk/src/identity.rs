//! The identity of a data folder, a random number.
//!
//! It is generated once, when the folder is empty. A folder that was wiped gets a new
//! identity, so that no other voter takes it for the folder that held the lost records.

use std::fs;
use std::fs::File;
use std::io;
use std::io::Read;
use std::path::PathBuf;

use crate::OpenError;
use crate::folder::Folder;
use crate::frame;
use base::DiskId;

const IDENTITY_FILE: &str = "identity";
const RANDOM_DEVICE: &str = "/dev/urandom";

pub(crate) fn path(folder: &Folder) -> PathBuf {
    folder.path.join(IDENTITY_FILE)
}

/// Reads the identity, if the folder has one yet.
pub(crate) fn load(folder: &Folder) -> Result<Option<DiskId>, OpenError> {
    let path = path(folder);
    let bytes = match fs::read(&path) {
        Ok(bytes) => bytes,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(OpenError::io(&path)(e)),
    };
    let frame = frame::decode(&bytes, 0).filter(|f| f.payload.end == bytes.len());
    let frame = frame.ok_or_else(|| OpenError::corrupt(&path, 0))?;
    Ok(Some(DiskId(frame.seq)))
}

/// Generates and stores an identity.
pub(crate) fn create(folder: &Folder) -> Result<DiskId, OpenError> {
    let path = path(folder);
    let disk = random_id().map_err(OpenError::io(RANDOM_DEVICE.as_ref()))?;
    let bytes = frame::encode::<&[u8]>(disk.0, 0, &[]);
    folder
        .write_temporary(&path, &bytes)
        .and_then(|()| folder.publish_temporary(&path))
        .map_err(OpenError::io(&path))?;
    Ok(disk)
}

fn random_id() -> io::Result<DiskId> {
    let mut bytes = [0; 8];
    File::open(RANDOM_DEVICE)?.read_exact(&mut bytes)?;
    Ok(DiskId(u64::from_le_bytes(bytes)))
}
