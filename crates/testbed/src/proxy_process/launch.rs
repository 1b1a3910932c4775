//! Starts the process of a proxy: writes its files and sets its environment.

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

/// Time after its start at which a process is treated as listening for operators, even if it has not answered one yet.
const LISTEN_TIMEOUT: Duration = Duration::from_secs(1);
/// An endpoint list without endpoints, as discovery would send it.
const EMPTY_LIST: &str = r#"{"rev":0,"all":true,"targets":[]}"#;

/// A started process that does not yet count as the proxy's.
pub(super) struct LaunchedProcess {
    pub(super) child: Child,
    /// Its admin HTTP address.
    pub(super) operator_address: SocketAddr,
}

impl Proxy {
    /// Starts a process as the proxy's own; there must be none before.
    pub(super) fn start(&mut self) -> io::Result<()> {
        let launched = self.launch()?;
        self.record(Event::ProxyStarted { proxy: self.number });
        self.child = Some(launched.child);
        self.starting_process = Some(StartingProcess {
            operator_address: launched.operator_address,
            deadline: Instant::now() + LISTEN_TIMEOUT,
        });
        Ok(())
    }

    /// Writes the proxy's configuration file, with the present address of discovery.
    pub(super) fn configure(&self) -> io::Result<()> {
        let scenario = &self.context.scenario;
        let initial_endpoints = match scenario.proxies.initial_endpoints {
            InitialEndpointList::Fresh => self.discovery.list(self.number, None).json,
            InitialEndpointList::Old => self.discovery.outdated_list(self.number).json,
            InitialEndpointList::Empty => EMPTY_LIST.into(),
        };
        let parameters = ProxyParameters {
            number: self.number,
            zone: self.address.zone,
            listen: self.address.listen,
            discovery: self.agent.address(),
            initial_endpoints: serde_json::from_str(&initial_endpoints)?,
        };
        ProxyConfiguration::new(scenario, parameters).write(&self.configuration_path)
    }

    /// Starts a process with an admin HTTP address of its own; it may be a successor beside the proxy's process.
    pub(super) fn launch(&mut self) -> io::Result<LaunchedProcess> {
        self.configure()?;
        self.started_processes += 1;
        let is_queried_by_peers = self.context.scenario.proxies.asks_peers && self.child.is_none();
        let operator_address = if is_queried_by_peers {
            peer_address(self.address.listen)
        } else {
            new_operator_address(self.address.listen)
        };
        let temporary_folder = self.configuration_path.with_extension("tmp");
        std::fs::create_dir_all(&temporary_folder)?;
        let log = self.open_log()?;
        let mut command = Command::new(&self.program.path);
        command
            .args(&self.program.args)
            .env("LB_CONFIG", &self.configuration_path)
            .env("LB_OPERATOR", operator_address.to_string())
            .env("TMPDIR", temporary_folder)
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

    /// The folder of the proxy's snapshots, as an absolute path.
    pub(super) fn snapshot_folder(&self) -> PathBuf {
        std::env::current_dir()
            .unwrap_or_default()
            .join(self.configuration_path.with_extension("state"))
    }

    fn open_log(&self) -> io::Result<File> {
        OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log_path)
    }

    /// Writes the operator file and returns its path; `None` if the scenario needs none.
    fn write_operator_file(&self) -> io::Result<Option<PathBuf>> {
        let listen_addresses = self.all_listen_addresses.iter().copied();
        let others = listen_addresses.filter(|listen| *listen != self.address.listen);
        let file = OperatorFile {
            plan: &self.context.plan,
            proxies: &self.context.scenario.proxies,
            admin_socket: &self.admin_socket,
            snapshot_folder: &self.snapshot_folder(),
            peers: others.map(peer_address).collect(),
        };
        let text = file.text();
        if text.is_empty() {
            return Ok(None);
        }
        let path = self.configuration_path.with_extension("toml");
        std::fs::write(&path, text)?;
        Ok(Some(path))
    }
}
