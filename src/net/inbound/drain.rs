//! Serves clients until the process is to end, then drains.

use super::Inbound;
use crate::net::budget::Holder;
use crate::net::message::Input;
use crate::net::process_phase::Phase;
use gullpulley::is_local_failure;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::Signal;
use tokio::time::{Instant, timeout, timeout_at};
use tracing::info;

/// Failed accepts after which the listener is closed regardless: a shortage that lasts this long will not
/// pass soon.
const MAX_CLOSE_ERRORS: u32 = 64;
/// New connections arrive for up to 0.4 s after SIGTERM, so accepting goes on slightly longer than that.
const DRAIN_ACCEPT_TIME: Duration = Duration::from_millis(500);
/// The backlog counts as empty once no connection has come from it for this long.
const BACKLOG_IDLE_TIME: Duration = Duration::from_millis(30);
/// SIGKILL comes no sooner than the longest deadline, but at most `MAX_DRAIN_DEADLINE`, plus 0.7 s. What is
/// pending this long after that deadline is failed, which leaves time to send the answers.
const DRAIN_MARGIN: Duration = Duration::from_millis(450);
const MAX_DRAIN_DEADLINE: Duration = Duration::from_secs(3);
/// Time for the last answers to be sent.
const FINAL_ANSWERS_TIME: Duration = Duration::from_millis(150);

impl Inbound {
    /// Serves until SIGTERM or a drain request, then drains: every connection that the kernel has accepted
    /// is answered, and large answers that have begun go on until they end or SIGKILL comes. `on_drain` is
    /// called when the drain begins.
    pub async fn serve(self: Rc<Self>, listener: TcpListener, mut term: Signal, on_drain: impl FnOnce()) {
        self.phase.set(Phase::Serving);
        loop {
            tokio::select! {
                _ = term.recv() => break,
                () = self.drain_requested.notified() => break,
                () = self.accept(&listener) => {}
            }
        }
        let drain_started = Instant::now();
        info!(clients = self.budget.clients(), "draining");
        self.phase.set(Phase::Draining);
        on_drain();
        let longest = self.parser.settings.classes.iter().map(|c| c.deadline).max().unwrap_or_default();
        let until = drain_started + longest.min(MAX_DRAIN_DEADLINE) + DRAIN_MARGIN;
        // Connections still in the backlog count as accepted by then: closing the listener would reset
        // them.
        while Instant::now() < until && !self.other_process_serving.get() {
            let wait = (drain_started + DRAIN_ACCEPT_TIME).max(Instant::now() + BACKLOG_IDLE_TIME);
            if timeout_at(wait, self.accept(&listener)).await.is_err() {
                break;
            }
        }
        // A successor process may be noticed only now. Accepting beside it for as long as clients come
        // would leave requests unfinished when the drain time is up.
        self.accept_backlog_and_close(listener);
        self.close_signal.send_replace(());
        if timeout_at(until, self.clients_gone()).await.is_err() {
            self.phase.set(Phase::DrainTimedOut);
            let _ = self.inbox.send(Input::FailPending);
            self.close_signal.send_replace(());
            let _ = timeout(FINAL_ANSWERS_TIME, self.clients_gone()).await;
            let streaming = self.streaming_clients.count();
            if streaming > 0 {
                info!(clients = streaming, "waiting for the ends of large answers");
            }
            self.streaming_clients.gone().await;
        }
        info!(ms = drain_started.elapsed().as_millis() as u64, "drained");
    }

    /// Accepts everything in the backlog and closes the listener without yielding: later connections are
    /// refused, or go to the process that listens beside this one. A wait in between would let more
    /// connections in, only to be reset.
    fn accept_backlog_and_close(self: &Rc<Self>, listener: TcpListener) {
        let Ok(listener) = listener.into_std() else { return };
        let mut errors = 0;
        loop {
            match listener.accept() {
                Ok((stream, _)) => {
                    let converted = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
                    if let Ok(stream) = converted {
                        self.admit(stream, self.budget.take(Holder::Client));
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                // The fault of one connection, or of the call: others may be queued behind it, which
                // closing would reset.
                Err(e) if !is_local_failure(&e) => errors += 1,
                Err(_) => {
                    errors += 1;
                    self.outbound.pool.close_oldest_idle();
                }
            }
            if errors > MAX_CLOSE_ERRORS {
                return;
            }
        }
    }

    async fn clients_gone(&self) {
        while self.budget.clients() > 0 {
            self.budget.client_released().await;
        }
    }
}
