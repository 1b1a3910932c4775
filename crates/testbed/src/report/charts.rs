//! The charts of a run.

use super::types::Report;
use crate::event_log::Event;
use crate::plots::{Chart, ChartError, ChartLine};
use crate::proxy_process::ResourceUsage;
use crate::run::RunOutcome;
use std::path::Path;

const SECONDS_AXIS: &str = "seconds; grey: a fault begins";

/// Draws `service.svg`, `hosts.svg` and `proxies.svg` into a folder.
pub(super) fn draw(report: &Report, ran: &RunOutcome, folder: &Path) -> Result<(), ChartError> {
    let marks = fault_beginnings(ran);
    let charts = [
        RunChart {
            file: "service.svg",
            title: "clients: wanted and well served",
            y: "clients",
            lines: service_lines(report),
        },
        RunChart {
            file: "hosts.svg",
            title: "load of each host",
            y: "asked / can do",
            lines: host_lines(&ran.host_loads),
        },
        RunChart {
            file: "proxies.svg",
            title: "processor of each proxy",
            y: "share of a core",
            lines: proxy_lines(&ran.proxy_usage),
        },
    ];
    for RunChart {
        file,
        title,
        y,
        lines,
    } in charts
    {
        let chart = Chart {
            title,
            x_label: SECONDS_AXIS,
            y_label: y,
            lines,
            vertical_marks: marks.clone(),
        };
        chart.draw(&folder.join(file))?;
    }
    Ok(())
}

/// What the charts of a run differ by.
struct RunChart {
    file: &'static str,
    title: &'static str,
    y: &'static str,
    lines: Vec<ChartLine>,
}

/// In seconds since the run's begin.
fn fault_beginnings(ran: &RunOutcome) -> Vec<f64> {
    let begin = ran.context.plan_start().unwrap_or_default().as_secs_f64();
    let events = ran.events.iter();
    events
        .filter(|event| matches!(event.seen, Event::Fault { begins: true, .. }))
        .map(|event| event.at.as_secs_f64() - begin)
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
            points: seconds().map(|(second, of)| (second, of.wanted)).collect(),
        },
        ChartLine {
            name: "well served".into(),
            points: seconds().map(|(second, of)| (second, of.served)).collect(),
        },
    ]
}

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

/// Steps back of the processor time are restarts, and left out.
fn proxy_lines(used: &[Vec<ResourceUsage>]) -> Vec<ChartLine> {
    let points = |used: &[ResourceUsage]| {
        used.windows(2)
            .filter(|pair| pair[1].cpu >= pair[0].cpu)
            .map(|pair| (pair[1].second as f64, pair[1].cpu - pair[0].cpu))
            .collect()
    };
    used.iter()
        .enumerate()
        .map(|(number, used)| ChartLine {
            name: format!("proxy {number}"),
            points: points(used),
        })
        .collect()
}
