//! Tasks that end with their holder.

use tokio::task::AbortHandle;

/// A task that ends with its holder.
pub struct AbortOnDrop(AbortHandle);

impl AbortOnDrop {
    /// Ends this task when dropped.
    pub fn new(task: AbortHandle) -> Self {
        AbortOnDrop(task)
    }
}

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
