//! The command line of the rig.
#![allow(
    missing_docs,
    unreachable_pub,
    missing_debug_implementations,
    rust_2018_idioms
)] // Not yet brought to the workspace lints.
#![allow(clippy::too_many_lines, clippy::cognitive_complexity)] // Not yet brought to the workspace lints.

use asterramp_testbed::baseline::{self, Break, Policy};
use asterramp_testbed::compare::{self, Difference};
use asterramp_testbed::drain_measurement::{self, DrainMethod};
use asterramp_testbed::journal::Journal;
use asterramp_testbed::log_summary::LogSummary;
use asterramp_testbed::plan::Plan;
use asterramp_testbed::proxies::Program;
use asterramp_testbed::report::Report;
use asterramp_testbed::run::{RunError, RunOptions, RunOutcome, own_folder, own_proxy, run};
use asterramp_testbed::scale;
use asterramp_testbed::scenario::Scenario;
use asterramp_testbed::shrink;
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
    /// Plays a scenario by two programs in turn on the same seeds, and tells the difference.
    Compare {
        scenario: PathBuf,
        /// The programs.
        #[arg(long, num_args = 1, required = true)]
        proxy: Vec<PathBuf>,
        /// Pairs of runs.
        #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(2..=100))]
        runs: u64,
        /// The first pair's; each pair has the next.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Adds faults drawn from each pair's seed.
        #[arg(long)]
        chaos: bool,
    },
    /// Measures how one proxy and many bear size.
    Scale {
        #[arg(long)]
        proxy: Option<PathBuf>,
        /// Fewer sizes.
        #[arg(long)]
        quick: bool,
        /// Only sizes of this sort.
        #[arg(long, value_parser = ["set-ups", "idle", "lines", "watched", "fleet"])]
        only: Option<String>,
        /// Seconds that each size is played for.
        #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u32).range(3..=120))]
        seconds: u32,
        /// Writes the plots into this folder.
        #[arg(long)]
        report: Option<PathBuf>,
    },
    /// Measures how a proxy is emptied: a drain on request beside SIGTERM, and a roll.
    Empty {
        #[arg(long)]
        proxy: Option<PathBuf>,
        /// Sessions of the proxy that is emptied.
        #[arg(long, num_args = 1, default_values_t = [300, 2_000])]
        sessions: Vec<u32>,
        /// A roll of five proxies instead.
        #[arg(long)]
        roll: bool,
    },
    /// Cuts a failing draw of faults down to the fewest with which a rule still breaks, and writes them as a scenario.
    Shrink {
        scenario: PathBuf,
        #[command(flatten)]
        common: Common,
        /// Runs at most.
        #[arg(long, default_value_t = 40, value_parser = clap::value_parser!(u32).range(1..=1000))]
        tries: u32,
        /// Where the scenario is written.
        #[arg(long, default_value = "shrunk.toml")]
        save: PathBuf,
    },
    /// Sums the logs of a fleet: how often each reason code came, by time and by server.
    Logs {
        /// A folder with one file a proxy, each ending in .log.
        folder: PathBuf,
        /// Seconds that a row spans.
        #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u64).range(1..=3600))]
        span: u64,
    },
    /// Sums the bench's records of drawn days: what each kind scored, and which draw goes with the loss.
    Journal {
        /// The folder of records.
        folder: PathBuf,
        /// Days count whose name holds this.
        #[arg(long, default_value = "+mass")]
        kind: String,
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
    let log = tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_target(false)
        .without_time();
    log.with_max_level(tracing::Level::INFO).init();
    let runtime = match tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(e) => return fail(&RunError::Run(e.to_string())),
    };
    // The plain proxy answers to its signals itself, and leaves in good order.
    let own = matches!(cli.what, What::PlainProxy { .. });
    let done = runtime.block_on(async {
        let work = perform(cli.what);
        tokio::select! {
            done = work => done,
            // Dropping the run ends its proxies.
            _ = asked_to_stop(), if !own => Err(RunError::Run("interrupted".into())),
        }
    });
    // Children are ended by their handles; nothing else is waited for.
    runtime.shutdown_timeout(std::time::Duration::from_millis(500));
    done.unwrap_or_else(|fault| fail(&fault))
}

async fn asked_to_stop() {
    use tokio::signal::unix::{SignalKind, signal};
    let Ok(mut term) = signal(SignalKind::terminate()) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
}

fn fail(fault: &RunError) -> ExitCode {
    let (code, what) = match fault {
        RunError::Input(what) => (2, what),
        RunError::Run(what) => (3, what),
    };
    eprintln!("asterramp-testbed: {what}");
    ExitCode::from(code)
}

async fn perform(what: What) -> Result<ExitCode, RunError> {
    match what {
        What::Logs { folder, span } => {
            print!(
                "{}",
                LogSummary::of_folder(&folder, span)
                    .map_err(RunError::Input)?
                    .table()
            );
            Ok(ExitCode::SUCCESS)
        }
        What::Journal { folder, kind } => {
            print!(
                "{}",
                Journal::of_folder(&folder, &kind)
                    .map_err(RunError::Input)?
                    .table()
            );
            Ok(ExitCode::SUCCESS)
        }
        What::Shrink {
            scenario,
            common,
            tries,
            save,
        } => {
            let text = std::fs::read_to_string(&scenario)
                .map_err(|e| RunError::Input(format!("{}: {e}", scenario.display())))?;
            let scenario = Scenario::open(&scenario).map_err(RunError::Input)?;
            shrunk(scenario, &text, &common, tries, &save).await
        }
        What::Demo(common) => one(Scenario::read(DEMO).map_err(RunError::Input)?, &common).await,
        What::Run { scenario, common } => {
            one(Scenario::open(&scenario).map_err(RunError::Input)?, &common).await
        }
        What::Compare {
            scenario,
            proxy,
            runs,
            seed,
            chaos,
        } => {
            let scenario = Scenario::open(&scenario).map_err(RunError::Input)?;
            compare(&scenario, &proxy, runs, seed, chaos).await
        }
        What::Scale {
            proxy,
            quick,
            only,
            seconds,
            report,
        } => {
            let program = named(proxy.as_ref())?;
            let mut points = Vec::new();
            for size in scale::sizes(quick) {
                if only
                    .as_ref()
                    .is_some_and(|only| !size.what.ends_with(only.as_str()))
                {
                    continue;
                }
                let point = scale::point(&size, &program, seconds).await?;
                eprint!(
                    "{}",
                    scale::table(&[point])
                        .lines()
                        .last()
                        .unwrap_or_default()
                        .to_owned()
                        + "\n"
                );
                points.push(point);
            }
            print!("{}", scale::table(&points));
            if let Some(folder) = report {
                scale::plots(&points, &folder).map_err(RunError::Run)?;
            }
            Ok(ExitCode::from(u8::from(
                points.iter().any(|p| !p.rules_held),
            )))
        }
        What::Empty {
            proxy,
            sessions,
            roll,
        } => {
            let (program, mut held) = (named(proxy.as_ref())?, true);
            let ways: &[DrainMethod] = if roll {
                &[DrainMethod::Roll]
            } else {
                &[DrainMethod::Drain, DrainMethod::Sigterm]
            };
            println!("{}", drain_measurement::HEAD);
            for sessions in sessions {
                for by in ways {
                    let emptied = drain_measurement::emptied(*by, sessions, &program).await?;
                    println!("{}", drain_measurement::row(&emptied));
                    held &= emptied.held && !matches!(emptied.rolled, Some(Err(_)));
                }
            }
            Ok(ExitCode::from(u8::from(!held)))
        }
        What::PlainProxy { policy, breaks } => {
            baseline::run(policy, breaks)
                .await
                .map_err(RunError::Input)?;
            Ok(ExitCode::SUCCESS)
        }
    }
}

fn program(common: &Common) -> Result<Program, RunError> {
    let own = std::env::current_exe().map_err(|e| RunError::Run(e.to_string()))?;
    if let Some(policy) = common.baseline {
        return Ok(baseline::program(&own, policy, common.breaks));
    }
    named(common.proxy.as_ref())
}

/// The program of a path, or the proxy built beside this one.
fn named(path: Option<&PathBuf>) -> Result<Program, RunError> {
    let own = std::env::current_exe().map_err(|e| RunError::Run(e.to_string()))?;
    let missing = "no asterramp beside this program; build it, or name it by --proxy";
    let path = path.cloned().or_else(|| own_proxy(&own));
    let path = path.ok_or_else(|| RunError::Input(missing.into()))?;
    if !path.is_file() {
        return Err(RunError::Input(format!(
            "--proxy: {} is no file",
            path.display()
        )));
    }
    Ok(Program {
        name: name(&path),
        path,
        args: Vec::new(),
    })
}

fn name(path: &Path) -> String {
    path.file_name()
        .unwrap_or_default()
        .to_string_lossy()
        .into_owned()
}

/// A figure's name and where a report has it.
type Figure = (&'static str, fn(&Report) -> f64);

/// Runs of two programs on the same seeds in alternation, so that a slow spell of the machine meets both.
async fn compare(
    scenario: &Scenario,
    paths: &[PathBuf],
    runs: u64,
    seed: u64,
    chaos: bool,
) -> Result<ExitCode, RunError> {
    let [a, b] = paths else {
        return Err(RunError::Input("--proxy: two are compared, A and B".into()));
    };
    let programs = [named(Some(a))?, named(Some(b))?];
    let figures: [Figure; 6] = [
        ("well served", |r| r.service.whole),
        ("worst ten seconds", |r| r.service.worst_ten_seconds),
        ("worst listener", |r| r.service.worst_listener.1),
        ("answer p99 ms", |r| r.answer_ms.p99),
        ("dials a session", |r| {
            r.tally.dials as f64 / r.tally.sessions.max(1) as f64
        }),
        ("cpu a proxy", |r| {
            r.proxies.iter().map(|p| p.cpu_share).sum::<f64>() / r.proxies.len() as f64
        }),
    ];
    let mut found: [Vec<Vec<f64>>; 2] = [
        vec![Vec::new(); figures.len()],
        vec![Vec::new(); figures.len()],
    ];
    let (mut held, mut void) = (true, 0);
    for seed in seed..seed + runs {
        // Who goes first changes from pair to pair.
        let mut reports = [None, None];
        let order = if seed % 2 == 0 { [0, 1] } else { [1, 0] };
        for which in order {
            let folder = own_folder();
            let (chaos, program) = (chaos.then_some(seed), programs[which].clone());
            let job = RunOptions {
                seed,
                chaos,
                program,
                folder: folder.clone(),
                progress: false,
            };
            let ran = run(scenario.clone(), &job).await;
            let _ = std::fs::remove_dir_all(folder);
            let report = Report::of(&ran?, &programs[which].name, seed, chaos);
            held &= report.rules_held;
            report
                .breaches
                .iter()
                .take(2)
                .for_each(|b| eprintln!("{}: {}", b.rule, b.what));
            reports[which] = Some(report).filter(|report| !report.void);
        }
        let [Some(first), Some(second)] = reports else {
            void += 1;
            continue;
        };
        for (nth, (_, figure)) in figures.iter().enumerate() {
            found[0][nth].push(figure(&first));
            found[1][nth].push(figure(&second));
        }
        eprintln!(
            "seed {seed}: {:.4} and {:.4} well served",
            first.service.whole, second.service.whole
        );
    }
    if found[0][0].len() < 2 {
        return Err(RunError::Run(format!(
            "{void} of {runs} pairs were void; too few are left"
        )));
    }
    println!(
        "  {:<28} {:>9} {:>9} {:>9}  95% of draws",
        "", "A", "B", "B - A"
    );
    for (nth, (name, _)) in figures.iter().enumerate() {
        println!(
            "{}",
            compare::row(name, &Difference::of(&found[0][nth], &found[1][nth], seed))
        );
    }
    println!(
        "  pairs {}, void {void}, rules {}",
        found[0][0].len(),
        if held { "held" } else { "BROKEN" }
    );
    Ok(ExitCode::from(u8::from(!held)))
}

/// Plays a draw with fewer and fewer faults.
async fn shrunk(
    scenario: Scenario,
    text: &str,
    common: &Common,
    tries: u32,
    save: &Path,
) -> Result<ExitCode, RunError> {
    let (seed, program) = (common.seed.unwrap_or(scenario.seed), program(common)?);
    let all = shrink::drawn(&Plan::new(&scenario, seed, common.chaos).faults);
    let runtime = tokio::runtime::Handle::current();
    let breaks = |faults: &[asterramp_testbed::scenario::ScenarioFault]| {
        let scenario = Scenario {
            faults: faults.to_vec(),
            ..scenario.clone()
        };
        let folder = own_folder();
        let job = RunOptions {
            seed,
            chaos: None,
            program: program.clone(),
            folder: folder.clone(),
            progress: false,
        };
        let ran = tokio::task::block_in_place(|| runtime.block_on(run(scenario, &job)));
        let _ = std::fs::remove_dir_all(folder);
        let found = ran.map(|ran| !ran.void && !ran.verdict.breaches.is_empty());
        let broke = found.unwrap_or(false);
        eprintln!(
            "{} faults: {}",
            faults.len(),
            if broke {
                "a rule breaks"
            } else {
                "rules held, or void"
            }
        );
        broke
    };
    if !breaks(&all) {
        return Err(RunError::Run(
            "no rule breaks with all of its faults".into(),
        ));
    }
    let left = shrink::fewest(&all, tries, breaks);
    let text = shrink::written(text, &left).map_err(RunError::Run)?;
    std::fs::write(save, text).map_err(|e| RunError::Run(format!("{}: {e}", save.display())))?;
    println!(
        "{} of {} faults are left, in {}",
        left.len(),
        all.len(),
        save.display()
    );
    Ok(ExitCode::SUCCESS)
}

async fn one(scenario: Scenario, common: &Common) -> Result<ExitCode, RunError> {
    let (seed, program) = (common.seed.unwrap_or(scenario.seed), program(common)?);
    let name = program.name.clone();
    let folder = common.report.clone().unwrap_or_else(own_folder);
    let job = RunOptions {
        seed,
        chaos: common.chaos,
        program,
        folder: folder.clone(),
        progress: true,
    };
    let ran = run(scenario, &job).await;
    if common.report.is_none() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    let ran: RunOutcome = ran?;
    let report = Report::of(&ran, &name, seed, common.chaos);
    if common.report.is_some() {
        report.write(&folder, &ran).map_err(RunError::Run)?;
    }
    if common.json {
        println!(
            "{}",
            serde_json::to_string_pretty(&report).unwrap_or_default()
        );
    } else {
        print!("{}", report.table());
    }
    Ok(ExitCode::from(match (report.void, report.rules_held) {
        (true, _) => 3,
        (false, held) => u8::from(!held),
    }))
}
