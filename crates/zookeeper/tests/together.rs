//! Sessions against the stand-in store, over a network that is a list, with a clock that tests move.
#![allow(
    missing_docs,
    unreachable_pub,
    missing_debug_implementations,
    rust_2018_idioms
)] // Not yet brought to the workspace lints.
#![allow(clippy::too_many_lines, clippy::cognitive_complexity)] // Not yet brought to the workspace lints.

use asterramp_zookeeper::frame::FrameReader;
use asterramp_zookeeper::record::{ANY_VERSION, StoreError, StoreRequest, WatchEventKind};
use asterramp_zookeeper::session::{
    self, ClientSession, ClientSessionSettings, ClientSessionState, StoreResponse,
};
use asterramp_zookeeper::store::{ConnectionId, StoreEffect, StubStore};
use std::time::Duration;
use test_case::test_case;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

struct Client {
    session: ClientSession,
    conn: Option<ConnectionId>,
    frames: FrameReader,
    /// Its process is stopped: it does nothing, and nothing reaches it.
    sleeps: bool,
    /// What it was told, but for what the network is for.
    heard: Vec<session::ClientSessionEffect>,
}

struct Net {
    now: Duration,
    store: StubStore,
    /// Whether connections to the store come up and say anything.
    reaches: bool,
    conns: ConnectionId,
    clients: Vec<Client>,
}

impl Net {
    fn new(clients: usize) -> Net {
        let mut net = Net {
            now: ms(0),
            store: StubStore::new(ms(500), ms(60_000)),
            reaches: true,
            conns: 1,
            clients: Vec::new(),
        };
        for seed in 0..clients {
            let mut out = Vec::new();
            let terms = ClientSessionSettings {
                address_count: 2,
                timeout: ms(3_000),
                auth: None,
            };
            let session = ClientSession::new(net.now, terms, seed as u64 + 1, &mut out);
            let client = Client {
                session,
                conn: None,
                frames: FrameReader::default(),
                sleeps: false,
                heard: Vec::new(),
            };
            net.clients.push(client);
            net.carry(seed, out);
        }
        net
    }

    /// Carries out what a client wants done.
    fn carry(&mut self, nth: usize, effects: Vec<session::ClientSessionEffect>) {
        for effect in effects {
            match effect {
                session::ClientSessionEffect::Connect(_) => {
                    if !self.reaches {
                        self.event(nth, |session, now, out| session.connection_failed(now, out));
                        continue;
                    }
                    self.conns += 1;
                    self.clients[nth].conn = Some(self.conns);
                    self.clients[nth].frames = FrameReader::default();
                    self.event(nth, |session, now, out| session.connection_opened(now, out));
                }
                session::ClientSessionEffect::Send(bytes) => self.arrive(nth, &bytes),
                session::ClientSessionEffect::CloseConnection => {
                    if let Some(conn) = self.clients[nth].conn.take() {
                        self.store.connection_closed(conn);
                    }
                }
                other => self.clients[nth].heard.push(other),
            }
        }
    }

    fn event(
        &mut self,
        nth: usize,
        act: impl FnOnce(&mut ClientSession, Duration, &mut Vec<session::ClientSessionEffect>),
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
        self.clients[nth].frames.append(bytes);
        while let Some(frame) = self.clients[nth]
            .frames
            .next_frame()
            .unwrap()
            .map(<[u8]>::to_vec)
        {
            let mut out = Vec::new();
            self.store
                .receive_frame(self.now, conn, &frame, &mut out)
                .unwrap();
            self.deliver(out);
        }
    }

    /// What the store wants done.
    fn deliver(&mut self, effects: Vec<StoreEffect>) {
        for effect in effects {
            let conn = match &effect {
                StoreEffect::Send(conn, _) | StoreEffect::CloseConnection(conn) => *conn,
            };
            let awake = |c: &Client| c.conn == Some(conn) && !c.sleeps;
            let Some(nth) = self.clients.iter().position(awake) else {
                continue;
            };
            match effect {
                StoreEffect::Send(_, frame) => {
                    let mut bytes = (frame.len() as u32).to_be_bytes().to_vec();
                    bytes.extend(frame);
                    self.event(nth, |session, now, out| session.receive(now, &bytes, out));
                }
                StoreEffect::CloseConnection(_) => {
                    self.clients[nth].conn = None;
                    self.event(nth, |session, now, out| session.connection_failed(now, out));
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
                if self.clients[nth].session.next_tick_due() <= self.now
                    && !self.clients[nth].sleeps
                {
                    self.event(nth, |session, now, out| session.tick(now, out));
                }
            }
        }
    }

    /// Asks and hears the answer.
    fn ask(&mut self, nth: usize, request: StoreRequest) -> Result<StoreResponse, StoreError> {
        let mut asked = None;
        self.event(nth, |session, now, out| {
            asked = session.request(now, request, out)
        });
        let asked = asked.expect("a session stands");
        let heard = &mut self.clients[nth].heard;
        let at = heard.iter().position(
            |e| matches!(e, session::ClientSessionEffect::Responded { xid, .. } if *xid == asked),
        );
        match heard.remove(at.expect("an answer")) {
            session::ClientSessionEffect::Responded {
                response: answer, ..
            } => answer,
            _ => unreachable!(),
        }
    }

    fn children(&mut self, nth: usize, path: &str) -> Vec<String> {
        match self.ask(
            nth,
            StoreRequest::GetChildren {
                path: path.into(),
                watch: true,
            },
        ) {
            Ok(StoreResponse::Children(children, _)) => children,
            other => panic!("{other:?}"),
        }
    }

    /// Changes that a client was told, since it was last looked at.
    fn told(&mut self, nth: usize) -> Vec<(WatchEventKind, String)> {
        let heard = std::mem::take(&mut self.clients[nth].heard);
        let told = heard.into_iter().filter_map(|e| match e {
            session::ClientSessionEffect::WatchFired(told) => Some((told.kind, told.path)),
            _ => None,
        });
        told.collect()
    }

    fn heard(&self, nth: usize, effect: &session::ClientSessionEffect) -> usize {
        self.clients[nth]
            .heard
            .iter()
            .filter(|e| *e == effect)
            .count()
    }
}

fn create(path: &str, ephemeral: bool) -> StoreRequest {
    StoreRequest::Create {
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
    assert_eq!(heard, [(WatchEventKind::Children, "/hosts".to_string())]);
    assert_eq!(net.children(2, "/hosts"), ["b"]);
    net.told(2);
    net.ask(
        1,
        StoreRequest::Delete {
            path: "/hosts/b".into(),
            version: ANY_VERSION,
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
        net.event(nth, |session, now, out| session.connection_failed(now, out));
    }
    net.pass(ms(1_000));
    net.reaches = true;
    net.pass(ms(1_500));
    assert_eq!(
        (net.store.sessions().count(), net.store.node_count()),
        (up, 3)
    );
    for nth in 0..3 {
        assert_eq!(
            net.heard(
                nth,
                &session::ClientSessionEffect::Established { new: false }
            ),
            1
        );
    }
    net.told(2);
    net.ask(
        0,
        StoreRequest::Delete {
            path: "/hosts/a".into(),
            version: ANY_VERSION,
        },
    )
    .unwrap();
    assert_eq!(
        net.told(2),
        [(WatchEventKind::Children, "/hosts".to_string())],
        "its watch was set again"
    );
}

#[test]
fn what_changed_while_a_watcher_was_away_is_told_when_it_is_back() {
    let mut net = site();
    let conn = net.clients[2].conn.take();
    net.store.connection_closed(conn.unwrap());
    net.ask(
        0,
        StoreRequest::Delete {
            path: "/hosts/a".into(),
            version: ANY_VERSION,
        },
    )
    .unwrap();
    net.event(2, |session, now, out| session.connection_failed(now, out));
    net.pass(ms(500));
    assert_eq!(
        net.told(2),
        [(WatchEventKind::Children, "/hosts".to_string())]
    );
    assert_eq!(net.children(2, "/hosts"), ["b"]);
}

#[test]
fn a_long_outage_ends_our_session_alone_and_it_begins_anew() {
    let mut net = site();
    net.clients[2].sleeps = true;
    net.pass(ms(3_500));
    net.clients[2].sleeps = false;
    net.pass(ms(1_000));
    assert_eq!(net.heard(2, &session::ClientSessionEffect::Expired), 1);
    assert_eq!(
        net.heard(2, &session::ClientSessionEffect::Established { new: true }),
        1
    );
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
        (1, ClientSessionState::Closed)
    );
    assert_eq!(net.children(2, "/hosts"), ["b"]);
}

#[test_case(create("/hosts", false), StoreError::NodeExists; "there already")]
#[test_case(create("/none/a", false), StoreError::NoNode; "no parent")]
#[test_case(create("/hosts/a/x", true), StoreError::NoChildrenForEphemerals; "below an ephemeral")]
#[test_case(create("hosts", false), StoreError::BadArguments; "no path")]
#[test_case(StoreRequest::Delete { path: "/hosts".into(), version: ANY_VERSION }, StoreError::NotEmpty; "not empty")]
#[test_case(StoreRequest::Delete { path: "/hosts/a".into(), version: 7 }, StoreError::BadVersion; "another version")]
#[test_case(StoreRequest::GetData { path: "/x".into(), watch: false }, StoreError::NoNode; "no node")]
#[test_case(StoreRequest::Multi(vec![create("/y", false), create("/hosts", false)]), StoreError::NodeExists; "a part of many")]
fn what_cannot_be_done_is_refused_and_changes_nothing(request: StoreRequest, refused: StoreError) {
    let mut net = site();
    let before = net.store.node_count();
    assert_eq!(
        (net.ask(2, request), net.store.node_count()),
        (Err(refused), before)
    );
}

#[test]
fn a_node_that_is_not_there_yet_is_told_when_it_comes() {
    let mut net = site();
    let exists = StoreRequest::Exists {
        path: "/hosts/c".into(),
        watch: true,
    };
    assert_eq!(net.ask(2, exists), Err(StoreError::NoNode));
    net.ask(0, create("/hosts/c", true)).unwrap();
    let told = net.told(2);
    assert_eq!(
        told,
        [
            (WatchEventKind::Created, "/hosts/c".to_string()),
            (WatchEventKind::Children, "/hosts".to_string())
        ]
    );
}

#[test]
fn data_changes_are_told_with_their_versions() {
    let mut net = site();
    let read = |net: &mut Net| match net.ask(
        2,
        StoreRequest::GetData {
            path: "/hosts/a".into(),
            watch: true,
        },
    ) {
        Ok(StoreResponse::Data(data, stat)) => (data, stat.version, stat.ephemeral_owner != 0),
        other => panic!("{other:?}"),
    };
    assert_eq!(read(&mut net), (b"{}".to_vec(), 0, true));
    let set = StoreRequest::SetData {
        path: "/hosts/a".into(),
        data: b"[]".to_vec(),
        version: 0,
    };
    net.ask(0, set.clone()).unwrap();
    assert_eq!(
        net.told(2),
        [(WatchEventKind::Data, "/hosts/a".to_string())]
    );
    assert_eq!(read(&mut net), (b"[]".to_vec(), 1, true));
    assert_eq!(net.ask(0, set), Err(StoreError::BadVersion));
}
