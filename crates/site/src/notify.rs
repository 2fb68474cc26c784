//! Notifies waiting tasks of a change.

use std::cell::RefCell;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use compio::time::timeout;

/// Notifies all tasks that wait for a change.
#[derive(Debug)]
pub(crate) struct Notify(RefCell<(Sender<()>, Receiver<()>)>);

impl Default for Notify {
    fn default() -> Self {
        Self(RefCell::new(async_channel::bounded(1)))
    }
}

impl Notify {
    /// Wakes all tasks that wait now. Later waiters are not affected.
    pub fn notify_waiters(&self) {
        let old = self.0.replace(async_channel::bounded(1));
        old.0.close();
    }

    /// Waits for the next notification, at most for `max_wait`.
    pub async fn wait(&self, max_wait: Duration) {
        let notified = self.0.borrow().1.clone();
        // The closed channel is the notification, and a timeout is no error, so both are ignored.
        let _ = timeout(max_wait, notified.recv()).await;
    }
}
