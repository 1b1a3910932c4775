//! Ids of an instance's sessions and servers: the protocol's own on one side, the small indices that the placement
//! engine wants on the other.

use crate::wire::ServerAddress;
use asterramp_placement::event::{ServerId, SessionId};
use rustc_hash::FxHashMap;

/// The engine's ids of one instance's sessions and servers, and back.
#[derive(Default)]
pub(crate) struct IdTable {
    session_ids: FxHashMap<u64, SessionId>,
    /// Handle of each session id, also of the free ones.
    handles: Vec<u64>,
    /// Ids of ended sessions. The last one freed is used again first.
    free_session_ids: Vec<SessionId>,
    server_ids: FxHashMap<ServerAddress, ServerId>,
    /// Address of each server id. Server ids are never freed.
    addresses: Vec<ServerAddress>,
}

impl IdTable {
    /// The id of a session that is there; `None` where it has ended or never came.
    pub(crate) fn session_id(&self, handle: u64) -> Option<SessionId> {
        self.session_ids.get(&handle).copied()
    }

    /// Gives a session that comes in its id.
    pub(crate) fn add_session(&mut self, handle: u64) -> SessionId {
        let session = self.free_session_ids.pop().unwrap_or_else(|| {
            self.handles.push(0);
            (self.handles.len() - 1) as SessionId
        });
        self.handles[session as usize] = handle;
        self.session_ids.insert(handle, session);
        session
    }

    /// Frees the id of a session that is over.
    pub(crate) fn remove_session(&mut self, session: SessionId) {
        self.session_ids.remove(&self.handles[session as usize]);
        self.free_session_ids.push(session);
    }

    /// The handle of a session that the engine names.
    pub(crate) fn session_handle(&self, session: SessionId) -> u64 {
        self.handles[session as usize]
    }

    /// The id of a server that was seen before; `None` where it wasn't.
    pub(crate) fn server_id(&self, address: ServerAddress) -> Option<ServerId> {
        self.server_ids.get(&address).copied()
    }

    /// The id of a server, which is new where the server wasn't seen before.
    pub(crate) fn get_or_add_server(&mut self, address: ServerAddress) -> ServerId {
        *self.server_ids.entry(address).or_insert_with(|| {
            self.addresses.push(address);
            (self.addresses.len() - 1) as ServerId
        })
    }

    /// The address of a server that the engine names.
    pub(crate) fn server_address(&self, server: ServerId) -> ServerAddress {
        self.addresses[server as usize]
    }
}
