//! Orders of the operators: suspends and resumes endpoints, and records that in the file that all processes of the sidecar
//! follow.
//!
//! An order is recorded before it is in force and answered. Where that takes too long it comes into force in this process
//! first, and is recorded as soon as that can be done.

mod pending;

use super::manual_ejections::{ManualEjectionError, ManualEjectionStore, ManualEjections, Order, Version};
use super::message::{Inbox, Input};
use pending::PendingOrders;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Mutex, oneshot};
use tokio::task::{spawn_blocking, spawn_local};
use tokio::time::{sleep, timeout};
use tracing::{error, info};

/// Interval between checks for orders given to other processes of this sidecar.
const ORDER_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// An order that has not been recorded for so long comes into force without that: each answer is due within 1 s.
const RECORDING_TIMEOUT: Duration = Duration::from_millis(700);
/// Delay until an order in force that could not be recorded is tried again.
const RECORDING_RETRY_DELAY: Duration = Duration::from_millis(500);

/// What became of an order.
#[derive(Debug)]
pub enum OrderOutcome {
    /// It is in force, and recorded.
    Recorded,
    /// It is in force, and a power cut may lose it.
    NotDurable,
    /// It is in force in this process, and is still to be recorded.
    NotRecordedYet,
    /// It could not be recorded, and is not in force.
    NotRecorded,
    /// Too many orders wait to be recorded; it is not in force.
    TooMany,
    /// No endpoint has this id.
    UnknownEndpoint,
    /// The process ends.
    Ending,
}

/// Which version of the file of manual ejections a process has handled; the version is none while there is
/// no file.
#[derive(Clone, Copy, PartialEq)]
pub enum HandledVersion {
    /// This version is in force.
    InForce(Option<Version>),
    /// This version could not be read at the last check, which is logged once; reading is retried until it
    /// succeeds.
    Unread(Option<Version>),
}

/// The orders of one process.
pub struct Orders {
    store: ManualEjectionStore,
    inbox: Inbox,
    /// What the file said when it was last read.
    recorded: RefCell<ManualEjections>,
    pending: RefCell<PendingOrders>,
    /// Held by the order that is being recorded; the others wait in their order.
    recording: Mutex<()>,
}

impl Orders {
    /// No orders yet beside those in this file.
    pub fn new(store: ManualEjectionStore, inbox: Inbox) -> Rc<Self> {
        let (recorded, pending, recording) = Default::default();
        Rc::new(Orders { store, inbox, recorded, pending, recording })
    }

    /// Applies orders given to other processes of this sidecar, starting after the version handled.
    pub async fn follow(self: Rc<Self>, mut handled: HandledVersion) {
        loop {
            sleep(ORDER_CHECK_INTERVAL).await;
            handled = self.apply_new(handled).await;
        }
    }

    /// Puts the orders in the file in force if its version is not in force yet; returns the version
    /// handled.
    pub async fn apply_new(&self, handled: HandledVersion) -> HandledVersion {
        let version = self.store.version();
        if handled == HandledVersion::InForce(version) {
            return handled;
        }
        match self.store.read() {
            Ok(recorded) => {
                self.recorded.replace(recorded);
                self.apply().await;
                HandledVersion::InForce(version)
            }
            Err(problem) => {
                let unread = HandledVersion::Unread(version);
                if handled != unread {
                    error!("suspended endpoints: {problem}; what is in force stays");
                }
                unread
            }
        }
    }

    /// Carries out an order for the endpoint with this uid.
    pub async fn carry_out(self: &Rc<Self>, uid: &str, order: Order) -> OrderOutcome {
        match self.ask(|to| Input::IsKnown(uid.to_owned(), to)).await {
            Some(true) => {}
            Some(false) => return OrderOutcome::UnknownEndpoint,
            None => return OrderOutcome::Ending,
        }
        let Some(number) = self.pending.borrow_mut().add(uid, order) else { return OrderOutcome::TooMany };
        let (this, uid) = (self.clone(), uid.to_owned());
        // Goes on though its caller leaves.
        let recording = spawn_local({
            let uid = uid.clone();
            async move { this.record(number, &uid, order).await }
        });
        match timeout(RECORDING_TIMEOUT, recording).await {
            Ok(outcome) => outcome.unwrap_or(OrderOutcome::Ending),
            Err(_) => {
                let resumed_number = self.recorded.borrow().next_number();
                self.pending.borrow_mut().put_in_force(number, resumed_number);
                self.apply().await;
                info!(endpoint = uid, "operators: {uid}: in force, still to be recorded");
                OrderOutcome::NotRecordedYet
            }
        }
    }

    /// Records an order once those before it have been, and puts it in force. One that is in force already is tried until
    /// it is recorded.
    async fn record(&self, number: u64, uid: &str, order: Order) -> OrderOutcome {
        let _recording = self.recording.lock().await;
        loop {
            let outcome = self.try_to_record(uid, order).await;
            if !matches!(outcome, OrderOutcome::NotRecorded) || !self.pending.borrow().is_in_force(number) {
                self.pending.borrow_mut().remove(number);
                self.apply().await;
                return outcome;
            }
            sleep(RECORDING_RETRY_DELAY).await;
        }
    }

    async fn try_to_record(&self, uid: &str, order: Order) -> OrderOutcome {
        let (store, order_uid) = (self.store.clone(), uid.to_owned());
        // A slow disk must not delay requests.
        let (recorded, outcome) = match spawn_blocking(move || store.persist(&order_uid, order)).await {
            Ok(Ok(recorded)) => (recorded, OrderOutcome::Recorded),
            Ok(Err(ManualEjectionError::NotDurable(recorded, problem))) => {
                error!(endpoint = uid, "operators: {uid}: in force, but not durable: {problem}");
                (recorded, OrderOutcome::NotDurable)
            }
            Ok(Err(problem)) => {
                error!(endpoint = uid, "operators: {uid}: {problem}");
                return OrderOutcome::NotRecorded;
            }
            Err(_) => return OrderOutcome::NotRecorded,
        };
        // Another process may have replaced the file since.
        self.recorded.replace(self.store.read().unwrap_or(recorded));
        outcome
    }

    /// Puts what is recorded in force, with the pending orders that are.
    async fn apply(&self) {
        let in_force = self.pending.borrow().added_to(&self.recorded.borrow());
        let _ = self.ask(|done| Input::ManualEjections(in_force, done)).await; // fails only while the process ends
    }

    /// Sends an input to the driver and waits for its answer; none while the process ends.
    async fn ask<T>(&self, input: impl FnOnce(oneshot::Sender<T>) -> Input) -> Option<T> {
        let (to, answer) = oneshot::channel();
        self.inbox.send(input(to)).ok()?;
        answer.await.ok()
    }
}
