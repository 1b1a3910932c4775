//! The model of a server behind the proxy, which the monitor uses too.

use asterramp_placement::event::{Endpoint, EndpointState, ServerId};
use std::time::Duration;

/// The actual state of a server, whether or not the endpoint list has reported it to the proxy yet.
#[derive(Clone, Debug)]
pub(crate) struct ServerModel {
    pub(crate) id: ServerId,
    pub(crate) zone: u8,
    pub(crate) state: EndpointState,
    /// When its process started; `None` if that is not known, which counts as warmed up.
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
