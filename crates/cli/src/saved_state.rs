//! The state saved beside a rules file: the version it was made from, and the
//! change that was sent and not yet answered.
//!
//! A change that is sent again after its answer was lost keeps its id, so that
//! it is never applied as a second change.

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

/// The state saved beside a rules file.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SavedState {
    /// The version that the file was made from.
    pub base: Version,
    /// The change that was sent last, if its answer has not arrived.
    pub sent: Option<SentChange>,
}

/// A change that was sent and whose answer has not arrived.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SentChange {
    /// The id of the change.
    pub change: ChangeId,
    /// The version that the change was made from.
    pub base: Version,
    /// The text of the rules file.
    pub text: String,
}

impl SavedState {
    /// Reads the state beside a rules file. A missing file gives the default state.
    pub fn read(rules: &Path) -> Result<Self, CliError> {
        let file = state_file(rules);
        match fs::read_to_string(&file) {
            Ok(text) => serde_json::from_str(&text).map_err(|_| CliError::SavedState { file }),
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(Self::default()),
            Err(error) => Err(CliError::File { file, error }),
        }
    }

    /// Atomically replaces the state beside a rules file. The new content is synced first.
    pub fn write(&self, rules: &Path) -> Result<(), CliError> {
        let file = state_file(rules);
        let written = self.replace(&file);
        written.map_err(|error| CliError::File { file, error })
    }

    fn replace(&self, file: &Path) -> io::Result<()> {
        let new_file = file.with_extension("new");
        let mut out = File::create(&new_file)?;
        out.write_all(&serde_json::to_vec(self).map_err(io::Error::other)?)?;
        out.sync_all()?;
        fs::rename(&new_file, file)
    }

    /// The change to send: the unanswered one if its content is the same, else a new one.
    pub fn change_to_send(&self, base: Version, text: &str) -> SentChange {
        match &self.sent {
            Some(sent) if sent.base == base && sent.text == text => sent.clone(),
            _ => SentChange {
                change: ChangeId(fastrand::u128(..)),
                base,
                text: text.to_owned(),
            },
        }
    }
}

fn state_file(rules: &Path) -> PathBuf {
    let name = rules.file_name().map(|n| n.to_string_lossy().into_owned());
    let name = name.unwrap_or_else(|| "rules".to_owned());
    rules.with_file_name(format!(".{name}.berylbay"))
}
