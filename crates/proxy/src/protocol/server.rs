//! What servers say.

use asterramp_placement::event::Load;
use asterramp_placement::settings::LoadReportFormat;

/// A line of a server; those that may end with a load report carry it as text.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Said<'a> {
    Up,
    Bye(&'a str),
    Move,
    Erred(&'a str),
    Full(&'a str),
    Pong(&'a str),
    /// What the connection asks for now.
    Work(f64),
    /// Anything else, such as `NO` to a probe that is not allowed, or what only its client understands.
    Other,
}

pub const STATS: &[u8] = b"STATS\r\n";

pub fn said(line: &str) -> Said<'_> {
    let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
    match word {
        "UP" => Said::Up,
        "BYE" => Said::Bye(rest),
        "MOVE" => Said::Move,
        "ERR" => Said::Erred(rest),
        "BUSY" => Said::Full(rest),
        "PONG" => Said::Pong(rest),
        "LOAD" => rest
            .parse()
            .ok()
            .filter(|x: &f64| x.is_finite())
            .map_or(Said::Other, Said::Work),
        _ => Said::Other,
    }
}

/// What a load report says, by the names that the settings give its figures.
pub fn load(reports: &LoadReportFormat, report: &str) -> Load {
    reports.load(|_, name| figure(report, name))
}

/// One figure of a load report.
pub fn figure(report: &str, name: &str) -> Option<f64> {
    let mut pairs = report.split(',').filter_map(|pair| pair.split_once('='));
    let value: f64 = pairs.find(|(n, _)| *n == name)?.1.parse().ok()?;
    Some(value).filter(|v| v.is_finite() && *v >= 0.0)
}
