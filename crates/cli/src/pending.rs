//! What is noted beside a rules file: the version it was made from, and the
//! change that was sent and not yet answered.
//!
//! A change that is sent again after its answer was lost keeps its id, so that
//! it is never taken for another one.

use std::fs;
use std::fs::File;
use std::io;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;

use serde::Deserialize;
use serde::Serialize;

use crate::exit::CliError;
use base::ChangeId;
use base::Version;

/// What is noted beside a rules file.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Note {
    /// The version that the file was made from.
    pub base: Version,
    /// The change that was sent last, if its answer is still open.
    pub sent: Option<Sent>,
}

/// A change whose answer is open.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sent {
    /// Its id.
    pub change: ChangeId,
    /// The version it was made from.
    pub base: Version,
    /// Its text.
    pub text: String,
}

impl Note {
    /// Reads the note beside a rules file. None there means that nothing was noted.
    pub fn read(rules: &Path) -> Result<Self, CliError> {
        let file = file_of(rules);
        match fs::read_to_string(&file) {
            Ok(text) => serde_json::from_str(&text).map_err(|_| CliError::Note { file }),
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(Self::default()),
            Err(error) => Err(CliError::File { file, error }),
        }
    }

    /// Writes the note, synced, in place of the earlier one.
    pub fn write(&self, rules: &Path) -> Result<(), CliError> {
        let file = file_of(rules);
        let written = self.replace(&file);
        written.map_err(|error| CliError::File { file, error })
    }

    fn replace(&self, file: &Path) -> io::Result<()> {
        let fresh = file.with_extension("new");
        let mut out = File::create(&fresh)?;
        out.write_all(&serde_json::to_vec(self).map_err(io::Error::other)?)?;
        out.sync_all()?;
        fs::rename(&fresh, file)
    }

    /// The change to send: the open one if it is the same, else a new one.
    pub fn change(&self, base: Version, text: &str) -> Sent {
        match &self.sent {
            Some(sent) if sent.base == base && sent.text == text => sent.clone(),
            _ => Sent {
                change: ChangeId(fastrand::u128(..)),
                base,
                text: text.to_owned(),
            },
        }
    }
}

fn file_of(rules: &Path) -> PathBuf {
    let name = rules.file_name().map(|n| n.to_string_lossy().into_owned());
    let name = name.unwrap_or_else(|| "rules".to_owned());
    rules.with_file_name(format!(".{name}.berylbay"))
}
