//! Keeps the configuration in the data folder before it is in force.
//!
//! A node that starts while it is cut off serves by the last configuration it
//! served by, and never by an older one. One task writes, one version after the
//! other, and leaves out those that are outrun meanwhile.

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
use crate::inner::pull::put_in_force;
use crate::node::Node;
use base::Version;
use wire::peer::Configuration;

/// The file in the data folder.
const FILE: &str = "config.json";

/// Takes configurations that are to be kept.
#[derive(Debug)]
pub struct Keeper {
    newest: Cell<Version>,
    queue: Sender<Configuration>,
    waiting: Receiver<Configuration>,
}

impl Default for Keeper {
    fn default() -> Self {
        let (queue, waiting) = async_channel::unbounded();
        Self {
            newest: Cell::default(),
            queue,
            waiting,
        }
    }
}

impl Keeper {
    /// The newest version that is kept or about to be.
    pub fn newest(&self) -> Version {
        self.newest.get()
    }

    /// Keeps a configuration, and puts it in force then.
    pub fn keep(&self, configuration: Configuration) {
        self.newest
            .set(self.newest.get().max(configuration.version));
        let _ = self.queue.try_send(configuration);
    }
}

/// Keeps configurations and puts them in force, for as long as the node runs.
pub async fn keep_on(node: Rc<Node>) {
    let waiting = node.keeper.waiting.clone();
    while let Ok(mut next) = waiting.recv().await {
        while let Ok(newer) = waiting.try_recv() {
            next = newer;
        }
        let Some(folder) = node.settings.node.data_dir.clone() else {
            continue;
        };
        let kept = next.clone();
        let written = compio::runtime::spawn_blocking(move || keep(&folder, &kept)).await;
        if let (Ok(Err(e)), Some(folder)) = (written, &node.settings.node.data_dir) {
            let error = e.to_string();
            emit(&Event::DiskFailed { folder, error });
        }
        // A disk that fails holds up no accepted change.
        put_in_force(&node, &next);
    }
}

/// Brings the kept configuration into force, if there is one.
pub fn restore(node: &Node) {
    let Some(folder) = &node.settings.node.data_dir else {
        return;
    };
    let Ok(bytes) = fs::read(folder.join(FILE)) else {
        return;
    };
    if let Ok(kept) = serde_json::from_slice::<Configuration>(&bytes) {
        put_in_force(node, &kept);
    }
}

/// Keeps a configuration in place of the earlier one. Blocks until it is synced.
fn keep(folder: &Path, configuration: &Configuration) -> io::Result<()> {
    fs::create_dir_all(folder)?;
    let fresh = folder.join("config.new");
    let mut file = File::create(&fresh)?;
    file.write_all(&serde_json::to_vec(configuration)?)?;
    file.sync_all()?;
    fs::rename(&fresh, folder.join(FILE))?;
    File::open(folder)?.sync_all()
}
