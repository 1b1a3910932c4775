//! Emulated discovery: a registry of the hosts, and an agent per proxy that serves the endpoint list over HTTP, with
//! random delays and injected faults.

mod agent;
mod answer;
mod endpoint_list;
mod registry;

pub use agent::DiscoveryAgent;
pub use endpoint_list::{EndpointList, ListedHost, host_uid};
pub use registry::{DiscoveryFaults, EndpointRegistry};
