//! The watches that a session has set, so that it can set them again over another connection.

use crate::record::{StoreError, StoreRequest, WatchEvent, WatchEventKind};
use std::collections::BTreeSet;

/// Paths watched at the store, by the kind of request that set the watch.
#[derive(Clone, Debug, Default)]
pub(super) struct WatchedPaths {
    /// Watched for changes of the node's data and for its deletion.
    data: BTreeSet<String>,
    /// Missing nodes, watched for their creation.
    exist: BTreeSet<String>,
    /// Watched for changes of the node's children and for its deletion.
    child: BTreeSet<String>,
}

impl WatchedPaths {
    pub(super) fn is_empty(&self) -> bool {
        self.data.is_empty() && self.exist.is_empty() && self.child.is_empty()
    }

    /// Adds the watch that a request has set at the store, if any. `error` is the store's response to the request.
    pub(super) fn add(&mut self, request: &StoreRequest, error: Option<StoreError>) {
        let (paths, path) = match (request, error) {
            (StoreRequest::GetData { path, watch: true }, None)
            | (StoreRequest::Exists { path, watch: true }, None) => (&mut self.data, path),
            (StoreRequest::Exists { path, watch: true }, Some(StoreError::NoNode)) => {
                (&mut self.exist, path)
            }
            (StoreRequest::GetChildren { path, watch: true }, None) => (&mut self.child, path),
            _ => return,
        };
        paths.insert(path.clone());
    }

    /// Removes the watches that an event has triggered: each fires only once.
    pub(super) fn remove_triggered(&mut self, event: &WatchEvent) {
        let (data, exist, child) = match event.kind {
            WatchEventKind::Session => (false, false, false),
            WatchEventKind::Created => (true, true, false),
            WatchEventKind::Data => (true, false, false),
            WatchEventKind::Children => (false, false, true),
            WatchEventKind::Deleted => (true, true, true),
        };
        if data {
            self.data.remove(&event.path);
        }
        if exist {
            self.exist.remove(&event.path);
        }
        if child {
            self.child.remove(&event.path);
        }
    }

    /// The request that sets these watches again over a new connection. `since` is the last transaction that the client
    /// has seen.
    pub(super) fn to_set_watches_request(&self, since: i64) -> StoreRequest {
        StoreRequest::SetWatches {
            since,
            data: self.data.iter().cloned().collect(),
            exist: self.exist.iter().cloned().collect(),
            child: self.child.iter().cloned().collect(),
        }
    }
}
