//! The small worlds that are explored.

use asterramp_placement::Deployment;
use asterramp_placement::deployment::{IdempotencyScope, Listener, RetrySafety, SlowStartRule};
use std::time::Duration;

/// What is explored, and how far: nothing beyond a shape's bounds is looked at.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Its name on the command line and in traces.
    pub name: &'static str,
    /// One session each: whether it may run more than once.
    pub sessions: &'static [RetrySafety],
    /// How many servers there are.
    pub server_count: u8,
    /// Dials that a session may have.
    pub max_dials: u32,
    /// Whether the proxy may probe servers.
    pub may_probe: bool,
    /// Whether the proxy may cancel a dial that is under way.
    pub may_cancel_dials: bool,
    /// Changes of servers that the endpoint list may report.
    pub max_endpoint_changes: u8,
    /// Whether clients may leave, or speak, before they are answered.
    pub clients_leave_early: bool,
    /// Whether clients may leave without an event at first.
    pub clients_leave_unnoticed: bool,
    /// How long clients wait for an answer: several of the placement engine's ticks.
    pub client_wait: Duration,
    /// Whether SIGTERM may come.
    pub may_receive_sigterm: bool,
    /// How often an operator may drain the proxy or cancel that.
    pub max_operator_orders: u8,
    /// Whether a dial may find no socket.
    pub dials_without_socket: bool,
    /// Events of connections that are closed already.
    pub max_stale_events: u8,
    /// Whether the last server is warming up at the start.
    pub last_server_warming_up: bool,
    /// Whether `run --quick` explores it.
    pub is_quick: bool,
}

const IDEMPOTENT: RetrySafety = RetrySafety::Idempotent;
const NOT_IDEMPOTENT: RetrySafety = RetrySafety::NotIdempotent;
/// How long servers discard repeats with a key: less than most clients of the shapes wait.
const KEY_LIFETIME: Duration = Duration::from_millis(180);
const KEYED_IN_ZONE: RetrySafety =
    RetrySafety::IdempotencyKey(IdempotencyScope::Zone, KEY_LIFETIME);
const KEYED_EVERYWHERE: RetrySafety =
    RetrySafety::IdempotencyKey(IdempotencyScope::All, KEY_LIFETIME);

/// The longest that a connection to a server may take to be established.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(60);
/// Until a session without trouble is expected to be open.
const HANDSHAKE_TARGET: Duration = Duration::from_millis(160);
/// The longest that rejected clients are asked to wait.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(2_000);
/// For so long after the last client has stopped waiting, open sessions are explored on.
const OPEN_SESSION_TIME: Duration = Duration::from_millis(120);
/// Within this time all of a few sessions arrive.
const ARRIVAL_WINDOW: Duration = Duration::from_millis(120);
/// Within this time all sessions of a random walk arrive.
const WALK_ARRIVAL_WINDOW: Duration = Duration::from_millis(3_000);
/// More sessions than this are out of reach of exploring, so that their shape is a random walk's.
const MAX_EXPLORED_SESSIONS: usize = 4;

const SLOW_START: SlowStartRule = SlowStartRule {
    initial_capacity: 0.3,
    warm_after: Duration::from_millis(9_000),
    overload_factor: 4.0,
    overload_window: Duration::from_millis(1_500),
};

const BASE: Shape = Shape {
    name: "",
    sessions: &[],
    server_count: 2,
    max_dials: 2,
    may_probe: false,
    may_cancel_dials: true,
    max_endpoint_changes: 1,
    clients_leave_early: true,
    clients_leave_unnoticed: false,
    client_wait: Duration::from_millis(250),
    may_receive_sigterm: false,
    max_operator_orders: 0,
    dials_without_socket: false,
    max_stale_events: 0,
    last_server_warming_up: false,
    is_quick: true,
};

/// The shapes that are explored. Each adds one subject to a small base, since their product is out of reach.
pub const SHAPES: &[Shape] = &[
    Shape {
        name: "repeatable",
        sessions: &[IDEMPOTENT],
        max_stale_events: 1,
        dials_without_socket: true,
        ..BASE
    },
    Shape {
        name: "once-only",
        sessions: &[NOT_IDEMPOTENT],
        max_stale_events: 1,
        dials_without_socket: true,
        ..BASE
    },
    Shape {
        name: "referenced-zone",
        sessions: &[KEYED_IN_ZONE],
        server_count: 3,
        max_dials: 3,
        dials_without_socket: true,
        ..BASE
    },
    Shape {
        name: "referenced-all",
        sessions: &[KEYED_EVERYWHERE],
        max_dials: 3,
        dials_without_socket: true,
        ..BASE
    },
    Shape {
        name: "sigterm",
        sessions: &[IDEMPOTENT],
        may_receive_sigterm: true,
        dials_without_socket: true,
        ..BASE
    },
    Shape {
        name: "drained",
        sessions: &[IDEMPOTENT],
        max_operator_orders: 2,
        max_endpoint_changes: 0,
        may_receive_sigterm: true,
        client_wait: Duration::from_millis(150),
        ..BASE
    },
    Shape {
        name: "kept-dials",
        sessions: &[IDEMPOTENT],
        may_cancel_dials: false,
        max_stale_events: 1,
        ..BASE
    },
    Shape {
        name: "gone-unseen",
        sessions: &[IDEMPOTENT],
        clients_leave_unnoticed: true,
        dials_without_socket: true,
        ..BASE
    },
    Shape {
        name: "gone-unseen-kept-dials",
        sessions: &[IDEMPOTENT],
        may_cancel_dials: false,
        clients_leave_unnoticed: true,
        client_wait: Duration::from_millis(180),
        ..BASE
    },
    Shape {
        name: "probes",
        sessions: &[IDEMPOTENT],
        may_probe: true,
        max_endpoint_changes: 0,
        client_wait: Duration::from_millis(180),
        ..BASE
    },
    Shape {
        name: "cold",
        sessions: &[IDEMPOTENT],
        last_server_warming_up: true,
        ..BASE
    },
    Shape {
        name: "four-dials",
        sessions: &[IDEMPOTENT],
        max_dials: 4,
        max_endpoint_changes: 0,
        ..BASE
    },
    Shape {
        name: "probes-and-drains",
        sessions: &[NOT_IDEMPOTENT],
        may_probe: true,
        is_quick: false,
        ..BASE
    },
    Shape {
        name: "four-dials-of-three",
        sessions: &[IDEMPOTENT],
        server_count: 3,
        max_dials: 4,
        clients_leave_early: false,
        is_quick: false,
        ..BASE
    },
    Shape {
        name: "two-sessions",
        sessions: &[IDEMPOTENT, NOT_IDEMPOTENT],
        max_stale_events: 1,
        client_wait: Duration::from_millis(150),
        is_quick: false,
        ..BASE
    },
    Shape {
        name: "two-in-turn",
        sessions: &[IDEMPOTENT, IDEMPOTENT],
        may_receive_sigterm: true,
        max_endpoint_changes: 1,
        max_stale_events: 1,
        client_wait: Duration::from_millis(150),
        is_quick: false,
        ..BASE
    },
    Shape {
        name: "three-hosts",
        sessions: &[NOT_IDEMPOTENT],
        server_count: 3,
        max_dials: 4,
        max_endpoint_changes: 2,
        may_probe: true,
        is_quick: false,
        ..BASE
    },
];

/// The shape of random walks, far out of reach of exploring.
pub const WALK: Shape = Shape {
    name: "walk",
    sessions: &[
        IDEMPOTENT,
        NOT_IDEMPOTENT,
        KEYED_IN_ZONE,
        KEYED_EVERYWHERE,
        IDEMPOTENT,
        IDEMPOTENT,
        NOT_IDEMPOTENT,
        KEYED_IN_ZONE,
        KEYED_EVERYWHERE,
        IDEMPOTENT,
        IDEMPOTENT,
        NOT_IDEMPOTENT,
        KEYED_IN_ZONE,
        KEYED_EVERYWHERE,
        IDEMPOTENT,
        IDEMPOTENT,
        NOT_IDEMPOTENT,
        KEYED_IN_ZONE,
        KEYED_EVERYWHERE,
        IDEMPOTENT,
    ],
    server_count: 10,
    max_dials: 4,
    may_probe: true,
    max_endpoint_changes: 60,
    may_receive_sigterm: true,
    max_operator_orders: 6,
    dials_without_socket: true,
    max_stale_events: 20,
    clients_leave_unnoticed: true,
    client_wait: Duration::from_millis(1_500),
    ..BASE
};

impl Shape {
    /// The shape of that name.
    pub fn find(name: &str) -> Option<&'static Shape> {
        let mut shapes = SHAPES.iter().chain([&WALK]);
        shapes.find(|shape| shape.name == name)
    }

    /// What the proxy is told of the deployment.
    pub(crate) fn deployment(&self) -> Deployment {
        let listener = |retry_safety: &RetrySafety| Listener {
            retry_safety: *retry_safety,
            handshake_target: HANDSHAKE_TARGET,
            message_target: None,
            priority_weight: 1.0,
        };
        Deployment {
            listeners: self.sessions.iter().map(listener).collect(),
            proxy_count: 1,
            slow_start: SLOW_START,
            max_attempts: self.max_dials,
            may_probe: self.may_probe,
            may_cancel: self.may_cancel_dials,
            max_retry_after: MAX_RETRY_AFTER,
            ..Deployment::default()
        }
    }

    /// The time from the start within which sessions may arrive.
    pub(crate) fn arrival_window(&self) -> Duration {
        match self.sessions.len() {
            // Nothing is older than a lone session, so that it may as well arrive at once.
            1 => Duration::ZERO,
            2..=MAX_EXPLORED_SESSIONS => ARRIVAL_WINDOW,
            _ => WALK_ARRIVAL_WINDOW,
        }
    }

    /// The time from the start after which a world is finished if all that is left of its sessions is open.
    pub(crate) fn open_session_cutoff(&self) -> Duration {
        self.arrival_window() + self.client_wait + OPEN_SESSION_TIME
    }
}
