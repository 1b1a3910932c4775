//! Between the module and the lives of sessions: carries what happens to the one and what it decides to the
//! other. No I/O; what is to be done on sockets waits in `effects`, in order, for whoever drives it.

use super::session_state::{SessionEffect, SessionInput, SessionMachine, SessionState};
use super::zones::{ZoneTracker, ZoneTransition};
use crate::injected_fault::{InjectedFault, is_injected};
use crate::transport::{Key, Slots};
use asterramp_placement::event::{ServerId, SessionId, SessionRequest};
use asterramp_placement::{Action, Deployment, Event, PlacementEngine};
use std::collections::VecDeque;
use std::time::Duration;

/// Something to do, for a session or for none.
#[derive(Clone, Debug)]
pub enum SessionTask {
    For(Key, SessionEffect),
    Probe(ServerId),
    /// Discovery is to be asked, where it answers only when asked.
    Subscribe,
    /// What is made of a whole place has changed.
    Turned(ZoneTransition),
    /// A `Tick` is due after so long.
    Wake(Duration),
}

/// A session's life, and what its driver keeps with it.
#[derive(Clone, Debug)]
pub struct SessionSlot<T> {
    pub machine: SessionMachine,
    pub driver_data: T,
}

#[derive(Clone, Debug)]
pub struct SessionTable<T> {
    pub engine: PlacementEngine,
    /// A slot's number is the module's index of the session.
    pub sessions: Slots<SessionSlot<T>>,
    connect_timeout: Duration,
    /// What is made of whole places, where there are several.
    pub zones: Option<ZoneTracker>,
    transitions: Vec<ZoneTransition>,
    events: VecDeque<Event>,
    tasks: VecDeque<SessionTask>,
    actions: Vec<Action>,
    effects: Vec<SessionEffect>,
}

impl<T> SessionTable<T> {
    pub fn new(facts: Deployment, nonce: u64, connect_within: Duration) -> SessionTable<T> {
        SessionTable {
            engine: PlacementEngine::new(facts, nonce),
            sessions: Slots::default(),
            connect_timeout: connect_within,
            zones: None,
            transitions: Vec::new(),
            events: VecDeque::new(),
            tasks: VecDeque::new(),
            actions: Vec::new(),
            effects: Vec::new(),
        }
    }

    /// A session begins. The module hears of one that was open before only once it is up again.
    pub fn arrive(
        &mut self,
        now: Duration,
        arrival: SessionRequest,
        restored: bool,
        own: T,
    ) -> Key {
        let life = SessionMachine::new(now, arrival, restored, self.connect_timeout);
        let key = self.sessions.insert(SessionSlot {
            machine: life,
            driver_data: own,
        });
        if let Some(held) = self.sessions.get_mut(key) {
            held.machine.arrival.session = key.slot;
            if restored {
                self.tasks
                    .push_back(SessionTask::For(key, SessionEffect::Restore));
            } else {
                let arrival = held.machine.arrival;
                self.events.push_back(Event::SessionRequested(arrival));
            }
        }
        self.settle(now);
        key
    }

    /// One begins that is open already.
    pub fn adopt(&mut self, now: Duration, life: SessionMachine, own: T) -> Key {
        let key = self.sessions.insert(SessionSlot {
            machine: life,
            driver_data: own,
        });
        if let Some(held) = self.sessions.get_mut(key) {
            held.machine.arrival.session = key.slot;
            self.events.push_back(Event::SessionInherited(
                held.machine.arrival,
                held.machine.to,
            ));
        }
        self.settle(now);
        key
    }

    /// Something happens to a session; nothing, if it is forgotten.
    pub fn input(&mut self, now: Duration, sess: Key, input: SessionInput) {
        self.step(now, sess, input);
        self.settle(now);
    }

    /// The client of a session was found to have gone, or to have spoken, right before something would be sent for it.
    /// Whether nothing is to be sent.
    pub fn found_gone(&mut self, now: Duration, sess: Key, how: SessionInput) -> bool {
        if is_injected(InjectedFault::GoneDialled) {
            return false;
        }
        self.input(now, sess, how);
        true
    }

    /// Something that is no session's own: the roster, a probe's answer, a tick.
    pub fn event(&mut self, now: Duration, event: Event) {
        let dials = |held: &SessionSlot<T>| {
            matches!(
                held.machine.stage,
                SessionState::Connecting | SessionState::Asked | SessionState::Sent
            )
        };
        if is_injected(InjectedFault::DrainMidDialLost)
            && matches!(event, Event::Endpoints(_))
            && self.sessions.iter().any(|(_, held)| dials(held))
        {
            return;
        }
        self.events.push_back(event);
        self.settle(now);
    }

    /// An open connection's server has left a line without an answer for long, or has said something.
    pub fn line(&mut self, now: Duration, sess: Key, answered: bool) {
        let to = self.sessions.get(sess).map(|held| held.machine.to);
        if let (Some(places), Some(to)) = (&mut self.zones, to) {
            match answered {
                true => places.failover.server_responded(now, to),
                false => places.failover.server_failed(now, to),
            }
            self.settle(now);
        }
    }

    /// Discovery lives, though it has nothing new to tell.
    pub fn discovery_lives(&mut self, now: Duration) {
        if let Some(places) = &mut self.zones {
            places.failover.discovery_responded(now);
            self.settle(now);
        }
    }

    /// The next thing to do. Whoever carries out a `Forget` takes the session out; its slot is not used again
    /// before.
    pub fn task(&mut self) -> Option<SessionTask> {
        self.tasks.pop_front()
    }

    fn step(&mut self, now: Duration, sess: Key, input: SessionInput) {
        let Some(held) = self.sessions.get_mut(sess) else {
            return;
        };
        let mut effects = std::mem::take(&mut self.effects);
        held.machine.step(now, input, &mut effects);
        for effect in effects.drain(..) {
            match effect {
                SessionEffect::Tell(event) => self.events.push_back(event),
                effect => self.tasks.push_back(SessionTask::For(sess, effect)),
            }
        }
        self.effects = effects;
    }

    /// What is decided of places is for the module to hear, and what changed for the log.
    fn heed_places(&mut self) {
        if let Some(places) = &mut self.zones {
            places.take_decisions(&mut self.events, &mut self.transitions);
            self.tasks
                .extend(self.transitions.drain(..).map(SessionTask::Turned));
        }
    }

    /// Tells the module until it has no more to decide.
    fn settle(&mut self, now: Duration) {
        self.heed_places();
        while let Some(event) = self.events.pop_front() {
            if let Some(places) = &mut self.zones {
                let to = match event {
                    Event::SessionOpened { session: sess, .. }
                    | Event::AttemptEnded { session: sess, .. } => self.sessions.at(sess),
                    _ => None,
                };
                let to = to
                    .and_then(|key| self.sessions.get(key))
                    .map(|held| held.machine.to);
                places.observe(now, &event, to);
            }
            self.heed_places();
            let mut actions = std::mem::take(&mut self.actions);
            self.engine.handle(now, event, &mut actions);
            actions.drain(..).for_each(|action| self.act(now, action));
            self.actions = actions;
        }
    }

    fn act(&mut self, now: Duration, action: Action) {
        let (sess, input) = match action {
            Action::Dial {
                session: sess,
                server,
                timeout: time_out,
                write_within: within,
            } => (
                sess,
                SessionInput::Dial {
                    server,
                    time_out,
                    within,
                },
            ),
            Action::Cancel { session: sess, .. } => (sess, SessionInput::CallOff),
            Action::Reject {
                session: sess,
                retry_after: come_back,
            } => (sess, SessionInput::Refuse { come_back }),
            Action::Fail { session: sess } => (sess, SessionInput::TearDown),
            Action::Migrate { session: sess } => (sess, SessionInput::Move),
            Action::Forget { session: sess } => {
                let key = self
                    .known(sess)
                    .filter(|_| !is_injected(InjectedFault::Kept));
                return self
                    .tasks
                    .extend(key.map(|key| SessionTask::For(key, SessionEffect::Forget)));
            }
            Action::Probe { server } => return self.tasks.push_back(SessionTask::Probe(server)),
            Action::SetTimer { after } => return self.tasks.push_back(SessionTask::Wake(after)),
            Action::PollEndpoints => return self.tasks.push_back(SessionTask::Subscribe),
        };
        self.known(sess)
            .into_iter()
            .for_each(|key| self.step(now, key, input));
    }

    /// The session that the module knows by this index.
    fn known(&self, sess: SessionId) -> Option<Key> {
        self.sessions.at(sess)
    }
}
