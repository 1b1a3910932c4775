//! The endpoint table: all servers that this proxy knows, and the indices by which the placement engine identifies
//! them.

use crate::protocol::discovery::ListedEndpoint;
use crate::transport::SlotKey;
use asterramp_placement::event::{Endpoint, EndpointState, ServerId, ServerLoad};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Most servers that the table holds; new ones beyond that are ignored. Servers that are gone are kept, as they may come back,
/// until others need their places.
pub(super) const MAX_ENDPOINTS: usize = 4096;

/// Offset basis and prime of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

#[derive(Debug)]
struct EndpointEntry {
    /// As discovery last listed it; the address is the last one that it was listed as ready or draining at.
    listed: ListedEndpoint,
    /// The connection kept for probes; `None` while there is none.
    probe_connection: Option<SlotKey>,
    known: KnownEndpoint,
    /// Whether the server was forgotten, so that its index is free.
    is_forgotten: bool,
}

/// What the router records about a server, apart from the placement engine's own state.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct KnownEndpoint {
    /// State as discovery listed it, or as a warm start set it.
    pub(super) state: EndpointState,
    /// Unix time of the server's start; `None` where discovery does not list it.
    pub(super) started_at: Option<Duration>,
    /// Its last load report; without any figures before the first.
    pub(super) load: ServerLoad,
    /// When the last load report was received; zero before the first.
    pub(super) reported_at: Duration,
}

/// Result of applying a discovery entry to the table.
#[derive(Clone, Copy, Debug)]
pub(super) struct EndpointChange {
    /// The endpoint in the placement engine's form.
    pub(super) endpoint: Endpoint,
    /// Whether the connection kept for probes has become useless: the server is gone, or listed at another address.
    pub(super) is_probe_stale: bool,
    /// Whether the server is new and has the index of one that was forgotten.
    pub(super) reuses_index: bool,
}

/// All known servers. A uid always identifies the same server, while an address may pass to another server.
#[derive(Debug)]
pub(super) struct EndpointTable {
    zones: Vec<String>,
    by_uid: BTreeMap<String, ServerId>,
    entries: Vec<EndpointEntry>,
    /// Indices of forgotten servers, for new ones.
    free_indices: Vec<ServerId>,
}

/// FNV-1a hash of a uid, which is the same at every proxy.
fn hash_key(uid: &str) -> u64 {
    uid.bytes().fold(FNV_OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    })
}

impl EndpointEntry {
    fn listed_endpoint(&self) -> ListedEndpoint {
        ListedEndpoint {
            state: self.known.state,
            ..self.listed.clone()
        }
    }
}

impl EndpointTable {
    /// An empty table; an endpoint's zone is its index in `zones`.
    pub(super) fn new(zones: Vec<String>) -> EndpointTable {
        EndpointTable {
            zones,
            by_uid: BTreeMap::new(),
            entries: Vec::new(),
            free_indices: Vec::new(),
        }
    }

    /// Inserts or updates the server of a discovery entry; `None` for a new server when the table is full.
    pub(super) fn update(&mut self, listed: ListedEndpoint) -> Option<EndpointChange> {
        let free_before = self.free_indices.len();
        let server = self.find_or_insert(&listed)?;
        let reuses_index = self.free_indices.len() < free_before;
        let entry = self.entries.get_mut(server as usize)?;
        let previous_address = entry.listed.address;
        let has_moved = previous_address != listed.address;
        let is_gone = listed.state == EndpointState::Gone;
        entry.known.state = listed.state;
        entry.known.started_at = listed.started_at;
        entry.listed = listed;
        if is_gone {
            entry.listed.address = previous_address;
        }
        Some(EndpointChange {
            endpoint: self.endpoint(server)?,
            is_probe_stale: has_moved || is_gone,
            reuses_index,
        })
    }

    fn find_or_insert(&mut self, listed: &ListedEndpoint) -> Option<ServerId> {
        if let Some(server) = self.find(&listed.uid) {
            return Some(server);
        }
        let entry = EndpointEntry {
            listed: listed.clone(),
            probe_connection: None,
            known: KnownEndpoint::default(),
            is_forgotten: false,
        };
        let server = if self.entries.len() < MAX_ENDPOINTS {
            self.entries.push(entry);
            (self.entries.len() - 1) as ServerId
        } else {
            let server = self.free_indices.pop()?;
            self.entries[server as usize] = entry;
            server
        };
        self.by_uid.insert(listed.uid.clone(), server);
        Some(server)
    }

    /// Whether the table has no place for all servers of a list that it does not know.
    pub(super) fn overflows_with(&self, listed: &[ListedEndpoint]) -> bool {
        let is_unknown = |listed: &&ListedEndpoint| !self.by_uid.contains_key(&listed.uid);
        let unknown = listed.iter().filter(is_unknown).count();
        self.by_uid.len() + unknown > MAX_ENDPOINTS
    }

    /// Forgets the servers that are gone, except those that are in use, so that new ones may have their indices.
    pub(super) fn forget_gone(&mut self, is_in_use: impl Fn(ServerId) -> bool) {
        for (server, entry) in (0..).zip(&mut self.entries) {
            let is_gone = entry.known.state == EndpointState::Gone && !entry.is_forgotten;
            if !is_gone || entry.probe_connection.is_some() || is_in_use(server) {
                continue;
            }
            self.by_uid.remove(&entry.listed.uid);
            entry.is_forgotten = true;
            self.free_indices.push(server);
        }
    }

    fn entry(&self, server: ServerId) -> Option<&EndpointEntry> {
        self.entries.get(server as usize)
    }

    fn entry_mut(&mut self, server: ServerId) -> Option<&mut EndpointEntry> {
        self.entries.get_mut(server as usize)
    }

    /// A server in the placement engine's form, in its present state. A zone that is not in the settings has the index
    /// `u8::MAX`.
    pub(super) fn endpoint(&self, server: ServerId) -> Option<Endpoint> {
        let entry = self.entry(server)?;
        let listed = &entry.listed;
        let zone = self.zones.iter().position(|zone| *zone == listed.zone);
        Some(Endpoint {
            server,
            hash_key: hash_key(&listed.uid),
            zone: zone.map_or(u8::MAX, |zone| zone as u8),
            cell: listed.cell,
            state: entry.known.state,
            weight: listed.weight,
            started_at: listed.started_at,
            load_per_connection: None,
        })
    }

    /// Sets the address of a server that discovery has not listed yet.
    pub(super) fn set_address(&mut self, server: ServerId, address: SocketAddr) {
        if let Some(entry) = self.entry_mut(server) {
            entry.listed.address = address;
        }
    }

    pub(super) fn set_state(&mut self, server: ServerId, state: EndpointState) {
        if let Some(entry) = self.entry_mut(server) {
            entry.known.state = state;
        }
    }

    /// The record of each server, in the order of their indices.
    pub(super) fn known_endpoints(&self) -> impl Iterator<Item = &KnownEndpoint> {
        self.entries.iter().map(|entry| &entry.known)
    }

    /// The record of each server with the name of its zone, in the order of their indices.
    pub(super) fn known_endpoints_with_zone(&self) -> impl Iterator<Item = (&KnownEndpoint, &str)> {
        self.entries
            .iter()
            .map(|entry| (&entry.known, entry.listed.zone.as_str()))
    }

    /// Marks all servers as gone that are not in `listed`, the entries of a complete list.
    pub(super) fn mark_unlisted_as_gone(&mut self, listed: &[Endpoint]) {
        let mut is_listed = vec![false; self.entries.len()];
        for endpoint in listed {
            is_listed[endpoint.server as usize] = true;
        }
        for (entry, is_listed) in self.entries.iter_mut().zip(is_listed) {
            if !is_listed {
                entry.known.state = EndpointState::Gone;
            }
        }
    }

    /// Records a load report that was received at `now`.
    pub(super) fn record_load(&mut self, server: ServerId, load: ServerLoad, now: Duration) {
        if let Some(entry) = self.entry_mut(server) {
            entry.known.load = load;
            entry.known.reported_at = now;
        }
    }

    /// Each server as it was last listed, in its present state, in the order of their indices. One that was forgotten is
    /// there, too, as gone.
    pub(super) fn listed_endpoints(&self) -> impl Iterator<Item = ListedEndpoint> {
        self.entries.iter().map(EndpointEntry::listed_endpoint)
    }

    /// As [`listed_endpoints`](Self::listed_endpoints), without those that were forgotten.
    pub(super) fn remembered_endpoints(&self) -> impl Iterator<Item = ListedEndpoint> {
        let remembered = self.entries.iter().filter(|entry| !entry.is_forgotten);
        remembered.map(EndpointEntry::listed_endpoint)
    }

    /// The index of the server with a uid; `None` if it is unknown.
    pub(super) fn find(&self, uid: &str) -> Option<ServerId> {
        self.by_uid.get(uid).copied()
    }

    /// The address of a server; `None` if it is unknown.
    pub(super) fn address(&self, server: ServerId) -> Option<SocketAddr> {
        self.entry(server).map(|entry| entry.listed.address)
    }

    /// The uid of a server, for log lines; `-` if it is not known.
    pub(super) fn uid(&self, server: ServerId) -> &str {
        self.entry(server).map_or("-", |entry| &entry.listed.uid)
    }

    /// The connection kept for a server's probes; `None` if there is none.
    pub(super) fn probe_connection(&self, server: ServerId) -> Option<SlotKey> {
        self.entry(server)?.probe_connection
    }

    /// Sets the connection kept for a server's probes; `None` once it is closed.
    pub(super) fn set_probe_connection(&mut self, server: ServerId, key: Option<SlotKey>) {
        if let Some(entry) = self.entry_mut(server) {
            entry.probe_connection = key;
        }
    }
}
