//! All links of a run, by what they join.

use super::path::Link;
use super::relayed_dials::RelayedDials;
use super::{address, relay};
use crate::context::RunContext;
use crate::link_ends::LinkEnds;
use crate::sockets::BoundListener;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// The links of a run that have a relay.
#[derive(Debug, Default)]
pub struct Links {
    all: Vec<Arc<Link>>,
    by_ends: HashMap<LinkEnds, usize>,
    /// Whose connections pass through them.
    pub(crate) connections: Arc<RelayedDials>,
}

impl Links {
    /// Starts a relay for each pair of ends and what it leads to.
    pub async fn start(
        context: &Arc<RunContext>,
        pairs: Vec<(LinkEnds, SocketAddr)>,
    ) -> std::io::Result<Links> {
        let run_address = address::next_listen_address();
        let mut links = Links::default();
        for (ends, target) in pairs {
            let bound = BoundListener::bind(run_address).await?;
            let connections = links.connections.clone();
            let link = Arc::new(Link::new(ends, bound.address, target, connections));
            tokio::spawn(relay::serve(link.clone(), context.clone(), bound.listener));
            links.by_ends.insert(ends, links.all.len());
            links.all.push(link);
        }
        Ok(links)
    }

    /// Where a link is dialled, if it has a relay.
    pub fn address(&self, ends: LinkEnds) -> Option<SocketAddr> {
        self.by_ends.get(&ends).map(|nth| self.all[*nth].address)
    }

    /// All links, in the order that they were asked for.
    pub fn all(&self) -> &[Arc<Link>] {
        &self.all
    }
}
