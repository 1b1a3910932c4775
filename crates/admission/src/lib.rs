//! Who is let in while room is short. No I/O and no clock.
//!
//! Somebody else says how many set-ups a second there is room for; this decides which. Room is a bucket that fills at that pace. Who
//! stands first in the order may take the last of it, who stands later must leave more, so that whoever is refused is
//! refused before anybody that stands in front of it at that moment. Nobody is held: the answer is yes or a time to come back.
//!
//! | refused first | why |
//! | --- | --- |
//! | least worth for the room it takes | by what servers have told; where nobody has, by utility alone if that is wanted |
//! | then sessions of members over their portion | others are owed theirs |
//! | then come-backs that have failed before | they fail again sooner than others |
//! | then who was not connected before | who was is already missed |
//!
//! Open connections are never cut to let others in.
#![allow(
    missing_docs,
    unreachable_pub,
    missing_debug_implementations,
    rust_2018_idioms
)] // Not yet brought to the workspace lints.
#![allow(clippy::too_many_lines, clippy::cognitive_complexity)] // Not yet brought to the workspace lints.

use rand::rngs::Xoshiro256PlusPlus;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// What it goes by.
#[derive(Clone, Debug, Default)]
pub struct AdmissionSettings {
    /// Utility of each listener's sessions, as a part of the highest.
    pub worths: Vec<f64>,
    /// Portion of each member, 0 to 1; all 0 where there are none.
    pub portions: Vec<f64>,
    /// Longest come-back time that a client heeds; zero where none may be given.
    pub longest: Duration,
    /// Whether utility alone decides between listeners where nobody has told what their sessions take. It harms where what
    /// is worth more takes more room than in proportion.
    pub by_worth: bool,
}

/// Who asks to be let in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AdmissionRequest {
    pub listener: u8,
    pub member: u16,
    /// It was connected before, and was cut off or moved.
    pub again: bool,
    /// It says that an earlier try of its failed.
    pub failed: bool,
}

/// Why somebody is refused: what would have to be otherwise for it to be let in at this moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// Nobody is let in now.
    Room,
    /// Worth less for its room than others.
    Worth,
    /// Its member is over its portion.
    Over,
    Failed,
    New,
}

impl RejectReason {
    pub const ALL: [RejectReason; 5] = [
        RejectReason::Room,
        RejectReason::Worth,
        RejectReason::Over,
        RejectReason::Failed,
        RejectReason::New,
    ];

    pub fn name(self) -> &'static str {
        match self {
            RejectReason::Room => "room",
            RejectReason::Worth => "worth",
            RejectReason::Over => "over-portion",
            RejectReason::Failed => "failed-before",
            RejectReason::New => "new",
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    pub reason: RejectReason,
    pub come_back: Duration,
}

/// Room that the bucket holds at least, in set-ups, and at most, in seconds of its pace.
const DEEP: f64 = 4.0;
const SPAN: f64 = 0.25;
/// Part of the bucket that the last in the order leaves to those in front.
const LEFT: f64 = 0.8;
/// Over how long refusals are counted that will come back, and admissions by member.
const CROWD: f64 = 1.0;
const SHARES: f64 = 10.0;
/// Admissions from which a member's part of them says something, and how far over its portion is over.
const FEW: f64 = 8.0;
const OVER: f64 = 0.1;
/// Shortest come-back time.
const SOON: f64 = 0.2;
/// Words by which what a listener's sessions take is known, how many the mean goes back, and when it is too old.
const WORDS: f64 = 8.0;
const BACK: f64 = 50.0;
const OLD: Duration = Duration::from_secs(60);

/// What sessions of a listener take, as servers told.
#[derive(Clone, Copy, Debug, Default)]
struct Take {
    mean: f64,
    /// Mean distance from it: the doubt.
    off: f64,
    words: f64,
    at: Duration,
}

/// What is known of a listener's sessions, to be shown.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SessionCost {
    /// Work a second, in the unit in which servers tell it, and its mean distance from that.
    pub mean: f64,
    pub off: f64,
    pub age: Duration,
}

/// A count that fades.
#[derive(Clone, Copy, Debug, Default)]
struct Fading {
    n: f64,
    at: Duration,
}

impl Fading {
    fn now(&self, now: Duration, over: f64) -> f64 {
        self.n * (-now.saturating_sub(self.at).as_secs_f64() / over).exp()
    }

    fn add(&mut self, now: Duration, over: f64) {
        *self = Fading {
            n: self.now(now, over) + 1.0,
            at: now,
        };
    }
}

#[derive(Clone, Debug)]
pub struct AdmissionControl {
    terms: AdmissionSettings,
    /// Set-ups a second; `None` while room is not short.
    pace: Option<f64>,
    level: f64,
    at: Duration,
    refused: Fading,
    members: Vec<Fading>,
    all: Fading,
    takes: Vec<Take>,
    chance: Xoshiro256PlusPlus,
    /// Refused so far, by listener and reason.
    counts: Vec<[u64; RejectReason::ALL.len()]>,
}

impl AdmissionControl {
    pub fn new(terms: AdmissionSettings, seed: u64) -> AdmissionControl {
        let (listeners, members) = (terms.worths.len(), terms.portions.len());
        AdmissionControl {
            terms,
            pace: None,
            level: 0.0,
            at: Duration::ZERO,
            refused: Fading::default(),
            members: vec![Fading::default(); members],
            all: Fading::default(),
            takes: vec![Take::default(); listeners],
            chance: Xoshiro256PlusPlus::seed_from_u64(seed),
            counts: vec![[0; RejectReason::ALL.len()]; listeners],
        }
    }

    /// Room is for so many set-ups a second from now on; `None` where it is not short, and all are let in. What a whole fleet
    /// counts by is that proxies find the bucket at different heights when they all begin at once.
    pub fn pace(&mut self, now: Duration, pace: Option<f64>) {
        if let (None, Some(pace)) = (self.pace, pace) {
            (self.level, self.at) = (self.chance.random::<f64>() + pace.max(0.0) * SPAN, now);
        }
        self.fill(now);
        self.pace = pace.map(|pace| pace.max(0.0));
    }

    pub fn by_worth(&mut self, wanted: bool) {
        self.terms.by_worth = wanted;
    }

    /// A session of a listener takes so much work a second, by what its server told.
    pub fn takes(&mut self, now: Duration, listener: u8, work: f64) {
        let Some(take) = self.takes.get_mut(usize::from(listener)) else {
            return;
        };
        if !work.is_finite() || work < 0.0 {
            return;
        }
        take.words = (take.words + 1.0).min(BACK);
        take.at = now;
        take.off += ((work - take.mean).abs() - take.off) / take.words;
        take.mean += (work - take.mean) / take.words;
    }

    /// What is known of each listener's sessions.
    pub fn taken(&self, now: Duration) -> impl Iterator<Item = Option<SessionCost>> + '_ {
        self.takes.iter().map(move |take| {
            let age = now.saturating_sub(take.at);
            let known = take.words >= WORDS && take.mean > 0.0 && age <= OLD;
            known.then_some(SessionCost {
                mean: take.mean,
                off: take.off,
                age,
            })
        })
    }

    /// Refused so far, by listener.
    pub fn counts(&self) -> impl Iterator<Item = &[u64; RejectReason::ALL.len()]> {
        self.counts.iter()
    }

    /// Lets somebody in, or says why not and when to come back.
    pub fn ask(&mut self, now: Duration, who: AdmissionRequest) -> Result<(), Rejection> {
        let Some(pace) = self.pace else {
            self.admitted(now, who);
            return Ok(());
        };
        self.fill(now);
        let place = self.place(now, who);
        if self.level >= self.need(pace, place.0 + place.1) {
            self.level -= 1.0;
            self.admitted(now, who);
            return Ok(());
        }
        self.refused.add(now, CROWD);
        let reason = self.reason(now, pace, who, place);
        let count = self.counts.get_mut(usize::from(who.listener));
        count
            .into_iter()
            .for_each(|count| count[reason as usize] += 1);
        Err(Rejection {
            reason,
            come_back: self.come_back(now, pace),
        })
    }

    fn fill(&mut self, now: Duration) {
        let span = now.saturating_sub(self.at).as_secs_f64();
        self.at = now;
        let pace = self.pace.unwrap_or(0.0);
        self.level = (self.level + pace * span).min(self.deep(pace));
    }

    fn deep(&self, pace: f64) -> f64 {
        DEEP.max(pace * SPAN)
    }

    /// What must be there for somebody at that place in the order, 0 to 1.
    fn need(&self, pace: f64, place: f64) -> f64 {
        1.0 + (self.deep(pace) - 1.0) * LEFT * place
    }

    /// Where somebody stands: by its listener, and behind that by itself; together 0 to 1.
    fn place(&self, now: Duration, who: AdmissionRequest) -> (f64, f64) {
        let worth = self.worth(now, who.listener);
        let listeners = self.terms.worths.len().max(1);
        let ahead = (0..listeners)
            .filter(|l| self.worth(now, *l as u8) > worth)
            .count();
        let own = [
            (self.is_over(now, who.member), 4.0),
            (who.failed, 2.0),
            (!who.again, 1.0),
        ];
        let behind: f64 = own
            .iter()
            .filter(|(so, _)| *so)
            .map(|(_, by)| by / 8.0)
            .sum();
        (ahead as f64 / listeners as f64, behind / listeners as f64)
    }

    /// Utility for the room taken, where all listeners have told what they take lately; else utility, or nothing.
    fn worth(&self, now: Duration, listener: u8) -> f64 {
        let at = usize::from(listener);
        let worth = self.terms.worths.get(at).copied().unwrap_or(0.0);
        if self.taken(now).any(|taken| taken.is_none()) {
            return if self.terms.by_worth { worth } else { 1.0 };
        }
        worth / self.takes.get(at).map_or(1.0, |take| take.mean)
    }

    fn is_over(&self, now: Duration, member: u16) -> bool {
        let portion = self
            .terms
            .portions
            .get(usize::from(member))
            .copied()
            .unwrap_or(0.0);
        let all = self.all.now(now, SHARES);
        let own = self
            .members
            .get(usize::from(member))
            .map_or(0.0, |own| own.now(now, SHARES));
        portion > 0.0 && all >= FEW && own > (portion + OVER) * all
    }

    fn admitted(&mut self, now: Duration, who: AdmissionRequest) {
        self.all.add(now, SHARES);
        let own = self.members.get_mut(usize::from(who.member));
        own.into_iter().for_each(|own| own.add(now, SHARES));
    }

    fn reason(
        &self,
        now: Duration,
        pace: f64,
        who: AdmissionRequest,
        place: (f64, f64),
    ) -> RejectReason {
        let would = |place: f64| self.level >= self.need(pace, place);
        let first = AdmissionRequest {
            again: true,
            failed: false,
            ..who
        };
        match () {
            () if !would(0.0) => RejectReason::Room,
            () if !would(place.0) => RejectReason::Worth,
            () if self.is_over(now, who.member) && !would(self.place(now, first).1 + place.0) => {
                RejectReason::Over
            }
            () if who.failed => RejectReason::Failed,
            () => RejectReason::New,
        }
    }

    /// The refused come back over the time in which room for them opens, each at a time of its own: all after the same time
    /// would be the same wave again.
    fn come_back(&mut self, now: Duration, pace: f64) -> Duration {
        let longest = self.terms.longest.as_secs_f64();
        let over = self.refused.now(now, CROWD) / pace.max(0.1);
        let at = SOON + over.clamp(SOON, longest.max(SOON)) * self.chance.random::<f64>();
        Duration::from_secs_f64(at.min(longest))
    }
}
