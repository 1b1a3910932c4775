//! Checks before a run that this machine's limits on descriptors and ports suffice for it.

use super::error::RunError;
use crate::plan::Plan;
use crate::scenario::Scenario;
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};

/// Descriptors of the testbed process allowed for each standing connection (the client's socket and the host's), and for
/// each health check.
const DESCRIPTORS_PER_CONNECTION: u64 = 2;
/// Descriptors of the testbed process allowed for everything else, such as listeners, logs and operators.
const SPARE_DESCRIPTORS: u64 = 1_500;
/// Most hosts to which one proxy sends health checks at the same time.
const MAX_CONCURRENT_PROBES: u64 = 64;
/// Most connections that clients can have to one proxy at once, as each takes a local port of the same IP address.
const MAX_CONNECTIONS_PER_PROXY: usize = 27_000;

/// Raises the descriptor limit and checks it and the ports against a scenario's needs; an error has both numbers.
pub(super) fn check_capacity(scenario: &Scenario, plan: &Plan) -> Result<(), RunError> {
    let allowed = raise_descriptor_limit();
    let connections = plan.peak_connections();
    let probes =
        u64::from(scenario.proxies.count) * u64::from(scenario.hosts()).min(MAX_CONCURRENT_PROBES);
    let needed = connections as u64 * DESCRIPTORS_PER_CONNECTION
        + probes * DESCRIPTORS_PER_CONNECTION
        + SPARE_DESCRIPTORS;
    if needed > allowed {
        return Err(RunError::TooManyConnections {
            connections,
            needed,
            allowed,
        });
    }
    let connections_per_proxy = connections / scenario.proxies.count as usize;
    if connections_per_proxy > MAX_CONNECTIONS_PER_PROXY {
        return Err(RunError::TooFewPorts {
            connections: connections_per_proxy,
            allowed: MAX_CONNECTIONS_PER_PROXY,
        });
    }
    let max_descriptors = u64::from(scenario.proxies.max_descriptors);
    if max_descriptors > allowed {
        return Err(RunError::TooManySockets {
            sockets: max_descriptors,
            allowed,
        });
    }
    Ok(())
}

/// Raises this process's soft limit on descriptors to the hard limit, and returns the hard limit.
fn raise_descriptor_limit() -> u64 {
    let limit = getrlimit(Resource::Nofile);
    let raised = Rlimit {
        current: limit.maximum,
        maximum: limit.maximum,
    };
    // Raising the soft limit up to the hard limit needs no privilege.
    let _ = setrlimit(Resource::Nofile, raised);
    limit.maximum.unwrap_or(u64::MAX)
}
