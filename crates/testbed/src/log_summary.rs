//! The logs of a whole fleet, one file a proxy, summed: what one proxy's log does not show, since each says little.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read};
use std::path::Path;

/// Longest line that is read as one; a proxy's own are shorter.
const LONGEST: u64 = 16 * 1024;
/// Longest reason code, and most of them that are told apart.
const CODE: usize = 32;
const CODES: usize = 256;
/// Bad lines that are named; the others are counted.
const NAMED: usize = 5;

/// How often each reason code came.
type Counts = BTreeMap<String, u64>;

#[derive(Debug, Default)]
pub struct LogSummary {
    /// Seconds that a row of the table spans.
    span: u64,
    proxies: usize,
    lines: u64,
    /// Lines that cannot be read, and where the first of them stand.
    bad: u64,
    named: Vec<String>,
    codes: Counts,
    /// Proxies that logged each code.
    loggers: BTreeMap<String, BTreeSet<usize>>,
    /// By the second at which a row begins; `None` where lines have no time.
    rows: BTreeMap<Option<u64>, Counts>,
    /// What is told of a server, by its uid.
    servers: BTreeMap<String, Counts>,
}

impl LogSummary {
    /// Nothing yet; rows span so many seconds, at least one.
    pub fn new(span: u64) -> LogSummary {
        LogSummary {
            span: span.max(1),
            ..LogSummary::default()
        }
    }

    /// All files of a folder whose names end in `.log`. Errors name the folder or file.
    pub fn of_folder(folder: &Path, span: u64) -> Result<LogSummary, String> {
        let told = |path: &Path, e: io::Error| format!("{}: {e}", path.display());
        let entries = std::fs::read_dir(folder).map_err(|e| told(folder, e))?;
        let mut paths = entries
            .map(|entry| entry.map(|entry| entry.path()))
            .collect::<io::Result<Vec<_>>>()
            .map_err(|e| told(folder, e))?;
        paths.retain(|path| path.extension().is_some_and(|end| end == "log"));
        paths.sort();
        if paths.is_empty() {
            return Err(format!("{}: no file ends in .log", folder.display()));
        }
        let mut logs = LogSummary::new(span);
        for path in paths {
            let name = path.file_name().unwrap_or_default().to_string_lossy();
            let file = File::open(&path).map_err(|e| told(&path, e))?;
            logs.take(&name, BufReader::new(file))
                .map_err(|e| told(&path, e))?;
        }
        Ok(logs)
    }

    /// One proxy's log.
    pub fn take(&mut self, name: &str, mut log: impl BufRead) -> io::Result<()> {
        let (proxy, mut line) = (self.proxies, Vec::new());
        self.proxies += 1;
        for nth in 1.. {
            line.clear();
            if log.by_ref().take(LONGEST).read_until(b'\n', &mut line)? == 0 {
                break;
            }
            if line.trim_ascii().is_empty() {
                continue;
            }
            self.lines += 1;
            let read = std::str::from_utf8(&line)
                .ok()
                .is_some_and(|text| self.line(proxy, text));
            if !read {
                self.bad += 1;
                if self.named.len() < NAMED {
                    self.named.push(format!("{name}:{nth}"));
                }
            }
        }
        Ok(())
    }

    /// `[SECONDS] CODE KEY=VALUE..`, or counters alone, which are left to their proxy; whether it is one.
    fn line(&mut self, proxy: usize, text: &str) -> bool {
        let mut words = text.split_whitespace().peekable();
        let at = words.peek().and_then(|word| word.parse::<f64>().ok());
        if at.is_some_and(|at| !(0.0..1e9).contains(&at)) {
            return false;
        }
        at.is_some().then(|| words.next());
        let Some(code) = words.next() else {
            return false;
        };
        if code.contains('=') {
            return true;
        }
        let plain = code.len() <= CODE && code.bytes().all(|b| b.is_ascii_lowercase() || b == b'-');
        if !plain || self.codes.len() >= CODES && !self.codes.contains_key(code) {
            return false;
        }
        let add = |counts: &mut Counts| *counts.entry(code.to_string()).or_default() += 1;
        add(&mut self.codes);
        self.loggers
            .entry(code.to_string())
            .or_default()
            .insert(proxy);
        add(self
            .rows
            .entry(at.map(|at| at as u64 / self.span * self.span))
            .or_default());
        let server = words.find_map(|word| word.strip_prefix("server="));
        server
            .filter(|uid| *uid != "-")
            .into_iter()
            .for_each(|uid| {
                add(self.servers.entry(uid.to_string()).or_default());
            });
        true
    }

    pub fn table(&self) -> String {
        let mut out = format!(
            "{} proxies, {} lines, {} bad",
            self.proxies, self.lines, self.bad
        );
        if !self.named.is_empty() {
            let _ = write!(out, ", first at {}", self.named.join(", "));
        }
        out.push_str("\n\nreason code              lines  proxies\n");
        for (code, n) in &self.codes {
            let loggers = self.loggers.get(code).map_or(0, BTreeSet::len);
            let _ = writeln!(out, "{code:<22} {n:>7} {loggers:>8}");
        }
        out.push_str("\nfrom second\n");
        for (at, counts) in &self.rows {
            let at = at.map_or("-".into(), |at| at.to_string());
            let _ = writeln!(out, "{at:<11} {}", joined(counts));
        }
        out.push_str("\nserver\n");
        for (uid, counts) in &self.servers {
            let _ = writeln!(out, "{uid:<11} {}", joined(counts));
        }
        out
    }
}

/// The most frequent first.
fn joined(counts: &Counts) -> String {
    let mut all: Vec<_> = counts.iter().collect();
    all.sort_by_key(|(code, n)| (std::cmp::Reverse(**n), *code));
    all.iter()
        .map(|(code, n)| format!("{code} {n}"))
        .collect::<Vec<_>>()
        .join("  ")
}
