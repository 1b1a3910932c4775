//! The program's runs at two scripted proxies.

use super::scripted_proxy::{Restarts, ScriptedProxy};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, ChildStdout, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};

/// What a contender prints first, if it has not reached the store by then: on loopback that is a matter of luck.
const BEFORE_CONNECTED: &str = "away, term 0\n";

/// Two scripted proxies whose admin sockets are in one directory, in which the program runs.
pub(crate) struct Fleet {
    pub(crate) directory: PathBuf,
    pub(crate) proxies: Vec<ScriptedProxy>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// How a run of the program ended.
pub(crate) struct RunResult {
    pub(crate) pid: u32,
    /// Its exit code, standard output and standard error.
    pub(crate) text: String,
}

impl Fleet {
    /// Two proxies, `a.sock` of process 101 and `b.sock` of process 102.
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

    /// Runs the program to its end.
    pub(crate) fn run(&self, arguments: &[&str]) -> RunResult {
        wait_for_end(self.command(arguments).spawn().unwrap())
    }

    /// Runs a roll with short times; what it prints before it has reached the store is left out.
    pub(crate) fn roll(&self, more: &[&str]) -> RunResult {
        let result = self.run(&roll_arguments(more));
        RunResult {
            text: result.text.replace(BEFORE_CONNECTED, ""),
            ..result
        }
    }

    /// Starts a roll and returns at once.
    pub(crate) fn start_roll(&self, more: &[&str]) -> Child {
        self.command(&roll_arguments(more)).spawn().unwrap()
    }

    /// Runs `asterramp fleet` about the roll `patch`.
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

/// The arguments of a roll with short times.
pub(crate) fn roll_arguments<'a>(more: &[&'a str]) -> Vec<&'a str> {
    let mut arguments = vec!["roll", "--control", "a.sock", "--control", "b.sock"];
    arguments.extend(["--deadline", "3s", "--patience", "2s", "--share", "0"]);
    arguments.extend(more);
    if more.contains(&"--store") {
        // A contender reads the queue at each eighth of it, so that each state is printed also on a busy machine.
        arguments.extend(["--session", "12s"]);
    }
    arguments
}

/// Waits for a process's end.
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

/// The name of the node by which a contender with this process id queues.
pub(crate) fn contender_node(pid: u32) -> String {
    let seed = u64::from(pid).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ 0x5ca1;
    format!("c-{pid}-{:08x}", seed as u32)
}

fn next_line(output: &mut BufReader<ChildStdout>) -> String {
    let mut line = String::new();
    output.read_line(&mut line).unwrap();
    line
}

/// Reads output up to a line that ends so, that line included.
pub(crate) fn lines_up_to(output: &mut BufReader<ChildStdout>, end: &str) -> String {
    let mut lines = String::new();
    loop {
        let line = next_line(output);
        assert!(!line.is_empty(), "ended before {end:?}: {lines}");
        lines += &line;
        if line.trim_end().ends_with(end) {
            return lines.replace(BEFORE_CONNECTED, "");
        }
    }
}
