//! What clients and the front say first, and what they are told.

use super::line::Fault;
use std::ops::Range;
use std::time::Duration;

/// Longer waits than this nobody means; servers turn them away.
const LONGEST_WAIT: f64 = 3_600_000.0;

#[derive(Debug, PartialEq)]
pub enum Greeting<'a> {
    Ping,
    Open(Open<'a>),
}

#[derive(Debug, PartialEq)]
pub struct Open<'a> {
    pub id: &'a str,
    pub item: u64,
    pub listener: &'a str,
    pub member: Option<&'a str>,
    /// How long the client waits, and where that stands in the line; only a connection that was open before
    /// may come without.
    pub wait: Duration,
    pub wait_at: Range<usize>,
    pub group: Option<u64>,
    /// The client was connected before.
    pub again: bool,
    /// It says that an earlier try failed.
    pub failed: bool,
    /// The server at which the connection was open before this proxy started.
    pub open_at: Option<&'a str>,
}

pub const PONG: &[u8] = b"PONG\r\n";
pub const FAILED: &[u8] = b"ERR\r\n";
pub const MOVE: &[u8] = b"MOVE\r\n";

pub fn refusal(come_back: Duration) -> String {
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
pub fn greeting(line: &str) -> Result<Greeting<'_>, Fault> {
    if line == "PING" {
        return Ok(Greeting::Ping);
    }
    let rest = line.strip_prefix("OPEN ").ok_or(Fault::Unknown)?;
    let (id, rest) = rest.split_once(' ').ok_or(Fault::Malformed("id"))?;
    let (item, list) = rest.split_once(' ').ok_or(Fault::Malformed("key"))?;
    if id.is_empty() || list.contains(' ') {
        return Err(Fault::Malformed("list"));
    }
    let item = number(item).ok_or(Fault::Malformed("key"))?;
    let (mut listener, mut member, mut wait, mut group, mut open_at) =
        (None, None, None, None, None);
    let (mut again, mut failed) = (false, false);
    let mut at = line.len() - list.len();
    for pair in list.split(',') {
        let (name, value) = pair.split_once('=').ok_or(Fault::Malformed("pair"))?;
        let value_at = at + name.len() + 1..at + pair.len();
        at += pair.len() + 1;
        match name {
            "c" => listener = Some(value),
            "t" => member = Some(value),
            "g" => group = Some(number(value).ok_or(Fault::Malformed("g"))?),
            "again" => again = value == "1",
            "r" => failed = value == "1",
            "at" => open_at = Some(value),
            "d" => {
                let digits = value.bytes().all(|b| b.is_ascii_digit() || b == b'.');
                let ms = value
                    .parse()
                    .ok()
                    .filter(|ms: &f64| digits && ms.is_finite());
                wait = Some((ms.ok_or(Fault::Malformed("d"))?, value_at));
            }
            _ => {}
        }
    }
    // One that was open before waits for nothing.
    let wait = wait.or(open_at.map(|_| (0.0, 0..0)));
    let meant = wait.filter(|(ms, _)| *ms <= LONGEST_WAIT || open_at.is_some());
    let (ms, wait_at) = meant.ok_or(Fault::Malformed("d"))?;
    let wait = Duration::from_secs_f64(ms.min(LONGEST_WAIT) / 1e3);
    let listener = listener.ok_or(Fault::Malformed("c"))?;
    Ok(Greeting::Open(Open {
        id,
        item,
        listener,
        member,
        wait,
        wait_at,
        group,
        again,
        failed,
        open_at,
    }))
}
