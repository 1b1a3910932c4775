//! Encoding and decoding of records, checked against bytes derived by hand from the published format.

use asterramp_zookeeper::frame::{FrameReader, MAX_FRAME_BYTES, write_frame};
use asterramp_zookeeper::jute::{DecodeError, JuteReader};
use asterramp_zookeeper::record::{
    ANY_VERSION, ConnectRequest, ConnectResponse, NodeStat, ReplyHeader, StoreError, StoreRequest,
    WatchEvent, WatchEventKind, XID_EVENT, XID_PING,
};
use proptest::prelude::*;
use test_case::test_case;

/// Parses a test's notation for bytes: words of hexadecimal digits, and words of text in double quotes.
fn bytes(spec: &str) -> Vec<u8> {
    let mut out = Vec::new();
    for word in spec.split_whitespace() {
        match word
            .strip_prefix('"')
            .and_then(|text| text.strip_suffix('"'))
        {
            Some(text) => out.extend(text.bytes()),
            None => out.extend(
                (0..word.len())
                    .step_by(2)
                    .map(|i| u8::from_str_radix(&word[i..i + 2], 16).unwrap()),
            ),
        }
    }
    out
}

fn children_request(path: &str) -> StoreRequest {
    StoreRequest::GetChildren {
        path: path.into(),
        watch: true,
    }
}

#[test_case(XID_PING, StoreRequest::Ping, "fffffffe 0000000b"; "ping")]
#[test_case(7, StoreRequest::Close, "00000007 fffffff5"; "close")]
#[test_case(1, children_request("/hosts"), "00000001 0000000c 00000006 \"/hosts\" 01"; "children with a watch")]
#[test_case(2, StoreRequest::GetData { path: "/a".into(), watch: false }, "00000002 00000004 00000002 \"/a\" 00"; "data")]
#[test_case(3, StoreRequest::Exists { path: "/a".into(), watch: true }, "00000003 00000003 00000002 \"/a\" 01"; "exists")]
#[test_case(4, StoreRequest::Delete { path: "/a".into(), version: ANY_VERSION }, "00000004 00000002 00000002 \"/a\" ffffffff"; "delete")]
#[test_case(5, StoreRequest::SetData { path: "/a".into(), data: b"x".to_vec(), version: 2 }, "00000005 00000005 00000002 \"/a\" 00000001 \"x\" 00000002"; "set data")]
#[test_case(6, StoreRequest::Create { path: "/a".into(), data: b"{}".to_vec(), ephemeral: true },
    "00000006 00000001 00000002 \"/a\" 00000002 \"{}\" 00000001 0000001f 00000005 \"world\" 00000006 \"anyone\" 00000001"; "an ephemeral node")]
#[test_case(-4, StoreRequest::Auth { scheme: "digest".into(), secret: b"a:b".to_vec() }, "fffffffc 00000064 00000000 00000006 \"digest\" 00000003 \"a:b\""; "auth")]
#[test_case(-8, StoreRequest::SetWatches { since: 258, data: vec!["/a".into()], exist: vec![], child: vec!["/b".into()] },
    "fffffff8 00000065 0000000000000102 00000001 00000002 \"/a\" 00000000 00000001 00000002 \"/b\""; "set watches")]
#[test_case(9, StoreRequest::Multi(vec![StoreRequest::Delete { path: "/a".into(), version: 1 }]),
    "00000009 0000000e 00000002 00 ffffffff 00000002 \"/a\" 00000001 ffffffff 01 ffffffff"; "multi")]
fn a_request_has_the_published_bytes(xid: i32, request: StoreRequest, spec: &str) {
    let mut out = Vec::new();
    request.write(xid, &mut out);
    assert_eq!(out, bytes(spec));
    assert_eq!(StoreRequest::read(&out), Ok((xid, request)));
    for cut in 0..out.len() {
        assert!(StoreRequest::read(&out[..cut]).is_err(), "cut at {cut}");
    }
    out.push(0);
    assert!(StoreRequest::read(&out).is_err(), "a trailing byte");
}

#[test]
fn a_handshake_has_the_published_bytes_with_and_without_the_read_only_flag() {
    let connect = ConnectRequest {
        last_zxid: 1,
        timeout_ms: 4_000,
        session_id: 2,
        password: vec![9; 2],
    };
    let mut out = Vec::new();
    connect.write(&mut out);
    assert_eq!(
        out,
        bytes("00000000 0000000000000001 00000fa0 0000000000000002 00000002 0909 00")
    );
    assert_eq!(
        (
            ConnectRequest::read(&out),
            ConnectRequest::read(&out[..out.len() - 1])
        ),
        (Ok(connect.clone()), Ok(connect))
    );
    let connected = ConnectResponse {
        timeout_ms: 4_000,
        session_id: 2,
        password: vec![7],
    };
    let mut out = Vec::new();
    connected.write(&mut out);
    assert_eq!(
        out,
        bytes("00000000 00000fa0 0000000000000002 00000001 07 00")
    );
    assert_eq!(
        (
            ConnectResponse::read(&out),
            ConnectResponse::read(&out[..out.len() - 1])
        ),
        (Ok(connected.clone()), Ok(connected))
    );
}

#[test]
fn replies_and_watch_events_have_the_published_bytes() {
    let mut out = Vec::new();
    ReplyHeader {
        xid: XID_EVENT,
        zxid: -1,
        error_code: 0,
    }
    .write(&mut out);
    let event = WatchEvent {
        kind: WatchEventKind::Children,
        state: 3,
        path: "/hosts".into(),
    };
    event.write(&mut out);
    assert_eq!(
        out,
        bytes("ffffffff ffffffffffffffff 00000000 00000004 00000003 00000006 \"/hosts\"")
    );
    let mut reader = JuteReader::new(&out);
    assert_eq!(
        ReplyHeader::read(&mut reader).map(|header| header.xid),
        Ok(XID_EVENT)
    );
    assert_eq!(
        (WatchEvent::read(&mut reader), reader.finish()),
        (Ok(event), Ok(()))
    );
    let stat = NodeStat {
        created_zxid: 1,
        version: 2,
        ephemeral_owner: 3,
        data_length: 4,
        child_modified_zxid: 5,
        ..NodeStat::default()
    };
    let mut out = Vec::new();
    stat.write(&mut out);
    assert_eq!(
        (out.len(), NodeStat::read(&mut JuteReader::new(&out))),
        (68, Ok(stat))
    );
}

#[test_case(0, None; "done")]
#[test_case(-101, Some(StoreError::NoNode); "no node")]
#[test_case(-112, Some(StoreError::SessionExpired); "expired")]
#[test_case(-999, Some(StoreError::Other(-999)); "unknown")]
fn an_error_has_the_published_code(code: i32, error: Option<StoreError>) {
    assert_eq!(StoreError::from_code(code), error);
    assert!(error.is_none_or(|error| error.code() == code));
}

#[test_case("00000001 00000003 7fffffff \"/a\" 01", DecodeError::Truncated; "a length above the bytes of the record")]
#[test_case("00000001 00000003 fffffffe \"/a\" 01", DecodeError::InvalidLength(-2); "a length below -1")]
#[test_case("00000001 00000003 00000002 \"/a\" 02", DecodeError::InvalidValue(2); "a boolean of two")]
#[test_case("00000001 00000003 00000001 ff 01", DecodeError::NotUtf8; "not text")]
#[test_case("00000001 00000063", DecodeError::InvalidValue(99); "an unknown operation")]
#[test_case("00000001 00000065 0000000000000000 7fffffff", DecodeError::InvalidLength(i32::MAX); "a count above the limit")]
#[test_case("00000001 00000065 0000000000000000 00010000", DecodeError::Truncated; "a count above the bytes of the record")]
#[test_case("00000001 0000000e 0000000e 00 ffffffff", DecodeError::InvalidValue(14); "a multi within a multi")]
fn a_record_that_cannot_be_decoded_is_rejected_with_its_reason(spec: &str, error: DecodeError) {
    assert_eq!(StoreRequest::read(&bytes(spec)), Err(error));
}

#[test]
fn frames_are_read_from_pieces_of_any_size_and_too_long_ones_are_rejected() {
    let mut out = Vec::new();
    for length in [0_usize, 3, 300] {
        write_frame(&mut out, |out| out.extend(vec![length as u8; length]));
    }
    for piece_length in [1, 2, 5, 1_000] {
        let (mut frames, mut frame_lengths) = (FrameReader::default(), Vec::new());
        for piece in out.chunks(piece_length) {
            frames.append(piece);
            while let Some(frame) = frames.next_frame().unwrap() {
                frame_lengths.push(frame.len());
            }
        }
        assert_eq!(
            (frame_lengths, frames.buffered_bytes()),
            (vec![0, 3, 300], 0)
        );
    }
    for length in [-1, MAX_FRAME_BYTES as i32 + 1] {
        let mut frames = FrameReader::default();
        frames.append(&length.to_be_bytes());
        assert_eq!(frames.next_frame(), Err(DecodeError::InvalidLength(length)));
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(512) })]

    #[test]
    fn any_bytes_are_decoded_or_rejected(body in prop::collection::vec(any::<u8>(), 0..400), operation in 0_u8..16) {
        let mut request_bytes = vec![0, 0, 0, 1, 0, 0, 0, operation];
        request_bytes.extend(&body);
        for bytes in [&body, &request_bytes] {
            if let Ok((xid, request)) = StoreRequest::read(bytes) {
                let mut out = Vec::new();
                request.write(xid, &mut out);
                prop_assert_eq!(StoreRequest::read(&out), Ok((xid, request)));
            }
            let _ = (ConnectRequest::read(bytes), ConnectResponse::read(bytes), WatchEvent::read(&mut JuteReader::new(bytes)));
        }
    }
}
