//! Requests without a final answer or with attempts in flight, as the driver keeps them.

use super::message::{Answer, ForwardedRequest};
use super::progress::Progress;
use gullpulley::EndpointId;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// An attempt; its position in the request's list is its number.
pub struct Attempt {
    /// Where it went.
    pub endpoint: EndpointId,
    /// When it was decided on; for a streamed body, when the body was complete.
    pub started_at: Instant,
    /// Dropped to cancel; none once the attempt has ended.
    pub cancel: Option<oneshot::Sender<()>>,
    /// How far it has come.
    pub progress: Rc<Progress>,
    /// Its endpoint has answered it.
    pub answered: bool,
}

impl Attempt {
    /// Cancels the attempt, which reports its own end unless another outcome is already on its way.
    pub fn cancel(&mut self) {
        if let Some(cancel) = &mut self.cancel {
            let (unused, _) = oneshot::channel();
            drop(std::mem::replace(cancel, unused));
        }
    }
}

/// A request until it has its final answer and all its attempts have ended.
pub struct RequestState {
    /// What is forwarded to endpoints.
    pub forward: ForwardedRequest,
    /// How long an endpoint may go on with an attempt that nobody waits for; none where it may run twice.
    pub may_run_for: Option<Duration>,
    /// When the answer must be on its way.
    pub deadline: Instant,
    /// None once the request is finished, so that there is never a second final answer.
    pub answer: Option<oneshot::Sender<Answer>>,
    /// Indexed by attempt number.
    pub attempts: Vec<Attempt>,
    /// Number of attempts that have not ended.
    pub unfinished_attempts: usize,
}

impl RequestState {
    /// How long an endpoint may go on with it from now on; none if none can, or if it may run twice.
    pub fn may_still_run_for(&self) -> Option<Duration> {
        let out = |attempt: &Attempt| attempt.progress.is_written() && !attempt.answered;
        self.may_run_for.filter(|_| self.attempts.iter().any(out))
    }

    /// Cancels attempts that have not been written yet. Nobody waits for them any more, and letting one
    /// start only now would be a new send, whatever the settings say about cancelling attempts that have
    /// started.
    pub fn cancel_unwritten(&mut self) {
        self.attempts.iter_mut().filter(|attempt| !attempt.progress.is_written()).for_each(Attempt::cancel);
    }
}
