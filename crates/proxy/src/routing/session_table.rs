//! All sessions of a proxy, and the placement engine that decides about them: passes the events of sessions to the
//! engine, and the engine's actions to the sessions. No I/O: what has to be done on sockets is queued as
//! [`SessionTask`]s for the driver of the table (the router, or the model checker).

use super::session_state::{SessionEffect, SessionInput, SessionMachine, SessionState};
use super::zones::{ZoneTracker, ZoneTransition};
use crate::injected_fault::{InjectedFault, is_injected};
use crate::transport::{SlotKey, SlotMap};
use asterramp_placement::event::{ServerId, SessionRequest};
use asterramp_placement::{Deployment, PlacementAction, PlacementEngine, PlacementEvent};
use std::collections::VecDeque;
use std::time::Duration;

/// Something that the driver of the table has to do.
#[derive(Clone, Debug)]
pub enum SessionTask {
    /// An effect of a session's state machine; never [`SessionEffect::Notify`], which stays in the table.
    Session(SlotKey, SessionEffect),
    /// Probe a server.
    Probe(ServerId),
    /// Request the endpoint list from discovery; only where discovery is polled.
    PollEndpoints,
    /// A zone's state has changed, for the log.
    ZoneChanged(ZoneTransition),
    /// Deliver [`PlacementEvent::Tick`] after this time, in place of any earlier timer.
    SetTimer(Duration),
}

/// A session's state machine, and the driver's data for the session.
#[derive(Clone, Debug)]
pub struct SessionSlot<T> {
    /// The session's state machine.
    pub machine: SessionMachine,
    /// The driver's own data, which the table does not read.
    pub driver_data: T,
}

/// The sessions of a proxy, by key; `T` is the driver's data for each.
#[derive(Clone, Debug)]
pub struct SessionTable<T> {
    /// Chooses the servers of sessions.
    pub engine: PlacementEngine,
    /// The sessions. The number of a session's slot is the engine's id of the session.
    pub sessions: SlotMap<SessionSlot<T>>,
    /// Timeout for the connection to a server to be established.
    connect_timeout: Duration,
    /// Zone failover; `None` in a deployment of one zone, or where it is turned off.
    pub zones: Option<ZoneTracker>,
    /// Scratch space for zone transitions, kept for its allocation.
    zone_transitions: Vec<ZoneTransition>,
    /// Events that the engine has not handled yet, oldest first.
    events: VecDeque<PlacementEvent>,
    /// Tasks that the driver has not taken yet, oldest first.
    tasks: VecDeque<SessionTask>,
    /// Scratch space for the engine's actions, kept for its allocation.
    actions: Vec<PlacementAction>,
    /// Scratch space for one session's effects, kept for its allocation.
    effects: Vec<SessionEffect>,
}

impl<T> SessionTable<T> {
    /// An empty table. `nonce` seeds the engine's random draws; `connect_timeout` is how long a connection to a server
    /// may take to be established.
    pub fn new(deployment: Deployment, nonce: u64, connect_timeout: Duration) -> SessionTable<T> {
        SessionTable {
            engine: PlacementEngine::new(deployment, nonce),
            sessions: SlotMap::default(),
            connect_timeout,
            zones: None,
            zone_transitions: Vec::new(),
            events: VecDeque::new(),
            tasks: VecDeque::new(),
            actions: Vec::new(),
            effects: Vec::new(),
        }
    }

    /// Begins a session that a client requests. For a `restored` session, which was open before this proxy started,
    /// the engine is notified only once it is open again.
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
        self.process_events(now);
        key
    }

    /// Takes over an open session from another process of this proxy.
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
        self.process_events(now);
        key
    }

    /// Puts a session into a free slot, and the slot's number into its request as the session's id.
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

    /// Handles an input for a session; ignored if the session has been removed.
    pub fn handle_input(&mut self, now: Duration, session: SlotKey, input: SessionInput) {
        self.step_session(now, session, input);
        self.process_events(now);
    }

    /// Handles a client that was found to have left, or to have sent data too early, right before something is sent to
    /// a server for it. Returns whether the sending is cancelled.
    pub fn cancel_before_send(
        &mut self,
        now: Duration,
        session: SlotKey,
        input: SessionInput,
    ) -> bool {
        if is_injected(InjectedFault::DialForGoneClient) {
            return false;
        }
        self.handle_input(now, session, input);
        true
    }

    /// Handles an event that no session's state machine emits: an endpoint list, a probe's end, an observation, a tick.
    pub fn handle_event(&mut self, now: Duration, event: PlacementEvent) {
        if is_injected(InjectedFault::ChangeDuringDialLost)
            && matches!(event, PlacementEvent::EndpointsUpdated(_))
            && self
                .sessions
                .iter()
                .any(|(_, slot)| has_dial_in_progress(slot))
        {
            return;
        }
        self.events.push_back(event);
        self.process_events(now);
    }

    /// Records for zone failover that the server of an open session sent a line (`responded`), or is overdue with a
    /// response.
    pub fn record_server_activity(&mut self, now: Duration, session: SlotKey, responded: bool) {
        let server = self.sessions.get(session).map(|slot| slot.machine.server);
        if let (Some(zones), Some(server)) = (&mut self.zones, server) {
            if responded {
                zones.failover.server_responded(now, server);
            } else {
                zones.failover.server_failed(now, server);
            }
            self.process_events(now);
        }
    }

    /// Records for zone failover that discovery responded, though without a change.
    pub fn record_discovery_activity(&mut self, now: Duration) {
        if let Some(zones) = &mut self.zones {
            zones.failover.discovery_responded(now);
            self.process_events(now);
        }
    }

    /// Takes the next task, if any. To carry out [`SessionEffect::Forget`], the driver removes the session from
    /// `sessions`; its slot is not reused before.
    pub fn next_task(&mut self) -> Option<SessionTask> {
        self.tasks.pop_front()
    }

    fn step_session(&mut self, now: Duration, session: SlotKey, input: SessionInput) {
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

    /// Queues the decisions of zone failover: events for the engine, and changes of zone states for the log.
    fn collect_zone_decisions(&mut self) {
        if let Some(zones) = &mut self.zones {
            zones.take_decisions(&mut self.events, &mut self.zone_transitions);
            self.tasks.extend(
                self.zone_transitions
                    .drain(..)
                    .map(SessionTask::ZoneChanged),
            );
        }
    }

    /// Gives the queued events to the engine and carries out its actions, until no event is left.
    fn process_events(&mut self, now: Duration) {
        self.collect_zone_decisions();
        while let Some(event) = self.events.pop_front() {
            self.notify_zone_tracker(now, &event);
            self.collect_zone_decisions();
            let mut actions = std::mem::take(&mut self.actions);
            self.engine.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.apply_action(now, action);
            }
            self.actions = actions;
        }
    }

    /// Passes an event to the zone tracker, before the engine handles it.
    fn notify_zone_tracker(&mut self, now: Duration, event: &PlacementEvent) {
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

    /// Carries out an action of the engine: as an input of its session, or as a task.
    fn apply_action(&mut self, now: Duration, action: PlacementAction) {
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
                    write_timeout,
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
            self.step_session(now, key, input);
        }
    }
}

/// Whether a dial of the session is under way.
fn has_dial_in_progress<T>(slot: &SessionSlot<T>) -> bool {
    matches!(
        slot.machine.state,
        SessionState::Connecting | SessionState::SendingRequest | SessionState::AwaitingResponse
    )
}
