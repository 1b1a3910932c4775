//! The properties, each once, over what clients and hosts see. They know nothing of how the code decides.

use crate::shape::Shape;
use crate::world::Host;
use asterramp_placement::deployment::{IdempotencyScope, RetrySafety, SlowStartRule};
use asterramp_placement::event::{Endpoint, EndpointState, ServerId};
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Property {
    /// Each session gets exactly one final answer, within the client's wait.
    OneAnswerInTime,
    /// Never two dials out for one session.
    NeverTwoDials,
    /// No dial is begun, or still out, after the final answer or once the client has left.
    NoDialAfterTheAnswer,
    /// No more dials than allowed.
    DialsBounded,
    /// Nothing new goes to a host once it is told to be draining or gone.
    DrainsKept,
    /// A once-only session is neither dialled nor refused once a dial may have run; a referenced one is dialled
    /// only within its circle and its memory, and refused only where its circle is all.
    NoEffectTwice,
    /// A host known to be cold gets no more dials than its budget.
    ColdSpared,
    /// No session, slot, deadline or connection is left behind, and every session ends.
    NothingLeftBehind,
    /// A word of a connection that was closed reaches nobody, and nobody is opened without a connection.
    NothingMadeUp,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    pub property: Property,
    pub what: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:?}: {}", self.property, self.what)
    }
}

/// A dial that may have run.
#[derive(Clone, Copy, Debug)]
struct Ran {
    begun: Duration,
    zone: u8,
}

#[derive(Clone, Debug, Default)]
struct Seen {
    /// Until when its client waits for an answer; `None` once it has one or has left.
    waits: Option<Duration>,
    asked: bool,
    answers: u8,
    left: bool,
    /// Its client has ended its side, seen or not.
    gone: bool,
    dials: u32,
    /// The dial that is out: when it began, its host's zone, whether its line is written.
    out: Option<(Duration, u8, bool)>,
    /// How many connections are out at hosts for it.
    wires: u8,
    ran: Option<Ran>,
    open: bool,
}

/// Watches over a world. A breach is kept until the step is over.
#[derive(Clone, Debug)]
pub struct Monitor {
    kinds: &'static [RetrySafety],
    max_dials: u32,
    calls_off: bool,
    cold: SlowStartRule,
    sessions: Vec<Seen>,
    /// Servers told to take nothing new.
    drained: BTreeMap<ServerId, Duration>,
    /// Dials to hosts while they were cold, for each of their starts.
    cold_dials: BTreeMap<(ServerId, Duration), u32>,
    breach: Option<Breach>,
}

/// The smallest share of a host that any report here shows a connection to take.
const UNIT: f64 = 0.06;
/// How late an answer may be.
const SLACK: Duration = Duration::from_millis(16);

impl Monitor {
    pub fn new(shape: &Shape) -> Monitor {
        Monitor {
            kinds: shape.sessions,
            max_dials: shape.max_dials,
            calls_off: shape.may_call_off,
            cold: shape.deployment().slow_start,
            sessions: vec![Seen::default(); shape.sessions.len()],
            drained: BTreeMap::new(),
            cold_dials: BTreeMap::new(),
            breach: None,
        }
    }

    pub fn verdict(&mut self) -> Result<(), Breach> {
        self.breach.take().map_or(Ok(()), Err)
    }

    fn broken(&mut self, property: Property, what: String) {
        self.breach.get_or_insert(Breach { property, what });
    }

    fn seen(&mut self, n: u8) -> &mut Seen {
        &mut self.sessions[usize::from(n)]
    }

    pub fn asks(&mut self, n: u8, waits: Duration) {
        let seen = self.seen(n);
        (seen.asked, seen.waits) = (true, Some(waits));
    }

    pub fn dials(&mut self, n: u8, now: Duration, server: ServerId, host: Option<&Host>) {
        use Property::*;
        let (max, kind) = (self.max_dials, self.kinds[usize::from(n)]);
        let zone = host.map_or(u8::MAX, |host| host.zone);
        let seen = self.seen(n);
        seen.dials += 1;
        let (dials, out, ran) = (seen.dials, seen.wires > 0, seen.ran);
        let silent = seen.waits.is_none() || seen.gone;
        seen.wires += 1;
        seen.out = Some((now, zone, false));
        if out {
            self.broken(
                NeverTwoDials,
                format!("session {n} dials while another dial is out"),
            );
        }
        if silent {
            self.broken(
                NoDialAfterTheAnswer,
                format!("session {n} dials though nobody waits for it"),
            );
        }
        if dials > max {
            self.broken(
                DialsBounded,
                format!("session {n} dials {dials} times of {max}"),
            );
        }
        if self.drained.contains_key(&server) || host.is_none() {
            self.broken(
                DrainsKept,
                format!("session {n} dials host {server}, told to take nothing"),
            );
        }
        if let Some(ran) = ran {
            let twice = match kind {
                RetrySafety::Idempotent => false,
                RetrySafety::NotIdempotent => true,
                RetrySafety::IdempotencyKey(circle, ttl) => {
                    now >= ran.begun + ttl || circle != IdempotencyScope::All && zone != ran.zone
                }
            };
            if twice {
                self.broken(
                    NoEffectTwice,
                    format!("session {n} dials again though it may have run"),
                );
            }
        }
        let cold = host
            .and_then(|host| host.started)
            .filter(|at| now < *at + self.cold.warm_after);
        if let Some(started) = cold {
            let dialled = self.cold_dials.entry((server, started)).or_default();
            *dialled += 1;
            let (dialled, up) = (f64::from(*dialled), (now - started).as_secs_f64());
            // The budget fills by what fills the host as it warms, at the rule's multiple of its mean warmth so far, in
            // connections of the size that reports tell.
            let warm_after = self.cold.warm_after.as_secs_f64();
            let warmth = self.cold.initial_capacity
                + (1.0 - self.cold.initial_capacity) * up / warm_after / 2.0;
            if dialled > self.cold.max_multiple * warmth / (UNIT * warm_after) * up + 1.0 {
                self.broken(
                    ColdSpared,
                    format!("cold host {server} is dialled past its budget"),
                );
            }
        }
    }

    pub fn asked(&mut self, n: u8, now: Duration, wait: Option<Duration>) {
        let (waits, gone) = (self.seen(n).waits, self.seen(n).gone || self.seen(n).left);
        if gone {
            let what = format!("session {n} has its line sent though its client has gone");
            self.broken(Property::NoDialAfterTheAnswer, what);
        }
        let past = waits
            .zip(wait)
            .is_some_and(|(until, wait)| now + wait > until + SLACK);
        if past {
            let what = format!("session {n} tells its host to take longer than its client waits");
            self.broken(Property::OneAnswerInTime, what);
        }
    }

    /// The last byte of its line is at the host: from now on it may run.
    pub fn written(&mut self, n: u8) {
        let seen = self.seen(n);
        if let Some((begun, zone, written)) = &mut seen.out {
            *written = true;
            seen.ran = seen.ran.or(Some(Ran {
                begun: *begun,
                zone: *zone,
            }));
        }
    }

    /// Its host proved that the present dial has not run.
    pub fn never_ran(&mut self, n: u8) {
        let seen = self.seen(n);
        let begun = seen.out.map(|out| out.0);
        // Only what this dial did is taken back.
        if seen.ran.is_some_and(|ran| Some(ran.begun) == begun) {
            seen.ran = None;
        }
    }

    pub fn closed(&mut self, n: u8) {
        let seen = self.seen(n);
        seen.wires = seen.wires.saturating_sub(1);
        if seen.wires == 0 {
            seen.out = None;
        }
    }

    pub fn answers(&mut self, n: u8, now: Duration, refuses: bool) {
        use Property::*;
        let kind = self.kinds[usize::from(n)];
        let seen = self.seen(n);
        seen.answers += 1;
        let (answers, out, ran) = (seen.answers, seen.wires > 0, seen.ran.is_some());
        let (left, waits) = (seen.left, seen.waits.take());
        if answers > 1 || left {
            self.broken(
                OneAnswerInTime,
                format!("session {n} is answered though it was, or has left"),
            );
        }
        if waits.is_some_and(|until| now > until + SLACK) {
            self.broken(OneAnswerInTime, format!("session {n} is answered late"));
        }
        // A client that spoke is answered at once, and its dial closed in the same turn.
        if out && refuses {
            self.broken(
                NoDialAfterTheAnswer,
                format!("session {n} is refused while its dial is out"),
            );
        }
        let harmless = matches!(
            kind,
            RetrySafety::Idempotent | RetrySafety::IdempotencyKey(IdempotencyScope::All, _)
        );
        if refuses && ran && !harmless {
            self.broken(
                NoEffectTwice,
                format!("session {n} is refused though it may have run"),
            );
        }
    }

    pub fn answers_nobody(&mut self, n: u8) {
        let what = format!("session {n} is answered though it was, or has left");
        self.broken(Property::OneAnswerInTime, what);
    }

    pub fn opens(&mut self, n: u8, now: Duration, connected: bool, client: bool) {
        let seen = self.seen(n);
        seen.answers += u8::from(client);
        seen.open = true;
        let (answers, waits) = (seen.answers, seen.waits.take());
        if !connected {
            self.broken(
                Property::NothingMadeUp,
                format!("session {n} is opened without a connection"),
            );
        }
        if !client || answers > 1 {
            let what = format!("session {n} is opened for a client that was answered or has left");
            self.broken(Property::OneAnswerInTime, what);
        }
        if waits.is_some_and(|until| now > until + SLACK) {
            self.broken(
                Property::OneAnswerInTime,
                format!("session {n} is opened late"),
            );
        }
    }

    /// Its client has gone, which nobody may have seen: nothing is begun for it any more, though what is out may be.
    pub fn goes(&mut self, n: u8) {
        self.seen(n).gone = true;
    }

    pub fn leaves(&mut self, n: u8) {
        let seen = self.seen(n);
        (seen.left, seen.waits) = (true, None);
    }

    pub fn ended(&mut self, n: u8) {
        let seen = self.seen(n);
        (seen.wires, seen.out, seen.open) = (0, None, false);
    }

    pub fn told(&mut self, entry: &Endpoint, now: Duration) {
        if entry.state == EndpointState::Ready {
            self.drained.remove(&entry.server);
        } else {
            self.drained.entry(entry.server).or_insert(now);
        }
    }

    pub fn made_up(&mut self, n: u8) {
        let what = format!("a closed connection's word reaches session {n}");
        self.broken(Property::NothingMadeUp, what);
    }

    pub fn left_behind(&mut self, n: u8, what: &str) {
        self.broken(Property::NothingLeftBehind, format!("{what}, session {n}"));
    }

    /// Nothing more is known of it: it must have been answered, or have left.
    pub fn forgotten(&mut self, n: u8) {
        let seen = self.seen(n);
        let (lost, out) = (seen.waits.is_some(), seen.wires > 0);
        if lost {
            self.broken(
                Property::OneAnswerInTime,
                format!("session {n} is forgotten without an answer"),
            );
        }
        if out {
            self.left_behind(n, "a dial of a session that is forgotten");
        }
    }

    /// What each moment asks for: answers that are due, and no dial for who does not wait.
    pub fn late(&mut self, now: Duration) {
        for n in 0..self.sessions.len() as u8 {
            let seen = self.seen(n).clone();
            if seen.waits.is_some_and(|until| now > until + SLACK) {
                self.broken(
                    Property::OneAnswerInTime,
                    format!("session {n} has no answer in time"),
                );
            }
            let calls_off = self.calls_off;
            let over = (seen.answers > 0 || seen.left) && !seen.open;
            if over && seen.wires > 0 && calls_off {
                let what = format!("session {n} has a dial out though nobody waits for it");
                self.broken(Property::NoDialAfterTheAnswer, what);
            }
        }
    }
}
