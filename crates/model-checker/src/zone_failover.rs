//! Zone failover in every order of what a proxy may observe, at small size: two zones with three servers and one with two.
//! [`ZoneFailover`], the code that serves, decides; which servers really respond is modelled here.

use crate::search::{self, Explored, Played};
use asterramp_zone_failover::{
    ServerState, ZoneEffect, ZoneFailover, ZoneFailoverSettings, ZoneState,
};
use std::time::Duration;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Round figures, so that different orders of steps lead to equal worlds.
const SETTINGS: ZoneFailoverSettings = ZoneFailoverSettings {
    suspicion_timeout: ms(2_000),
    probe_interval: ms(1_000),
    hold_down: ms(2_000),
    hold_down_max: ms(4_000),
    recovery_ramp: ms(3_000),
    discovery_delay: ms(2_000),
    in_flight_timeout: ms(0),
    probing_allowed: true,
};
const STEP: Duration = ms(500);
/// Place of each server.
const PLACES: [u8; 8] = [0, 0, 0, 1, 1, 1, 2, 2];
const COUNT: u8 = 3;
/// Within how long all is as before once everybody answers: the longest hold, looks, and a return by degrees.
const SETTLES: u32 = 24;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// A dial, probe or line at that server, which answers it or not.
    Meets(u32),
    /// All servers of a place stop answering, or answer again.
    Cut(u8),
    /// One server does.
    Fails(u32),
    /// Discovery calls a place's servers gone, or ready and started anew.
    Told(u8),
    /// Half a second.
    Passes,
}

#[derive(Clone, Debug)]
struct World {
    failover: ZoneFailover,
    now: Duration,
    answers: [bool; 8],
    listed: [bool; 3],
    /// Of each server: silent since its last answer; of each place: the signs since its last answer, by servers.
    silent: [bool; 8],
    signs: [u8; 3],
    /// Of each place: when it last answered, and the first of those signs.
    heard: [Duration; 3],
    first: [Duration; 3],
    /// What each place is open for, as the module was told; when it last fell, and how often in a row.
    open: [f64; 3],
    fell: [Option<Duration>; 3],
    falls: [u32; 3],
    /// Of the present step.
    looks: usize,
    broken: Option<String>,
}

impl World {
    fn new(injected_fault: FaultChoice) -> World {
        let mut failover = ZoneFailover::new(SETTINGS, COUNT.into());
        inject_into(&mut failover, injected_fault);
        let now = ms(1_000_000);
        for (server, zone) in (0..).zip(PLACES) {
            failover.server_listed(now, server, zone, ServerState::Ready, None);
            failover.server_responded(now, server);
        }
        failover.drain_effects();
        World {
            failover,
            now,
            answers: [true; 8],
            listed: [true; 3],
            silent: [false; 8],
            signs: [0; 3],
            heard: [now; 3],
            first: [now; 3],
            open: [1.0; 3],
            fell: [None; 3],
            falls: [0; 3],
            looks: 0,
            broken: None,
        }
    }

    fn key(&self) -> String {
        let own = (
            &self.answers,
            &self.listed,
            &self.silent,
            &self.signs,
            &self.open,
            &self.falls,
        );
        let ages = (self.heard, self.first);
        let ages = [ages.0, ages.1].map(|of| of.map(|at| (self.now - at).as_millis()));
        let fell = self.fell.map(|at| at.map(|at| (self.now - at).as_millis()));
        format!(
            "{}{own:?}{fell:?}{ages:?}",
            self.failover.state_key(self.now)
        )
    }

    fn steps(&self) -> impl Iterator<Item = Step> + '_ {
        let meets = (0..8)
            .filter(|s| self.listed[usize::from(PLACES[*s as usize])])
            .map(Step::Meets);
        let places = (0..COUNT).flat_map(|place| [Step::Cut(place), Step::Told(place)]);
        meets.chain(places).chain([Step::Fails(0), Step::Passes])
    }

    fn make(&mut self, step: Step) {
        self.looks = 0;
        match step {
            Step::Meets(server) => self.meets(server),
            Step::Cut(place) => {
                let answers = !self.any_answers(place);
                for (server, of) in PLACES.into_iter().enumerate() {
                    self.answers[server] = if of == place {
                        answers
                    } else {
                        self.answers[server]
                    };
                }
            }
            Step::Fails(server) => self.answers[server as usize] ^= true,
            Step::Told(place) => {
                let ready = !self.listed[usize::from(place)];
                self.listed[usize::from(place)] = ready;
                let (standing, started) = if ready {
                    (ServerState::Ready, Some(self.now))
                } else {
                    (ServerState::Gone, None)
                };
                for (server, of) in (0..).zip(PLACES).filter(|(_, of)| *of == place) {
                    self.silent[server as usize] = false;
                    self.failover
                        .server_listed(self.now, server, of, standing, started);
                }
                self.failover.discovery_responded(self.now);
                self.carry_out();
            }
            Step::Passes => {
                self.now += STEP;
                self.failover.tick(self.now);
                self.carry_out();
            }
        }
    }

    fn any_answers(&self, place: u8) -> bool {
        (0..8).any(|server| PLACES[server] == place && self.answers[server])
    }

    fn meets(&mut self, server: u32) {
        let place = usize::from(PLACES[server as usize]);
        if self.answers[server as usize] {
            (self.silent[server as usize], self.signs[place]) = (false, 0);
            self.heard[place] = self.now;
            self.failover.server_responded(self.now, server);
        } else {
            if self.signs[place] == 0 {
                // Servers that were silent before the place was last heard show it anew.
                self.first[place] = self.now;
                (0..8)
                    .filter(|s| usize::from(PLACES[*s]) == place)
                    .for_each(|s| self.silent[s] = false);
            }
            self.signs[place] += u8::from(!self.silent[server as usize]);
            self.silent[server as usize] = true;
            self.failover.server_failed(self.now, server);
        }
        self.carry_out();
    }

    /// What is wanted is done: looks are answered within the step.
    fn carry_out(&mut self) {
        let effects: Vec<ZoneEffect> = self.failover.drain_effects().collect();
        let mut looks = Vec::new();
        for effect in effects {
            match effect {
                ZoneEffect::SetShare { zone, share } => self.opens(usize::from(zone), share),
                ZoneEffect::Probe { server } => looks.push(server),
                ZoneEffect::StateChanged { .. } => {}
            }
        }
        self.looks += looks.len();
        if self.looks > 4 * usize::from(COUNT) {
            return self.breaks(format!("{} looks in one step", self.looks));
        }
        looks.into_iter().for_each(|server| self.meets(server));
    }

    fn opens(&mut self, place: usize, part: f64) {
        let before = std::mem::replace(&mut self.open[place], part);
        if part <= 0.0 {
            let servers = PLACES
                .iter()
                .filter(|of| usize::from(**of) == place)
                .count() as u8;
            if self.signs[place] < servers.min(3) {
                self.breaks(format!(
                    "place {place} is given up at {} signs",
                    self.signs[place]
                ));
            }
            let mut others = (0..usize::from(COUNT)).filter(|other| *other != place);
            if others.all(|other| self.heard[other] < self.first[place]) {
                self.breaks(format!(
                    "place {place} is given up though nobody answers anywhere"
                ));
            }
            let soon = self.fell[place].is_some_and(|at| self.now < at + ms(20_000));
            self.falls[place] = if soon { self.falls[place] + 1 } else { 1 };
            self.fell[place] = Some(self.now);
        } else if before <= 0.0 {
            let least = if self.falls[place] > 1 {
                SETTINGS.hold_down
            } else {
                Duration::ZERO
            };
            let all = (0..usize::from(COUNT))
                .all(|other| other == place || !self.listed[other] || self.open[other] <= 0.0);
            if self.fell[place].is_some_and(|at| self.now < at + least) && !all && part < 1.0 {
                self.breaks(format!("place {place} fell again and is opened at once"));
            }
        } else if before < 0.2
            && part > 0.4
            && self.failover.zones()[place].state == ZoneState::Healthy
        {
            self.breaks(format!("place {place} goes from {before:.2} to {part:.2}"));
        }
    }

    fn breaks(&mut self, what: String) {
        self.broken.get_or_insert(what);
    }

    /// What must hold after each step.
    fn wrong(&self) -> Option<String> {
        let has = |place: &usize| self.listed[*place];
        let shut = |place: usize| self.failover.zones()[place].state.is_closed();
        let listed: Vec<usize> = (0..usize::from(COUNT)).filter(has).collect();
        let none_left = !listed.is_empty() && listed.iter().all(|place| shut(*place));
        let odd = (0..usize::from(COUNT)).find(|place| {
            let state = self.failover.zones()[*place].state;
            state == ZoneState::Healthy && self.open[*place] < 1.0
        });
        None.or(none_left.then(|| "all places are shut".to_string()))
            .or(odd.map(|place| {
                format!(
                    "place {place} is whole and open for {:.2}",
                    self.open[place]
                )
            }))
            .or_else(|| self.broken.clone())
    }

    /// What must hold of every world in which a place is cut off for good while the others answer: it is given up, by
    /// what a proxy meets once of each server and by its own looks.
    fn blind(&self) -> Option<String> {
        let mut world = self.clone();
        for place in 0..COUNT {
            if !world.listed[usize::from(place)] {
                world.make(Step::Told(place));
            }
        }
        (world.answers, world.broken) = (PLACES.map(|place| place != 0), None);
        // It may be held back, or just be opening again.
        for _ in 0..SETTLES {
            world.make(Step::Passes);
        }
        [0, 1, 2, 3]
            .into_iter()
            .for_each(|server| world.meets(server));
        let state = world.failover.zones()[0].state;
        (!state.is_closed())
            .then(|| format!("place 0 stays {} though nobody there answers", state.name()))
    }

    /// What must hold of every world that is left alone, with all servers up and answering.
    fn stuck(&self) -> Option<String> {
        let mut world = self.clone();
        (world.answers, world.broken) = ([true; 8], None);
        for place in (0..COUNT).filter(|place| !self.listed[usize::from(*place)]) {
            world.make(Step::Told(place));
        }
        for _ in 0..SETTLES {
            world.make(Step::Passes);
        }
        let left = world
            .failover
            .zones()
            .iter()
            .position(|place| place.state != ZoneState::Healthy)?;
        Some(format!(
            "place {left} stays {} though all answer",
            world.failover.zones()[left].state.name()
        ))
    }
}

#[cfg(feature = "injected-faults")]
type FaultChoice = Option<asterramp_zone_failover::InjectedFault>;
#[cfg(not(feature = "injected-faults"))]
type FaultChoice = ();

/// No injected fault.
#[cfg(feature = "injected-faults")]
pub const NONE: FaultChoice = None;
#[cfg(not(feature = "injected-faults"))]
pub const NONE: FaultChoice = ();

#[cfg(feature = "injected-faults")]
fn inject_into(failover: &mut ZoneFailover, injected_fault: FaultChoice) {
    failover.injected_fault = injected_fault;
}
#[cfg(not(feature = "injected-faults"))]
fn inject_into(_: &mut ZoneFailover, (): FaultChoice) {}

/// A place was given up, has just been used again, and falls once more.
pub const RETURNED: &[Step] = &[
    Step::Passes,
    Step::Cut(0),
    Step::Meets(0),
    Step::Meets(1),
    Step::Meets(3),
    Step::Cut(0),
    Step::Passes,
    Step::Passes,
    Step::Cut(0),
    Step::Passes,
];

/// Plays all orders of up to `depth` steps behind some that have happened.
pub fn explore(before: &[Step], depth: usize, injected_fault: FaultChoice) -> Explored<Step> {
    search::explore(World::new(injected_fault), before, depth)
}

impl Played for World {
    type Step = Step;

    fn key(&self) -> String {
        World::key(self)
    }

    fn steps(&self) -> Vec<Step> {
        World::steps(self).collect()
    }

    fn make(&mut self, step: Step) {
        World::make(self, step);
    }

    fn wrong(&self) -> Option<String> {
        World::wrong(self)
            .or_else(|| self.stuck())
            .or_else(|| self.blind())
    }
}
