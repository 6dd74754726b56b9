//! Counts the clients to which a large answer is being streamed, so that the end of a drain can wait for them.

use std::cell::RefCell;
use tokio::sync::watch;

/// The number of clients to which a large answer is being streamed.
pub struct StreamingClients(watch::Sender<usize>);

impl StreamingClients {
    /// Starts without any.
    pub fn new() -> Self {
        StreamingClients(watch::Sender::new(0))
    }

    /// Counts a client until the registration is dropped.
    pub fn register(&self) -> StreamingClient {
        self.0.send_modify(|count| *count += 1);
        StreamingClient(self.0.clone())
    }

    /// The number of clients.
    pub fn count(&self) -> usize {
        *self.0.borrow()
    }

    /// Waits until there is none.
    pub async fn gone(&self) {
        let _ = self.0.subscribe().wait_for(|count| *count == 0).await; // fails only without a sender
    }
}

/// A registered client.
pub struct StreamingClient(watch::Sender<usize>);

impl Drop for StreamingClient {
    fn drop(&mut self) {
        self.0.send_modify(|count| *count -= 1);
    }
}

/// The registration of a connection on which a large answer has begun; none before.
pub type Registration = RefCell<Option<StreamingClient>>;
