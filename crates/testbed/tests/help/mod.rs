//! Scenarios and runs that the tests share.
#![allow(dead_code, reason = "each test program uses a part of it")]

use asterramp_testbed::proxy_process::Program;
use asterramp_testbed::run::{RunOptions, RunOutcome, own_folder, own_proxy, run};
use asterramp_testbed::scenario::Scenario;

/// Four hosts, a proxy or two, and terms wide enough that a busy machine changes no verdict.
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

pub(crate) fn scenario(more: &str) -> Scenario {
    Scenario::read(&format!("{BASE}\n{more}")).unwrap()
}

/// With keys more of the table of proxies.
pub(crate) fn scenario_with(more: &str, proxies: &str) -> Scenario {
    let text = BASE.replace("[platform]", &format!("{proxies}\n[platform]"));
    Scenario::read(&format!("{text}\n{more}")).unwrap()
}

pub(crate) fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap()
}

/// This repository's proxy, built by the same call of cargo for the whole workspace.
pub(crate) fn real() -> Program {
    let own = std::env::current_exe().unwrap();
    let path = own_proxy(&own).expect("no asterramp beside the tests: build the workspace");
    Program {
        path,
        args: Vec::new(),
        name: "asterramp".into(),
    }
}

pub(crate) fn play(
    scenario: Scenario,
    program: Program,
    seed: u64,
    chaos: Option<u64>,
) -> RunOutcome {
    play_and_read(scenario, program, seed, chaos).0
}

/// The same, and what the proxies wrote into their logs.
pub(crate) fn play_and_read(
    scenario: Scenario,
    program: Program,
    seed: u64,
    chaos: Option<u64>,
) -> (RunOutcome, String) {
    let folder = own_folder();
    let job = RunOptions {
        seed,
        chaos,
        program,
        folder: folder.clone(),
        progress: false,
    };
    let ran = runtime().block_on(run(scenario, &job)).unwrap();
    let files = std::fs::read_dir(&folder)
        .unwrap()
        .map(|file| file.unwrap().path());
    let logs = files.filter(|path| path.extension().is_some_and(|ending| ending == "log"));
    let text = logs
        .map(|path| std::fs::read_to_string(path).unwrap())
        .collect();
    let _ = std::fs::remove_dir_all(folder);
    (ran, text)
}

/// Prints the first violations, for whoever reads a failed test.
pub(crate) fn show(ran: &RunOutcome) {
    for breach in ran.verdict.violations.iter().take(3) {
        println!(
            "{}: {}\n{}",
            breach.rule.text(),
            breach.what,
            breach.timeline.join("\n")
        );
    }
}
