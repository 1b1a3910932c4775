//! The command line. Without any command the proxy serves, as the platform starts it.

use super::leader_lease::LeaderLease;
use super::roll::{self, Roll};
use super::run::run;
use super::state::{StateCommand, run_state_command};
use asterramp_admin_protocol::{AdminClient, AdminCommand, AdminRequest, ProxyStatus};
use asterramp_operator_config::{OperatorConfig, parse_span};
use clap::{Args, CommandFactory, Parser, Subcommand};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

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
        what: StateCommand,
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
        FleetWhat::Pause(work) => (work, Some(roll::RequestedRollState::Pause)),
        FleetWhat::Resume(work) => (work, Some(roll::RequestedRollState::GoOn)),
        FleetWhat::Cancel(work) => (work, Some(roll::RequestedRollState::Cancel)),
    };
    let claim = LeaderLease::look(work.store, Duration::from_secs(6));
    claim.reached(Duration::from_secs(5))?;
    let done = match wish {
        None => roll::tell(&work.name, &claim),
        Some(wish) => roll::wish(&work.name, &claim, wish),
    };
    claim.leave();
    done
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
            .map(|s| println!("{}", told(&s))),
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
            let order = Roll {
                control,
                deadline,
                restart,
                patience,
                share,
            };
            match name {
                _ if store.is_empty() => roll::roll(&order),
                Some(name) => roll::guarded(&order, &name, store, session),
                None => Err("roll: --store wants a --name for the roll".into()),
            }
        }
        What::State { what } => run_state_command(what).map_err(String::from),
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

/// A status as a line for people.
pub fn told(s: &ProxyStatus) -> String {
    let mut line = format!(
        "{}  {} open, {} pending, {} moved",
        s.state, s.open, s.pending, s.moved
    );
    let seconds = |ms: u64| ms as f64 / 1e3;
    if let Some(deadline) = s.deadline_ms {
        line += &format!(", {:.1} s left", seconds(deadline));
    }
    if let Some(expected) = s.expected_ms {
        line += &format!(", empty in {:.1} s at {:.0}/s", seconds(expected), s.pace);
    }
    let left: Vec<String> = s
        .left
        .iter()
        .map(|(name, n)| format!("{n} {name}"))
        .collect();
    if !left.is_empty() {
        line += &format!(" ({})", left.join(", "));
    }
    let discovery = s.discovery_ms.map_or("never heard".into(), |ms| {
        format!("heard {:.1} s ago", seconds(ms))
    });
    let carries = if s.carries {
        "another may be drained"
    } else {
        "no other should be drained"
    };
    line += &format!(
        "; {} of {} hosts ready, discovery {discovery}; {carries}",
        s.hosts_ready, s.hosts
    );
    if let Some(start) = s.start.iter().find(|start| start.stage != "normal") {
        line += &format!(
            "; start {} for {:.1} s",
            start.stage,
            seconds(start.since_ms)
        );
        start
            .sources
            .iter()
            .for_each(|(by, told, good)| line += &format!(", {by} {good} of {told} answer"));
    }
    for room in &s.refusals {
        let whys: Vec<String> = room
            .refused
            .iter()
            .map(|(why, n)| format!("{n} {why}"))
            .collect();
        if !whys.is_empty() {
            line += &format!("; {} refused for room: {}", room.listener, whys.join(", "));
        }
    }
    for place in s.places.iter().filter(|place| place.state != "whole") {
        line += &format!(
            "; {} {} for {:.1} s",
            place.name,
            place.state,
            seconds(place.since_ms)
        );
    }
    line
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
            false => println!("{}", told(&status)),
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
    println!("{}", told(&status));
    if wait {
        emptied(&mut client, deadline.unwrap_or(Duration::from_secs(86_400)))
    } else {
        Ok(())
    }
}

/// Shows progress until a proxy is empty; the bound is its deadline and a little for what comes up late.
pub fn emptied(client: &mut AdminClient, deadline: Duration) -> Result<(), String> {
    let until = Instant::now() + deadline + Duration::from_secs(5);
    loop {
        std::thread::sleep(Duration::from_millis(500));
        let status = client.ask(&AdminRequest::new(AdminCommand::Status))?;
        println!("{}", told(&status));
        match status.state.as_str() {
            "empty" => return Ok(()),
            "serving" => return Err("the drain was taken back".into()),
            _ if Instant::now() > until => return Err(format!("{} are still open", status.open)),
            _ => {}
        }
    }
}
