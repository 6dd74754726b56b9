//! Measures what this process holds, and divides the limits of the sidecar with its other processes.

use super::budget::Budget;
use super::hot_restart::ProcessRegistration;
use super::inbound::Inbound;
use super::message::{Inbox, Input};
use super::outbound::Outbound;
use super::own_memory::own_memory_kib;
use super::request_ids::RequestIds;
use super::shared_limits::{Limits, SharedLimits, Usage};
use gullpulley::config::{ADMIN_RESERVED_SOCKETS, RESERVED_SOCKETS};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};
use tracing::info;

/// Interval between checks for other processes of this sidecar, ...
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// ... and while there are any.
const OVERLAP_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// How long a new process waits until the others reckon with it.
const KNOWN_WAIT: Duration = Duration::from_millis(300);
const KNOWN_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// What the division of the limits concerns.
pub struct SharingContext {
    /// The limits on permits.
    pub budget: Rc<Budget>,
    /// The clients of this process.
    pub inbound: Rc<Inbound>,
    /// The connections to endpoints.
    pub outbound: Rc<Outbound>,
    /// The ids that processes tell each other.
    pub request_ids: Rc<RequestIds>,
    /// Where the number of processes is reported.
    pub inbox: Inbox,
}

/// Divides the limits on sockets and memory among the processes of this sidecar.
pub struct ProcessSharing {
    registration: ProcessRegistration,
    limits: RefCell<SharedLimits>,
    context: SharingContext,
    others: Cell<usize>,
    memory_kib: Cell<usize>,
}

impl ProcessSharing {
    /// Takes part in the division from now on.
    pub fn new(registration: ProcessRegistration, context: SharingContext) -> Self {
        let budget = &context.budget;
        let limits = Limits {
            memory_kib: budget.memory_kib(),
            permits_kib: budget.permits_kib(),
            sockets: budget.total_sockets(),
            reserved_sockets: RESERVED_SOCKETS + ADMIN_RESERVED_SOCKETS,
        };
        let limits = RefCell::new(SharedLimits::new(limits, registration.next_rank()));
        let (others, memory_kib) = Default::default();
        ProcessSharing { registration, limits, context, others, memory_kib }
    }

    /// Looks at the other processes and adjusts what this one may use; returns how many others there are.
    pub fn refresh(&self) -> usize {
        let others = self.registration.others();
        let SharingContext { budget, outbound, request_ids, inbox, .. } = &self.context;
        request_ids.find_other_processes(|process| self.registration.is_alive(process));
        let mut limits = self.limits.borrow_mut();
        let (allowance, record) = match others.len() {
            0 => limits.whole(),
            _ => limits.divide(self.usage(), &others),
        };
        drop(limits);
        budget.allow(allowance);
        self.registration.publish(record);
        if self.others.replace(others.len()) != others.len() {
            let _ = inbox.send(Input::SidecarProcesses(others.len() + 1)); // fails only while the process ends
            self.log(record.memory_kib);
        }
        outbound.pool.close_idle_over_budget();
        others.len()
    }

    /// Waits until the other processes reckon with this one: before that they may still take what this one would.
    pub async fn wait_until_known(&self) {
        let until = Instant::now() + KNOWN_WAIT;
        self.refresh();
        while Instant::now() < until && !self.limits.borrow().is_known_to(&self.registration.others()) {
            sleep(KNOWN_CHECK_INTERVAL).await;
        }
        self.limits.borrow_mut().set_initial(own_memory_kib().unwrap_or_default());
        self.refresh();
    }

    /// Adjusts what this process may use for as long as it lives.
    pub async fn run(self) {
        loop {
            let alone = self.others.get() == 0;
            sleep(if alone { CHECK_INTERVAL } else { OVERLAP_CHECK_INTERVAL }).await;
            self.context.inbound.set_other_process_serving(self.refresh() > 0);
        }
    }

    fn usage(&self) -> Usage {
        let SharingContext { budget, inbound, .. } = &self.context;
        if let Some(memory_kib) = own_memory_kib() {
            self.memory_kib.set(memory_kib);
        }
        Usage {
            memory_kib: self.memory_kib.get(),
            permits_kib: budget.permits_in_use_kib(),
            sockets: budget.sockets_in_use(),
            ending: inbound.is_ending(),
        }
    }

    fn log(&self, claimed_kib: usize) {
        let SharingContext { budget, .. } = &self.context;
        let allowance = budget.allowance();
        info!(
            others = self.others.get(),
            held_kib = own_memory_kib(),
            claimed_kib,
            permits_kib = budget.permits_in_use_kib(),
            allowed_permits_kib = (budget.permits_kib() as f64 * allowance.memory_share) as usize,
            sockets = budget.sockets_in_use(),
            allowed_sockets = allowance.sockets,
            "limits divided among processes"
        );
    }
}
