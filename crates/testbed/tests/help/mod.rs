//! Scenarios and runs that the tests share.
#![allow(dead_code, reason = "each test program uses a part of it")]

use asterramp_testbed::event_log::{Event, HostReply};
use asterramp_testbed::plain_proxy::{self, InjectedFault, Policy};
use asterramp_testbed::proxy_process::Program;
use asterramp_testbed::run::{
    RunOptions, RunOutcome, find_proxy_program, run, unique_output_folder,
};
use asterramp_testbed::scenario::Scenario;
use std::path::Path;
use std::time::Duration;

/// Violations of a run that are printed.
const SHOWN_VIOLATIONS: usize = 3;

/// Four hosts, two proxies, and terms wide enough that a busy machine changes no verdict.
pub(crate) const BASE: &str = r#"
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

/// The base with further tables.
pub(crate) fn scenario(tables: &str) -> Scenario {
    Scenario::read(&format!("{BASE}\n{tables}")).unwrap()
}

/// The base with further tables, and further keys of the table of proxies.
pub(crate) fn scenario_with(tables: &str, proxies: &str) -> Scenario {
    let text = BASE.replace("[platform]", &format!("{proxies}\n[platform]"));
    Scenario::read(&format!("{text}\n{tables}")).unwrap()
}

/// The table of a fault. It lasts to the end, unless it is said how long; `rest` are its further keys.
pub(crate) fn fault(at: &str, lasts: Option<&str>, kind: &str, rest: &str) -> String {
    let lasts = lasts.map_or(String::new(), |lasts| format!("for = \"{lasts}\"\n"));
    format!("[[faults]]\nat = \"{at}\"\n{lasts}kind = \"{kind}\"\n{rest}\n")
}

pub(crate) fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap()
}

/// This repository's proxy, built by the same call of cargo for the whole workspace.
pub(crate) fn real_proxy() -> Program {
    let this_program = std::env::current_exe().unwrap();
    let path = find_proxy_program(&this_program)
        .expect("no asterramp beside the tests: build the workspace");
    Program {
        path,
        args: Vec::new(),
        name: "asterramp".into(),
    }
}

/// The proxy for comparison, sound or with a fault.
pub(crate) fn plain_proxy(policy: Policy, fault: Option<InjectedFault>) -> Program {
    let testbed = Path::new(env!("CARGO_BIN_EXE_asterramp-testbed"));
    plain_proxy::program(testbed, policy, fault)
}

/// A run that was played, and what the proxies wrote into their logs.
pub(crate) struct PlayedRun {
    pub(crate) outcome: RunOutcome,
    pub(crate) logs: String,
}

/// Plays a scenario once.
pub(crate) fn play(
    scenario: Scenario,
    program: Program,
    seed: u64,
    chaos: Option<u64>,
) -> PlayedRun {
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
    PlayedRun { outcome, logs }
}

fn read_logs(folder: &Path) -> String {
    std::fs::read_dir(folder)
        .unwrap()
        .map(|file| file.unwrap().path())
        .filter(|path| path.extension().is_some_and(|ending| ending == "log"))
        .map(|path| std::fs::read_to_string(path).unwrap())
        .collect()
}

impl PlayedRun {
    /// Prints the first violations, for whoever reads a failed test.
    pub(crate) fn show_violations(&self) {
        for violation in self
            .outcome
            .verdict
            .violations
            .iter()
            .take(SHOWN_VIOLATIONS)
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
        self.show_violations();
        assert!(
            self.outcome.verdict.violations.is_empty(),
            "faults: {:?}",
            self.outcome.context.plan.faults
        );
    }

    /// How many events of a sort there were.
    pub(crate) fn count(&self, is_wanted: impl Fn(&Event) -> bool) -> usize {
        let records = self.outcome.events.iter();
        records.filter(|record| is_wanted(&record.seen)).count()
    }

    /// How many events of a sort there were from a second of the plan up to another.
    pub(crate) fn count_between(
        &self,
        from: u64,
        to: u64,
        is_wanted: impl Fn(&Event) -> bool,
    ) -> usize {
        let start = self.outcome.context.plan_start().unwrap();
        let times = start + Duration::from_secs(from)..start + Duration::from_secs(to);
        let records = self.outcome.events.iter();
        let records = records.filter(|record| times.contains(&record.at));
        records.filter(|record| is_wanted(&record.seen)).count()
    }

    /// How many events of a kind there were later than a second of the plan.
    pub(crate) fn count_after(&self, second: u64, is_wanted: impl Fn(&Event) -> bool) -> usize {
        let start = self.outcome.context.plan_start().unwrap() + Duration::from_secs(second);
        let records = self.outcome.events.iter();
        let records = records.filter(|record| record.at > start);
        records.filter(|record| is_wanted(&record.seen)).count()
    }

    /// How many lines of the proxies' logs have a text in them.
    pub(crate) fn log_lines_with(&self, text: &str) -> usize {
        let lines = self.logs.lines();
        lines.filter(|line| line.contains(text)).count()
    }
}

/// Whether a host has accepted a session.
pub(crate) fn is_up(event: &Event) -> bool {
    matches!(
        event,
        Event::Replied {
            reply: HostReply::Up,
            ..
        }
    )
}
