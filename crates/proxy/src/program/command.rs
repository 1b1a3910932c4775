//! The command line. Without any command the proxy serves, as the platform starts it.

use super::drain_progress::{status_line, wait_until_empty};
use super::leader_lease::LeaderLease;
use super::roll::{self, RequestedRollState, RollOptions};
use super::run::run;
use super::state::{self, StateWhat};
use asterramp_admin_protocol::{AdminClient, AdminCommand, AdminRequest, ProxyStatus};
use asterramp_operator_config::{OperatorConfig, parse_span};
use clap::{Args, CommandFactory, Parser, Subcommand};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

/// A proxy for long-lived connections. Without a command it serves by the configuration that LB_CONFIG names.
///
/// Exit codes: 0 done, 1 refused, failed or not done in time, 2 the command line is wrong.
#[derive(Parser)]
#[command(name = "asterramp", version)]
struct Cli {
    #[command(subcommand)]
    what: Option<What>,
}

#[derive(Args, Default)]
struct Files {
    /// The platform's configuration; LB_CONFIG if absent.
    #[arg(long)]
    config: Option<PathBuf>,
    /// The operator's file; ASTERRAMP_OPERATOR if absent, and nothing of it is on if that is too.
    #[arg(long)]
    operator: Option<PathBuf>,
}

#[derive(Args)]
struct At {
    /// The proxy's control socket.
    #[arg(long)]
    control: PathBuf,
}

#[derive(Subcommand)]
enum What {
    /// Serves until told to leave.
    Serve {
        #[command(flatten)]
        files: Files,
    },
    /// Checks both files and tells all that is wrong with them.
    Validate {
        #[command(flatten)]
        files: Files,
    },
    /// Tells how a proxy fares.
    Status {
        #[command(flatten)]
        at: At,
        /// As JSON, a line.
        #[arg(long)]
        json: bool,
        /// Again each second, until interrupted.
        #[arg(long)]
        watch: bool,
    },
    /// Empties a proxy: it takes no more from the front and moves its clients away.
    Drain {
        #[command(flatten)]
        at: At,
        /// By when it is to be empty, as in 60s; the operator's file says if absent.
        #[arg(long, value_parser = span)]
        deadline: Option<Duration>,
        /// Connections moved a second; by what the hosts can absorb if absent.
        #[arg(long)]
        pace: Option<f64>,
        /// Shows progress until it is empty.
        #[arg(long)]
        wait: bool,
    },
    /// Takes a proxy that drains back into service.
    Undrain {
        #[command(flatten)]
        at: At,
    },
    /// Patches proxies one after the other: drains, waits for the restart, waits till it carries its share.
    Roll {
        /// A control socket each, in order.
        #[arg(long, required = true, num_args = 1)]
        control: Vec<PathBuf>,
        #[arg(long, value_parser = span, default_value = "60s")]
        deadline: Duration,
        /// Run by the shell once a proxy is empty, with its socket in ASTERRAMP_CONTROL; without it somebody else
        /// restarts it.
        #[arg(long)]
        restart: Option<String>,
        /// How long a restart may take, and how long until it carries its share.
        #[arg(long, value_parser = span, default_value = "120s")]
        patience: Duration,
        /// A member of the store at which one owner at a time is chosen; without any, nobody keeps a second roll away.
        #[arg(long, num_args = 1)]
        store: Vec<std::net::SocketAddr>,
        /// What the roll is called at the store: who comes with the same name takes up the same roll where it stands.
        #[arg(long, requires = "store", value_parser = name)]
        name: Option<String>,
        /// After which the store gives the work of an owner away that says nothing.
        #[arg(long, value_parser = span, default_value = "6s")]
        session: Duration,
        /// What a restarted proxy holds to carry its share, as a part of what the others hold on average.
        #[arg(long, default_value_t = 0.3)]
        share: f64,
    },
    /// Looks after a roll that has one owner at a time, from anywhere.
    Fleet {
        #[command(subcommand)]
        what: FleetWhat,
    },
    /// Looks at what proxies keep on disk for their next start.
    State {
        #[command(subcommand)]
        what: StateWhat,
    },
    /// Prints completions for a shell.
    Completions { shell: clap_complete::Shell },
}

#[derive(Args)]
struct Work {
    /// A member of the store.
    #[arg(long, required = true, num_args = 1)]
    store: Vec<std::net::SocketAddr>,
    /// What the roll is called.
    #[arg(long, value_parser = name)]
    name: String,
}

#[derive(Subcommand)]
enum FleetWhat {
    /// Tells who owns the work and how far the roll is.
    Status(Work),
    /// No further proxy is begun until it is resumed.
    Pause(Work),
    Resume(Work),
    /// The roll ends where it stands; the proxy that is out is finished first.
    Cancel(Work),
}

fn fleet(what: FleetWhat) -> Result<(), String> {
    let (work, wish) = match what {
        FleetWhat::Status(work) => (work, None),
        FleetWhat::Pause(work) => (work, Some(RequestedRollState::Paused)),
        FleetWhat::Resume(work) => (work, Some(RequestedRollState::Running)),
        FleetWhat::Cancel(work) => (work, Some(RequestedRollState::Cancelled)),
    };
    let lease = LeaderLease::observe(work.store, Duration::from_secs(6));
    lease
        .wait_until_reachable(Duration::from_secs(5))
        .map_err(|error| error.to_string())?;
    let done = match wish {
        None => roll::print_status(&work.name, &lease),
        Some(wish) => roll::request_state(&work.name, &lease, wish),
    };
    lease.resign();
    done.map_err(String::from)
}

/// A node's name at the store.
fn name(text: &str) -> Result<String, String> {
    let good = (1..=64).contains(&text.len())
        && text.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-');
    if good {
        Ok(text.into())
    } else {
        Err(format!(
            "{text:?} is no name; allowed are letters, digits and -"
        ))
    }
}

fn span(text: &str) -> Result<Duration, String> {
    parse_span(text)
        .ok_or_else(|| format!("{text:?} is no time; allowed are a number and ms, s, m or h"))
}

/// Does what the command line says.
pub fn perform() -> ExitCode {
    let done = match Cli::parse().what.unwrap_or(What::Serve {
        files: Files::default(),
    }) {
        What::Serve { files } => serve(&files),
        What::Validate { files } => return validate(&files),
        What::Status { at, json, watch } => status(&at.control, json, watch),
        What::Drain {
            at,
            deadline,
            pace,
            wait,
        } => drain(&at.control, deadline, pace, wait),
        What::Undrain { at } => ask(&at.control, &AdminRequest::new(AdminCommand::Undrain))
            .map(|s| println!("{}", status_line(&s))),
        What::Roll {
            control,
            deadline,
            restart,
            patience,
            share,
            store,
            name,
            session,
        } => {
            let options = RollOptions {
                admin_sockets: control,
                drain_deadline: deadline,
                restart_command: restart,
                patience,
                min_share: share,
            };
            match name {
                _ if store.is_empty() => roll::roll_unguarded(&options).map_err(String::from),
                Some(name) => {
                    roll::roll_guarded(&options, &name, store, session).map_err(String::from)
                }
                None => Err("roll: --store wants a --name for the roll".into()),
            }
        }
        What::State { what } => state::perform(what),
        What::Fleet { what } => fleet(what),
        What::Completions { shell } => {
            clap_complete::generate(
                shell,
                &mut Cli::command(),
                "asterramp",
                &mut std::io::stdout(),
            );
            Ok(())
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("asterramp: {what}");
            ExitCode::FAILURE
        }
    }
}

/// A path as given, or as the environment has it.
fn path(given: Option<&PathBuf>, variable: &str) -> Option<String> {
    let given = given.map(|path| path.to_string_lossy().into_owned());
    given.or_else(|| std::env::var(variable).ok())
}

fn serve(files: &Files) -> Result<(), String> {
    let operator = path(files.operator.as_ref(), "ASTERRAMP_OPERATOR");
    run(
        path(files.config.as_ref(), "LB_CONFIG").as_deref(),
        operator.as_deref(),
    )
}

fn validate(files: &Files) -> ExitCode {
    let mut wrong = Vec::new();
    match path(files.config.as_ref(), "LB_CONFIG") {
        Some(config) => wrong.extend(super::config::ConfigFile::open(Some(&config)).err()),
        None => wrong.push("--config: neither it nor LB_CONFIG names a file".into()),
    }
    if let Some(operator) = path(files.operator.as_ref(), "ASTERRAMP_OPERATOR") {
        match std::fs::read_to_string(&operator) {
            Err(e) => wrong.push(format!("{operator}: {e}")),
            Ok(text) => {
                let problems = OperatorConfig::read(&text).err().unwrap_or_default();
                wrong.extend(
                    problems
                        .iter()
                        .map(|problem| format!("{operator}: {problem}")),
                );
            }
        }
    }
    wrong.iter().for_each(|what| eprintln!("asterramp: {what}"));
    if wrong.is_empty() {
        println!("good");
        return ExitCode::SUCCESS;
    }
    ExitCode::FAILURE
}

fn ask(control: &Path, request: &AdminRequest) -> Result<ProxyStatus, String> {
    AdminClient::connect(control)?.ask(request)
}

fn status(control: &Path, json: bool, watch: bool) -> Result<(), String> {
    let mut client = AdminClient::connect(control)?;
    loop {
        let status = client.ask(&AdminRequest::new(AdminCommand::Status))?;
        match json {
            true => println!(
                "{}",
                serde_json::to_string(&status).map_err(|e| e.to_string())?
            ),
            false => println!("{}", status_line(&status)),
        }
        if !watch {
            return Ok(());
        }
        std::thread::sleep(Duration::from_secs(1));
    }
}

fn drain(
    control: &Path,
    deadline: Option<Duration>,
    pace: Option<f64>,
    wait: bool,
) -> Result<(), String> {
    let deadline_ms = deadline.map(|span| span.as_millis() as u64);
    let mut client = AdminClient::connect(control)?;
    let status = client.ask(&AdminRequest {
        deadline_ms,
        pace,
        ..AdminRequest::new(AdminCommand::Drain)
    })?;
    println!("{}", status_line(&status));
    if wait {
        wait_until_empty(&mut client, deadline.unwrap_or(Duration::from_secs(86_400)))
            .map_err(String::from)
    } else {
        Ok(())
    }
}
