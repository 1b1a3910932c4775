//! A proxy of a run, and what is known of its process.

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

/// How long a look at a process that has just started may take.
const LOOK_TIMEOUT: Duration = Duration::from_millis(200);
/// The request that shows whether a process serves operators.
pub(super) const READINESS_REQUEST: &str = "GET /ops/readiness";

/// A process that has just started, and that operators are not to call before it listens.
#[derive(Clone, Copy, Debug)]
pub(super) struct StartingProcess {
    /// Where operators will call it.
    pub(super) operator_address: SocketAddr,
    /// When it has had time to listen.
    pub(super) deadline: Instant,
}

/// A proxy of a run. It may have a process, or none; during a hot restart a second one.
pub(crate) struct Proxy {
    pub(super) number: u16,
    pub(super) address: ProxyAddress,
    /// Where all proxies listen.
    pub(super) all_listen_addresses: Vec<SocketAddr>,
    pub(super) program: Program,
    pub(super) context: Arc<RunContext>,
    pub(super) discovery: Arc<EndpointRegistry>,
    pub(super) agent: Arc<DiscoveryAgent>,
    /// Where its processes write their logs.
    pub(super) log: PathBuf,
    /// The file of the platform's configuration.
    pub(super) configuration: PathBuf,
    pub(super) admin_socket: PathBuf,
    /// Where the process that serves is called by operators.
    pub(super) operator_address: SharedAddress,
    pub(super) starting: Option<StartingProcess>,
    /// Processes started so far, by which what is a process's own is named.
    pub(super) started_processes: u32,
    pub(super) child: Option<Child>,
    pub(super) usage: UsageLog,
}

impl Proxy {
    /// A proxy without a process, and its discovery agent.
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
            log: folder.join(format!("proxy-{number}.log")),
            configuration: folder.join(format!("proxy-{number}.json")),
            admin_socket: admin_socket(testbed.context.run_number, number),
            operator_address: SharedAddress::default(),
            starting: None,
            started_processes: 0,
            child: None,
            usage: UsageLog::default(),
        })
    }

    /// What its processes have used.
    pub(crate) fn usage(&self) -> UsageLog {
        self.usage.clone()
    }

    /// Where operators call it, by and by.
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

    /// Lets operators call a process that has just started, once it listens or should.
    pub(super) async fn check_starting_process(&mut self) {
        let Some(starting) = self.starting else {
            return;
        };
        let address = starting.operator_address;
        let response = timeout(
            LOOK_TIMEOUT,
            metrics_calls::send_request(address, READINESS_REQUEST),
        );
        let listens = matches!(response.await, Ok(Some(_)));
        if listens || Instant::now() >= starting.deadline {
            self.set_operator_address(Some(address));
        }
    }

    /// Where operators call it from now on; nowhere, while no process serves.
    pub(super) fn set_operator_address(&mut self, address: Option<SocketAddr>) {
        self.starting = None;
        self.operator_address.set(address);
    }
}
