//! The first line of a client's or the front proxy's connection, and the lines with which the proxy answers.

use super::line::LineError;
use std::ops::Range;
use std::time::Duration;

/// Longest time that a client may wait, in milliseconds: one hour. No client means a longer one, and servers reject it.
const MAX_WAIT_MS: f64 = 3_600_000.0;
/// Most digits of a hexadecimal 64-bit number.
const MAX_HEX_DIGITS: usize = 16;

/// The first line of a connection.
#[derive(Debug, PartialEq)]
pub enum ClientGreeting<'a> {
    /// The front proxy's health check.
    Ping,
    /// A client's request for a session.
    Open(OpenRequest<'a>),
}

/// A client's request for a session: `OPEN <id> <key> <name>=<value>,...`.
#[derive(Debug, PartialEq)]
pub struct OpenRequest<'a> {
    /// The client's identifier of the session.
    pub id: &'a str,
    /// The session's hash key for the choice of a server.
    pub key: u64,
    /// The listener's name (`c`).
    pub listener: &'a str,
    /// The tenant's name (`t`), if the client names one.
    pub tenant: Option<&'a str>,
    /// How long the client waits (`d`), at most one hour. Only a session that was open before the proxy started may
    /// omit `d`; the wait is zero then.
    pub wait: Duration,
    /// Position of the value of `d` in the line, in bytes; empty if `d` is absent.
    pub wait_range: Range<usize>,
    /// The group (`g`), if the client names one. Sessions of one group share work at a server.
    pub group: Option<u64>,
    /// The client was connected before (`again`).
    pub reconnecting: bool,
    /// The client says that an earlier attempt failed (`r`).
    pub earlier_attempt_failed: bool,
    /// Unique name of the server at which the session was open before the proxy started (`at`), if it was.
    pub restored_server_uid: Option<&'a str>,
}

/// The answer to a health check.
pub const PONG_LINE: &[u8] = b"PONG\r\n";
/// The request failed.
pub const ERROR_LINE: &[u8] = b"ERR\r\n";
/// The client is to connect again elsewhere.
pub const MOVE_LINE: &[u8] = b"MOVE\r\n";

/// The rejection of a request, with the time after which to retry in milliseconds. A zero time is omitted.
pub fn busy_line(retry_after: Duration) -> String {
    match retry_after.as_millis() {
        0 => "BUSY\r\n".into(),
        ms => format!("BUSY {ms}\r\n"),
    }
}

/// Parses a connection's first line, given without its CRLF.
///
/// Fields with unknown names are ignored. The error names the field that is missing or invalid.
pub fn parse_greeting(line: &str) -> Result<ClientGreeting<'_>, LineError> {
    if line == "PING" {
        return Ok(ClientGreeting::Ping);
    }
    let rest = line.strip_prefix("OPEN ").ok_or(LineError::Unknown)?;
    let (id, rest) = rest.split_once(' ').ok_or(LineError::Malformed("id"))?;
    let (key, list) = rest.split_once(' ').ok_or(LineError::Malformed("key"))?;
    if id.is_empty() || list.contains(' ') {
        return Err(LineError::Malformed("list"));
    }
    let key = parse_hex(key).ok_or(LineError::Malformed("key"))?;
    let fields = parse_fields(line, list)?;
    let (wait, wait_range) = fields.wait()?;
    Ok(ClientGreeting::Open(OpenRequest {
        id,
        key,
        listener: fields.listener.ok_or(LineError::Malformed("c"))?,
        tenant: fields.tenant,
        wait,
        wait_range,
        group: fields.group,
        reconnecting: fields.reconnecting,
        earlier_attempt_failed: fields.earlier_attempt_failed,
        restored_server_uid: fields.restored_server_uid,
    }))
}

/// The fields of a request, which may be in any order; the last one of a repeated field counts.
#[derive(Default)]
struct OpenFields<'a> {
    listener: Option<&'a str>,
    tenant: Option<&'a str>,
    wait_ms: Option<(f64, Range<usize>)>,
    group: Option<u64>,
    reconnecting: bool,
    earlier_attempt_failed: bool,
    restored_server_uid: Option<&'a str>,
}

/// Parses the fields in `list`, with which `line` ends.
fn parse_fields<'a>(line: &str, list: &'a str) -> Result<OpenFields<'a>, LineError> {
    let mut fields = OpenFields::default();
    let mut offset = line.len() - list.len();
    for pair in list.split(',') {
        let (name, value) = pair.split_once('=').ok_or(LineError::Malformed("pair"))?;
        let value_range = offset + name.len() + 1..offset + pair.len();
        offset += pair.len() + 1;
        match name {
            "c" => fields.listener = Some(value),
            "t" => fields.tenant = Some(value),
            "g" => fields.group = Some(parse_hex(value).ok_or(LineError::Malformed("g"))?),
            "again" => fields.reconnecting = value == "1",
            "r" => fields.earlier_attempt_failed = value == "1",
            "at" => fields.restored_server_uid = Some(value),
            "d" => {
                let wait_ms = parse_milliseconds(value).ok_or(LineError::Malformed("d"))?;
                fields.wait_ms = Some((wait_ms, value_range));
            }
            _ => {}
        }
    }
    Ok(fields)
}

impl OpenFields<'_> {
    /// How long the client waits, and the position of that value in the line.
    fn wait(&self) -> Result<(Duration, Range<usize>), LineError> {
        let restored = self.restored_server_uid.is_some();
        let (wait_ms, range) = match &self.wait_ms {
            Some((wait_ms, range)) => (*wait_ms, range.clone()),
            // A session that was open before does not wait for a server.
            None if restored => (0.0, 0..0),
            None => return Err(LineError::Malformed("d")),
        };
        if wait_ms > MAX_WAIT_MS && !restored {
            return Err(LineError::Malformed("d"));
        }
        let wait = Duration::from_secs_f64(wait_ms.min(MAX_WAIT_MS) / 1e3);
        Ok((wait, range))
    }
}

fn parse_hex(digits: &str) -> Option<u64> {
    let number = u64::from_str_radix(digits, 16).ok()?;
    Some(number).filter(|_| digits.len() <= MAX_HEX_DIGITS)
}

/// Parses a decimal number without a sign or an exponent; words such as `inf` are rejected.
fn parse_milliseconds(text: &str) -> Option<f64> {
    let plain = text
        .bytes()
        .all(|byte| byte.is_ascii_digit() || byte == b'.');
    let milliseconds: f64 = text.parse().ok()?;
    Some(milliseconds).filter(|value| plain && value.is_finite())
}
