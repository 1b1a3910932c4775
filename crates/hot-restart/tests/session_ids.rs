//! Messages with session ids: their bytes, which processes of two builds exchange, and how ids are spread over messages.

use asterramp_hot_restart::{HotRestartMessage, MAX_MESSAGE_BYTES};

const GOLDEN: &str = include_str!("golden/session-ids.txt");

fn named_messages() -> Vec<(&'static str, HotRestartMessage)> {
    let ids = || vec!["9b1f03aa5c7e2d41".to_string(), "ü".to_string()];
    vec![
        (
            "announcement",
            HotRestartMessage::session_ids_announcement(),
        ),
        ("request", HotRestartMessage::SessionIdsRequested),
        ("open-none", HotRestartMessage::OpenSessionIds(Vec::new())),
        ("open-two", HotRestartMessage::OpenSessionIds(ids())),
        ("ended-none", HotRestartMessage::EndedSessionIds(Vec::new())),
        ("ended-two", HotRestartMessage::EndedSessionIds(ids())),
    ]
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

#[test]
fn messages_with_session_ids_are_encoded_as_the_golden_bytes() {
    let written: Vec<String> = named_messages()
        .iter()
        .map(|(name, message)| format!("{name} {}", hex(&message.encode())))
        .collect();
    let golden: Vec<&str> = GOLDEN
        .lines()
        .filter(|line| !line.starts_with('#'))
        .collect();
    assert_eq!(written, golden);
}

#[test]
fn only_an_endpoints_message_without_records_announces_session_ids() {
    for (name, message) in named_messages() {
        let is_announcement = message.is_session_ids_announcement();
        assert_eq!(is_announcement, name == "announcement", "{name}");
    }
}

#[test]
fn an_id_that_is_not_text_is_refused() {
    let mut encoded = HotRestartMessage::OpenSessionIds(vec!["x".into()]).encode();
    *encoded.last_mut().unwrap() = 0xff;
    let error = HotRestartMessage::decode(&encoded).unwrap_err();
    assert_eq!(error.to_string(), "a name is not text");
}

#[test]
fn ids_are_spread_over_messages_that_a_receiver_accepts() {
    const LONGEST_ID: usize = 4_096;
    let ids: Vec<String> = (0..200)
        .map(|index: usize| format!("{index:0>width$}", width = 1 + index * LONGEST_ID / 200))
        .collect();
    let mut received = Vec::new();
    for message in HotRestartMessage::open_session_ids(ids.clone()) {
        let encoded = message.encode();
        assert!(encoded.len() <= MAX_MESSAGE_BYTES);
        match HotRestartMessage::decode(&encoded) {
            Ok(HotRestartMessage::OpenSessionIds(ids)) => received.extend(ids),
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(received, ids);
    assert!(HotRestartMessage::ended_session_ids(Vec::new()).is_empty());
}
