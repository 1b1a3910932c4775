//! All sessions, and the placement engine that decides about them: carries what happens to sessions to the engine,
//! and the engine's actions to the sessions. No I/O: what is to be done on sockets waits as [`SessionTask`]s, in order,
//! for whoever drives the table.

use super::session_state::{SessionEffect, SessionInput, SessionMachine, SessionState};
use super::zones::{ZoneTracker, ZoneTransition};
use crate::injected_fault::{InjectedFault, is_injected};
use crate::transport::{SlotKey, SlotMap};
use asterramp_placement::event::{ServerId, SessionRequest};
use asterramp_placement::{Deployment, PlacementAction, PlacementEngine, PlacementEvent};
use std::collections::VecDeque;
use std::time::Duration;

/// Something to be done, for a session or for none.
#[derive(Clone, Debug)]
pub enum SessionTask {
    /// An effect of a session's state machine; never [`SessionEffect::Notify`], which stays in the table.
    Session(SlotKey, SessionEffect),
    /// Probe a server.
    Probe(ServerId),
    /// Ask discovery for the endpoint list, where it answers only when asked.
    PollEndpoints,
    /// A zone's state has changed, for the log.
    ZoneChanged(ZoneTransition),
    /// Give [`PlacementEvent::Tick`] after so long.
    SetTimer(Duration),
}

/// A session's state machine, and what its driver keeps with it.
#[derive(Clone, Debug)]
pub struct SessionSlot<T> {
    /// The session's state.
    pub machine: SessionMachine,
    /// The driver's own, which the table does not look at.
    pub driver_data: T,
}

/// The sessions of a proxy, by key; `T` is what the driver keeps with each.
#[derive(Clone, Debug)]
pub struct SessionTable<T> {
    /// Decides where sessions go.
    pub engine: PlacementEngine,
    /// The sessions. A slot's number is the engine's id of its session.
    pub sessions: SlotMap<SessionSlot<T>>,
    connect_timeout: Duration,
    /// The states of zones, where there are several.
    pub zones: Option<ZoneTracker>,
    /// Scratch space for zone transitions, kept for its allocation.
    transitions: Vec<ZoneTransition>,
    /// Events that the engine has not heard yet.
    events: VecDeque<PlacementEvent>,
    tasks: VecDeque<SessionTask>,
    /// Scratch space for the engine's actions.
    actions: Vec<PlacementAction>,
    /// Scratch space for one session's effects.
    effects: Vec<SessionEffect>,
}

impl<T> SessionTable<T> {
    /// An empty table. `nonce` seeds the engine's draws; `connect_timeout` is the longest that a connection to a server
    /// may take to come up.
    pub fn new(deployment: Deployment, nonce: u64, connect_timeout: Duration) -> SessionTable<T> {
        SessionTable {
            engine: PlacementEngine::new(deployment, nonce),
            sessions: SlotMap::default(),
            connect_timeout,
            zones: None,
            transitions: Vec::new(),
            events: VecDeque::new(),
            tasks: VecDeque::new(),
            actions: Vec::new(),
            effects: Vec::new(),
        }
    }

    /// A client asks for a session. The engine hears of a `restored` one, which was open before this proxy started,
    /// only once it is open again.
    pub fn start_session(
        &mut self,
        now: Duration,
        request: SessionRequest,
        restored: bool,
        driver_data: T,
    ) -> SlotKey {
        let machine = SessionMachine::new(now, request, restored, self.connect_timeout);
        let (key, request) = self.insert(machine, driver_data);
        if restored {
            self.tasks
                .push_back(SessionTask::Session(key, SessionEffect::Restore));
        } else {
            self.events
                .push_back(PlacementEvent::SessionRequested(request));
        }
        self.settle(now);
        key
    }

    /// A session begins that another process has opened already.
    pub fn inherit_session(
        &mut self,
        now: Duration,
        machine: SessionMachine,
        driver_data: T,
    ) -> SlotKey {
        let server = machine.server;
        let (key, request) = self.insert(machine, driver_data);
        self.events
            .push_back(PlacementEvent::SessionInherited(request, server));
        self.settle(now);
        key
    }

    /// Puts a session into a slot and its number into the request.
    fn insert(&mut self, machine: SessionMachine, driver_data: T) -> (SlotKey, SessionRequest) {
        let mut request = machine.request;
        let key = self.sessions.insert(SessionSlot {
            machine,
            driver_data,
        });
        request.session = key.slot;
        if let Some(slot) = self.sessions.get_mut(key) {
            slot.machine.request = request;
        }
        (key, request)
    }

    /// Something happens to a session; ignored if the session is gone.
    pub fn handle_input(&mut self, now: Duration, session: SlotKey, input: SessionInput) {
        self.step(now, session, input);
        self.settle(now);
    }

    /// The client of a session was found to have left, or to have spoken, right before something would be sent for
    /// it. Whether nothing is to be sent.
    pub fn cancel_before_send(
        &mut self,
        now: Duration,
        session: SlotKey,
        how: SessionInput,
    ) -> bool {
        if is_injected(InjectedFault::DialForGoneClient) {
            return false;
        }
        self.handle_input(now, session, how);
        true
    }

    /// Something happens that is no session's own: the endpoint list, a probe's answer, a tick.
    pub fn handle_event(&mut self, now: Duration, event: PlacementEvent) {
        if is_injected(InjectedFault::ChangeDuringDialLost)
            && matches!(event, PlacementEvent::EndpointsUpdated(_))
            && self.sessions.iter().any(|(_, slot)| is_dialling(slot))
        {
            return;
        }
        self.events.push_back(event);
        self.settle(now);
    }

    /// The server of an open session has sent a line (`answered`), or has left a line without an answer for long.
    pub fn record_server_activity(&mut self, now: Duration, session: SlotKey, answered: bool) {
        let server = self.sessions.get(session).map(|slot| slot.machine.server);
        if let (Some(zones), Some(server)) = (&mut self.zones, server) {
            if answered {
                zones.failover.server_responded(now, server);
            } else {
                zones.failover.server_failed(now, server);
            }
            self.settle(now);
        }
    }

    /// Discovery is alive, though it has nothing new to say.
    pub fn record_discovery_activity(&mut self, now: Duration) {
        if let Some(zones) = &mut self.zones {
            zones.failover.discovery_responded(now);
            self.settle(now);
        }
    }

    /// The next thing to do, if any. Whoever carries out a [`SessionEffect::Forget`] takes the session out of
    /// `sessions`; its slot is not used again before.
    pub fn next_task(&mut self) -> Option<SessionTask> {
        self.tasks.pop_front()
    }

    fn step(&mut self, now: Duration, session: SlotKey, input: SessionInput) {
        let Some(slot) = self.sessions.get_mut(session) else {
            return;
        };
        let mut effects = std::mem::take(&mut self.effects);
        slot.machine.step(now, input, &mut effects);
        for effect in effects.drain(..) {
            match effect {
                SessionEffect::Notify(event) => self.events.push_back(event),
                effect => self.tasks.push_back(SessionTask::Session(session, effect)),
            }
        }
        self.effects = effects;
    }

    /// Queues what was decided of zones: events for the engine, changes of state for the log.
    fn collect_zone_decisions(&mut self) {
        if let Some(zones) = &mut self.zones {
            zones.take_decisions(&mut self.events, &mut self.transitions);
            self.tasks
                .extend(self.transitions.drain(..).map(SessionTask::ZoneChanged));
        }
    }

    /// Gives the engine events and carries out its actions until there are no more of either.
    fn settle(&mut self, now: Duration) {
        self.collect_zone_decisions();
        while let Some(event) = self.events.pop_front() {
            self.show_zones(now, &event);
            self.collect_zone_decisions();
            let mut actions = std::mem::take(&mut self.actions);
            self.engine.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.apply(now, action);
            }
            self.actions = actions;
        }
    }

    /// Lets the zone tracker see an event before the engine does.
    fn show_zones(&mut self, now: Duration, event: &PlacementEvent) {
        let Some(zones) = &mut self.zones else {
            return;
        };
        let key = match event {
            PlacementEvent::SessionOpened { session, .. }
            | PlacementEvent::AttemptEnded { session, .. } => self.sessions.key_at(*session),
            _ => None,
        };
        let server = key
            .and_then(|key| self.sessions.get(key))
            .map(|slot| slot.machine.server);
        zones.observe(now, event, server);
    }

    /// Carries out an action of the engine, on its session or as a task.
    fn apply(&mut self, now: Duration, action: PlacementAction) {
        let (session, input) = match action {
            PlacementAction::Dial {
                session,
                server,
                timeout,
                write_timeout,
            } => (
                session,
                SessionInput::Dial {
                    server,
                    timeout,
                    write_within: write_timeout,
                },
            ),
            PlacementAction::Cancel { session, .. } => (session, SessionInput::Cancel),
            PlacementAction::Reject {
                session,
                retry_after,
            } => (session, SessionInput::Reject { retry_after }),
            PlacementAction::Fail { session } => (session, SessionInput::Fail),
            PlacementAction::Migrate { session } => (session, SessionInput::Migrate),
            PlacementAction::ReleaseSession { session } => {
                if let Some(key) = self.sessions.key_at(session)
                    && !is_injected(InjectedFault::ForgottenSessionKept)
                {
                    self.tasks
                        .push_back(SessionTask::Session(key, SessionEffect::Forget));
                }
                return;
            }
            PlacementAction::Probe { server } => {
                return self.tasks.push_back(SessionTask::Probe(server));
            }
            PlacementAction::SetTimer { after } => {
                return self.tasks.push_back(SessionTask::SetTimer(after));
            }
            PlacementAction::PollEndpoints => {
                return self.tasks.push_back(SessionTask::PollEndpoints);
            }
        };
        if let Some(key) = self.sessions.key_at(session) {
            self.step(now, key, input);
        }
    }
}

/// Whether a dial of the session is under way.
fn is_dialling<T>(slot: &SessionSlot<T>) -> bool {
    matches!(
        slot.machine.state,
        SessionState::Connecting | SessionState::SendingRequest | SessionState::AwaitingResponse
    )
}
