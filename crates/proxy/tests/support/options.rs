//! Configures and starts the proxy of a test.

use super::{
    OpenedWatch, ProxyHarness, SETTINGS, TIMEOUT, endpoint_json, free_address, list_line,
    serve_discovery,
};
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// Limits on descriptors that no test reaches.
const AMPLE_DESCRIPTORS: DescriptorLimits = DescriptorLimits {
    configured: 512,
    process_limit: 1024,
};
/// A limit on memory that no test reaches.
const AMPLE_MEMORY_MB: usize = 192;
/// Listener number, as [`free_address`] takes it, of the first harness's admin HTTP listener.
const FIRST_ADMIN_LISTENER_NUMBER: u32 = 5_000;

/// How many descriptors a proxy may open.
#[derive(Clone, Copy)]
struct DescriptorLimits {
    /// `limits.sockets` in its configuration.
    configured: usize,
    /// The process's limit, as `ulimit -n` sets it.
    process_limit: usize,
}

/// How a proxy is started.
#[derive(Clone, Copy)]
pub(crate) struct ProxyOptions<'a> {
    server_count: usize,
    settings: &'a str,
    descriptors: DescriptorLimits,
    /// `limits.memory_mb` in its configuration.
    memory_mb: usize,
    operator_file: Option<&'a Path>,
    /// Whether the proxy has an admin HTTP listener and can be hot restarted.
    admin_http: bool,
}

impl<'a> ProxyOptions<'a> {
    /// This many servers, [`SETTINGS`], ample descriptors, no operator file and no admin HTTP listener.
    pub(crate) fn new(server_count: usize) -> ProxyOptions<'a> {
        ProxyOptions {
            server_count,
            settings: SETTINGS,
            descriptors: AMPLE_DESCRIPTORS,
            memory_mb: AMPLE_MEMORY_MB,
            operator_file: None,
            admin_http: false,
        }
    }

    /// Replaces [`SETTINGS`].
    pub(crate) fn settings(self, settings: &'a str) -> ProxyOptions<'a> {
        ProxyOptions { settings, ..self }
    }

    /// Limits the descriptors, by the configuration and by the limit of the process.
    pub(crate) fn descriptors(self, configured: usize, process_limit: usize) -> ProxyOptions<'a> {
        let descriptors = DescriptorLimits {
            configured,
            process_limit,
        };
        ProxyOptions {
            descriptors,
            ..self
        }
    }

    /// Limits the memory, by the configuration.
    pub(crate) fn memory_mb(self, memory_mb: usize) -> ProxyOptions<'a> {
        ProxyOptions { memory_mb, ..self }
    }

    /// Names an operator file.
    pub(crate) fn operator_file(self, path: &'a Path) -> ProxyOptions<'a> {
        ProxyOptions {
            operator_file: Some(path),
            ..self
        }
    }

    /// Adds an admin HTTP listener, and sets `TMPDIR` to a directory of the harness's own, which makes hot restarts possible.
    pub(crate) fn admin_http(self) -> ProxyOptions<'a> {
        ProxyOptions {
            admin_http: true,
            ..self
        }
    }

    /// Starts the proxy and waits until it serves.
    pub(crate) fn start(self) -> ProxyHarness {
        let harness = self.start_without_list();
        harness.watch.send(list_line(8, false, &[])).unwrap();
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let mut ping = harness.connect("PING\r\n");
            if ping.read_line() == "PONG" {
                // Waits for the end of this connection, so that the test does not find it among its own.
                ping.0.get_ref().shutdown(Shutdown::Write).unwrap();
                assert_eq!(ping.read_line(), "FIN");
                return harness;
            }
            assert!(Instant::now() < deadline, "the proxy does not serve");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Starts the proxy and waits until it has opened its watch, on which nothing has been sent.
    pub(crate) fn start_without_list(self) -> ProxyHarness {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let nth = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("asterramp-{}-{nth}", std::process::id());
        let directory = std::env::temp_dir().join(format!("{name}.d"));
        std::fs::create_dir_all(&directory).unwrap();
        let servers: Vec<TcpListener> = (0..self.server_count)
            .map(|_| TcpListener::bind("127.0.0.1:0").unwrap())
            .collect();
        let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
        let listen_address = free_address(nth);
        let admin_http = free_address(nth + FIRST_ADMIN_LISTENER_NUMBER);
        let config_path = std::env::temp_dir().join(format!("{name}.json"));
        let config = self.configuration(listen_address, discovery.local_addr().unwrap(), &servers);
        std::fs::write(&config_path, config).unwrap();
        let watches = serve_discovery(discovery);
        let mut process = self
            .command(&config_path, admin_http, &directory)
            .spawn()
            .unwrap();
        let Ok(OpenedWatch { lists: watch, .. }) = watches.recv_timeout(TIMEOUT) else {
            process.kill().unwrap();
            panic!("no watch was opened: {:?}", process.wait_with_output());
        };
        ProxyHarness {
            process,
            listen_address,
            servers,
            watches,
            watch,
            config_path,
            admin_http,
            directory,
        }
    }

    /// The text of the configuration file. Its known endpoints are the test's servers.
    fn configuration(
        &self,
        listen: SocketAddr,
        discovery: SocketAddr,
        servers: &[TcpListener],
    ) -> String {
        let endpoints: Vec<String> = servers
            .iter()
            .enumerate()
            .map(|(index, server)| endpoint_json(index, server.local_addr().unwrap(), "ready"))
            .collect();
        let known = list_line(7, true, &endpoints);
        let settings = self.settings;
        let descriptors = self.descriptors.configured;
        let memory_mb = self.memory_mb;
        format!(
            r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{descriptors}}},
        "known":{known},"settings":{settings}}}"#
        )
    }

    /// The command that starts the proxy with the process's limit on descriptors and its log on a pipe.
    fn command(&self, config_path: &Path, admin_http: SocketAddr, directory: &Path) -> Command {
        let script = format!(
            "ulimit -n {} && exec '{}'",
            self.descriptors.process_limit,
            env!("CARGO_BIN_EXE_asterramp")
        );
        let mut command = Command::new("/bin/sh");
        command.args(["-c", &script]).stderr(Stdio::piped());
        command.env("LB_CONFIG", config_path);
        if let Some(operator_file) = self.operator_file {
            command.env("ASTERRAMP_OPERATOR", operator_file);
        }
        if self.admin_http {
            command
                .env("LB_OPERATOR", admin_http.to_string())
                .env("TMPDIR", directory);
        }
        command
    }
}
