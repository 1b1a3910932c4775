//! Decides which time of a client's open connection counts as well served.

use crate::context::RunContext;
use crate::plan::PlannedClient;
use std::time::Duration;

/// The current interval of an open connection. It counts as well served if the message at its begin was answered in
/// time.
pub(super) struct ServiceCredit<'a> {
    context: &'a RunContext,
    planned: &'a PlannedClient,
    /// Begin of the interval, on the plan's clock.
    from: Duration,
    /// Whether the interval counts as well served as it stands.
    pub(super) well_served: bool,
}

impl<'a> ServiceCredit<'a> {
    /// Starts the first interval, from now until the first message. No message is answered in it, so it counts as well
    /// served by default.
    pub(super) fn new(context: &'a RunContext, planned: &'a PlannedClient) -> ServiceCredit<'a> {
        ServiceCredit {
            context,
            planned,
            from: context.now(),
            well_served: true,
        }
    }

    /// Ends the interval at `to`, and adds it to the score if it was well served. Ending it again adds nothing.
    pub(super) fn end_interval(&mut self, to: Duration) {
        if std::mem::replace(&mut self.well_served, false) {
            let (listener, tenant) = (self.planned.listener, self.planned.tenant);
            let score = &self.context.service_score;
            score.add_served(listener, tenant, self.from, to);
        }
    }

    /// Starts another interval at `from`, which does not count until its message is answered in time.
    pub(super) fn start_interval(&mut self, from: Duration) {
        (self.from, self.well_served) = (from, false);
    }
}
