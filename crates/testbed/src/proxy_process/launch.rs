//! The start of a proxy's process, with its files and its environment.

use super::addresses::{new_operator_address, peer_address};
use super::configuration::{ProxyConfiguration, ProxyParameters};
use super::operator_file::OperatorFile;
use super::proxy::{Proxy, StartingProcess};
use crate::event_log::Event;
use crate::scenario::InitialEndpointList;
use std::fs::{File, OpenOptions};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::time::Duration;
use tokio::process::{Child, Command};
use tokio::time::Instant;

/// How long a process that starts may take to listen.
const LISTEN_TIMEOUT: Duration = Duration::from_secs(1);
/// An endpoint list with nobody in it.
const EMPTY_LIST: &str = r#"{"rev":0,"all":true,"targets":[]}"#;

/// A process that was started.
pub(super) struct LaunchedProcess {
    pub(super) child: Child,
    /// Where operators call it.
    pub(super) operator_address: SocketAddr,
}

impl Proxy {
    /// Starts the proxy's process.
    pub(super) fn start(&mut self) -> io::Result<()> {
        let launched = self.launch()?;
        self.record(Event::ProxyStarted { proxy: self.number });
        self.child = Some(launched.child);
        self.starting = Some(StartingProcess {
            operator_address: launched.operator_address,
            deadline: Instant::now() + LISTEN_TIMEOUT,
        });
        Ok(())
    }

    /// Writes the platform's configuration.
    pub(super) fn configure(&self) -> io::Result<()> {
        let scenario = &self.context.scenario;
        let known = match scenario.proxies.initial_endpoints {
            InitialEndpointList::Fresh => self.discovery.list(self.number, None).json,
            InitialEndpointList::Old => self.discovery.outdated_list(self.number).json,
            InitialEndpointList::Empty => EMPTY_LIST.into(),
        };
        let own = ProxyParameters {
            number: self.number,
            zone: self.address.zone,
            listen: self.address.listen,
            discovery: self.agent.address(),
            initial_endpoints: serde_json::from_str(&known)?,
        };
        ProxyConfiguration::new(scenario, own).write(&self.configuration)
    }

    /// Starts a process, which may be a second one, with an operators' address of its own.
    pub(super) fn launch(&mut self) -> io::Result<LaunchedProcess> {
        self.configure()?;
        self.started_processes += 1;
        let answers_peers = self.context.scenario.proxies.asks_peers && self.child.is_none();
        let operator_address = if answers_peers {
            peer_address(self.address.listen)
        } else {
            new_operator_address(self.address.listen)
        };
        let temporary = self.configuration.with_extension("tmp");
        std::fs::create_dir_all(&temporary)?;
        let log = self.open_log()?;
        let mut command = Command::new(&self.program.path);
        command
            .args(&self.program.args)
            .env("LB_CONFIG", &self.configuration)
            .env("LB_OPERATOR", operator_address.to_string())
            .env("TMPDIR", temporary)
            .kill_on_drop(true);
        if let Some(file) = self.write_operator_file()? {
            command.env("ASTERRAMP_OPERATOR", file);
        }
        command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        Ok(LaunchedProcess {
            child: command.spawn()?,
            operator_address,
        })
    }

    /// The folder where it keeps its snapshots.
    pub(super) fn snapshots(&self) -> PathBuf {
        std::env::current_dir()
            .unwrap_or_default()
            .join(self.configuration.with_extension("state"))
    }

    fn open_log(&self) -> io::Result<File> {
        OpenOptions::new().create(true).append(true).open(&self.log)
    }

    /// Writes the operator's file, if the proxy needs one.
    fn write_operator_file(&self) -> io::Result<Option<PathBuf>> {
        let others = self.all_listen_addresses.iter().copied();
        let others = others.filter(|listen| *listen != self.address.listen);
        let file = OperatorFile {
            plan: &self.context.plan,
            proxies: &self.context.scenario.proxies,
            admin_socket: &self.admin_socket,
            snapshots: &self.snapshots(),
            peers: others.map(peer_address).collect(),
        };
        let text = file.text();
        if text.is_empty() {
            return Ok(None);
        }
        let path = self.configuration.with_extension("toml");
        std::fs::write(&path, text)?;
        Ok(Some(path))
    }
}
