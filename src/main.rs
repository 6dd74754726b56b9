//! The command line of `gullpulley`. The sidecar itself is in `net/`, its load balancing policy in the library.
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
use tikv_jemallocator::Jemalloc;
use tokio::task::LocalSet;
use tracing::warn;

/// Gives freed memory back to the system, see `.cargo/config.toml`.
#[global_allocator]
static ALLOCATOR: Jemalloc = Jemalloc;

/// The sidecar could not start or go on, or the admin API refused the command.
const EXIT_FAILED: u8 = 1;
/// The configuration or the command line is invalid.
const EXIT_INVALID: u8 = 2;
/// No process answered at the address of the admin API.
const EXIT_UNREACHABLE: u8 = 3;

const AFTER_HELP: &str = "\
Exit codes:
  0  success: the sidecar drained after SIGTERM, the file is valid, the command is in effect
  1  failed: the sidecar could not start or go on, or the admin API refused the command
  2  invalid: the configuration or the command line has errors, reported with file, line and key
  3  unreachable: no sidecar answered at the address of the admin API

A first configuration:
  gullpulley config example > front.toml
  gullpulley check front.toml
  gullpulley run --config front.toml";

/// A load balancing sidecar: sends each request for your services to the less busy of two endpoints, retries only
/// where that is safe, and gives up within the deadline.
#[derive(Parser)]
#[command(name = "gullpulley", version, after_help = AFTER_HELP)]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
    #[command(flatten)]
    run: Run,
}

#[derive(Subcommand)]
enum Command {
    /// Serve in the foreground until SIGTERM; the default command when $ROUTER_CONFIG is set
    Run(Run),
    /// Validate configurations and report every error with file, line, key and how to fix it
    Check {
        /// Files to validate: an operator's TOML or the platform's JSON
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Show an example configuration, or the settings in effect
    Config {
        #[command(subcommand)]
        what: ConfigCommand,
    },
    /// Show whether a running sidecar accepts clients, and its metrics
    Status {
        #[command(flatten)]
        at: AdminAddress,
        /// Print the metrics as a JSON object
        #[arg(long)]
        json: bool,
    },
    /// Eject an endpoint: it gets no new requests until `resume`, even after a restart
    Suspend {
        #[command(flatten)]
        at: AdminAddress,
        /// The endpoint's uid, as discovery lists it
        uid: String,
    },
    /// Use an endpoint again; like a newly started one, it goes through slow start
    Resume {
        #[command(flatten)]
        at: AdminAddress,
        /// The endpoint's uid, as discovery lists it
        uid: String,
    },
    /// Stop a running sidecar as SIGTERM does: accept no more clients, finish accepted requests, exit
    Drain {
        #[command(flatten)]
        at: AdminAddress,
    },
    /// Print a completion script for a shell
    Completions {
        /// The shell
        shell: Shell,
    },
}

#[derive(Args)]
struct Run {
    /// The configuration file; by default the one that $ROUTER_CONFIG names
    #[arg(long, value_name = "FILE", env = "GULLPULLEY_CONFIG")]
    config: Option<PathBuf>,
    /// The format of the log; overrides log.format
    #[arg(long, value_enum, value_name = "FORMAT")]
    log_format: Option<LogFormat>,
    /// The log level; overrides log.level: error, warn, info, debug, trace, or a list of levels by target
    #[arg(long, value_name = "LEVEL")]
    log_level: Option<String>,
}

/// The format of the log.
#[derive(Clone, Copy, PartialEq, ValueEnum)]
enum LogFormat {
    /// Plain text, for people
    Text,
    /// One JSON object per line
    Json,
}

#[derive(Subcommand)]
enum ConfigCommand {
    /// Print a commented file with every key, ready to try on one machine
    Example,
    /// Print each setting in effect and its source: file and line, environment variable, or default
    Show {
        /// The configuration file; by default the one that $GULLPULLEY_CONFIG or $ROUTER_CONFIG names
        #[arg(env = "GULLPULLEY_CONFIG")]
        file: Option<PathBuf>,
    },
}

/// The address of a running sidecar's admin API.
#[derive(Args)]
struct AdminAddress {
    /// The address of the admin API
    #[arg(long = "door", value_name = "ADDRESS", env = "GULLPULLEY_DOOR", conflicts_with = "config")]
    address: Option<SocketAddr>,
    /// A configuration file that sets that address as listen.operators
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
}

/// The exit code of a command that failed, and the message to print.
struct CommandError(u8, String);

fn main() -> ExitCode {
    let cli = Cli::parse();
    let result = match cli.command {
        None if cli.run.config_file().is_none() => {
            print_line(io::stderr(), &Cli::command().render_help());
            return ExitCode::from(EXIT_INVALID);
        }
        None => run(&cli.run),
        Some(Command::Run(args)) => run(&args),
        Some(Command::Check { files }) => check(&files),
        Some(Command::Config { what: ConfigCommand::Example }) => {
            print_line(io::stdout(), &keys::example().trim_end());
            Ok(())
        }
        Some(Command::Config { what: ConfigCommand::Show { file } }) => show(file),
        Some(Command::Status { at, json }) => at.call(|address| admin_client::status(address, json)),
        Some(Command::Suspend { at, uid }) => {
            at.call(|address| admin_client::post(address, &format!("endpoints/{uid}/suspend")))
        }
        Some(Command::Resume { at, uid }) => {
            at.call(|address| admin_client::post(address, &format!("endpoints/{uid}/resume")))
        }
        Some(Command::Drain { at }) => at.call(|address| admin_client::post(address, "drain")),
        Some(Command::Completions { shell }) => {
            let mut script = Vec::new();
            clap_complete::generate(shell, &mut Cli::command(), "gullpulley", &mut script);
            print_line(io::stdout(), &String::from_utf8_lossy(&script).trim_end());
            Ok(())
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(CommandError(code, message)) => {
            for line in message.lines() {
                print_line(io::stderr(), &format_args!("gullpulley: {line}"));
            }
            ExitCode::from(code)
        }
    }
}

/// Writes a line to standard output or error. Errors are ignored: a closed stream must not fail the command.
fn print_line(mut stream: impl Write, line: &dyn Display) {
    let _ = writeln!(stream, "{line}");
}

impl Run {
    fn config_file(&self) -> Option<PathBuf> {
        self.config.clone().or_else(platform_config_file)
    }
}

/// The configuration file that the platform names.
fn platform_config_file() -> Option<PathBuf> {
    std::env::var_os("ROUTER_CONFIG").map(PathBuf::from)
}

impl From<AdminError> for CommandError {
    fn from(error: AdminError) -> Self {
        let code = match error {
            AdminError::InvalidRequest(_) => EXIT_INVALID,
            AdminError::NoAnswer(..) => EXIT_UNREACHABLE,
            AdminError::Refused(..) => EXIT_FAILED,
        };
        CommandError(code, error.to_string())
    }
}

impl AdminAddress {
    /// Calls the admin API and prints its answer.
    fn call(
        &self,
        request: impl FnOnce(SocketAddr) -> Result<String, AdminError>,
    ) -> Result<(), CommandError> {
        let answer = request(self.resolve()?)?;
        print_line(io::stdout(), &answer.trim_end());
        Ok(())
    }

    fn resolve(&self) -> Result<SocketAddr, CommandError> {
        if let Some(address) = self.address {
            return Ok(address);
        }
        let usage = "no admin API given: use --door ADDRESS, or --config FILE with listen.operators set";
        let file = self.config.as_ref().ok_or_else(|| CommandError(EXIT_INVALID, usage.to_owned()))?;
        let not_set = || {
            CommandError(
                EXIT_INVALID,
                format!("{}: listen.operators: not set, so there is no admin API", file.display()),
            )
        };
        load(file)?.control.ok_or_else(not_set)
    }
}

fn load(file: &Path) -> Result<Config, CommandError> {
    Config::load(file, &Vars::from_environment())
        .map_err(|error| CommandError(EXIT_INVALID, error.to_string()))
}

fn run(args: &Run) -> Result<(), CommandError> {
    let no_file = || {
        CommandError(EXIT_INVALID, "give a configuration with --config FILE or $ROUTER_CONFIG".to_owned())
    };
    let file = args.config_file().ok_or_else(no_file)?;
    let mut config = load(&file)?;
    config.log.level = args.log_level.clone().unwrap_or(config.log.level);
    config.log.json = args.log_format.map_or(config.log.json, |format| format == LogFormat::Json);
    let log = Logging::start(&config.log).map_err(|e| CommandError(EXIT_INVALID, e.to_string()))?;
    for error in &config.list_faults {
        warn!("{error}; no endpoint is known until discovery tells");
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| CommandError(EXIT_FAILED, e.to_string()))?;
    let outcome = LocalSet::new().block_on(&runtime, net::run(config, file, log.handle()));
    log.shutdown();
    outcome.map_err(|message| CommandError(EXIT_FAILED, message))
}

fn check(files: &[PathBuf]) -> Result<(), CommandError> {
    // Environment variables are left out: those of this shell are not those that the sidecar will run with.
    let loaded = files.iter().map(|file| (file, Config::load(file, &Vars::default())));
    let mut errors = Vec::new();
    for (file, config) in loaded {
        match config {
            Ok(config) if !config.list_faults.is_empty() => {
                errors.push(ConfigError(config.list_faults).to_string());
            }
            Ok(_) => print_line(io::stdout(), &format_args!("{}: right", file.display())),
            Err(error) => errors.push(error.to_string()),
        }
    }
    if errors.is_empty() { Ok(()) } else { Err(CommandError(EXIT_INVALID, errors.join("\n"))) }
}

fn show(file: Option<PathBuf>) -> Result<(), CommandError> {
    let file = file.or_else(platform_config_file);
    let file = file.ok_or_else(|| CommandError(EXIT_INVALID, "give a configuration file".to_owned()))?;
    let (config, vars) = (load(&file)?, Vars::from_environment());
    let origins = config.origins(&file, &vars);
    for (key, value) in config.entries() {
        let origin = origins.get(&key).map_or("default", String::as_str);
        print_line(io::stdout(), &format_args!("{:<60} # {origin}", format!("{key} = {value}")));
    }
    Ok(())
}
