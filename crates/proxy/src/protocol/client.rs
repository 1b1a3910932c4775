//! What clients and the front say first, and what they are told.

use super::line::LineError;
use std::ops::Range;
use std::time::Duration;

/// Longer waits than this nobody means; servers turn them away.
const LONGEST_WAIT: f64 = 3_600_000.0;

#[derive(Debug, PartialEq)]
pub enum ClientGreeting<'a> {
    Ping,
    Open(OpenRequest<'a>),
}

#[derive(Debug, PartialEq)]
pub struct OpenRequest<'a> {
    pub id: &'a str,
    pub key: u64,
    pub listener: &'a str,
    pub tenant: Option<&'a str>,
    /// How long the client waits, and where that stands in the line; only a connection that was open before
    /// may come without.
    pub wait: Duration,
    pub wait_range: Range<usize>,
    pub group: Option<u64>,
    /// The client was connected before.
    pub reconnecting: bool,
    /// It says that an earlier try failed.
    pub earlier_attempt_failed: bool,
    /// The server at which the connection was open before this proxy started.
    pub inherited_from: Option<&'a str>,
}

pub const PONG_LINE: &[u8] = b"PONG\r\n";
pub const ERROR_LINE: &[u8] = b"ERR\r\n";
pub const MOVE_LINE: &[u8] = b"MOVE\r\n";

pub fn busy_line(come_back: Duration) -> String {
    match come_back.as_millis() {
        0 => "BUSY\r\n".into(),
        ms => format!("BUSY {ms}\r\n"),
    }
}

fn number(hex: &str) -> Option<u64> {
    u64::from_str_radix(hex, 16)
        .ok()
        .filter(|_| hex.len() <= 16)
}

/// Figures that this program does not use may follow under names of their own.
pub fn parse_greeting(line: &str) -> Result<ClientGreeting<'_>, LineError> {
    if line == "PING" {
        return Ok(ClientGreeting::Ping);
    }
    let rest = line.strip_prefix("OPEN ").ok_or(LineError::Unknown)?;
    let (id, rest) = rest.split_once(' ').ok_or(LineError::Malformed("id"))?;
    let (item, list) = rest.split_once(' ').ok_or(LineError::Malformed("key"))?;
    if id.is_empty() || list.contains(' ') {
        return Err(LineError::Malformed("list"));
    }
    let item = number(item).ok_or(LineError::Malformed("key"))?;
    let (mut listener, mut member, mut wait, mut group, mut open_at) =
        (None, None, None, None, None);
    let (mut again, mut failed) = (false, false);
    let mut at = line.len() - list.len();
    for pair in list.split(',') {
        let (name, value) = pair.split_once('=').ok_or(LineError::Malformed("pair"))?;
        let value_at = at + name.len() + 1..at + pair.len();
        at += pair.len() + 1;
        match name {
            "c" => listener = Some(value),
            "t" => member = Some(value),
            "g" => group = Some(number(value).ok_or(LineError::Malformed("g"))?),
            "again" => again = value == "1",
            "r" => failed = value == "1",
            "at" => open_at = Some(value),
            "d" => {
                let digits = value.bytes().all(|b| b.is_ascii_digit() || b == b'.');
                let ms = value
                    .parse()
                    .ok()
                    .filter(|ms: &f64| digits && ms.is_finite());
                wait = Some((ms.ok_or(LineError::Malformed("d"))?, value_at));
            }
            _ => {}
        }
    }
    // One that was open before waits for nothing.
    let wait = wait.or(open_at.map(|_| (0.0, 0..0)));
    let meant = wait.filter(|(ms, _)| *ms <= LONGEST_WAIT || open_at.is_some());
    let (ms, wait_at) = meant.ok_or(LineError::Malformed("d"))?;
    let wait = Duration::from_secs_f64(ms.min(LONGEST_WAIT) / 1e3);
    let listener = listener.ok_or(LineError::Malformed("c"))?;
    Ok(ClientGreeting::Open(OpenRequest {
        id,
        key: item,
        listener,
        tenant: member,
        wait,
        wait_range: wait_at,
        group,
        reconnecting: again,
        earlier_attempt_failed: failed,
        inherited_from: open_at,
    }))
}
