//! A client's session against a store that is scripted by the test.

use asterramp_zookeeper::frame::{FrameReader, write_frame};
use asterramp_zookeeper::jute::JuteWrite;
use asterramp_zookeeper::record::{
    ConnectRequest, ConnectResponse, NodeStat, ReplyHeader, StoreError, StoreRequest, WatchEvent,
    WatchEventKind, XID_EVENT,
};
use asterramp_zookeeper::session::{
    StoreResponse, StoreSession, StoreSessionEffect, StoreSessionSettings, StoreSessionState,
};
use std::time::Duration;
use test_case::test_case;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

struct SessionHarness {
    session: StoreSession,
    now: Duration,
    out: Vec<StoreSessionEffect>,
}

impl SessionHarness {
    fn new(addresses: usize) -> SessionHarness {
        let mut out = Vec::new();
        let settings = StoreSessionSettings {
            address_count: addresses,
            timeout: ms(3_000),
            auth: None,
        };
        let session = StoreSession::new(ms(0), settings, 4, &mut out);
        SessionHarness {
            session,
            now: ms(0),
            out,
        }
    }

    fn take_effects(&mut self) -> Vec<StoreSessionEffect> {
        std::mem::take(&mut self.out)
    }

    /// Connected, with a session of this number and timeout.
    fn handshake(&mut self, session: i64, timeout: i32) -> ConnectRequest {
        self.session.connection_opened(self.now, &mut self.out);
        let sent = self.take_effects();
        let Some(StoreSessionEffect::Send(bytes)) = sent.last() else {
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

    fn establish(&mut self) {
        self.handshake(5, 3_000);
        assert_eq!(
            self.take_effects(),
            [StoreSessionEffect::Established { new: true }]
        );
    }

    fn request(&mut self, request: StoreRequest) -> i32 {
        let xid = self
            .session
            .request(self.now, request, &mut self.out)
            .expect("a session stands");
        self.take_effects();
        xid
    }

    fn reply(&mut self, xid: i32, zxid: i64, err: i32, body: impl FnOnce(&mut Vec<u8>)) {
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
        let (first, second) = bytes.split_at(bytes.len() / 2);
        self.session.receive(self.now, first, &mut self.out);
        self.session.receive(self.now, second, &mut self.out);
    }

    fn wait_for(&mut self, until: StoreSessionState) {
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

/// Asks for the children of `/hosts` with a watch; the store has none, and its last change was `zxid`.
fn watch_hosts(harness: &mut SessionHarness, zxid: i64) {
    let xid = harness.request(children("/hosts"));
    harness.reply(xid, zxid, 0, |out| {
        out.vector(&[], |out: &mut Vec<u8>, name: &&str| out.string(name));
        NodeStat::default().write(out);
    });
}

fn children(path: &str) -> StoreRequest {
    StoreRequest::GetChildren {
        path: path.into(),
        watch: true,
    }
}

#[test]
fn requests_are_responded_to_and_watches_fire() {
    let mut harness = SessionHarness::new(1);
    assert_eq!(harness.take_effects(), [StoreSessionEffect::Connect(0)]);
    harness.establish();
    let xid = harness.request(children("/hosts"));
    harness.reply(xid, 9, 0, |out| {
        out.vector(&["a", "b"], |out, name| out.string(name));
        NodeStat::default().write(out);
    });
    let answer = Ok(StoreResponse::Children(
        vec!["a".into(), "b".into()],
        NodeStat::default(),
    ));
    assert_eq!(
        harness.take_effects(),
        [StoreSessionEffect::ResponseReceived {
            xid,
            response: answer
        }]
    );
    let event = WatchEvent {
        kind: WatchEventKind::Children,
        state: 3,
        path: "/hosts".into(),
    };
    harness.reply(XID_EVENT, -1, 0, |out| event.write(out));
    assert_eq!(
        harness.take_effects(),
        [StoreSessionEffect::WatchTriggered(event)]
    );
    let xid = harness.request(StoreRequest::GetData {
        path: "/none".into(),
        watch: false,
    });
    harness.reply(xid, 10, -101, |_| ());
    assert_eq!(
        harness.take_effects(),
        [StoreSessionEffect::ResponseReceived {
            xid,
            response: Err(StoreError::NoNode)
        }]
    );
}

#[test]
fn a_broken_connection_loses_responses_and_the_next_keeps_the_session_and_its_watches() {
    let mut harness = SessionHarness::new(3);
    assert_eq!(harness.take_effects(), [StoreSessionEffect::Connect(1)]);
    harness.establish();
    watch_hosts(&mut harness, 77);
    let open = harness.request(StoreRequest::Exists {
        path: "/x".into(),
        watch: true,
    });
    harness.take_effects();
    harness
        .session
        .connection_failed(harness.now, &mut harness.out);
    assert_eq!(
        harness.take_effects(),
        [
            StoreSessionEffect::ConnectionLost,
            StoreSessionEffect::ResponseLost { xid: open },
            StoreSessionEffect::CloseConnection
        ]
    );
    assert!(
        harness
            .session
            .request(harness.now, children("/y"), &mut harness.out)
            .is_none()
    );
    harness.wait_for(StoreSessionState::Connecting);
    assert_eq!(
        harness.take_effects(),
        [StoreSessionEffect::Connect(2)],
        "the next address"
    );
    let connect = harness.handshake(5, 3_000);
    assert_eq!(
        (connect.session_id, connect.last_zxid, connect.password),
        (5, 77, vec![5; 16])
    );
    let take_effects = harness.take_effects();
    let [
        StoreSessionEffect::Send(watches),
        StoreSessionEffect::Established { new: false },
    ] = &take_effects[..]
    else {
        panic!("{take_effects:?}")
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
fn an_expired_session_is_reported_and_a_new_one_begins() {
    let mut harness = SessionHarness::new(1);
    harness.take_effects();
    harness.establish();
    harness
        .session
        .connection_failed(harness.now, &mut harness.out);
    harness.wait_for(StoreSessionState::Connecting);
    harness.take_effects();
    harness.handshake(0, 0);
    assert_eq!(
        harness.take_effects(),
        [
            StoreSessionEffect::Expired,
            StoreSessionEffect::CloseConnection
        ]
    );
    harness.wait_for(StoreSessionState::Connecting);
    harness.take_effects();
    let connect = harness.handshake(6, 3_000);
    assert_eq!((connect.session_id, connect.last_zxid), (0, 0));
    assert_eq!(
        harness.take_effects(),
        [StoreSessionEffect::Established { new: true }]
    );
}

#[test]
fn a_silent_store_is_pinged_and_then_left_before_the_session_would_expire() {
    let mut harness = SessionHarness::new(1);
    harness.take_effects();
    harness.establish();
    harness.wait_for(StoreSessionState::BackingOff);
    assert_eq!(harness.now, ms(2_000));
    let take_effects = harness.take_effects();
    let pings = take_effects.iter().filter(
        |e| matches!(e, StoreSessionEffect::Send(bytes) if bytes[4..8] == [255, 255, 255, 254]),
    );
    assert_eq!(
        (
            pings.count(),
            take_effects.contains(&StoreSessionEffect::ConnectionLost)
        ),
        (1, true),
        "{take_effects:?}"
    );
}

#[test]
fn reconnect_delays_grow_are_spread_and_have_a_bound() {
    let mut harness = SessionHarness::new(2);
    let mut pauses = Vec::new();
    for _ in 0..14 {
        harness
            .session
            .connection_failed(harness.now, &mut harness.out);
        pauses.push(harness.session.next_tick_due() - harness.now);
        harness.now = harness.session.next_tick_due();
        harness.session.tick(harness.now, &mut harness.out);
    }
    assert!(pauses[0] <= ms(75) && pauses[6] >= ms(1_600), "{pauses:?}");
    assert!(pauses.iter().all(|pause| *pause <= ms(7_500)), "{pauses:?}");
    assert!(
        pauses[10..].windows(2).all(|w| w[0] != w[1]),
        "spread: {pauses:?}"
    );
}

#[test_case(&[0x7f, 0xff, 0xff, 0xff]; "a frame beyond the bound")]
#[test_case(&[0, 0, 0, 2, 1, 2]; "a record cut short")]
#[test_case(&[0, 0, 0, 20, 255, 255, 255, 255, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 99]; "an unknown event")]
fn undecodable_bytes_end_the_connection_and_not_the_session(bytes: &[u8]) {
    let mut harness = SessionHarness::new(1);
    harness.take_effects();
    harness.establish();
    harness
        .session
        .receive(harness.now, bytes, &mut harness.out);
    let take_effects = harness.take_effects();
    assert!(
        matches!(
            take_effects[..],
            [
                StoreSessionEffect::ProtocolError(_),
                StoreSessionEffect::ConnectionLost,
                StoreSessionEffect::CloseConnection
            ]
        ),
        "{take_effects:?}"
    );
    harness.wait_for(StoreSessionState::Connecting);
    assert_eq!(harness.handshake(5, 3_000).session_id, 5);
}

#[test]
fn a_close_is_sent_and_ends_the_session() {
    let mut harness = SessionHarness::new(1);
    harness.take_effects();
    harness.establish();
    harness.session.close(harness.now, &mut harness.out);
    let take_effects = harness.take_effects();
    assert!(
        matches!(&take_effects[..], [StoreSessionEffect::Send(bytes), StoreSessionEffect::CloseConnection] if bytes[8..] == [255, 255, 255, 245])
    );
    harness
        .session
        .connection_failed(harness.now, &mut harness.out);
    harness.session.tick(ms(60_000), &mut harness.out);
    assert_eq!(
        (harness.take_effects(), harness.session.next_tick_due()),
        (vec![], Duration::MAX)
    );
}
