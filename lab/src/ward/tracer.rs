//! Runs the program stop by stop: each system call of each of its threads is seen at its beginning and its end.

use crate::calls::{Call, entered};
use crate::folder::{Folder, Opened};
use crate::registers::Registers;
use nix::errno::Errno;
use nix::libc::{EIO, ENOSPC};
use nix::sys::ptrace::{self, Options};
use nix::sys::signal::{Signal, kill};
use nix::sys::wait::{WaitPidFlag, WaitStatus, waitpid};
use nix::unistd::Pid;
use std::collections::HashMap;
use std::error::Error;
use std::ffi::OsString;
use std::io::{self, BufRead, Write};
use std::path::Path;
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

/// Stops itself, so that it can be seized before it does anything, and becomes the program.
const HALT: &str = "kill -STOP $$; exec \"$@\"";
/// How often threads that are held are looked at.
const LOOK: Duration = Duration::from_micros(200);

/// What has been ordered.
#[derive(Default)]
struct Orders {
    full: AtomicBool,
    failing: AtomicBool,
    paused: AtomicBool,
    lying: AtomicBool,
    slow_ms: AtomicU64,
    cut: OnceLock<u64>,
}

/// A call that a thread is in.
struct Inside {
    call: Call,
    opened: Option<Opened>,
    /// Changes of its file that were not durable when it began.
    pending: usize,
    /// It fails with this.
    error: Option<i32>,
}

#[derive(Default)]
struct Thread {
    in_call: bool,
    inside: Option<Inside>,
}

struct Tracer {
    pid: Pid,
    folder: Folder,
    orders: Arc<Orders>,
    threads: HashMap<Pid, Thread>,
    /// Threads that go on later, at a time or once the pause is over.
    held: Vec<(Pid, Instant)>,
}

/// Runs a program until it ends; the exit code that follows.
pub fn run(folder: &Path, standing: &[OsString], program: &[OsString]) -> Result<u8, Box<dyn Error>> {
    let folder = Folder::open(folder)?;
    let child = Command::new("/bin/sh").arg("-c").arg(HALT).arg("sh").args(program).spawn()?;
    let pid = Pid::from_raw(child.id() as i32);
    waitpid(pid, Some(WaitPidFlag::WUNTRACED))?;
    let options = Options::PTRACE_O_TRACESYSGOOD
        | Options::PTRACE_O_TRACECLONE
        | Options::PTRACE_O_TRACEFORK
        | Options::PTRACE_O_TRACEVFORK
        | Options::PTRACE_O_TRACEEXEC
        | Options::PTRACE_O_EXITKILL;
    ptrace::seize(pid, options)?;
    let orders = Arc::new(Orders::default());
    standing.iter().for_each(|order| carry_out(pid, &orders, &order.to_string_lossy()));
    let taking = orders.clone();
    thread::spawn(move || take(pid, &taking));
    writeln!(io::stdout(), "pid {pid}")?;
    let mut tracer = Tracer { pid, folder, orders, threads: HashMap::new(), held: Vec::new() };
    kill(pid, Signal::SIGCONT)?;
    let code = tracer.follow()?;
    if let Some(seed) = tracer.orders.cut.get() {
        tracer.folder.cut(*seed)?;
    }
    Ok(code)
}

/// Takes orders until there can be no more.
fn take(pid: Pid, orders: &Orders) {
    io::stdin().lock().lines().map_while(Result::ok).for_each(|line| carry_out(pid, orders, &line));
}

fn carry_out(pid: Pid, orders: &Orders, line: &str) {
    let (word, value) = line.split_once(' ').unwrap_or((line, ""));
    let on = value == "on";
    match word {
        "full" => orders.full.store(on, Ordering::SeqCst),
        "failing" => orders.failing.store(on, Ordering::SeqCst),
        "lying" => orders.lying.store(on, Ordering::SeqCst),
        "pause" => orders.paused.store(on, Ordering::SeqCst),
        "slow" => orders.slow_ms.store(value.parse().unwrap_or(0), Ordering::SeqCst),
        "cut" => {
            let _ = orders.cut.set(value.parse().unwrap_or(0)); // the first cut is the one that counts
            let _ = kill(pid, Signal::SIGKILL); // it may just have ended
        }
        _ => eprintln!("gullpulley-lab-ward: no order: {line}"),
    }
}

impl Tracer {
    fn follow(&mut self) -> Result<u8, Box<dyn Error>> {
        loop {
            let patient = if self.held.is_empty() { WaitPidFlag::empty() } else { WaitPidFlag::WNOHANG };
            match waitpid(None, Some(WaitPidFlag::__WALL | patient)) {
                Ok(WaitStatus::StillAlive) => thread::sleep(LOOK),
                Ok(WaitStatus::Exited(pid, code)) if pid == self.pid => return Ok(code as u8),
                Ok(WaitStatus::Signaled(pid, signal, _)) if pid == self.pid => {
                    return Ok(128 + signal as u8);
                }
                Ok(WaitStatus::Exited(pid, _) | WaitStatus::Signaled(pid, ..)) => {
                    self.threads.remove(&pid);
                    self.held.retain(|(held, _)| *held != pid);
                }
                Ok(WaitStatus::PtraceSyscall(pid)) => self.syscall(pid)?,
                Ok(WaitStatus::PtraceEvent(pid, _, event)) => {
                    if event == nix::libc::PTRACE_EVENT_EXEC {
                        self.threads.insert(pid, Thread { in_call: true, inside: None }); // within execve
                    }
                    self.go_on(pid, None)?;
                }
                // A stop of all its threads is not for them: who wants that says `pause`.
                Ok(WaitStatus::Stopped(pid, signal)) => {
                    let stops = [Signal::SIGSTOP, Signal::SIGTSTP];
                    self.go_on(pid, Some(signal).filter(|signal| !stops.contains(signal)))?;
                }
                Ok(WaitStatus::Continued(_)) | Err(Errno::EINTR) => {}
                Err(Errno::ECHILD) => return Ok(0),
                Err(e) => return Err(e.into()),
            }
            self.let_go()?;
        }
    }

    /// Lets those go on that were held for long enough.
    fn let_go(&mut self) -> Result<(), Errno> {
        if self.orders.paused.load(Ordering::SeqCst) {
            return Ok(());
        }
        let now = Instant::now();
        let (due, held) = self.held.drain(..).partition(|(_, until)| *until <= now);
        self.held = held;
        due.into_iter().try_for_each(|(pid, _)| resumed(ptrace::syscall(pid, None)))
    }

    fn go_on(&mut self, pid: Pid, signal: Option<Signal>) -> Result<(), Errno> {
        if signal.is_none() && self.orders.paused.load(Ordering::SeqCst) {
            self.held.push((pid, Instant::now()));
            return Ok(());
        }
        resumed(ptrace::syscall(pid, signal))
    }

    /// A thread is at the beginning of a call, or at its end.
    fn syscall(&mut self, pid: Pid) -> Result<(), Box<dyn Error>> {
        let thread = self.threads.entry(pid).or_default();
        thread.in_call = !thread.in_call;
        let Ok(mut registers) = Registers::read(pid) else { return Ok(()) }; // it has just been killed
        if thread.in_call {
            let Some(call) = entered(&registers) else { return Ok(self.go_on(pid, None)?) };
            let opened = call.fd().and_then(|fd| self.folder.opened(pid.as_raw(), fd));
            if call.fd().is_some() && opened.is_none() {
                return Ok(self.go_on(pid, None)?); // elsewhere
            }
            if let (Call::Unseen(_), Some(Opened::File(_))) = (call, &opened) {
                return Err("a file is changed in a way that can't be followed: mapped or copied".into());
            }
            let pending = match &opened {
                Some(Opened::File(file)) => self.folder.pending(*file),
                _ => 0,
            };
            let [_, _, byte_count, ..] = registers.arguments();
            let error = opened.as_ref().and_then(|opened| self.error(call, opened, byte_count));
            if error.is_some() {
                resumed(registers.suppress_call(pid))?;
            }
            let slow = self.orders.slow_ms.load(Ordering::SeqCst);
            let held = slow > 0 && !matches!(call, Call::Open(_));
            self.threads.entry(pid).or_default().inside = Some(Inside { call, opened, pending, error });
            if held {
                self.held.push((pid, Instant::now() + Duration::from_millis(slow)));
                return Ok(());
            }
            return Ok(self.go_on(pid, None)?);
        }
        if let Some(Inside { call, opened, pending, error }) = thread.inside.take() {
            if let Some(error) = error {
                resumed(registers.set_result(pid, i64::from(-error)))?;
            } else if registers.result() >= 0 {
                let opened = match call {
                    Call::Open(_) => self.folder.opened(pid.as_raw(), registers.result() as i32),
                    _ => opened,
                };
                // What it was told is durable stays to be cut.
                let lied = matches!(call, Call::Sync(_)) && self.orders.lying.load(Ordering::SeqCst);
                if let Some(opened) = opened.filter(|_| !lied) {
                    self.folder.done(pid.as_raw(), call, &opened, registers.result() as u64, pending)?;
                }
            }
        }
        Ok(self.go_on(pid, None)?)
    }

    /// The error with which a call fails by order.
    fn error(&self, call: Call, opened: &Opened, count: u64) -> Option<i32> {
        if self.orders.failing.load(Ordering::SeqCst) {
            return (!matches!(call, Call::Open(_))).then_some(EIO);
        }
        let Opened::File(file) = opened else { return None };
        let length = self.folder.length(*file);
        let grows = match call {
            Call::WriteAt(_, at) => at.saturating_add(count) > length,
            Call::Write(_) => true,
            Call::Truncate(_, to) | Call::Allocate(_, to) => to > length,
            _ => false,
        };
        (grows && self.orders.full.load(Ordering::SeqCst)).then_some(ENOSPC)
    }
}

/// A thread may be killed while it is stopped; its end is told by itself.
fn resumed(done: Result<(), Errno>) -> Result<(), Errno> {
    match done {
        Err(Errno::ESRCH) => Ok(()),
        done => done,
    }
}
