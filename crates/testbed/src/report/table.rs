//! The table that is printed at the end of a run.

use super::types::{LatencySummary, ProxyUsage, Report};
use std::collections::BTreeMap;

/// Largest number of proxies that get a row.
const MAX_PROXIES: usize = 8;

/// Largest number of violations that are printed below the table.
const MAX_VIOLATIONS: usize = 3;

/// A text table whose rows have a name and a value.
#[derive(Debug, Default)]
struct TextTable(String);

impl TextTable {
    fn row(&mut self, name: &str, value: impl std::fmt::Display) {
        self.0.push_str(&format!("  {name:<34} {value}\n"));
    }

    fn share(&mut self, name: &str, share: f64) {
        self.row(name, format!("{share:.4}"));
    }
}

impl Report {
    /// The table that is printed at the end of a run, followed by the first violations with their timelines.
    pub fn table(&self) -> String {
        let mut table = TextTable::default();
        self.session_rows(&mut table);
        self.service_rows(&mut table);
        self.latency_rows(&mut table);
        self.usage_rows(&mut table);
        let late = format!("{:.1} ms", self.testbed_late_ms);
        table.row("the rig was late by at most", late);
        table.row("rules", self.verdict_text());
        table.0 + &self.violations_text()
    }

    fn session_rows(&self, table: &mut TextTable) {
        let tally = &self.tally;
        table.row(
            "scenario, proxy, seed",
            format!("{}, {}, {}", self.scenario, self.program, self.seed),
        );
        table.row("sessions asked for", tally.sessions);
        table.row(
            "  accepted, refused, torn down",
            format!("{}, {}, {}", tally.accepted, tally.rejected, tally.failed),
        );
        table.row(
            "  left, taken by a killed proxy",
            format!("{}, {}", tally.client_left, tally.died_with_proxy),
        );
        let dials = tally.dials as f64 / tally.sessions.max(1) as f64;
        table.row("dials a session", format!("{dials:.3}"));
        table.row("moved", tally.migrated);
        if tally.misbehaving_clients > 0 {
            table.row(
                "bad clients told in time",
                format!(
                    "{} of {}",
                    tally.misbehaving_clients_answered, tally.misbehaving_clients
                ),
            );
        }
    }

    fn service_rows(&self, table: &mut TextTable) {
        let service = &self.service;
        table.share("wanted seconds well served", service.overall);
        table.share("  worst ten seconds", service.worst_ten_seconds);
        for (row, worst) in [
            ("  worst listener", &service.worst_listener),
            ("  worst member", &service.worst_tenant),
        ] {
            table.row(row, format!("{:.4} {}", worst.share, worst.name));
        }
    }

    fn latency_rows(&self, table: &mut TextTable) {
        for set_up in &self.set_ups {
            let within = format!("{:.4} within target", set_up.within_target);
            table.row(
                &format!("set-up {}", set_up.listener),
                format!("{}, {within}", latency_text(&set_up.ms)),
            );
        }
        table.row("messages", latency_text(&self.message_ms));
    }

    fn usage_rows(&self, table: &mut TextTable) {
        let hosts = &self.host_utilization;
        table.row(
            "load of hosts",
            format!(
                "least {:.2} mean {:.2} most {:.2} peak {:.2}",
                hosts.min, hosts.mean, hosts.max, hosts.peak
            ),
        );
        for (number, usage) in self.proxies.iter().enumerate().take(MAX_PROXIES) {
            table.row(&format!("proxy {number}"), usage_text(usage));
        }
    }

    fn verdict_text(&self) -> String {
        if self.void {
            return "void: the rig was too late to tell".to_string();
        }
        let mut violations_by_rule: BTreeMap<&str, usize> = BTreeMap::new();
        for violation in &self.violations {
            *violations_by_rule.entry(violation.rule).or_default() += 1;
        }
        if violations_by_rule.is_empty() {
            "held".to_string()
        } else {
            format!("BROKEN {violations_by_rule:?}")
        }
    }

    fn violations_text(&self) -> String {
        let mut text = String::new();
        for violation in self.violations.iter().take(MAX_VIOLATIONS) {
            text.push_str(&format!(
                "\n{}: {}\n",
                violation.rule, violation.description
            ));
            for line in &violation.timeline {
                text.push_str(&format!("  {line}\n"));
            }
        }
        text
    }
}

fn latency_text(ms: &LatencySummary) -> String {
    format!("p50 {:.1} p99 {:.1} most {:.0} ms", ms.p50, ms.p99, ms.max)
}

fn usage_text(usage: &ProxyUsage) -> String {
    let (mean, max) = (usage.cpu_share, usage.cpu_share_max);
    let (resident_kb, descriptors) = (usage.resident_kb, usage.descriptors);
    format!("cpu {mean:.3} (most {max:.3}), {resident_kb} KiB, {descriptors} descriptors")
}
