//! Every message is decoded as it was encoded, and truncated, extended or altered messages are
//! refused.

use asterramp_hot_restart::{
    BufferedBytes, EndpointRecord, EndpointRecordState, HotRestartMessage, SessionOffer,
};
use std::time::Duration;
use test_case::test_case;

fn endpoint(state: EndpointRecordState, started_at: Option<Duration>) -> EndpointRecord {
    EndpointRecord {
        uid: "s-1".into(),
        address: "10.0.0.1:80".into(),
        zone: "".into(),
        cell: 7,
        state,
        weight: 0.5,
        started_at,
    }
}

fn buffered(validated_len: usize, bytes: &[u8]) -> BufferedBytes {
    BufferedBytes {
        validated_len,
        bytes: bytes.to_vec(),
    }
}

fn session(response_timeout: Option<Duration>) -> SessionOffer {
    SessionOffer {
        opening_line: b"OPEN 1 2 c=a\r\n".to_vec(),
        server_uid: "s-1".into(),
        response_timeout,
        from_client: buffered(3, b"a\r\nb"),
        from_server: buffered(0, b""),
    }
}

fn messages() -> Vec<HotRestartMessage> {
    let ready = endpoint(EndpointRecordState::Ready, None);
    let gone = endpoint(EndpointRecordState::Gone, Some(Duration::from_millis(9)));
    vec![
        HotRestartMessage::Hello,
        HotRestartMessage::Endpoints(vec![ready, gone]),
        HotRestartMessage::Endpoints(Vec::new()),
        HotRestartMessage::Listener {
            list_revision: u64::MAX,
        },
        HotRestartMessage::Serving,
        HotRestartMessage::OpenDescriptors(9),
        HotRestartMessage::SessionOffer(session(None)),
        HotRestartMessage::SessionOffer(session(Some(Duration::from_millis(20)))),
        HotRestartMessage::PendingConnectionOffer(buffered(0, b"OPE")),
        HotRestartMessage::OfferAccepted,
        HotRestartMessage::HandoverStopped,
        HotRestartMessage::SessionIdsRequested,
        HotRestartMessage::OpenSessionIds(vec!["a".into(), "ü".into()]),
        HotRestartMessage::EndedSessionIds(Vec::new()),
    ]
}

#[test]
fn messages_are_decoded_as_encoded_and_refused_if_truncated_or_extended() {
    for message in messages() {
        let encoded = message.encode();
        assert_eq!(HotRestartMessage::decode(&encoded), Ok(message.clone()));
        for length in 0..encoded.len() {
            let truncated = HotRestartMessage::decode(&encoded[..length]);
            assert!(truncated.is_err(), "{message:?} truncated at {length}");
        }
        let extended = [&encoded[..], b"x"].concat();
        assert!(
            HotRestartMessage::decode(&extended).is_err(),
            "{message:?} extended by a byte"
        );
    }
}

#[test_case(0, b'B'; "another magic")]
#[test_case(3, 2; "another version")]
#[test_case(4, 99; "an unknown kind")]
#[test_case(5, 200; "a wrong length")]
fn an_altered_header_is_refused(offset: usize, byte: u8) {
    for message in messages() {
        let mut encoded = message.encode();
        encoded[offset] = byte;
        assert!(HotRestartMessage::decode(&encoded).is_err(), "{message:?}");
    }
}

#[test]
fn any_bytes_are_decoded_without_a_panic() {
    const ROUNDS_PER_MESSAGE: usize = 2_000;
    const ALTERED_BYTES: usize = 3;
    // State of a linear congruential generator.
    let mut random = 1u32;
    for message in messages() {
        for _ in 0..ROUNDS_PER_MESSAGE {
            let mut encoded = message.encode();
            for _ in 0..ALTERED_BYTES {
                random = random.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
                let offset = 5 + (random >> 8) as usize % (encoded.len() - 4);
                if let Some(byte) = encoded.get_mut(offset) {
                    *byte = (random >> 24) as u8;
                }
            }
            let _ = HotRestartMessage::decode(&encoded);
        }
    }
}
