//! Lets a bounded number of tasks go on at once, in the order in which they came.

use async_channel::Receiver;
use async_channel::Sender;

/// Room for a number of tasks.
#[derive(Debug)]
pub(crate) struct Window {
    free: Receiver<()>,
    leave: Sender<()>,
}

/// A task's place. It is free again once this is dropped.
#[derive(Debug)]
pub(crate) struct Place(Sender<()>);

impl Window {
    /// Room for `size` tasks.
    pub fn open(size: usize) -> Self {
        let (leave, free) = async_channel::bounded(size);
        for _ in 0..size {
            Self::free_one(&leave);
        }
        Self { free, leave }
    }

    /// Waits for a place.
    pub async fn enter(&self) -> Place {
        // It cannot be closed: the window holds an end itself.
        let _ = self.free.recv().await;
        Place(self.leave.clone())
    }

    fn free_one(leave: &Sender<()>) {
        let freed = leave.try_send(());
        debug_assert!(freed.is_ok(), "more places are free than there are");
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        Window::free_one(&self.0);
    }
}
