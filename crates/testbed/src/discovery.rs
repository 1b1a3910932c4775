//! Discovery: what is known of the hosts, and an agent for each proxy that serves it over HTTP, late or wrongly where a
//! fault wants it so.

mod agent;
mod answer;
mod endpoint_list;
mod registry;

pub use agent::DiscoveryAgent;
pub use endpoint_list::{EndpointList, ListedHost, host_uid};
pub use registry::{DiscoveryFaults, EndpointRegistry};
