//! The store's watches, and the events that are sent when they are triggered.

use super::{ConnectionId, StoreEffect, StubStore};
use crate::record::{ReplyHeader, WatchEvent, WatchEventKind, XID_EVENT};

/// Session state in a watch event: the session is connected.
const SESSION_CONNECTED: i32 = 3;
/// Transaction number in the header of a watch event, which belongs to no transaction.
const NO_ZXID: i64 = -1;

/// What a watch observes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum WatchTarget {
    /// A node's existence and data.
    Node,
    /// A node's children.
    Children,
}

/// A watch that was set over a connection; it is triggered only once. Watches are triggered in the order of these
/// fields.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Watch {
    pub(super) path: String,
    pub(super) target: WatchTarget,
    pub(super) connection: ConnectionId,
}

impl StubStore {
    /// Adds a watch; no effect if the connection has the same one already.
    pub(super) fn add_watch(&mut self, path: &str, target: WatchTarget, connection: ConnectionId) {
        self.watches.insert(Watch {
            path: path.to_string(),
            target,
            connection,
        });
    }

    /// Triggers and removes the watches on a path, in the order of their connections' numbers.
    pub(super) fn trigger_watches(
        &mut self,
        path: &str,
        target: WatchTarget,
        kind: WatchEventKind,
        events: &mut Vec<StoreEffect>,
    ) {
        let watch_of = |connection| Watch {
            path: path.to_string(),
            target,
            connection,
        };
        let triggered: Vec<Watch> = self
            .watches
            .range(watch_of(0)..=watch_of(ConnectionId::MAX))
            .cloned()
            .collect();
        for watch in triggered {
            self.watches.remove(&watch);
            // A connection that watches both a deleted node and its children gets a single event.
            let event = watch_event_effect(watch.connection, kind, path);
            if !events.contains(&event) {
                events.push(event);
            }
        }
    }

    /// Sets the watches of a client's previous connection again. If a watched change has happened since the transaction
    /// `since`, its event is sent at once instead.
    pub(super) fn set_watches(
        &mut self,
        connection: ConnectionId,
        since: i64,
        [data, exist, child]: [&[String]; 3],
        events: &mut Vec<StoreEffect>,
    ) {
        for path in data {
            let missed_event = match self.nodes.get(path) {
                None => Some(WatchEventKind::Deleted),
                Some(node) if node.stat.modified_zxid > since => Some(WatchEventKind::Data),
                Some(_) => None,
            };
            self.set_watch(connection, path, WatchTarget::Node, missed_event, events);
        }
        for path in exist {
            let missed_event = self
                .nodes
                .contains_key(path)
                .then_some(WatchEventKind::Created);
            self.set_watch(connection, path, WatchTarget::Node, missed_event, events);
        }
        for path in child {
            let missed_event = match self.nodes.get(path) {
                None => Some(WatchEventKind::Deleted),
                Some(node) if node.stat.child_modified_zxid > since => {
                    Some(WatchEventKind::Children)
                }
                Some(_) => None,
            };
            self.set_watch(
                connection,
                path,
                WatchTarget::Children,
                missed_event,
                events,
            );
        }
    }

    /// Adds a watch, or sends the event that it missed.
    fn set_watch(
        &mut self,
        connection: ConnectionId,
        path: &str,
        target: WatchTarget,
        missed_event: Option<WatchEventKind>,
        events: &mut Vec<StoreEffect>,
    ) {
        match missed_event {
            Some(kind) => events.push(watch_event_effect(connection, kind, path)),
            None => self.add_watch(path, target, connection),
        }
    }
}

/// The effect that sends a watch event over a connection.
fn watch_event_effect(connection: ConnectionId, kind: WatchEventKind, path: &str) -> StoreEffect {
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
