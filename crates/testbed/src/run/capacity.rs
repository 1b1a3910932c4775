//! Whether this machine can carry a run.

use super::error::RunError;
use crate::plan::Plan;
use crate::scenario::Scenario;
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};

/// Descriptors that a standing connection takes in the testbed.
const DESCRIPTORS_PER_CONNECTION: u64 = 2;
/// Descriptors for all else.
const SPARE_DESCRIPTORS: u64 = 1_500;
/// Hosts to which a proxy sends health checks at once, at most.
const PROBED_HOSTS: u64 = 64;
/// Connections that one proxy's clients can have, by the ports of one address.
const PORTS_OF_AN_ADDRESS: usize = 27_000;

/// Whether this machine can carry a scenario; the error says by how much not.
pub(super) fn check_capacity(scenario: &Scenario, plan: &Plan) -> Result<(), RunError> {
    let allowed = raise_descriptor_limit();
    let connections = plan.peak_connections();
    let probes = u64::from(scenario.proxies.count) * u64::from(scenario.hosts()).min(PROBED_HOSTS);
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
    let per_proxy = connections / scenario.proxies.count as usize;
    if per_proxy > PORTS_OF_AN_ADDRESS {
        return Err(RunError::TooFewPorts {
            connections: per_proxy,
            allowed: PORTS_OF_AN_ADDRESS,
        });
    }
    let sockets = u64::from(scenario.proxies.max_descriptors);
    if sockets > allowed {
        return Err(RunError::TooManySockets { sockets, allowed });
    }
    Ok(())
}

/// Takes all descriptors that the hard limit allows; returns how many that are.
fn raise_descriptor_limit() -> u64 {
    let limit = getrlimit(Resource::Nofile);
    let raised = Rlimit {
        current: limit.maximum,
        maximum: limit.maximum,
    };
    // A process may always take what its hard limit allows.
    let _ = setrlimit(Resource::Nofile, raised);
    limit.maximum.unwrap_or(u64::MAX)
}
