//! The endpoint list: asks discovery for it, and follows its changes.

use super::clock::Clock;
use super::discovery_call::{ANSWER, FetchError, Over, call};
use super::discovery_health::DiscoveryHealth;
use super::guard::Guard;
use super::list_translator::{ListTranslator, ListUpdate};
use gullpulley::config::{LIST_MOST, List, ListReader, Names};
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

/// A watch brings at least an empty line every 2 s: one silent for this long is dead, as that of a
/// machine cut off is, which nothing else would ever tell. News counts as told after 6 s: what is left
/// of them has to do for two calls, as the first may fail.
const SILENCE: Duration = Duration::from_secs(3);
/// A watch on which nothing came for longer than this has missed the line that is due every 2 s.
const HEARTBEAT_LATE: Duration = Duration::from_millis(2200);
/// A list on a watch that is up has come whole so long after the last word: changes behind it wait for its end.
const LIST_TIME: Duration = Duration::from_millis(4500);
/// A list older than one that was heard is an old answer, unless discovery tells nothing newer for so long: then it
/// has begun to count anew.
const OLDER_FOR: Duration = Duration::from_secs(6);
/// What may be asked of discovery, by the driver or at a change of the configuration.
pub enum DiscoveryCommand {
    /// Follow changes, or stop.
    Watch(bool),
    /// Ask for the whole list once.
    Fetch,
    /// From now on discovery is to be found here.
    Move(SocketAddr),
}

/// A call for a watch, which ends with its holder.
struct Watch {
    number: u64,
    _task: Guard,
}

/// What the node knows of discovery.
pub struct Discovery {
    address: Cell<SocketAddr>,
    mode: Mode,
    translator: ListTranslator,
    rev: Cell<u64>,
    /// Since when only older lists have come.
    older_since: Cell<Option<Instant>>,
    /// When a watch that is up last told something whole, a list or an empty line; the start where none has.
    told_at: Cell<Instant>,
    /// Discovery has moved, and no watch has shown since that it tells what discovery has.
    unconfirmed: Cell<bool>,
    health: Rc<DiscoveryHealth>,
    /// The calls for a watch that are out, or the one watch that is up.
    watches: RefCell<Vec<Watch>>,
    /// Those at addresses that were moved from: what was written on them before the move counts as told.
    left_behind: RefCell<Vec<Watch>>,
    watches_begun: Cell<u64>,
    /// When it is called, where lists are pushed; elsewhere the module says so.
    schedule: RefCell<DiscoverySchedule>,
    next_call: Cell<Option<Instant>>,
    replanned: Notify,
    began: Instant,
    /// It has told a list since the start.
    heard: Cell<bool>,
    /// Why it fails, since the last list.
    failing: RefCell<Option<String>>,
    /// Where news goes.
    report: Box<dyn Fn(ListUpdate)>,
}

impl Discovery {
    /// Discovery at this address; what it tells goes to `report`.
    pub fn new(
        address: SocketAddr,
        settings: &Settings,
        names: Names,
        seed: u64,
        health: Rc<DiscoveryHealth>,
        clock: Clock,
        report: impl Fn(ListUpdate) + 'static,
    ) -> Rc<Self> {
        let began = Instant::now();
        let mode = settings.discovery;
        let schedule = RefCell::new(DiscoverySchedule::new(settings, seed, Duration::ZERO));
        let translator = ListTranslator::new(names, clock);
        let address = Cell::new(address);
        Rc::new(Discovery {
            address,
            mode,
            translator,
            rev: Cell::default(),
            older_since: Cell::default(),
            told_at: Cell::new(began),
            unconfirmed: Cell::default(),
            health,
            watches: RefCell::default(),
            left_behind: RefCell::default(),
            watches_begun: Cell::default(),
            schedule,
            next_call: Cell::default(),
            replanned: Notify::new(),
            began,
            heard: Cell::default(),
            failing: RefCell::default(),
            report: Box::new(report),
        })
    }

    /// The list as last held, to start from.
    pub fn cached(&self, list: List) -> ListUpdate {
        self.rev.set(list.rev);
        let mut news = self.translator.news(list);
        if let Membership::Full(entries) | Membership::Delta(entries) = news.membership {
            news.membership = Membership::Cached(entries);
        }
        news
    }

    /// The uid of an endpoint.
    pub fn uid(&self, id: EndpointId) -> String {
        self.translator.uid(id)
    }

    /// The id of a uid, known or not.
    pub fn id(&self, uid: &str) -> EndpointId {
        self.translator.id(uid)
    }

    /// Carries out the driver's calls. Of several calls for a watch the first that brings a list ends the others;
    /// each of those that fail before is answered by one event, and so is a watch that is over.
    pub async fn run(self: Rc<Self>, mut calls: UnboundedReceiver<DiscoveryCommand>) {
        let mut keeper: Option<Guard> = None;
        if self.mode == Mode::Push {
            let this = self.clone();
            keeper = Some(Guard::new(spawn_local(async move { this.keep_watch().await }).abort_handle()));
        }
        while let Some(call) = calls.recv().await {
            let this = self.clone();
            match call {
                // It is up already.
                DiscoveryCommand::Watch(true) if self.mode == Mode::Push => {
                    this.tell(ListUpdate::unchanged())
                }
                DiscoveryCommand::Watch(true) => this.begin_watch(),
                DiscoveryCommand::Watch(false) => {
                    self.watches.take();
                    this.tell(ListUpdate::unchanged());
                }
                DiscoveryCommand::Move(address) => this.move_to(address),
                DiscoveryCommand::Fetch => {
                    spawn_local(async move { this.fetch_whole().await });
                }
            }
        }
        drop(keeper);
    }

    fn move_to(&self, address: SocketAddr) {
        if self.address.replace(address) == address {
            return;
        }
        info!(%address, "discovery: now at {address}");
        if self.told_at.get().elapsed() > HEARTBEAT_LATE && !self.watches.borrow().is_empty() {
            // What the watch that is left behind has missed counts by its silence, which may be before the move's 4 s.
            self.failed("the watch was silent as discovery moved", DiscoveryFailure::WatchSilent);
        }
        self.unconfirmed.set(true);
        // The old one closes soon. What it had left to say counts as known 4 s from now, and what it wrote at once.
        self.left_behind.borrow_mut().append(&mut self.watches.borrow_mut());
        self.tell(ListUpdate::of(Membership::Moved));
        self.schedule.borrow_mut().moved(self.began.elapsed());
        self.plan_call(Some(Duration::ZERO));
    }

    async fn fetch_whole(&self) {
        match self.fetch().await {
            Ok(list) if self.is_old_answer(list.rev) => {
                let older = Over::Older { told: list.rev, held: self.rev.get() };
                self.failed(&older.to_string(), DiscoveryFailure::Unanswered);
            }
            Ok(list) => self.take(list, true),
            Err(error) => {
                self.failed(&error.to_string(), DiscoveryFailure::Unanswered);
            }
        }
    }

    /// Begins a call for a watch, beside those that are out.
    fn begin_watch(self: &Rc<Self>) {
        let number = self.watches_begun.get();
        self.watches_begun.set(number + 1);
        let this = self.clone();
        let task = spawn_local(async move {
            let began = Instant::now();
            let over = this.follow(number).await;
            if this.is_left_behind(number) {
                return this.left_behind.borrow_mut().retain(|watch| watch.number != number);
            }
            this.watches.borrow_mut().retain(|watch| watch.number != number);
            let failure = over.failure(began.elapsed());
            let silent_for = this.failed(&over.to_string(), failure);
            let wait = this.schedule.borrow_mut().failed(this.began.elapsed(), silent_for, failure);
            this.plan_call(Some(wait));
        });
        self.watches.borrow_mut().push(Watch { number, _task: Guard::new(task.abort_handle()) });
    }

    /// Where lists are pushed, a watch must always be up: the module never asks for one.
    async fn keep_watch(self: Rc<Self>) {
        self.plan_call(Some(Duration::ZERO));
        loop {
            let due = self.next_call.get();
            tokio::select! {
                biased;
                () = self.replanned.notified() => {}
                () = async { sleep_until(due.unwrap_or_else(Instant::now)).await }, if due.is_some() => {
                    self.begin_watch();
                    let beside = self.schedule.borrow_mut().called(self.began.elapsed());
                    self.plan_call(beside);
                }
            }
        }
    }

    /// Where lists are pushed, the next call is to begin after so long, and no other.
    fn plan_call(&self, wait: Option<Duration>) {
        self.next_call.set(wait.map(|wait| Instant::now() + wait));
        self.replanned.notify_one();
    }

    /// Follows changes until the watch is over.
    async fn follow(&self, number: u64) -> Over {
        let path = format!("/api/targets?watch=1&after={}", self.rev.get());
        let (response, _connection) = match call(self.address.get(), &path, &self.health).await {
            Ok(answered) => answered,
            Err(error) => return error.into(),
        };
        let mut body = response.into_body();
        let mut lists = ListReader::default();
        let mut silent_at = Instant::now() + SILENCE;
        // When it first told a list, and that after a move.
        let (mut told_since, mut unconfirmed_since): (Option<Instant>, Option<Instant>) = (None, None);
        loop {
            let frame = match timeout_at(silent_at, body.frame()).await {
                Err(_) => return Over::Silent,
                Ok(None) => return Over::Broken("the watch ended".to_owned()),
                Ok(Some(Err(e))) => return Over::Broken(format!("the watch broke: {e}")),
                Ok(Some(Ok(frame))) => frame,
            };
            self.health.heard();
            let piece = frame.data_ref().map_or(&[][..], |data| data);
            // To skip a change would leave the list wrong for good: the watch begins again instead.
            let whole = match lists.take(piece) {
                Ok(whole) => whole,
                Err(fault) => return Over::Broken(fault.to_string()),
            };
            for list in whole {
                if self.is_left_behind(number) {
                    self.take_late(list);
                    continue;
                }
                if self.is_old_answer(list.rev) {
                    return Over::Older { told: list.rev, held: self.rev.get() };
                }
                self.watches.borrow_mut().retain(|watch| watch.number == number);
                let now = Instant::now();
                told_since.get_or_insert(now);
                if self.unconfirmed.get() {
                    unconfirmed_since.get_or_insert(now);
                }
                let newer = list.rev != self.rev.get();
                self.take(list, newer || !self.unconfirmed.get());
            }
            let now = Instant::now();
            if lists.is_amid() {
                // Empty lines behind half a list keep up a watch that tells nothing any more; and who waits for the end
                // of a list does not hear what comes behind it.
                if !piece.trim_ascii().is_empty() {
                    let list_by = told_since.map(|_| self.told_at.get() + LIST_TIME);
                    silent_at = list_by.map_or(now + SILENCE, |by| by.min(now + SILENCE));
                }
                continue;
            }
            silent_at = now + SILENCE;
            if told_since.is_some() {
                self.told_at.set(now);
            }
            let told_on = unconfirmed_since.is_some_and(|since| now >= since + LISTING_DELAY);
            if told_on && !self.is_left_behind(number) {
                unconfirmed_since = None;
                self.confirm();
            }
        }
    }

    fn is_left_behind(&self, number: u64) -> bool {
        self.left_behind.borrow().iter().any(|watch| watch.number == number)
    }

    /// Takes what an address that was moved from had still to tell.
    fn take_late(&self, list: List) {
        if list.rev < self.rev.get() {
            return;
        }
        self.rev.set(list.rev);
        info!(rev = list.rev, entries = list.targets.len(), "list: told by the address before");
        let mut news = self.translator.news(list);
        news.membership = match news.membership {
            Membership::Full(entries) => Membership::FromPreviousAddress { whole: true, entries },
            Membership::Delta(entries) => Membership::FromPreviousAddress { whole: false, entries },
            other => other,
        };
        self.tell(news);
    }

    /// Whether a list with this version is older than one that was heard, and discovery may yet tell that one's.
    fn is_old_answer(&self, rev: u64) -> bool {
        // A list from before the start is a memory, and no answer of this discovery.
        if rev >= self.rev.get() || !self.heard.get() {
            self.older_since.set(None);
            return false;
        }
        let since = self.older_since.get().unwrap_or_else(Instant::now);
        self.older_since.set(Some(since));
        since.elapsed() < OLDER_FOR
    }

    async fn fetch(&self) -> Result<List, FetchError> {
        let (response, _connection) = call(self.address.get(), "/api/targets", &self.health).await?;
        let body = timeout(ANSWER, Limited::new(response.into_body(), LIST_MOST).collect()).await;
        let body = body.map_err(|_| FetchError::TimedOut)?.map_err(FetchError::Body)?;
        Ok(serde_json::from_slice(&body.to_bytes())?)
    }

    /// Takes a list that a watch has told. Right after a move one that is not newer confirms nothing: what stands at
    /// the new address may have just taken over, and be behind.
    fn take(&self, list: List, confirmed: bool) {
        self.rev.set(list.rev);
        self.older_since.set(None);
        self.heard.set(true);
        match confirmed {
            true => self.schedule.borrow_mut().heard(self.began.elapsed()),
            false => self.schedule.borrow_mut().watch_opened(self.began.elapsed()),
        }
        self.plan_call(None);
        self.failing.take();
        if !list.targets.is_empty() {
            let sort = if list.all { "whole list" } else { "changes" };
            info!(rev = list.rev, entries = list.targets.len(), "list: {sort}");
        }
        let mut news = self.translator.news(list);
        if !confirmed {
            info!(rev = self.rev.get(), "list: not newer at discovery's new address, not confirmed yet");
            news.membership = match news.membership {
                Membership::Full(entries) => Membership::Unconfirmed { whole: true, entries },
                Membership::Delta(entries) => Membership::Unconfirmed { whole: false, entries },
                other => other,
            };
        }
        self.tell(news);
    }

    /// A watch at the address that was moved to has told on for long enough to have brought what discovery had.
    fn confirm(&self) {
        self.unconfirmed.set(false);
        self.left_behind.take();
        self.schedule.borrow_mut().heard(self.began.elapsed());
        info!(rev = self.rev.get(), "list: confirmed at discovery's new address");
        self.tell(ListUpdate::unchanged());
    }

    /// Tells that a call or watch has failed; for how long nothing had been heard.
    fn failed(&self, reason: &str, failure: DiscoveryFailure) -> Duration {
        let silent_for = self.told_at.get().elapsed();
        // Said once for each reason until a list comes; the driver counts the others.
        if self.failing.replace(Some(reason.to_owned())).is_none_or(|before| before != reason) {
            warn!(address = %self.address.get(), "discovery: {reason}");
        }
        self.tell(ListUpdate::of(Membership::Failed { silent_for, failure }));
        silent_for
    }

    fn tell(&self, news: ListUpdate) {
        (self.report)(news);
    }
}
