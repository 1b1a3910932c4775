//! The proxies of a run: their start, readiness and shutdown.

use super::error::RunError;
use super::options::RunOptions;
use crate::front_balancer::FrontBalancer;
use crate::metrics_calls::SharedAddress;
use crate::proxy_process::{
    Proxy, ProxyAddress, ProxyCommand, ProxyError, ResourceUsage, UsageLog,
};
use crate::testbed::Testbed;
use std::path::Path;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

/// Capacity of a proxy's command queue; senders wait while it is full.
const COMMAND_QUEUE_CAPACITY: usize = 64;
/// Time that the proxies have until all answer health checks; the run fails after it.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between two checks of whether all proxies are ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Last lines of a proxy's log that are part of the error if it does not become ready.
const MAX_LOG_LINES: usize = 3;

/// The proxies of a run, each with a task that carries out its commands.
pub(super) struct ProxyFleet {
    /// The command sender of each proxy; a proxy shuts down once all its senders are dropped.
    pub(super) commands: Vec<mpsc::Sender<ProxyCommand>>,
    /// The current operator address of each proxy.
    pub(super) operator_addresses: Vec<SharedAddress>,
    tasks: JoinSet<Result<(), ProxyError>>,
    usage: Vec<UsageLog>,
}

impl ProxyFleet {
    /// Creates a proxy for each address and has its process started.
    pub(super) async fn start(
        testbed: &Testbed,
        addresses: &[ProxyAddress],
        options: &RunOptions,
    ) -> Result<ProxyFleet, RunError> {
        let mut fleet = ProxyFleet {
            commands: Vec::new(),
            operator_addresses: Vec::new(),
            tasks: JoinSet::new(),
            usage: Vec::new(),
        };
        for number in 0..addresses.len() as u16 {
            let (program, folder) = (&options.program, &options.folder);
            let proxy = Proxy::new(testbed, number, addresses, program, folder)
                .await
                .map_err(RunError::Start)?;
            fleet.add(proxy).await;
        }
        Ok(fleet)
    }

    async fn add(&mut self, proxy: Proxy) {
        self.usage.push(proxy.usage());
        self.operator_addresses.push(proxy.operator_address());
        let (sender, receiver) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
        let _ = sender.send(ProxyCommand::Start).await;
        self.commands.push(sender);
        self.tasks.spawn(proxy.run(receiver));
    }

    /// Waits until all proxies answer the front's health checks.
    pub(super) async fn await_ready(
        &mut self,
        front: &FrontBalancer,
        folder: &Path,
    ) -> Result<(), RunError> {
        let since = Instant::now();
        while !front.all_up() {
            if since.elapsed() > READY_TIMEOUT {
                let proxy = front.first_unanswered().unwrap_or_default();
                return Err(never_ready(proxy, folder));
            }
            if let Some(Ok(Err(error))) = self.tasks.try_join_next() {
                return Err(error.into());
            }
            sleep(READY_POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Drops the commands' senders, waits until all proxies have shut down, and returns the resource usage of each.
    ///
    /// Does not return while clones of the senders exist elsewhere.
    pub(super) async fn shut_down(mut self) -> Result<Vec<Vec<ResourceUsage>>, RunError> {
        self.commands.clear();
        while let Some(ended) = self.tasks.join_next().await {
            if let Ok(Err(error)) = ended {
                return Err(error.into());
            }
        }
        Ok(self.usage.iter().map(UsageLog::take).collect())
    }
}

fn never_ready(proxy: usize, folder: &Path) -> RunError {
    let log = std::fs::read_to_string(folder.join(format!("proxy-{proxy}.log")));
    let log = log.unwrap_or_default();
    let last_lines = log.lines().rev().take(MAX_LOG_LINES);
    RunError::NeverReady {
        proxy,
        log_end: last_lines.map(str::to_owned).collect(),
    }
}
