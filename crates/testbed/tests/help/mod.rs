//! Helpers that the test programs share: a base scenario, the programs under test, and runs with their results.
#![allow(dead_code, reason = "each test program uses only some of the items")]

use asterramp_testbed::event_log::{Event, HostReply};
use asterramp_testbed::plain_proxy::{self, InjectedFault, Policy};
use asterramp_testbed::proxy_process::Program;
use asterramp_testbed::run::{
    RunOptions, RunOutcome, find_proxy_program, run, unique_output_folder,
};
use asterramp_testbed::scenario::Scenario;
use std::path::Path;
use std::time::Duration;

/// Most violations that are printed for one run.
const MAX_PRINTED_VIOLATIONS: usize = 3;

/// Four hosts and two proxies in two zones for five seconds. The time limits are wide enough that a busy machine changes no
/// verdict.
pub(crate) const BASE_SCENARIO: &str = r#"
name = "base"
length = "5s"
places = ["a", "b"]
[fleet]
told_within = "100ms"
set_up_work = "60ms"
[[fleet.hosts]]
count = 4
[[listeners]]
name = "feed"
kind = "repeatable"
handshake_target = "800ms"
dial_timeout = "1200ms"
message_target = "500ms"
work = 0.002
portion = 2.0
[[listeners]]
name = "order"
kind = "once-only"
handshake_target = "800ms"
dial_timeout = "1200ms"
message_target = "500ms"
work = 0.002
[[listeners]]
name = "ticket"
kind = "referenced"
circle = "zone"
handshake_target = "800ms"
dial_timeout = "1200ms"
message_target = "500ms"
work = 0.002
[[members]]
name = "acme"
[traffic]
rate = 45.0
life = { median = "2s", sigma = 0.5 }
message_every = "300ms"
[proxies]
count = 2
[platform]
answer_slack = "500ms"
void_above = "10s"
"#;

/// The base scenario with further tables, in TOML.
pub(crate) fn base_with_tables(tables: &str) -> Scenario {
    Scenario::read(&format!("{BASE_SCENARIO}\n{tables}")).unwrap()
}

/// The base scenario with further tables, and with further keys in the table `proxies`.
pub(crate) fn base_with_proxy_keys(tables: &str, proxy_keys: &str) -> Scenario {
    let text = BASE_SCENARIO.replace("[platform]", &format!("{proxy_keys}\n[platform]"));
    Scenario::read(&format!("{text}\n{tables}")).unwrap()
}

/// The TOML table of a fault. Without a `duration` it lasts to the end of the run; `other_keys` are lines of the table.
pub(crate) fn fault_table(
    at: &str,
    duration: Option<&str>,
    kind: &str,
    other_keys: &str,
) -> String {
    let duration_key = duration.map_or(String::new(), |duration| format!("for = \"{duration}\"\n"));
    format!("[[faults]]\nat = \"{at}\"\n{duration_key}kind = \"{kind}\"\n{other_keys}\n")
}

pub(crate) fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap()
}

/// The proxy of this workspace. It must have been built beside the tests, as a build of the whole workspace does.
pub(crate) fn real_proxy() -> Program {
    let test_program = std::env::current_exe().unwrap();
    let path = find_proxy_program(&test_program)
        .expect("no program asterramp beside the tests: build the whole workspace");
    Program {
        path,
        args: Vec::new(),
        name: "asterramp".into(),
    }
}

/// The plain proxy, which breaks a rule on purpose if a fault is given.
pub(crate) fn plain_proxy(policy: Policy, fault: Option<InjectedFault>) -> Program {
    let testbed = Path::new(env!("CARGO_BIN_EXE_asterramp-testbed"));
    plain_proxy::program(testbed, policy, fault)
}

/// The outcome of a run, and the logs of all its proxies in one text.
pub(crate) struct FinishedRun {
    pub(crate) outcome: RunOutcome,
    pub(crate) logs: String,
}

/// Runs a scenario once, and removes its output folder. `chaos` is the seed of random faults, which are added to the
/// scenario's own; `None`: no random faults.
pub(crate) fn run_scenario(
    scenario: Scenario,
    program: Program,
    seed: u64,
    chaos: Option<u64>,
) -> FinishedRun {
    let options = RunOptions {
        seed,
        chaos,
        program,
        folder: unique_output_folder(),
        progress: false,
    };
    let outcome = runtime().block_on(run(scenario, &options)).unwrap();
    let logs = read_logs(&options.folder);
    let _ = std::fs::remove_dir_all(options.folder);
    FinishedRun { outcome, logs }
}

fn read_logs(folder: &Path) -> String {
    std::fs::read_dir(folder)
        .unwrap()
        .map(|file| file.unwrap().path())
        .filter(|path| path.extension().is_some_and(|extension| extension == "log"))
        .map(|path| std::fs::read_to_string(path).unwrap())
        .collect()
}

impl FinishedRun {
    /// Prints the first violations with their timelines, for the output of a failed test.
    pub(crate) fn print_violations(&self) {
        for violation in self
            .outcome
            .verdict
            .violations
            .iter()
            .take(MAX_PRINTED_VIOLATIONS)
        {
            println!(
                "{}: {}\n{}",
                violation.rule.text(),
                violation.description,
                violation.timeline.join("\n")
            );
        }
    }

    #[track_caller]
    pub(crate) fn assert_rules_held(&self) {
        self.print_violations();
        assert!(
            self.outcome.verdict.violations.is_empty(),
            "faults: {:?}",
            self.outcome.context.plan.faults
        );
    }

    /// The number of events that match.
    pub(crate) fn count_events(&self, matches: impl Fn(&Event) -> bool) -> usize {
        let records = self.outcome.events.iter();
        records.filter(|record| matches(&record.seen)).count()
    }

    /// The number of matching events from second `from` of the plan until before second `to`.
    pub(crate) fn count_events_between(
        &self,
        from: u64,
        to: u64,
        matches: impl Fn(&Event) -> bool,
    ) -> usize {
        let start = self.outcome.context.plan_start().unwrap();
        let interval = start + Duration::from_secs(from)..start + Duration::from_secs(to);
        let records = self.outcome.events.iter();
        let records = records.filter(|record| interval.contains(&record.at));
        records.filter(|record| matches(&record.seen)).count()
    }

    /// The number of matching events later than a second of the plan.
    pub(crate) fn count_events_after(
        &self,
        second: u64,
        matches: impl Fn(&Event) -> bool,
    ) -> usize {
        let start = self.outcome.context.plan_start().unwrap() + Duration::from_secs(second);
        let records = self.outcome.events.iter();
        let records = records.filter(|record| record.at > start);
        records.filter(|record| matches(&record.seen)).count()
    }

    /// The number of lines in the proxies' logs that contain a text.
    pub(crate) fn count_log_lines_with(&self, text: &str) -> usize {
        let lines = self.logs.lines();
        lines.filter(|line| line.contains(text)).count()
    }
}

/// Whether a host has accepted a session.
pub(crate) fn is_session_accepted(event: &Event) -> bool {
    matches!(
        event,
        Event::Replied {
            reply: HostReply::Up,
            ..
        }
    )
}
