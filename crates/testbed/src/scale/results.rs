//! The table and the charts of the results.

use super::point::ScalePoint;
use super::sizes::{HOST_COUNTS, IDLE, LINES, SET_UPS};
use crate::plots::{Chart, ChartLine};
use crate::report::WriteError;
use std::path::Path;

/// The headers of the table's columns.
const COLUMNS: [&str; 13] = [
    "what",
    "hosts",
    "proxies",
    "standing",
    "set-ups/s",
    "lines/s",
    "answer p50/p99 ms",
    "message p99 ms",
    "cpu a proxy",
    "late",
    "KiB a proxy",
    "accepted",
    "rig late ms",
];

/// A Markdown table with a row for each point.
pub fn table(points: &[ScalePoint]) -> String {
    let mut text = format!("| {} |\n", COLUMNS.join(" | "));
    text.push_str(&format!("|{}\n", " --- |".repeat(COLUMNS.len())));
    for point in points {
        text.push_str(&row(point));
    }
    text
}

fn row(point: &ScalePoint) -> String {
    let void = if point.void { " (void)" } else { "" };
    let cells = [
        point.series.to_string(),
        point.hosts.to_string(),
        point.proxies.to_string(),
        point.standing_connections.to_string(),
        format!("{:.0}", point.set_ups_per_second),
        format!("{:.0}", point.lines_per_second),
        format!("{:.1} / {:.1}", point.answer_p50_ms, point.answer_p99_ms),
        format!("{:.1}", point.message_p99_ms),
        format!("{:.3}", point.cpu_share),
        format!("{:.3}", point.cpu_share_late),
        format!("{:.0}", point.resident_kb),
        format!("{:.3}", point.accepted_share),
        format!("{:.0}{void}", point.testbed_late_ms),
    ];
    format!("| {} |\n", cells.join(" | "))
}

/// Draws two charts into a folder, which is created if missing: CPU use by new sessions a second into
/// `scale-set-ups.svg`, and by standing connections into `scale-standing.svg`.
pub fn plots(points: &[ScalePoint], folder: &Path) -> Result<(), WriteError> {
    std::fs::create_dir_all(folder).map_err(|source| WriteError::new(folder, source))?;
    let charts = [
        ("scale-set-ups.svg", set_up_chart(points)),
        ("scale-standing.svg", standing_chart(points)),
    ];
    for (file, chart) in charts {
        chart
            .draw(&folder.join(file))
            .map_err(|source| WriteError::new(folder, source))?;
    }
    Ok(())
}

fn set_up_chart(points: &[ScalePoint]) -> Chart<'static> {
    let line_of_hosts = |hosts: u32| ChartLine {
        name: format!("{hosts} hosts"),
        points: points
            .iter()
            .filter(|point| point.series == SET_UPS && point.hosts == hosts)
            .map(|point| (point.set_ups_per_second, point.cpu_share))
            .collect(),
    };
    Chart {
        title: "one proxy: processor by set-ups",
        x_label: "set-ups a second",
        y_label: "share of a core",
        lines: HOST_COUNTS.map(line_of_hosts).to_vec(),
        vertical_marks: Vec::new(),
    }
}

fn standing_chart(points: &[ScalePoint]) -> Chart<'static> {
    let line_of_series = |series: &str| ChartLine {
        name: series.to_string(),
        points: points
            .iter()
            .filter(|point| point.series == series)
            .map(|point| (f64::from(point.standing_connections), point.cpu_share_late))
            .collect(),
    };
    Chart {
        title: "one proxy: processor by connections",
        x_label: "standing connections",
        y_label: "share of a core",
        lines: [IDLE, LINES].map(line_of_series).to_vec(),
        vertical_marks: Vec::new(),
    }
}
