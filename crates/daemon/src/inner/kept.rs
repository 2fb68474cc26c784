//! Keeps the configuration in force in the data folder.
//!
//! A node that starts while it is cut off serves by the last configuration it
//! knew, and never by an older one.

use std::fs;
use std::fs::File;
use std::io;
use std::io::Write;
use std::path::Path;

use crate::inner::bring_into_force;
use crate::node::Node;
use wire::peer::Configuration;

/// The file in the data folder.
const FILE: &str = "config.json";

/// Brings the kept configuration into force, if there is one.
pub fn restore(node: &Node) {
    let Some(folder) = &node.settings.node.data else {
        return;
    };
    let Ok(bytes) = fs::read(folder.join(FILE)) else {
        return;
    };
    if let Ok(kept) = serde_json::from_slice::<Configuration>(&bytes) {
        bring_into_force(node, kept.version, &kept.text);
    }
}

/// Keeps a configuration in place of the earlier one. Blocks until it is synced.
pub fn keep(folder: &Path, configuration: &Configuration) -> io::Result<()> {
    fs::create_dir_all(folder)?;
    let fresh = folder.join("config.new");
    let mut file = File::create(&fresh)?;
    file.write_all(&serde_json::to_vec(configuration)?)?;
    file.sync_all()?;
    fs::rename(&fresh, folder.join(FILE))?;
    File::open(folder)?.sync_all()
}
