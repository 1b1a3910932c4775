//! The store's handling of each kind of request.

use super::{RequestContext, StoreEffect, StubStore, WatchTarget};
use crate::jute::JuteWrite;
use crate::record::{StoreError, StoreRequest};

impl StubStore {
    /// Performs a request. Appends the body of the response to `body`, and the watch events that the request triggers
    /// to `events`.
    pub(super) fn apply_request(
        &mut self,
        context: RequestContext,
        request: &StoreRequest,
        body: &mut Vec<u8>,
        events: &mut Vec<StoreEffect>,
    ) -> Result<(), StoreError> {
        match request {
            StoreRequest::Create { path, .. } => {
                self.apply_change(context, request, events)?;
                body.string(path);
            }
            StoreRequest::Delete { .. } => self.apply_change(context, request, events)?,
            StoreRequest::SetData { path, .. } => {
                self.apply_change(context, request, events)?;
                self.nodes[path.as_str()].stat.write(body);
            }
            StoreRequest::Exists { path, watch } => {
                let stat = self.nodes.get(path).map(|node| node.stat);
                // On a missing node, the watch is for its creation.
                if *watch {
                    self.add_watch(path, WatchTarget::Node, context.connection);
                }
                stat.ok_or(StoreError::NoNode)?.write(body);
            }
            StoreRequest::GetData { path, watch } => {
                let node = self.nodes.get(path).ok_or(StoreError::NoNode)?;
                body.buffer(Some(&node.data));
                node.stat.write(body);
                if *watch {
                    self.add_watch(path, WatchTarget::Node, context.connection);
                }
            }
            StoreRequest::GetChildren { path, watch } => {
                let stat = self.nodes.get(path).ok_or(StoreError::NoNode)?.stat;
                let children: Vec<&str> = self.children(path).collect();
                body.vector(&children, |out, name| out.string(name));
                stat.write(body);
                if *watch {
                    self.add_watch(path, WatchTarget::Children, context.connection);
                }
            }
            StoreRequest::SetWatches {
                since,
                data,
                exist,
                child,
            } => self.set_watches(context.connection, *since, [data, exist, child], events),
            StoreRequest::Multi(parts) => self.apply_multi(context, parts, events)?,
            StoreRequest::Ping | StoreRequest::Auth { .. } | StoreRequest::Close => {}
        }
        Ok(())
    }

    /// Performs a request that creates, changes or deletes a node. Rejects other requests, which can't be part of a
    /// [`StoreRequest::Multi`].
    fn apply_change(
        &mut self,
        context: RequestContext,
        request: &StoreRequest,
        events: &mut Vec<StoreEffect>,
    ) -> Result<(), StoreError> {
        match request {
            StoreRequest::Create {
                path,
                data,
                ephemeral,
            } => self.create(context, path, data, *ephemeral, events),
            StoreRequest::Delete { path, version } => self.delete(path, *version, events),
            StoreRequest::SetData {
                path,
                data,
                version,
            } => self.set_data(context.now, path, data, *version, events),
            _ => Err(StoreError::BadArguments),
        }
    }

    /// Performs all of these changes or none: if one fails, the state before the first is restored.
    fn apply_multi(
        &mut self,
        context: RequestContext,
        parts: &[StoreRequest],
        events: &mut Vec<StoreEffect>,
    ) -> Result<(), StoreError> {
        let previous_nodes = self.nodes.clone();
        let previous_sessions = self.sessions.clone();
        let previous_watches = self.watches.clone();
        let previous_zxid = self.zxid;
        let mut multi_events = Vec::new();
        for part in parts {
            if let Err(error) = self.apply_change(context, part, &mut multi_events) {
                self.nodes = previous_nodes;
                self.sessions = previous_sessions;
                self.watches = previous_watches;
                self.zxid = previous_zxid;
                return Err(error);
            }
        }
        events.append(&mut multi_events);
        Ok(())
    }
}
