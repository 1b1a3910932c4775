//! Derives the state of servers from a list of ephemeral nodes that name them. No I/O and no clock: the caller passes
//! in what it read from the store, and the time.
//!
//! A server is **gone** when the store reported that: its node was deleted, or is missing from a complete list that was
//! read over an established session. Its state is **unknown** while the store can't be reached, while the client's own
//! session has expired and the list has not been read again, or while its node's data can't be read; then it keeps its
//! last reported state, and [`NodeListing::age`] shows how old the list is. A server that was reported gone stays so
//! until the store lists it again.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Number of known servers above which those that are gone, and have not arrived within the flap window, are forgotten.
const PRUNE_THRESHOLD_SERVERS: usize = 4_096;

/// The data of a node, which describes its server.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedNode {
    /// The server's unique name, which need not be the name of its node.
    pub uid: String,
    /// The address on which the server accepts connections.
    pub address: String,
    /// The name of the server's zone.
    pub zone: String,
    /// The server's capacity relative to that of other servers.
    pub weight: f64,
    /// When the server's process started, as Unix time; `None` counts as earlier than any time.
    pub started_at: Option<Duration>,
    /// Whether the server accepts no new sessions.
    pub draining: bool,
}

/// The reported state of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    /// The server accepts sessions.
    Ready,
    /// The server accepts no new sessions.
    Draining,
    /// The server has no node, or is suppressed because it flaps.
    Gone,
}

/// A change of a server's state or data.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedChange {
    /// The server's unique name.
    pub uid: String,
    /// The server's new state.
    pub state: ListedState,
    /// The data of the server's node; `None` if the server is gone.
    pub node: Option<ListedNode>,
}

/// An irregularity of the list, for the caller to count and log.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ListingWarning {
    /// The data of the node with this name can't be read: its server keeps its last reported state.
    Unreadable(String),
    /// Several nodes name the server with this unique name: the data of the one that started last is used.
    DuplicateUid(String),
    /// The server with this unique name flaps: it is reported gone for [`ListingSettings::suppression_time`].
    Flapping(String),
    /// All nodes, more than one, are missing from a complete list that has no other readable node.
    AllGone,
}

/// When a server whose node is repeatedly deleted and created counts as flapping.
#[derive(Clone, Copy, Debug)]
pub struct ListingSettings {
    /// Number of arrivals within `flap_window` at which a server counts as flapping.
    pub flap_count: usize,
    /// Arrivals are counted if they are less than this time ago.
    pub flap_window: Duration,
    /// How long the node of a flapping server has to exist without a break before the server is reported again.
    pub suppression_time: Duration,
}

impl Default for ListingSettings {
    fn default() -> Self {
        ListingSettings {
            flap_count: 4,
            flap_window: Duration::from_secs(20),
            suppression_time: Duration::from_secs(5),
        }
    }
}

/// What is known of a server.
#[derive(Clone, Debug)]
struct KnownServer {
    /// The data that was last used for the server.
    node: ListedNode,
    /// The last reported state.
    reported: ListedState,
    /// Names of the nodes that name this server at present.
    node_names: BTreeSet<String>,
    /// Times at which the server got its first node, within the flap window.
    arrivals: Vec<Duration>,
    /// Until when the server is reported gone because it flaps; `None` if it does not.
    suppressed_until: Option<Duration>,
}

impl KnownServer {
    fn new(node: ListedNode) -> KnownServer {
        KnownServer {
            node,
            reported: ListedState::Gone,
            node_names: BTreeSet::new(),
            arrivals: Vec::new(),
            suppressed_until: None,
        }
    }

    /// Records that the server, which had no node, has one now; returns whether it counts as flapping.
    fn record_arrival(&mut self, now: Duration, settings: &ListingSettings) -> bool {
        self.arrivals
            .retain(|at| now.saturating_sub(*at) < settings.flap_window);
        self.arrivals.push(now);
        let is_flapping = self.arrivals.len() >= settings.flap_count;
        if is_flapping {
            self.suppressed_until = Some(now + settings.suppression_time);
        }
        is_flapping
    }

    /// The state to report for the server, given the data that is used for it.
    fn state(&self, node: &ListedNode) -> ListedState {
        match (self.suppressed_until, node.draining) {
            (Some(_), _) => ListedState::Gone,
            (None, true) => ListedState::Draining,
            (None, false) => ListedState::Ready,
        }
    }

    fn has_arrived_within(&self, now: Duration, window: Duration) -> bool {
        self.arrivals
            .last()
            .is_some_and(|at| now.saturating_sub(*at) < window)
    }
}

/// The nodes of a list, and the state of the servers that they name.
#[derive(Debug, Default)]
pub struct NodeListing {
    settings: ListingSettings,
    /// Servers by unique name. Those that are gone are kept, so that flapping is recognised.
    servers: BTreeMap<String, KnownServer>,
    /// The last data that could be read of each node, by node name.
    nodes: BTreeMap<String, ListedNode>,
    /// Names of the nodes whose data can't be read.
    unreadable_nodes: BTreeSet<String>,
    /// When the list was last known to be current; `None` before it was first read.
    last_current: Option<Duration>,
    /// Whether the list is being kept current over an established session.
    is_available: bool,
}

impl NodeListing {
    /// Creates a listing that has not been read yet.
    pub fn new(settings: ListingSettings) -> NodeListing {
        NodeListing {
            settings,
            ..NodeListing::default()
        }
    }

    /// Age of the list: zero while the store can be reached, `None` before the list was first read.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        let last_current = self.last_current?;
        Some(if self.is_available {
            Duration::ZERO
        } else {
            now.saturating_sub(last_current)
        })
    }

    /// Called when the store can't be reached, or the client's session has expired. Servers keep their last reported
    /// state.
    pub fn store_unavailable(&mut self, now: Duration) {
        if std::mem::replace(&mut self.is_available, false) {
            self.last_current = Some(now);
        }
    }

    /// Replaces the list by the complete one that was just read over an established session: the name of each child
    /// with its data, or `None` if the data can't be read.
    pub fn replace_all(
        &mut self,
        now: Duration,
        children: &[(String, Option<ListedNode>)],
        changes: &mut Vec<ListedChange>,
        warnings: &mut Vec<ListingWarning>,
    ) {
        self.last_current = Some(now);
        self.is_available = true;
        let listed_names: BTreeSet<&String> = children.iter().map(|child| &child.0).collect();
        let previous_count = self.nodes.len();
        let vanished: Vec<String> = self
            .nodes
            .keys()
            .filter(|name| !listed_names.contains(name))
            .cloned()
            .collect();
        self.unreadable_nodes
            .retain(|name| listed_names.contains(name));
        for (name, node) in children {
            self.set_node(name, node.clone(), warnings);
        }
        for name in &vanished {
            self.nodes.remove(name);
        }
        if previous_count > 1 && vanished.len() == previous_count && self.nodes.is_empty() {
            warnings.push(ListingWarning::AllGone);
        }
        self.report_changes(now, changes, warnings);
    }

    /// Replaces the data of one node, which was read again because it changed; `None` if the data can't be read.
    pub fn node_changed(
        &mut self,
        now: Duration,
        name: &str,
        node: Option<ListedNode>,
        changes: &mut Vec<ListedChange>,
        warnings: &mut Vec<ListingWarning>,
    ) {
        self.set_node(name, node, warnings);
        self.report_changes(now, changes, warnings);
    }

    /// Removes a node that was deleted.
    pub fn node_deleted(
        &mut self,
        now: Duration,
        name: &str,
        changes: &mut Vec<ListedChange>,
        warnings: &mut Vec<ListingWarning>,
    ) {
        self.nodes.remove(name);
        self.unreadable_nodes.remove(name);
        self.report_changes(now, changes, warnings);
    }

    /// Reports servers whose suppression for flapping has ended; to be called periodically.
    pub fn tick(
        &mut self,
        now: Duration,
        changes: &mut Vec<ListedChange>,
        warnings: &mut Vec<ListingWarning>,
    ) {
        self.report_changes(now, changes, warnings);
    }

    /// Stores a node's data. If it can't be read, the node keeps the data that was read before; without any, it names
    /// no server.
    fn set_node(
        &mut self,
        name: &str,
        node: Option<ListedNode>,
        warnings: &mut Vec<ListingWarning>,
    ) {
        match node {
            Some(node) => {
                self.unreadable_nodes.remove(name);
                self.nodes.insert(name.to_string(), node);
            }
            None => {
                if self.unreadable_nodes.insert(name.to_string()) {
                    warnings.push(ListingWarning::Unreadable(name.to_string()));
                }
            }
        }
    }

    /// Appends the changes of servers since they were last reported.
    fn report_changes(
        &mut self,
        now: Duration,
        changes: &mut Vec<ListedChange>,
        warnings: &mut Vec<ListingWarning>,
    ) {
        let listed_servers = servers_by_uid(&self.nodes);
        for (uid, server) in &listed_servers {
            let known = self
                .servers
                .entry((*uid).clone())
                .or_insert_with(|| KnownServer::new(server.node.clone()));
            let change = update_listed_server(now, uid, server, known, &self.settings, warnings);
            changes.extend(change);
        }
        for (uid, known) in &mut self.servers {
            if !listed_servers.contains_key(uid) {
                changes.extend(update_unlisted_server(uid, known));
            }
        }
        self.prune_gone_servers(now);
    }

    /// Forgets servers that are gone and have not arrived within the flap window, once more than
    /// [`PRUNE_THRESHOLD_SERVERS`] are known.
    fn prune_gone_servers(&mut self, now: Duration) {
        if self.servers.len() <= PRUNE_THRESHOLD_SERVERS {
            return;
        }
        let window = self.settings.flap_window;
        self.servers.retain(|_, known| {
            known.reported != ListedState::Gone
                || !known.node_names.is_empty()
                || known.has_arrived_within(now, window)
        });
    }
}

/// A server that is named by at least one node.
struct ListedServer<'a> {
    /// The data to use: that of the node that started last, or of the one with the greater name among equals.
    node: &'a ListedNode,
    node_names: BTreeSet<String>,
}

/// Groups the nodes of the list by the server that they name.
fn servers_by_uid(nodes: &BTreeMap<String, ListedNode>) -> BTreeMap<&String, ListedServer<'_>> {
    let mut servers: BTreeMap<&String, ListedServer<'_>> = BTreeMap::new();
    for (name, node) in nodes {
        let server = servers.entry(&node.uid).or_insert_with(|| ListedServer {
            node,
            node_names: BTreeSet::new(),
        });
        if node.started_at >= server.node.started_at {
            server.node = node;
        }
        server.node_names.insert(name.clone());
    }
    servers
}

/// Updates a server that is named by nodes; returns its change, if any.
fn update_listed_server(
    now: Duration,
    uid: &str,
    server: &ListedServer<'_>,
    known: &mut KnownServer,
    settings: &ListingSettings,
    warnings: &mut Vec<ListingWarning>,
) -> Option<ListedChange> {
    if server.node_names.len() > 1 && known.node_names.len() <= 1 {
        warnings.push(ListingWarning::DuplicateUid(uid.to_string()));
    }
    if known.node_names.is_empty() && known.record_arrival(now, settings) {
        warnings.push(ListingWarning::Flapping(uid.to_string()));
    }
    known.node_names = server.node_names.clone();
    if known.suppressed_until.is_some_and(|until| now >= until) {
        known.suppressed_until = None;
    }
    let state = known.state(server.node);
    let unchanged =
        known.reported == state && (state == ListedState::Gone || known.node == *server.node);
    known.reported = state;
    known.node = server.node.clone();
    if unchanged {
        return None;
    }
    Some(ListedChange {
        uid: uid.to_string(),
        state,
        node: (state != ListedState::Gone).then(|| server.node.clone()),
    })
}

/// Updates a server that no node names; returns its change, if any.
fn update_unlisted_server(uid: &str, known: &mut KnownServer) -> Option<ListedChange> {
    if known.reported == ListedState::Gone && known.node_names.is_empty() {
        return None;
    }
    known.node_names.clear();
    known.suppressed_until = None;
    if known.reported == ListedState::Gone {
        return None;
    }
    known.reported = ListedState::Gone;
    Some(ListedChange {
        uid: uid.to_string(),
        state: ListedState::Gone,
        node: None,
    })
}
