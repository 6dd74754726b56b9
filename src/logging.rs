//! Logging to standard error: lines with a level, a target and fields. A dedicated thread writes them; the thread
//! that serves requests queues them and never blocks: when standard error is not read, lines are dropped and
//! counted.

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

/// Lines queued for the writer thread; a line that finds the queue full is dropped.
const MAX_QUEUED_LINES: usize = 1024;
/// How long shutdown waits for the queued lines to be written: standard error may have no reader.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// Why logging could not be started or its level not be changed.
#[derive(Debug, Error)]
pub enum LogError {
    /// The text is neither a level nor a list of levels by target.
    #[error("log.level: `{0}` is not a valid level")]
    InvalidLevel(String),
    /// A global subscriber is already installed, or the level filter could not be replaced.
    #[error("logging: {0}")]
    Subscriber(String),
}

/// Logging of this process, with the thread that writes the lines.
pub struct Logging {
    worker: WorkerGuard,
    handle: LogHandle,
}

/// Changes the log level and reads the count of dropped lines while the process runs.
#[derive(Clone)]
pub struct LogHandle {
    filter: reload::Handle<Targets, Registry>,
    dropped: ErrorCounter,
}

/// Standard error without write errors: when it is closed, there is nowhere left to report that.
struct BestEffortStderr(Stderr);

impl Write for BestEffortStderr {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        Ok(self.0.write(bytes).unwrap_or(bytes.len()))
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Logging {
    /// Installs the global subscriber: every line logged from now on goes to standard error.
    pub fn start(log: &Log) -> Result<Self, LogError> {
        let (filter, filter_handle) = reload::Layer::new(parse_targets(&log.level)?);
        let builder = NonBlockingBuilder::default().buffered_lines_limit(MAX_QUEUED_LINES).lossy(true);
        let (writer, worker) = builder.thread_name("log").finish(BestEffortStderr(io::stderr()));
        let handle = LogHandle { filter: filter_handle, dropped: writer.error_counter() };
        let registry = tracing_subscriber::registry().with(filter);
        let layer = fmt::layer().with_writer(writer);
        let installed = if log.json {
            let layer = layer.json().flatten_event(true).with_current_span(false).with_span_list(false);
            registry.with(layer).try_init()
        } else {
            registry.with(layer.with_ansi(io::stderr().is_terminal())).try_init()
        };
        installed.map_err(|e| LogError::Subscriber(e.to_string()))?;
        Ok(Logging { worker, handle })
    }

    /// A handle for use while the process runs.
    pub fn handle(&self) -> LogHandle {
        self.handle.clone()
    }

    /// Stops the writer thread once it has written the queued lines, or gives up on it after `FLUSH_TIMEOUT`.
    pub fn shutdown(self) {
        let (done_sender, done_receiver) = mpsc::channel::<()>();
        // When standard error is not read, dropping the worker guard waits for a second and then reports the
        // time-out on standard output, which may be the same pipe: the process must not hang there.
        let flusher = thread::Builder::new().spawn(move || {
            drop(self.worker);
            drop(done_sender);
        });
        if flusher.is_ok() {
            let _ = done_receiver.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

impl LogHandle {
    /// Sets the level, or a list of levels by target.
    pub fn set_level(&self, level: &str) -> Result<(), LogError> {
        self.filter.reload(parse_targets(level)?).map_err(|e| LogError::Subscriber(e.to_string()))
    }

    /// Lines dropped since the start because the queue was full.
    pub fn dropped(&self) -> u64 {
        self.dropped.dropped_lines() as u64
    }
}

fn parse_targets(level: &str) -> Result<Targets, LogError> {
    level.parse().map_err(|_| LogError::InvalidLevel(level.to_owned()))
}
