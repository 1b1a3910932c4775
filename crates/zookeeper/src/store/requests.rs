//! What the store does for each request.

use super::{RequestContext, StoreEffect, StubStore, WatchTarget};
use crate::jute::JuteWrite;
use crate::record::{StoreError, StoreRequest};

impl StubStore {
    /// Performs a request: appends its response's body to `body` and the watch events that it causes to `events`.
    pub(super) fn apply_request(
        &mut self,
        context: RequestContext,
        request: &StoreRequest,
        body: &mut Vec<u8>,
        events: &mut Vec<StoreEffect>,
    ) -> Result<(), StoreError> {
        match request {
            StoreRequest::Create { path, .. } => {
                self.change(context, request, events)?;
                body.string(path);
            }
            StoreRequest::Delete { .. } => self.change(context, request, events)?,
            StoreRequest::SetData { path, .. } => {
                self.change(context, request, events)?;
                self.nodes[path.as_str()].stat.write(body);
            }
            StoreRequest::Exists { path, watch } => {
                let stat = self.nodes.get(path).map(|node| node.stat);
                // The watch on a node that doesn't exist is on its creation.
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
            StoreRequest::Multi(parts) => self.multi(context, parts, events)?,
            StoreRequest::Ping | StoreRequest::Auth { .. } | StoreRequest::Close => {}
        }
        Ok(())
    }

    /// Performs a request that changes nodes; others make no sense as a part of several.
    fn change(
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

    /// Performs all of some changes, or none: those done are undone where a later one fails.
    fn multi(
        &mut self,
        context: RequestContext,
        parts: &[StoreRequest],
        events: &mut Vec<StoreEffect>,
    ) -> Result<(), StoreError> {
        let nodes = self.nodes.clone();
        let sessions = self.sessions.clone();
        let watches = self.watches.clone();
        let zxid = self.zxid;
        let mut own_events = Vec::new();
        for part in parts {
            if let Err(error) = self.change(context, part, &mut own_events) {
                self.nodes = nodes;
                self.sessions = sessions;
                self.watches = watches;
                self.zxid = zxid;
                return Err(error);
            }
        }
        events.append(&mut own_events);
        Ok(())
    }
}
