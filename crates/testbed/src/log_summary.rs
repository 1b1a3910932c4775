//! Sums the logs of a whole fleet, one file a proxy: what one proxy's log does not show, since each says little.

mod table;

use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Longest line that is read as one, in bytes; a proxy's own are shorter.
const MAX_LINE_BYTES: u64 = 16 * 1024;

/// Longest reason code, in bytes.
const MAX_CODE_BYTES: usize = 32;

/// Most reason codes that are counted separately.
const MAX_CODES: usize = 256;

/// Most bad lines that are named; the others are counted.
const MAX_NAMED_LINES: usize = 5;

/// Times from this on are no seconds since a proxy's start.
const END_OF_TIME: f64 = 1e9;

/// Why a folder of logs could not be summed.
#[derive(Debug, Error)]
pub enum LogSummaryError {
    /// The folder or a log in it cannot be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The folder or the log.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The folder has no log.
    #[error("{}: no file ends in .log", folder.display())]
    NoLog {
        /// The folder.
        folder: PathBuf,
    },
}

impl LogSummaryError {
    fn read(path: &Path) -> impl Fn(io::Error) -> LogSummaryError {
        move |source| LogSummaryError::Read {
            path: path.to_path_buf(),
            source,
        }
    }
}

/// How often each reason code came.
type CodeCounts = BTreeMap<String, u64>;

/// Reason codes of a fleet's logs, counted by time, by server and in all.
#[derive(Debug, Default)]
pub struct LogSummary {
    /// Seconds that a row of the table spans.
    span: u64,
    proxies: usize,
    lines: u64,
    /// Lines that cannot be read.
    bad_lines: u64,
    /// Where the first of them stand.
    named_bad_lines: Vec<String>,
    codes: CodeCounts,
    /// Proxies that logged each code.
    loggers: BTreeMap<String, BTreeSet<usize>>,
    /// By the second at which a row begins; `None` where lines have no time.
    rows: BTreeMap<Option<u64>, CodeCounts>,
    /// By the uid of the server that a line is about.
    servers: BTreeMap<String, CodeCounts>,
}

/// A line with a reason code.
#[derive(Debug, PartialEq)]
struct LogLine<'a> {
    /// Seconds since the proxy's start, if the line has a time.
    at: Option<f64>,
    code: &'a str,
    /// Uid of the server that it is about.
    server: Option<&'a str>,
}

/// What a line is.
#[derive(Debug, PartialEq)]
enum ParsedLine<'a> {
    Code(LogLine<'a>),
    /// Counters alone, which say something of their proxy only.
    Counters,
    Unreadable,
}

impl LogSummary {
    /// Of no log yet; a row of the table spans so many seconds, at least one.
    pub fn new(span: u64) -> LogSummary {
        LogSummary {
            span: span.max(1),
            ..LogSummary::default()
        }
    }

    /// Of all files of a folder whose names end in `.log`.
    pub fn from_folder(folder: &Path, span: u64) -> Result<LogSummary, LogSummaryError> {
        let paths = log_paths(folder).map_err(LogSummaryError::read(folder))?;
        if paths.is_empty() {
            let folder = folder.to_path_buf();
            return Err(LogSummaryError::NoLog { folder });
        }
        let mut summary = LogSummary::new(span);
        for path in paths {
            let name = path.file_name().unwrap_or_default().to_string_lossy();
            let file = File::open(&path).map_err(LogSummaryError::read(&path))?;
            summary
                .add_log(&name, BufReader::new(file))
                .map_err(LogSummaryError::read(&path))?;
        }
        Ok(summary)
    }

    /// Takes in one proxy's log, whose file is called `name`.
    pub fn add_log(&mut self, name: &str, mut log: impl BufRead) -> io::Result<()> {
        let proxy = self.proxies;
        self.proxies += 1;
        let mut line = Vec::new();
        for number in 1.. {
            line.clear();
            let mut bounded = log.by_ref().take(MAX_LINE_BYTES);
            if bounded.read_until(b'\n', &mut line)? == 0 {
                break;
            }
            if line.trim_ascii().is_empty() {
                continue;
            }
            self.lines += 1;
            if !self.take_line(proxy, &line) {
                self.bad_lines += 1;
                if self.named_bad_lines.len() < MAX_NAMED_LINES {
                    self.named_bad_lines.push(format!("{name}:{number}"));
                }
            }
        }
        Ok(())
    }

    /// Whether the line can be read.
    fn take_line(&mut self, proxy: usize, line: &[u8]) -> bool {
        let Ok(text) = std::str::from_utf8(line) else {
            return false;
        };
        match parse(text) {
            ParsedLine::Unreadable => false,
            ParsedLine::Counters => true,
            ParsedLine::Code(line) => self.count(proxy, &line),
        }
    }

    /// False for a new code when there are `MAX_CODES` already.
    fn count(&mut self, proxy: usize, line: &LogLine<'_>) -> bool {
        if self.codes.len() >= MAX_CODES && !self.codes.contains_key(line.code) {
            return false;
        }
        let code = || line.code.to_string();
        let add = |counts: &mut CodeCounts| *counts.entry(code()).or_default() += 1;
        add(&mut self.codes);
        self.loggers.entry(code()).or_default().insert(proxy);
        let row = line.at.map(|at| at as u64 / self.span * self.span);
        add(self.rows.entry(row).or_default());
        if let Some(uid) = line.server {
            add(self.servers.entry(uid.to_string()).or_default());
        }
        true
    }
}

fn log_paths(folder: &Path) -> io::Result<Vec<PathBuf>> {
    let mut paths = Vec::new();
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        if path.extension().is_some_and(|extension| extension == "log") {
            paths.push(path);
        }
    }
    paths.sort();
    Ok(paths)
}

/// Reads `[SECONDS] CODE KEY=VALUE..`, or counters alone.
fn parse(text: &str) -> ParsedLine<'_> {
    let mut words = text.split_whitespace().peekable();
    let at = words.peek().and_then(|word| word.parse::<f64>().ok());
    if at.is_some_and(|at| !(0.0..END_OF_TIME).contains(&at)) {
        return ParsedLine::Unreadable;
    }
    if at.is_some() {
        words.next();
    }
    let Some(code) = words.next() else {
        return ParsedLine::Unreadable;
    };
    if code.contains('=') {
        return ParsedLine::Counters;
    }
    if !is_code(code) {
        return ParsedLine::Unreadable;
    }
    let server = words
        .find_map(|word| word.strip_prefix("server="))
        .filter(|uid| *uid != "-");
    ParsedLine::Code(LogLine { at, code, server })
}

fn is_code(word: &str) -> bool {
    let is_plain = |byte: u8| byte.is_ascii_lowercase() || byte == b'-';
    word.len() <= MAX_CODE_BYTES && word.bytes().all(is_plain)
}
