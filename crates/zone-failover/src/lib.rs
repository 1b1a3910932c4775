//! What a proxy makes of whole places, from what it meets itself: whole, doubtful, lost, cut off from here, returning.
//! No I/O and no clock; signs and sounds come in with the time since the clock began, effects go out.
//!
//! A *sign* is that a server said nothing in time, or that nobody is at its address; a *sound* is anything that one
//! said. Only signs since the last sound of their place count, so one bad server, or several, beside others of their
//! place that answer, never make a lost place. And a place is given up only while another still answers, so a proxy
//! that is cut off itself gives up none.
#![allow(
    missing_docs,
    unreachable_pub,
    missing_debug_implementations,
    rust_2018_idioms
)] // Not yet brought to the workspace lints.
#![allow(clippy::too_many_lines, clippy::cognitive_complexity)] // Not yet brought to the workspace lints.

use asterramp_injected_faults::is_injected;
use std::time::Duration;

pub mod room;

#[cfg(feature = "injected-faults")]
mod injected_fault;
#[cfg(feature = "injected-faults")]
pub use injected_fault::InjectedFault;

pub type ZoneId = u8;
pub type ServerId = u32;

/// What discovery says of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerState {
    Ready,
    Draining,
    #[default]
    Gone,
}

/// What is made of a place.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum ZoneState {
    #[default]
    Whole,
    /// Several of its servers say nothing; others are asked.
    Doubtful,
    /// Nobody there answers, or discovery calls its servers gone.
    Lost,
    /// Nobody there answers, and discovery goes on calling its servers ready: they live, but not for this proxy.
    CutOff,
    /// Somebody answers again; it is used by degrees.
    Returning,
}

impl ZoneState {
    pub const ALL: [ZoneState; 5] = [
        ZoneState::Whole,
        ZoneState::Doubtful,
        ZoneState::Lost,
        ZoneState::CutOff,
        ZoneState::Returning,
    ];

    pub fn name(self) -> &'static str {
        match self {
            ZoneState::Whole => "whole",
            ZoneState::Doubtful => "doubtful",
            ZoneState::Lost => "lost",
            ZoneState::CutOff => "cut-off",
            ZoneState::Returning => "returning",
        }
    }

    /// Whether nothing is sent there but looks.
    pub fn is_shut(self) -> bool {
        matches!(self, ZoneState::Lost | ZoneState::CutOff)
    }
}

/// What happens to a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Input {
    /// Some of its servers have said nothing since it was last heard.
    Signs,
    /// So many that it is given up.
    Shown,
    /// A server of it said something.
    Sound,
    /// Discovery calls all of its servers gone.
    ToldGone,
    /// Discovery was heard long after the first sign and still calls them ready.
    ToldThere,
    /// Discovery tells a server of it that was not there, or was started again.
    ToldBack,
    /// No other place is left to use.
    Alone,
    /// What was waited for has passed.
    Due,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Act {
    Nothing,
    /// Others of the place are asked.
    Doubt,
    /// The doubt was none.
    Clear,
    /// Nothing more is sent there, and who is there leaves.
    Shut,
    /// Its servers are gone by the list: there is nobody to send away.
    Miss,
    Look,
    /// Used again, by degrees.
    Reopen,
    /// Used again whole: its servers were started anew, and each is filled by its own budget.
    Refill,
    /// A degree more, or all.
    Widen,
    /// Used as if nothing had been: better than nobody.
    Restore,
}

/// State, input, next state, what is done. What is not listed changes nothing.
const TABLE: &[(ZoneState, Input, ZoneState, Act)] = &[
    (
        ZoneState::Whole,
        Input::Signs,
        ZoneState::Doubtful,
        Act::Doubt,
    ),
    (
        ZoneState::Whole,
        Input::ToldGone,
        ZoneState::Lost,
        Act::Miss,
    ),
    (
        ZoneState::Doubtful,
        Input::Sound,
        ZoneState::Whole,
        Act::Clear,
    ),
    (
        ZoneState::Doubtful,
        Input::Due,
        ZoneState::Whole,
        Act::Clear,
    ),
    (
        ZoneState::Doubtful,
        Input::Shown,
        ZoneState::Lost,
        Act::Shut,
    ),
    (
        ZoneState::Doubtful,
        Input::ToldGone,
        ZoneState::Lost,
        Act::Miss,
    ),
    (ZoneState::Lost, Input::Due, ZoneState::Lost, Act::Look),
    (
        ZoneState::Lost,
        Input::Sound,
        ZoneState::Returning,
        Act::Reopen,
    ),
    (
        ZoneState::Lost,
        Input::ToldBack,
        ZoneState::Returning,
        Act::Refill,
    ),
    (
        ZoneState::Lost,
        Input::ToldThere,
        ZoneState::CutOff,
        Act::Nothing,
    ),
    (
        ZoneState::Lost,
        Input::Alone,
        ZoneState::Doubtful,
        Act::Restore,
    ),
    (ZoneState::CutOff, Input::Due, ZoneState::CutOff, Act::Look),
    (
        ZoneState::CutOff,
        Input::Sound,
        ZoneState::Returning,
        Act::Reopen,
    ),
    (
        ZoneState::CutOff,
        Input::ToldBack,
        ZoneState::Returning,
        Act::Refill,
    ),
    (
        ZoneState::CutOff,
        Input::ToldGone,
        ZoneState::Lost,
        Act::Nothing,
    ),
    (
        ZoneState::CutOff,
        Input::Alone,
        ZoneState::Doubtful,
        Act::Restore,
    ),
    (
        ZoneState::Returning,
        Input::Due,
        ZoneState::Whole,
        Act::Widen,
    ),
    (
        ZoneState::Returning,
        Input::Shown,
        ZoneState::Lost,
        Act::Shut,
    ),
    (
        ZoneState::Returning,
        Input::ToldGone,
        ZoneState::Lost,
        Act::Miss,
    ),
];

/// What there is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum ZoneEffect {
    /// The part of what would go to a place that may: 0 while it is shut, 1 while it is whole.
    Open(ZoneId, f64),
    /// Ask this server something, to see whether it answers.
    Look(ServerId),
    /// A place's state changed; why, in a few words.
    Turned(ZoneId, ZoneState, &'static str),
}

/// The figures that it goes by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneFailoverSettings {
    /// How long a doubt lasts that nothing confirms.
    pub doubt: Duration,
    /// How often a shut place is looked at.
    pub look: Duration,
    /// How long one that has fallen again soon after its return is not looked at, at first and at most.
    pub hold: Duration,
    pub hold_most: Duration,
    /// Over how long a returning place is used by degrees.
    pub settle: Duration,
    /// How late discovery may be.
    pub told_within: Duration,
    /// How long what came to nothing may have been under way.
    pub under_way: Duration,
    /// Whether servers may be asked; else a shut place is tried by degrees when its time is over.
    pub may_look: bool,
}

impl Default for ZoneFailoverSettings {
    fn default() -> Self {
        ZoneFailoverSettings {
            doubt: Duration::from_secs(3),
            look: Duration::from_millis(1500),
            hold: Duration::from_secs(2),
            hold_most: Duration::from_secs(60),
            settle: Duration::from_secs(3),
            told_within: Duration::from_secs(6),
            under_way: Duration::from_secs(1),
            may_look: true,
        }
    }
}

/// Signs at which others are asked, and the least at which a place is given up.
const DOUBT: usize = 2;
const SHOWN: usize = 3;
/// Part of its servers that must have given a sign, in a large place.
const PART: usize = 4;
/// Servers asked at most when a place is doubted.
const ASKED: usize = 4;
/// Degrees by which a returning place is used, the first of them at once.
const DEGREES: u32 = 6;
/// How long a place must have been whole until its falls are forgotten.
const FORGETS: Duration = Duration::from_secs(60);
/// How long after a place was last shut or opened by a degree room is short: as long as its clients go on coming elsewhere.
const SHORT: Duration = Duration::from_secs(8);

#[derive(Clone, Copy, Debug, Default)]
struct Server {
    place: Option<ZoneId>,
    standing: ServerState,
    started: Option<Duration>,
    /// Its first sign since it, and its place, were last heard.
    sign: Option<Duration>,
    /// When it was last looked at.
    looked: Duration,
}

impl Server {
    fn is_ready(&self) -> bool {
        self.standing == ServerState::Ready
    }
}

#[derive(Clone, Debug, Default)]
pub struct Zone {
    pub state: ZoneState,
    /// Since when.
    pub since: Duration,
    /// When any of its servers was last heard.
    heard: Option<Duration>,
    /// The first sign of the present doubt.
    first: Duration,
    due: Option<Duration>,
    /// Until when no sound opens it again.
    held: Duration,
    /// When it was last used again, or whole again.
    whole: Duration,
    /// When it was last shut, or opened by a degree; `None` before it ever was.
    turned: Option<Duration>,
    /// Degrees of a return so far.
    degree: u32,
    /// How often it fell of late, each time soon after its return.
    falls: u32,
    /// Doubts that proved none, and places shut that answered the first look though discovery never missed them.
    pub doubts: u64,
    pub false_alarms: u64,
    missed: bool,
    looks: u32,
}

/// All places of a deployment, as one proxy sees them. Its memory is a few numbers a place and a server.
#[derive(Clone, Debug, Default)]
pub struct ZoneFailover {
    terms: ZoneFailoverSettings,
    places: Vec<Zone>,
    servers: Vec<Server>,
    effects: Vec<ZoneEffect>,
    /// When this proxy was last heard again after it had been cut off itself.
    awake: Option<Duration>,
    #[cfg(feature = "injected-faults")]
    pub injected_fault: Option<InjectedFault>,
}

impl ZoneFailover {
    pub fn new(terms: ZoneFailoverSettings, places: usize) -> ZoneFailover {
        ZoneFailover {
            terms,
            places: vec![Zone::default(); places],
            ..ZoneFailover::default()
        }
    }

    pub fn places(&self) -> &[Zone] {
        &self.places
    }

    /// Whether the clients of a lost place are coming to those that are left, so that room is short.
    pub fn is_short(&self, now: Duration) -> bool {
        let short = |place: &Zone| place.turned.is_some_and(|at| now < at + SHORT);
        self.places.iter().any(|place| {
            place.state.is_shut() || place.state == ZoneState::Returning || short(place)
        })
    }

    pub fn terms(&mut self, terms: ZoneFailoverSettings) {
        self.terms = terms;
    }

    /// All that it knows, in ages: two that are alike in this go on alike. For whoever compares many of them.
    pub fn aged(&self, now: Duration) -> String {
        let age = |at: Duration| now.saturating_sub(at).min(FORGETS).as_millis();
        let left = |at: Duration| at.saturating_sub(now).as_millis();
        let mut text = format!("{:?}", self.awake.map(age));
        for p in &self.places {
            let (heard, due) = (p.heard.map(age), p.due.map(left));
            let spans = (age(p.since), age(p.first), left(p.held), age(p.whole));
            text += &format!(
                "{:?}{heard:?}{due:?}{spans:?}{:?}",
                p.state,
                (p.degree, p.falls, p.missed)
            );
        }
        for s in &self.servers {
            text += &format!(
                "{:?}{:?}{:?}{}",
                s.standing,
                s.started,
                s.sign.map(age),
                age(s.looked)
            );
        }
        text
    }

    /// What there is to do, in order.
    pub fn effects(&mut self) -> std::vec::Drain<'_, ZoneEffect> {
        self.effects.drain(..)
    }

    /// Discovery told of a server. One that was not there, or was started again, is another than the silent one.
    pub fn listed(
        &mut self,
        now: Duration,
        id: ServerId,
        place: ZoneId,
        standing: ServerState,
        started: Option<Duration>,
    ) {
        if usize::from(place) >= self.places.len() {
            return;
        }
        if self.servers.len() <= id as usize {
            self.servers.resize(id as usize + 1, Server::default());
        }
        let server = &mut self.servers[id as usize];
        let known = server.place.is_some();
        let ready = standing == ServerState::Ready;
        let back = known && ready && (!server.is_ready() || server.started != started);
        let went = known && server.standing != ServerState::Gone && standing == ServerState::Gone;
        *server = Server {
            place: Some(place),
            standing,
            started,
            ..*server
        };
        if back {
            server.sign = None;
            self.heard_of(now, place, Input::ToldBack, "discovery tells servers again");
        }
        if went && self.of(place).all(|(_, s)| s.standing == ServerState::Gone) {
            self.places[usize::from(place)].missed = true;
            self.input(
                now,
                place,
                Input::ToldGone,
                "discovery calls its servers gone",
            );
        }
        self.not_alone(now);
    }

    /// Discovery said anything at all.
    pub fn told(&mut self, now: Duration) {
        for place in 0..self.places.len() as ZoneId {
            let shut = &self.places[usize::from(place)];
            let late = shut.state == ZoneState::Lost
                && !shut.missed
                && now >= shut.first + self.terms.told_within;
            if late && self.of(place).any(|(_, s)| s.is_ready()) {
                self.input(
                    now,
                    place,
                    Input::ToldThere,
                    "discovery calls its servers ready",
                );
            }
        }
    }

    /// A server said nothing in time, or nobody is at its address.
    pub fn sign(&mut self, now: Duration, id: ServerId) {
        let Some(server) = self.servers.get_mut(id as usize) else {
            return;
        };
        let Some(place) = server.place.filter(|_| server.is_ready()) else {
            return;
        };
        // What was under way while this proxy was cut off itself proves nothing of its server.
        if self.awake.is_some_and(|at| now < at + self.terms.under_way) {
            return;
        }
        let heard = self.places[usize::from(place)].heard;
        let first = server
            .sign
            .filter(|at| heard.is_none_or(|heard| *at > heard));
        server.sign = first.or(Some(now));
        self.weigh(now, place);
    }

    /// A server said something.
    pub fn sound(&mut self, now: Duration, id: ServerId) {
        let Some(server) = self.servers.get_mut(id as usize) else {
            return;
        };
        server.sign = None;
        let Some(place) = server.place else { return };
        let state = &mut self.places[usize::from(place)];
        let doubted = state.state == ZoneState::Doubtful;
        if !is_injected!(self, SoundForgotten) {
            state.heard = Some(now);
        }
        if state.state.is_shut() && state.looks <= 1 && !state.missed && now >= state.held {
            state.false_alarms += 1;
        }
        self.heard_of(now, place, Input::Sound, "it answers");
        // Nobody answered, neither here nor there: it was this proxy that was cut off, and what it met proves nothing.
        if doubted {
            self.awake = Some(now);
            let others = self.servers.iter_mut().filter(|s| s.place != Some(place));
            return others.for_each(|s| s.sign = None);
        }
        // What is doubted may have waited for this: it is not this proxy that is cut off.
        for other in 0..self.places.len() as ZoneId {
            let doubted = matches!(
                self.places[usize::from(other)].state,
                ZoneState::Doubtful | ZoneState::Returning
            );
            if doubted && !is_injected!(self, NotWeighedAgain) {
                self.weigh(now, other);
            }
        }
    }

    /// Something speaks for a place; one that is held back is not opened by it.
    fn heard_of(&mut self, now: Duration, id: ZoneId, input: Input, why: &'static str) {
        let place = &self.places[usize::from(id)];
        if !place.state.is_shut() || now >= place.held || is_injected!(self, HeldForgotten) {
            self.input(now, id, input, why);
        }
    }

    /// When `tick` is next wanted.
    pub fn due(&self) -> Option<Duration> {
        self.places.iter().filter_map(|place| place.due).min()
    }

    pub fn tick(&mut self, now: Duration) {
        for place in 0..self.places.len() as ZoneId {
            if self.places[usize::from(place)]
                .due
                .is_some_and(|due| due <= now)
            {
                self.places[usize::from(place)].due = None;
                self.fell_due(now, place);
            }
        }
        self.not_alone(now);
    }

    fn fell_due(&mut self, now: Duration, id: ZoneId) {
        let step = self.terms.settle / DEGREES;
        let place = &mut self.places[usize::from(id)];
        if place.state == ZoneState::Returning
            && place.degree + 1 < DEGREES
            && !is_injected!(self, WholeAtOnce)
        {
            // A wider part now, the whole at the last.
            place.degree += 1;
            (place.due, place.turned) = (Some(now + step), Some(now));
            let part = f64::from(place.degree + 1) / f64::from(DEGREES);
            return self.effects.push(ZoneEffect::Open(id, part));
        }
        if place.state == ZoneState::Doubtful && self.signs(id).0 >= DOUBT {
            // Nobody has answered: it is asked again.
            self.places[usize::from(id)].due = Some(now + self.terms.doubt);
            return self.look(now, id, ASKED);
        }
        let place = &self.places[usize::from(id)];
        if place.state.is_shut() && !self.terms.may_look {
            return self.input(now, id, Input::Sound, "it is tried");
        }
        self.input(now, id, Input::Due, "its time is over");
        // Signs that came while it was returning are of a whole place now.
        self.weigh(now, id);
    }

    fn of(&self, place: ZoneId) -> impl Iterator<Item = (ServerId, &Server)> {
        (0..)
            .zip(&self.servers)
            .filter(move |(_, s)| s.place == Some(place))
    }

    /// Signs since a place was last heard, none of the same moment, in which it lived; the first of them, and the
    /// servers that it has.
    fn signs(&self, place: ZoneId) -> (usize, Option<Duration>, usize) {
        let heard = self.places[usize::from(place)]
            .heard
            .filter(|_| !is_injected!(self, OldSignsCount));
        let ready = || self.of(place).filter(|(_, s)| s.is_ready());
        let counts = || {
            ready().filter_map(|(_, s)| s.sign.filter(|at| heard.is_none_or(|heard| *at > heard)))
        };
        (counts().count(), counts().min(), ready().count())
    }

    fn weigh(&mut self, now: Duration, id: ZoneId) {
        let (signs, first, all) = self.signs(id);
        let Some(first) = first else { return };
        let place = &mut self.places[usize::from(id)];
        if !place.state.is_shut() {
            place.first = first;
        }
        if place.state == ZoneState::Whole && signs >= DOUBT.min(all) {
            self.input(now, id, Input::Signs, "servers say nothing");
        }
        // Where nobody else answers either, it is this proxy that is cut off.
        let others = (0..).zip(&self.places).any(|(other, place)| {
            other != id && !place.state.is_shut() && place.heard.is_some_and(|at| at >= first)
        });
        let shown = if is_injected!(self, TwoAreEnough) {
            DOUBT
        } else {
            SHOWN.max(all / PART).min(DOUBT + ASKED)
        };
        if signs >= shown.min(all) && (others || is_injected!(self, GivenUpAlone)) {
            self.input(now, id, Input::Shown, "nobody answers");
        }
    }

    /// Where every place that has servers is shut, those are used rather than none.
    fn not_alone(&mut self, now: Duration) {
        if is_injected!(self, NobodyLeft) || !self.places.iter().any(|place| place.state.is_shut())
        {
            return;
        }
        let has = |place: ZoneId| self.of(place).any(|(_, s)| s.is_ready());
        let shut: Vec<ZoneId> = (0..self.places.len() as ZoneId)
            .filter(|p| has(*p))
            .collect();
        if shut
            .iter()
            .all(|place| self.places[usize::from(*place)].state.is_shut())
        {
            for place in shut {
                self.input(now, place, Input::Alone, "no other place is left");
            }
        }
    }

    fn input(&mut self, now: Duration, id: ZoneId, input: Input, why: &'static str) {
        let place = &mut self.places[usize::from(id)];
        let Some(row) = TABLE
            .iter()
            .find(|row| (row.0, row.1) == (place.state, input))
        else {
            return;
        };
        if place.state != row.2 {
            (place.state, place.since) = (row.2, now);
            self.effects.push(ZoneEffect::Turned(id, row.2, why));
        }
        self.act(now, id, row.3);
    }

    fn act(&mut self, now: Duration, id: ZoneId, act: Act) {
        let terms = self.terms;
        let place = &mut self.places[usize::from(id)];
        match act {
            Act::Nothing => {}
            Act::Doubt => {
                place.due = Some(now + terms.doubt);
                self.look(now, id, ASKED);
            }
            Act::Clear => {
                (place.due, place.whole) = (None, now);
                place.doubts += 1;
            }
            Act::Shut | Act::Miss => {
                place.turned = Some(now);
                // One that falls again soon after its return is left alone for longer each time.
                let soon = now < place.whole + FORGETS;
                place.falls = if soon { (place.falls + 1).min(16) } else { 1 };
                let held = (terms.hold * (1 << (place.falls - 1)) / 2).min(terms.hold_most);
                place.held = if place.falls > 1 { now + held } else { now };
                place.due = Some(place.held.max(now + terms.look));
                (place.looks, place.degree) = (0, 0);
                self.effects
                    .extend((act == Act::Shut).then_some(ZoneEffect::Open(id, 0.0)));
            }
            Act::Look if is_injected!(self, NeverLooked) => {}
            Act::Look => {
                place.due = Some(now + terms.look);
                place.looks += 1;
                self.look(now, id, 1);
            }
            Act::Reopen => {
                (place.degree, place.missed, place.whole, place.turned) =
                    (0, false, now, Some(now));
                place.due = Some(now + terms.settle / DEGREES);
                self.effects
                    .push(ZoneEffect::Open(id, 1.0 / f64::from(DEGREES)));
            }
            Act::Refill => {
                (place.degree, place.missed, place.whole, place.turned) =
                    (DEGREES, false, now, Some(now));
                place.due = Some(now + terms.settle);
                // What they said nothing to was before.
                let there = self.servers.iter_mut().filter(|s| s.place == Some(id));
                there.for_each(|s| s.sign = None);
                self.effects.push(ZoneEffect::Open(id, 1.0));
            }
            Act::Widen => {
                (place.due, place.whole) = (None, now);
                self.effects.push(ZoneEffect::Open(id, 1.0));
            }
            Act::Restore => {
                place.due = Some(now + terms.doubt);
                self.effects.push(ZoneEffect::Open(id, 1.0));
            }
        }
    }

    /// Asks those of a place that were not looked at for the longest, first those that have given no sign.
    fn look(&mut self, now: Duration, id: ZoneId, most: usize) {
        let ready = self.of(id).filter(|(_, s)| s.is_ready());
        let mut order: Vec<(bool, Duration, ServerId)> = ready
            .map(|(server, s)| (s.sign.is_some(), s.looked, server))
            .collect();
        order.sort_unstable();
        for (_, _, server) in order.into_iter().take(most) {
            self.servers[server as usize].looked = now;
            self.effects.push(ZoneEffect::Look(server));
        }
    }
}
