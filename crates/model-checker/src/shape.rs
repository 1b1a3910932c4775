//! Shapes: the deployments, sessions and events that are explored, with their bounds.

use asterramp_placement::Deployment;
use asterramp_placement::deployment::{IdempotencyScope, Listener, RetrySafety, SlowStartRule};
use std::time::Duration;

/// What is explored, and how far: no event outside a shape's bounds happens.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Name on the command line and in traces.
    pub name: &'static str,
    /// One entry for each session: whether it may run more than once. Each session has a listener of its own.
    pub sessions: &'static [RetrySafety],
    /// Number of servers.
    pub server_count: u8,
    /// Largest number of dials of one session, retries included.
    pub max_dials: u32,
    /// Whether the proxy may probe servers.
    pub may_probe: bool,
    /// Whether the proxy may cancel a dial that is in progress.
    pub may_cancel_dials: bool,
    /// Largest number of changes of servers that the endpoint list reports.
    pub max_endpoint_changes: u8,
    /// Whether clients may leave, or send data, before they have an answer.
    pub clients_leave_early: bool,
    /// Whether clients may leave without an event, so that only a check of the connection detects it.
    pub clients_leave_unnoticed: bool,
    /// Time for which clients wait for an answer; long enough for several ticks of the placement engine.
    pub client_wait: Duration,
    /// Whether the proxy may receive SIGTERM.
    pub may_receive_sigterm: bool,
    /// Largest number of an operator's commands, each of which starts or cancels a drain.
    pub max_operator_commands: u8,
    /// Whether a dial may fail because the proxy has no socket left.
    pub dials_without_socket: bool,
    /// Largest number of events that are delivered for connections that are already closed.
    pub max_stale_events: u8,
    /// Whether the server with the highest number has just started and is warming up.
    pub last_server_warming_up: bool,
    /// Whether `run --quick` explores it.
    pub is_quick: bool,
}

const IDEMPOTENT: RetrySafety = RetrySafety::Idempotent;
const NOT_IDEMPOTENT: RetrySafety = RetrySafety::NotIdempotent;
/// Time for which servers discard repeats with a key. Shorter than most clients of the shapes wait, so that a key can expire
/// while its session is retried.
const KEY_LIFETIME: Duration = Duration::from_millis(180);
const KEYED_IN_ZONE: RetrySafety =
    RetrySafety::IdempotencyKey(IdempotencyScope::Zone, KEY_LIFETIME);
const KEYED_EVERYWHERE: RetrySafety =
    RetrySafety::IdempotencyKey(IdempotencyScope::All, KEY_LIFETIME);

/// Longest time that a connection to a server may take to be established.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(60);
/// Time from its request within which a session should be open.
const HANDSHAKE_TARGET: Duration = Duration::from_millis(160);
/// Longest time that rejected clients are asked to wait before they retry.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(2_000);
/// Time for which open sessions are still explored after the last client has stopped waiting.
const OPEN_SESSION_TIME: Duration = Duration::from_millis(120);
/// Time from the start within which the sessions of an explored shape arrive.
const ARRIVAL_WINDOW: Duration = Duration::from_millis(120);
/// Time from the start within which the sessions of a random walk arrive.
const WALK_ARRIVAL_WINDOW: Duration = Duration::from_millis(3_000);
/// Largest number of sessions of an explored shape; a shape with more is for random walks only.
const MAX_EXPLORED_SESSIONS: usize = 4;

/// How servers warm up in all shapes.
const SLOW_START: SlowStartRule = SlowStartRule {
    initial_capacity: 0.3,
    warm_after: Duration::from_millis(9_000),
    overload_factor: 4.0,
    overload_window: Duration::from_millis(1_500),
};

/// The fields that a shape does not set itself; not a shape of its own.
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
    max_operator_commands: 0,
    dials_without_socket: false,
    max_stale_events: 0,
    last_server_warming_up: false,
    is_quick: true,
};

/// The shapes that are explored. Each adds one kind of event to a small base, since a shape with all of them would have too
/// many states.
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
        max_operator_commands: 2,
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

/// The shape of random walks, which is far too large to be explored.
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
    max_operator_commands: 6,
    dials_without_socket: true,
    max_stale_events: 20,
    clients_leave_unnoticed: true,
    client_wait: Duration::from_millis(1_500),
    ..BASE
};

impl Shape {
    /// The shape called `name`, that of random walks included.
    pub fn find(name: &str) -> Option<&'static Shape> {
        let mut shapes = SHAPES.iter().chain([&WALK]);
        shapes.find(|shape| shape.name == name)
    }

    /// The configuration of the deployment, as the proxy reads it from its settings.
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
            // A later arrival of a single session would differ little: no other session comes before it.
            1 => Duration::ZERO,
            2..=MAX_EXPLORED_SESSIONS => ARRIVAL_WINDOW,
            _ => WALK_ARRIVAL_WINDOW,
        }
    }

    /// The time from the start after which a state counts as finished if all sessions that have not ended are open.
    pub(crate) fn open_session_cutoff(&self) -> Duration {
        self.arrival_window() + self.client_wait + OPEN_SESSION_TIME
    }
}
