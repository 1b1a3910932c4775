//! Which servers hold connections of which group. A group costs a server once, however many it holds of it.

use crate::event::ServerId;

/// One entry for each open connection with a group.
#[derive(Clone, Debug, Default)]
pub(crate) struct GroupTable {
    connections: Vec<GroupConnection>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct GroupConnection {
    group: u64,
    server: ServerId,
}

impl GroupTable {
    pub(crate) fn add(&mut self, group: Option<u64>, server: ServerId) {
        if let Some(group) = group {
            self.connections.push(GroupConnection { group, server });
        }
    }

    pub(crate) fn remove(&mut self, group: Option<u64>, server: ServerId) {
        let position = self
            .connections
            .iter()
            .position(|held| Some(held.group) == group && held.server == server);
        if let Some(position) = position {
            self.connections.swap_remove(position);
        }
    }

    /// Connections of the group at the server; none without a group.
    pub(crate) fn count(&self, group: Option<u64>, server: ServerId) -> usize {
        self.connections
            .iter()
            .filter(|held| Some(held.group) == group && held.server == server)
            .count()
    }

    /// The servers that hold some of the group, one for each connection.
    pub(crate) fn holders(&self, group: Option<u64>) -> Vec<ServerId> {
        self.connections
            .iter()
            .filter(|held| Some(held.group) == group)
            .map(|held| held.server)
            .collect()
    }
}
