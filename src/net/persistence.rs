//! What this process keeps on disk, as the serving thread sees it: told by the disk's thread, never waited for.

use crossbeam_channel::Sender;
use gullpulley::fleet::host::{DiskSays, Joining};
use gullpulley::state::memory::{Change, Identity, Memory};
use gullpulley::state::store::Found;
use gullpulley::state::writer::{Refused, Statement, Writer};
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

/// Statements of the disk that may wait for this thread; at more the disk's thread waits.
const STATEMENTS: usize = 64;

/// The folder of a process, and what is known of it.
pub struct Persistence {
    name: String,
    /// The log's thread writes too.
    writer: Arc<Mutex<Writer>>,
    /// What was found, until the log takes it.
    found: RefCell<Memory>,
    /// Who it is, and the batch that says so.
    told: RefCell<Option<(u64, Identity)>>,
    /// Its folder and the number of its start there, once that is durable; none there where nothing is kept.
    start: watch::Sender<Option<Option<(u128, u64)>>>,
    /// The incarnation that is durable; 0 before.
    incarnation: Cell<u64>,
    set_aside: Cell<u64>,
    over: Cell<bool>,
    /// The disk refuses; what is handed to it waits.
    failing: Cell<bool>,
}

impl Persistence {
    /// Starts the thread of this folder; returns at once, and tells what comes of it to `follow`, and to the log.
    pub fn open(
        folder: PathBuf,
        name: &str,
        log: Option<Sender<DiskSays>>,
    ) -> io::Result<(Rc<Self>, Receiver<Statement>)> {
        let (says, said) = channel(STATEMENTS);
        let say = move |statement: Statement| {
            let told = match &statement {
                Statement::Durable(number) => Some(DiskSays::Durable(*number)),
                Statement::Over(_) => Some(DiskSays::Over),
                Statement::Waiting(_) | Statement::Opened(_) | Statement::Failing(_) => None,
            };
            // Both fail only while the process ends.
            if let (Some(log), Some(told)) = (&log, told) {
                let _ = log.send(told);
            }
            let _ = says.blocking_send(statement);
        };
        let writer = Arc::new(Mutex::new(Writer::start(folder, name.to_owned(), say)?));
        let (found, told, start, incarnation, set_aside, over, failing) = Default::default();
        let name = name.to_owned();
        let persistence =
            Persistence { name, writer, found, told, start, incarnation, set_aside, over, failing };
        Ok((Rc::new(persistence), said))
    }

    fn writer(&self) -> MutexGuard<'_, Writer> {
        self.writer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What this process brings to the log: once, and after its start is durable.
    pub fn joining(&self, folder: u128) -> Joining {
        Joining { id: (folder as u64).max(1), memory: self.found.take(), writer: Some(self.writer.clone()) }
    }

    /// Follows what the disk says.
    pub async fn follow(self: Rc<Self>, mut said: Receiver<Statement>) {
        while let Some(statement) = said.recv().await {
            match statement {
                Statement::Waiting(why) => {
                    info!("state: {why}; this process waits for it, and serves meanwhile")
                }
                Statement::Opened(found) => self.opened(found),
                Statement::Failing(e) => {
                    self.failing.set(true);
                    error!(
                        "state: {e}; nothing is confirmed until the disk takes a fresh file, and serving goes on"
                    );
                }
                Statement::Durable(number) => {
                    if self.failing.take() {
                        info!("state: kept again, all of it");
                    }
                    if let Some((batch, Identity { folder, incarnation, .. })) = *self.told.borrow()
                        && number >= batch
                        && self.incarnation.replace(incarnation) != incarnation
                    {
                        info!(incarnation, "state: start {incarnation} on this folder is kept");
                        self.start.send_replace(Some(Some((folder, incarnation))));
                    }
                }
                Statement::Over(e) => {
                    self.over.set(true);
                    self.start.send_if_modified(|start| start.is_none() && start.replace(None).is_none());
                    error!("state: {e}; nothing is kept from now on, and serving goes on");
                }
            }
        }
    }

    fn opened(&self, found: Found) {
        let memory = match found {
            Found::Kept(memory) => memory,
            Found::Nothing => Memory::default(),
            Found::SetAside(path, why) => {
                self.set_aside.set(self.set_aside.get() + 1);
                warn!("state: {why}; it is now {}, and this process begins anew", path.display());
                Memory::default()
            }
        };
        let identity = match memory.identity.clone() {
            Some(identity) => Identity { incarnation: identity.incarnation + 1, ..identity },
            None => Identity::drawn(&self.name),
        };
        match self.writer().submit(vec![Change::Identity(identity.clone())]) {
            Ok(batch) => drop(self.told.replace(Some((batch, identity)))),
            Err(Refused::Full | Refused::Over) => {
                warn!("state: this start could not be handed to the disk")
            }
        }
        self.found.replace(memory);
    }

    /// Waits until this start is durable: the folder and the start's number there. None where nothing is kept, or not
    /// within this time.
    pub async fn start(&self, within: Duration) -> Option<(u128, u64)> {
        let mut start = self.start.subscribe();
        let known = timeout(within, start.wait_for(Option::is_some)).await;
        known.ok()?.ok()?.flatten()
    }

    /// Adds its figures.
    pub fn register(&self, registry: &mut Registry) {
        let writer = self.writer();
        let figures = writer.figures();
        let state = registry.sub_registry_with_prefix("state");
        for (name, help, value) in [
            (
                "kept",
                "1 while what is said here is kept",
                u64::from(!self.over.get() && !self.failing.get()),
            ),
            ("incarnation", "Starts on this folder, as far as they are durable", self.incarnation.get()),
            ("set_aside", "Memories found at this start that could not be trusted", self.set_aside.get()),
            ("waiting", "Batches that wait for the disk", writer.waiting() as u64),
            ("longest_commit_us", "What the longest commit took", figures.longest_us.load(Relaxed)),
        ] {
            state.register(name, help, ConstGauge::new(value as i64));
        }
        let stuck = "For how long the disk has been at one commit";
        state.register("stuck_seconds", stuck, ConstGauge::new(writer.stuck_for()));
        for (name, help, count) in [
            ("commits", "Commits, each with its syncs", &figures.commits),
            ("commits_us", "What all commits took", &figures.commits_us),
            ("durable", "Batches that are durable", &figures.durable),
            ("refused", "Batches refused as too many waited", &figures.refused),
        ] {
            state.register(name, help, ConstCounter::new(count.load(Relaxed)));
        }
    }
}
