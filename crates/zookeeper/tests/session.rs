//! A session played against a store that is a few bytes in a test.
#![allow(
    missing_docs,
    unreachable_pub,
    missing_debug_implementations,
    rust_2018_idioms
)] // Not yet brought to the workspace lints.
#![allow(clippy::too_many_lines, clippy::cognitive_complexity)] // Not yet brought to the workspace lints.

use asterramp_zookeeper::frame::{FrameReader, write_frame};
use asterramp_zookeeper::jute::JuteWrite;
use asterramp_zookeeper::record::{
    ConnectRequest, ConnectResponse, NodeStat, ReplyHeader, StoreError, StoreRequest, WatchEvent,
    WatchEventKind, XID_EVENT,
};
use asterramp_zookeeper::session::{
    ClientSession, ClientSessionEffect, ClientSessionSettings, ClientSessionState, StoreResponse,
};
use std::time::Duration;
use test_case::test_case;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

struct Played {
    session: ClientSession,
    now: Duration,
    out: Vec<ClientSessionEffect>,
}

impl Played {
    fn new(addresses: usize) -> Played {
        let mut out = Vec::new();
        let terms = ClientSessionSettings {
            address_count: addresses,
            timeout: ms(3_000),
            auth: None,
        };
        let session = ClientSession::new(ms(0), terms, 4, &mut out);
        Played {
            session,
            now: ms(0),
            out,
        }
    }

    fn took(&mut self) -> Vec<ClientSessionEffect> {
        std::mem::take(&mut self.out)
    }

    /// Connected, with a session of this number and timeout.
    fn greet(&mut self, session: i64, timeout: i32) -> ConnectRequest {
        self.session.connection_opened(self.now, &mut self.out);
        let sent = self.took();
        let Some(ClientSessionEffect::Send(bytes)) = sent.last() else {
            panic!("{sent:?}")
        };
        let mut frames = FrameReader::default();
        frames.append(bytes);
        let connect = ConnectRequest::read(frames.next_frame().unwrap().unwrap()).unwrap();
        let mut bytes = Vec::new();
        write_frame(&mut bytes, |out| {
            ConnectResponse {
                timeout_ms: timeout,
                session_id: session,
                password: vec![session as u8; 16],
            }
            .write(out)
        });
        self.session.receive(self.now, &bytes, &mut self.out);
        connect
    }

    fn up(&mut self) {
        self.greet(5, 3_000);
        assert_eq!(
            self.took(),
            [ClientSessionEffect::Established { new: true }]
        );
    }

    fn ask(&mut self, request: StoreRequest) -> i32 {
        let xid = self
            .session
            .request(self.now, request, &mut self.out)
            .expect("a session stands");
        self.took();
        xid
    }

    fn say(&mut self, xid: i32, zxid: i64, err: i32, body: impl FnOnce(&mut Vec<u8>)) {
        let mut bytes = Vec::new();
        write_frame(&mut bytes, |out| {
            ReplyHeader {
                xid,
                zxid,
                error_code: err,
            }
            .write(out);
            body(out);
        });
        // In two pieces, as it may come.
        let (a, b) = bytes.split_at(bytes.len() / 2);
        self.session.receive(self.now, a, &mut self.out);
        self.session.receive(self.now, b, &mut self.out);
    }

    fn wait(&mut self, until: ClientSessionState) {
        for _ in 0..20 {
            if self.session.state() == until {
                return;
            }
            self.now = self.now.max(self.session.next_tick_due());
            self.session.tick(self.now, &mut self.out);
        }
        panic!("never {until:?}");
    }
}

fn children(path: &str) -> StoreRequest {
    StoreRequest::GetChildren {
        path: path.into(),
        watch: true,
    }
}

#[test]
fn a_session_asks_is_answered_and_told() {
    let mut played = Played::new(1);
    assert_eq!(played.took(), [ClientSessionEffect::Connect(0)]);
    played.up();
    let xid = played.ask(children("/hosts"));
    played.say(xid, 9, 0, |out| {
        out.vector(&["a", "b"], |out, name| out.string(name));
        NodeStat::default().write(out);
    });
    let answer = Ok(StoreResponse::Children(
        vec!["a".into(), "b".into()],
        NodeStat::default(),
    ));
    assert_eq!(
        played.took(),
        [ClientSessionEffect::Responded {
            xid,
            response: answer
        }]
    );
    let told = WatchEvent {
        kind: WatchEventKind::Children,
        state: 3,
        path: "/hosts".into(),
    };
    played.say(XID_EVENT, -1, 0, |out| told.write(out));
    assert_eq!(played.took(), [ClientSessionEffect::WatchFired(told)]);
    let xid = played.ask(StoreRequest::GetData {
        path: "/none".into(),
        watch: false,
    });
    played.say(xid, 10, -101, |_| ());
    assert_eq!(
        played.took(),
        [ClientSessionEffect::Responded {
            xid,
            response: Err(StoreError::NoNode)
        }]
    );
}

#[test]
fn a_broken_connection_loses_answers_moves_on_and_keeps_the_session_and_its_watches() {
    let mut played = Played::new(3);
    assert_eq!(played.took(), [ClientSessionEffect::Connect(1)]);
    played.up();
    let xid = played.ask(children("/hosts"));
    played.say(xid, 77, 0, |out| {
        out.vector(&[], |out: &mut Vec<u8>, name: &&str| out.string(name));
        NodeStat::default().write(out);
    });
    let open = played.ask(StoreRequest::Exists {
        path: "/x".into(),
        watch: true,
    });
    played.took();
    played
        .session
        .connection_failed(played.now, &mut played.out);
    assert_eq!(
        played.took(),
        [
            ClientSessionEffect::ConnectionLost,
            ClientSessionEffect::ResponseLost { xid: open },
            ClientSessionEffect::CloseConnection
        ]
    );
    assert!(
        played
            .session
            .request(played.now, children("/y"), &mut played.out)
            .is_none()
    );
    played.wait(ClientSessionState::Connecting);
    assert_eq!(
        played.took(),
        [ClientSessionEffect::Connect(2)],
        "the next address"
    );
    let connect = played.greet(5, 3_000);
    assert_eq!(
        (connect.session_id, connect.last_zxid, connect.password),
        (5, 77, vec![5; 16])
    );
    let took = played.took();
    let [
        ClientSessionEffect::Send(watches),
        ClientSessionEffect::Established { new: false },
    ] = &took[..]
    else {
        panic!("{took:?}")
    };
    let (_, again) = StoreRequest::read(&watches[4..]).unwrap();
    let child = vec!["/hosts".to_string()];
    assert_eq!(
        again,
        StoreRequest::SetWatches {
            since: 77,
            data: vec![],
            exist: vec![],
            child
        }
    );
}

#[test]
fn a_lapsed_session_is_told_as_ours_and_a_new_one_begins() {
    let mut played = Played::new(1);
    played.took();
    played.up();
    played
        .session
        .connection_failed(played.now, &mut played.out);
    played.wait(ClientSessionState::Connecting);
    played.took();
    played.greet(0, 0);
    assert_eq!(
        played.took(),
        [
            ClientSessionEffect::Expired,
            ClientSessionEffect::CloseConnection
        ]
    );
    played.wait(ClientSessionState::Connecting);
    played.took();
    let connect = played.greet(6, 3_000);
    assert_eq!((connect.session_id, connect.last_zxid), (0, 0));
    assert_eq!(
        played.took(),
        [ClientSessionEffect::Established { new: true }]
    );
}

#[test]
fn a_silent_store_is_pinged_and_then_given_up_before_the_session_would_lapse() {
    let mut played = Played::new(1);
    played.took();
    played.up();
    played.wait(ClientSessionState::Waiting);
    assert_eq!(played.now, ms(2_000));
    let took = played.took();
    let pings = took.iter().filter(
        |e| matches!(e, ClientSessionEffect::Send(bytes) if bytes[4..8] == [255, 255, 255, 254]),
    );
    assert_eq!(
        (
            pings.count(),
            took.contains(&ClientSessionEffect::ConnectionLost)
        ),
        (1, true),
        "{took:?}"
    );
}

#[test]
fn pauses_grow_are_spread_and_have_an_end() {
    let mut played = Played::new(2);
    let mut pauses = Vec::new();
    for _ in 0..14 {
        played
            .session
            .connection_failed(played.now, &mut played.out);
        pauses.push(played.session.next_tick_due() - played.now);
        played.now = played.session.next_tick_due();
        played.session.tick(played.now, &mut played.out);
    }
    assert!(pauses[0] <= ms(75) && pauses[6] >= ms(1_600), "{pauses:?}");
    assert!(pauses.iter().all(|pause| *pause <= ms(7_500)), "{pauses:?}");
    assert!(
        pauses[10..].windows(2).all(|w| w[0] != w[1]),
        "spread: {pauses:?}"
    );
}

#[test_case(&[0x7f, 0xff, 0xff, 0xff]; "a frame beyond the longest")]
#[test_case(&[0, 0, 0, 2, 1, 2]; "a record cut short")]
#[test_case(&[0, 0, 0, 20, 255, 255, 255, 255, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 99]; "an unknown event")]
fn what_cannot_be_read_ends_the_connection_and_not_the_session(bytes: &[u8]) {
    let mut played = Played::new(1);
    played.took();
    played.up();
    played.session.receive(played.now, bytes, &mut played.out);
    let took = played.took();
    assert!(
        matches!(
            took[..],
            [
                ClientSessionEffect::ProtocolError(_),
                ClientSessionEffect::ConnectionLost,
                ClientSessionEffect::CloseConnection
            ]
        ),
        "{took:?}"
    );
    played.wait(ClientSessionState::Connecting);
    assert_eq!(played.greet(5, 3_000).session_id, 5);
}

#[test]
fn closing_says_so_and_is_the_end() {
    let mut played = Played::new(1);
    played.took();
    played.up();
    played.session.close(played.now, &mut played.out);
    let took = played.took();
    assert!(
        matches!(&took[..], [ClientSessionEffect::Send(bytes), ClientSessionEffect::CloseConnection] if bytes[8..] == [255, 255, 255, 245])
    );
    played
        .session
        .connection_failed(played.now, &mut played.out);
    played.session.tick(ms(60_000), &mut played.out);
    assert_eq!(
        (played.took(), played.session.next_tick_due()),
        (vec![], Duration::MAX)
    );
}
