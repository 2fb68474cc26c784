//! Limits how many tasks run at once.

use async_channel::Receiver;
use async_channel::Sender;

/// Limits how many tasks run at once. Waiting tasks get permits in the order in which they came.
#[derive(Debug)]
pub(crate) struct Semaphore {
    permits: Receiver<()>,
    release: Sender<()>,
}

/// Allows one task to run. The permit is released when it is dropped.
#[derive(Debug)]
pub(crate) struct Permit(Sender<()>);

impl Semaphore {
    /// Creates a semaphore with `size` permits.
    pub fn new(size: usize) -> Self {
        let (release, permits) = async_channel::bounded(size);
        for _ in 0..size {
            Self::release_permit(&release);
        }
        Self { permits, release }
    }

    /// Waits for a permit.
    pub async fn acquire(&self) -> Permit {
        // The channel cannot close, because the semaphore holds a sender.
        let _ = self.permits.recv().await;
        Permit(self.release.clone())
    }

    fn release_permit(release: &Sender<()>) {
        let freed = release.try_send(());
        debug_assert!(freed.is_ok(), "more permits are free than there are");
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        Semaphore::release_permit(&self.0);
    }
}
