//! A proxy that is controlled through its admin socket.

use super::{ProxyHarness, ProxyOptions, TIMEOUT, temporary_path};
use std::io::{BufRead, BufReader, Write};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::{Duration, Instant};

/// A proxy with one server, an admin socket and an operator file; dropping it removes both files.
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
    /// Starts the proxy. The extra lines end its operator file and begin in the `[drain]` section.
    pub(crate) fn start(extra_lines: &str) -> ProxyWithAdminSocket {
        ProxyWithAdminSocket::start_at(temporary_path("sock"), extra_lines)
    }

    /// Starts the proxy with its admin socket at this path, and with extra lines as for [`ProxyWithAdminSocket::start`].
    pub(crate) fn start_at(admin_socket: PathBuf, extra_lines: &str) -> ProxyWithAdminSocket {
        ProxyWithAdminSocket::start_with(ProxyOptions::new(1), admin_socket, extra_lines)
    }

    /// Starts the proxy with an admin HTTP listener too, and with extra lines as for [`ProxyWithAdminSocket::start`].
    pub(crate) fn with_admin_http(extra_lines: &str) -> ProxyWithAdminSocket {
        let options = ProxyOptions::new(1).admin_http();
        ProxyWithAdminSocket::start_with(options, temporary_path("sock"), extra_lines)
    }

    fn start_with(
        options: ProxyOptions<'_>,
        admin_socket: PathBuf,
        extra_lines: &str,
    ) -> ProxyWithAdminSocket {
        let operator_file = temporary_path("toml");
        std::fs::write(
            &operator_file,
            operator_file_text(&admin_socket, extra_lines),
        )
        .unwrap();
        let proxy = options.operator_file(&operator_file).start();
        ProxyWithAdminSocket {
            proxy,
            admin_socket,
            operator_file,
        }
    }

    /// Connects to the admin socket.
    pub(crate) fn connect(&self) -> BufReader<UnixStream> {
        let stream = UnixStream::connect(&self.admin_socket).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        BufReader::new(stream)
    }

    /// Sends one request line to the admin socket and returns the reply line.
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

    /// Runs an `asterramp` command with this proxy's admin socket as `--control`.
    pub(crate) fn run(&self, arguments: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_asterramp"))
            .args(arguments)
            .arg("--control")
            .arg(&self.admin_socket)
            .output()
            .unwrap()
    }

    /// Runs an `asterramp` command like [`ProxyWithAdminSocket::run`], and fails if the command does.
    pub(crate) fn run_ok(&self, arguments: &[&str]) {
        assert!(self.run(arguments).status.success(), "{arguments:?}");
    }

    /// Waits until the drain is in this state; returns the status reply that reports it.
    pub(crate) fn wait_for_drain_state(&self, state: &str) -> String {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let reply = self.reply_to(r#"{"v":1,"do":"status"}"#);
            if reply.contains(&format!("\"state\":\"{state}\"")) {
                return reply;
            }
            assert!(Instant::now() < deadline, "never {state}: {reply}");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// The response to a front proxy's `PING`.
    pub(crate) fn ping(&self) -> String {
        self.proxy.connect("PING\r\n").read_line()
    }
}

/// The text of an operator file with short drain times.
pub(crate) fn operator_file_text(admin_socket: &Path, extra_lines: &str) -> String {
    format!(
        "[control]\nsocket = {admin_socket:?}\npeers = 24\n[drain]\nclosing = \"400ms\"\nquiet = \"200ms\"\n{extra_lines}"
    )
}
