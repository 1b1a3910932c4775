//! One session together with its run and its listener's policy, and the conditions that excuse a proxy: kills, stops
//! and link failures.

use super::intervals::Interval;
use super::rule::{Rule, SessionFinding};
use super::run_history::RunHistory;
use super::session_history::{DialHistory, SessionHistory, SessionRequest};
use super::settings::{JudgeSettings, ListenerPolicy};
use crate::link_ends::LinkEnds;
use std::time::Duration;

/// A session that a client requested, with everything that the rules for one session read.
#[derive(Debug)]
pub(super) struct SessionContext<'a> {
    pub(super) request: SessionRequest,
    pub(super) session: &'a SessionHistory,
    pub(super) policy: ListenerPolicy,
    pub(super) run: &'a RunHistory,
    pub(super) settings: &'a JudgeSettings,
}

impl<'a> SessionContext<'a> {
    /// `None` for a session whose request is not recorded.
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

    /// When the client stops waiting for an answer.
    pub(super) fn wait_over(&self) -> Duration {
        self.request.at + self.request.wait
    }

    /// The latest time for the answer: the end of the client's wait plus the slack. A proxy that is stopped meanwhile
    /// has until the slack after it resumes.
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

    /// Whether the session's proxy was killed between the request and `to`, with the tolerance on both sides: a client
    /// may record its request shortly after the kernel has ended the proxy.
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

/// A finding of one rule for each description.
pub(super) fn findings(
    rule: Rule,
    descriptions: impl IntoIterator<Item = String>,
) -> Vec<SessionFinding> {
    descriptions
        .into_iter()
        .map(|description| SessionFinding { rule, description })
        .collect()
}
