//! The links of a run, found by their ends.

use super::path::Link;
use super::relayed_dials::RelayedDials;
use super::{address, relay};
use crate::context::RunContext;
use crate::link_ends::LinkEnds;
use crate::sockets::BoundListener;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// The links of a run that have a relay. Only links that some fault of the plan affects need one.
#[derive(Debug, Default)]
pub struct Links {
    all: Vec<Arc<Link>>,
    /// Indexes into `all`.
    by_ends: HashMap<LinkEnds, usize>,
    /// Which dial each relayed connection carries.
    pub(crate) relayed_dials: Arc<RelayedDials>,
}

impl Links {
    /// Starts a relay for each pair of ends, which forwards connections to the given target.
    pub async fn start(
        context: &Arc<RunContext>,
        ends_and_targets: Vec<(LinkEnds, SocketAddr)>,
    ) -> std::io::Result<Links> {
        let run_address = address::next_listen_address();
        let mut links = Links::default();
        for (ends, target) in ends_and_targets {
            let bound = BoundListener::bind(run_address).await?;
            let relayed_dials = links.relayed_dials.clone();
            let link = Arc::new(Link::new(ends, bound.address, target, relayed_dials));
            tokio::spawn(relay::serve(link.clone(), context.clone(), bound.listener));
            links.by_ends.insert(ends, links.all.len());
            links.all.push(link);
        }
        Ok(links)
    }

    /// The address of the relay of a link; `None` if the link has no relay and its target is dialled directly.
    pub fn address(&self, ends: LinkEnds) -> Option<SocketAddr> {
        self.by_ends
            .get(&ends)
            .map(|index| self.all[*index].address)
    }

    /// All links, in the order in which they were passed to [`Links::start`].
    pub fn all(&self) -> &[Arc<Link>] {
        &self.all
    }
}
