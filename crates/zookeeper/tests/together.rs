//! Sessions against the stand-in store, over a network that is a list, with a clock that tests move.
#![allow(
    missing_docs,
    unreachable_pub,
    missing_debug_implementations,
    rust_2018_idioms
)] // Not yet brought to the workspace lints.
#![allow(clippy::too_many_lines, clippy::cognitive_complexity)] // Not yet brought to the workspace lints.

use asterramp_zookeeper::frame::Frames;
use asterramp_zookeeper::record::{ANY, Change, Refused, Request};
use asterramp_zookeeper::session::{self, Answer, Session, State, Terms};
use asterramp_zookeeper::store::{Conn, Effect, Store};
use std::time::Duration;
use test_case::test_case;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

struct Client {
    session: Session,
    conn: Option<Conn>,
    frames: Frames,
    /// Its process is stopped: it does nothing, and nothing reaches it.
    sleeps: bool,
    /// What it was told, but for what the network is for.
    heard: Vec<session::Effect>,
}

struct Net {
    now: Duration,
    store: Store,
    /// Whether connections to the store come up and say anything.
    reaches: bool,
    conns: Conn,
    clients: Vec<Client>,
}

impl Net {
    fn new(clients: usize) -> Net {
        let mut net = Net {
            now: ms(0),
            store: Store::new(ms(500), ms(60_000)),
            reaches: true,
            conns: 1,
            clients: Vec::new(),
        };
        for seed in 0..clients {
            let mut out = Vec::new();
            let terms = Terms {
                addresses: 2,
                timeout: ms(3_000),
                auth: None,
            };
            let session = Session::new(net.now, terms, seed as u64 + 1, &mut out);
            let client = Client {
                session,
                conn: None,
                frames: Frames::default(),
                sleeps: false,
                heard: Vec::new(),
            };
            net.clients.push(client);
            net.carry(seed, out);
        }
        net
    }

    /// Carries out what a client wants done.
    fn carry(&mut self, nth: usize, effects: Vec<session::Effect>) {
        for effect in effects {
            match effect {
                session::Effect::Connect(_) => {
                    if !self.reaches {
                        self.event(nth, |session, now, out| session.broken(now, out));
                        continue;
                    }
                    self.conns += 1;
                    self.clients[nth].conn = Some(self.conns);
                    self.clients[nth].frames = Frames::default();
                    self.event(nth, |session, now, out| session.connected(now, out));
                }
                session::Effect::Send(bytes) => self.arrive(nth, &bytes),
                session::Effect::Drop => {
                    if let Some(conn) = self.clients[nth].conn.take() {
                        self.store.gone(conn);
                    }
                }
                other => self.clients[nth].heard.push(other),
            }
        }
    }

    fn event(
        &mut self,
        nth: usize,
        act: impl FnOnce(&mut Session, Duration, &mut Vec<session::Effect>),
    ) {
        let mut out = Vec::new();
        act(&mut self.clients[nth].session, self.now, &mut out);
        self.carry(nth, out);
    }

    /// A client's bytes at the store.
    fn arrive(&mut self, nth: usize, bytes: &[u8]) {
        let Some(conn) = self.clients[nth].conn.filter(|_| self.reaches) else {
            return;
        };
        self.clients[nth].frames.push(bytes);
        while let Some(frame) = self.clients[nth].frames.take().unwrap().map(<[u8]>::to_vec) {
            let mut out = Vec::new();
            self.store.frame(self.now, conn, &frame, &mut out).unwrap();
            self.deliver(out);
        }
    }

    /// What the store wants done.
    fn deliver(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            let conn = match &effect {
                Effect::Send(conn, _) | Effect::Close(conn) => *conn,
            };
            let awake = |c: &Client| c.conn == Some(conn) && !c.sleeps;
            let Some(nth) = self.clients.iter().position(awake) else {
                continue;
            };
            match effect {
                Effect::Send(_, frame) => {
                    let mut bytes = (frame.len() as u32).to_be_bytes().to_vec();
                    bytes.extend(frame);
                    self.event(nth, |session, now, out| session.bytes(now, &bytes, out));
                }
                Effect::Close(_) => {
                    self.clients[nth].conn = None;
                    self.event(nth, |session, now, out| session.broken(now, out));
                }
            }
        }
    }

    /// Lets time go by in small steps.
    fn pass(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += ms(10);
            let mut out = Vec::new();
            self.store.tick(self.now, &mut out);
            self.deliver(out);
            for nth in 0..self.clients.len() {
                if self.clients[nth].session.due() <= self.now && !self.clients[nth].sleeps {
                    self.event(nth, |session, now, out| session.tick(now, out));
                }
            }
        }
    }

    /// Asks and hears the answer.
    fn ask(&mut self, nth: usize, request: Request) -> Result<Answer, Refused> {
        let mut asked = None;
        self.event(nth, |session, now, out| {
            asked = session.ask(now, request, out)
        });
        let asked = asked.expect("a session stands");
        let heard = &mut self.clients[nth].heard;
        let at = heard
            .iter()
            .position(|e| matches!(e, session::Effect::Answered { xid, .. } if *xid == asked));
        match heard.remove(at.expect("an answer")) {
            session::Effect::Answered { answer, .. } => answer,
            _ => unreachable!(),
        }
    }

    fn children(&mut self, nth: usize, path: &str) -> Vec<String> {
        match self.ask(
            nth,
            Request::GetChildren {
                path: path.into(),
                watch: true,
            },
        ) {
            Ok(Answer::Children(children, _)) => children,
            other => panic!("{other:?}"),
        }
    }

    /// Changes that a client was told, since it was last looked at.
    fn told(&mut self, nth: usize) -> Vec<(Change, String)> {
        let heard = std::mem::take(&mut self.clients[nth].heard);
        let told = heard.into_iter().filter_map(|e| match e {
            session::Effect::Told(told) => Some((told.what, told.path)),
            _ => None,
        });
        told.collect()
    }

    fn heard(&self, nth: usize, effect: &session::Effect) -> usize {
        self.clients[nth]
            .heard
            .iter()
            .filter(|e| *e == effect)
            .count()
    }
}

fn create(path: &str, ephemeral: bool) -> Request {
    Request::Create {
        path: path.into(),
        data: b"{}".to_vec(),
        ephemeral,
    }
}

/// Two hosts that keep nodes, and a third client that watches.
fn site() -> Net {
    let mut net = Net::new(3);
    net.ask(2, create("/hosts", false)).unwrap();
    net.ask(0, create("/hosts/a", true)).unwrap();
    net.ask(1, create("/hosts/b", true)).unwrap();
    assert_eq!(net.children(2, "/hosts"), ["a", "b"]);
    net.told(2);
    net
}

#[test]
fn a_host_that_falls_silent_loses_its_node_and_the_watcher_hears_once() {
    let mut net = site();
    // It sends no ping any more, and its connection stays open.
    net.clients[0].sleeps = true;
    net.pass(ms(2_900));
    assert_eq!(net.told(2), []);
    net.pass(ms(200));
    let heard = net.told(2);
    assert_eq!(heard, [(Change::Children, "/hosts".to_string())]);
    assert_eq!(net.children(2, "/hosts"), ["b"]);
    net.told(2);
    net.ask(
        1,
        Request::Delete {
            path: "/hosts/b".into(),
            version: ANY,
        },
    )
    .unwrap();
    assert_eq!(net.told(2).len(), 1);
    net.ask(1, create("/hosts/b", true)).unwrap();
    assert_eq!(net.told(2), [], "the watch was not set again");
}

#[test]
fn a_short_outage_keeps_sessions_nodes_and_watches() {
    let mut net = site();
    let up = net.store.sessions().count();
    net.reaches = false;
    for nth in 0..3 {
        net.event(nth, |session, now, out| session.broken(now, out));
    }
    net.pass(ms(1_000));
    net.reaches = true;
    net.pass(ms(1_500));
    assert_eq!((net.store.sessions().count(), net.store.nodes()), (up, 3));
    for nth in 0..3 {
        assert_eq!(net.heard(nth, &session::Effect::Up { new: false }), 1);
    }
    net.told(2);
    net.ask(
        0,
        Request::Delete {
            path: "/hosts/a".into(),
            version: ANY,
        },
    )
    .unwrap();
    assert_eq!(
        net.told(2),
        [(Change::Children, "/hosts".to_string())],
        "its watch was set again"
    );
}

#[test]
fn what_changed_while_a_watcher_was_away_is_told_when_it_is_back() {
    let mut net = site();
    let conn = net.clients[2].conn.take();
    net.store.gone(conn.unwrap());
    net.ask(
        0,
        Request::Delete {
            path: "/hosts/a".into(),
            version: ANY,
        },
    )
    .unwrap();
    net.event(2, |session, now, out| session.broken(now, out));
    net.pass(ms(500));
    assert_eq!(net.told(2), [(Change::Children, "/hosts".to_string())]);
    assert_eq!(net.children(2, "/hosts"), ["b"]);
}

#[test]
fn a_long_outage_ends_our_session_alone_and_it_begins_anew() {
    let mut net = site();
    net.clients[2].sleeps = true;
    net.pass(ms(3_500));
    net.clients[2].sleeps = false;
    net.pass(ms(1_000));
    assert_eq!(net.heard(2, &session::Effect::Expired), 1);
    assert_eq!(net.heard(2, &session::Effect::Up { new: true }), 1);
    assert_eq!(
        net.children(2, "/hosts"),
        ["a", "b"],
        "the hosts' sessions are their own"
    );
}

#[test]
fn closing_takes_the_node_away_at_once() {
    let mut net = site();
    net.event(0, |session, now, out| session.close(now, out));
    assert_eq!(
        (net.told(2).len(), net.clients[0].session.state()),
        (1, State::Closed)
    );
    assert_eq!(net.children(2, "/hosts"), ["b"]);
}

#[test_case(create("/hosts", false), Refused::NodeExists; "there already")]
#[test_case(create("/none/a", false), Refused::NoNode; "no parent")]
#[test_case(create("/hosts/a/x", true), Refused::NoChildrenForEphemerals; "below an ephemeral")]
#[test_case(create("hosts", false), Refused::BadArguments; "no path")]
#[test_case(Request::Delete { path: "/hosts".into(), version: ANY }, Refused::NotEmpty; "not empty")]
#[test_case(Request::Delete { path: "/hosts/a".into(), version: 7 }, Refused::BadVersion; "another version")]
#[test_case(Request::GetData { path: "/x".into(), watch: false }, Refused::NoNode; "no node")]
#[test_case(Request::Multi(vec![create("/y", false), create("/hosts", false)]), Refused::NodeExists; "a part of many")]
fn what_cannot_be_done_is_refused_and_changes_nothing(request: Request, refused: Refused) {
    let mut net = site();
    let before = net.store.nodes();
    assert_eq!(
        (net.ask(2, request), net.store.nodes()),
        (Err(refused), before)
    );
}

#[test]
fn a_node_that_is_not_there_yet_is_told_when_it_comes() {
    let mut net = site();
    let exists = Request::Exists {
        path: "/hosts/c".into(),
        watch: true,
    };
    assert_eq!(net.ask(2, exists), Err(Refused::NoNode));
    net.ask(0, create("/hosts/c", true)).unwrap();
    let told = net.told(2);
    assert_eq!(
        told,
        [
            (Change::Created, "/hosts/c".to_string()),
            (Change::Children, "/hosts".to_string())
        ]
    );
}

#[test]
fn data_changes_are_told_with_their_versions() {
    let mut net = site();
    let read = |net: &mut Net| match net.ask(
        2,
        Request::GetData {
            path: "/hosts/a".into(),
            watch: true,
        },
    ) {
        Ok(Answer::Data(data, stat)) => (data, stat.version, stat.owner != 0),
        other => panic!("{other:?}"),
    };
    assert_eq!(read(&mut net), (b"{}".to_vec(), 0, true));
    let set = Request::SetData {
        path: "/hosts/a".into(),
        data: b"[]".to_vec(),
        version: 0,
    };
    net.ask(0, set.clone()).unwrap();
    assert_eq!(net.told(2), [(Change::Data, "/hosts/a".to_string())]);
    assert_eq!(read(&mut net), (b"[]".to_vec(), 1, true));
    assert_eq!(net.ask(0, set), Err(Refused::BadVersion));
}
