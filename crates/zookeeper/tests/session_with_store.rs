//! Clients' sessions against the stub store, over a simulated network and clock.

use asterramp_zookeeper::frame::FrameReader;
use asterramp_zookeeper::record::{ANY_VERSION, StoreError, StoreRequest, WatchEventKind};
use asterramp_zookeeper::session::{
    StoreResponse, StoreSession, StoreSessionEffect, StoreSessionSettings, StoreSessionState,
};
use asterramp_zookeeper::store::{ConnectionId, StoreEffect, StubStore};
use std::time::Duration;
use test_case::test_case;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

struct Client {
    session: StoreSession,
    connection: Option<ConnectionId>,
    frames: FrameReader,
    /// Its process is stopped: it does nothing, and nothing reachable it.
    suspended: bool,
    /// Effects that are not the network's to do.
    reported: Vec<StoreSessionEffect>,
}

struct SimulatedNetwork {
    now: Duration,
    store: StubStore,
    /// Whether the store can be connected to and answers.
    reachable: bool,
    last_connection: ConnectionId,
    clients: Vec<Client>,
}

impl SimulatedNetwork {
    fn new(clients: usize) -> SimulatedNetwork {
        let mut network = SimulatedNetwork {
            now: ms(0),
            store: StubStore::new(ms(500), ms(60_000)),
            reachable: true,
            last_connection: 1,
            clients: Vec::new(),
        };
        for seed in 0..clients {
            let mut out = Vec::new();
            let settings = StoreSessionSettings {
                address_count: 2,
                timeout: ms(3_000),
                auth: None,
            };
            let session = StoreSession::new(network.now, settings, seed as u64 + 1, &mut out);
            let client = Client {
                session,
                connection: None,
                frames: FrameReader::default(),
                suspended: false,
                reported: Vec::new(),
            };
            network.clients.push(client);
            network.perform(seed, out);
        }
        network
    }

    /// Does what a client wants done.
    fn perform(&mut self, nth: usize, effects: Vec<StoreSessionEffect>) {
        for effect in effects {
            match effect {
                StoreSessionEffect::Connect(_) => {
                    if !self.reachable {
                        self.event(nth, |session, now, out| session.connection_failed(now, out));
                        continue;
                    }
                    self.last_connection += 1;
                    self.clients[nth].connection = Some(self.last_connection);
                    self.clients[nth].frames = FrameReader::default();
                    self.event(nth, |session, now, out| session.connection_opened(now, out));
                }
                StoreSessionEffect::Send(bytes) => self.deliver_to_store(nth, &bytes),
                StoreSessionEffect::CloseConnection => {
                    if let Some(connection) = self.clients[nth].connection.take() {
                        self.store.connection_closed(connection);
                    }
                }
                other => self.clients[nth].reported.push(other),
            }
        }
    }

    fn event(
        &mut self,
        nth: usize,
        act: impl FnOnce(&mut StoreSession, Duration, &mut Vec<StoreSessionEffect>),
    ) {
        let mut out = Vec::new();
        act(&mut self.clients[nth].session, self.now, &mut out);
        self.perform(nth, out);
    }

    /// A client's bytes at the store.
    fn deliver_to_store(&mut self, nth: usize, bytes: &[u8]) {
        let Some(connection) = self.clients[nth].connection.filter(|_| self.reachable) else {
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
                .receive_frame(self.now, connection, &frame, &mut out)
                .unwrap();
            self.deliver_to_clients(out);
        }
    }

    /// What the store wants done.
    fn deliver_to_clients(&mut self, effects: Vec<StoreEffect>) {
        for effect in effects {
            let connection = match &effect {
                StoreEffect::Send(connection, _) | StoreEffect::CloseConnection(connection) => {
                    *connection
                }
            };
            let awake = |c: &Client| c.connection == Some(connection) && !c.suspended;
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
                    self.clients[nth].connection = None;
                    self.event(nth, |session, now, out| session.connection_failed(now, out));
                }
            }
        }
    }

    /// Lets time go by in small steps.
    fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += ms(10);
            let mut out = Vec::new();
            self.store.tick(self.now, &mut out);
            self.deliver_to_clients(out);
            for nth in 0..self.clients.len() {
                if self.clients[nth].session.next_tick_due() <= self.now
                    && !self.clients[nth].suspended
                {
                    self.event(nth, |session, now, out| session.tick(now, out));
                }
            }
        }
    }

    /// Asks and hears the answer.
    fn request(&mut self, nth: usize, request: StoreRequest) -> Result<StoreResponse, StoreError> {
        let mut asked = None;
        self.event(nth, |session, now, out| {
            asked = session.request(now, request, out)
        });
        let asked = asked.expect("a session stands");
        let reported = &mut self.clients[nth].reported;
        let at = reported.iter().position(
            |e| matches!(e, StoreSessionEffect::ResponseReceived { xid, .. } if *xid == asked),
        );
        match reported.remove(at.expect("an answer")) {
            StoreSessionEffect::ResponseReceived {
                response: answer, ..
            } => answer,
            _ => unreachable!(),
        }
    }

    fn children(&mut self, nth: usize, path: &str) -> Vec<String> {
        match self.request(
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

    /// Changes that a client was notified of, since they were last taken.
    fn take_notifications(&mut self, nth: usize) -> Vec<(WatchEventKind, String)> {
        let reported = std::mem::take(&mut self.clients[nth].reported);
        let event = reported.into_iter().filter_map(|e| match e {
            StoreSessionEffect::WatchTriggered(event) => Some((event.kind, event.path)),
            _ => None,
        });
        event.collect()
    }

    fn count_reported(&self, nth: usize, effect: &StoreSessionEffect) -> usize {
        self.clients[nth]
            .reported
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

/// Two servers with ephemeral nodes, and a third client that watches.
fn network_with_servers() -> SimulatedNetwork {
    let mut network = SimulatedNetwork::new(3);
    network.request(2, create("/hosts", false)).unwrap();
    network.request(0, create("/hosts/a", true)).unwrap();
    network.request(1, create("/hosts/b", true)).unwrap();
    assert_eq!(network.children(2, "/hosts"), ["a", "b"]);
    network.take_notifications(2);
    network
}

#[test]
fn a_silent_client_loses_its_node_and_a_watcher_is_notified_once() {
    let mut network = network_with_servers();
    // It sends no ping any more, and its connection stays open.
    network.clients[0].suspended = true;
    network.advance(ms(2_900));
    assert_eq!(network.take_notifications(2), []);
    network.advance(ms(200));
    let reported = network.take_notifications(2);
    assert_eq!(reported, [(WatchEventKind::Children, "/hosts".to_string())]);
    assert_eq!(network.children(2, "/hosts"), ["b"]);
    network.take_notifications(2);
    network
        .request(
            1,
            StoreRequest::Delete {
                path: "/hosts/b".into(),
                version: ANY_VERSION,
            },
        )
        .unwrap();
    assert_eq!(network.take_notifications(2).len(), 1);
    network.request(1, create("/hosts/b", true)).unwrap();
    assert_eq!(
        network.take_notifications(2),
        [],
        "the watch was not set again"
    );
}

#[test]
fn a_short_outage_keeps_sessions_nodes_and_watches() {
    let mut network = network_with_servers();
    let up = network.store.session_ids().count();
    network.reachable = false;
    for nth in 0..3 {
        network.event(nth, |session, now, out| session.connection_failed(now, out));
    }
    network.advance(ms(1_000));
    network.reachable = true;
    network.advance(ms(1_500));
    assert_eq!(
        (
            network.store.session_ids().count(),
            network.store.node_count()
        ),
        (up, 3)
    );
    for nth in 0..3 {
        assert_eq!(
            network.count_reported(nth, &StoreSessionEffect::Established { new: false }),
            1
        );
    }
    network.take_notifications(2);
    network
        .request(
            0,
            StoreRequest::Delete {
                path: "/hosts/a".into(),
                version: ANY_VERSION,
            },
        )
        .unwrap();
    assert_eq!(
        network.take_notifications(2),
        [(WatchEventKind::Children, "/hosts".to_string())],
        "its watch was set again"
    );
}

#[test]
fn changes_during_a_watchers_absence_are_notified_when_it_is_back() {
    let mut network = network_with_servers();
    let connection = network.clients[2].connection.take();
    network.store.connection_closed(connection.unwrap());
    network
        .request(
            0,
            StoreRequest::Delete {
                path: "/hosts/a".into(),
                version: ANY_VERSION,
            },
        )
        .unwrap();
    network.event(2, |session, now, out| session.connection_failed(now, out));
    network.advance(ms(500));
    assert_eq!(
        network.take_notifications(2),
        [(WatchEventKind::Children, "/hosts".to_string())]
    );
    assert_eq!(network.children(2, "/hosts"), ["b"]);
}

#[test]
fn a_long_outage_expires_the_clients_session_alone_and_a_new_one_begins() {
    let mut network = network_with_servers();
    network.clients[2].suspended = true;
    network.advance(ms(3_500));
    network.clients[2].suspended = false;
    network.advance(ms(1_000));
    assert_eq!(network.count_reported(2, &StoreSessionEffect::Expired), 1);
    assert_eq!(
        network.count_reported(2, &StoreSessionEffect::Established { new: true }),
        1
    );
    assert_eq!(
        network.children(2, "/hosts"),
        ["a", "b"],
        "the servers' sessions are their own"
    );
}

#[test]
fn a_closed_sessions_node_vanishes_at_once() {
    let mut network = network_with_servers();
    network.event(0, |session, now, out| session.close(now, out));
    assert_eq!(
        (
            network.take_notifications(2).len(),
            network.clients[0].session.state()
        ),
        (1, StoreSessionState::Closed)
    );
    assert_eq!(network.children(2, "/hosts"), ["b"]);
}

#[test_case(create("/hosts", false), StoreError::NodeExists; "exists already")]
#[test_case(create("/none/a", false), StoreError::NoNode; "no parent")]
#[test_case(create("/hosts/a/x", true), StoreError::NoChildrenForEphemerals; "below an ephemeral")]
#[test_case(create("hosts", false), StoreError::BadArguments; "no path")]
#[test_case(StoreRequest::Delete { path: "/hosts".into(), version: ANY_VERSION }, StoreError::NotEmpty; "not empty")]
#[test_case(StoreRequest::Delete { path: "/hosts/a".into(), version: 7 }, StoreError::BadVersion; "another version")]
#[test_case(StoreRequest::GetData { path: "/x".into(), watch: false }, StoreError::NoNode; "no node")]
#[test_case(StoreRequest::Multi(vec![create("/y", false), create("/hosts", false)]), StoreError::NodeExists; "a part of several")]
fn an_impossible_request_fails_and_changes_nothing(request: StoreRequest, error: StoreError) {
    let mut network = network_with_servers();
    let before = network.store.node_count();
    assert_eq!(
        (network.request(2, request), network.store.node_count()),
        (Err(error), before)
    );
}

#[test]
fn the_creation_of_a_watched_node_is_notified() {
    let mut network = network_with_servers();
    let exists = StoreRequest::Exists {
        path: "/hosts/c".into(),
        watch: true,
    };
    assert_eq!(network.request(2, exists), Err(StoreError::NoNode));
    network.request(0, create("/hosts/c", true)).unwrap();
    let event = network.take_notifications(2);
    assert_eq!(
        event,
        [
            (WatchEventKind::Created, "/hosts/c".to_string()),
            (WatchEventKind::Children, "/hosts".to_string())
        ]
    );
}

#[test]
fn data_changes_are_notified_and_have_their_versions() {
    let mut network = network_with_servers();
    let read = |network: &mut SimulatedNetwork| match network.request(
        2,
        StoreRequest::GetData {
            path: "/hosts/a".into(),
            watch: true,
        },
    ) {
        Ok(StoreResponse::Data(data, stat)) => (data, stat.version, stat.ephemeral_owner != 0),
        other => panic!("{other:?}"),
    };
    assert_eq!(read(&mut network), (b"{}".to_vec(), 0, true));
    let set = StoreRequest::SetData {
        path: "/hosts/a".into(),
        data: b"[]".to_vec(),
        version: 0,
    };
    network.request(0, set.clone()).unwrap();
    assert_eq!(
        network.take_notifications(2),
        [(WatchEventKind::Data, "/hosts/a".to_string())]
    );
    assert_eq!(read(&mut network), (b"[]".to_vec(), 1, true));
    assert_eq!(network.request(0, set), Err(StoreError::BadVersion));
}
