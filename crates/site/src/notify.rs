//! Wakes all tasks that wait for a change.

use std::cell::RefCell;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use compio::time::timeout;

/// Wakes all tasks that wait for a change.
#[derive(Debug)]
pub(crate) struct Notify(RefCell<(Sender<()>, Receiver<()>)>);

impl Default for Notify {
    fn default() -> Self {
        Self(RefCell::new(async_channel::bounded(1)))
    }
}

impl Notify {
    /// Wakes all that wait now.
    pub fn notify_waiters(&self) {
        let old = self.0.replace(async_channel::bounded(1));
        old.0.close();
    }

    /// Waits for the next ring, at most `span`.
    pub async fn wait(&self, max_wait: Duration) {
        let notified = self.0.borrow().1.clone();
        // Closed is rung; a time that ran out is no error here.
        let _ = timeout(max_wait, notified.recv()).await;
    }
}
