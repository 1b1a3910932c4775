//! The placement engine: all placement decisions of one proxy, without I/O.
//!
//! Create one [`PlacementEngine`] per proxy from its [`Deployment`] and a nonce, pass it each [`PlacementEvent`] with
//! the time since the clock began, and carry out the [`PlacementAction`]s that it appends, in order. `docs/design.md`
//! gives the reason for each rule and the differences from the Charon paper.
//!
//! The submodules make the decisions; the modules beside this file hold the state on which the decisions are based.

mod attempt_rules;
mod attempts;
mod averages;
mod endpoint_list;
mod probes;
mod rebalancing;
mod selection;
mod sessions;

use crate::action::PlacementAction;
use crate::deployment::Deployment;
use crate::endpoint_polling::PollBackoff;
use crate::event::{EndpointState, Observation, PlacementEvent, ServerId, SessionId};
use crate::group_table::GroupTable;
use crate::peer_traffic::DialRate;
use crate::random::RandomSource;
use crate::retry_budget::RetryBudget;
use crate::server::Server;
use crate::session::{Session, SessionInput};
use crate::session_pacing::SessionPacing;
use crate::slow_start::SlowStart;
use crate::timers::{Timer, TimerQueue};
use crate::zone_shares::ZoneShares;
use std::time::Duration;

/// Interval between ticks. Timers and due probes are handled at most this much late.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Places the sessions of one proxy.
#[derive(Clone, Debug, Default)]
pub struct PlacementEngine {
    deployment: Deployment,
    random: RandomSource,
    /// Time of the event that is being handled.
    now: Duration,
    /// Whether the first event has been handled.
    started: bool,
    /// Indexed by session id.
    sessions: Vec<Session>,
    /// Indexed by server id.
    servers: Vec<Server>,
    groups: GroupTable,
    timers: TimerQueue,
    poll_backoff: PollBackoff,
    retry_budget: RetryBudget,
    pacing: SessionPacing,
    dial_rate: DialRate,
    slow_start: SlowStart,
    zone_shares: ZoneShares,
    /// Load of one connection, as a fraction of a server's capacity, averaged over the ready servers that report it;
    /// `None` before the first such report.
    mean_load_per_connection: Option<f64>,
    /// Mean number of this proxy's connections at a ready server that has warmed up.
    connections_per_warm_server: f64,
    /// Time to open a session: a moving average over the latest sessions, raised at once by a timeout.
    setup_time: Duration,
}

impl PlacementEngine {
    /// Creates an engine whose random draws are seeded by `nonce`.
    pub fn new(deployment: Deployment, nonce: u64) -> Self {
        let deployment = Deployment {
            proxy_count: deployment.proxy_count.max(1),
            ..deployment
        };
        PlacementEngine {
            retry_budget: RetryBudget::new(deployment.retry_budget),
            slow_start: SlowStart::new(deployment.slow_start),
            random: RandomSource::seeded(nonce),
            deployment,
            ..PlacementEngine::default()
        }
    }

    /// Seeds the random draws anew.
    pub fn reseed(&mut self, nonce: u64) {
        self.random = RandomSource::seeded(nonce);
    }

    /// Handles one event and appends the resulting actions to `out`. `now` is the time since the clock began and
    /// must not go back.
    pub fn handle(&mut self, now: Duration, event: PlacementEvent, out: &mut Vec<PlacementAction>) {
        self.now = now;
        if !self.started {
            self.start(out);
        }
        match event {
            PlacementEvent::EndpointsUpdated(update) => self.update_endpoints(update),
            PlacementEvent::SessionRequested(request) => self.accept_session(request, out),
            PlacementEvent::SessionInherited(request, server) => {
                self.inherit_session(request, server, out)
            }
            PlacementEvent::SessionOpened { session, attempt } => {
                self.handle_attempt_input(session, attempt, SessionInput::Opened, out);
            }
            PlacementEvent::AttemptEnded {
                session,
                attempt,
                outcome,
                session_over,
                load,
            } => {
                self.record_attempt_end(session, attempt, outcome, load);
                let input = if session_over {
                    SessionInput::Closed
                } else {
                    SessionInput::AttemptFailed
                };
                self.handle_attempt_input(session, attempt, input, out);
            }
            PlacementEvent::ConnectionObserved {
                server,
                observation: Observation::MessageDelay(delay),
                ..
            } => self.record_message_delay(server, delay, out),
            PlacementEvent::ProbeEnded {
                server,
                outcome,
                load,
            } => self.record_probe_end(server, outcome, load, out),
            PlacementEvent::ClientLeft { session } => {
                self.handle_session_input(session, SessionInput::ClientLeft, out)
            }
            PlacementEvent::ZoneShareChanged { zone, share } => {
                self.set_zone_share(zone, share, out)
            }
            PlacementEvent::ProbeRequested { server } if self.deployment.may_probe => {
                self.send_probe(server, out);
            }
            PlacementEvent::ProbeRequested { .. } | PlacementEvent::ConnectionObserved { .. } => {}
            PlacementEvent::Tick => self.tick(out),
        }
    }

    /// Number of servers on the endpoint list that are ejected or unresponsive and get no new sessions.
    pub fn excluded_server_count(&self, now: Duration) -> usize {
        let listed = self
            .servers
            .iter()
            .filter(|server| server.endpoint.state != EndpointState::Gone);
        listed
            .filter(|server| server.ejection.is_active(now) || server.probes.is_unresponsive())
            .count()
    }

    fn start(&mut self, out: &mut Vec<PlacementAction>) {
        self.started = true;
        self.refresh_averages();
        out.push(PlacementAction::SetTimer {
            after: TICK_INTERVAL,
        });
        if self.deployment.max_endpoint_list_age.is_some() {
            out.push(PlacementAction::PollEndpoints);
        }
    }

    fn tick(&mut self, out: &mut Vec<PlacementAction>) {
        out.push(PlacementAction::SetTimer {
            after: TICK_INTERVAL,
        });
        while let Some(timer) = self.timers.pop_due(self.now) {
            match timer {
                Timer::PollEndpoints => out.push(PlacementAction::PollEndpoints),
                Timer::RefreshAverages => self.refresh_averages(),
                Timer::ProbeWaitExpired(session) => {
                    self.handle_session_input(session, SessionInput::ProbesAnswered, out);
                }
            }
        }
        self.send_regular_probes(out);
    }

    /// Sets the share of its sessions that a zone gets. At a share of 0 the zone is lost: its servers are marked
    /// unresponsive, and sessions that wait for their probes are placed elsewhere. Its open sessions migrate as each
    /// server's next probe fails, since migrating them all at once would spread groups over more servers.
    fn set_zone_share(&mut self, zone: u8, share: f64, out: &mut Vec<PlacementAction>) {
        self.zone_shares.set(zone, share);
        let is_lost = share <= 0.0;
        if !is_lost {
            return;
        }
        for id in 0..self.servers.len() {
            let server = &mut self.servers[id];
            if server.endpoint.zone != zone || !server.is_ready() {
                continue;
            }
            server.probes.mark_unresponsive();
            for session in server.probes.take_waiting_sessions() {
                self.handle_session_input(session, SessionInput::ProbesAnswered, out);
            }
        }
    }

    fn session(&self, id: SessionId) -> &Session {
        &self.sessions[id as usize]
    }

    fn session_mut(&mut self, id: SessionId) -> &mut Session {
        &mut self.sessions[id as usize]
    }

    fn server(&self, id: ServerId) -> &Server {
        &self.servers[id as usize]
    }

    fn server_mut(&mut self, id: ServerId) -> &mut Server {
        &mut self.servers[id as usize]
    }
}

/// Extends the list with default values until `index` is in bounds.
fn grow_to_hold<T: Clone + Default>(list: &mut Vec<T>, index: usize) {
    if list.len() <= index {
        list.resize(index + 1, T::default());
    }
}
