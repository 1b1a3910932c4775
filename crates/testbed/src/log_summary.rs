//! Counts the reason codes in the logs of a fleet, one file per proxy, over time and by server. It shows what a single
//! proxy's log does not, since each proxy logs little.

mod table;

use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Longest line, in bytes; the rest of a longer one counts as another line. Proxies write shorter lines.
const MAX_LINE_BYTES: u64 = 16 * 1024;

/// Longest reason code, in bytes; a line with a longer one counts as bad.
const MAX_CODE_BYTES: usize = 32;

/// Largest number of different reason codes; a line with a further one counts as bad. It bounds memory for files that
/// are not logs.
const MAX_CODES: usize = 256;

/// Largest number of bad lines whose positions are printed; further ones are only counted.
const MAX_NAMED_BAD_LINES: usize = 5;

/// Upper bound of a line's time, in seconds since the proxy's start; a line with this or a greater time counts as bad.
const MAX_TIME_S: f64 = 1e9;

/// An error while reading a folder of logs.
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
    /// The folder has no file that ends in `.log`.
    #[error("{}: no file ends in .log", folder.display())]
    NoLog {
        /// The folder.
        folder: PathBuf,
    },
}

impl LogSummaryError {
    /// Turns an I/O error at `path` into [`LogSummaryError::Read`].
    fn read(path: &Path) -> impl Fn(io::Error) -> LogSummaryError {
        move |source| LogSummaryError::Read {
            path: path.to_path_buf(),
            source,
        }
    }
}

/// Number of lines by reason code.
type CodeCounts = BTreeMap<String, u64>;

/// The reason codes in a fleet's logs, counted in total, by time and by server.
#[derive(Debug, Default)]
pub struct LogSummary {
    /// Length of the time that a row of the table covers, in seconds.
    row_seconds: u64,
    /// Number of logs added so far.
    proxies: usize,
    /// Lines that are not empty, bad ones included.
    lines: u64,
    /// Lines that are neither a reason code nor counters.
    bad_lines: u64,
    /// Positions of the first bad lines, as `FILE:LINE`.
    named_bad_lines: Vec<String>,
    total: CodeCounts,
    /// Indexes of the proxies that logged each code, in the order in which their logs were added.
    proxies_by_code: BTreeMap<String, BTreeSet<usize>>,
    /// Counts by the second at which a row begins; `None` for lines without a time.
    rows: BTreeMap<Option<u64>, CodeCounts>,
    /// Counts by the uid of the server that a line names.
    servers: BTreeMap<String, CodeCounts>,
}

/// A line with a reason code.
#[derive(Debug, PartialEq)]
struct LogLine<'a> {
    /// Seconds since the proxy's start, if the line has a time.
    at: Option<f64>,
    code: &'a str,
    /// Uid in the field `server=`; `None` without the field, or where it is `-`.
    server: Option<&'a str>,
}

/// A line of a log, parsed.
#[derive(Debug, PartialEq)]
enum ParsedLine<'a> {
    Code(LogLine<'a>),
    /// Counters without a reason code, which concern one proxy only and are not summed.
    Counters,
    Unreadable,
}

impl LogSummary {
    /// An empty summary. A row of the table covers `row_seconds` seconds; zero counts as one.
    pub fn new(row_seconds: u64) -> LogSummary {
        LogSummary {
            row_seconds: row_seconds.max(1),
            ..LogSummary::default()
        }
    }

    /// Reads all files of a folder whose names end in `.log`, in the order of their names; see [`LogSummary::new`] for
    /// `row_seconds`.
    pub fn from_folder(folder: &Path, row_seconds: u64) -> Result<LogSummary, LogSummaryError> {
        let paths = log_paths(folder).map_err(LogSummaryError::read(folder))?;
        if paths.is_empty() {
            let folder = folder.to_path_buf();
            return Err(LogSummaryError::NoLog { folder });
        }
        let mut summary = LogSummary::new(row_seconds);
        for path in paths {
            let name = path.file_name().unwrap_or_default().to_string_lossy();
            let file = File::open(&path).map_err(LogSummaryError::read(&path))?;
            summary
                .add_log(&name, BufReader::new(file))
                .map_err(LogSummaryError::read(&path))?;
        }
        Ok(summary)
    }

    /// Adds one proxy's log; `name` is its file's name, by which bad lines are reported.
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
            if !self.add_line(proxy, &line) {
                self.bad_lines += 1;
                if self.named_bad_lines.len() < MAX_NAMED_BAD_LINES {
                    self.named_bad_lines.push(format!("{name}:{number}"));
                }
            }
        }
        Ok(())
    }

    /// Adds a line; false if it is bad.
    fn add_line(&mut self, proxy: usize, line: &[u8]) -> bool {
        let Ok(text) = std::str::from_utf8(line) else {
            return false;
        };
        match parse(text) {
            ParsedLine::Unreadable => false,
            ParsedLine::Counters => true,
            ParsedLine::Code(line) => self.count_code(proxy, &line),
        }
    }

    /// Counts a line; false if its code is new and there are [`MAX_CODES`] codes already.
    fn count_code(&mut self, proxy: usize, line: &LogLine<'_>) -> bool {
        if self.total.len() >= MAX_CODES && !self.total.contains_key(line.code) {
            return false;
        }
        let code = || line.code.to_string();
        let add = |counts: &mut CodeCounts| *counts.entry(code()).or_default() += 1;
        add(&mut self.total);
        self.proxies_by_code
            .entry(code())
            .or_default()
            .insert(proxy);
        let row = line
            .at
            .map(|at| at as u64 / self.row_seconds * self.row_seconds);
        add(self.rows.entry(row).or_default());
        if let Some(uid) = line.server {
            add(self.servers.entry(uid.to_string()).or_default());
        }
        true
    }
}

/// The files of a folder whose names end in `.log`, sorted.
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

/// Parses `[SECONDS] CODE KEY=VALUE..`, or a line of counters, whose first word is `KEY=VALUE`.
fn parse(text: &str) -> ParsedLine<'_> {
    let mut words = text.split_whitespace().peekable();
    let at = words.peek().and_then(|word| word.parse::<f64>().ok());
    if at.is_some_and(|at| !(0.0..MAX_TIME_S).contains(&at)) {
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

/// Whether a word has the form of a reason code: lower-case letters and hyphens.
fn is_code(word: &str) -> bool {
    let is_code_byte = |byte: u8| byte.is_ascii_lowercase() || byte == b'-';
    word.len() <= MAX_CODE_BYTES && word.bytes().all(is_code_byte)
}
