//! What a list of ephemeral nodes means for hosts. No I/O; time comes in.
//!
//! **Gone** and **not known just now** are two things. A host is gone when the store said so: its node was deleted,
//! or a list read whole by a session that stands leaves it out. It is not known just now while the store can't be
//! heard, while our own session has lapsed and the list was not read anew, or while its node's data can't be read;
//! then it stays as it was last told, and its age can be seen. A host told gone gets nothing new after the drain
//! window, always: nothing but the store's word that it is there again takes that back.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// What a host's node says of it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedNode {
    /// Who it is, whatever its node is called.
    pub uid: String,
    pub address: String,
    pub zone: String,
    pub weight: f64,
    /// When it last started, Unix time; none for long ago.
    pub started_at: Option<Duration>,
    pub draining: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    Ready,
    Draining,
    Gone,
}

/// What a proxy is told of a host.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedChange {
    pub uid: String,
    pub state: ListedState,
    /// `None` with `Gone`.
    pub node: Option<ListedNode>,
}

/// What becomes of a host in a proxy's eyes; each is counted and worth a line.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ListingRemark {
    /// Its node can't be read: it stays as it was last told.
    Unreadable(String),
    /// Two nodes name the same host: the one that started last counts.
    DuplicateUid(String),
    /// It has come and gone so often of late that it is held as gone until it stays.
    Flapping(String),
    /// All nodes went in one event.
    AllGone,
}

/// Terms of an installation.
#[derive(Clone, Copy, Debug)]
pub struct ListingSettings {
    /// So many comings within `flap_span` make a host one that flaps; it must stay so long to be taken again.
    pub flap_count: usize,
    pub flap_window: Duration,
    pub settle_time: Duration,
}

impl Default for ListingSettings {
    fn default() -> Self {
        ListingSettings {
            flap_count: 4,
            flap_window: Duration::from_secs(20),
            settle_time: Duration::from_secs(5),
        }
    }
}

#[derive(Clone, Debug)]
struct Known {
    node: ListedNode,
    told: ListedState,
    /// Nodes by name that now speak for it.
    names: BTreeSet<String>,
    /// When it came, of late.
    came: Vec<Duration>,
    /// Held as gone until then, if it stays.
    held_until: Option<Duration>,
}

#[derive(Debug, Default)]
pub struct NodeListing {
    terms: ListingSettings,
    /// Hosts by uid; those gone are kept, since a return must be known as one.
    hosts: BTreeMap<String, Known>,
    /// Which host each node names, and what it said.
    nodes: BTreeMap<String, ListedNode>,
    unreadable: BTreeSet<String>,
    /// When the store was last heard to speak of the whole list.
    heard: Option<Duration>,
    /// Whether the store can be heard.
    up: bool,
}

/// Most hosts that are remembered once they are gone.
const GONE: usize = 4_096;

impl NodeListing {
    pub fn new(terms: ListingSettings) -> NodeListing {
        NodeListing {
            terms,
            ..NodeListing::default()
        }
    }

    /// How old the list is: nought while the store can be heard and the list was read.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        let heard = self.heard?;
        Some(if self.up {
            Duration::ZERO
        } else {
            now.saturating_sub(heard)
        })
    }

    /// The store cannot be heard, or our own session has lapsed: nothing is known to have changed.
    pub fn store_unavailable(&mut self, now: Duration) {
        if std::mem::replace(&mut self.up, false) {
            self.heard = Some(now);
        }
    }

    /// The whole list as a session that stands has just read it: each child with its data, or none where the data
    /// could not be read.
    pub fn replace_all(
        &mut self,
        now: Duration,
        children: &[(String, Option<ListedNode>)],
        told: &mut Vec<ListedChange>,
        remarks: &mut Vec<ListingRemark>,
    ) {
        (self.heard, self.up) = (Some(now), true);
        let there: BTreeSet<&String> = children.iter().map(|child| &child.0).collect();
        let before = self.nodes.len();
        let gone: Vec<String> = self
            .nodes
            .keys()
            .filter(|name| !there.contains(name))
            .cloned()
            .collect();
        self.unreadable.retain(|name| there.contains(name));
        for (name, node) in children {
            match node {
                Some(node) => drop(self.nodes.insert(name.clone(), node.clone())),
                // One that was read before stays what it was; one that never was names nobody.
                None => {
                    if self.unreadable.insert(name.clone()) {
                        remarks.push(ListingRemark::Unreadable(name.clone()));
                    }
                }
            }
            if node.is_some() {
                self.unreadable.remove(name);
            }
        }
        for name in &gone {
            self.nodes.remove(name);
        }
        if before > 1 && gone.len() == before && self.nodes.is_empty() {
            remarks.push(ListingRemark::AllGone);
        }
        self.settle(now, told, remarks);
    }

    /// One node's data, read again because it changed; none where it could not be read.
    pub fn node_changed(
        &mut self,
        now: Duration,
        name: &str,
        node: Option<ListedNode>,
        told: &mut Vec<ListedChange>,
        remarks: &mut Vec<ListingRemark>,
    ) {
        match node {
            Some(node) => {
                self.unreadable.remove(name);
                self.nodes.insert(name.to_string(), node);
            }
            None if self.unreadable.insert(name.to_string()) => {
                remarks.push(ListingRemark::Unreadable(name.to_string()));
            }
            None => {}
        }
        self.settle(now, told, remarks);
    }

    /// One node was deleted.
    pub fn node_deleted(
        &mut self,
        now: Duration,
        name: &str,
        told: &mut Vec<ListedChange>,
        remarks: &mut Vec<ListingRemark>,
    ) {
        self.nodes.remove(name);
        self.unreadable.remove(name);
        self.settle(now, told, remarks);
    }

    /// Time goes on: hosts that flapped and stayed are taken again. To be called now and then.
    pub fn tick(
        &mut self,
        now: Duration,
        told: &mut Vec<ListedChange>,
        remarks: &mut Vec<ListingRemark>,
    ) {
        self.settle(now, told, remarks);
    }

    /// Tells what differs from what was told.
    fn settle(
        &mut self,
        now: Duration,
        told: &mut Vec<ListedChange>,
        remarks: &mut Vec<ListingRemark>,
    ) {
        // Of several nodes of one host the one that started last speaks, the higher name where that ties.
        let mut speaks: BTreeMap<&String, (&String, &ListedNode)> = BTreeMap::new();
        let mut names: BTreeMap<&String, BTreeSet<String>> = BTreeMap::new();
        for (name, node) in &self.nodes {
            names.entry(&node.uid).or_default().insert(name.clone());
            let newer = speaks
                .get(&node.uid)
                .is_none_or(|(_, other)| node.started_at >= other.started_at);
            if newer {
                speaks.insert(&node.uid, (name, node));
            }
        }
        for (uid, (_, node)) in &speaks {
            let own = names.remove(uid).unwrap_or_default();
            let known = self.hosts.entry((*uid).clone()).or_insert_with(|| Known {
                node: (*node).clone(),
                told: ListedState::Gone,
                names: BTreeSet::new(),
                came: Vec::new(),
                held_until: None,
            });
            if own.len() > 1 && known.names.len() <= 1 {
                remarks.push(ListingRemark::DuplicateUid((*uid).clone()));
            }
            // It comes, by its first node, or by another process under its name.
            if known.names.is_empty() {
                known
                    .came
                    .retain(|at| now.saturating_sub(*at) < self.terms.flap_window);
                known.came.push(now);
                if known.came.len() >= self.terms.flap_count {
                    known.held_until = Some(now + self.terms.settle_time);
                    remarks.push(ListingRemark::Flapping((*uid).clone()));
                }
            }
            known.names = own;
            if known.held_until.is_some_and(|until| now >= until) {
                known.held_until = None;
            }
            let standing = match (known.held_until, node.draining) {
                (Some(_), _) => ListedState::Gone,
                (None, true) => ListedState::Draining,
                (None, false) => ListedState::Ready,
            };
            let same =
                known.told == standing && (standing == ListedState::Gone || known.node == **node);
            if !same {
                let shown = (standing != ListedState::Gone).then(|| (*node).clone());
                told.push(ListedChange {
                    uid: (*uid).clone(),
                    state: standing,
                    node: shown,
                });
            }
            (known.told, known.node) = (standing, (*node).clone());
        }
        let gone = self.hosts.iter_mut().filter(|(uid, known)| {
            let named = speaks.contains_key(uid);
            !named && (known.told != ListedState::Gone || !known.names.is_empty())
        });
        for (uid, known) in gone {
            known.names.clear();
            known.held_until = None;
            if known.told != ListedState::Gone {
                known.told = ListedState::Gone;
                told.push(ListedChange {
                    uid: uid.clone(),
                    state: ListedState::Gone,
                    node: None,
                });
            }
        }
        self.forget(now);
    }

    /// Hosts long gone are forgotten, the oldest first, once there are too many.
    fn forget(&mut self, now: Duration) {
        if self.hosts.len() <= GONE {
            return;
        }
        let span = self.terms.flap_window;
        self.hosts.retain(|_, known| {
            let young = known
                .came
                .last()
                .is_some_and(|at| now.saturating_sub(*at) < span);
            known.told != ListedState::Gone || !known.names.is_empty() || young
        });
    }
}
