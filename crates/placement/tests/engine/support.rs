//! Test support: a simulated proxy that passes events to its placement engine and returns the actions.

use asterramp_placement::deployment::{IdempotencyScope, Listener, RetrySafety, SlowStartRule};
use asterramp_placement::event::{
    Endpoint, EndpointState, EndpointUpdate, Outcome, ServerId, ServerLoad, SessionId,
    SessionRequest,
};
use asterramp_placement::{Deployment, PlacementAction, PlacementEngine, PlacementEvent};
use std::collections::BTreeMap;
use std::time::Duration;

pub(crate) const IDEMPOTENT: RetrySafety = RetrySafety::Idempotent;
pub(crate) const KEY_KNOWN_BY_ALL: RetrySafety =
    RetrySafety::IdempotencyKey(IdempotencyScope::All, ms(5_000));
pub(crate) const KEY_KNOWN_BY_ZONE: RetrySafety =
    RetrySafety::IdempotencyKey(IdempotencyScope::Zone, ms(5_000));
pub(crate) const KEY_KNOWN_BY_CELL: RetrySafety =
    RetrySafety::IdempotencyKey(IdempotencyScope::Cell, ms(5_000));
pub(crate) const SHORT_KEY: RetrySafety =
    RetrySafety::IdempotencyKey(IdempotencyScope::All, ms(50));
/// Whether an action is a probe, for [`count`].
pub(crate) const IS_PROBE: fn(&PlacementAction) -> bool =
    |action| matches!(action, PlacementAction::Probe { .. });

pub(crate) const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A deployment of one proxy with one listener.
pub(crate) fn deployment(retry_safety: RetrySafety) -> Deployment {
    let listener = Listener {
        retry_safety,
        handshake_target: ms(800),
        message_target: Some(ms(100)),
        priority_weight: 1.0,
    };
    Deployment {
        listeners: vec![listener],
        proxy_count: 1,
        slow_start: SlowStartRule {
            initial_capacity: 0.25,
            warm_after: ms(20_000),
            overload_factor: 4.0,
            overload_window: ms(1_500),
        },
        max_attempts: 3,
        may_probe: true,
        may_cancel: true,
        max_retry_after: ms(2_000),
        ..Deployment::default()
    }
}

/// A ready endpoint of a server that is warm.
pub(crate) fn endpoint(server: ServerId) -> Endpoint {
    Endpoint {
        server,
        hash_key: u64::from(server) * 7919 + 13,
        state: EndpointState::Ready,
        weight: 1.0,
        ..Endpoint::default()
    }
}

/// A proxy with a simulated clock, which starts at 1000 s.
pub(crate) struct Proxy {
    pub(crate) engine: PlacementEngine,
    pub(crate) now: Duration,
    pub(crate) next_session: SessionId,
    /// Whether clients that request sessions were connected before.
    pub(crate) reconnecting: bool,
    /// Load reports with which [`Proxy::handle_and_answer_probes`] answers probes, by server.
    pub(crate) probe_loads: BTreeMap<ServerId, ServerLoad>,
}

impl Proxy {
    pub(crate) fn without_endpoints(config: Deployment, nonce: u64) -> Self {
        Proxy {
            engine: PlacementEngine::new(config, nonce),
            now: ms(1_000_000),
            next_session: 0,
            reconnecting: false,
            probe_loads: BTreeMap::new(),
        }
    }

    /// A proxy that has just started with the given endpoint list.
    pub(crate) fn new(config: Deployment, nonce: u64, servers: Vec<Endpoint>) -> Self {
        let mut proxy = Self::without_endpoints(config, nonce);
        proxy.handle(PlacementEvent::EndpointsUpdated(EndpointUpdate::Stale(
            servers,
        )));
        proxy
    }

    /// A proxy with `servers` ready servers, whose ids start at 0.
    pub(crate) fn with_servers(config: Deployment, servers: u32) -> Self {
        Self::new(config, 7, (0..servers).map(endpoint).collect())
    }

    pub(crate) fn handle(&mut self, event: PlacementEvent) -> Vec<PlacementAction> {
        let mut out = Vec::new();
        self.engine.handle(self.now, event, &mut out);
        out
    }

    /// Handles an event and answers all probes that follow from it at once.
    pub(crate) fn handle_and_answer_probes(
        &mut self,
        event: PlacementEvent,
    ) -> Vec<PlacementAction> {
        let mut out = self.handle(event);
        let mut next = 0;
        while let Some(action) = out.get(next) {
            if let PlacementAction::Probe { server } = *action {
                let load = self.probe_loads.get(&server).copied().unwrap_or_default();
                out.extend(self.handle(PlacementEvent::ProbeEnded {
                    server,
                    outcome: Outcome::Ok,
                    load,
                }));
            }
            next += 1;
        }
        out
    }

    /// Advances the clock in ticks of 100 ms, and answers probes at once.
    pub(crate) fn wait(&mut self, span: Duration) -> Vec<PlacementAction> {
        let end = self.now + span;
        let mut out = Vec::new();
        while self.now < end {
            self.now += ms(100);
            out.extend(self.handle_and_answer_probes(PlacementEvent::Tick));
        }
        out
    }

    pub(crate) fn request_session(
        &mut self,
        group: Option<u64>,
    ) -> (SessionId, Vec<PlacementAction>) {
        self.request_session_at(0, group)
    }

    pub(crate) fn request_session_at(
        &mut self,
        listener: u8,
        group: Option<u64>,
    ) -> (SessionId, Vec<PlacementAction>) {
        let session = self.next_session;
        self.next_session += 1;
        let answer_deadline = self.now + ms(4_800);
        let request = SessionRequest {
            session,
            listener,
            hash_key: u64::from(session),
            group,
            answer_deadline,
            reconnecting: self.reconnecting,
            ..SessionRequest::default()
        };
        let actions = self.handle_and_answer_probes(PlacementEvent::SessionRequested(request));
        (session, actions)
    }

    /// Requests a session and opens it at the selected server.
    pub(crate) fn open_session(&mut self, group: Option<u64>) -> (SessionId, ServerId) {
        let (session, actions) = self.request_session(group);
        let server = dialed_server(&actions).expect("a dial");
        self.handle(PlacementEvent::SessionOpened {
            session,
            attempt: 0,
        });
        (session, server)
    }

    pub(crate) fn open_sessions(&mut self, count: usize) -> Vec<(SessionId, ServerId)> {
        (0..count).map(|_| self.open_session(None)).collect()
    }

    pub(crate) fn end_attempt(
        &mut self,
        session: SessionId,
        attempt: u8,
        outcome: Outcome,
        session_over: bool,
    ) -> Vec<PlacementAction> {
        self.handle_and_answer_probes(PlacementEvent::AttemptEnded {
            session,
            attempt,
            outcome,
            session_over,
            load: ServerLoad::default(),
        })
    }

    pub(crate) fn report_load(
        &mut self,
        server: ServerId,
        connections: f64,
        utilization: f64,
    ) -> Vec<PlacementAction> {
        let load = load(connections, utilization);
        self.probe_loads.insert(server, load);
        self.handle(PlacementEvent::ProbeEnded {
            server,
            outcome: Outcome::Ok,
            load,
        })
    }

    pub(crate) fn fail_probe(&mut self, server: ServerId) -> Vec<PlacementAction> {
        self.handle(PlacementEvent::ProbeEnded {
            server,
            outcome: Outcome::TimedOut,
            load: ServerLoad::default(),
        })
    }

    pub(crate) fn update_endpoint(&mut self, endpoint: Endpoint) -> Vec<PlacementAction> {
        self.handle(PlacementEvent::EndpointsUpdated(EndpointUpdate::Changes(
            vec![endpoint],
        )))
    }
}

pub(crate) fn load(connections: f64, utilization: f64) -> ServerLoad {
    ServerLoad {
        connections: Some(connections),
        utilization: Some(utilization),
    }
}

pub(crate) fn dialed_server(actions: &[PlacementAction]) -> Option<ServerId> {
    actions.iter().find_map(|action| {
        if let PlacementAction::Dial { server, .. } = action {
            Some(*server)
        } else {
            None
        }
    })
}

pub(crate) fn dial_timeout_of(actions: &[PlacementAction]) -> Duration {
    actions
        .iter()
        .find_map(|action| {
            if let PlacementAction::Dial { timeout, .. } = action {
                Some(*timeout)
            } else {
                None
            }
        })
        .expect("a dial")
}

/// The first result for a session among the actions: `D` dialed, `R` rejected, `T` failed, `-` none of these.
pub(crate) fn outcome_letter(actions: &[PlacementAction]) -> char {
    let letter = |action: &PlacementAction| match action {
        PlacementAction::Dial { .. } => Some('D'),
        PlacementAction::Reject { .. } => Some('R'),
        PlacementAction::Fail { .. } => Some('T'),
        _ => None,
    };
    actions.iter().find_map(letter).unwrap_or('-')
}

/// Number of actions that match the predicate.
pub(crate) fn count(actions: &[PlacementAction], predicate: fn(&PlacementAction) -> bool) -> usize {
    actions.iter().filter(|action| predicate(action)).count()
}
