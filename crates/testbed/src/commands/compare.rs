//! The command `compare`: runs two programs on the same seeds in alternation, so that a slow period of the machine affects
//! both.

use super::error::CommandError;
use super::outcome::CommandOutcome;
use super::program;
use asterramp_testbed::compare::{Difference, row};
use asterramp_testbed::proxy_process::Program;
use asterramp_testbed::report::Report;
use asterramp_testbed::run::run_without_files;
use asterramp_testbed::scenario::Scenario;
use clap::Args;
use std::path::PathBuf;

/// Most violations of a run that are printed.
const MAX_PRINTED_VIOLATIONS: usize = 2;
/// Fewest pairs of runs, not counting void ones, from which a difference can be estimated.
const MIN_PAIRS: usize = 2;

#[derive(Args)]
pub(super) struct CompareArgs {
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
}

/// A figure of a report by which two programs are compared.
struct ComparedFigure {
    /// The name that the table shows.
    name: &'static str,
    from_report: fn(&Report) -> f64,
}

/// The compared figures, in the order of the table.
const FIGURES: [ComparedFigure; 6] = [
    ComparedFigure {
        name: "well served",
        from_report: |report| report.service.overall,
    },
    ComparedFigure {
        name: "worst ten seconds",
        from_report: |report| report.service.worst_ten_seconds,
    },
    ComparedFigure {
        name: "worst listener",
        from_report: |report| report.service.worst_listener.share,
    },
    ComparedFigure {
        name: "answer p99 ms",
        from_report: |report| report.answer_ms.p99,
    },
    ComparedFigure {
        name: "dials a session",
        from_report: dials_per_session,
    },
    ComparedFigure {
        name: "cpu a proxy",
        from_report: mean_cpu_share,
    },
];

fn dials_per_session(report: &Report) -> f64 {
    report.tally.dials as f64 / report.tally.sessions.max(1) as f64
}

fn mean_cpu_share(report: &Report) -> f64 {
    let sum: f64 = report.proxies.iter().map(|proxy| proxy.cpu_share).sum();
    sum / report.proxies.len() as f64
}

/// The runs of both programs on one seed.
struct PairedRuns {
    /// Their reports in the order of the command line; `None` for a void run.
    reports: [Option<Report>; 2],
    /// Whether neither run, void or not, broke a rule.
    rules_held: bool,
}

/// The figures of all pairs of which neither run was void.
#[derive(Default)]
struct Comparison {
    /// For each program and each figure, the values of all pairs.
    values: [[Vec<f64>; FIGURES.len()]; 2],
    /// Number of pairs.
    pairs: usize,
}

impl Comparison {
    fn add(&mut self, reports: [&Report; 2]) {
        for (values, report) in self.values.iter_mut().zip(reports) {
            for (values, figure) in values.iter_mut().zip(&FIGURES) {
                values.push((figure.from_report)(report));
            }
        }
        self.pairs += 1;
    }

    fn print(&self, seed: u64) {
        println!(
            "  {:<28} {:>9} {:>9} {:>9}  95% of draws",
            "", "A", "B", "B - A"
        );
        let [first, second] = &self.values;
        for ((figure, first), second) in FIGURES.iter().zip(first).zip(second) {
            let difference = Difference::of(first, second, seed);
            println!("{}", row(figure.name, &difference));
        }
    }
}

/// Runs the pairs and prints the differences of the figures.
pub(super) async fn compare(args: &CompareArgs) -> Result<CommandOutcome, CommandError> {
    let scenario = Scenario::open(&args.scenario)?;
    let [first, second] = &args.proxy[..] else {
        return Err(CommandError::NotTwoPrograms);
    };
    let programs = [
        program::program_at_path(Some(first))?,
        program::program_at_path(Some(second))?,
    ];
    let mut comparison = Comparison::default();
    let (mut rules_held, mut void) = (true, 0);
    for seed in args.seed..args.seed + args.runs {
        let chaos = args.chaos.then_some(seed);
        let pair = run_pair(&scenario, &programs, seed, chaos).await?;
        rules_held &= pair.rules_held;
        let [Some(first), Some(second)] = &pair.reports else {
            void += 1;
            continue;
        };
        comparison.add([first, second]);
        let (first, second) = (first.service.overall, second.service.overall);
        eprintln!("seed {seed}: {first:.4} and {second:.4} well served");
    }
    if comparison.pairs < MIN_PAIRS {
        let runs = args.runs;
        return Err(CommandError::TooFewPairs { void, runs });
    }
    comparison.print(args.seed);
    println!(
        "  pairs {}, void {void}, rules {}",
        comparison.pairs,
        if rules_held { "held" } else { "BROKEN" }
    );
    Ok(CommandOutcome::of_rules(rules_held))
}

/// Runs both programs on one seed. The first program runs first on even seeds, the second on odd ones.
async fn run_pair(
    scenario: &Scenario,
    programs: &[Program; 2],
    seed: u64,
    chaos: Option<u64>,
) -> Result<PairedRuns, CommandError> {
    let order = if seed.is_multiple_of(2) {
        [0, 1]
    } else {
        [1, 0]
    };
    let mut pair = PairedRuns {
        reports: [None, None],
        rules_held: true,
    };
    for index in order {
        let report = run_program(scenario, &programs[index], seed, chaos).await?;
        pair.rules_held &= report.rules_held;
        for violation in report.violations.iter().take(MAX_PRINTED_VIOLATIONS) {
            eprintln!("{}: {}", violation.rule, violation.description);
        }
        pair.reports[index] = Some(report).filter(|report| !report.void);
    }
    Ok(pair)
}

async fn run_program(
    scenario: &Scenario,
    program: &Program,
    seed: u64,
    chaos: Option<u64>,
) -> Result<Report, CommandError> {
    let outcome = run_without_files(scenario.clone(), program, seed, chaos).await?;
    Ok(Report::from_run(&outcome, &program.name, seed, chaos))
}
