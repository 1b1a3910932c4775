//! One session beside the run it belongs to, and what excuses it.

use super::intervals::Interval;
use super::rule::{Rule, SessionFinding};
use super::run_history::RunHistory;
use super::session_history::{DialHistory, SessionHistory, SessionRequest};
use super::settings::{JudgeSettings, ListenerPolicy};
use crate::link_ends::LinkEnds;
use std::time::Duration;

/// One session that a client asked for, with all that its rules look at.
#[derive(Debug)]
pub(super) struct SessionContext<'a> {
    pub(super) request: SessionRequest,
    pub(super) session: &'a SessionHistory,
    pub(super) policy: ListenerPolicy,
    pub(super) run: &'a RunHistory,
    pub(super) settings: &'a JudgeSettings,
}

impl<'a> SessionContext<'a> {
    /// None for a session whose request is not recorded.
    pub(super) fn new(
        session: &'a SessionHistory,
        run: &'a RunHistory,
        settings: &'a JudgeSettings,
    ) -> Option<SessionContext<'a>> {
        let request = session.request?;
        Some(SessionContext {
            request,
            session,
            policy: settings.listeners[usize::from(request.listener)],
            run,
            settings,
        })
    }

    /// The session's dials in the order in which they were made.
    pub(super) fn dials(&self) -> impl Iterator<Item = &'a DialHistory> {
        self.session.dials.values()
    }

    /// When the client's wait is over.
    pub(super) fn wait_over(&self) -> Duration {
        self.request.at + self.request.wait
    }

    /// When its answer is due. A proxy that is stopped cannot answer; it does so as soon as it runs again.
    pub(super) fn answer_due(&self) -> Duration {
        let slack = self.settings.answer_slack;
        let due = self.wait_over() + slack;
        let waiting = Interval {
            from: self.request.at,
            to: due,
        };
        self.run
            .proxies
            .stalls
            .overlapping(&self.request.proxy, waiting)
            .fold(due, |due, stall| due.max(stall.to.saturating_add(slack)))
    }

    /// Whether the session's proxy was killed by `to`. A client may record its request a moment after the kernel has
    /// taken down the proxy.
    pub(super) fn died_with_proxy(&self, to: Duration) -> bool {
        let tolerance = self.settings.tolerance;
        let within = Interval {
            from: self.request.at.saturating_sub(tolerance),
            to: to + tolerance,
        };
        self.run.proxies.died(self.request.proxy, within)
    }

    /// Whether the link between the client and its proxy failed between the request and `to`.
    pub(super) fn client_link_failed(&self, to: Duration) -> bool {
        let link = LinkEnds::Clients(self.request.zone, self.request.proxy);
        let within = Interval {
            from: self.request.at.saturating_sub(self.settings.tolerance),
            to,
        };
        self.run.proxies.link_failures.any_overlaps(&link, within)
    }

    /// Whether the link to a host that the session was dialled at failed at any time after the request.
    pub(super) fn host_link_failed(&self) -> bool {
        let since_request = self.since_request();
        let mut links = self
            .dials()
            .map(|dial| LinkEnds::Proxy(self.request.proxy, dial.host));
        let failures = &self.run.proxies.link_failures;
        links.any(|link| failures.any_overlaps(&link, since_request))
    }

    /// Whether the session's proxy was stopped at any time after the request.
    pub(super) fn proxy_stalled(&self) -> bool {
        let stalls = &self.run.proxies.stalls;
        stalls.any_overlaps(&self.request.proxy, self.since_request())
    }

    fn since_request(&self) -> Interval {
        Interval {
            from: self.request.at,
            to: Duration::MAX,
        }
    }
}

/// Findings that all break one rule.
pub(super) fn findings(
    rule: Rule,
    sentences: impl IntoIterator<Item = String>,
) -> Vec<SessionFinding> {
    sentences
        .into_iter()
        .map(|what| SessionFinding {
            rule,
            description: what,
        })
        .collect()
}
