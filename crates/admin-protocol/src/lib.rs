//! The control socket's words: JSON, a line each, with a version; and the operator's side of it.
#![allow(
    missing_docs,
    unreachable_pub,
    missing_debug_implementations,
    rust_2018_idioms
)] // Not yet brought to the workspace lints.
#![allow(clippy::too_many_lines, clippy::cognitive_complexity)] // Not yet brought to the workspace lints.

use serde::{Deserialize, Serialize};
use std::io::{BufRead, BufReader, Read, Write};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Of the words below. A proxy answers another version with an error.
pub const VERSION: u32 = 1;
/// Longest request, its line end included.
pub const LONGEST: usize = 1024;
/// Longest reply.
pub const LONGEST_REPLY: usize = 8192;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdminRequest {
    pub v: u32,
    #[serde(rename = "do")]
    pub verb: AdminCommand,
    /// For `drain`: by when it is to be empty, in milliseconds from now, and connections moved a second.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pace: Option<f64>,
    /// Of whoever owns the work of the fleet; without it, an order is one operator's word.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub owner: Option<LeaderToken>,
}

/// By which a late order of an owner is known: its term, the process that it is for, and its end by that process's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaderToken {
    pub term: u64,
    pub boot: u64,
    pub until_us: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AdminCommand {
    Status,
    Drain,
    Undrain,
    /// An owner of the fleet's work wants its term to be heard.
    Hear,
    /// Leave in good order, as at SIGTERM; of an owner's only.
    Leave,
    /// Whether clients are taken in.
    Ready,
    /// The figures.
    Stats,
}

/// What operators call over HTTP: method, path, command.
pub const CALLS: &[(&str, &str, AdminCommand)] = &[
    ("GET", "/ops/readiness", AdminCommand::Ready),
    ("GET", "/ops/stats", AdminCommand::Stats),
    ("POST", "/ops/drain/start", AdminCommand::Drain),
    ("POST", "/ops/drain/stop", AdminCommand::Undrain),
];

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AdminReply {
    pub v: u32,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub error: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub status: Option<ProxyStatus>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ProxyStatus {
    /// Of the process; another after a restart.
    pub pid: u32,
    pub state: String,
    /// Milliseconds since the proxy began to serve.
    pub up_ms: u64,
    pub open: usize,
    pub pending: usize,
    pub strangers: usize,
    /// Of this drain.
    pub moved: u64,
    /// Connections moved a second, and the connections that hosts can absorb by their reports.
    pub pace: f64,
    pub room: Option<f64>,
    /// Milliseconds until it is expected to be empty, and until its deadline.
    pub expected_ms: Option<u64>,
    pub deadline_ms: Option<u64>,
    /// It serves, and has done so for long enough that another may be drained.
    pub carries: bool,
    /// Sessions taken since the start.
    pub taken: u64,
    /// Who is left, by listener.
    pub left: Vec<(String, usize)>,
    pub hosts_ready: usize,
    pub hosts: usize,
    /// When discovery last told or showed that it lives, in milliseconds ago.
    pub discovery_ms: Option<u64>,
    /// What is made of places, where there are several; those that are not whole first.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub places: Vec<ZoneStatus>,
    /// How far a start after a power loss has come; `None` where it goes by no stages.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub start: Option<WarmStartStatus>,
    /// Refused for want of room, by listener and reason; and what a session of a listener takes, where servers told.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub refusals: Vec<AdmissionStatus>,
    /// Of this process, and what its clock says, in microseconds: what an owner's order states its end by.
    #[serde(default)]
    pub boot: u64,
    #[serde(default)]
    pub clock_us: u64,
    /// The highest owner's term heard.
    #[serde(default)]
    pub term: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WarmStartStatus {
    pub stage: String,
    /// Milliseconds since it came to it.
    pub since_ms: u64,
    /// Hosts by who told of them: how many, and how many of these answer or were told of by discovery since.
    pub sources: Vec<(String, usize, usize)>,
    /// Hosts that lapsed, were replaced or left out.
    pub dropped: u64,
    /// Snapshots written and failed, where any are kept.
    pub saved: Option<(u64, u64)>,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AdmissionStatus {
    pub listener: String,
    pub refused: Vec<(String, u64)>,
    /// Work a second, its mean distance from that, and milliseconds since it was last told.
    pub takes: Option<(f64, f64, u64)>,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ZoneStatus {
    pub name: String,
    pub state: String,
    /// Milliseconds since it was found so.
    pub since_ms: u64,
    /// Doubts that proved none, and times that it was given up and answered at once.
    pub doubts: u64,
    pub false_alarms: u64,
}

impl AdminRequest {
    pub fn new(verb: AdminCommand) -> AdminRequest {
        AdminRequest {
            v: VERSION,
            verb,
            deadline_ms: None,
            pace: None,
            owner: None,
        }
    }

    /// Reads a line; an error says what is wrong with it.
    pub fn read(line: &[u8]) -> Result<AdminRequest, String> {
        let request: AdminRequest =
            serde_json::from_slice(line).map_err(|e| format!("not a request: {e}"))?;
        if request.v != VERSION {
            return Err(format!("v is {}; this proxy speaks {VERSION}", request.v));
        }
        if request.verb != AdminCommand::Drain
            && (request.deadline_ms.is_some() || request.pace.is_some())
        {
            return Err("deadline_ms and pace go with drain".into());
        }
        if matches!(request.verb, AdminCommand::Hear | AdminCommand::Leave)
            && request.owner.is_none()
        {
            return Err("hear and leave are an owner's: owner is missing".into());
        }
        if request.deadline_ms.is_some_and(|ms| ms > 86_400_000) {
            return Err("deadline_ms is more than a day".into());
        }
        if request
            .pace
            .is_some_and(|pace| !(0.1..=100_000.0).contains(&pace))
        {
            return Err("pace is out of range; allowed are 0.1 to 100000 a second".into());
        }
        Ok(request)
    }
}

impl AdminReply {
    pub fn status(status: ProxyStatus) -> AdminReply {
        AdminReply {
            v: VERSION,
            error: None,
            status: Some(status),
            text: None,
        }
    }

    pub fn error(what: impl Into<String>) -> AdminReply {
        AdminReply {
            v: VERSION,
            error: Some(what.into()),
            status: None,
            text: None,
        }
    }

    pub fn text(text: String) -> AdminReply {
        AdminReply {
            v: VERSION,
            error: None,
            status: None,
            text: Some(text),
        }
    }

    /// A line, its end included.
    pub fn line(&self) -> String {
        serde_json::to_string(self).unwrap_or_default() + "\n"
    }
}

/// The operator's end of a control socket.
pub struct AdminClient {
    stream: BufReader<UnixStream>,
    path: PathBuf,
}

/// Longest that a proxy may take to answer.
const PATIENCE: Duration = Duration::from_secs(3);

impl AdminClient {
    pub fn connect(path: &Path) -> Result<AdminClient, String> {
        let told = |e| format!("{}: {e}", path.display());
        let stream = UnixStream::connect(path).map_err(told)?;
        stream.set_read_timeout(Some(PATIENCE)).map_err(told)?;
        stream.set_write_timeout(Some(PATIENCE)).map_err(told)?;
        Ok(AdminClient {
            stream: BufReader::new(stream),
            path: path.to_path_buf(),
        })
    }

    /// Asks and waits for the answer.
    pub fn ask(&mut self, request: &AdminRequest) -> Result<ProxyStatus, String> {
        let told = |e: &dyn std::fmt::Display| format!("{}: {e}", self.path.display());
        let line = serde_json::to_string(request).map_err(|e| told(&e))? + "\n";
        self.stream
            .get_mut()
            .write_all(line.as_bytes())
            .map_err(|e| told(&e))?;
        let mut answer = String::new();
        let mut bounded = (&mut self.stream).take(LONGEST_REPLY as u64);
        bounded.read_line(&mut answer).map_err(|e| told(&e))?;
        let reply: AdminReply = serde_json::from_str(&answer).map_err(|e| told(&e))?;
        match (reply.error, reply.status) {
            (Some(error), _) => Err(told(&error)),
            (None, Some(status)) => Ok(status),
            (None, None) => Err(told(&"an empty answer")),
        }
    }
}
