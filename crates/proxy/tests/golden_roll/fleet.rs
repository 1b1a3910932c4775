//! Runs of the program with two scripted proxies.

use super::scripted_proxy::{Restarts, ScriptedProxy};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, ChildStdout, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};

/// The line that a contender prints if it has not connected to the store yet. Whether it appears depends on timing, so it is
/// removed from output.
const NOT_CONNECTED_LINE: &str = "away, term 0\n";

/// Two scripted proxies and the directory with their admin sockets, in which the program runs; dropping it removes the
/// directory.
pub(crate) struct Fleet {
    pub(crate) directory: PathBuf,
    pub(crate) proxies: Vec<ScriptedProxy>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// A run of the program that has ended.
pub(crate) struct RunResult {
    pub(crate) pid: u32,
    /// Its exit code, standard output and standard error.
    pub(crate) text: String,
}

impl Fleet {
    /// Starts two proxies: `a.sock` with process id 101 and `b.sock` with process id 102.
    pub(crate) fn start(restarts: Restarts) -> Fleet {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let nth = NEXT.fetch_add(1, Ordering::Relaxed);
        let directory = std::env::temp_dir().join(format!(
            "asterramp-golden-roll-{}-{nth}",
            std::process::id()
        ));
        std::fs::create_dir_all(&directory).unwrap();
        let proxies = [("a.sock", 101), ("b.sock", 102)];
        let proxies =
            proxies.map(|(name, pid)| ScriptedProxy::start(&directory.join(name), pid, restarts));
        Fleet {
            directory,
            proxies: proxies.into(),
        }
    }

    fn command(&self, arguments: &[&str]) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_asterramp"));
        command.current_dir(&self.directory).args(arguments);
        command
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped());
        command
    }

    /// Runs the program and waits until it has ended.
    pub(crate) fn run(&self, arguments: &[&str]) -> RunResult {
        wait_for_end(self.command(arguments).spawn().unwrap())
    }

    /// Runs a roll with the arguments of [`roll_arguments`], and waits until it has ended.
    pub(crate) fn roll(&self, extra_arguments: &[&str]) -> RunResult {
        let result = self.run(&roll_arguments(extra_arguments));
        RunResult {
            text: result.text.replace(NOT_CONNECTED_LINE, ""),
            ..result
        }
    }

    /// Starts a roll with the arguments of [`roll_arguments`].
    pub(crate) fn start_roll(&self, extra_arguments: &[&str]) -> Child {
        self.command(&roll_arguments(extra_arguments))
            .spawn()
            .unwrap()
    }

    /// Runs a subcommand of `asterramp fleet` for the roll `patch`; returns its exit code and output.
    pub(crate) fn fleet_command(&self, subcommand: &str, store: SocketAddr) -> String {
        self.run(&[
            "fleet",
            subcommand,
            "--store",
            &store.to_string(),
            "--name",
            "patch",
        ])
        .text
    }
}

/// The arguments of a roll of both proxies with short time limits, followed by extra ones.
pub(crate) fn roll_arguments<'a>(extra_arguments: &[&'a str]) -> Vec<&'a str> {
    let mut arguments = vec!["roll", "--control", "a.sock", "--control", "b.sock"];
    arguments.extend(["--deadline", "3s", "--patience", "2s", "--share", "0"]);
    arguments.extend(extra_arguments);
    if extra_arguments.contains(&"--store") {
        // A contender reads the queue every eighth of the session's timeout. 12 s leave time to print each state also on a
        // busy machine.
        arguments.extend(["--session", "12s"]);
    }
    arguments
}

/// Waits until a process has ended.
fn wait_for_end(process: Child) -> RunResult {
    let pid = process.id();
    let output = process.wait_with_output().unwrap();
    let text = format!(
        "exit code {}\n--- stdout\n{}--- stderr\n{}",
        output
            .status
            .code()
            .map_or("none".into(), |code| code.to_string()),
        String::from_utf8(output.stdout).unwrap(),
        String::from_utf8(output.stderr).unwrap()
    );
    RunResult { pid, text }
}

/// The name of the queue node of the contender with this process id, derived from it as in the program's `session_thread`.
pub(crate) fn contender_node(pid: u32) -> String {
    let seed = u64::from(pid).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ 0x5ca1;
    format!("c-{pid}-{:08x}", seed as u32)
}

/// The next line of output with its line feed; empty at the end.
fn next_line(output: &mut BufReader<ChildStdout>) -> String {
    let mut line = String::new();
    output.read_line(&mut line).unwrap();
    line
}

/// Reads output up to and including a line that ends in `end`.
pub(crate) fn lines_up_to(output: &mut BufReader<ChildStdout>, end: &str) -> String {
    let mut lines = String::new();
    loop {
        let line = next_line(output);
        assert!(!line.is_empty(), "the output ended before {end:?}: {lines}");
        lines += &line;
        if line.trim_end().ends_with(end) {
            return lines.replace(NOT_CONNECTED_LINE, "");
        }
    }
}
