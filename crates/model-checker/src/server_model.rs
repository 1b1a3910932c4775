//! A server behind the proxy, as the model and the properties see it.

use asterramp_placement::event::{Endpoint, EndpointState, ServerId};
use std::time::Duration;

/// What is true of a server, whether the proxy has heard of it or not.
#[derive(Clone, Debug)]
pub(crate) struct ServerModel {
    pub(crate) id: ServerId,
    pub(crate) zone: u8,
    pub(crate) state: EndpointState,
    /// When its process started, if that is known.
    pub(crate) started_at: Option<Duration>,
}

impl ServerModel {
    /// Its entry in the endpoint list.
    pub(crate) fn endpoint(&self) -> Endpoint {
        Endpoint {
            load_per_connection: None,
            server: self.id,
            hash_key: u64::from(self.id) + 1,
            zone: self.zone,
            cell: 0,
            state: self.state,
            weight: 1.0,
            started_at: self.started_at,
        }
    }
}
