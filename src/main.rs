//! `gullpulley`: the command line and nothing else. The sidecar is in `net/`, its decisions in the library.
#![forbid(unsafe_code)]

mod admin_client;
mod logging;
mod net;

use admin_client::AdminError;
use clap::{Args, CommandFactory, Parser, Subcommand, ValueEnum};
use clap_complete::Shell;
use gullpulley::config::{Config, ConfigError, Vars, keys};
use logging::Logging;
use std::fmt::Display;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tokio::task::LocalSet;
use tracing::warn;

/// The process failed while it ran, or the door answered no.
const FAILED: u8 = 1;
/// The configuration or the command is at fault.
const AT_FAULT: u8 = 2;
/// No process answered at the door.
const UNREACHED: u8 = 3;

const CODES: &str = "\
Exit codes:
  0  done: the sidecar drained after SIGTERM, the file is right, the order is in force
  1  failed: the sidecar could not start or go on, or the door refused the order
  2  at fault: the configuration or the command line, named with file, line and key
  3  unreached: nobody answered at the operators' door

A first configuration:
  gullpulley config example > front.toml
  gullpulley check front.toml
  gullpulley run --config front.toml";

/// A load balancing sidecar: stands before your services, sends each request to the less busy of two endpoints,
/// tries again only where that is harmless, and gives up in time.
#[derive(Parser)]
#[command(name = "gullpulley", version, after_help = CODES)]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
    #[command(flatten)]
    run: Run,
}

#[derive(Subcommand)]
enum Command {
    /// Serve in the foreground until SIGTERM; done without a command where $ROUTER_CONFIG is set
    Run(Run),
    /// Read configurations and name every fault with file, line, key and what would be right
    Check {
        /// Files to read: an operator's TOML or the platform's JSON
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Show an example, or what holds
    Config {
        #[command(subcommand)]
        what: Shown,
    },
    /// Show whether a running sidecar takes clients, and its figures
    Status {
        #[command(flatten)]
        at: At,
        /// The figures as a JSON object
        #[arg(long)]
        json: bool,
    },
    /// Take an endpoint out: nothing new goes there until `resume`, also over a restart
    Suspend {
        #[command(flatten)]
        at: At,
        /// The endpoint's uid, as discovery lists it
        uid: String,
    },
    /// Use an endpoint again; it gets little at first, as one freshly started does
    Resume {
        #[command(flatten)]
        at: At,
        /// The endpoint's uid, as discovery lists it
        uid: String,
    },
    /// End a running sidecar as SIGTERM does: take no more clients, finish what was taken, exit
    Drain {
        #[command(flatten)]
        at: At,
    },
    /// Print a completion script for a shell
    Completions {
        /// The shell
        shell: Shell,
    },
}

#[derive(Args)]
struct Run {
    /// The configuration; without it the file that $ROUTER_CONFIG names
    #[arg(long, value_name = "FILE", env = "GULLPULLEY_CONFIG")]
    config: Option<PathBuf>,
    /// How the log is written, whatever log.format says
    #[arg(long, value_enum, value_name = "FORMAT")]
    log_format: Option<Format>,
    /// What is logged, whatever log.level says: error, warn, info, debug, trace, or such by target
    #[arg(long, value_name = "LEVEL")]
    log_level: Option<String>,
}

/// How the log is written.
#[derive(Clone, Copy, PartialEq, ValueEnum)]
enum Format {
    /// For people
    Text,
    /// A JSON object a line
    Json,
}

#[derive(Subcommand)]
enum Shown {
    /// A commented file with every key, ready for a trial on one machine
    Example,
    /// What holds, key by key, and where each value comes from: file and line, variable, or default
    Show {
        /// The file; without it the one that $GULLPULLEY_CONFIG or $ROUTER_CONFIG names
        #[arg(env = "GULLPULLEY_CONFIG")]
        file: Option<PathBuf>,
    },
}

/// Where a running sidecar's operators' door is.
#[derive(Args)]
struct At {
    /// The address of the operators' door
    #[arg(long, value_name = "ADDRESS", env = "GULLPULLEY_DOOR", conflicts_with = "config")]
    door: Option<SocketAddr>,
    /// A configuration that names the door as listen.operators
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
}

/// How a command ends where it does not end well.
struct Ended(u8, String);

fn main() -> ExitCode {
    let cli = Cli::parse();
    let done = match cli.command {
        None if cli.run.file().is_none() => {
            say(io::stderr(), &Cli::command().render_help());
            return ExitCode::from(AT_FAULT);
        }
        None => run(&cli.run),
        Some(Command::Run(args)) => run(&args),
        Some(Command::Check { files }) => check(&files),
        Some(Command::Config { what: Shown::Example }) => {
            say(io::stdout(), &keys::example().trim_end());
            Ok(())
        }
        Some(Command::Config { what: Shown::Show { file } }) => show(file),
        Some(Command::Status { at, json }) => at.ask(|door| admin_client::status(door, json)),
        Some(Command::Suspend { at, uid }) => {
            at.ask(|door| admin_client::post(door, &format!("endpoints/{uid}/suspend")))
        }
        Some(Command::Resume { at, uid }) => {
            at.ask(|door| admin_client::post(door, &format!("endpoints/{uid}/resume")))
        }
        Some(Command::Drain { at }) => at.ask(|door| admin_client::post(door, "drain")),
        Some(Command::Completions { shell }) => {
            let mut script = Vec::new();
            clap_complete::generate(shell, &mut Cli::command(), "gullpulley", &mut script);
            say(io::stdout(), &String::from_utf8_lossy(&script).trim_end());
            Ok(())
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(Ended(code, problem)) => {
            for line in problem.lines() {
                say(io::stderr(), &format_args!("gullpulley: {line}"));
            }
            ExitCode::from(code)
        }
    }
}

/// Writes a line where somebody may read it; who closed the stream misses it, and nothing else happens.
fn say(mut to: impl Write, line: &dyn Display) {
    let _ = writeln!(to, "{line}");
}

impl Run {
    fn file(&self) -> Option<PathBuf> {
        self.config.clone().or_else(told)
    }
}

/// The file that the platform names.
fn told() -> Option<PathBuf> {
    std::env::var_os("ROUTER_CONFIG").map(PathBuf::from)
}

impl From<AdminError> for Ended {
    fn from(error: AdminError) -> Self {
        let code = match error {
            AdminError::InvalidRequest(_) => AT_FAULT,
            AdminError::NoAnswer(..) => UNREACHED,
            AdminError::Refused(..) => FAILED,
        };
        Ended(code, error.to_string())
    }
}

impl At {
    /// Asks the door, and shows what it answers.
    fn ask(&self, call: impl FnOnce(SocketAddr) -> Result<String, AdminError>) -> Result<(), Ended> {
        let answer = call(self.address()?)?;
        say(io::stdout(), &answer.trim_end());
        Ok(())
    }

    fn address(&self) -> Result<SocketAddr, Ended> {
        if let Some(door) = self.door {
            return Ok(door);
        }
        let remedy = "name a door with --door ADDRESS, or a configuration that has one with --config FILE";
        let file = self.config.as_ref().ok_or_else(|| Ended(AT_FAULT, remedy.to_owned()))?;
        let no_door = || Ended(AT_FAULT, format!("{}: listen.operators: there is no door", file.display()));
        load(file)?.control.ok_or_else(no_door)
    }
}

fn load(file: &Path) -> Result<Config, Ended> {
    Config::load(file, &Vars::from_environment()).map_err(|faults| Ended(AT_FAULT, faults.to_string()))
}

fn run(args: &Run) -> Result<(), Ended> {
    let unnamed =
        || Ended(AT_FAULT, "name a configuration with --config FILE or $ROUTER_CONFIG".to_owned());
    let file = args.file().ok_or_else(unnamed)?;
    let mut config = load(&file)?;
    config.log.level = args.log_level.clone().unwrap_or(config.log.level);
    config.log.json = args.log_format.map_or(config.log.json, |format| format == Format::Json);
    let log = Logging::start(&config.log).map_err(|e| Ended(AT_FAULT, e.to_string()))?;
    for fault in &config.list_faults {
        warn!("{fault}; no endpoint is known until discovery tells");
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| Ended(FAILED, e.to_string()))?;
    let served = LocalSet::new().block_on(&runtime, net::run(config, file, log.handle()));
    log.shutdown();
    served.map_err(|problem| Ended(FAILED, problem))
}

fn check(files: &[PathBuf]) -> Result<(), Ended> {
    // What a file says is checked by itself: variables of this shell are not those of the process to be.
    let read = files.iter().map(|file| (file, Config::load(file, &Vars::default())));
    let mut faults = Vec::new();
    for (file, config) in read {
        match config {
            Ok(config) if !config.list_faults.is_empty() => {
                faults.push(ConfigError(config.list_faults).to_string());
            }
            Ok(_) => say(io::stdout(), &format_args!("{}: right", file.display())),
            Err(error) => faults.push(error.to_string()),
        }
    }
    if faults.is_empty() { Ok(()) } else { Err(Ended(AT_FAULT, faults.join("\n"))) }
}

fn show(file: Option<PathBuf>) -> Result<(), Ended> {
    let file = file.or_else(told);
    let file = file.ok_or_else(|| Ended(AT_FAULT, "name a file".to_owned()))?;
    let (config, vars) = (load(&file)?, Vars::from_environment());
    let origins = config.origins(&file, &vars);
    for (key, value) in config.entries() {
        let origin = origins.get(&key).map_or("default", String::as_str);
        say(io::stdout(), &format_args!("{:<60} # {origin}", format!("{key} = {value}")));
    }
    Ok(())
}
