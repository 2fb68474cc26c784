//! Tells all waiting tasks at once that the answers which are still due must be given now.

use async_channel::Receiver;
use async_channel::Sender;

/// A moment that comes at most once, for which any number of tasks can wait.
#[derive(Clone, Debug)]
pub struct LastCall {
    tx: Sender<()>,
    rx: Receiver<()>,
}

impl Default for LastCall {
    fn default() -> Self {
        let (tx, rx) = async_channel::bounded(1);
        Self { tx, rx }
    }
}

impl LastCall {
    /// Wakes all that wait, now and later.
    pub fn give(&self) {
        self.tx.close();
    }

    /// Whether the moment has come.
    pub fn is_given(&self) -> bool {
        self.tx.is_closed()
    }

    /// Waits for the moment.
    pub async fn given(&self) {
        // Nothing is ever sent, so this ends when the channel is closed.
        let _ = self.rx.recv().await;
    }
}
