//! A proxy that operators command through its admin socket.

use super::{ProxyHarness, ProxyOptions, TIMEOUT, temporary_path};
use std::io::{BufRead, BufReader, Write};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::{Duration, Instant};

/// A proxy with one server, an admin socket and an operator's file; the files are removed with the test.
pub(crate) struct ProxyWithAdminSocket {
    pub(crate) proxy: ProxyHarness,
    pub(crate) admin_socket: PathBuf,
    pub(crate) operator_file: PathBuf,
}

impl Drop for ProxyWithAdminSocket {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.admin_socket);
        let _ = std::fs::remove_file(&self.operator_file);
    }
}

impl ProxyWithAdminSocket {
    /// Starts it with more lines at the end of the operator's file, which follow its `[drain]`.
    pub(crate) fn start(more_lines: &str) -> ProxyWithAdminSocket {
        ProxyWithAdminSocket::start_at(temporary_path("sock"), more_lines)
    }

    /// The same with a given path of the admin socket.
    pub(crate) fn start_at(admin_socket: PathBuf, more_lines: &str) -> ProxyWithAdminSocket {
        let operator_file = temporary_path("toml");
        std::fs::write(
            &operator_file,
            operator_file_text(&admin_socket, more_lines),
        )
        .unwrap();
        let proxy = ProxyOptions::new(1).operator_file(&operator_file).start();
        ProxyWithAdminSocket {
            proxy,
            admin_socket,
            operator_file,
        }
    }

    /// A connection to the admin socket.
    pub(crate) fn connect(&self) -> BufReader<UnixStream> {
        let stream = UnixStream::connect(&self.admin_socket).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        BufReader::new(stream)
    }

    /// The admin socket's reply to a line.
    pub(crate) fn reply_to(&self, line: &str) -> String {
        let mut connection = self.connect();
        connection
            .get_mut()
            .write_all(format!("{line}\n").as_bytes())
            .unwrap();
        let mut reply = String::new();
        connection.read_line(&mut reply).unwrap();
        reply
    }

    /// Runs a command of the program at this proxy.
    pub(crate) fn run(&self, arguments: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_asterramp"))
            .args(arguments)
            .arg("--control")
            .arg(&self.admin_socket)
            .output()
            .unwrap()
    }

    /// Runs a command that has to succeed.
    pub(crate) fn run_ok(&self, arguments: &[&str]) {
        assert!(self.run(arguments).status.success(), "{arguments:?}");
    }

    /// Waits until the drain is in a state; the status that says so.
    pub(crate) fn wait_for_drain_state(&self, state: &str) -> String {
        let give_up_at = Instant::now() + TIMEOUT;
        loop {
            let reply = self.reply_to(r#"{"v":1,"do":"status"}"#);
            if reply.contains(&format!("\"state\":\"{state}\"")) {
                return reply;
            }
            assert!(Instant::now() < give_up_at, "never {state}: {reply}");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// What a front's ping is answered.
    pub(crate) fn ping(&self) -> String {
        self.proxy.connect("PING\r\n").read_line()
    }
}

/// The text of an operator's file whose drains are quick.
pub(crate) fn operator_file_text(admin_socket: &Path, more_lines: &str) -> String {
    format!(
        "[control]\nsocket = {admin_socket:?}\npeers = 24\n[drain]\nclosing = \"400ms\"\nquiet = \"200ms\"\n{more_lines}"
    )
}
