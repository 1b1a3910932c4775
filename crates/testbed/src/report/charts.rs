//! The charts of a run.

use super::types::Report;
use crate::event_log::Event;
use crate::plots::{Chart, ChartError, ChartLine};
use crate::proxy_process::ResourceUsage;
use crate::run::RunOutcome;
use std::path::Path;

/// Label of the x axis of all charts.
const SECONDS_AXIS: &str = "seconds; grey: a fault begins";

/// Draws `service.svg`, `hosts.svg` and `proxies.svg` into a folder.
pub(super) fn draw(report: &Report, outcome: &RunOutcome, folder: &Path) -> Result<(), ChartError> {
    let fault_starts = fault_start_seconds(outcome);
    let charts = [
        RunChart {
            file: "service.svg",
            title: "clients: wanted and well served",
            y_label: "clients",
            lines: service_lines(report),
        },
        RunChart {
            file: "hosts.svg",
            title: "load of each host",
            y_label: "asked / can do",
            lines: host_lines(&outcome.host_loads),
        },
        RunChart {
            file: "proxies.svg",
            title: "processor of each proxy",
            y_label: "share of a core",
            lines: proxy_lines(&outcome.proxy_usage),
        },
    ];
    for RunChart {
        file,
        title,
        y_label,
        lines,
    } in charts
    {
        let chart = Chart {
            title,
            x_label: SECONDS_AXIS,
            y_label,
            lines,
            vertical_marks: fault_starts.clone(),
        };
        chart.draw(&folder.join(file))?;
    }
    Ok(())
}

/// A chart of a run over time.
struct RunChart {
    file: &'static str,
    title: &'static str,
    y_label: &'static str,
    lines: Vec<ChartLine>,
}

/// When faults began, in seconds since the plan's clock began.
fn fault_start_seconds(outcome: &RunOutcome) -> Vec<f64> {
    let plan_start = outcome
        .context
        .plan_start()
        .unwrap_or_default()
        .as_secs_f64();
    let events = outcome.events.iter();
    events
        .filter(|event| matches!(event.seen, Event::Fault { begins: true, .. }))
        .map(|event| event.at.as_secs_f64() - plan_start)
        .collect()
}

fn service_lines(report: &Report) -> Vec<ChartLine> {
    let seconds = || {
        let numbered = report.seconds.iter().enumerate();
        numbered.map(|(second, service)| (second as f64, service))
    };
    vec![
        ChartLine {
            name: "wanted".into(),
            points: seconds()
                .map(|(second, service)| (second, service.wanted))
                .collect(),
        },
        ChartLine {
            name: "well served".into(),
            points: seconds()
                .map(|(second, service)| (second, service.served))
                .collect(),
        },
    ]
}

/// One line for each host, from rows of all hosts' utilization for each second.
fn host_lines(rows: &[Vec<f32>]) -> Vec<ChartLine> {
    let hosts = rows.first().map_or(0, Vec::len);
    let points = |host: usize| {
        let seconds = rows.iter().enumerate();
        seconds.map(move |(second, row)| (second as f64, f64::from(row[host])))
    };
    (0..hosts)
        .map(|host| ChartLine {
            name: format!("host {host}"),
            points: points(host).collect(),
        })
        .collect()
}

/// One line for each proxy: its CPU time per second. A decrease of the CPU time is a restart and is left out.
fn proxy_lines(proxies: &[Vec<ResourceUsage>]) -> Vec<ChartLine> {
    let points = |usage: &[ResourceUsage]| {
        usage
            .windows(2)
            .filter(|pair| pair[1].cpu >= pair[0].cpu)
            .map(|pair| (pair[1].second as f64, pair[1].cpu - pair[0].cpu))
            .collect()
    };
    proxies
        .iter()
        .enumerate()
        .map(|(number, usage)| ChartLine {
            name: format!("proxy {number}"),
            points: points(usage),
        })
        .collect()
}
