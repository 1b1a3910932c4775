//! The door at which servers' names become indices.

use crate::protocol::discovery::ListedEndpoint;
use crate::transport::SlotKey;
use asterramp_placement::event::{Endpoint, EndpointState, Load, ServerId};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Most servers that are ever known; a name is never forgotten, so something has to end the table.
pub(super) const MOST: usize = 4096;

#[derive(Debug)]
struct Server {
    /// As discovery told it last; the endpoint is the last that it stood at.
    line: ListedEndpoint,
    probe: Option<SlotKey>,
    host: KnownEndpoint,
}

/// What is known of a server, beside what the module makes of it.
#[derive(Clone, Copy, Debug, Default)]
pub struct KnownEndpoint {
    pub standing: EndpointState,
    pub started: Option<Duration>,
    /// Its last report, and when it came.
    pub load: Load,
    pub told: Duration,
}

/// Servers by uid. What stands at an endpoint may change; a uid names one server for ever.
#[derive(Debug)]
pub struct EndpointTable {
    zones: Vec<String>,
    by_uid: BTreeMap<String, ServerId>,
    servers: Vec<Server>,
}

/// FNV-1a: the same at every proxy.
fn mark(uid: &str) -> u64 {
    uid.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}

impl EndpointTable {
    pub fn new(zones: Vec<String>) -> EndpointTable {
        EndpointTable {
            zones,
            by_uid: BTreeMap::new(),
            servers: Vec::new(),
        }
    }

    /// A line in the module's terms, and whether its server's probe connection is of no use any more; `None`
    /// for a new server past the most.
    pub fn take(&mut self, line: ListedEndpoint) -> Option<(Endpoint, bool)> {
        if self.servers.len() >= MOST && !self.by_uid.contains_key(&line.uid) {
            return None;
        }
        let server = self.by_uid.get(&line.uid).copied().unwrap_or_else(|| {
            let id = self.servers.len() as ServerId;
            self.servers.push(Server {
                line: line.clone(),
                probe: None,
                host: KnownEndpoint::default(),
            });
            self.by_uid.insert(line.uid.clone(), id);
            id
        });
        let known = &mut self.servers[server as usize];
        let before = known.line.address;
        let moved = before != line.address;
        let endpoint = if line.state == EndpointState::Gone {
            before
        } else {
            line.address
        };
        known.line = ListedEndpoint {
            address: endpoint,
            ..line.clone()
        };
        (known.host.standing, known.host.started) = (line.state, line.started_at);
        let stale = moved || line.state == EndpointState::Gone;
        let entry = self.entry(server)?;
        Some((entry, stale))
    }

    /// A server's line in the module's terms, as it stands.
    pub fn entry(&self, server: ServerId) -> Option<Endpoint> {
        let known = self.servers.get(server as usize)?;
        let (line, zone) = (
            &known.line,
            self.zones.iter().position(|zone| *zone == known.line.zone),
        );
        Some(Endpoint {
            server,
            hash_key: mark(&line.uid),
            zone: zone.map_or(u8::MAX, |zone| zone as u8),
            cell: line.cell,
            state: known.host.standing,
            weight: line.weight,
            started_at: line.started_at,
            load_per_connection: None,
        })
    }

    /// Where one stands that nobody has listed yet.
    pub fn stands_at(&mut self, server: ServerId, endpoint: SocketAddr) {
        self.servers
            .get_mut(server as usize)
            .into_iter()
            .for_each(|server| server.line.address = endpoint);
    }

    pub fn stands(&mut self, server: ServerId, standing: EndpointState) {
        self.servers
            .get_mut(server as usize)
            .into_iter()
            .for_each(|server| server.host.standing = standing);
    }

    pub fn hosts(&self) -> impl Iterator<Item = &KnownEndpoint> {
        self.servers.iter().map(|server| &server.host)
    }

    /// Each with the name of its place.
    pub fn placed(&self) -> impl Iterator<Item = (&KnownEndpoint, &str)> {
        self.servers
            .iter()
            .map(|server| (&server.host, server.line.zone.as_str()))
    }

    /// Those that a whole list leaves out are gone.
    pub fn only(&mut self, listed: &[Endpoint]) {
        let mut named = vec![false; self.servers.len()];
        listed
            .iter()
            .for_each(|entry| named[entry.server as usize] = true);
        let gone = self
            .servers
            .iter_mut()
            .zip(named)
            .filter(|(_, named)| !named);
        gone.for_each(|(server, _)| server.host.standing = EndpointState::Gone);
    }

    pub fn reported(&mut self, server: ServerId, load: Load, now: Duration) {
        if let Some(server) = self.servers.get_mut(server as usize) {
            (server.host.load, server.host.told) = (load, now);
        }
    }

    /// All that was ever listed, as it stands.
    pub fn lines(&self) -> impl Iterator<Item = ListedEndpoint> {
        let stands = |server: &Server| ListedEndpoint {
            state: server.host.standing,
            ..server.line.clone()
        };
        self.servers.iter().map(stands)
    }

    pub fn find(&self, uid: &str) -> Option<ServerId> {
        self.by_uid.get(uid).copied()
    }

    pub fn address(&self, server: ServerId) -> Option<SocketAddr> {
        self.servers
            .get(server as usize)
            .map(|server| server.line.address)
    }

    pub fn name(&self, server: ServerId) -> &str {
        self.servers
            .get(server as usize)
            .map_or("-", |server| &server.line.uid)
    }

    pub fn probe(&self, server: ServerId) -> Option<SlotKey> {
        self.servers.get(server as usize)?.probe
    }

    pub fn set_probe(&mut self, server: ServerId, key: Option<SlotKey>) {
        self.servers
            .get_mut(server as usize)
            .into_iter()
            .for_each(|server| server.probe = key);
    }
}
