//! The process that the library was loaded into: its plan, its time, which of its descriptors are its own connections,
//! and the file where injected faults are noted.

use crate::draws::Draws;
use crate::plan::{Plan, VARIABLE};
use crate::real;
use libc::c_int;
use std::ffi::CString;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Descriptors that are followed; copies have fewer.
const DESCRIPTORS: usize = 4096;
/// How a process ends that was given a plan that can't be read.
const UNREADABLE: c_int = 97;

/// What the calls in front of the C library's need.
pub struct Process {
    pub plan: Plan,
    pub draws: Draws,
    began: Instant,
    log: Option<c_int>,
    /// Connections that this process made.
    made: [AtomicBool; DESCRIPTORS],
}

static PROCESS: OnceLock<Option<Process>> = OnceLock::new();

/// Reads the plan as the library is loaded: calls before that, and those made here, go straight to the C library.
#[used]
#[unsafe(link_section = ".init_array")]
static LOADED: extern "C" fn() = begin;

extern "C" fn begin() {
    let _ = PROCESS.set(Process::begin()); // called once
}

/// This process, where it was given a plan.
pub fn process() -> Option<&'static Process> {
    PROCESS.get()?.as_ref()
}

impl Process {
    fn begin() -> Option<Process> {
        let text = std::env::var(VARIABLE).ok()?;
        let plan: Plan = match text.parse() {
            Ok(plan) => plan,
            Err(problem) => {
                eprintln!("{VARIABLE}: {problem}");
                std::process::exit(UNREADABLE);
            }
        };
        let log = CString::new(plan.log.clone()).ok().filter(|path| !path.is_empty());
        let log = log.and_then(|path| real::open_log(&path));
        let draws = Draws::new(plan.seed ^ u64::from(std::process::id()));
        let made = [const { AtomicBool::new(false) }; DESCRIPTORS];
        let process = Process { plan, draws, began: Instant::now(), log, made };
        process.note("loaded", "by LD_PRELOAD");
        Some(process)
    }

    /// How long it has lived.
    pub fn age(&self) -> Duration {
        self.began.elapsed()
    }

    /// Whether a fault of a socket or a wait that has this part of a chance happens now.
    pub fn strikes(&self, part: f64) -> bool {
        part > 0.0
            && self.plan.during.is_none_or(|during| during.holds(self.age()))
            && self.draws.chance(part)
    }

    /// Whether the disk fails now.
    pub fn disk_fails(&self) -> bool {
        !self.plan.disk.is_empty() && self.plan.disk.iter().any(|span| span.holds(self.age()))
    }

    /// Notes whether a descriptor is a connection that this process made.
    pub fn set_made(&self, descriptor: c_int, made: bool) {
        if let Some(flag) = usize::try_from(descriptor).ok().and_then(|number| self.made.get(number)) {
            flag.store(made, Ordering::Relaxed);
        }
    }

    /// Whether a descriptor is a connection that this process made.
    pub fn has_made(&self, descriptor: c_int) -> bool {
        let number = usize::try_from(descriptor).ok();
        number.and_then(|number| self.made.get(number)).is_some_and(|flag| flag.load(Ordering::Relaxed))
    }

    /// Notes a fault that was injected.
    pub fn note(&self, call: &str, what: &str) {
        if let Some(log) = self.log {
            real::write_log(log, &format!("{} {call} {what}\n", self.age().as_millis()));
        }
    }
}
