//! A dial of a session as its host sees it: its load in the load model, its replies, and its end, which is recorded
//! once.

use super::connection::HostConnection;
use super::protocol::OpenRequest;
use super::state::Host;
use crate::event_log::{Event, HostReply, SessionId};

/// The load that an open session has added to the load model and must remove at its end.
#[derive(Clone, Copy, Debug)]
struct SessionLoad {
    group: Option<u64>,
    /// As a share of a standard host's capacity.
    work: f64,
}

/// A dial whose session request its host has read.
#[derive(Debug)]
pub(super) struct Dial {
    pub(super) session: SessionId,
    pub(super) number: u32,
    /// Whether the load model counts it as a pending set-up.
    pub(super) setting_up: bool,
    /// Its load while the session is up.
    load: Option<SessionLoad>,
    /// Whether its end has been recorded.
    ended: bool,
}

impl Dial {
    pub(super) fn new(session: SessionId, number: u32) -> Dial {
        Dial {
            session,
            number,
            setting_up: false,
            load: None,
            ended: false,
        }
    }

    /// Marks the session as up, and adds its load to the load model.
    pub(super) fn connect(&mut self, host: &Host, request: &OpenRequest) {
        let (group, work) = (request.group, request.work);
        let mut model = host.model();
        if std::mem::take(&mut self.setting_up) {
            model.finish_set_up();
        }
        model.connect(host.context.event_log.now(), group, work);
        self.load = Some(SessionLoad { group, work });
    }

    pub(super) fn record_reply(&self, host: &Host, reply: HostReply) {
        host.context.event_log.record(Event::Replied {
            id: self.session,
            dial: self.number,
            reply,
        });
    }

    /// Ends the dial with a last reply, whose line is `text`, and closes the connection.
    pub(super) async fn finish(
        &mut self,
        host: &Host,
        connection: &mut HostConnection,
        reply: HostReply,
        text: &str,
    ) {
        self.record_reply(host, reply);
        self.end(host, true);
        connection.send_last(text).await;
    }

    /// Removes the dial from the load model and records its end; has no effect if that was done before.
    pub(super) fn end(&mut self, host: &Host, by_host: bool) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let context = &host.context;
        context.pending_dials.end(self.session, self.number);
        let mut model = host.model();
        if std::mem::take(&mut self.setting_up) {
            model.finish_set_up();
        }
        if let Some(load) = self.load.take() {
            model.disconnect(context.event_log.now(), load.group, load.work);
        }
        drop(model);
        context.event_log.record(Event::DialOver {
            id: self.session,
            dial: self.number,
            by_host,
        });
    }
}
