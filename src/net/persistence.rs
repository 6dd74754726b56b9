//! The persisted state of this process, as seen by the serving thread, which the disk thread notifies and
//! which never blocks on it.

use crossbeam_channel::Sender;
use gullpulley::fleet::host::{DiskEvent, LogJoin};
use gullpulley::state::persisted::{Change, Identity, PersistedState};
use gullpulley::state::store::Found;
use gullpulley::state::writer::{Notification, SubmitError, Writer};
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::gauge::ConstGauge;
use prometheus_client::registry::Registry;
use std::cell::{Cell, RefCell};
use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::mpsc::{Receiver, channel};
use tokio::sync::watch;
use tokio::time::timeout;
use tracing::{error, info, warn};

/// Capacity of the queue of notifications from the disk thread; the disk thread waits while it is full.
const NOTIFICATION_CAPACITY: usize = 64;

/// The state folder of a process, and its status.
pub struct Persistence {
    name: String,
    /// Shared with the fleet log's thread, which writes too.
    writer: Arc<Mutex<Writer>>,
    /// The state loaded from disk, until the fleet log takes it.
    loaded: RefCell<PersistedState>,
    /// This process's identity, and the number of the batch that persists it.
    identity_batch: RefCell<Option<(u64, Identity)>>,
    /// The folder's id and the incarnation, once that is durable; `Some(None)` if nothing can be persisted.
    durable_start: watch::Sender<Option<Option<(u128, u64)>>>,
    /// The durable incarnation; 0 before.
    incarnation: Cell<u64>,
    set_aside: Cell<u64>,
    /// Writing has ended for good; nothing is persisted any more.
    stopped: Cell<bool>,
    /// Writes fail; submitted batches wait.
    failing: Cell<bool>,
}

impl Persistence {
    /// Starts the disk thread for this folder and returns at once. Notifications go to the returned
    /// receiver, for [`Self::run`], and to the fleet log.
    pub fn open(
        folder: PathBuf,
        name: &str,
        log: Option<Sender<DiskEvent>>,
    ) -> io::Result<(Rc<Self>, Receiver<Notification>)> {
        let (sender, statements) = channel(NOTIFICATION_CAPACITY);
        let notify = move |statement: Notification| {
            let event = match &statement {
                Notification::Durable(number) => Some(DiskEvent::Durable(*number)),
                Notification::Stopped(_) => Some(DiskEvent::Stopped),
                Notification::Waiting(_) | Notification::Opened(_) | Notification::Failing(_) => None,
            };
            // Both sends fail only while the process ends.
            if let (Some(log), Some(event)) = (&log, event) {
                let _ = log.send(event);
            }
            let _ = sender.blocking_send(statement);
        };
        let writer = Arc::new(Mutex::new(Writer::start(folder, name.to_owned(), notify)?));
        let (loaded, identity_batch, durable_start, incarnation, set_aside, stopped, failing) =
            Default::default();
        let name = name.to_owned();
        let persistence = Persistence {
            name,
            writer,
            loaded,
            identity_batch,
            durable_start,
            incarnation,
            set_aside,
            stopped,
            failing,
        };
        Ok((Rc::new(persistence), statements))
    }

    fn writer(&self) -> MutexGuard<'_, Writer> {
        self.writer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What this process joins the fleet log with. Call it once, after the incarnation is durable.
    pub fn join_data(&self, folder: u128) -> LogJoin {
        LogJoin { id: (folder as u64).max(1), state: self.loaded.take(), writer: Some(self.writer.clone()) }
    }

    /// Handles notifications from the disk thread.
    pub async fn run(self: Rc<Self>, mut statements: Receiver<Notification>) {
        while let Some(statement) = statements.recv().await {
            match statement {
                Notification::Waiting(why) => {
                    info!("state: {why}; waiting for it while requests are answered")
                }
                Notification::Opened(found) => self.handle_opened(found),
                Notification::Failing(e) => {
                    self.failing.set(true);
                    error!(
                        "state: {e}; nothing is confirmed until a fresh file can be written; requests are still answered"
                    );
                }
                Notification::Durable(number) => {
                    if self.failing.take() {
                        info!("state: all of it is persisted again");
                    }
                    if let Some((batch, Identity { folder, incarnation, .. })) =
                        *self.identity_batch.borrow()
                        && number >= batch
                        && self.incarnation.replace(incarnation) != incarnation
                    {
                        info!(incarnation, "state: incarnation {incarnation} on this folder is durable");
                        self.durable_start.send_replace(Some(Some((folder, incarnation))));
                    }
                }
                Notification::Stopped(e) => {
                    self.stopped.set(true);
                    self.durable_start
                        .send_if_modified(|start| start.is_none() && start.replace(None).is_none());
                    error!("state: {e}; nothing is persisted from now on; requests are still answered");
                }
            }
        }
    }

    fn handle_opened(&self, found: Found) {
        let memory = match found {
            Found::State(memory) => memory,
            Found::Nothing => PersistedState::default(),
            Found::SetAside(path, why) => {
                self.set_aside.set(self.set_aside.get() + 1);
                warn!(
                    "state: {why}; it was moved to {}, and this process starts with empty state",
                    path.display()
                );
                PersistedState::default()
            }
        };
        let identity = match memory.identity.clone() {
            Some(identity) => Identity { incarnation: identity.incarnation + 1, ..identity },
            None => Identity::drawn(&self.name),
        };
        match self.writer().submit(vec![Change::Identity(identity.clone())]) {
            Ok(batch) => drop(self.identity_batch.replace(Some((batch, identity)))),
            Err(SubmitError::Full | SubmitError::Stopped) => {
                warn!("state: this incarnation could not be queued for writing")
            }
        }
        self.loaded.replace(memory);
    }

    /// Waits until the incarnation is durable, and returns the folder's id and the incarnation; none if
    /// nothing is persisted, or not within this time.
    pub async fn wait_for_incarnation(&self, within: Duration) -> Option<(u128, u64)> {
        let mut durable_start = self.durable_start.subscribe();
        let known = timeout(within, durable_start.wait_for(Option::is_some)).await;
        known.ok()?.ok()?.flatten()
    }

    /// Adds these metrics to a registry.
    pub fn register(&self, registry: &mut Registry) {
        let writer = self.writer();
        let stats = writer.stats();
        let state = registry.sub_registry_with_prefix("state");
        for (name, help, value) in [
            (
                "kept",
                "1 while what is said here is kept",
                u64::from(!self.stopped.get() && !self.failing.get()),
            ),
            ("incarnation", "Starts on this folder, as far as they are durable", self.incarnation.get()),
            ("set_aside", "Memories found at this start that could not be trusted", self.set_aside.get()),
            ("waiting", "Batches that wait for the disk", writer.waiting() as u64),
            ("longest_commit_us", "What the longest commit took", stats.longest_us.load(Relaxed)),
        ] {
            state.register(name, help, ConstGauge::new(value as i64));
        }
        let stuck = "For how long the disk has been at one commit";
        state.register("stuck_seconds", stuck, ConstGauge::new(writer.stuck_for()));
        for (name, help, count) in [
            ("commits", "Commits, each with its syncs", &stats.commits),
            ("commits_us", "What all commits took", &stats.commits_us),
            ("durable", "Batches that are durable", &stats.durable),
            ("refused", "Batches refused as too many waited", &stats.refused),
        ] {
            state.register(name, help, ConstCounter::new(count.load(Relaxed)));
        }
    }
}
