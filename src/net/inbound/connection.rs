//! Serves one client connection from accept to close.

use super::Inbound;
use crate::net::budget::Permit;
use crate::net::connection_state::{CLIENT_READ_TIMEOUT, ConnectionState, UNLIMITED_READ_TIMEOUT};
use crate::net::early_end::EarlyEnd;
use crate::net::process_phase::Phase;
use crate::net::stream::ClientStream;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// Bytes buffered per connection and direction; also the limit on the size of a request's head.
const MAX_CONNECTION_BUFFER: usize = 32 * 1024;
/// A connection over the limit has this long to send the head that is answered with a refusal.
const SHED_HEAD_TIMEOUT: Duration = Duration::from_millis(500);
/// The same where nothing has arrived, and others wait to be accepted since no more can be refused at a time. Those have had
/// the time of their wait to send something; ...
const CROWDED_SHED_SILENCE: Duration = Duration::from_millis(20);
/// ... so the first ones get as much.
const CROWDED_SHED_START: Duration = Duration::from_millis(150);
/// The head of a later request must begin within this of the previous answer, so that a silent client does
/// not hold its socket forever.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// A later head that has begun must be complete within this: a client may take 2 s for it, and one that stops is owed a
/// close within 3 s.
const LATER_HEAD_TIMEOUT: Duration = Duration::from_millis(2500);
/// The HTTP library's own limit, which does not tell an idle connection from one amid a head: beyond both of them.
const LIBRARY_HEAD_TIMEOUT: Duration = Duration::from_secs(40);
/// When slots are needed, only connections that have been idle between requests for this long are closed.
const MIN_IDLE_TIME: Duration = Duration::from_secs(1);
/// While draining, a connection on which nothing has arrived yet is closed after this.
const NEW_CONNECTION_GRACE: Duration = Duration::from_millis(200);

/// How a connection is to be closed.
#[derive(PartialEq)]
enum CloseMode {
    /// The client may still be sending, or have an answer to read.
    Graceful,
    /// The client has left, or does not read its answer.
    Immediate,
}

impl Inbound {
    /// Serves a connection, and closes it.
    pub(super) async fn handle_connection(
        self: Rc<Self>,
        stream: TcpStream,
        shed: bool,
        mut close_signal: watch::Receiver<()>,
        _permit: Permit,
    ) {
        let stream = ClientStream::new(stream);
        let state = Rc::new(ConnectionState::new(stream.connection()));
        let close_mode = self.serve_connection(&stream, &state, shed, &mut close_signal).await;
        if state.is_answer_ended_by_close() {
            return; // the answer is not whole: what remains to be done is the reset
        }
        // If slots are scarce, an answered client must not keep one while the connection lingers: it is
        // closed at once.
        if close_mode == CloseMode::Graceful && !self.budget.clients_near_limit() {
            tokio::select! {
                () = stream.close() => {}
                () = self.slot_needed(&mut close_signal) => {}
            }
        }
    }

    /// Waits until connections are to free their slots, and not only to close for the drain.
    async fn slot_needed(&self, close_signal: &mut watch::Receiver<()>) {
        // The sender lives as long as self.
        while close_signal.changed().await.is_ok() && self.phase.get().is_ending() {}
    }

    async fn serve_connection(
        self: &Rc<Self>,
        stream: &ClientStream,
        state: &Rc<ConnectionState>,
        shed: bool,
        close_signal: &mut watch::Receiver<()>,
    ) -> CloseMode {
        let service = service_fn(|request| self.handle_request(request, shed, state));
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(LIBRARY_HEAD_TIMEOUT)
            .keep_alive(!shed)
            .max_buf_size(MAX_CONNECTION_BUFFER)
            .serve_connection(TokioIo::new(stream.connection().clone()), service);
        let client_left = stream.client_left(|| state.answering.get());
        // The first head on a connection has a time of its own.
        let head_stalled = state.read_progress.head_stalled(LATER_HEAD_TIMEOUT, || {
            !state.answering.get() && state.last_answer_at.get().is_some()
        });
        let client_stalled = state.write_progress.stalled(CLIENT_READ_TIMEOUT);
        let idle_too_long = state.idle_for(IDLE_TIMEOUT);
        tokio::pin!(connection, client_left, client_stalled, head_stalled, idle_too_long);
        // Over the limit there are few slots even for refusals: silent connections must not take them.
        let first_head_deadline =
            if shed { state.accepted_at + SHED_HEAD_TIMEOUT } else { state.first_head_deadline() };
        let (mut first_head_until, mut new_connection_until) = (Some(first_head_deadline), None);
        loop {
            tokio::select! {
                biased;
                _ = connection.as_mut() => return CloseMode::Graceful, // an error: the client left
                // A client that has left gets no answer, whatever else it had sent.
                () = client_left.as_mut() => {
                    state.close_reason.set(Some(EarlyEnd::ClientLeft));
                    return CloseMode::Immediate;
                }
                _ = close_signal.changed() => {
                    // SIGKILL may come any moment.
                    if self.phase.get() == Phase::DrainTimedOut {
                        stream.unlimit_unsent();
                        client_stalled.set(state.write_progress.stalled(UNLIMITED_READ_TIMEOUT));
                    }
                    match state.idle_time() {
                        // A request whose head has begun is read and answered; its head has a time of its own.
                        _ if state.has_request() => state.close_after_answer.set(true),
                        // On a new connection the first request is probably already on its way: closing
                        // now would lose what the client is just sending.
                        None if self.phase.get().is_ending() => {
                            new_connection_until = Some(Instant::now() + NEW_CONNECTION_GRACE);
                        }
                        None if shed && let Some(since) = self.crowded_since.get() => {
                            let until = state.accepted_at + CROWDED_SHED_SILENCE;
                            new_connection_until = Some(until.max(since + CROWDED_SHED_START));
                        }
                        // A connection used recently is likely to be used again at once, and a request that
                        // crosses the close is lost, or sent twice: the next answer announces the close
                        // instead.
                        Some(idle) if self.phase.get().is_ending() || idle >= MIN_IDLE_TIME => {
                            connection.as_mut().graceful_shutdown();
                        }
                        _ => state.close_after_answer.set(true),
                    }
                }
                () = sleep_until_some(first_head_until) => {
                    first_head_until = None;
                    // The part of a head that has arrived by now is not a request.
                    if state.awaits_first_request() {
                        return CloseMode::Graceful;
                    }
                }
                // The previous answer did not announce that it was the last one.
                () = state.streaming_changed.notified() => {
                    if state.close_after_answer.get() && !state.has_request() {
                        connection.as_mut().graceful_shutdown();
                    }
                }
                () = client_stalled.as_mut() => {
                    state.close_reason.set(Some(EarlyEnd::ClientStalled));
                    return CloseMode::Immediate;
                }
                () = head_stalled.as_mut() => return CloseMode::Graceful,
                () = idle_too_long.as_mut() => return CloseMode::Graceful,
                () = sleep_until_some(new_connection_until) => {
                    new_connection_until = None;
                    if !state.has_request() {
                        connection.as_mut().graceful_shutdown();
                    }
                }
            }
        }
    }
}

/// Waits until the given time, or forever if there is none.
async fn sleep_until_some(time: Option<Instant>) {
    match time {
        Some(time) => sleep_until(time).await,
        None => std::future::pending().await,
    }
}
