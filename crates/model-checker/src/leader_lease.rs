//! Two candidates for the work of a fleet, their store and two receivers, in every order of delays, losses, doubled and late
//! messages, pauses at any step, expiries and restarts at small size. `LeaseContender` and `FencingGuard`, the code that serves,
//! decide; the store, the ways and the clocks are modelled here. A pause is any number of other steps between two of one's own.

use crate::search::{self, Explored, Played};
use asterramp_leader_lease::{
    FencingGuard, FencingToken, LeaseContender, LeaseSettings, LeaseState, OrderPurpose,
    ReceiverClock, Term,
};
use std::collections::BTreeSet;
use std::time::Duration;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

const TERMS: LeaseSettings = LeaseSettings {
    session_timeout: ms(4_000),
    clock_margin: ms(1_000),
};
const STEP: Duration = ms(1_000);
const CANDIDATES: usize = 2;
const RECEIVERS: usize = 2;
/// How far each receiver's clock is ahead of the truth, and behind it.
const AHEAD: [Duration; RECEIVERS] = [ms(86_400_000), ms(0)];
const BEHIND: [Duration; RECEIVERS] = [ms(0), ms(500_000)];
/// Messages on their way at most.
const ON_THE_WAY: usize = 3;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// A candidate puts its node into the queue.
    Join(usize),
    /// It asks the store who is first; the store hears that; the answer comes.
    Ask(usize),
    StoreHears(usize),
    Answer(usize),
    /// The connection breaks: what was asked is lost.
    Breaks(usize),
    /// The store ends a session whose time is over; or all, as one that restarts without them.
    Expires(usize),
    StoreForgets,
    /// A candidate hears that its session has lapsed.
    HearsOfIt(usize),
    /// It gives its place up.
    Leaves(usize),
    /// It dies, and another process of the same name starts.
    Dies(usize),
    /// It asks a receiver for a ticket, which the receiver writes, and which then comes.
    Ticket(usize, usize),
    Written(usize, usize),
    Comes(usize, usize),
    /// It makes an order, which is sent some time later; `true` only wants to be heard.
    Orders(usize, usize, bool),
    Sends(usize, usize),
    /// A message on its way is read by its receiver; it may be read again.
    Reads(usize),
    /// A receiver restarts, with what it kept or without.
    Restarts(usize, bool),
    Passes,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Asked {
    Sent(Duration),
    Heard(Duration, Option<Term>),
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Wanted {
    #[default]
    None,
    Asked,
    Written(ReceiverClock),
    Came(ReceiverClock, Duration),
}

#[derive(Clone, Debug)]
struct Candidate {
    owner: LeaseContender,
    asked: Option<Asked>,
    wanted: [Wanted; RECEIVERS],
    made: [Option<FencingToken>; RECEIVERS],
    /// Receivers that have heard its term.
    heard: [bool; RECEIVERS],
    begun: bool,
}

#[derive(Clone, Copy, Debug)]
struct Seat {
    term: Term,
    heard: Duration,
}

#[derive(Clone, Debug)]
struct World {
    now: Duration,
    candidates: Vec<Candidate>,
    /// The queue at the store, by candidate.
    seats: [Option<Seat>; CANDIDATES],
    changes: Term,
    /// Whether the store forgot a session of a candidate's that it does not know of.
    forgot: [bool; CANDIDATES],
    fences: Vec<FencingGuard>,
    kept: [Term; RECEIVERS],
    boots: u64,
    /// What each process of a receiver has accepted.
    accepted: [Term; RECEIVERS],
    on_the_way: BTreeSet<(usize, Term, u64, Duration)>,
    broken: Option<String>,
    #[cfg(feature = "injected-faults")]
    injected_fault: FaultChoice,
}

impl World {
    fn new(injected_fault: FaultChoice) -> World {
        let mut world = World {
            now: ms(1_000_000),
            candidates: Vec::new(),
            seats: [None; CANDIDATES],
            changes: 10,
            forgot: [false; CANDIDATES],
            fences: Vec::new(),
            kept: [0; RECEIVERS],
            boots: 0,
            accepted: [0; RECEIVERS],
            on_the_way: BTreeSet::new(),
            broken: None,
            #[cfg(feature = "injected-faults")]
            injected_fault,
        };
        #[cfg(not(feature = "injected-faults"))]
        let () = injected_fault;
        world.candidates = (0..CANDIDATES).map(|_| world.candidate()).collect();
        (0..RECEIVERS).for_each(|_| {
            let fence = world.fence(0);
            world.fences.push(fence);
        });
        world
    }

    fn candidate(&self) -> Candidate {
        #[allow(unused_mut)]
        let mut owner = LeaseContender::new(TERMS);
        #[cfg(feature = "injected-faults")]
        (owner.injected_fault = self.injected_fault);
        let (wanted, made) = ([Wanted::None; RECEIVERS], [None; RECEIVERS]);
        Candidate {
            owner,
            asked: None,
            wanted,
            made,
            heard: [false; RECEIVERS],
            begun: false,
        }
    }

    fn fence(&mut self, kept: Term) -> FencingGuard {
        self.boots += 1;
        #[allow(unused_mut)]
        let mut fence = FencingGuard::new(self.boots, kept);
        #[cfg(feature = "injected-faults")]
        (fence.injected_fault = self.injected_fault);
        fence
    }

    /// A candidate's own clock: the first's runs an eighth too slow.
    fn own(&self, c: usize) -> Duration {
        if c == 0 {
            self.now - (self.now - ms(1_000_000)) / 8
        } else {
            self.now
        }
    }

    fn clock(&self, r: usize) -> Duration {
        self.now + AHEAD[r] - BEHIND[r]
    }

    fn first(&self) -> Option<Term> {
        self.seats.iter().flatten().map(|seat| seat.term).min()
    }

    fn breaks(&mut self, what: String) {
        self.broken.get_or_insert(what);
    }

    /// What must hold of an order as it is made.
    fn made(&mut self, c: usize, r: usize, order: FencingToken, hear: bool) {
        if self.forgot[c] {
            return;
        }
        let Some(seat) = self.seats[c] else {
            return self.breaks(format!(
                "candidate {c} orders, and the store has ended its session"
            ));
        };
        let until = (order.expires_at + BEHIND[r]).saturating_sub(AHEAD[r]);
        if until > seat.heard + TERMS.session_timeout {
            self.breaks(format!("an order of candidate {c} outlives its session"));
        }
        if !hear && self.first() != Some(seat.term) {
            self.breaks(format!("candidate {c} orders, and is not first"));
        }
    }

    /// A candidate hears that its session has lapsed, and claims nothing from then on.
    fn lapses(&mut self, c: usize) {
        let owner = &mut self.candidates[c].owner;
        owner.session_expired();
        if owner.state() != LeaseState::NotQueued {
            self.breaks(format!(
                "candidate {c} goes on though its session has lapsed"
            ));
        }
    }

    fn reads(&mut self, (r, term, boot, until): (usize, Term, u64, Duration)) {
        let (order, clock) = (
            FencingToken {
                term,
                incarnation: boot,
                expires_at: until,
            },
            self.clock(r),
        );
        let ticket = self.fences[r].clock(clock);
        if self.fences[r].check(clock, &order).is_err() {
            return;
        }
        if boot != ticket.incarnation {
            self.breaks(format!(
                "receiver {r} takes an order for the process before it"
            ));
        }
        if clock >= until {
            self.breaks(format!("receiver {r} takes an order after its end"));
        }
        if term < self.accepted[r] {
            self.breaks(format!(
                "receiver {r} takes one of {term} after one of {}",
                self.accepted[r]
            ));
        }
        let later = self
            .candidates
            .iter()
            .find(|other| other.begun && other.owner.term() > term);
        if let Some(later) = later {
            self.breaks(format!(
                "receiver {r} takes one of {term}, and {} has begun",
                later.owner.term()
            ));
        }
        self.accepted[r] = self.accepted[r].max(term);
        if self.fences[r].highest_term() < self.accepted[r] {
            self.breaks(format!("receiver {r} forgets the term that it heard"));
        }
        self.kept[r] = self.fences[r].highest_term();
        for candidate in self
            .candidates
            .iter_mut()
            .filter(|candidate| candidate.owner.term() == term)
        {
            candidate.heard[r] = true;
            if candidate.heard == [true; RECEIVERS] {
                candidate.owner.all_receivers_know_term();
            }
        }
    }
}

impl Played for World {
    type Step = Step;

    fn key(&self) -> String {
        let age = |at: Duration| self.now.saturating_sub(at).as_millis();
        let mut key = format!(
            "{:?}{:?}{:?}{}",
            self.forgot,
            self.kept,
            self.accepted,
            (self.now.as_millis() / 1_000) % 8
        );
        for (c, candidate) in self.candidates.iter().enumerate() {
            let own = self.own(c);
            key += &format!("|{}", candidate.owner.relative_state(own));
            key += &match candidate.asked {
                None => "-".into(),
                Some(Asked::Sent(at)) => format!("s{}", (own - at).as_millis()),
                Some(Asked::Heard(at, first)) => format!("h{}{first:?}", (own - at).as_millis()),
            };
            for (r, wanted) in candidate.wanted.iter().enumerate() {
                key += &match wanted {
                    Wanted::None => "-".to_string(),
                    Wanted::Asked => "a".into(),
                    Wanted::Written(t) => {
                        format!("w{}{:?}", self.boots - t.incarnation, self.clock(r) - t.now)
                    }
                    Wanted::Came(t, at) => {
                        format!(
                            "c{}{:?}{:?}",
                            self.boots - t.incarnation,
                            self.clock(r) - t.now,
                            own - *at
                        )
                    }
                };
            }
            let made = candidate.made.iter().enumerate().map(|(r, made)| {
                made.map(|o| {
                    (
                        o.term,
                        self.boots - o.incarnation,
                        o.expires_at.saturating_sub(self.clock(r)).as_millis(),
                    )
                })
            });
            key += &format!(
                "{:?}{:?}{}",
                made.collect::<Vec<_>>(),
                candidate.heard,
                candidate.begun
            );
            key += &format!(
                "{:?}",
                self.seats[c].map(|seat| (seat.term, age(seat.heard)))
            );
        }
        for (r, term, boot, until) in &self.on_the_way {
            key += &format!(
                ";{r}{term}{}{}",
                self.boots - boot,
                until.saturating_sub(self.clock(*r)).as_millis()
            );
        }
        let boots = self
            .fences
            .iter()
            .map(|fence| self.boots - fence.clock(ms(0)).incarnation);
        format!("{key}{:?}{}", boots.collect::<Vec<_>>(), self.changes)
    }

    fn steps(&self) -> Vec<Step> {
        let mut steps = vec![Step::Passes, Step::StoreForgets];
        for (c, candidate) in self.candidates.iter().enumerate() {
            let seat = self.seats[c];
            let away = candidate.owner.state() == LeaseState::NotQueued;
            steps.extend((away && seat.is_none()).then_some(Step::Join(c)));
            steps.extend((!away && candidate.asked.is_none()).then_some(Step::Ask(c)));
            match candidate.asked {
                Some(Asked::Sent(_)) => steps.extend([Step::StoreHears(c), Step::Breaks(c)]),
                Some(Asked::Heard(..)) => steps.extend([Step::Answer(c), Step::Breaks(c)]),
                None => {}
            }
            steps.extend(
                seat.filter(|seat| self.now >= seat.heard + TERMS.session_timeout)
                    .map(|_| Step::Expires(c)),
            );
            steps.extend((!away && seat.is_none()).then_some(Step::HearsOfIt(c)));
            let leaves = candidate.owner.state() == LeaseState::Leader;
            steps.extend((leaves && seat.is_some()).then_some(Step::Leaves(c)));
            steps.extend((!away).then_some(Step::Dies(c)));
            for r in 0..RECEIVERS {
                let acts = matches!(
                    candidate.owner.state(),
                    LeaseState::Leader | LeaseState::AwaitingPredecessor
                );
                steps.extend(match candidate.wanted[r] {
                    Wanted::None => acts.then_some(Step::Ticket(c, r)),
                    Wanted::Asked => Some(Step::Written(c, r)),
                    Wanted::Written(_) => Some(Step::Comes(c, r)),
                    Wanted::Came(..) if candidate.made[r].is_none() => {
                        let hear = candidate.owner.state() == LeaseState::AwaitingPredecessor;
                        Some(Step::Orders(c, r, hear))
                    }
                    Wanted::Came(..) => None,
                });
                let room = self.on_the_way.len() < ON_THE_WAY;
                steps.extend((candidate.made[r].is_some() && room).then_some(Step::Sends(c, r)));
            }
        }
        steps.extend((0..self.on_the_way.len()).map(Step::Reads));
        steps.extend((0..RECEIVERS).map(|r| Step::Restarts(r, false)));
        steps.push(Step::Restarts(0, true));
        steps
    }

    fn make(&mut self, step: Step) {
        let now = self.now;
        match step {
            Step::Join(c) => {
                self.changes += 1;
                let (own, term) = (self.own(c), self.changes);
                self.seats[c] = Some(Seat { term, heard: now });
                self.forgot[c] = false;
                let candidate = &mut self.candidates[c];
                (candidate.begun, candidate.heard) = (false, [false; RECEIVERS]);
                candidate.owner.joined_queue(own, own, term);
            }
            Step::Ask(c) => self.candidates[c].asked = Some(Asked::Sent(self.own(c))),
            Step::StoreHears(c) => {
                let first = self.first();
                let Some(Asked::Sent(at)) = self.candidates[c].asked else {
                    return;
                };
                // A session that the store does not know is told so, and not heard.
                let known = self.seats[c].as_mut().map(|seat| seat.heard = now);
                self.candidates[c].asked = Some(Asked::Heard(at, known.and(first)));
            }
            Step::Answer(c) => {
                let own = self.own(c);
                match self.candidates[c].asked.take() {
                    Some(Asked::Heard(_, None)) => self.lapses(c),
                    Some(Asked::Heard(at, Some(first))) => {
                        self.candidates[c].owner.store_answered(own, at);
                        self.candidates[c].owner.queue_head(own, first);
                    }
                    _ => {}
                }
            }
            Step::Breaks(c) => self.candidates[c].asked = None,
            Step::Expires(c) => self.seats[c] = None,
            Step::StoreForgets => {
                for c in 0..CANDIDATES {
                    self.forgot[c] |= self.seats[c].take().is_some();
                }
            }
            Step::HearsOfIt(c) => {
                self.candidates[c].asked = None;
                self.lapses(c);
            }
            Step::Leaves(c) => {
                self.seats[c] = None;
                self.candidates[c] = self.candidate();
            }
            Step::Dies(c) => self.candidates[c] = self.candidate(),
            Step::Ticket(c, r) => self.candidates[c].wanted[r] = Wanted::Asked,
            Step::Written(c, r) => {
                let ticket = self.fences[r].clock(self.clock(r));
                self.candidates[c].wanted[r] = Wanted::Written(ticket);
            }
            Step::Comes(c, r) => {
                let own = self.own(c);
                if let Wanted::Written(ticket) = self.candidates[c].wanted[r] {
                    self.candidates[c].wanted[r] = Wanted::Came(ticket, own);
                }
            }
            Step::Orders(c, r, hear) => {
                let own = self.own(c);
                let candidate = &mut self.candidates[c];
                let Wanted::Came(ticket, came) = std::mem::take(&mut candidate.wanted[r]) else {
                    return;
                };
                let purpose = if hear {
                    OrderPurpose::AnnounceTerm
                } else {
                    OrderPurpose::Command
                };
                if let Some(order) = candidate.owner.order(own, ticket, came, purpose) {
                    candidate.made[r] = Some(order);
                    self.made(c, r, order, hear);
                }
            }
            Step::Sends(c, r) => {
                let order = self.candidates[c].made[r].take();
                self.on_the_way
                    .extend(order.map(|o| (r, o.term, o.incarnation, o.expires_at)));
            }
            Step::Reads(nth) => {
                let message = self.on_the_way.iter().nth(nth).copied();
                message.into_iter().for_each(|message| self.reads(message));
            }
            Step::Restarts(r, disk) => {
                let kept = if disk { self.kept[r] } else { 0 };
                self.fences[r] = self.fence(kept);
                self.accepted[r] = kept;
            }
            Step::Passes => self.now += STEP,
        }
        for c in 0..CANDIDATES {
            let own = self.own(c);
            let candidate = &mut self.candidates[c];
            candidate.owner.tick(own);
            candidate.begun |= candidate.owner.state() == LeaseState::Leader;
        }
    }

    fn wrong(&self) -> Option<String> {
        self.broken.clone()
    }
}

#[cfg(feature = "injected-faults")]
type FaultChoice = Option<asterramp_leader_lease::InjectedFault>;
#[cfg(not(feature = "injected-faults"))]
type FaultChoice = ();

/// No injected fault.
#[cfg(feature = "injected-faults")]
pub const NONE: FaultChoice = None;
#[cfg(not(feature = "injected-faults"))]
pub const NONE: FaultChoice = ();

/// A candidate is first and has waited until it may begin; it keeps its session meanwhile.
pub fn begun() -> Vec<Step> {
    let ask = [Step::Ask(0), Step::StoreHears(0), Step::Answer(0)];
    let mut way = vec![Step::Join(0)];
    way.extend(ask);
    for _ in 0..5 {
        way.push(Step::Passes);
        way.extend(ask);
    }
    way
}

/// The same, and another is queued behind it.
pub fn queued() -> Vec<Step> {
    let mut way = begun();
    way.extend([
        Step::Join(1),
        Step::Ask(1),
        Step::StoreHears(1),
        Step::Answer(1),
    ]);
    way
}

/// The same, and the first has a ticket of a receiver and has made an order by it.
pub fn ordered() -> Vec<Step> {
    let mut way = queued();
    way.extend([
        Step::Ticket(0, 0),
        Step::Written(0, 0),
        Step::Comes(0, 0),
        Step::Orders(0, 0, false),
        Step::Sends(0, 0),
    ]);
    way
}

/// The first has a ticket, and its next question has been heard at the store.
pub fn asked() -> Vec<Step> {
    let mut way = begun();
    way.extend([
        Step::Ticket(0, 0),
        Step::Written(0, 0),
        Step::Comes(0, 0),
        Step::Ask(0),
        Step::StoreHears(0),
    ]);
    way
}

/// Two have been queued for long, and both keep their sessions.
pub fn patient() -> Vec<Step> {
    let mut way = queued();
    for _ in 0..5 {
        way.push(Step::Passes);
        way.extend(
            (0..CANDIDATES).flat_map(|c| [Step::Ask(c), Step::StoreHears(c), Step::Answer(c)]),
        );
    }
    way
}

/// An order of the first is on its way; the store forgets all sessions, and the second is first now.
pub fn forgotten() -> Vec<Step> {
    let mut way = ordered();
    way.extend([
        Step::StoreForgets,
        Step::HearsOfIt(1),
        Step::Join(1),
        Step::Ask(1),
        Step::StoreHears(1),
    ]);
    way
}

/// The same, and the second has asked one receiver to hear it.
pub fn announced() -> Vec<Step> {
    let mut way = forgotten();
    way.extend([
        Step::Answer(1),
        Step::Ticket(1, 0),
        Step::Written(1, 0),
        Step::Comes(1, 0),
    ]);
    way.extend([Step::Orders(1, 0, true), Step::Sends(1, 0)]);
    way
}

/// Each with what has happened before.
pub fn ways() -> [Vec<Step>; 8] {
    [
        Vec::new(),
        begun(),
        queued(),
        ordered(),
        asked(),
        patient(),
        forgotten(),
        announced(),
    ]
}

/// Plays all orders of up to `depth` steps behind some that have happened.
pub fn explore(before: &[Step], depth: usize, injected_fault: FaultChoice) -> Explored<Step> {
    search::explore(World::new(injected_fault), before, depth)
}
