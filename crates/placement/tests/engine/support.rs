//! A proxy under test: feeds events to the module and keeps what it did.

use asterramp_placement::deployment::{IdempotencyScope, Listener, RetrySafety, SlowStartRule};
use asterramp_placement::event::{
    Endpoint, EndpointState, EndpointUpdate, Load, Outcome, ServerId, SessionId, SessionRequest,
};
use asterramp_placement::{Action, Deployment, Event, PlacementEngine};
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
pub(crate) const IS_PROBE: fn(&Action) -> bool = |a| matches!(a, Action::Probe { .. });

pub(crate) const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub(crate) fn deployment(kind: RetrySafety) -> Deployment {
    let listener = Listener {
        retry_safety: kind,
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
            max_multiple: 4.0,
            span: ms(1_500),
        },
        max_attempts: 3,
        may_probe: true,
        may_cancel: true,
        max_retry_after: ms(2_000),
        ..Deployment::default()
    }
}

pub(crate) fn entry(server: ServerId) -> Endpoint {
    let mark = u64::from(server) * 7919 + 13;
    Endpoint {
        server,
        hash_key: mark,
        state: EndpointState::Ready,
        weight: 1.0,
        ..Endpoint::default()
    }
}

pub(crate) struct Proxy {
    pub(crate) choice: PlacementEngine,
    pub(crate) now: Duration,
    pub(crate) next: SessionId,
    /// Whether clients that arrive were connected before.
    pub(crate) again: bool,
    /// What servers answer to probes that sessions wait for.
    pub(crate) loads: BTreeMap<ServerId, Load>,
}

impl Proxy {
    pub(crate) fn bare(facts: Deployment, nonce: u64) -> Self {
        Proxy {
            choice: PlacementEngine::new(facts, nonce),
            now: ms(1_000_000),
            next: 0,
            again: false,
            loads: BTreeMap::new(),
        }
    }

    /// A proxy that has just started and knows the servers given.
    pub(crate) fn new(facts: Deployment, nonce: u64, servers: Vec<Endpoint>) -> Self {
        let mut proxy = Self::bare(facts, nonce);
        proxy.tell(Event::Endpoints(EndpointUpdate::Stale(servers)));
        proxy
    }

    /// One with so many ready servers.
    pub(crate) fn with(facts: Deployment, servers: u32) -> Self {
        Self::new(facts, 7, (0..servers).map(entry).collect())
    }

    pub(crate) fn tell(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.choice.handle(self.now, event, &mut out);
        out
    }

    /// The same, with the probes answered that follow at once.
    pub(crate) fn settle(&mut self, event: Event) -> Vec<Action> {
        let (mut out, mut next) = (self.tell(event), 0);
        while let Some(action) = out.get(next) {
            if let Action::Probe { server } = *action {
                let load = self.loads.get(&server).copied().unwrap_or_default();
                out.extend(self.tell(Event::ProbeEnded {
                    server,
                    outcome: Outcome::Ok,
                    load,
                }));
            }
            next += 1;
        }
        out
    }

    /// Lets time pass, with the timer ringing every tenth of a second and probes answered.
    pub(crate) fn wait(&mut self, span: Duration) -> Vec<Action> {
        let (end, mut out) = (self.now + span, Vec::new());
        while self.now < end {
            self.now += ms(100);
            out.extend(self.settle(Event::Tick));
        }
        out
    }

    pub(crate) fn arrive(&mut self, group: Option<u64>) -> (SessionId, Vec<Action>) {
        self.arrive_at(0, group)
    }

    pub(crate) fn arrive_at(
        &mut self,
        listener: u8,
        group: Option<u64>,
    ) -> (SessionId, Vec<Action>) {
        let sess = self.next;
        self.next += 1;
        let dial_timeout = self.now + ms(4_800);
        let (again, item) = (self.again, u64::from(sess));
        let arrival = SessionRequest {
            session: sess,
            listener,
            hash_key: item,
            group,
            dial_timeout,
            reconnecting: again,
            ..SessionRequest::default()
        };
        (sess, self.settle(Event::SessionRequested(arrival)))
    }

    /// A session set up on the server that was chosen.
    pub(crate) fn open(&mut self, group: Option<u64>) -> (SessionId, ServerId) {
        let (sess, did) = self.arrive(group);
        let server = dialled(&did).expect("a dial");
        self.tell(Event::SessionOpened {
            session: sess,
            dial: 0,
        });
        (sess, server)
    }

    pub(crate) fn open_many(&mut self, n: usize) -> Vec<(SessionId, ServerId)> {
        (0..n).map(|_| self.open(None)).collect()
    }

    pub(crate) fn end(
        &mut self,
        sess: SessionId,
        dial: u8,
        outcome: Outcome,
        over: bool,
    ) -> Vec<Action> {
        self.settle(Event::AttemptEnded {
            session: sess,
            dial,
            outcome,
            session_over: over,
            load: Load::default(),
        })
    }

    pub(crate) fn probed(&mut self, server: ServerId, connections: f64, asked: f64) -> Vec<Action> {
        let load = load(connections, asked);
        self.loads.insert(server, load);
        self.tell(Event::ProbeEnded {
            server,
            outcome: Outcome::Ok,
            load,
        })
    }

    pub(crate) fn unanswered(&mut self, server: ServerId) -> Vec<Action> {
        self.tell(Event::ProbeEnded {
            server,
            outcome: Outcome::TimedOut,
            load: Load::default(),
        })
    }

    pub(crate) fn roster(&mut self, entry: Endpoint) -> Vec<Action> {
        self.tell(Event::Endpoints(EndpointUpdate::Changes(vec![entry])))
    }
}

pub(crate) fn load(connections: f64, asked: f64) -> Load {
    Load {
        connections: Some(connections),
        utilization: Some(asked),
    }
}

pub(crate) fn dialled(did: &[Action]) -> Option<ServerId> {
    did.iter().find_map(|a| {
        if let Action::Dial { server, .. } = a {
            Some(*server)
        } else {
            None
        }
    })
}

pub(crate) fn time_out(did: &[Action]) -> Duration {
    did.iter()
        .find_map(|a| {
            if let Action::Dial {
                timeout: time_out, ..
            } = a
            {
                Some(*time_out)
            } else {
                None
            }
        })
        .expect("a dial")
}

/// What a session came to: `D` dialled, `R` refused, `T` torn down, `-` nothing.
pub(crate) fn came_to(did: &[Action]) -> char {
    let letter = |a: &Action| match a {
        Action::Dial { .. } => Some('D'),
        Action::Reject { .. } => Some('R'),
        Action::Fail { .. } => Some('T'),
        _ => None,
    };
    did.iter().find_map(letter).unwrap_or('-')
}

pub(crate) fn count(did: &[Action], of: fn(&Action) -> bool) -> usize {
    did.iter().filter(|a| of(a)).count()
}
