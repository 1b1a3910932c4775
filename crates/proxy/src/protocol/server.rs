//! What servers say.

use asterramp_placement::event::Load;
use asterramp_placement::settings::LoadReportFormat;

/// A line of a server; those that may end with a load report carry it as text.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServerLine<'a> {
    Up,
    Bye(&'a str),
    Move,
    Error(&'a str),
    Busy(&'a str),
    Pong(&'a str),
    /// What the connection asks for now.
    Load(f64),
    /// Anything else, such as `NO` to a probe that is not allowed, or what only its client understands.
    Other,
}

pub const STATS_LINE: &[u8] = b"STATS\r\n";

pub fn parse_server_line(line: &str) -> ServerLine<'_> {
    let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
    match word {
        "UP" => ServerLine::Up,
        "BYE" => ServerLine::Bye(rest),
        "MOVE" => ServerLine::Move,
        "ERR" => ServerLine::Error(rest),
        "BUSY" => ServerLine::Busy(rest),
        "PONG" => ServerLine::Pong(rest),
        "LOAD" => rest
            .parse()
            .ok()
            .filter(|x: &f64| x.is_finite())
            .map_or(ServerLine::Other, ServerLine::Load),
        _ => ServerLine::Other,
    }
}

/// What a load report says, by the names that the settings give its figures.
pub fn load_from_report(reports: &LoadReportFormat, report: &str) -> Load {
    reports.load(|_, name| report_value(report, name))
}

/// One figure of a load report.
pub fn report_value(report: &str, name: &str) -> Option<f64> {
    let mut pairs = report.split(',').filter_map(|pair| pair.split_once('='));
    let value: f64 = pairs.find(|(n, _)| *n == name)?.1.parse().ok()?;
    Some(value).filter(|v| v.is_finite() && *v >= 0.0)
}
