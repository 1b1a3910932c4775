//! Starts the hosts, the links, the front and the proxies' processes of a run.

use super::error::RunError;
use super::links::relayed_paths;
use super::options::RunOptions;
use super::proxy_fleet::ProxyFleet;
use crate::context::RunContext;
use crate::front_balancer::FrontBalancer;
use crate::host;
use crate::link::Links;
use crate::plan::Plan;
use crate::proxy_process::{self, ProxyAddress};
use crate::scenario::Scenario;
use crate::sockets::BoundListener;
use crate::testbed::Testbed;
use std::io;
use std::sync::Arc;

/// Starts everything; returns once all proxies answer health checks.
pub(super) async fn start(
    scenario: Scenario,
    plan: Plan,
    options: &RunOptions,
) -> Result<(Arc<Testbed>, ProxyFleet), RunError> {
    std::fs::create_dir_all(&options.folder).map_err(RunError::Start)?;
    let hosts = host::bind_all(&plan).await.map_err(RunError::Start)?;
    let addresses = proxy_process::addresses(&scenario);
    let testbed = start_testbed(scenario, plan, hosts, &addresses).await;
    let testbed = Arc::new(testbed.map_err(RunError::Start)?);
    let mut proxies = ProxyFleet::start(&testbed, &addresses, options).await?;
    testbed.front.start_health_checks(&testbed.context);
    proxies.await_ready(&testbed.front, &options.folder).await?;
    Ok((testbed, proxies))
}

async fn start_testbed(
    scenario: Scenario,
    plan: Plan,
    hosts: Vec<BoundListener>,
    proxies: &[ProxyAddress],
) -> io::Result<Testbed> {
    let paths = relayed_paths(&scenario, &plan, &hosts, proxies);
    let context = Arc::new(RunContext::new(scenario, plan));
    let links = Links::start(&context, paths).await?;
    let zones = context.scenario.zones.len() as u8;
    let front_addresses = proxies.iter().map(|proxy| (proxy.zone, proxy.listen));
    let front = FrontBalancer::with_links(front_addresses, &links, zones);
    Ok(Testbed::start(context, hosts, front, Arc::new(links)))
}
