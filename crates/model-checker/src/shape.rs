//! The small worlds that are explored.

use asterramp_placement::Deployment;
use asterramp_placement::deployment::{IdempotencyScope, Listener, RetrySafety, SlowStartRule};
use std::time::Duration;

/// What is explored, and how far. A `Shape` is a bound: nothing beyond it is looked at.
#[derive(Clone, Debug)]
pub struct Shape {
    pub name: &'static str,
    /// The kind of each session's listener; one session each.
    pub sessions: &'static [RetrySafety],
    pub hosts: u8,
    pub max_dials: u32,
    pub may_probe: bool,
    pub may_call_off: bool,
    /// Changes that the roster may tell, at most.
    pub told: u8,
    /// Whether clients may leave or speak early, hosts may end what is open, SIGTERM may come.
    pub clients_stray: bool,
    pub sigterm: bool,
    /// Orders that an operator may give: drains, and takings back.
    pub orders: u8,
    /// Whether a dial may find no socket.
    pub no_socket: bool,
    /// Words that a closed connection may still say.
    pub stale: u8,
    /// Whether clients may have gone before their end is an event.
    pub unseen: bool,
    /// How long clients wait; several of the module's ticks.
    pub wait: Duration,
    /// Hosts are told as cold at the start.
    pub cold: bool,
    /// Played by `run --quick` too.
    pub quick: bool,
}

const MS: fn(u64) -> Duration = Duration::from_millis;
pub const REPEATABLE: RetrySafety = RetrySafety::Idempotent;
pub const ONCE: RetrySafety = RetrySafety::NotIdempotent;
pub const ZONED: RetrySafety =
    RetrySafety::IdempotencyKey(IdempotencyScope::Zone, Duration::from_millis(180));
pub const EVERYWHERE: RetrySafety =
    RetrySafety::IdempotencyKey(IdempotencyScope::All, Duration::from_millis(180));

const BASE: Shape = Shape {
    name: "",
    sessions: &[],
    hosts: 2,
    max_dials: 2,
    may_probe: false,
    may_call_off: true,
    told: 1,
    clients_stray: true,
    sigterm: false,
    orders: 0,
    no_socket: false,
    stale: 0,
    unseen: false,
    wait: Duration::from_millis(250),
    cold: false,
    quick: true,
};

/// All shapes. Each adds one matter to a small base, since their product is out of reach.
pub const SHAPES: &[Shape] = &[
    Shape {
        name: "repeatable",
        sessions: &[REPEATABLE],
        stale: 1,
        no_socket: true,
        ..BASE
    },
    Shape {
        name: "once-only",
        sessions: &[ONCE],
        stale: 1,
        no_socket: true,
        ..BASE
    },
    Shape {
        name: "referenced-zone",
        sessions: &[ZONED],
        hosts: 3,
        max_dials: 3,
        no_socket: true,
        ..BASE
    },
    Shape {
        name: "referenced-all",
        sessions: &[EVERYWHERE],
        max_dials: 3,
        no_socket: true,
        ..BASE
    },
    Shape {
        name: "sigterm",
        sessions: &[REPEATABLE],
        sigterm: true,
        no_socket: true,
        ..BASE
    },
    Shape {
        name: "drained",
        sessions: &[REPEATABLE],
        orders: 2,
        told: 0,
        sigterm: true,
        wait: Duration::from_millis(150),
        ..BASE
    },
    Shape {
        name: "kept-dials",
        sessions: &[REPEATABLE],
        may_call_off: false,
        stale: 1,
        ..BASE
    },
    Shape {
        name: "gone-unseen",
        sessions: &[REPEATABLE],
        unseen: true,
        no_socket: true,
        ..BASE
    },
    Shape {
        name: "gone-unseen-kept-dials",
        sessions: &[REPEATABLE],
        may_call_off: false,
        unseen: true,
        wait: Duration::from_millis(180),
        ..BASE
    },
    Shape {
        name: "probes",
        sessions: &[REPEATABLE],
        may_probe: true,
        told: 0,
        wait: Duration::from_millis(180),
        ..BASE
    },
    Shape {
        name: "cold",
        sessions: &[REPEATABLE],
        cold: true,
        ..BASE
    },
    Shape {
        name: "four-dials",
        sessions: &[REPEATABLE],
        max_dials: 4,
        told: 0,
        ..BASE
    },
    Shape {
        name: "probes-and-drains",
        sessions: &[ONCE],
        may_probe: true,
        quick: false,
        ..BASE
    },
    Shape {
        name: "four-dials-of-three",
        sessions: &[REPEATABLE],
        hosts: 3,
        max_dials: 4,
        clients_stray: false,
        quick: false,
        ..BASE
    },
    Shape {
        name: "two-sessions",
        sessions: &[REPEATABLE, ONCE],
        stale: 1,
        wait: Duration::from_millis(150),
        quick: false,
        ..BASE
    },
    Shape {
        name: "two-in-turn",
        sessions: &[REPEATABLE, REPEATABLE],
        sigterm: true,
        told: 1,
        stale: 1,
        wait: Duration::from_millis(150),
        quick: false,
        ..BASE
    },
    Shape {
        name: "three-hosts",
        sessions: &[ONCE],
        hosts: 3,
        max_dials: 4,
        told: 2,
        may_probe: true,
        quick: false,
        ..BASE
    },
];

/// The size that random walks take on; far out of reach of exploring.
pub const WALK: Shape = Shape {
    name: "walk",
    sessions: &[
        REPEATABLE, ONCE, ZONED, EVERYWHERE, REPEATABLE, REPEATABLE, ONCE, ZONED, EVERYWHERE,
        REPEATABLE, REPEATABLE, ONCE, ZONED, EVERYWHERE, REPEATABLE, REPEATABLE, ONCE, ZONED,
        EVERYWHERE, REPEATABLE,
    ],
    hosts: 10,
    max_dials: 4,
    may_probe: true,
    told: 60,
    sigterm: true,
    orders: 6,
    no_socket: true,
    stale: 20,
    unseen: true,
    wait: Duration::from_millis(1_500),
    ..BASE
};

impl Shape {
    pub fn find(name: &str) -> Option<&'static Shape> {
        SHAPES
            .iter()
            .chain(std::iter::once(&WALK))
            .find(|shape| shape.name == name)
    }

    pub fn deployment(&self) -> Deployment {
        let listener = |kind: &RetrySafety| Listener {
            retry_safety: *kind,
            handshake_target: MS(160),
            message_target: None,
            priority_weight: 1.0,
        };
        Deployment {
            listeners: self.sessions.iter().map(listener).collect(),
            proxy_count: 1,
            slow_start: SlowStartRule {
                initial_capacity: 0.3,
                warm_after: MS(9_000),
                max_multiple: 4.0,
                span: MS(1_500),
            },
            max_attempts: self.max_dials,
            may_probe: self.may_probe,
            may_cancel: self.may_call_off,
            max_retry_after: MS(2_000),
            ..Deployment::default()
        }
    }

    /// Until when a session may arrive.
    pub fn arrivals(&self) -> Duration {
        // One alone may as well come at once: nothing is older than it.
        match self.sessions.len() {
            1 => Duration::ZERO,
            2..5 => MS(120),
            _ => MS(3_000),
        }
    }

    /// When a world in which sessions are merely open is gone on from no more.
    pub fn ends(&self) -> Duration {
        self.arrivals() + self.wait + MS(120)
    }

    pub fn connect_within(&self) -> Duration {
        MS(60)
    }
}
