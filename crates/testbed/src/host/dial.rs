//! A dial of a session as its host sees it: what it holds of the load model, and its end, which is recorded once.

use super::connection::HostConnection;
use super::protocol::OpenRequest;
use super::state::Host;
use crate::event_log::{Event, HostReply, SessionId};

/// What an open connection holds of the load model.
#[derive(Clone, Copy, Debug)]
struct HeldLoad {
    group: Option<u64>,
    work: f64,
}

/// A dial whose line its host has read.
#[derive(Debug)]
pub(super) struct Dial {
    pub(super) session: SessionId,
    pub(super) number: u32,
    /// The load model counts it among those that are being set up.
    pub(super) setting_up: bool,
    /// What it holds once it is up.
    held: Option<HeldLoad>,
    over: bool,
}

impl Dial {
    pub(super) fn new(session: SessionId, number: u32) -> Dial {
        Dial {
            session,
            number,
            setting_up: false,
            held: None,
            over: false,
        }
    }

    /// It is up from now on.
    pub(super) fn connect(&mut self, host: &Host, request: &OpenRequest) {
        let (group, work) = (request.group, request.work);
        let mut model = host.model();
        if std::mem::take(&mut self.setting_up) {
            model.finish_set_up();
        }
        model.connect(host.context.event_log.now(), group, work);
        self.held = Some(HeldLoad { group, work });
    }

    /// Records a reply.
    pub(super) fn record_reply(&self, host: &Host, reply: HostReply) {
        host.context.event_log.record(Event::Replied {
            id: self.session,
            dial: self.number,
            reply,
        });
    }

    /// Ends it by the host's reply, and closes its connection.
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

    /// It is over; does nothing if it was already.
    pub(super) fn end(&mut self, host: &Host, by_host: bool) {
        if std::mem::replace(&mut self.over, true) {
            return;
        }
        let context = &host.context;
        context.pending_dials.end(self.session, self.number);
        let mut model = host.model();
        if std::mem::take(&mut self.setting_up) {
            model.finish_set_up();
        }
        if let Some(held) = self.held.take() {
            model.disconnect(context.event_log.now(), held.group, held.work);
        }
        drop(model);
        context.event_log.record(Event::DialOver {
            id: self.session,
            dial: self.number,
            by_host,
        });
    }
}
