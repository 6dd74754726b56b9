//! Tasks that are aborted when their holder is dropped.

use tokio::task::AbortHandle;

/// Aborts a task when dropped.
pub struct AbortOnDrop(AbortHandle);

impl AbortOnDrop {
    /// Takes the handle of the task to abort.
    pub fn new(task: AbortHandle) -> Self {
        AbortOnDrop(task)
    }
}

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
