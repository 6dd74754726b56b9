//! Requests in work and their attempts, as the driver holds them.

use super::message::{Answer, Forward};
use super::progress::Progress;
use gullpulley::EndpointId;
use std::rc::Rc;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// An attempt, by its number.
pub struct Try {
    /// Where it went.
    pub endpoint: EndpointId,
    /// When it was decided; of a body that passes, when it had come whole.
    pub sent: Instant,
    /// Dropped to cancel; gone once the attempt has ended.
    pub cancel: Option<oneshot::Sender<()>>,
    /// How far it is.
    pub progress: Rc<Progress>,
}

impl Try {
    /// Stops it. It tells its end itself, unless another outcome is already on its way.
    pub fn cancel(&mut self) {
        if let Some(cancel) = &mut self.cancel {
            let (kept, _) = oneshot::channel();
            drop(std::mem::replace(cancel, kept));
        }
    }
}

/// A request until it has its final answer and all its attempts have ended.
pub struct Open {
    /// What goes on to endpoints.
    pub forward: Forward,
    /// When its answer must be on its way.
    pub deadline: Instant,
    /// Gone once the request is finished: so there is never a second final answer.
    pub answer: Option<oneshot::Sender<Answer>>,
    /// Its attempts, by their numbers.
    pub tries: Vec<Try>,
    /// How many of them have not ended.
    pub out: usize,
}

impl Open {
    /// Stops what has not been written yet: nobody waits for it any more, and to let it begin only now would
    /// be a send of its own, whatever the settings say of cancelling what has begun.
    pub fn stop_unwritten(&mut self) {
        self.tries.iter_mut().filter(|tried| !tried.progress.is_written()).for_each(Try::cancel);
    }
}
