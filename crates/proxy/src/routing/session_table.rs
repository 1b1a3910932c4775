//! Between the module and the lives of sessions: carries what happens to the one and what it decides to the
//! other. No I/O; what is to be done on sockets waits in `effects`, in order, for whoever drives it.

use super::session_state::{Effect, Input, Life, Stage};
use super::zones::{Places, Turn};
use crate::injected_fault::{Plant, planted};
use crate::transport::{Key, Slots};
use asterramp_placement::event::{Arrival, ServerId, SessId};
use asterramp_placement::{Action, Choice, Deployment, Event};
use std::collections::VecDeque;
use std::time::Duration;

/// Something to do, for a session or for none.
#[derive(Clone, Debug)]
pub enum Task {
    For(Key, Effect),
    Probe(ServerId),
    /// Discovery is to be asked, where it answers only when asked.
    Subscribe,
    /// What is made of a whole place has changed.
    Turned(Turn),
    /// A `Tick` is due after so long.
    Wake(Duration),
}

/// A session's life, and what its driver keeps with it.
#[derive(Clone, Debug)]
pub struct Held<T> {
    pub life: Life,
    pub own: T,
}

#[derive(Clone, Debug)]
pub struct Exchange<T> {
    pub choice: Choice,
    /// A slot's number is the module's index of the session.
    pub sessions: Slots<Held<T>>,
    connect_within: Duration,
    /// What is made of whole places, where there are several.
    pub places: Option<Places>,
    turns: Vec<Turn>,
    events: VecDeque<Event>,
    tasks: VecDeque<Task>,
    actions: Vec<Action>,
    effects: Vec<Effect>,
}

impl<T> Exchange<T> {
    pub fn new(facts: Deployment, nonce: u64, connect_within: Duration) -> Exchange<T> {
        Exchange {
            choice: Choice::new(facts, nonce),
            sessions: Slots::default(),
            connect_within,
            places: None,
            turns: Vec::new(),
            events: VecDeque::new(),
            tasks: VecDeque::new(),
            actions: Vec::new(),
            effects: Vec::new(),
        }
    }

    /// A session begins. The module hears of one that was open before only once it is up again.
    pub fn arrive(&mut self, now: Duration, arrival: Arrival, restored: bool, own: T) -> Key {
        let life = Life::new(now, arrival, restored, self.connect_within);
        let key = self.sessions.insert(Held { life, own });
        if let Some(held) = self.sessions.get_mut(key) {
            held.life.arrival.sess = key.slot;
            if restored {
                self.tasks.push_back(Task::For(key, Effect::Restore));
            } else {
                let arrival = held.life.arrival;
                self.events.push_back(Event::Arrived(arrival));
            }
        }
        self.settle(now);
        key
    }

    /// One begins that is open already.
    pub fn adopt(&mut self, now: Duration, life: Life, own: T) -> Key {
        let key = self.sessions.insert(Held { life, own });
        if let Some(held) = self.sessions.get_mut(key) {
            held.life.arrival.sess = key.slot;
            self.events
                .push_back(Event::Inherited(held.life.arrival, held.life.to));
        }
        self.settle(now);
        key
    }

    /// Something happens to a session; nothing, if it is forgotten.
    pub fn input(&mut self, now: Duration, sess: Key, input: Input) {
        self.step(now, sess, input);
        self.settle(now);
    }

    /// The client of a session was found to have gone, or to have spoken, right before something would be sent for it.
    /// Whether nothing is to be sent.
    pub fn found_gone(&mut self, now: Duration, sess: Key, how: Input) -> bool {
        if planted(Plant::GoneDialled) {
            return false;
        }
        self.input(now, sess, how);
        true
    }

    /// Something that is no session's own: the roster, a probe's answer, a tick.
    pub fn event(&mut self, now: Duration, event: Event) {
        let dials = |held: &Held<T>| {
            matches!(
                held.life.stage,
                Stage::Connecting | Stage::Asked | Stage::Sent
            )
        };
        if planted(Plant::DrainMidDialLost)
            && matches!(event, Event::Roster(_))
            && self.sessions.iter().any(|(_, held)| dials(held))
        {
            return;
        }
        self.events.push_back(event);
        self.settle(now);
    }

    /// An open connection's server has left a line without an answer for long, or has said something.
    pub fn line(&mut self, now: Duration, sess: Key, answered: bool) {
        let to = self.sessions.get(sess).map(|held| held.life.to);
        if let (Some(places), Some(to)) = (&mut self.places, to) {
            match answered {
                true => places.sites.sound(now, to),
                false => places.sites.sign(now, to),
            }
            self.settle(now);
        }
    }

    /// Discovery lives, though it has nothing new to tell.
    pub fn discovery_lives(&mut self, now: Duration) {
        if let Some(places) = &mut self.places {
            places.sites.told(now);
            self.settle(now);
        }
    }

    /// The next thing to do. Whoever carries out a `Forget` takes the session out; its slot is not used again
    /// before.
    pub fn task(&mut self) -> Option<Task> {
        self.tasks.pop_front()
    }

    fn step(&mut self, now: Duration, sess: Key, input: Input) {
        let Some(held) = self.sessions.get_mut(sess) else {
            return;
        };
        let mut effects = std::mem::take(&mut self.effects);
        held.life.step(now, input, &mut effects);
        for effect in effects.drain(..) {
            match effect {
                Effect::Tell(event) => self.events.push_back(event),
                effect => self.tasks.push_back(Task::For(sess, effect)),
            }
        }
        self.effects = effects;
    }

    /// What is decided of places is for the module to hear, and what changed for the log.
    fn heed_places(&mut self) {
        if let Some(places) = &mut self.places {
            places.decide(&mut self.events, &mut self.turns);
            self.tasks.extend(self.turns.drain(..).map(Task::Turned));
        }
    }

    /// Tells the module until it has no more to decide.
    fn settle(&mut self, now: Duration) {
        self.heed_places();
        while let Some(event) = self.events.pop_front() {
            if let Some(places) = &mut self.places {
                let to = match event {
                    Event::Began { sess, .. } | Event::Ended { sess, .. } => self.sessions.at(sess),
                    _ => None,
                };
                let to = to
                    .and_then(|key| self.sessions.get(key))
                    .map(|held| held.life.to);
                places.hears(now, &event, to);
            }
            self.heed_places();
            let mut actions = std::mem::take(&mut self.actions);
            self.choice.handle(now, event, &mut actions);
            actions.drain(..).for_each(|action| self.act(now, action));
            self.actions = actions;
        }
    }

    fn act(&mut self, now: Duration, action: Action) {
        let (sess, input) = match action {
            Action::Dial {
                sess,
                server,
                time_out,
                within,
            } => (
                sess,
                Input::Dial {
                    server,
                    time_out,
                    within,
                },
            ),
            Action::CallOff { sess, .. } => (sess, Input::CallOff),
            Action::Refuse { sess, come_back } => (sess, Input::Refuse { come_back }),
            Action::TearDown { sess } => (sess, Input::TearDown),
            Action::Move { sess } => (sess, Input::Move),
            Action::Forget { sess } => {
                let key = self.known(sess).filter(|_| !planted(Plant::Kept));
                return self
                    .tasks
                    .extend(key.map(|key| Task::For(key, Effect::Forget)));
            }
            Action::Probe { server } => return self.tasks.push_back(Task::Probe(server)),
            Action::Wake { after } => return self.tasks.push_back(Task::Wake(after)),
            Action::Subscribe => return self.tasks.push_back(Task::Subscribe),
        };
        self.known(sess)
            .into_iter()
            .for_each(|key| self.step(now, key, input));
    }

    /// The session that the module knows by this index.
    fn known(&self, sess: SessId) -> Option<Key> {
        self.sessions.at(sess)
    }
}
