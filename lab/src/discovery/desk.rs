//! The one desk behind all of discovery's addresses: a single queue of work at a fixed speed, of calls and of news for
//! open watches, in the order in which they come.

use super::Table;
use crate::experiment::{Abandoned, WhileDown};
use serde_json::Value;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, sleep_until, timeout_at};

/// Where callers wait for their turn.
pub struct Desk {
    queue: mpsc::UnboundedSender<Work>,
    table: watch::Receiver<Table>,
    open: AtomicBool,
    per_call: Duration,
    per_line: Duration,
    patience: Duration,
    abandoned: Abandoned,
    while_down: WhileDown,
    indented: bool,
    pub(super) pieces: usize,
}

/// Work in the queue.
struct Work {
    takes: Duration,
    came: Instant,
    /// How often discovery had gone down when it came: it does not outlive the queue that it is in.
    downs: u64,
    /// It is done also where nobody waits for it any more.
    stays: bool,
    /// Told at its turn when it will be done.
    turn: oneshot::Sender<Instant>,
}

impl Desk {
    /// One that works as an experiment says, at no cost until it is opened. It needs a runtime.
    pub fn new(described: &crate::experiment::Discovery, table: watch::Receiver<Table>) -> Self {
        let (queue, waiting) = mpsc::unbounded_channel();
        tokio::spawn(serve_in_turn(waiting, table.clone()));
        Desk {
            queue,
            table,
            open: AtomicBool::new(false),
            per_call: described.per_call,
            per_line: described.per_line,
            patience: described.patience,
            abandoned: described.abandoned,
            while_down: described.while_down,
            indented: described.indented,
            pieces: described.pieces,
        }
    }

    /// From now on work takes its time.
    pub fn open(&self) {
        self.open.store(true, Ordering::SeqCst);
    }

    /// Whether nothing listens while discovery is down.
    pub(super) fn refuses_connections(&self) -> bool {
        self.while_down == WhileDown::RefusesConnections
    }

    /// A list in the words that callers get.
    pub(super) fn lay_out(&self, list: &Value) -> String {
        if self.indented { format!("{list:#}") } else { list.to_string() }
    }

    /// Takes a call that is told so many lines, and returns when it is to be answered: true with what it asked for,
    /// false with 503.
    pub async fn call(&self, lines: usize) -> bool {
        let until = Instant::now() + self.patience;
        let (down, downs) = self.state();
        if !down {
            let Some(turn) = self.queue_up(self.per_call + self.lines(lines), self.abandoned) else {
                return true;
            };
            match timeout_at(until, turn).await {
                Ok(Ok(done)) => {
                    sleep_until(done).await;
                    if self.state() == (false, downs) {
                        return true;
                    }
                }
                Ok(Err(_)) => {} // it went down meanwhile
                Err(_) => return false,
            }
        }
        if self.while_down == WhileDown::Waits {
            sleep_until(until).await;
        }
        false
    }

    /// Waits until so many lines of news can be written to one watch, however long that takes; false where discovery
    /// went down first.
    pub async fn news(&self, lines: usize) -> bool {
        let Some(turn) = self.queue_up(self.lines(lines), Abandoned::Served) else { return true };
        match turn.await {
            Ok(done) => {
                sleep_until(done).await;
                true
            }
            Err(_) => false,
        }
    }

    fn lines(&self, lines: usize) -> Duration {
        self.per_line * lines as u32
    }

    /// Whether it is down, and how often it has gone down.
    fn state(&self) -> (bool, u64) {
        let table = self.table.borrow();
        (table.down, table.downs)
    }

    /// Puts work at the queue's end; none where it takes no time.
    fn queue_up(&self, takes: Duration, abandoned: Abandoned) -> Option<oneshot::Receiver<Instant>> {
        if takes.is_zero() || !self.open.load(Ordering::SeqCst) {
            return None;
        }
        let (turn, told) = oneshot::channel();
        let (came, downs) = (Instant::now(), self.state().1);
        // A send fails only once the runtime is being taken down; then nobody waits either.
        let _ = self.queue.send(Work { takes, came, downs, stays: abandoned == Abandoned::Served, turn });
        Some(told)
    }
}

/// Does the work, one after the other. Each begins when the one before was due to end, not when the system's timer
/// let it: the desk's speed is what it is said to be.
async fn serve_in_turn(mut queue: mpsc::UnboundedReceiver<Work>, mut table: watch::Receiver<Table>) {
    let mut free = Instant::now();
    while let Some(Work { takes, came, downs, stays, turn }) = queue.recv().await {
        if table.borrow().downs != downs || (!stays && turn.is_closed()) {
            continue;
        }
        let done = free.max(came) + takes;
        let _ = turn.send(done); // its caller may have left
        tokio::select! {
            () = sleep_until(done) => free = done,
            _ = table.wait_for(|table| table.downs != downs) => free = Instant::now(),
        }
    }
}
