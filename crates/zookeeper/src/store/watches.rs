//! The store's watches and the events that they send.

use super::{ConnectionId, StoreEffect, StubStore};
use crate::record::{ReplyHeader, WatchEvent, WatchEventKind, XID_EVENT};

/// In a watch event: the session stands.
const SESSION_CONNECTED: i32 = 3;
/// In a watch event's header: no transaction.
const NO_ZXID: i64 = -1;

/// What a watch is on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum WatchTarget {
    /// A node's existence and data.
    Node,
    /// A node's children.
    Children,
}

/// A watch of a connection; fires once. The order of fields is the order in which watches fire.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Watch {
    pub(super) path: String,
    pub(super) target: WatchTarget,
    pub(super) connection: ConnectionId,
}

impl StubStore {
    pub(super) fn add_watch(&mut self, path: &str, target: WatchTarget, connection: ConnectionId) {
        self.watches.insert(Watch {
            path: path.to_string(),
            target,
            connection,
        });
    }

    /// Fires the watches on a path, in the order of their connections.
    pub(super) fn trigger_watches(
        &mut self,
        path: &str,
        target: WatchTarget,
        kind: WatchEventKind,
        events: &mut Vec<StoreEffect>,
    ) {
        let bound = |connection| Watch {
            path: path.to_string(),
            target,
            connection,
        };
        let fired: Vec<Watch> = self
            .watches
            .range(bound(0)..=bound(ConnectionId::MAX))
            .cloned()
            .collect();
        for watch in fired {
            self.watches.remove(&watch);
            // A connection with both kinds of watches on a deleted node is notified once.
            let event = event(watch.connection, kind, path);
            if !events.contains(&event) {
                events.push(event);
            }
        }
    }

    /// Sets the watches of a client's former connection again. What changed since a transaction is notified at once,
    /// and the other watches are kept.
    pub(super) fn set_watches(
        &mut self,
        connection: ConnectionId,
        since: i64,
        [data, exist, child]: [&[String]; 3],
        events: &mut Vec<StoreEffect>,
    ) {
        for path in data {
            let missed = match self.nodes.get(path) {
                None => Some(WatchEventKind::Deleted),
                Some(node) if node.stat.modified_zxid > since => Some(WatchEventKind::Data),
                Some(_) => None,
            };
            self.set_watch(connection, path, WatchTarget::Node, missed, events);
        }
        for path in exist {
            let missed = self
                .nodes
                .contains_key(path)
                .then_some(WatchEventKind::Created);
            self.set_watch(connection, path, WatchTarget::Node, missed, events);
        }
        for path in child {
            let missed = match self.nodes.get(path) {
                None => Some(WatchEventKind::Deleted),
                Some(node) if node.stat.child_modified_zxid > since => {
                    Some(WatchEventKind::Children)
                }
                Some(_) => None,
            };
            self.set_watch(connection, path, WatchTarget::Children, missed, events);
        }
    }

    /// Keeps a watch, or notifies what it missed.
    fn set_watch(
        &mut self,
        connection: ConnectionId,
        path: &str,
        target: WatchTarget,
        missed: Option<WatchEventKind>,
        events: &mut Vec<StoreEffect>,
    ) {
        match missed {
            Some(kind) => events.push(event(connection, kind, path)),
            None => self.add_watch(path, target, connection),
        }
    }
}

fn event(connection: ConnectionId, kind: WatchEventKind, path: &str) -> StoreEffect {
    let header = ReplyHeader {
        xid: XID_EVENT,
        zxid: NO_ZXID,
        error_code: 0,
    };
    let event = WatchEvent {
        kind,
        state: SESSION_CONNECTED,
        path: path.to_string(),
    };
    let mut frame = Vec::new();
    header.write(&mut frame);
    event.write(&mut frame);
    StoreEffect::Send(connection, frame)
}
