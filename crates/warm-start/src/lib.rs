//! What a proxy trusts after a power loss, and in which order service returns. No I/O and no clock: words of hosts, answers
//! and deadlines come in with the time since the clock began, effects go out.
//!
//! `hosts.rs` says on whom sessions may be placed, by who told of them and how long ago; `stage.rs` how far a start has come;
//! `Recovery` is both together, as a proxy drives them.
#![allow(
    missing_docs,
    unreachable_pub,
    missing_debug_implementations,
    rust_2018_idioms
)] // Not yet brought to the workspace lints.
#![allow(clippy::too_many_lines, clippy::cognitive_complexity)] // Not yet brought to the workspace lints.

pub mod fill;
mod hosts;
#[cfg(feature = "injected-faults")]
mod injected_fault;
mod stage;

pub use hosts::{
    EndpointId, EndpointSource, EndpointTrust, EndpointTrustState, InformationAge, TrustLevel, age,
    trust,
};
#[cfg(feature = "injected-faults")]
pub use injected_fault::InjectedFault;
pub use stage::{StartMode, WarmStartStage};

use hosts::Wish;
use stage::{Act, Input, Machine};
use std::net::SocketAddr;
use std::time::Duration;

/// What it goes by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmStartSettings {
    /// How long discovery is waited for, then other proxies, then the first host.
    pub look: Duration,
    pub ask: Duration,
    pub probe: Duration,
    /// How long sessions are let in by degrees: what a cold host takes to warm.
    pub warm: Duration,
    /// Whether there are other proxies to ask.
    pub others: bool,
    /// Probes that may be out at once.
    pub probes: usize,
}

impl Default for WarmStartSettings {
    fn default() -> Self {
        WarmStartSettings {
            look: Duration::from_millis(500),
            ask: Duration::from_millis(500),
            probe: Duration::from_secs(2),
            warm: Duration::from_secs(9),
            others: false,
            probes: 32,
        }
    }
}

/// What there is to do, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum WarmStartEffect {
    /// Other proxies are asked what they know.
    Ask,
    /// This host is asked whether it is there.
    Probe(EndpointId),
    /// Sessions may be placed on it. Nobody told when it started, so it counts as cold from now.
    Use(EndpointId),
    /// They may not any more, or never could; why, in a few words.
    Drop(EndpointId, &'static str),
    /// How clients are let in from now on.
    Door(StartMode),
    /// The stage changed, and why.
    Turned(WarmStartStage, &'static str),
}

/// A start, from the first moment until service is as it was.
#[derive(Clone, Debug, Default)]
pub struct WarmStart {
    terms: WarmStartSettings,
    hosts: EndpointTrust,
    machine: Machine,
    effects: Vec<WarmStartEffect>,
    /// Whether hosts are asked yet.
    probing: bool,
    #[cfg(feature = "injected-faults")]
    pub injected_fault: Option<InjectedFault>,
}

impl WarmStart {
    pub fn new(now: Duration, terms: WarmStartSettings) -> WarmStart {
        let mut recovery = WarmStart {
            terms,
            ..WarmStart::default()
        };
        recovery.input(now, Input::Begun, "started");
        recovery
    }

    pub fn stage(&self) -> WarmStartStage {
        self.machine.stage
    }

    /// Since when it is in this stage.
    pub fn since(&self) -> Duration {
        self.machine.since
    }

    pub fn hosts(&self) -> &EndpointTrust {
        &self.hosts
    }

    /// What there is to do, in order.
    pub fn effects(&mut self) -> std::vec::Drain<'_, WarmStartEffect> {
        self.effects.drain(..)
    }

    /// Somebody other than discovery tells of a host; `rev` is of the list that it stood in.
    pub fn word(
        &mut self,
        now: Duration,
        id: EndpointId,
        at: SocketAddr,
        from: EndpointSource,
        age: InformationAge,
        rev: u64,
    ) {
        self.hosts.word(now, id, at, from, age, rev);
        self.heed(now);
    }

    /// Discovery tells of a host, and that sessions may be placed on it, or not.
    pub fn told(&mut self, now: Duration, id: EndpointId, at: SocketAddr, ready: bool) {
        self.hosts.told(now, id, at, ready);
        self.heed(now);
        if ready {
            self.input(now, Input::Found, "discovery tells a host");
        }
    }

    /// Discovery has told a whole list: whom it leaves out is gone. `cold` says whether most of those that it calls ready have
    /// just started.
    pub fn told_whole(&mut self, now: Duration, listed: &[EndpointId], cold: bool) {
        self.hosts.only(now, listed);
        self.heed(now);
        match cold {
            true => self.input(
                now,
                Input::ToldCold,
                "discovery tells hosts that have just started",
            ),
            false => self.input(now, Input::ToldWarm, "discovery tells hosts that are warm"),
        }
    }

    /// All other proxies have answered or cannot be reached.
    pub fn heard_others(&mut self, now: Duration) {
        self.input(now, Input::Heard, "the others have been asked");
    }

    /// A host has answered a probe, or has not.
    pub fn answered(&mut self, now: Duration, id: EndpointId, well: bool) {
        match well {
            true => self.hosts.answered(now, id),
            false => self.hosts.silent(now, id),
        }
        self.heed(now);
    }

    /// When `tick` is next wanted.
    pub fn due(&self) -> Option<Duration> {
        let hosts = if self.probing {
            self.hosts.due(self.terms.probes)
        } else {
            None
        };
        self.machine.due.into_iter().chain(hosts).min()
    }

    pub fn tick(&mut self, now: Duration) {
        if self.machine.due.is_some_and(|due| due <= now) {
            self.machine.due = None;
            self.input(now, Input::Due, "its time is over");
        }
        self.heed(now);
    }

    /// Asks whom there is to ask, and passes on what that came to.
    fn heed(&mut self, now: Duration) {
        #[cfg(feature = "injected-faults")]
        {
            self.hosts.injected_fault = self.injected_fault;
            self.machine.injected_fault = self.injected_fault;
        }
        if self.probing {
            self.hosts.ask(now, self.terms.probes);
        }
        let (mut found, mut left) = (false, false);
        for wish in self.hosts.wishes() {
            match wish {
                Wish::Ask(id) => self.effects.push(WarmStartEffect::Probe(id)),
                Wish::Use(id) => self.effects.push(WarmStartEffect::Use(id)),
                Wish::Drop(id, why) => self.effects.push(WarmStartEffect::Drop(id, why)),
                Wish::Left => {}
            }
            found |= matches!(wish, Wish::Use(_));
            left |= matches!(wish, Wish::Drop(..) | Wish::Left);
        }
        if found {
            self.input(now, Input::Found, "a host answers");
        }
        if left && self.hosts.usable() == 0 {
            self.input(now, Input::NoneLeft, "no host is left");
        }
    }

    fn input(&mut self, now: Duration, input: Input, why: &'static str) {
        let Some((turned, act)) = self.machine.step(now, input, &self.terms) else {
            return;
        };
        if turned {
            self.effects
                .push(WarmStartEffect::Turned(self.machine.stage, why));
        }
        match act {
            Act::Wait => self.effects.push(WarmStartEffect::Door(StartMode::Shut)),
            // From here on nobody is kept waiting at the door: a client's patience may be no longer than what has passed.
            Act::Ask => self.effects.extend([
                WarmStartEffect::Door(StartMode::Refused),
                WarmStartEffect::Ask,
            ]),
            Act::Probe => {
                self.probing = true;
                self.effects.push(WarmStartEffect::Door(StartMode::Refused));
                self.heed(now);
                // Discovery may have told of one before.
                if self.hosts.usable() > 0 {
                    self.input(now, Input::Found, "a host is known");
                }
            }
            Act::Refuse => {
                // Others may know by now what they did not.
                self.effects.extend(
                    (self.terms.others && self.hosts.usable() == 0).then_some(WarmStartEffect::Ask),
                );
                self.effects.push(WarmStartEffect::Door(StartMode::Refused));
                self.heed(now);
            }
            Act::Limit => {
                // Others that are known are asked on.
                self.probing = true;
                self.effects
                    .push(WarmStartEffect::Door(StartMode::ByDegrees));
                self.heed(now);
            }
            Act::Open => self.effects.push(WarmStartEffect::Door(StartMode::Open)),
        }
    }
}
