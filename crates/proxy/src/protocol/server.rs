//! The lines that servers send, with their load reports, and the health check that servers receive.

use asterramp_placement::event::ServerLoad;
use asterramp_placement::settings::LoadReportFormat;

/// A line from a server. Variants for lines that may end with a load report hold its text, empty if there is none.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServerLine<'a> {
    /// The session is open.
    Up,
    /// The session has ended normally; with a load report.
    Bye(&'a str),
    /// The server is draining: the client is to connect again elsewhere.
    Move,
    /// The attempt failed; with a load report.
    Error(&'a str),
    /// The server is full; with a load report.
    Busy(&'a str),
    /// The response to a health check; with a load report.
    Pong(&'a str),
    /// The load that this connection causes at the server now, in the unit of the server's load reports.
    Load(f64),
    /// Any other line, such as `NO`, which rejects a health check, or a line that is meant for the client.
    Other,
}

/// The health check, which asks for a load report.
pub const STATS_LINE: &[u8] = b"STATS\r\n";

/// Parses a server's line, given without its CRLF.
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

/// The load in a report. `format`, from the settings, says which names its values have.
pub fn load_from_report(format: &LoadReportFormat, report: &str) -> ServerLoad {
    format.load(|_, name| report_value(report, name))
}

/// One value of a load report such as `x0=0.5,queue=2`; `None` if it is absent, negative or not finite.
pub fn report_value(report: &str, name: &str) -> Option<f64> {
    let mut pairs = report.split(',').filter_map(|pair| pair.split_once('='));
    let value: f64 = pairs.find(|pair| pair.0 == name)?.1.parse().ok()?;
    Some(value).filter(|value| value.is_finite() && *value >= 0.0)
}
