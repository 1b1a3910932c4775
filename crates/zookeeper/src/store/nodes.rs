//! The store's tree of nodes, and the transactions that change it.

use super::{Node, RequestContext, StoreEffect, StubStore, WatchTarget};
use crate::record::{ANY_VERSION, NodeStat, StoreError, WatchEventKind};
use std::time::Duration;

/// Most nodes, without the root; creations beyond are rejected.
const MAX_NODES: usize = 50_000;
/// Most bytes of a node's data: 1 MiB, as in a real store's default limit.
const MAX_DATA_BYTES: usize = 1 << 20;

impl StubStore {
    /// The names of a node's children.
    pub(super) fn children(&self, path: &str) -> impl Iterator<Item = &str> {
        let prefix = if path == "/" {
            "/".to_string()
        } else {
            format!("{path}/")
        };
        let prefix_length = prefix.len();
        self.nodes
            .range(prefix.clone()..)
            .take_while(move |(descendant, _)| descendant.starts_with(&prefix))
            .filter_map(move |(descendant, _)| descendant.get(prefix_length..))
            .filter(|name| !name.is_empty() && !name.contains('/'))
    }

    /// Creates a node and triggers the watches for its creation and on its parent's children.
    pub(super) fn create(
        &mut self,
        context: RequestContext,
        path: &str,
        data: &[u8],
        ephemeral: bool,
        events: &mut Vec<StoreEffect>,
    ) -> Result<(), StoreError> {
        if !is_valid_path(path) || data.len() > MAX_DATA_BYTES || self.nodes.len() > MAX_NODES {
            return Err(StoreError::BadArguments);
        }
        let parent = parent_path(path);
        let parent_node = self.nodes.get(parent).ok_or(StoreError::NoNode)?;
        if parent_node.stat.ephemeral_owner != 0 {
            return Err(StoreError::NoChildrenForEphemerals);
        }
        if self.nodes.contains_key(path) {
            return Err(StoreError::NodeExists);
        }
        self.zxid += 1;
        let now_ms = context.now.as_millis() as i64;
        let stat = NodeStat {
            created_zxid: self.zxid,
            modified_zxid: self.zxid,
            child_modified_zxid: self.zxid,
            created_ms: now_ms,
            modified_ms: now_ms,
            ephemeral_owner: if ephemeral { context.session_id } else { 0 },
            data_length: data.len() as i32,
            ..NodeStat::default()
        };
        let node = Node {
            data: data.to_vec(),
            stat,
        };
        self.nodes.insert(path.to_string(), node);
        if ephemeral && let Some(session) = self.sessions.get_mut(&context.session_id) {
            session.ephemeral_paths.insert(path.to_string());
        }
        self.update_child_count(parent, 1);
        self.trigger_watches(path, WatchTarget::Node, WatchEventKind::Created, events);
        self.trigger_watches(
            parent,
            WatchTarget::Children,
            WatchEventKind::Children,
            events,
        );
        Ok(())
    }

    /// Updates a node's metadata after the creation or deletion of a child; `difference` is 1 or -1.
    fn update_child_count(&mut self, parent: &str, difference: i32) {
        let zxid = self.zxid;
        if let Some(node) = self.nodes.get_mut(parent) {
            node.stat.child_count += difference;
            node.stat.child_version += 1;
            node.stat.child_modified_zxid = zxid;
        }
    }

    /// Deletes a node without children, if its version is `version` or that is [`ANY_VERSION`].
    pub(super) fn delete(
        &mut self,
        path: &str,
        version: i32,
        events: &mut Vec<StoreEffect>,
    ) -> Result<(), StoreError> {
        let node = self
            .nodes
            .get(path)
            .filter(|_| path != "/")
            .ok_or(StoreError::NoNode)?;
        check_version(node, version)?;
        if node.stat.child_count > 0 {
            return Err(StoreError::NotEmpty);
        }
        let owner = node.stat.ephemeral_owner;
        if let Some(session) = self.sessions.get_mut(&owner) {
            session.ephemeral_paths.remove(path);
        }
        self.remove(path, events);
        Ok(())
    }

    /// Removes a node, if it exists, and triggers the watches on it and on its parent's children.
    pub(super) fn remove(&mut self, path: &str, events: &mut Vec<StoreEffect>) {
        if self.nodes.remove(path).is_none() {
            return;
        }
        self.zxid += 1;
        let parent = parent_path(path);
        self.update_child_count(parent, -1);
        self.trigger_watches(path, WatchTarget::Node, WatchEventKind::Deleted, events);
        self.trigger_watches(path, WatchTarget::Children, WatchEventKind::Deleted, events);
        self.trigger_watches(
            parent,
            WatchTarget::Children,
            WatchEventKind::Children,
            events,
        );
    }

    /// Replaces a node's data, if its version is `version` or that is [`ANY_VERSION`], and triggers the watches on it.
    pub(super) fn set_data(
        &mut self,
        now: Duration,
        path: &str,
        data: &[u8],
        version: i32,
        events: &mut Vec<StoreEffect>,
    ) -> Result<(), StoreError> {
        let node = self.nodes.get_mut(path).ok_or(StoreError::NoNode)?;
        check_version(node, version)?;
        if data.len() > MAX_DATA_BYTES {
            return Err(StoreError::BadArguments);
        }
        self.zxid += 1;
        node.data = data.to_vec();
        node.stat.version += 1;
        node.stat.modified_zxid = self.zxid;
        node.stat.modified_ms = now.as_millis() as i64;
        node.stat.data_length = data.len() as i32;
        self.trigger_watches(path, WatchTarget::Node, WatchEventKind::Data, events);
        Ok(())
    }
}

fn check_version(node: &Node, version: i32) -> Result<(), StoreError> {
    if version == ANY_VERSION || version == node.stat.version {
        Ok(())
    } else {
        Err(StoreError::BadVersion)
    }
}

/// Whether a path is absolute, is not the root, and has no empty component and no NUL.
fn is_valid_path(path: &str) -> bool {
    path.starts_with('/') && !path.ends_with('/') && !path.contains("//") && !path.contains('\0')
}

/// The path of a node's parent; the root's is the root itself.
fn parent_path(path: &str) -> &str {
    match path.rfind('/') {
        Some(0) | None => "/",
        Some(end) => &path[..end],
    }
}
