//! A client's session against a store whose replies are scripted by the test.

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

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A session, the simulated time, and the effects that the session has returned.
struct SessionHarness {
    session: StoreSession,
    now: Duration,
    effects: Vec<StoreSessionEffect>,
}

impl SessionHarness {
    fn new(address_count: usize) -> SessionHarness {
        let mut effects = Vec::new();
        let settings = StoreSessionSettings {
            address_count,
            timeout: ms(3_000),
            auth: None,
        };
        let session = StoreSession::new(ms(0), settings, 4, &mut effects);
        SessionHarness {
            session,
            now: ms(0),
            effects,
        }
    }

    fn take_effects(&mut self) -> Vec<StoreSessionEffect> {
        std::mem::take(&mut self.effects)
    }

    /// Establishes the connection and replies to the handshake with this session and timeout; returns the client's
    /// record.
    fn handshake(&mut self, session_id: i64, timeout_ms: i32) -> ConnectRequest {
        self.session.connection_opened(self.now, &mut self.effects);
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
                timeout_ms,
                session_id,
                password: vec![session_id as u8; 16],
            }
            .write(out)
        });
        self.session.receive(self.now, &bytes, &mut self.effects);
        connect
    }

    /// Establishes session 5 with a timeout of 3 s.
    fn establish(&mut self) {
        self.handshake(5, 3_000);
        assert_eq!(
            self.take_effects(),
            [StoreSessionEffect::Established { new: true }]
        );
    }

    /// Sends a request and returns its number.
    fn request(&mut self, request: StoreRequest) -> i32 {
        let xid = self
            .session
            .request(self.now, request, &mut self.effects)
            .expect("session is connected");
        self.take_effects();
        xid
    }

    /// Delivers a reply with this header, and the body that `write_body` appends.
    fn reply(
        &mut self,
        xid: i32,
        zxid: i64,
        error_code: i32,
        write_body: impl FnOnce(&mut Vec<u8>),
    ) {
        let mut bytes = Vec::new();
        write_frame(&mut bytes, |out| {
            ReplyHeader {
                xid,
                zxid,
                error_code,
            }
            .write(out);
            write_body(out);
        });
        // In two pieces, as a TCP stream may deliver it.
        let (first, second) = bytes.split_at(bytes.len() / 2);
        self.session.receive(self.now, first, &mut self.effects);
        self.session.receive(self.now, second, &mut self.effects);
    }

    /// Advances the time from tick to tick until the session has this state.
    fn advance_until(&mut self, state: StoreSessionState) {
        for _ in 0..20 {
            if self.session.state() == state {
                return;
            }
            self.now = self.now.max(self.session.next_tick_due());
            self.session.tick(self.now, &mut self.effects);
        }
        panic!("session never reached {state:?}");
    }
}

/// Requests the children of `/hosts` with a watch; the store replies that there are none, as of transaction `zxid`.
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
fn responses_and_watch_events_are_reported() {
    let mut harness = SessionHarness::new(1);
    assert_eq!(harness.take_effects(), [StoreSessionEffect::Connect(0)]);
    harness.establish();
    let xid = harness.request(children("/hosts"));
    harness.reply(xid, 9, 0, |out| {
        out.vector(&["a", "b"], |out, name| out.string(name));
        NodeStat::default().write(out);
    });
    let response = Ok(StoreResponse::Children(
        vec!["a".into(), "b".into()],
        NodeStat::default(),
    ));
    assert_eq!(
        harness.take_effects(),
        [StoreSessionEffect::ResponseReceived { xid, response }]
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
    let pending_xid = harness.request(StoreRequest::Exists {
        path: "/x".into(),
        watch: true,
    });
    harness.take_effects();
    harness
        .session
        .connection_failed(harness.now, &mut harness.effects);
    assert_eq!(
        harness.take_effects(),
        [
            StoreSessionEffect::ConnectionLost,
            StoreSessionEffect::ResponseLost { xid: pending_xid },
            StoreSessionEffect::CloseConnection
        ]
    );
    assert!(
        harness
            .session
            .request(harness.now, children("/y"), &mut harness.effects)
            .is_none()
    );
    harness.advance_until(StoreSessionState::Connecting);
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
    let effects = harness.take_effects();
    let [
        StoreSessionEffect::Send(watches),
        StoreSessionEffect::Established { new: false },
    ] = &effects[..]
    else {
        panic!("{effects:?}")
    };
    let (_, request) = StoreRequest::read(&watches[4..]).unwrap();
    let child = vec!["/hosts".to_string()];
    assert_eq!(
        request,
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
        .connection_failed(harness.now, &mut harness.effects);
    harness.advance_until(StoreSessionState::Connecting);
    harness.take_effects();
    harness.handshake(0, 0);
    assert_eq!(
        harness.take_effects(),
        [
            StoreSessionEffect::Expired,
            StoreSessionEffect::CloseConnection
        ]
    );
    harness.advance_until(StoreSessionState::Connecting);
    harness.take_effects();
    let connect = harness.handshake(6, 3_000);
    assert_eq!((connect.session_id, connect.last_zxid), (0, 0));
    assert_eq!(
        harness.take_effects(),
        [StoreSessionEffect::Established { new: true }]
    );
}

#[test]
fn a_silent_store_is_pinged_and_the_connection_closed_before_the_session_expires() {
    let mut harness = SessionHarness::new(1);
    harness.take_effects();
    harness.establish();
    harness.advance_until(StoreSessionState::BackingOff);
    assert_eq!(harness.now, ms(2_000));
    let effects = harness.take_effects();
    let pings = effects.iter().filter(
        |effect| matches!(effect, StoreSessionEffect::Send(bytes) if bytes[4..8] == [255, 255, 255, 254]),
    );
    assert_eq!(
        (
            pings.count(),
            effects.contains(&StoreSessionEffect::ConnectionLost)
        ),
        (1, true),
        "{effects:?}"
    );
}

#[test]
fn reconnect_delays_grow_up_to_a_limit_with_jitter() {
    let mut harness = SessionHarness::new(2);
    let mut delays = Vec::new();
    for _ in 0..14 {
        harness
            .session
            .connection_failed(harness.now, &mut harness.effects);
        delays.push(harness.session.next_tick_due() - harness.now);
        harness.now = harness.session.next_tick_due();
        harness.session.tick(harness.now, &mut harness.effects);
    }
    assert!(delays[0] <= ms(75) && delays[6] >= ms(1_600), "{delays:?}");
    assert!(delays.iter().all(|delay| *delay <= ms(7_500)), "{delays:?}");
    assert!(
        delays[10..].windows(2).all(|pair| pair[0] != pair[1]),
        "no jitter: {delays:?}"
    );
}

#[test_case(&[0x7f, 0xff, 0xff, 0xff]; "a frame above the length limit")]
#[test_case(&[0, 0, 0, 2, 1, 2]; "a truncated record")]
#[test_case(&[0, 0, 0, 20, 255, 255, 255, 255, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 99]; "an unknown event")]
fn undecodable_bytes_end_the_connection_and_not_the_session(bytes: &[u8]) {
    let mut harness = SessionHarness::new(1);
    harness.take_effects();
    harness.establish();
    harness
        .session
        .receive(harness.now, bytes, &mut harness.effects);
    let effects = harness.take_effects();
    assert!(
        matches!(
            effects[..],
            [
                StoreSessionEffect::ProtocolError(_),
                StoreSessionEffect::ConnectionLost,
                StoreSessionEffect::CloseConnection
            ]
        ),
        "{effects:?}"
    );
    harness.advance_until(StoreSessionState::Connecting);
    assert_eq!(harness.handshake(5, 3_000).session_id, 5);
}

#[test]
fn closing_sends_a_close_request_and_ends_the_session() {
    let mut harness = SessionHarness::new(1);
    harness.take_effects();
    harness.establish();
    harness.session.close(harness.now, &mut harness.effects);
    let effects = harness.take_effects();
    assert!(
        matches!(&effects[..], [StoreSessionEffect::Send(bytes), StoreSessionEffect::CloseConnection] if bytes[8..] == [255, 255, 255, 245])
    );
    harness
        .session
        .connection_failed(harness.now, &mut harness.effects);
    harness.session.tick(ms(60_000), &mut harness.effects);
    assert_eq!(
        (harness.take_effects(), harness.session.next_tick_due()),
        (vec![], Duration::MAX)
    );
}
