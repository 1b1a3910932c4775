//! Sessions of several clients with the stub store, over a simulated network and clock.

use asterramp_zookeeper::frame::FrameReader;
use asterramp_zookeeper::record::{ANY_VERSION, StoreError, StoreRequest, WatchEventKind};
use asterramp_zookeeper::session::{
    StoreResponse, StoreSession, StoreSessionEffect, StoreSessionSettings, StoreSessionState,
};
use asterramp_zookeeper::store::{ConnectionId, StoreEffect, StubStore};
use std::time::Duration;
use test_case::test_case;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A client of the store.
struct Client {
    session: StoreSession,
    connection: Option<ConnectionId>,
    frames: FrameReader,
    /// Whether its process is suspended: its session isn't driven, and it receives nothing.
    suspended: bool,
    /// Events that the session has reported, oldest first.
    reported: Vec<StoreSessionEffect>,
}

/// The store, its clients, and the network between them.
struct SimulatedNetwork {
    now: Duration,
    store: StubStore,
    /// Whether clients can connect to the store and send requests.
    reachable: bool,
    last_connection: ConnectionId,
    clients: Vec<Client>,
}

impl SimulatedNetwork {
    fn new(client_count: usize) -> SimulatedNetwork {
        let mut network = SimulatedNetwork {
            now: ms(0),
            store: StubStore::new(ms(500), ms(60_000)),
            reachable: true,
            last_connection: 1,
            clients: Vec::new(),
        };
        for client_index in 0..client_count {
            let mut out = Vec::new();
            let settings = StoreSessionSettings {
                address_count: 2,
                timeout: ms(3_000),
                auth: None,
            };
            let session =
                StoreSession::new(network.now, settings, client_index as u64 + 1, &mut out);
            let client = Client {
                session,
                connection: None,
                frames: FrameReader::default(),
                suspended: false,
                reported: Vec::new(),
            };
            network.clients.push(client);
            network.perform(client_index, out);
        }
        network
    }

    /// Performs the effects of a client's session.
    fn perform(&mut self, client_index: usize, effects: Vec<StoreSessionEffect>) {
        for effect in effects {
            match effect {
                StoreSessionEffect::Connect(_) => {
                    if !self.reachable {
                        self.drive_session(client_index, |session, now, out| {
                            session.connection_failed(now, out)
                        });
                        continue;
                    }
                    self.last_connection += 1;
                    self.clients[client_index].connection = Some(self.last_connection);
                    self.clients[client_index].frames = FrameReader::default();
                    self.drive_session(client_index, |session, now, out| {
                        session.connection_opened(now, out)
                    });
                }
                StoreSessionEffect::Send(bytes) => self.deliver_to_store(client_index, &bytes),
                StoreSessionEffect::CloseConnection => {
                    if let Some(connection) = self.clients[client_index].connection.take() {
                        self.store.connection_closed(connection);
                    }
                }
                other => self.clients[client_index].reported.push(other),
            }
        }
    }

    /// Calls `input` with a client's session, and performs the effects that it returns.
    fn drive_session(
        &mut self,
        client_index: usize,
        input: impl FnOnce(&mut StoreSession, Duration, &mut Vec<StoreSessionEffect>),
    ) {
        let mut out = Vec::new();
        input(&mut self.clients[client_index].session, self.now, &mut out);
        self.perform(client_index, out);
    }

    /// Delivers a client's bytes to the store.
    fn deliver_to_store(&mut self, client_index: usize, bytes: &[u8]) {
        let Some(connection) = self.clients[client_index]
            .connection
            .filter(|_| self.reachable)
        else {
            return;
        };
        self.clients[client_index].frames.append(bytes);
        while let Some(frame) = self.clients[client_index]
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

    /// Performs the store's effects.
    fn deliver_to_clients(&mut self, effects: Vec<StoreEffect>) {
        for effect in effects {
            let connection = match &effect {
                StoreEffect::Send(connection, _) | StoreEffect::CloseConnection(connection) => {
                    *connection
                }
            };
            let is_receiver =
                |client: &Client| client.connection == Some(connection) && !client.suspended;
            let Some(client_index) = self.clients.iter().position(is_receiver) else {
                continue;
            };
            match effect {
                StoreEffect::Send(_, frame) => {
                    let mut bytes = (frame.len() as u32).to_be_bytes().to_vec();
                    bytes.extend(frame);
                    self.drive_session(client_index, |session, now, out| {
                        session.receive(now, &bytes, out)
                    });
                }
                StoreEffect::CloseConnection(_) => {
                    self.clients[client_index].connection = None;
                    self.drive_session(client_index, |session, now, out| {
                        session.connection_failed(now, out)
                    });
                }
            }
        }
    }

    /// Advances the simulated time in steps of 10 ms.
    fn advance_time(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += ms(10);
            let mut out = Vec::new();
            self.store.tick(self.now, &mut out);
            self.deliver_to_clients(out);
            for client_index in 0..self.clients.len() {
                if self.clients[client_index].session.next_tick_due() <= self.now
                    && !self.clients[client_index].suspended
                {
                    self.drive_session(client_index, |session, now, out| session.tick(now, out));
                }
            }
        }
    }

    /// Sends a request and returns the store's response.
    fn request(
        &mut self,
        client_index: usize,
        request: StoreRequest,
    ) -> Result<StoreResponse, StoreError> {
        let mut sent_xid = None;
        self.drive_session(client_index, |session, now, out| {
            sent_xid = session.request(now, request, out)
        });
        let sent_xid = sent_xid.expect("session is connected");
        let reported = &mut self.clients[client_index].reported;
        let position = reported.iter().position(
            |effect| matches!(effect, StoreSessionEffect::ResponseReceived { xid, .. } if *xid == sent_xid),
        );
        match reported.remove(position.expect("store responds")) {
            StoreSessionEffect::ResponseReceived { response, .. } => response,
            _ => unreachable!(),
        }
    }

    /// Reads the names of a node's children and watches them.
    fn children(&mut self, client_index: usize, path: &str) -> Vec<String> {
        match self.request(
            client_index,
            StoreRequest::GetChildren {
                path: path.into(),
                watch: true,
            },
        ) {
            Ok(StoreResponse::Children(children, _)) => children,
            other => panic!("{other:?}"),
        }
    }

    /// The watch events that a client has received since the last call.
    fn take_notifications(&mut self, client_index: usize) -> Vec<(WatchEventKind, String)> {
        let reported = std::mem::take(&mut self.clients[client_index].reported);
        let events = reported.into_iter().filter_map(|effect| match effect {
            StoreSessionEffect::WatchTriggered(event) => Some((event.kind, event.path)),
            _ => None,
        });
        events.collect()
    }

    /// How often a client's session has reported this event since the reports were last taken.
    fn count_reported(&self, client_index: usize, effect: &StoreSessionEffect) -> usize {
        self.clients[client_index]
            .reported
            .iter()
            .filter(|reported| *reported == effect)
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

/// A network with three clients: 0 and 1 are servers with an ephemeral node each, 2 watches the list of the nodes.
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
    // The client sends no more pings, while its connection stays open.
    network.clients[0].suspended = true;
    network.advance_time(ms(2_900));
    assert_eq!(network.take_notifications(2), []);
    network.advance_time(ms(200));
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
    let session_count = network.store.session_ids().count();
    network.reachable = false;
    for client_index in 0..3 {
        network.drive_session(client_index, |session, now, out| {
            session.connection_failed(now, out)
        });
    }
    network.advance_time(ms(1_000));
    network.reachable = true;
    network.advance_time(ms(1_500));
    assert_eq!(
        (
            network.store.session_ids().count(),
            network.store.node_count()
        ),
        (session_count, 3)
    );
    for client_index in 0..3 {
        assert_eq!(
            network.count_reported(
                client_index,
                &StoreSessionEffect::Established { new: false }
            ),
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
        "the watch was set again"
    );
}

#[test]
fn changes_while_a_watcher_is_disconnected_are_notified_after_it_reconnects() {
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
    network.drive_session(2, |session, now, out| session.connection_failed(now, out));
    network.advance_time(ms(500));
    assert_eq!(
        network.take_notifications(2),
        [(WatchEventKind::Children, "/hosts".to_string())]
    );
    assert_eq!(network.children(2, "/hosts"), ["b"]);
}

#[test]
fn a_long_suspension_expires_only_that_clients_session_and_a_new_one_begins() {
    let mut network = network_with_servers();
    network.clients[2].suspended = true;
    network.advance_time(ms(3_500));
    network.clients[2].suspended = false;
    network.advance_time(ms(1_000));
    assert_eq!(network.count_reported(2, &StoreSessionEffect::Expired), 1);
    assert_eq!(
        network.count_reported(2, &StoreSessionEffect::Established { new: true }),
        1
    );
    assert_eq!(
        network.children(2, "/hosts"),
        ["a", "b"],
        "the servers' sessions have not expired"
    );
}

#[test]
fn a_closed_sessions_node_vanishes_at_once() {
    let mut network = network_with_servers();
    network.drive_session(0, |session, now, out| session.close(now, out));
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
#[test_case(create("/hosts/a/x", true), StoreError::NoChildrenForEphemerals; "below an ephemeral node")]
#[test_case(create("hosts", false), StoreError::BadArguments; "not a path")]
#[test_case(StoreRequest::Delete { path: "/hosts".into(), version: ANY_VERSION }, StoreError::NotEmpty; "not empty")]
#[test_case(StoreRequest::Delete { path: "/hosts/a".into(), version: 7 }, StoreError::BadVersion; "not the expected version")]
#[test_case(StoreRequest::GetData { path: "/x".into(), watch: false }, StoreError::NoNode; "no node")]
#[test_case(StoreRequest::Multi(vec![create("/y", false), create("/hosts", false)]), StoreError::NodeExists; "part of a multi")]
fn an_invalid_request_is_rejected_and_changes_nothing(request: StoreRequest, error: StoreError) {
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
