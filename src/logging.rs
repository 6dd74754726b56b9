//! The log: lines with a level, a target and fields, on standard error. A thread of its own writes them; the one
//! that serves hands them over and never waits: where nobody reads, lines are dropped and counted.

use gullpulley::config::Log;
use std::io::{self, IsTerminal, Stderr, Write};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use thiserror::Error;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{Registry, fmt, reload};

/// Lines that wait to be written; one more is dropped.
const LINES_MOST: usize = 1024;
/// At the end the last lines are waited for no longer than this: nobody may be reading.
const LAST_LINES: Duration = Duration::from_millis(300);

/// Why there is no log.
#[derive(Debug, Error)]
pub enum LogError {
    /// The level is none.
    #[error("log.level: `{0}` is no level")]
    Level(String),
    /// There is one already, or it could not be changed.
    #[error("the log: {0}")]
    Set(String),
}

/// The log of this process.
pub struct Logging {
    worker: WorkerGuard,
    handle: LogHandle,
}

/// What may be asked of the log while it runs.
#[derive(Clone)]
pub struct LogHandle {
    levels: reload::Handle<Targets, Registry>,
    dropped: ErrorCounter,
}

/// Standard error. A closed one is no fault of a line, and nobody could be told.
struct Sink(Stderr);

impl Write for Sink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        Ok(self.0.write(bytes).unwrap_or(bytes.len()))
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Logging {
    /// Starts it: from now on every line goes there.
    pub fn start(log: &Log) -> Result<Self, LogError> {
        let (levels, handle) = reload::Layer::new(targets(&log.level)?);
        let builder = NonBlockingBuilder::default().buffered_lines_limit(LINES_MOST).lossy(true);
        let (writer, worker) = builder.thread_name("log").finish(Sink(io::stderr()));
        let handle = LogHandle { levels: handle, dropped: writer.error_counter() };
        let registry = tracing_subscriber::registry().with(levels);
        let lines = fmt::layer().with_writer(writer);
        let set = if log.json {
            let lines = lines.json().flatten_event(true).with_current_span(false).with_span_list(false);
            registry.with(lines).try_init()
        } else {
            registry.with(lines.with_ansi(io::stderr().is_terminal())).try_init()
        };
        set.map_err(|e| LogError::Set(e.to_string()))?;
        Ok(Logging { worker, handle })
    }

    /// What may be asked of it.
    pub fn handle(&self) -> LogHandle {
        self.handle.clone()
    }

    /// Writes what is left, as far as somebody reads.
    pub fn end(self) {
        let (over, waiting) = mpsc::channel::<()>();
        // Where nobody reads, the worker's own end waits for a second and then writes of that to standard output,
        // which may be the same pipe: the process must not hang there.
        let ending = thread::Builder::new().spawn(move || {
            drop(self.worker);
            drop(over);
        });
        if ending.is_ok() {
            let _ = waiting.recv_timeout(LAST_LINES);
        }
    }
}

impl LogHandle {
    /// Changes the level, or levels by target.
    pub fn set_level(&self, level: &str) -> Result<(), LogError> {
        self.levels.reload(targets(level)?).map_err(|e| LogError::Set(e.to_string()))
    }

    /// Lines dropped since the start, as nobody read.
    pub fn dropped(&self) -> u64 {
        self.dropped.dropped_lines() as u64
    }
}

fn targets(level: &str) -> Result<Targets, LogError> {
    level.parse().map_err(|_| LogError::Level(level.to_owned()))
}
