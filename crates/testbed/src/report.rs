//! What a run came to: a table for people, JSON for programs, plots.

use crate::event_log::Event;
use crate::judge::{Tally, Violation};
use crate::run::RunOutcome;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::Path;

#[derive(Debug, Serialize)]
pub struct Report {
    pub scenario: String,
    pub program: String,
    pub seed: u64,
    pub chaos: Option<u64>,
    pub simulated: bool,
    /// The rig came too late to things to tell anything of the proxy.
    pub void: bool,
    pub rig_late_ms: f64,
    pub rules_held: bool,
    pub breaches: Vec<ReportedViolation>,
    pub tally: Tally,
    pub service: Service,
    pub set_ups: Vec<SetUps>,
    pub answer_ms: Spread,
    pub message_ms: Spread,
    pub clients_gave_up: u64,
    pub no_proxy: u64,
    pub hosts: Loads,
    pub proxies: Vec<ProxyUse>,
    /// By second: wanted, well served.
    pub seconds: Vec<(f64, f64)>,
}

#[derive(Debug, Serialize)]
pub struct ReportedViolation {
    pub rule: &'static str,
    pub what: String,
    pub timeline: Vec<String>,
}

/// Shares of the wanted seconds that were well served.
#[derive(Debug, Serialize)]
pub struct Service {
    pub whole: f64,
    pub worst_ten_seconds: f64,
    pub worst_listener: (String, f64),
    pub worst_member: (String, f64),
}

#[derive(Debug, Serialize)]
pub struct SetUps {
    pub listener: String,
    pub within_target: f64,
    pub ms: Spread,
}

#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Spread {
    pub count: u64,
    pub p50: f64,
    pub p90: f64,
    pub p99: f64,
    pub most: f64,
}

/// Load asked over what a host can do, each host's mean over the run.
#[derive(Debug, Serialize)]
pub struct Loads {
    pub least: f64,
    pub mean: f64,
    pub most: f64,
    /// The highest that any had in any second.
    pub peak: f64,
}

#[derive(Debug, Serialize)]
pub struct ProxyUse {
    pub cpu_share: f64,
    pub cpu_share_most: f64,
    /// Over the last third of the run, when those who were there from the start have all come.
    pub cpu_share_late: f64,
    pub resident_kb: u64,
    pub descriptors: u64,
}

fn spread(times: &Histogram<u64>) -> Spread {
    let ms = |us: u64| us as f64 / 1e3;
    Spread {
        count: times.len(),
        p50: ms(times.value_at_quantile(0.5)),
        p90: ms(times.value_at_quantile(0.9)),
        p99: ms(times.value_at_quantile(0.99)),
        most: ms(times.max()),
    }
}

fn share(cells: impl Iterator<Item = (f64, f64)>) -> f64 {
    let (wanted, served) = cells.fold((0.0, 0.0), |sum, cell| (sum.0 + cell.0, sum.1 + cell.1));
    if wanted > 0.0 { served / wanted } else { 1.0 }
}

impl Report {
    pub fn of(ran: &RunOutcome, program: &str, seed: u64, chaos: Option<u64>) -> Report {
        let scenario = &ran.testbed.scenario;
        let marks = ran.testbed.score.marks();
        let members = scenario.members.len();
        let all = |pick: &dyn Fn(usize) -> bool| {
            let cells = marks.seconds.iter().flat_map(|row| row.iter().enumerate());
            share(cells.filter(|(nth, _)| pick(*nth)).map(|(_, cell)| *cell))
        };
        let worst = |names: Vec<&String>, pick: &dyn Fn(usize, usize) -> bool| {
            let each = names
                .iter()
                .enumerate()
                .map(|(i, name)| (name.to_string(), all(&|nth| pick(nth, i))));
            each.min_by(|a, b| a.1.total_cmp(&b.1)).unwrap_or_default()
        };
        let of_row =
            |row: &Vec<(f64, f64)>| row.iter().fold((0.0, 0.0), |s, c| (s.0 + c.0, s.1 + c.1));
        let seconds: Vec<(f64, f64)> = marks.seconds.iter().map(of_row).collect();
        let spans = seconds
            .windows(10.min(seconds.len().max(1)))
            .map(|w| share(w.iter().copied()));
        let set_ups = scenario
            .listeners
            .iter()
            .zip(&marks.set_ups)
            .map(|(listener, times)| {
                let target = listener.handshake_target.as_micros() as u64;
                let within = times.count_between(0, target) as f64 / times.len().max(1) as f64;
                SetUps {
                    listener: listener.name.clone(),
                    within_target: within,
                    ms: spread(times),
                }
            });
        let breach = |b: &Violation| ReportedViolation {
            rule: b.rule.text(),
            what: b.what.clone(),
            timeline: b.timeline.clone(),
        };
        Report {
            scenario: scenario.name.clone(),
            program: program.to_string(),
            seed,
            chaos,
            simulated: true,
            void: ran.void,
            rig_late_ms: ran.late.as_secs_f64() * 1e3,
            rules_held: ran.verdict.breaches.is_empty(),
            breaches: ran.verdict.breaches.iter().take(50).map(breach).collect(),
            tally: ran.verdict.tally,
            service: Service {
                whole: all(&|_| true),
                worst_ten_seconds: spans.fold(1.0, f64::min),
                worst_listener: worst(
                    scenario.listeners.iter().map(|l| &l.name).collect(),
                    &|n, i| n / members == i,
                ),
                worst_member: worst(
                    scenario.members.iter().map(|m| &m.name).collect(),
                    &|n, i| n % members == i,
                ),
            },
            set_ups: set_ups.collect(),
            answer_ms: spread(&marks.answers),
            message_ms: spread(&marks.messages),
            clients_gave_up: marks.given_up,
            no_proxy: marks.unreachable,
            hosts: loads(&ran.loads),
            proxies: ran.used.iter().map(|used| proxy_use(used)).collect(),
            seconds,
        }
    }

    /// The table that ends a run.
    pub fn table(&self) -> String {
        let mut text = String::new();
        let mut row = |name: &str, value: String| {
            let _ = writeln!(text, "  {name:<34} {value}");
        };
        let t = &self.tally;
        row(
            "scenario, proxy, seed",
            format!("{}, {}, {}", self.scenario, self.program, self.seed),
        );
        row("sessions asked for", t.sessions.to_string());
        row(
            "  accepted, refused, torn down",
            format!("{}, {}, {}", t.accepted, t.refused, t.torn_down),
        );
        row(
            "  left, taken by a killed proxy",
            format!("{}, {}", t.left, t.died_with_proxy),
        );
        row(
            "dials a session",
            format!("{:.3}", t.dials as f64 / t.sessions.max(1) as f64),
        );
        row("moved", t.moved.to_string());
        if t.bad_clients > 0 {
            row(
                "bad clients told in time",
                format!("{} of {}", t.bad_clients_owed, t.bad_clients),
            );
        }
        row(
            "wanted seconds well served",
            format!("{:.4}", self.service.whole),
        );
        row(
            "  worst ten seconds",
            format!("{:.4}", self.service.worst_ten_seconds),
        );
        let (listener, member) = (&self.service.worst_listener, &self.service.worst_member);
        row(
            "  worst listener",
            format!("{:.4} {}", listener.1, listener.0),
        );
        row("  worst member", format!("{:.4} {}", member.1, member.0));
        for s in &self.set_ups {
            let ms = s.ms;
            let times = format!("p50 {:.1} p99 {:.1} most {:.0} ms", ms.p50, ms.p99, ms.most);
            row(
                &format!("set-up {}", s.listener),
                format!("{times}, {:.4} within target", s.within_target),
            );
        }
        let ms = self.message_ms;
        row(
            "messages",
            format!("p50 {:.1} p99 {:.1} most {:.0} ms", ms.p50, ms.p99, ms.most),
        );
        let h = &self.hosts;
        let hosts = format!(
            "least {:.2} mean {:.2} most {:.2} peak {:.2}",
            h.least, h.mean, h.most, h.peak
        );
        row("load of hosts", hosts);
        for (nth, p) in self.proxies.iter().enumerate().take(8) {
            let used = format!("cpu {:.3} (most {:.3})", p.cpu_share, p.cpu_share_most);
            let held = format!("{} KiB, {} descriptors", p.resident_kb, p.descriptors);
            row(&format!("proxy {nth}"), format!("{used}, {held}"));
        }
        row(
            "the rig was late by at most",
            format!("{:.1} ms", self.rig_late_ms),
        );
        let mut rules: BTreeMap<&str, usize> = BTreeMap::new();
        self.breaches
            .iter()
            .for_each(|b| *rules.entry(b.rule).or_default() += 1);
        let verdict = match (self.void, rules.is_empty()) {
            (true, _) => "void: the rig was too late to tell".to_string(),
            (_, true) => "held".to_string(),
            _ => format!("BROKEN {rules:?}"),
        };
        row("rules", verdict);
        for breach in self.breaches.iter().take(3) {
            let _ = writeln!(text, "\n{}: {}", breach.rule, breach.what);
            for line in &breach.timeline {
                let _ = writeln!(text, "  {line}");
            }
        }
        text
    }

    /// Writes `report.json`, the faults' times and the plots into a folder.
    pub fn write(&self, folder: &Path, ran: &RunOutcome) -> Result<(), String> {
        let told = |e: &dyn std::fmt::Display| format!("{}: {e}", folder.display());
        std::fs::create_dir_all(folder).map_err(|e| told(&e))?;
        let json = serde_json::to_string_pretty(self).map_err(|e| told(&e))?;
        std::fs::write(folder.join("report.json"), json).map_err(|e| told(&e))?;
        let mut faults = String::new();
        for record in &ran.records {
            if let Event::Fault { what, begins } = &record.seen {
                let word = if *begins { "begins" } else { "ends" };
                let _ = writeln!(faults, "{:>9.3} s  {what} {word}", record.at.as_secs_f64());
            }
        }
        std::fs::write(folder.join("faults.txt"), faults).map_err(|e| told(&e))?;
        crate::plots::write(self, ran, folder).map_err(|e| told(&e))
    }
}

fn loads(rows: &[Vec<f32>]) -> Loads {
    let hosts = rows.first().map_or(0, Vec::len);
    let mean =
        |host: usize| rows.iter().map(|row| f64::from(row[host])).sum::<f64>() / rows.len() as f64;
    let means: Vec<f64> = (0..hosts).map(mean).collect();
    Loads {
        least: means.iter().copied().fold(f64::INFINITY, f64::min),
        mean: means.iter().sum::<f64>() / means.len().max(1) as f64,
        most: means.iter().copied().fold(0.0, f64::max),
        peak: rows
            .iter()
            .flatten()
            .map(|x| f64::from(*x))
            .fold(0.0, f64::max),
    }
}

/// CPU is told since a process's start; steps back are restarts.
fn proxy_use(used: &[crate::proxies::ResourceUsage]) -> ProxyUse {
    let steps: Vec<f64> = used
        .windows(2)
        .map(|w| w[1].cpu - w[0].cpu)
        .filter(|d| *d >= 0.0)
        .collect();
    let late = &steps[steps.len() * 2 / 3..];
    ProxyUse {
        cpu_share_late: late.iter().sum::<f64>() / late.len().max(1) as f64,
        cpu_share: steps.iter().sum::<f64>() / steps.len().max(1) as f64,
        cpu_share_most: steps.iter().copied().fold(0.0, f64::max),
        resident_kb: used.iter().map(|u| u.resident_kb).max().unwrap_or(0),
        descriptors: used.iter().map(|u| u.descriptors).max().unwrap_or(0),
    }
}
