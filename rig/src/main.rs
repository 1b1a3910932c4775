//! The command line of the rig.

use asterramp_rig::baseline::{self, Break, Policy};
use asterramp_rig::proxies::Program;
use asterramp_rig::report::Report;
use asterramp_rig::run::{Fault, Job, Ran, own_folder, own_proxy, run};
use asterramp_rig::scenario::Scenario;
use clap::{Args, Parser, Subcommand};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// A stand-in world on loopback around asterramp: hosts, clients, discovery, faults, and a judge of the rules.
///
/// Exit codes: 0 the rules held, 1 a rule was broken, 2 bad input, 3 void (the rig ran late, or something of
/// its own failed).
#[derive(Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Half a minute with three proxies and nine hosts: a hang, a drain, a proxy's death.
    Demo(Common),
    /// Plays a scenario once.
    Run {
        /// A scenario's file.
        scenario: PathBuf,
        #[command(flatten)]
        common: Common,
    },
    /// A plain proxy that knows nothing of load, for comparison only; configured as the platform does.
    PlainProxy {
        policy: Policy,
        /// Breaks one rule on purpose.
        #[arg(long = "break")]
        breaks: Option<Break>,
    },
}

#[derive(Args, Clone)]
struct Common {
    /// What chance is drawn from; the scenario's own if absent.
    #[arg(long)]
    seed: Option<u64>,
    /// Adds faults drawn from this number.
    #[arg(long)]
    chaos: Option<u64>,
    /// The proxy's program; the one built beside this if absent.
    #[arg(long)]
    proxy: Option<PathBuf>,
    /// Plays with a plain proxy instead.
    #[arg(long, conflicts_with = "proxy")]
    baseline: Option<Policy>,
    /// What the plain proxy does wrong.
    #[arg(long = "break", requires = "baseline")]
    breaks: Option<Break>,
    /// Writes report.json, plots and the proxies' logs into this folder.
    #[arg(long)]
    report: Option<PathBuf>,
    /// Prints the report as JSON instead of the table.
    #[arg(long)]
    json: bool,
}

const DEMO: &str = include_str!("../scenarios/demo.toml");

fn main() -> ExitCode {
    let cli = Cli::parse();
    let log = tracing_subscriber::fmt().with_writer(std::io::stderr).with_target(false).without_time();
    log.with_max_level(tracing::Level::INFO).init();
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => return fail(&Fault::Run(e.to_string())),
    };
    let done = runtime.block_on(async {
        let work = perform(cli.what);
        tokio::select! {
            done = work => done,
            // Dropping the run ends its proxies.
            _ = tokio::signal::ctrl_c() => Err(Fault::Run("interrupted".into())),
        }
    });
    // Children are ended by their handles; nothing else is waited for.
    runtime.shutdown_timeout(std::time::Duration::from_millis(500));
    done.unwrap_or_else(|fault| fail(&fault))
}

fn fail(fault: &Fault) -> ExitCode {
    let (code, what) = match fault {
        Fault::Input(what) => (2, what),
        Fault::Run(what) => (3, what),
    };
    eprintln!("asterramp-rig: {what}");
    ExitCode::from(code)
}

async fn perform(what: What) -> Result<ExitCode, Fault> {
    match what {
        What::Demo(common) => one(Scenario::read(DEMO).map_err(Fault::Input)?, &common).await,
        What::Run { scenario, common } => {
            one(Scenario::open(&scenario).map_err(Fault::Input)?, &common).await
        }
        What::PlainProxy { policy, breaks } => {
            baseline::run(policy, breaks).await.map_err(Fault::Input)?;
            Ok(ExitCode::SUCCESS)
        }
    }
}

fn program(common: &Common) -> Result<Program, Fault> {
    let own = std::env::current_exe().map_err(|e| Fault::Run(e.to_string()))?;
    if let Some(policy) = common.baseline {
        return Ok(baseline::program(&own, policy, common.breaks));
    }
    let path = match &common.proxy {
        Some(path) => path.clone(),
        None => own_proxy(&own).ok_or_else(|| {
            Fault::Input("no asterramp beside this program; build it, or name it by --proxy".into())
        })?,
    };
    if !path.is_file() {
        return Err(Fault::Input(format!("--proxy: {} is no file", path.display())));
    }
    Ok(Program { name: name(&path), path, args: Vec::new() })
}

fn name(path: &Path) -> String {
    path.file_name().unwrap_or_default().to_string_lossy().into_owned()
}

async fn one(scenario: Scenario, common: &Common) -> Result<ExitCode, Fault> {
    let (seed, program) = (common.seed.unwrap_or(scenario.seed), program(common)?);
    let name = program.name.clone();
    let folder = common.report.clone().unwrap_or_else(own_folder);
    let job = Job { seed, chaos: common.chaos, program, folder: folder.clone(), progress: true };
    let ran = run(scenario, &job).await;
    if common.report.is_none() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    let ran: Ran = ran?;
    let report = Report::of(&ran, &name, seed, common.chaos);
    if common.report.is_some() {
        report.write(&folder, &ran).map_err(Fault::Run)?;
    }
    if common.json {
        println!("{}", serde_json::to_string_pretty(&report).unwrap_or_default());
    } else {
        print!("{}", report.table());
    }
    Ok(ExitCode::from(match (report.void, report.rules_held) {
        (true, _) => 3,
        (false, held) => u8::from(!held),
    }))
}
