//! What a list of ephemeral nodes means for the servers that they name. No I/O; times come in.
//!
//! A server is **gone** when the store said so: its node was deleted, or a list that a standing session has read
//! whole leaves it out. It is **not known at present** while the store can't be reached, while the client's own
//! session has expired and the list was not read again, or while its node's data can't be read; then it stays as last
//! reported, and [`NodeListing::age`] shows how old that is. A server that was reported gone stays so until the store
//! says that it is there again.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Most servers that are remembered once they are gone.
const MAX_REMEMBERED: usize = 4_096;

/// What a node says of its server.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedNode {
    /// The server's unique name, whatever its node is called.
    pub uid: String,
    /// Where it listens.
    pub address: String,
    /// Its zone's name.
    pub zone: String,
    /// Its capacity in relation to others.
    pub weight: f64,
    /// When its process started, as Unix time; `None` for long ago.
    pub started_at: Option<Duration>,
    /// Whether it takes no further sessions.
    pub draining: bool,
}

/// What is reported of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    /// It takes sessions.
    Ready,
    /// It takes no further sessions.
    Draining,
    /// It has no node, or its node comes and goes too often.
    Gone,
}

/// A change of what is known of a server.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedChange {
    /// The server's unique name.
    pub uid: String,
    /// Its new state.
    pub state: ListedState,
    /// What its node says; `None` where it is gone.
    pub node: Option<ListedNode>,
}

/// A peculiarity of the list, to be counted and logged.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ListingWarning {
    /// This node's data can't be read: its server stays as last reported.
    Unreadable(String),
    /// Several nodes name this server: the one that started last counts.
    DuplicateUid(String),
    /// This server has come and gone so often that it is reported gone until it stays.
    Flapping(String),
    /// All nodes vanished at once.
    AllGone,
}

/// When a server that comes and goes counts as flapping.
#[derive(Clone, Copy, Debug)]
pub struct ListingSettings {
    /// So many arrivals within `flap_window` make a server one that flaps.
    pub flap_count: usize,
    /// The time within which arrivals are counted.
    pub flap_window: Duration,
    /// How long a flapping server has to stay to be reported again.
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
    node: ListedNode,
    /// The state that was last reported.
    reported: ListedState,
    /// The names of the nodes that name it now.
    node_names: BTreeSet<String>,
    /// Its latest arrivals.
    arrivals: Vec<Duration>,
    /// It flaps, and is reported gone until then.
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

    /// Notes that it has its first node again; returns whether it flaps by that.
    fn arrive(&mut self, now: Duration, settings: &ListingSettings) -> bool {
        self.arrivals
            .retain(|at| now.saturating_sub(*at) < settings.flap_window);
        self.arrivals.push(now);
        let flaps = self.arrivals.len() >= settings.flap_count;
        if flaps {
            self.suppressed_until = Some(now + settings.suppression_time);
        }
        flaps
    }

    /// The state to report, by its node that counts.
    fn state(&self, node: &ListedNode) -> ListedState {
        match (self.suppressed_until, node.draining) {
            (Some(_), _) => ListedState::Gone,
            (None, true) => ListedState::Draining,
            (None, false) => ListedState::Ready,
        }
    }

    fn arrived_within(&self, now: Duration, window: Duration) -> bool {
        self.arrivals
            .last()
            .is_some_and(|at| now.saturating_sub(*at) < window)
    }
}

/// The nodes of a list, and the servers that they name.
#[derive(Debug, Default)]
pub struct NodeListing {
    settings: ListingSettings,
    /// Servers by their unique names; those gone are kept, so that their return is known as one.
    servers: BTreeMap<String, KnownServer>,
    /// What each node said last.
    nodes: BTreeMap<String, ListedNode>,
    /// Names of the nodes whose data can't be read.
    unreadable: BTreeSet<String>,
    /// When the list was last known to be true.
    last_known: Option<Duration>,
    /// Whether the store can be reached.
    available: bool,
}

impl NodeListing {
    /// A list that was not read yet.
    pub fn new(settings: ListingSettings) -> NodeListing {
        NodeListing {
            settings,
            ..NodeListing::default()
        }
    }

    /// How old the list is: zero while the store can be reached, `None` before it was read.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        let last_known = self.last_known?;
        Some(if self.available {
            Duration::ZERO
        } else {
            now.saturating_sub(last_known)
        })
    }

    /// The store can't be reached, or the client's session has expired: nothing is known to have changed.
    pub fn store_unavailable(&mut self, now: Duration) {
        if std::mem::replace(&mut self.available, false) {
            self.last_known = Some(now);
        }
    }

    /// Takes the whole list as a standing session has just read it: each child with its data, or `None` where that
    /// can't be read.
    pub fn replace_all(
        &mut self,
        now: Duration,
        children: &[(String, Option<ListedNode>)],
        changes: &mut Vec<ListedChange>,
        remarks: &mut Vec<ListingWarning>,
    ) {
        self.last_known = Some(now);
        self.available = true;
        let listed: BTreeSet<&String> = children.iter().map(|child| &child.0).collect();
        let count_before = self.nodes.len();
        let vanished: Vec<String> = self
            .nodes
            .keys()
            .filter(|name| !listed.contains(name))
            .cloned()
            .collect();
        self.unreadable.retain(|name| listed.contains(name));
        for (name, node) in children {
            self.set_node(name, node.clone(), remarks);
        }
        for name in &vanished {
            self.nodes.remove(name);
        }
        if count_before > 1 && vanished.len() == count_before && self.nodes.is_empty() {
            remarks.push(ListingWarning::AllGone);
        }
        self.report(now, changes, remarks);
    }

    /// Takes one node's data, read again because it changed; `None` where it can't be read.
    pub fn node_changed(
        &mut self,
        now: Duration,
        name: &str,
        node: Option<ListedNode>,
        changes: &mut Vec<ListedChange>,
        remarks: &mut Vec<ListingWarning>,
    ) {
        self.set_node(name, node, remarks);
        self.report(now, changes, remarks);
    }

    /// One node was deleted.
    pub fn node_deleted(
        &mut self,
        now: Duration,
        name: &str,
        changes: &mut Vec<ListedChange>,
        remarks: &mut Vec<ListingWarning>,
    ) {
        self.nodes.remove(name);
        self.unreadable.remove(name);
        self.report(now, changes, remarks);
    }

    /// Reports flapping servers that have stayed long enough; to be called now and then.
    pub fn tick(
        &mut self,
        now: Duration,
        changes: &mut Vec<ListedChange>,
        remarks: &mut Vec<ListingWarning>,
    ) {
        self.report(now, changes, remarks);
    }

    /// A node that was read before and can't be read now stays what it was; one that never was names nobody.
    fn set_node(
        &mut self,
        name: &str,
        node: Option<ListedNode>,
        remarks: &mut Vec<ListingWarning>,
    ) {
        match node {
            Some(node) => {
                self.unreadable.remove(name);
                self.nodes.insert(name.to_string(), node);
            }
            None => {
                if self.unreadable.insert(name.to_string()) {
                    remarks.push(ListingWarning::Unreadable(name.to_string()));
                }
            }
        }
    }

    /// Reports where servers differ from what was reported of them.
    fn report(
        &mut self,
        now: Duration,
        changes: &mut Vec<ListedChange>,
        remarks: &mut Vec<ListingWarning>,
    ) {
        let named = named_servers(&self.nodes);
        for (uid, server) in &named {
            let known = self
                .servers
                .entry((*uid).clone())
                .or_insert_with(|| KnownServer::new(server.node.clone()));
            let change = report_named(now, uid, server, known, &self.settings, remarks);
            changes.extend(change);
        }
        for (uid, known) in &mut self.servers {
            if !named.contains_key(uid) {
                changes.extend(report_unnamed(uid, known));
            }
        }
        self.forget_old(now);
    }

    /// Forgets servers that are gone for long, once there are too many.
    fn forget_old(&mut self, now: Duration) {
        if self.servers.len() <= MAX_REMEMBERED {
            return;
        }
        let window = self.settings.flap_window;
        self.servers.retain(|_, known| {
            known.reported != ListedState::Gone
                || !known.node_names.is_empty()
                || known.arrived_within(now, window)
        });
    }
}

/// A server that has nodes.
struct NamedServer<'a> {
    /// The node that counts: the one that started last, or the one with the higher name where that ties.
    node: &'a ListedNode,
    node_names: BTreeSet<String>,
}

fn named_servers(nodes: &BTreeMap<String, ListedNode>) -> BTreeMap<&String, NamedServer<'_>> {
    let mut servers: BTreeMap<&String, NamedServer<'_>> = BTreeMap::new();
    for (name, node) in nodes {
        let server = servers.entry(&node.uid).or_insert_with(|| NamedServer {
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

fn report_named(
    now: Duration,
    uid: &str,
    server: &NamedServer<'_>,
    known: &mut KnownServer,
    settings: &ListingSettings,
    remarks: &mut Vec<ListingWarning>,
) -> Option<ListedChange> {
    if server.node_names.len() > 1 && known.node_names.len() <= 1 {
        remarks.push(ListingWarning::DuplicateUid(uid.to_string()));
    }
    if known.node_names.is_empty() && known.arrive(now, settings) {
        remarks.push(ListingWarning::Flapping(uid.to_string()));
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

fn report_unnamed(uid: &str, known: &mut KnownServer) -> Option<ListedChange> {
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
