//! How a proxy bears size: set-ups a second, lines a second, what a standing connection costs.

use crate::plots::Chart;
use crate::proxies::Program;
use crate::report::Report;
use crate::run::{RunError, RunOptions, own_folder, run};
use crate::scenario::Scenario;
use serde::Serialize;
use std::fmt::Write;
use std::path::Path;

#[derive(Clone, Copy, Debug, Serialize)]
pub struct ScalePoint {
    pub what: &'static str,
    pub hosts: u32,
    pub proxies: u32,
    pub standing: u32,
    /// Sessions a second over all proxies, and lines a second one way.
    pub set_ups: f64,
    pub lines: f64,
    pub answer_p50_ms: f64,
    pub answer_p99_ms: f64,
    pub message_p99_ms: f64,
    /// Of one proxy, on average.
    pub cpu: f64,
    pub cpu_late: f64,
    pub resident_kb: f64,
    pub descriptors: f64,
    pub accepted_share: f64,
    pub rig_late_ms: f64,
    pub void: bool,
    pub rules_held: bool,
}

/// What is varied.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub what: &'static str,
    pub hosts: u32,
    pub proxies: u32,
    /// Connected before the run, and new ones a second.
    pub standing: u32,
    pub rate: f64,
    pub message_every_ms: u64,
    pub probes: bool,
    pub watchers: u32,
}

/// Hosts so fast that they add next to nothing of their own.
fn text(size: &Size, seconds: u32) -> String {
    let sockets = (size.standing as f64 * 2.2 / f64::from(size.proxies)) as u32 + 2_048;
    let memory = 256 + sockets / 16;
    format!(
        r#"
name = "scale"
length = "{seconds}s"
places = ["a"]
[fleet]
set_up_work = "0ms"
message_time = "0ms"
told_within = "50ms"
[[fleet.hosts]]
count = {}
places = 100000
room = 100000
[[listeners]]
name = "feed"
kind = "repeatable"
handshake_target = "800ms"
dial_timeout = "3s"
message_target = "500ms"
work = 0.0
[[members]]
name = "acme"
[traffic]
rate = {:.1}
life = {{ median = "{}ms", sigma = 0.0 }}
message_every = "{}ms"
inherited = {}
[proxies]
count = {}
sockets = {sockets}
memory_mb = {memory}
watchers = {}
[platform]
may_probe = {}
answer_slack = "1s"
void_above = "60s"
"#,
        size.hosts,
        size.rate,
        // Those that were connected before stay to the end; new ones pass by.
        if size.standing > 0 {
            u64::from(seconds) * 1000
        } else {
            250
        },
        size.message_every_ms,
        size.standing,
        size.proxies,
        size.watchers,
        size.probes,
    )
}

/// Lateness above which a point tells nothing of the proxy.
const LATE: f64 = 100.0;

pub async fn point(size: &Size, program: &Program, seconds: u32) -> Result<ScalePoint, RunError> {
    let scenario = Scenario::read(&text(size, seconds)).map_err(RunError::Input)?;
    let folder = own_folder();
    let job = RunOptions {
        seed: 1,
        chaos: None,
        program: program.clone(),
        folder: folder.clone(),
        progress: false,
    };
    let ran = run(scenario, &job).await;
    let _ = std::fs::remove_dir_all(&folder);
    let ran = ran?;
    let report = Report::of(&ran, &program.name, 1, None);
    let mean = |of: &dyn Fn(&crate::report::ProxyUse) -> f64| {
        report.proxies.iter().map(of).sum::<f64>() / report.proxies.len().max(1) as f64
    };
    let asked = report
        .tally
        .sessions
        .saturating_sub(u64::from(size.standing));
    Ok(ScalePoint {
        what: size.what,
        hosts: size.hosts,
        proxies: size.proxies,
        standing: size.standing,
        set_ups: asked as f64 / f64::from(seconds),
        lines: report.message_ms.count as f64 / f64::from(seconds),
        answer_p50_ms: report.answer_ms.p50,
        answer_p99_ms: report.answer_ms.p99,
        message_p99_ms: report.message_ms.p99,
        cpu: mean(&|p| p.cpu_share),
        cpu_late: mean(&|p| p.cpu_share_late),
        resident_kb: mean(&|p| p.resident_kb as f64),
        descriptors: mean(&|p| p.descriptors as f64),
        accepted_share: report.tally.accepted as f64 / report.tally.sessions.max(1) as f64,
        rig_late_ms: report.rig_late_ms,
        void: report.rig_late_ms > LATE,
        rules_held: report.rules_held,
    })
}

/// The sizes of the standing table; `quick` takes a few.
pub fn sizes(quick: bool) -> Vec<Size> {
    let base = Size {
        what: "",
        hosts: 10,
        proxies: 1,
        standing: 0,
        rate: 0.0,
        message_every_ms: 60_000,
        probes: true,
        watchers: 0,
    };
    let mut all = Vec::new();
    // What one proxy carries: ever more sessions a second, on few hosts and on many.
    for hosts in [10, 50, 200] {
        let rates: &[f64] = if quick {
            &[200.0, 800.0]
        } else {
            &[200.0, 400.0, 800.0, 1_600.0, 3_200.0]
        };
        all.extend(rates.iter().map(|rate| Size {
            what: "set-ups",
            hosts,
            rate: *rate,
            ..base
        }));
    }
    let standing: &[u32] = if quick {
        &[500, 2_000]
    } else {
        &[500, 1_000, 2_000, 4_000, 8_000]
    };
    for what in ["idle", "lines"] {
        let every = if what == "idle" { 60_000 } else { 250 };
        let with = |n: &u32| Size {
            what,
            standing: *n,
            message_every_ms: every,
            ..base
        };
        all.extend(standing.iter().map(with));
    }
    for watchers in [0, 16, 0, 16, 0, 16] {
        let what = if watchers > 0 { "watched" } else { "unwatched" };
        all.push(Size {
            what,
            rate: 400.0,
            standing: 0,
            watchers,
            ..base
        });
    }
    for proxies in [1, 5, 20] {
        for hosts in [10, 50, 200] {
            let size = Size {
                what: "fleet",
                hosts,
                proxies,
                standing: 2_000,
                rate: 50.0,
                ..base
            };
            all.push(Size {
                message_every_ms: 2_000,
                ..size
            });
        }
    }
    all
}

pub fn table(points: &[ScalePoint]) -> String {
    let head = [
        "what",
        "hosts",
        "proxies",
        "standing",
        "set-ups/s",
        "lines/s",
        "answer p50/p99 ms",
    ];
    let tail = [
        "message p99 ms",
        "cpu a proxy",
        "late",
        "KiB a proxy",
        "accepted",
        "rig late ms",
    ];
    let mut text = format!("| {} | {} |\n", head.join(" | "), tail.join(" | "));
    let _ = writeln!(text, "|{}", " --- |".repeat(head.len() + tail.len()));
    for p in points {
        let late = format!(
            "{:.0}{}",
            p.rig_late_ms,
            if p.void { " (void)" } else { "" }
        );
        let _ = writeln!(
            text,
            "| {} | {} | {} | {} | {:.0} | {:.0} | {:.1} / {:.1} | {:.1} | {:.3} | {:.3} | {:.0} | {:.3} | {late} |",
            p.what,
            p.hosts,
            p.proxies,
            p.standing,
            p.set_ups,
            p.lines,
            p.answer_p50_ms,
            p.answer_p99_ms,
            p.message_p99_ms,
            p.cpu,
            p.cpu_late,
            p.resident_kb,
            p.accepted_share,
        );
    }
    text
}

/// Processor use against sessions a second, and against standing connections.
pub fn plots(points: &[ScalePoint], folder: &Path) -> Result<(), String> {
    let told = |e: &dyn std::fmt::Display| format!("{}: {e}", folder.display());
    std::fs::create_dir_all(folder).map_err(|e| told(&e))?;
    let line = |hosts: u32| {
        let of = points
            .iter()
            .filter(move |p| p.what == "set-ups" && p.hosts == hosts);
        (
            format!("{hosts} hosts"),
            of.map(|p| (p.set_ups, p.cpu)).collect(),
        )
    };
    let lines = [10, 50, 200].map(line).to_vec();
    let (title, x, y) = (
        "one proxy: processor by set-ups",
        "set-ups a second",
        "share of a core",
    );
    let chart = Chart {
        title,
        x,
        y,
        lines,
        marks: Vec::new(),
    };
    chart
        .draw(&folder.join("scale-set-ups.svg"))
        .map_err(|e| told(&e))?;
    let line = |what: &'static str| {
        let of = points.iter().filter(move |p| p.what == what);
        (
            what.to_string(),
            of.map(|p| (f64::from(p.standing), p.cpu_late)).collect(),
        )
    };
    let lines = ["idle", "lines"].map(line).to_vec();
    let (title, x, y) = (
        "one proxy: processor by connections",
        "standing connections",
        "share of a core",
    );
    let chart = Chart {
        title,
        x,
        y,
        lines,
        marks: Vec::new(),
    };
    chart
        .draw(&folder.join("scale-standing.svg"))
        .map_err(|e| told(&e))
}
