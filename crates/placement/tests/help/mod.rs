//! A proxy under test: feeds events to the module and keeps what it did.

use asterramp_placement::deployment::{ColdRule, Kind, Listener};
use asterramp_placement::event::{
    Arrival, Entry, Load, Outcome, Roster, ServerId, SessId, Standing,
};
use asterramp_placement::{Action, Choice, Deployment, Event};
use std::collections::BTreeMap;
use std::time::Duration;

pub const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn deployment(kind: Kind) -> Deployment {
    let listener = Listener {
        kind,
        handshake_target: ms(800),
        message_target: Some(ms(100)),
        worth: 1.0,
    };
    Deployment {
        listeners: vec![listener],
        proxies: 1,
        cold: ColdRule {
            share: 0.25,
            warm_after: ms(20_000),
            multiple: 4.0,
            over: ms(1_500),
        },
        max_dials: 3,
        may_probe: true,
        may_call_off: true,
        come_back: ms(2_000),
        ..Deployment::default()
    }
}

pub fn entry(server: ServerId) -> Entry {
    let mark = u64::from(server) * 7919 + 13;
    Entry {
        server,
        mark,
        standing: Standing::Ready,
        weight: 1.0,
        ..Entry::default()
    }
}

pub struct Proxy {
    pub choice: Choice,
    pub now: Duration,
    pub next: SessId,
    /// Whether clients that arrive were connected before.
    pub again: bool,
    /// What servers answer to probes that sessions wait for.
    pub loads: BTreeMap<ServerId, Load>,
}

impl Proxy {
    pub fn bare(facts: Deployment, nonce: u64) -> Self {
        Proxy {
            choice: Choice::new(facts, nonce),
            now: ms(1_000_000),
            next: 0,
            again: false,
            loads: BTreeMap::new(),
        }
    }

    /// A proxy that has just started and knows the servers given.
    pub fn new(facts: Deployment, nonce: u64, servers: Vec<Entry>) -> Self {
        let mut proxy = Self::bare(facts, nonce);
        proxy.tell(Event::Roster(Roster::Stale(servers)));
        proxy
    }

    /// One with so many ready servers.
    pub fn with(facts: Deployment, servers: u32) -> Self {
        Self::new(facts, 7, (0..servers).map(entry).collect())
    }

    pub fn tell(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.choice.handle(self.now, event, &mut out);
        out
    }

    /// The same, with the probes answered that follow at once.
    pub fn settle(&mut self, event: Event) -> Vec<Action> {
        let (mut out, mut next) = (self.tell(event), 0);
        while let Some(action) = out.get(next) {
            if let Action::Probe { server } = *action {
                let load = self.loads.get(&server).copied().unwrap_or_default();
                out.extend(self.tell(Event::Probed {
                    server,
                    outcome: Outcome::Ok,
                    load,
                }));
            }
            next += 1;
        }
        out
    }

    /// Lets time pass, with the timer ringing every tenth of a second and probes answered.
    pub fn wait(&mut self, span: Duration) -> Vec<Action> {
        let (end, mut out) = (self.now + span, Vec::new());
        while self.now < end {
            self.now += ms(100);
            out.extend(self.settle(Event::Tick));
        }
        out
    }

    pub fn arrive(&mut self, group: Option<u64>) -> (SessId, Vec<Action>) {
        self.arrive_at(0, group)
    }

    pub fn arrive_at(&mut self, listener: u8, group: Option<u64>) -> (SessId, Vec<Action>) {
        let sess = self.next;
        self.next += 1;
        let dial_timeout = self.now + ms(4_800);
        let (again, item) = (self.again, u64::from(sess));
        let arrival = Arrival {
            sess,
            listener,
            item,
            group,
            dial_timeout,
            again,
            ..Arrival::default()
        };
        (sess, self.settle(Event::Arrived(arrival)))
    }

    /// A session set up on the server that was chosen.
    pub fn open(&mut self, group: Option<u64>) -> (SessId, ServerId) {
        let (sess, did) = self.arrive(group);
        let server = dialled(&did).expect("a dial");
        self.tell(Event::Began { sess, dial: 0 });
        (sess, server)
    }

    pub fn open_many(&mut self, n: usize) -> Vec<(SessId, ServerId)> {
        (0..n).map(|_| self.open(None)).collect()
    }

    pub fn end(&mut self, sess: SessId, dial: u8, outcome: Outcome, over: bool) -> Vec<Action> {
        self.settle(Event::Ended {
            sess,
            dial,
            outcome,
            over,
            load: Load::default(),
        })
    }

    pub fn probed(&mut self, server: ServerId, connections: f64, asked: f64) -> Vec<Action> {
        let load = load(connections, asked);
        self.loads.insert(server, load);
        self.tell(Event::Probed {
            server,
            outcome: Outcome::Ok,
            load,
        })
    }

    pub fn unanswered(&mut self, server: ServerId) -> Vec<Action> {
        self.tell(Event::Probed {
            server,
            outcome: Outcome::TimedOut,
            load: Load::default(),
        })
    }

    pub fn roster(&mut self, entry: Entry) -> Vec<Action> {
        self.tell(Event::Roster(Roster::Changes(vec![entry])))
    }
}

pub fn load(connections: f64, asked: f64) -> Load {
    Load {
        connections: Some(connections),
        asked: Some(asked),
    }
}

pub fn dialled(did: &[Action]) -> Option<ServerId> {
    did.iter().find_map(|a| {
        if let Action::Dial { server, .. } = a {
            Some(*server)
        } else {
            None
        }
    })
}

pub fn time_out(did: &[Action]) -> Duration {
    did.iter()
        .find_map(|a| {
            if let Action::Dial { time_out, .. } = a {
                Some(*time_out)
            } else {
                None
            }
        })
        .expect("a dial")
}

/// What a session came to: `D` dialled, `R` refused, `T` torn down, `-` nothing.
pub fn came_to(did: &[Action]) -> char {
    let letter = |a: &Action| match a {
        Action::Dial { .. } => Some('D'),
        Action::Refuse { .. } => Some('R'),
        Action::TearDown { .. } => Some('T'),
        _ => None,
    };
    did.iter().find_map(letter).unwrap_or('-')
}

pub fn count(did: &[Action], of: fn(&Action) -> bool) -> usize {
    did.iter().filter(|a| of(a)).count()
}
