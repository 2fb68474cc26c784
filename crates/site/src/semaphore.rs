//! Lets a bounded number of tasks go on at once, in the order in which they came.

use async_channel::Receiver;
use async_channel::Sender;

/// Room for a number of tasks.
#[derive(Debug)]
pub(crate) struct Semaphore {
    permits: Receiver<()>,
    release: Sender<()>,
}

/// A task's place. It is free again once this is dropped.
#[derive(Debug)]
pub(crate) struct Permit(Sender<()>);

impl Semaphore {
    /// Room for `size` tasks.
    pub fn new(size: usize) -> Self {
        let (release, permits) = async_channel::bounded(size);
        for _ in 0..size {
            Self::release_permit(&release);
        }
        Self { permits, release }
    }

    /// Waits for a place.
    pub async fn acquire(&self) -> Permit {
        // It cannot be closed: the window holds an end itself.
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
