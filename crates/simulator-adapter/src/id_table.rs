//! Maps the protocol's identifiers of sessions and servers to the small ids that the placement engine uses as indices,
//! and back.

use crate::wire::ServerAddress;
use asterramp_placement::event::{ServerId, SessionId};
use rustc_hash::FxHashMap;

/// The ids of one instance's sessions and servers.
#[derive(Default)]
pub(crate) struct IdTable {
    session_ids: FxHashMap<u64, SessionId>,
    /// Handle of each session id; for a free id, that of its last session.
    handles: Vec<u64>,
    /// Ids of ended sessions. The id that was freed last is reused first.
    free_session_ids: Vec<SessionId>,
    server_ids: FxHashMap<ServerAddress, ServerId>,
    /// Address of each server id. Server ids are never freed.
    addresses: Vec<ServerAddress>,
}

impl IdTable {
    /// The id of a session; `None` if it has ended or is unknown.
    pub(crate) fn session_id(&self, handle: u64) -> Option<SessionId> {
        self.session_ids.get(&handle).copied()
    }

    /// Assigns an id to a new session.
    pub(crate) fn add_session(&mut self, handle: u64) -> SessionId {
        let session = self.free_session_ids.pop().unwrap_or_else(|| {
            self.handles.push(0);
            (self.handles.len() - 1) as SessionId
        });
        self.handles[session as usize] = handle;
        self.session_ids.insert(handle, session);
        session
    }

    /// Frees the id of a session that has ended.
    pub(crate) fn remove_session(&mut self, session: SessionId) {
        self.session_ids.remove(&self.handles[session as usize]);
        self.free_session_ids.push(session);
    }

    /// The handle of a session that has not ended.
    pub(crate) fn session_handle(&self, session: SessionId) -> u64 {
        self.handles[session as usize]
    }

    /// The id of a server; `None` if the server is unknown.
    pub(crate) fn server_id(&self, address: ServerAddress) -> Option<ServerId> {
        self.server_ids.get(&address).copied()
    }

    /// The id of a server. Assigns one if the server is unknown.
    pub(crate) fn get_or_add_server(&mut self, address: ServerAddress) -> ServerId {
        *self.server_ids.entry(address).or_insert_with(|| {
            self.addresses.push(address);
            (self.addresses.len() - 1) as ServerId
        })
    }

    /// The address of a server that has an id.
    pub(crate) fn server_address(&self, server: ServerId) -> ServerAddress {
        self.addresses[server as usize]
    }
}
