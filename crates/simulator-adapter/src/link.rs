//! The table of instances, and the door at which the wire's ids become small indices.

use crate::frame::{self, ACTION, Address, ENTRY, EVENT, Fields, Head, Record};
use asterramp_placement::event::{
    Endpoint, EndpointState, EndpointUpdate, Load, Observation, Outcome, ServerId, SessionId,
    SessionRequest,
};
use asterramp_placement::settings::{self, LoadReportFormat};
use asterramp_placement::{Action, Event, PlacementEngine};
use rustc_hash::FxHashMap;
use std::time::Duration;

#[derive(Default)]
pub struct Link {
    instances: FxHashMap<u16, Instance>,
    actions: Vec<Action>,
}

/// One proxy: its decisions and its door. Dropped whole when the proxy is killed.
struct Instance {
    choice: PlacementEngine,
    listeners: usize,
    reports: LoadReportFormat,
    door: Door,
}

#[derive(Default)]
struct Door {
    sessions: FxHashMap<u64, SessionId>,
    handles: Vec<u64>,
    free: Vec<SessionId>,
    servers: FxHashMap<Address, ServerId>,
    addresses: Vec<Address>,
}

impl Door {
    fn admit(&mut self, handle: u64) -> SessionId {
        let sess = self.free.pop().unwrap_or_else(|| {
            self.handles.push(0);
            (self.handles.len() - 1) as SessionId
        });
        self.handles[sess as usize] = handle;
        self.sessions.insert(handle, sess);
        sess
    }

    fn forget(&mut self, sess: SessionId) {
        self.sessions.remove(&self.handles[sess as usize]);
        self.free.push(sess);
    }

    fn server(&mut self, address: Address) -> ServerId {
        *self.servers.entry(address).or_insert_with(|| {
            self.addresses.push(address);
            (self.addresses.len() - 1) as ServerId
        })
    }
}

impl Link {
    /// Answers one batch; `body` is what follows its header.
    pub fn answer(&mut self, head: &Head, body: &[u8], reply: &mut Vec<u8>) -> Result<(), String> {
        let (records, tail) = body.split_at(head.records * EVENT);
        let now = Duration::from_micros(head.clock);
        reply.resize(frame::REPLY_HEAD, 0);
        for (nth, record) in records.chunks_exact(EVENT).enumerate() {
            let at = Fields(record);
            self.event(at, tail, now, reply)
                .map_err(|what| format!("record {nth} (code {}): {what}", at.u8(0)))?;
        }
        frame::seal(reply, head.number);
        Ok(())
    }

    fn event(
        &mut self,
        at: Fields,
        tail: &[u8],
        now: Duration,
        reply: &mut Vec<u8>,
    ) -> Result<(), String> {
        let (code, id) = (at.u8(0), at.u16(1));
        match code {
            ATTACH => {
                let text = std::str::from_utf8(at.tail(11, 1, tail)?)
                    .map_err(|e| format!("settings: {e}"))?;
                let setup = settings::read(text.lines().filter_map(|line| line.split_once('=')))?;
                let (listeners, reports) = (setup.listeners.len(), setup.load_reports);
                let choice = PlacementEngine::new(setup.deployment, at.u64(3));
                self.instances.insert(
                    id,
                    Instance {
                        choice,
                        listeners,
                        reports,
                        door: Door::default(),
                    },
                );
                return Ok(());
            }
            TEARDOWN => {
                self.instances.remove(&id);
                return Ok(());
            }
            _ => {}
        }
        let instance = self
            .instances
            .get_mut(&id)
            .ok_or_else(|| format!("instance {id} was never started"))?;
        if let Some(event) = instance.read(code, at, tail)? {
            instance.choice.handle(now, event, &mut self.actions);
            for action in self.actions.drain(..) {
                instance.door.write(id, action, reply);
            }
        }
        Ok(())
    }
}

const ATTACH: u8 = 10;
const VIEW: u8 = 20;
const INGRESS: u8 = 30;
const BEGUN: u8 = 40;
const RESOLVED: u8 = 50;
const VANISHED: u8 = 60;
const RING: u8 = 70;
const CHECK_RESULT: u8 = 80;
const MEMO: u8 = 90;
const TEARDOWN: u8 = 100;
const TAKEN_OVER: u8 = 110;
const HEARTBEAT: u8 = 120;

/// Of an arrival's attributes: the client returned after a break or a move.
const AGAIN: u8 = 16;

const TIMER: u8 = 50;
const MOVE: u8 = 70;
const BUSY: u8 = 40;
const OBSERVE: u8 = 90;
const ATTEMPT: u8 = 100;
const FAIL: u8 = 110;
const TEST: u8 = 120;
const ABORT_ATTEMPT: u8 = 130;

impl Instance {
    /// An event in the module's terms; `None` where it concerns nothing that the instance still holds.
    fn read(&mut self, code: u8, at: Fields, tail: &[u8]) -> Result<Option<Event>, String> {
        let known = |door: &Door| door.sessions.get(&at.u64(3)).copied();
        Ok(match code {
            VIEW => Some(Event::Endpoints(self.roster(at, tail)?)),
            INGRESS => {
                let sess = self.fresh(at)?;
                Some(Event::SessionRequested(arrival(sess, at)))
            }
            TAKEN_OVER => {
                let sess = self.fresh(at)?;
                Some(Event::SessionInherited(
                    arrival(sess, at),
                    self.door.server(at.address(43)),
                ))
            }
            BEGUN => known(&self.door).map(|sess| Event::SessionOpened {
                session: sess,
                dial: at.u8(11),
            }),
            RESOLVED => known(&self.door).map(|sess| Event::AttemptEnded {
                session: sess,
                dial: at.u8(11),
                outcome: outcome(at.u16(18)),
                session_over: at.u8(24) != 0,
                load: self.load(at, 25),
            }),
            VANISHED => known(&self.door).map(|sess| Event::ClientLeft { session: sess }),
            HEARTBEAT => {
                let amount = f64::from(at.f32(12));
                let note = match at.u8(11) {
                    1 => Some(Observation::Work(amount)),
                    2 => Duration::try_from_secs_f64(amount / 1e3)
                        .ok()
                        .map(Observation::Delay),
                    _ => None,
                };
                let server = self.door.servers.get(&at.address(16)).copied();
                known(&self.door)
                    .zip(server)
                    .zip(note)
                    .map(|((sess, server), note)| Event::Observed {
                        session: sess,
                        server,
                        observation: note,
                    })
            }
            CHECK_RESULT => self
                .door
                .servers
                .get(&at.address(3))
                .map(|server| Event::ProbeEnded {
                    server: *server,
                    outcome: outcome(at.u16(9)),
                    load: self.load(at, 15),
                }),
            RING => Some(Event::Tick),
            MEMO => {
                at.tail(5, 1, tail)?;
                None
            }
            other => return Err(format!("unknown event code {other}")),
        })
    }

    /// The index of a session that comes in.
    fn fresh(&mut self, at: Fields) -> Result<SessionId, String> {
        let (handle, listener) = (at.u64(3), at.u8(11));
        if usize::from(listener) >= self.listeners {
            return Err(format!("byte 11: no listener {listener} in the settings"));
        }
        if self.door.sessions.contains_key(&handle) {
            return Err(format!("byte 3: session {handle} arrives twice"));
        }
        Ok(self.door.admit(handle))
    }

    fn roster(&mut self, at: Fields, tail: &[u8]) -> Result<EndpointUpdate, String> {
        let bytes = at.tail(8, ENTRY, tail)?;
        let mut entries = Vec::with_capacity(bytes.len() / ENTRY);
        for (nth, line) in bytes.chunks_exact(ENTRY).enumerate() {
            let line = Fields(line);
            let address = line.address(0);
            let mut mark = [0; 8];
            mark[..6].copy_from_slice(&address);
            let started = line.u64(16);
            entries.push(Endpoint {
                load_per_connection: None,
                server: self.door.server(address),
                hash_key: u64::from_le_bytes(mark),
                zone: line.u8(6),
                cell: line.u16(9),
                state: match line.u8(11) {
                    0 => EndpointState::Gone,
                    1 => EndpointState::Ready,
                    2 => EndpointState::Draining,
                    other => return Err(format!("entry {nth}: unknown state {other}")),
                },
                weight: f64::from(line.f32(12)),
                started_at: (started != 0).then(|| Duration::from_micros(started)),
            });
        }
        Ok(match at.u8(7) {
            0 => EndpointUpdate::Changes(entries),
            1 => EndpointUpdate::Complete(entries),
            2 => EndpointUpdate::Stale(entries),
            3 => EndpointUpdate::Failed,
            other => return Err(format!("unknown list mode {other}")),
        })
    }

    fn load(&self, at: Fields, from: usize) -> Load {
        let count = usize::from(at.u8(from)).min(4);
        self.reports
            .load(|place, _| (place < count).then(|| f64::from(at.f32(from + 1 + 4 * place))))
    }
}

fn arrival(sess: SessionId, at: Fields) -> SessionRequest {
    SessionRequest {
        session: sess,
        listener: at.u8(11),
        tenant: at.u16(12),
        group: Some(at.u64(34)).filter(|g| *g != 0),
        hash_key: at.u64(14),
        reconnecting: at.u8(42) & AGAIN != 0,
        dial_timeout: Duration::from_micros(at.u64(22)),
    }
}

fn outcome(code: u16) -> Outcome {
    match code {
        0 => Outcome::Ok,
        2 => Outcome::Full,
        3 => Outcome::TimedOut,
        4 => Outcome::Unreachable,
        5 => Outcome::Reset,
        6 => Outcome::CalledOff,
        7 => Outcome::NeverSent,
        _ => Outcome::Erred,
    }
}

fn micros(span: Duration) -> [u8; 4] {
    u32::try_from(span.as_micros())
        .unwrap_or(u32::MAX)
        .to_le_bytes()
}

impl Door {
    fn write(&mut self, id: u16, action: Action, reply: &mut Vec<u8>) {
        let about = |code, sess: SessionId| {
            Record::new(code, id).put(3, self.handles[sess as usize].to_le_bytes())
        };
        let record = match action {
            Action::Dial {
                session: sess,
                server,
                timeout: time_out,
                ..
            } => about(ATTEMPT, sess)
                .put(11, self.addresses[server as usize])
                .put(17, micros(time_out)),
            Action::Cancel {
                session: sess,
                dial,
            } => about(ABORT_ATTEMPT, sess).put(11, [dial]),
            Action::Reject {
                session: sess,
                retry_after: come_back,
            } => about(BUSY, sess).put(11, micros(come_back)),
            Action::Fail { session: sess } => about(FAIL, sess),
            Action::Migrate { session: sess } => about(MOVE, sess),
            Action::Probe { server } => {
                Record::new(TEST, id).put(3, self.addresses[server as usize])
            }
            Action::PollEndpoints => Record::new(OBSERVE, id).put(3, [1]),
            Action::SetTimer { after } => Record::new(TIMER, id).put(3, micros(after)),
            Action::Forget { session: sess } => return self.forget(sess),
        };
        record.append(reply);
    }
}

/// Records stand back to back, so a reply's size tells their number.
const _: () = assert!(ACTION == 24);
