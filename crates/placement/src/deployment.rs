//! What a proxy is told once, when it starts.

use std::time::Duration;

/// Whether a session of a listener may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Repeatable,
    /// Repeats are discarded within the circle, for as long as given, counted from the first that may have
    /// run.
    Referenced(Circle, Duration),
    OnceOnly,
}

/// The servers that recognise each other's referenced sessions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Circle {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Copy, Debug)]
pub struct Listener {
    pub kind: Kind,
    pub handshake_target: Duration,
    /// Longest that a message on an open connection may take; `None` where nobody said.
    pub message_target: Option<Duration>,
    /// Utility of its sessions, as a part of the highest of all listeners'; 1 where nobody said.
    pub worth: f64,
}

/// How a freshly started server warms, and what pushes it over.
#[derive(Clone, Copy, Debug, Default)]
pub struct ColdRule {
    pub share: f64,
    pub warm_after: Duration,
    /// How often its present capacity may be sent to it, over which span.
    pub multiple: f64,
    pub over: Duration,
}

/// How many dials beyond each session's first a proxy may make over any `over`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DialRule {
    pub over: Duration,
    pub free: f64,
    /// For each session that it took in that time.
    pub share: f64,
}

/// The facts of a deployment that decisions rest on.
#[derive(Clone, Debug, Default)]
pub struct Deployment {
    pub listeners: Vec<Listener>,
    pub proxies: u32,
    /// The number of this proxy among them.
    pub number: u32,
    pub zone: u8,
    pub cold: ColdRule,
    /// Connections that all members together may have open within their shares; 0 where nobody said.
    pub planned: f64,
    /// How late a roster that must be asked may be; `None` where it is pushed.
    pub ask_roster: Option<Duration>,
    /// Members of the roster carry weights that sink as they fill.
    pub live_weights: bool,
    pub max_dials: u32,
    /// `None` where nobody counts them.
    pub dial_rule: Option<DialRule>,
    pub may_probe: bool,
    pub may_call_off: bool,
    /// Longest come-back time that a client heeds; zero where none may be given.
    pub come_back: Duration,
    /// Packets pass through, so a connection outlives the proxy that placed it.
    pub passes_through: bool,
}
