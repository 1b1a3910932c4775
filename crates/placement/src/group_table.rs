//! Records which servers hold this proxy's connections of which group. A server bears a group's cost once, however many
//! of its connections it holds.

use crate::event::ServerId;

/// Table with one entry for each open connection that belongs to a group.
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
    /// Adds a connection. One without a group is not recorded.
    pub(crate) fn add(&mut self, group: Option<u64>, server: ServerId) {
        if let Some(group) = group {
            self.connections.push(GroupConnection { group, server });
        }
    }

    /// Removes one connection of the group at the server.
    pub(crate) fn remove(&mut self, group: Option<u64>, server: ServerId) {
        let position = self
            .connections
            .iter()
            .position(|connection| Some(connection.group) == group && connection.server == server);
        if let Some(position) = position {
            self.connections.swap_remove(position);
        }
    }

    /// Number of the group's connections at the server; 0 without a group.
    pub(crate) fn count(&self, group: Option<u64>, server: ServerId) -> usize {
        self.connections
            .iter()
            .filter(|connection| Some(connection.group) == group && connection.server == server)
            .count()
    }

    /// The servers that hold the group's connections, named once for each connection; none without a group.
    pub(crate) fn holders(&self, group: Option<u64>) -> Vec<ServerId> {
        self.connections
            .iter()
            .filter(|connection| Some(connection.group) == group)
            .map(|connection| connection.server)
            .collect()
    }
}
