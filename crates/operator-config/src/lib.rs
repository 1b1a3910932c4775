//! The operator's file: what an installation switches on beside what the platform tells. Absent, all of it is
//! off. Every key, its default and its bounds stand here, and all that is wrong with a file is told at once.
#![allow(
    missing_docs,
    unreachable_pub,
    missing_debug_implementations,
    rust_2018_idioms
)] // Not yet brought to the workspace lints.
#![allow(clippy::too_many_lines, clippy::cognitive_complexity)] // Not yet brought to the workspace lints.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorConfig {
    /// The control socket; none without a path.
    pub control: Option<AdminSocketConfig>,
    pub drain: DrainConfig,
    pub site: ZoneFailoverConfig,
    /// Where snapshots for the next start go; none without a folder.
    pub state: Option<SnapshotConfig>,
    pub recovery: WarmStartConfig,
}

/// What is made of whole places: lost, cut off, returning.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneFailoverConfig {
    pub watch: bool,
    pub look: Duration,
    pub hold: Duration,
    pub hold_most: Duration,
    pub settle: Duration,
    /// Whether set-ups are paced by room while a place is lost, and whether utility alone decides between listeners where nobody
    /// has told what their sessions take.
    pub pace: bool,
    pub by_worth: bool,
}

/// What is kept on disk for the next start.
#[derive(Clone, Debug, PartialEq)]
pub struct SnapshotConfig {
    pub folder: PathBuf,
    pub every: Duration,
}

/// A start by stages, after a power loss.
#[derive(Clone, Debug, PartialEq)]
pub struct WarmStartConfig {
    pub stages: bool,
    pub look: Duration,
    pub probe: Duration,
    /// What tells the proxies of a fleet from others, and the doors of those that are asked what they know; nobody is asked, or
    /// answered, without.
    pub fleet: String,
    pub others: Vec<SocketAddr>,
}

impl Default for WarmStartConfig {
    fn default() -> Self {
        let (look, probe) = (Duration::from_millis(500), Duration::from_secs(2));
        WarmStartConfig {
            stages: false,
            look,
            probe,
            fleet: String::new(),
            others: Vec::new(),
        }
    }
}

impl Default for ZoneFailoverConfig {
    fn default() -> Self {
        ZoneFailoverConfig {
            watch: true,
            look: Duration::from_millis(1500),
            hold: Duration::from_secs(2),
            hold_most: Duration::from_secs(60),
            settle: Duration::from_secs(3),
            pace: true,
            by_worth: false,
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct AdminSocketConfig {
    pub socket: PathBuf,
    pub peers: usize,
}

#[derive(Clone, Debug, PartialEq)]
pub struct DrainConfig {
    pub deadline: Duration,
    pub closing: Duration,
    pub quiet: Duration,
    pub pace: f64,
    pub back: Duration,
}

impl Default for DrainConfig {
    fn default() -> Self {
        DrainConfig {
            deadline: Duration::from_secs(60),
            closing: Duration::from_secs(3),
            quiet: Duration::from_secs(1),
            pace: 200.0,
            back: Duration::from_secs(10),
        }
    }
}

/// What is wrong with a file, and where.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConfigProblem {
    pub line: usize,
    pub what: String,
}

impl fmt::Display for ConfigProblem {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.what)
    }
}

/// How a value is read, and between what it must lie.
#[derive(Clone, Copy, Debug)]
enum Form {
    /// A time, in seconds.
    Span(f64, f64),
    Number(f64, f64),
    Count(i64, i64),
    /// `true` or `false`.
    Flag,
    /// An absolute path, short enough for a socket's name.
    Socket,
    /// An absolute path.
    Folder,
    /// Letters, digits and `-`.
    Name,
    /// A list of addresses.
    Addresses,
}

/// Whether a change takes effect when the file is read again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakesEffect {
    AtOnce,
    Restart,
}

/// Table, key, form, when a change takes effect.
const KEYS: &[(&str, &str, Form, TakesEffect)] = &[
    ("control", "socket", Form::Socket, TakesEffect::Restart),
    ("control", "peers", Form::Count(1, 64), TakesEffect::Restart),
    (
        "drain",
        "deadline",
        Form::Span(1.0, 86_400.0),
        TakesEffect::AtOnce,
    ),
    (
        "drain",
        "closing",
        Form::Span(0.0, 60.0),
        TakesEffect::AtOnce,
    ),
    ("drain", "quiet", Form::Span(0.1, 60.0), TakesEffect::AtOnce),
    (
        "drain",
        "pace",
        Form::Number(0.1, 100_000.0),
        TakesEffect::AtOnce,
    ),
    (
        "drain",
        "back",
        Form::Span(0.0, 3_600.0),
        TakesEffect::AtOnce,
    ),
    ("site", "watch", Form::Flag, TakesEffect::Restart),
    ("site", "look", Form::Span(0.2, 60.0), TakesEffect::AtOnce),
    ("site", "hold", Form::Span(0.0, 600.0), TakesEffect::AtOnce),
    (
        "site",
        "hold_most",
        Form::Span(0.0, 3_600.0),
        TakesEffect::AtOnce,
    ),
    (
        "site",
        "settle",
        Form::Span(0.0, 600.0),
        TakesEffect::AtOnce,
    ),
    ("site", "pace", Form::Flag, TakesEffect::AtOnce),
    ("site", "by_worth", Form::Flag, TakesEffect::Restart),
    ("state", "folder", Form::Folder, TakesEffect::Restart),
    (
        "state",
        "every",
        Form::Span(0.2, 600.0),
        TakesEffect::Restart,
    ),
    ("recovery", "stages", Form::Flag, TakesEffect::Restart),
    (
        "recovery",
        "look",
        Form::Span(0.0, 1.0),
        TakesEffect::Restart,
    ),
    (
        "recovery",
        "probe",
        Form::Span(0.1, 60.0),
        TakesEffect::Restart,
    ),
    ("recovery", "fleet", Form::Name, TakesEffect::Restart),
    ("recovery", "others", Form::Addresses, TakesEffect::Restart),
];

/// Longest path of a Unix socket, as the system's structure holds it.
const SOCKET: usize = 107;
/// Longest path of a folder, names of files in it aside.
const FOLDER: usize = 4000;
/// Most other proxies that may be named.
const OTHERS: usize = 256;

/// A value that was read.
#[derive(Clone, Debug, PartialEq)]
enum Read {
    Span(Duration),
    Number(f64),
    Count(i64),
    Flag(bool),
    Path(PathBuf),
    Name(String),
    Addresses(Vec<SocketAddr>),
}

/// A file's values by table and key, each checked by itself.
#[derive(Clone, Debug, Default, PartialEq)]
struct Values(BTreeMap<(&'static str, &'static str), Read>);

impl Values {
    fn span(&self, table: &'static str, key: &'static str, absent: Duration) -> Duration {
        if let Some(Read::Span(span)) = self.0.get(&(table, key)) {
            *span
        } else {
            absent
        }
    }

    fn flag(&self, table: &'static str, key: &'static str, absent: bool) -> bool {
        if let Some(Read::Flag(flag)) = self.0.get(&(table, key)) {
            *flag
        } else {
            absent
        }
    }

    fn path(&self, table: &'static str, key: &'static str) -> Option<PathBuf> {
        if let Some(Read::Path(path)) = self.0.get(&(table, key)) {
            Some(path.clone())
        } else {
            None
        }
    }

    fn number(&self, table: &'static str, key: &'static str, absent: f64) -> f64 {
        if let Some(Read::Number(number)) = self.0.get(&(table, key)) {
            *number
        } else {
            absent
        }
    }
}

fn line_of(text: &str, at: usize) -> usize {
    text[..at.min(text.len())].matches('\n').count() + 1
}

impl OperatorConfig {
    /// Reads a file's text; tells all that is wrong with it, in the order of lines.
    pub fn read(text: &str) -> Result<OperatorConfig, Vec<ConfigProblem>> {
        let (root, errors) = DeTable::parse_recoverable(text);
        let mut problems: Vec<ConfigProblem> = errors
            .iter()
            .map(|e| ConfigProblem {
                line: line_of(text, e.span().map_or(0, |span| span.start)),
                what: e.message().to_string(),
            })
            .collect();
        let mut values = Values::default();
        for (table, entries) in root.get_ref() {
            let mut problem = |at: usize, what: String| {
                problems.push(ConfigProblem {
                    line: line_of(text, at),
                    what,
                })
            };
            let name = table.get_ref().as_ref();
            if !KEYS.iter().any(|key| key.0 == name) {
                problem(
                    table.span().start,
                    format!("[{name}] is no table; allowed are {}", tables()),
                );
                continue;
            }
            let DeValue::Table(entries) = entries.get_ref() else {
                problem(table.span().start, format!("{name} is a table, [{name}]"));
                continue;
            };
            for (key, value) in entries {
                let known = KEYS
                    .iter()
                    .find(|k| k.0 == name && k.1 == key.get_ref().as_ref());
                let at = key.span().start;
                match known {
                    None => {
                        let keys = KEYS
                            .iter()
                            .filter(|k| k.0 == name)
                            .map(|k| k.1)
                            .collect::<Vec<_>>();
                        let what = format!(
                            "{name}.{} is no key; allowed are {}",
                            key.get_ref(),
                            keys.join(", ")
                        );
                        problem(at, what);
                    }
                    Some((table, key, form, _)) => match decode(value, *form) {
                        Ok(read) => drop(values.0.insert((table, key), read)),
                        Err(what) => problem(at, format!("{name}.{key} {what}")),
                    },
                }
            }
        }
        let operator = OperatorConfig::of(&values);
        for (table, key) in [("control", "socket"), ("state", "folder")] {
            if !values.0.contains_key(&(table, key)) && values.0.keys().any(|key| key.0 == table) {
                problems.push(ConfigProblem {
                    line: 1,
                    what: format!("{table}.{key} is missing"),
                });
            }
        }
        if values.0.contains_key(&("recovery", "others"))
            && !values.0.contains_key(&("recovery", "fleet"))
        {
            problems.push(ConfigProblem {
                line: 1,
                what: "recovery.fleet is missing beside recovery.others".into(),
            });
        }
        problems.sort();
        if problems.is_empty() {
            Ok(operator)
        } else {
            Err(problems)
        }
    }

    fn of(values: &Values) -> OperatorConfig {
        let (absent, site) = (DrainConfig::default(), ZoneFailoverConfig::default());
        let peers = match values.0.get(&("control", "peers")) {
            Some(Read::Count(n)) => *n as usize,
            _ => 24,
        };
        let (anew, every) = (WarmStartConfig::default(), Duration::from_secs(1));
        OperatorConfig {
            control: values
                .path("control", "socket")
                .map(|socket| AdminSocketConfig { socket, peers }),
            state: values.path("state", "folder").map(|folder| SnapshotConfig {
                folder,
                every: values.span("state", "every", every),
            }),
            recovery: WarmStartConfig {
                stages: values.flag("recovery", "stages", anew.stages),
                look: values.span("recovery", "look", anew.look),
                probe: values.span("recovery", "probe", anew.probe),
                fleet: match values.0.get(&("recovery", "fleet")) {
                    Some(Read::Name(name)) => name.clone(),
                    _ => anew.fleet,
                },
                others: match values.0.get(&("recovery", "others")) {
                    Some(Read::Addresses(others)) => others.clone(),
                    _ => anew.others,
                },
            },
            drain: DrainConfig {
                deadline: values.span("drain", "deadline", absent.deadline),
                closing: values.span("drain", "closing", absent.closing),
                quiet: values.span("drain", "quiet", absent.quiet),
                pace: values.number("drain", "pace", absent.pace),
                back: values.span("drain", "back", absent.back),
            },
            site: ZoneFailoverConfig {
                watch: values.flag("site", "watch", site.watch),
                pace: values.flag("site", "pace", site.pace),
                by_worth: values.flag("site", "by_worth", site.by_worth),
                look: values.span("site", "look", site.look),
                hold: values.span("site", "hold", site.hold),
                hold_most: values.span("site", "hold_most", site.hold_most),
                settle: values.span("site", "settle", site.settle),
            },
        }
    }

    /// The keys in which another file differs, and when each takes effect.
    pub fn changes(&self, other: &OperatorConfig) -> Vec<(String, TakesEffect)> {
        let mut changed = Vec::new();
        let (a, b) = (&self.control, &other.control);
        let mut note = |key: &str, differs: bool| {
            let known = KEYS.iter().find(|k| format!("{}.{}", k.0, k.1) == key);
            changed.extend(known.filter(|_| differs).map(|k| (key.to_string(), k.3)));
        };
        note(
            "control.socket",
            a.as_ref().map(|c| &c.socket) != b.as_ref().map(|c| &c.socket),
        );
        note(
            "control.peers",
            a.as_ref().map(|c| c.peers) != b.as_ref().map(|c| c.peers),
        );
        note(
            "drain.deadline",
            self.drain.deadline != other.drain.deadline,
        );
        note("drain.closing", self.drain.closing != other.drain.closing);
        note("drain.quiet", self.drain.quiet != other.drain.quiet);
        note("drain.pace", self.drain.pace != other.drain.pace);
        note("drain.back", self.drain.back != other.drain.back);
        note("site.watch", self.site.watch != other.site.watch);
        note("site.look", self.site.look != other.site.look);
        note("site.hold", self.site.hold != other.site.hold);
        note(
            "site.hold_most",
            self.site.hold_most != other.site.hold_most,
        );
        note("site.settle", self.site.settle != other.site.settle);
        note("site.pace", self.site.pace != other.site.pace);
        note("site.by_worth", self.site.by_worth != other.site.by_worth);
        let (a, b) = (&self.state, &other.state);
        note(
            "state.folder",
            a.as_ref().map(|s| &s.folder) != b.as_ref().map(|s| &s.folder),
        );
        note(
            "state.every",
            a.as_ref().map(|s| s.every) != b.as_ref().map(|s| s.every),
        );
        note(
            "recovery.stages",
            self.recovery.stages != other.recovery.stages,
        );
        note("recovery.look", self.recovery.look != other.recovery.look);
        note(
            "recovery.probe",
            self.recovery.probe != other.recovery.probe,
        );
        note(
            "recovery.fleet",
            self.recovery.fleet != other.recovery.fleet,
        );
        note(
            "recovery.others",
            self.recovery.others != other.recovery.others,
        );
        changed
    }
}

fn tables() -> String {
    let mut names: Vec<&str> = KEYS.iter().map(|key| key.0).collect();
    names.dedup();
    names
        .iter()
        .map(|name| format!("[{name}]"))
        .collect::<Vec<_>>()
        .join(", ")
}

fn decode(value: &Spanned<DeValue>, form: Form) -> Result<Read, String> {
    let value = value.get_ref();
    match form {
        Form::Span(least, most) => {
            let allowed =
                format!("allowed are {least}s to {most}s, as in \"250ms\", \"3s\" or \"2m\"");
            let DeValue::String(text) = value else {
                return Err(format!("is no time; {allowed}"));
            };
            let span =
                parse_span(text).ok_or_else(|| format!("is {text:?}, no time; {allowed}"))?;
            let within = (least..=most).contains(&span.as_secs_f64());
            if within {
                Ok(Read::Span(span))
            } else {
                Err(format!("is {text:?}; {allowed}"))
            }
        }
        Form::Number(least, most) => {
            let number = match value {
                DeValue::Float(number) => number.as_str().parse().ok(),
                DeValue::Integer(number) => number.as_str().parse().ok(),
                _ => None,
            };
            let allowed = || format!("is out of range or no number; allowed are {least} to {most}");
            let number = number.filter(|n: &f64| (least..=most).contains(n));
            number.map(Read::Number).ok_or_else(allowed)
        }
        Form::Count(least, most) => {
            let DeValue::Integer(number) = value else {
                return Err(format!("is no whole number; allowed are {least} to {most}"));
            };
            let number = number
                .as_str()
                .parse()
                .ok()
                .filter(|n: &i64| (least..=most).contains(n));
            number
                .map(Read::Count)
                .ok_or_else(|| format!("is out of range; allowed are {least} to {most}"))
        }
        Form::Flag => match value {
            DeValue::Boolean(flag) => Ok(Read::Flag(*flag)),
            _ => Err("is neither true nor false; allowed are these two".into()),
        },
        Form::Name => {
            let allowed = "allowed are up to 64 letters, digits and -";
            let DeValue::String(text) = value else {
                return Err(format!("is no name; {allowed}"));
            };
            let good = (1..=64).contains(&text.len())
                && text.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-');
            if good {
                Ok(Read::Name(text.to_string()))
            } else {
                Err(format!("is {text:?}; {allowed}"))
            }
        }
        Form::Addresses => {
            let allowed =
                format!("allowed is a list of up to {OTHERS} addresses, as in [\"10.0.0.5:9000\"]");
            let DeValue::Array(list) = value else {
                return Err(format!("is no list; {allowed}"));
            };
            let read = |entry: &Spanned<DeValue>| match entry.get_ref() {
                DeValue::String(text) => text.parse().ok(),
                _ => None,
            };
            let read: Option<Vec<SocketAddr>> = list.iter().map(read).collect();
            let read = read.filter(|read| read.len() <= OTHERS);
            read.map(Read::Addresses)
                .ok_or_else(|| format!("has an entry that is no address, or too many; {allowed}"))
        }
        Form::Socket | Form::Folder => {
            let longest = if matches!(form, Form::Socket) {
                SOCKET
            } else {
                FOLDER
            };
            let allowed = format!("allowed is an absolute path of at most {longest} bytes");
            let DeValue::String(text) = value else {
                return Err(format!("is no path; {allowed}"));
            };
            let good = text.starts_with('/') && text.len() <= longest && !text.contains('\0');
            if good {
                Ok(Read::Path(text.to_string().into()))
            } else {
                Err(format!("is {text:?}; {allowed}"))
            }
        }
    }
}

/// A number and its unit, `ms`, `s`, `m` or `h`.
pub fn parse_span(text: &str) -> Option<Duration> {
    let digits = text.len()
        - text
            .trim_start_matches(|c: char| c.is_ascii_digit() || c == '.')
            .len();
    let factor = match &text[digits..] {
        "ms" => 0.001,
        "s" => 1.0,
        "m" => 60.0,
        "h" => 3_600.0,
        _ => return None,
    };
    let number: f64 = text[..digits].parse().ok()?;
    Duration::try_from_secs_f64(number * factor).ok()
}
