//! The discovery client: fetches the endpoint list and watches it for changes.

use super::abort_on_drop::AbortOnDrop;
use super::clock::Clock;
use super::discovery_call::{ANSWER_TIMEOUT, FetchError, WatchEnd, call};
use super::discovery_health::DiscoveryHealth;
use super::list_translator::{ListTranslator, ListUpdate};
use gullpulley::config::{List, ListReader, MAX_LIST_BYTES, Names};
use gullpulley::{
    Discovery as Mode, DiscoveryFailure, DiscoverySchedule, EndpointId, LISTING_DELAY, Membership, Settings,
};
use http_body_util::{BodyExt, Limited};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until, timeout, timeout_at};
use tracing::{info, warn};

/// Discovery sends at least an empty line every 2 s on a watch. A watch silent for this long is dead; a
/// network partition shows in no other way. A change counts as known to this process after 6 s, and the
/// remainder has to suffice for two calls, as the first may fail.
const WATCH_SILENCE_TIMEOUT: Duration = Duration::from_secs(3);
/// A watch that received nothing for longer than this has missed the heartbeat due every 2 s.
const HEARTBEAT_OVERDUE: Duration = Duration::from_millis(2200);
/// Time-out for a list on an open watch to be complete, counted from the last complete message: later
/// changes wait behind an incomplete list.
const LIST_TIMEOUT: Duration = Duration::from_millis(4500);
/// A list with a lower version than one received before is outdated, unless discovery sends nothing newer
/// for this long: then its version numbers have started over.
const VERSION_RESET_AFTER: Duration = Duration::from_secs(6);
/// Commands to the discovery client, from the driver or on a configuration change.
pub enum DiscoveryCommand {
    /// Open a watch, or close it.
    Watch(bool),
    /// Fetch the whole list once.
    Fetch,
    /// Switch to this address of discovery.
    Move(SocketAddr),
}

/// A watch or the call that opens it; dropping it aborts the task.
struct Watch {
    number: u64,
    _task: AbortOnDrop,
}

/// The discovery client of one process.
pub struct Discovery {
    address: Cell<SocketAddr>,
    mode: Mode,
    translator: ListTranslator,
    rev: Cell<u64>,
    /// Since when only lists of lower versions have been received.
    outdated_since: Cell<Option<Instant>>,
    /// When an open watch last received a complete message, a list or an empty line; initially the start
    /// time.
    last_message_at: Cell<Instant>,
    /// Discovery's address has changed, and no watch at the new one is known to be current yet.
    move_unconfirmed: Cell<bool>,
    health: Rc<DiscoveryHealth>,
    /// Pending calls that open a watch, or the one open watch.
    watches: RefCell<Vec<Watch>>,
    /// Watches at previous addresses: what discovery wrote to them before the change of address counts as
    /// known here.
    previous_address_watches: RefCell<Vec<Watch>>,
    next_watch_number: Cell<u64>,
    /// Timing of calls in push mode; in the other mode the policy decides.
    schedule: RefCell<DiscoverySchedule>,
    next_call_at: Cell<Option<Instant>>,
    call_rescheduled: Notify,
    started: Instant,
    /// A list has been received since the start.
    list_received: Cell<bool>,
    /// The reason of the latest failure since the last list, to log each reason once.
    last_failure: RefCell<Option<String>>,
    /// Receives list updates.
    report: Box<dyn Fn(ListUpdate)>,
}

impl Discovery {
    /// A client of discovery at this address; `report` receives list updates.
    pub fn new(
        address: SocketAddr,
        settings: &Settings,
        names: Names,
        seed: u64,
        health: Rc<DiscoveryHealth>,
        clock: Clock,
        report: impl Fn(ListUpdate) + 'static,
    ) -> Rc<Self> {
        let started = Instant::now();
        let mode = settings.discovery;
        let schedule = RefCell::new(DiscoverySchedule::new(settings, seed, Duration::ZERO));
        let translator = ListTranslator::new(names, clock);
        let address = Cell::new(address);
        Rc::new(Discovery {
            address,
            mode,
            translator,
            rev: Cell::default(),
            outdated_since: Cell::default(),
            last_message_at: Cell::new(started),
            move_unconfirmed: Cell::default(),
            health,
            watches: RefCell::default(),
            previous_address_watches: RefCell::default(),
            next_watch_number: Cell::default(),
            schedule,
            next_call_at: Cell::default(),
            call_rescheduled: Notify::new(),
            started,
            list_received: Cell::default(),
            last_failure: RefCell::default(),
            report: Box::new(report),
        })
    }

    /// The cached endpoint list to start from, as an update.
    pub fn cached(&self, list: List) -> ListUpdate {
        self.rev.set(list.rev);
        let mut update = self.translator.translate(list);
        if let Membership::Full(entries) | Membership::Delta(entries) = update.membership {
            update.membership = Membership::Cached(entries);
        }
        update
    }

    /// The uid of an endpoint.
    pub fn uid(&self, id: EndpointId) -> String {
        self.translator.uid(id)
    }

    /// The id of a uid; a new one is assigned to an unknown uid.
    pub fn id(&self, uid: &str) -> EndpointId {
        self.translator.id(uid)
    }

    /// Processes commands. Of several pending calls for a watch, the first that delivers a list cancels the
    /// others; each failure before that is reported in one update, and so is the end of a watch.
    pub async fn run(self: Rc<Self>, mut commands: UnboundedReceiver<DiscoveryCommand>) {
        let mut watch_task: Option<AbortOnDrop> = None;
        if self.mode == Mode::Push {
            let this = self.clone();
            watch_task = Some(AbortOnDrop::new(
                spawn_local(async move { this.maintain_watch().await }).abort_handle(),
            ));
        }
        while let Some(command) = commands.recv().await {
            let this = self.clone();
            match command {
                // In push mode the watch is open already.
                DiscoveryCommand::Watch(true) if self.mode == Mode::Push => {
                    this.send_update(ListUpdate::unchanged())
                }
                DiscoveryCommand::Watch(true) => this.open_watch(),
                DiscoveryCommand::Watch(false) => {
                    self.watches.take();
                    this.send_update(ListUpdate::unchanged());
                }
                DiscoveryCommand::Move(address) => this.move_to(address),
                DiscoveryCommand::Fetch => {
                    spawn_local(async move { this.handle_fetch().await });
                }
            }
        }
        drop(watch_task);
    }

    fn move_to(&self, address: SocketAddr) {
        if self.address.replace(address) == address {
            return;
        }
        info!(%address, "discovery: now at {address}");
        if self.last_message_at.get().elapsed() > HEARTBEAT_OVERDUE && !self.watches.borrow().is_empty() {
            // What the old watch missed counts as known from when it became silent, which may be earlier
            // than the 4 s that hold after a change of address.
            self.report_failure(
                "the watch was silent when discovery's address changed",
                DiscoveryFailure::WatchSilent,
            );
        }
        self.move_unconfirmed.set(true);
        // The old watch closes soon. What it had still to send counts as known 4 s from now, and what it
        // has written counts at once.
        self.previous_address_watches.borrow_mut().append(&mut self.watches.borrow_mut());
        self.send_update(ListUpdate::of(Membership::Moved));
        self.schedule.borrow_mut().on_address_change(self.started.elapsed());
        self.schedule_call(Some(Duration::ZERO));
    }

    async fn handle_fetch(&self) {
        match self.fetch().await {
            Ok(list) if self.is_outdated(list.rev) => {
                let reason = WatchEnd::Outdated { received: list.rev, held: self.rev.get() };
                self.report_failure(&reason.to_string(), DiscoveryFailure::Unanswered);
            }
            Ok(list) => self.apply(list, true),
            Err(error) => {
                self.report_failure(&error.to_string(), DiscoveryFailure::Unanswered);
            }
        }
    }

    /// Starts a call for a watch, in addition to those pending.
    fn open_watch(self: &Rc<Self>) {
        let number = self.next_watch_number.get();
        self.next_watch_number.set(number + 1);
        let this = self.clone();
        let task = spawn_local(async move {
            let started = Instant::now();
            let end = this.run_watch(number).await;
            if this.is_at_previous_address(number) {
                return this.previous_address_watches.borrow_mut().retain(|watch| watch.number != number);
            }
            this.watches.borrow_mut().retain(|watch| watch.number != number);
            let failure = end.failure(started.elapsed());
            let silent_for = this.report_failure(&end.to_string(), failure);
            let wait = this.schedule.borrow_mut().on_failure(this.started.elapsed(), silent_for, failure);
            this.schedule_call(Some(wait));
        });
        self.watches.borrow_mut().push(Watch { number, _task: AbortOnDrop::new(task.abort_handle()) });
    }

    /// In push mode keeps a watch open at all times: the policy never asks for one.
    async fn maintain_watch(self: Rc<Self>) {
        self.schedule_call(Some(Duration::ZERO));
        loop {
            let due = self.next_call_at.get();
            tokio::select! {
                biased;
                () = self.call_rescheduled.notified() => {}
                () = async { sleep_until(due.unwrap_or_else(Instant::now)).await }, if due.is_some() => {
                    self.open_watch();
                    let second_call_wait = self.schedule.borrow_mut().on_call_start(self.started.elapsed());
                    self.schedule_call(second_call_wait);
                }
            }
        }
    }

    /// In push mode schedules the next call after this delay, replacing any scheduled before; with none it
    /// only cancels.
    fn schedule_call(&self, wait: Option<Duration>) {
        self.next_call_at.set(wait.map(|wait| Instant::now() + wait));
        self.call_rescheduled.notify_one();
    }

    /// Opens a watch and applies its lists until it ends.
    async fn run_watch(&self, number: u64) -> WatchEnd {
        let path = format!("/api/targets?watch=1&after={}", self.rev.get());
        let (response, _connection) = match call(self.address.get(), &path, &self.health).await {
            Ok(answered) => answered,
            Err(error) => return error.into(),
        };
        let mut body = response.into_body();
        let mut lists = ListReader::default();
        let mut silent_at = Instant::now() + WATCH_SILENCE_TIMEOUT;
        // When the watch first delivered a list, and when it first did so with a change of address
        // unconfirmed.
        let (mut delivering_since, mut unconfirmed_list_at): (Option<Instant>, Option<Instant>) =
            (None, None);
        loop {
            let frame = match timeout_at(silent_at, body.frame()).await {
                Err(_) => return WatchEnd::Silent,
                Ok(None) => return WatchEnd::Broken("the watch was closed".to_owned()),
                Ok(Some(Err(e))) => return WatchEnd::Broken(format!("the watch failed: {e}")),
                Ok(Some(Ok(frame))) => frame,
            };
            self.health.record_activity();
            let chunk = frame.data_ref().map_or(&[][..], |data| data);
            // A skipped change would leave the list wrong permanently, so a malformed one ends the watch,
            // and a new one is opened.
            let complete_lists = match lists.take(chunk) {
                Ok(complete_lists) => complete_lists,
                Err(fault) => return WatchEnd::Broken(fault.to_string()),
            };
            for list in complete_lists {
                if self.is_at_previous_address(number) {
                    self.apply_late(list);
                    continue;
                }
                if self.is_outdated(list.rev) {
                    return WatchEnd::Outdated { received: list.rev, held: self.rev.get() };
                }
                self.watches.borrow_mut().retain(|watch| watch.number == number);
                let now = Instant::now();
                delivering_since.get_or_insert(now);
                if self.move_unconfirmed.get() {
                    unconfirmed_list_at.get_or_insert(now);
                }
                let newer = list.rev != self.rev.get();
                self.apply(list, newer || !self.move_unconfirmed.get());
            }
            let now = Instant::now();
            if lists.is_incomplete() {
                // Empty lines after an incomplete list must not keep alive a watch that delivers nothing
                // more, and waiting for the end of a list delays the changes behind it.
                if !chunk.trim_ascii().is_empty() {
                    let list_due = delivering_since.map(|_| self.last_message_at.get() + LIST_TIMEOUT);
                    silent_at = list_due
                        .map_or(now + WATCH_SILENCE_TIMEOUT, |by| by.min(now + WATCH_SILENCE_TIMEOUT));
                }
                continue;
            }
            silent_at = now + WATCH_SILENCE_TIMEOUT;
            if delivering_since.is_some() {
                self.last_message_at.set(now);
            }
            let delivered_long_enough =
                unconfirmed_list_at.is_some_and(|since| now >= since + LISTING_DELAY);
            if delivered_long_enough && !self.is_at_previous_address(number) {
                unconfirmed_list_at = None;
                self.confirm();
            }
        }
    }

    fn is_at_previous_address(&self, number: u64) -> bool {
        self.previous_address_watches.borrow().iter().any(|watch| watch.number == number)
    }

    /// Applies a list from a watch at a previous address.
    fn apply_late(&self, list: List) {
        if list.rev < self.rev.get() {
            return;
        }
        self.rev.set(list.rev);
        info!(rev = list.rev, entries = list.targets.len(), "list: told by the address before");
        let mut update = self.translator.translate(list);
        update.membership = match update.membership {
            Membership::Full(entries) => Membership::FromPreviousAddress { whole: true, entries },
            Membership::Delta(entries) => Membership::FromPreviousAddress { whole: false, entries },
            other => other,
        };
        self.send_update(update);
    }

    /// Whether this version is lower than one received before, and discovery may still catch up with that
    /// one.
    fn is_outdated(&self, rev: u64) -> bool {
        // The cached list from before the start is not an answer of this discovery.
        if rev >= self.rev.get() || !self.list_received.get() {
            self.outdated_since.set(None);
            return false;
        }
        let since = self.outdated_since.get().unwrap_or_else(Instant::now);
        self.outdated_since.set(Some(since));
        since.elapsed() < VERSION_RESET_AFTER
    }

    async fn fetch(&self) -> Result<List, FetchError> {
        let (response, _connection) = call(self.address.get(), "/api/targets", &self.health).await?;
        let body =
            timeout(ANSWER_TIMEOUT, Limited::new(response.into_body(), MAX_LIST_BYTES).collect()).await;
        let body = body.map_err(|_| FetchError::TimedOut)?.map_err(FetchError::Body)?;
        Ok(serde_json::from_slice(&body.to_bytes())?)
    }

    /// Applies a received list. Right after a change of address a list that is not newer confirms nothing:
    /// the instance at the new address may have just taken over and lag behind.
    fn apply(&self, list: List, confirmed: bool) {
        self.rev.set(list.rev);
        self.outdated_since.set(None);
        self.list_received.set(true);
        match confirmed {
            true => self.schedule.borrow_mut().on_list_update(self.started.elapsed()),
            false => self.schedule.borrow_mut().on_unconfirmed_list(self.started.elapsed()),
        }
        self.schedule_call(None);
        self.last_failure.take();
        if !list.targets.is_empty() {
            let kind = if list.all { "whole list" } else { "changes" };
            info!(rev = list.rev, entries = list.targets.len(), "list: {kind}");
        }
        let mut update = self.translator.translate(list);
        if !confirmed {
            info!(rev = self.rev.get(), "list: not newer at discovery's new address, not confirmed yet");
            update.membership = match update.membership {
                Membership::Full(entries) => Membership::Unconfirmed { whole: true, entries },
                Membership::Delta(entries) => Membership::Unconfirmed { whole: false, entries },
                other => other,
            };
        }
        self.send_update(update);
    }

    /// A watch at the new address has been active for long enough to have delivered everything that
    /// discovery had.
    fn confirm(&self) {
        self.move_unconfirmed.set(false);
        self.previous_address_watches.take();
        self.schedule.borrow_mut().on_list_update(self.started.elapsed());
        info!(rev = self.rev.get(), "list: confirmed at discovery's new address");
        self.send_update(ListUpdate::unchanged());
    }

    /// Reports that a call or watch has failed; returns how long nothing had been received.
    fn report_failure(&self, reason: &str, failure: DiscoveryFailure) -> Duration {
        let silent_for = self.last_message_at.get().elapsed();
        // Each reason is logged once until a list arrives; the driver counts the repetitions.
        if self.last_failure.replace(Some(reason.to_owned())).is_none_or(|before| before != reason) {
            warn!(address = %self.address.get(), "discovery: {reason}");
        }
        self.send_update(ListUpdate::of(Membership::Failed { silent_for, failure }));
        silent_for
    }

    fn send_update(&self, update: ListUpdate) {
        (self.report)(update);
    }
}
