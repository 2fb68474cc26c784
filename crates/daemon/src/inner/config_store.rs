//! Stores the configuration in the data folder before it comes into force.
//!
//! A node that starts while it is partitioned off serves by the last configuration it
//! had in force, and never by an older one. One task writes the versions in order, and
//! skips those that a newer one has replaced meanwhile.

use std::cell::Cell;
use std::fs;
use std::fs::File;
use std::io;
use std::io::Write;
use std::path::Path;
use std::rc::Rc;

use async_channel::Receiver;
use async_channel::Sender;

use crate::events::Event;
use crate::events::emit;
use crate::inner::pull::activate_config;
use crate::node::Node;
use base::Version;
use wire::peer::Configuration;

/// The file of the configuration in the data folder.
const CONFIG_FILE: &str = "config.json";

/// Queues configurations to be stored.
#[derive(Debug)]
pub struct ConfigStore {
    newest_version: Cell<Version>,
    queue: Sender<Configuration>,
    waiting: Receiver<Configuration>,
}

impl Default for ConfigStore {
    fn default() -> Self {
        let (queue, waiting) = async_channel::unbounded();
        Self {
            newest_version: Cell::default(),
            queue,
            waiting,
        }
    }
}

impl ConfigStore {
    /// The newest version that is stored or queued.
    pub fn newest_version(&self) -> Version {
        self.newest_version.get()
    }

    /// Queues a configuration to be stored and then put in force.
    pub fn store(&self, configuration: Configuration) {
        self.newest_version
            .set(self.newest_version.get().max(configuration.version));
        let _ = self.queue.try_send(configuration);
    }
}

/// Stores queued configurations and puts them in force, for as long as the node runs.
pub async fn run_config_store(node: Rc<Node>) {
    let waiting = node.config_store.waiting.clone();
    while let Ok(mut next) = waiting.recv().await {
        while let Ok(newer) = waiting.try_recv() {
            next = newer;
        }
        let Some(folder) = node.settings.node.data_dir.clone() else {
            continue;
        };
        let stored = next.clone();
        let written = compio::runtime::spawn_blocking(move || write_config(&folder, &stored)).await;
        if let (Ok(Err(e)), Some(folder)) = (written, &node.settings.node.data_dir) {
            let error = e.to_string();
            emit(&Event::DiskFailed { folder, error });
        }
        // A failing disk must not hold up an accepted change.
        activate_config(&node, &next);
    }
}

/// Puts the stored configuration in force, if there is one.
pub fn restore_config(node: &Node) {
    let Some(folder) = &node.settings.node.data_dir else {
        return;
    };
    let Ok(bytes) = fs::read(folder.join(CONFIG_FILE)) else {
        return;
    };
    if let Ok(stored) = serde_json::from_slice::<Configuration>(&bytes) {
        activate_config(node, &stored);
    }
}

/// Atomically replaces the stored configuration. Blocks until it is synced.
fn write_config(folder: &Path, configuration: &Configuration) -> io::Result<()> {
    fs::create_dir_all(folder)?;
    let new_file = folder.join("config.new");
    let mut file = File::create(&new_file)?;
    file.write_all(&serde_json::to_vec(configuration)?)?;
    file.sync_all()?;
    fs::rename(&new_file, folder.join(CONFIG_FILE))?;
    File::open(folder)?.sync_all()
}
