//! Lines that servers send, and the load reports in them.

use asterramp_placement::event::ServerLoad;
use asterramp_placement::settings::LoadReportFormat;

/// A line of a server. Those that may end with a load report carry it as text, empty where there is none.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServerLine<'a> {
    /// The session is open.
    Up,
    /// The session was served and ends; with a load report.
    Bye(&'a str),
    /// The server is draining: the client shall connect again elsewhere.
    Move,
    /// The attempt failed; with a load report.
    Error(&'a str),
    /// The server is full; with a load report.
    Busy(&'a str),
    /// The answer to a health check; with a load report.
    Pong(&'a str),
    /// What the connection asks of the server now, in the unit of its load reports.
    Load(f64),
    /// Anything else, such as `NO` to a health check that is not allowed, or what only the client understands.
    Other,
}

/// The health check, which asks for a load report.
pub const STATS_LINE: &[u8] = b"STATS\r\n";

/// What a server's line means; the line comes without its end.
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
            .filter(|load: &f64| load.is_finite())
            .map_or(ServerLine::Other, ServerLine::Load),
        _ => ServerLine::Other,
    }
}

/// The load in a report, whose values have the names that the settings give them.
pub fn load_from_report(format: &LoadReportFormat, report: &str) -> ServerLoad {
    format.load(|_, name| report_value(report, name))
}

/// One value of a load report such as `x0=0.5,queue=2`; `None` where it is absent, negative or no finite number.
pub fn report_value(report: &str, name: &str) -> Option<f64> {
    let mut pairs = report.split(',').filter_map(|pair| pair.split_once('='));
    let value: f64 = pairs.find(|pair| pair.0 == name)?.1.parse().ok()?;
    Some(value).filter(|value| value.is_finite() && *value >= 0.0)
}
