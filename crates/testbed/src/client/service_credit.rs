//! Which time of a client counts as well served.

use crate::context::RunContext;
use crate::plan::PlannedClient;
use std::time::Duration;

/// A span that counts as well served if its message was answered in time.
pub(super) struct ServiceCredit<'a> {
    context: &'a RunContext,
    planned: &'a PlannedClient,
    from: Duration,
    pub(super) well_served: bool,
}

impl<'a> ServiceCredit<'a> {
    /// A span that begins now; the first one, until the first message, counts unless it is said otherwise.
    pub(super) fn new(context: &'a RunContext, planned: &'a PlannedClient) -> ServiceCredit<'a> {
        ServiceCredit {
            context,
            planned,
            from: context.now(),
            well_served: true,
        }
    }

    /// Ends the span, and counts it if it was well served.
    pub(super) fn close(&mut self, to: Duration) {
        if std::mem::replace(&mut self.well_served, false) {
            let (listener, member) = (self.planned.listener, self.planned.tenant);
            let score = &self.context.service_score;
            score.add_served(listener, member, self.from, to);
        }
    }

    /// Begins another span, which does not count until its message is answered in time.
    pub(super) fn begin(&mut self, from: Duration) {
        (self.from, self.well_served) = (from, false);
    }
}
