//! The state of a proxy of a run.

use super::addresses::{ProxyAddress, admin_socket};
use super::error::ProxyError;
use super::program::Program;
use super::usage::UsageLog;
use crate::context::RunContext;
use crate::discovery::{DiscoveryAgent, EndpointRegistry};
use crate::event_log::Event;
use crate::metrics_calls::{self, SharedAddress};
use crate::testbed::Testbed;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use tokio::process::Child;
use tokio::time::{Instant, timeout};

/// Time that a process that has just started has to answer one readiness request.
const READINESS_TIMEOUT: Duration = Duration::from_millis(200);
/// The HTTP request for a process's readiness; any response shows that the process listens for operators.
pub(super) const READINESS_REQUEST: &str = "GET /ops/readiness";

/// A process that has just started; operators send it no requests before it listens.
#[derive(Clone, Copy, Debug)]
pub(super) struct StartingProcess {
    /// Its admin HTTP address.
    pub(super) operator_address: SocketAddr,
    /// When operators begin to send it requests, even if it has not answered yet.
    pub(super) deadline: Instant,
}

/// A proxy of a run. It has one process, or none after a fault or its shutdown; during a hot restart also a successor.
pub(crate) struct Proxy {
    pub(super) number: u16,
    pub(super) address: ProxyAddress,
    /// The addresses for clients of all proxies, this one among them.
    pub(super) all_listen_addresses: Vec<SocketAddr>,
    pub(super) program: Program,
    pub(super) context: Arc<RunContext>,
    pub(super) discovery: Arc<EndpointRegistry>,
    pub(super) agent: Arc<DiscoveryAgent>,
    /// The file to which its processes append their logs.
    pub(super) log_path: PathBuf,
    /// The configuration file.
    pub(super) configuration_path: PathBuf,
    /// The admin socket of its present process.
    pub(super) admin_socket: PathBuf,
    /// The admin HTTP address of the process that serves; none while no process does.
    pub(super) operator_address: SharedAddress,
    /// The process whose start operators still wait for.
    pub(super) starting_process: Option<StartingProcess>,
    /// Number of processes started so far; makes the admin sockets of successors unique.
    pub(super) started_processes: u32,
    /// Its process; none after a fault or its shutdown.
    pub(super) child: Option<Child>,
    pub(super) usage: UsageLog,
}

impl Proxy {
    /// Creates a proxy without a process, and starts its discovery agent.
    pub(crate) async fn new(
        testbed: &Testbed,
        number: u16,
        addresses: &[ProxyAddress],
        program: &Program,
        folder: &Path,
    ) -> io::Result<Proxy> {
        let agent = DiscoveryAgent::start(&testbed.discovery, number).await?;
        Ok(Proxy {
            number,
            address: addresses[usize::from(number)],
            all_listen_addresses: addresses.iter().map(|address| address.listen).collect(),
            program: program.clone(),
            context: testbed.context.clone(),
            discovery: testbed.discovery.clone(),
            agent,
            log_path: folder.join(format!("proxy-{number}.log")),
            configuration_path: folder.join(format!("proxy-{number}.json")),
            admin_socket: admin_socket(testbed.context.run_number, number),
            operator_address: SharedAddress::default(),
            starting_process: None,
            started_processes: 0,
            child: None,
            usage: UsageLog::default(),
        })
    }

    /// The resource usage of its processes; later samples are added to it.
    pub(crate) fn usage(&self) -> UsageLog {
        self.usage.clone()
    }

    /// Its admin HTTP address, which changes with its processes.
    pub(crate) fn operator_address(&self) -> SharedAddress {
        self.operator_address.clone()
    }

    pub(super) fn record(&self, event: Event) {
        self.context.event_log.record(event);
    }

    pub(super) fn error(&self, source: io::Error) -> ProxyError {
        ProxyError {
            proxy: self.number,
            source,
        }
    }

    /// Publishes the admin HTTP address of a process that has just started, once it listens or its deadline has passed.
    pub(super) async fn check_starting_process(&mut self) {
        let Some(starting) = self.starting_process else {
            return;
        };
        let address = starting.operator_address;
        let response = timeout(
            READINESS_TIMEOUT,
            metrics_calls::send_request(address, READINESS_REQUEST),
        );
        let listens = matches!(response.await, Ok(Some(_)));
        if listens || Instant::now() >= starting.deadline {
            self.set_operator_address(Some(address));
        }
    }

    /// Sets the admin HTTP address that operators use from now on; `None` while no process serves.
    pub(super) fn set_operator_address(&mut self, address: Option<SocketAddr>) {
        self.starting_process = None;
        self.operator_address.set(address);
    }
}
