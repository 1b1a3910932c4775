//! Compares the bytes on the admin socket with those of an earlier build. That build wrote the files under `golden/`,
//! and they never change; only the Rust names in this file may.

#[path = "support/golden.rs"]
mod golden_files;

use asterramp_admin_protocol::{
    AdminClient, AdminCommand, AdminReply, AdminRequest, AdmissionStatus, EndpointSourceCount,
    HTTP_ROUTES, LeaderToken, ListenerSessions, MAX_REPLY_BYTES, MAX_REQUEST_BYTES,
    PROTOCOL_VERSION, ProxyStatus, RejectionCount, SessionCostEstimate, SnapshotCounts,
    WarmStartStatus, ZoneStatus,
};
use golden_files::{assert_golden, golden};
use std::io::{BufRead, BufReader, Write};
use std::os::unix::net::UnixListener;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

const COMMANDS: [AdminCommand; 7] = [
    AdminCommand::Status,
    AdminCommand::Drain,
    AdminCommand::Undrain,
    AdminCommand::AnnounceTerm,
    AdminCommand::Shutdown,
    AdminCommand::Readiness,
    AdminCommand::Stats,
];

const LEADER: LeaderToken = LeaderToken {
    term: 18,
    incarnation: u64::MAX,
    expires_at_us: 1_723_000_111_222_333,
};

/// Each command, with and without a leader's token, and drains with each combination of optional fields.
fn requests() -> Vec<AdminRequest> {
    let mut requests = Vec::new();
    for command in COMMANDS {
        for leader in [None, Some(LEADER)] {
            requests.push(AdminRequest {
                leader,
                ..AdminRequest::new(command)
            });
        }
    }
    for deadline_ms in [None, Some(0), Some(60_000), Some(86_400_000)] {
        for migrations_per_second in [None, Some(0.1), Some(12.5), Some(200.0), Some(100_000.0)] {
            for leader in [None, Some(LEADER)] {
                requests.push(AdminRequest {
                    deadline_ms,
                    migrations_per_second,
                    leader,
                    ..AdminRequest::new(AdminCommand::Drain)
                });
            }
        }
    }
    requests
}

#[test]
fn requests_are_encoded_as_before() {
    let mut text = String::new();
    for request in requests() {
        text += &serde_json::to_string(&request).unwrap();
        text += "\n";
    }
    assert_golden("requests.jsonl", &text);
}

#[test]
fn requests_of_earlier_builds_are_accepted_or_rejected_as_before() {
    let lines = golden("requests.jsonl");
    assert_eq!(lines.lines().count(), requests().len());
    let mut rejected = 0;
    for (line, request) in lines.lines().zip(requests()) {
        let needs_leader = matches!(
            request.command,
            AdminCommand::AnnounceTerm | AdminCommand::Shutdown
        );
        match AdminRequest::parse(line.as_bytes()) {
            Ok(parsed) => assert_eq!(parsed, request, "{line}"),
            Err(_) => {
                assert!(needs_leader && request.leader.is_none(), "{line}");
                rejected += 1;
            }
        }
    }
    assert_eq!(rejected, 2);
}

/// Lines that must be rejected, and some valid ones with spaces, null values or another order of keys.
const REQUEST_LINES: &[&str] = &[
    "",
    "x",
    "{}",
    "[]",
    "null",
    "{\"v\":1}",
    "{\"do\":\"status\"}",
    "{\"v\":2,\"do\":\"status\"}",
    "{\"v\":0,\"do\":\"drain\",\"pace\":0}",
    "{\"v\":-1,\"do\":\"status\"}",
    "{\"v\":1.5,\"do\":\"status\"}",
    "{\"v\":\"1\",\"do\":\"status\"}",
    "{\"v\":4294967296,\"do\":\"status\"}",
    "{\"v\":1,\"do\":\"halt\"}",
    "{\"v\":1,\"do\":\"Status\"}",
    "{\"v\":1,\"do\":null}",
    "{\"v\":1,\"do\":7}",
    "{\"v\":1,\"do\":\"status\",\"odd\":1}",
    "{\"v\":1,\"v\":1,\"do\":\"status\"}",
    "{\"v\":1,\"do\":\"status\"",
    "{\"v\":1,\"do\":\"status\"} x",
    "{\"v\":1,\"do\":\"status\",\"pace\":1}",
    "{\"v\":1,\"do\":\"undrain\",\"deadline_ms\":1}",
    "{\"v\":1,\"do\":\"ready\",\"deadline_ms\":1}",
    "{\"v\":1,\"do\":\"stats\",\"pace\":1}",
    "{\"v\":1,\"do\":\"hear\"}",
    "{\"v\":1,\"do\":\"leave\"}",
    "{\"v\":1,\"do\":\"hear\",\"owner\":null}",
    "{\"v\":1,\"do\":\"leave\",\"pace\":1}",
    "{\"v\":1,\"do\":\"drain\",\"pace\":0}",
    "{\"v\":1,\"do\":\"drain\",\"pace\":0.09}",
    "{\"v\":1,\"do\":\"drain\",\"pace\":-1}",
    "{\"v\":1,\"do\":\"drain\",\"pace\":100001}",
    "{\"v\":1,\"do\":\"drain\",\"pace\":1e999}",
    "{\"v\":1,\"do\":\"drain\",\"pace\":\"1\"}",
    "{\"v\":1,\"do\":\"drain\",\"deadline_ms\":86400001}",
    "{\"v\":1,\"do\":\"drain\",\"deadline_ms\":86400001,\"pace\":0}",
    "{\"v\":1,\"do\":\"drain\",\"deadline_ms\":-1}",
    "{\"v\":1,\"do\":\"drain\",\"deadline_ms\":1.5}",
    "{\"v\":1,\"do\":\"drain\",\"deadline_ms\":\"60s\"}",
    "{\"v\":1,\"do\":\"drain\",\"owner\":{}}",
    "{\"v\":1,\"do\":\"drain\",\"owner\":{\"term\":1}}",
    "{\"v\":1,\"do\":\"drain\",\"owner\":{\"term\":1,\"boot\":2}}",
    "{\"v\":1,\"do\":\"drain\",\"owner\":{\"term\":1,\"boot\":2,\"until_us\":3,\"odd\":4}}",
    "{\"v\":1,\"do\":\"drain\",\"owner\":{\"term\":-1,\"boot\":2,\"until_us\":3}}",
    "{\"v\":1,\"do\":\"drain\",\"owner\":7}",
    " { \"do\" : \"drain\" , \"v\" : 1 } ",
    "{\"do\":\"drain\",\"pace\":null,\"deadline_ms\":null,\"owner\":null,\"v\":1}",
    "{\"v\":1,\"do\":\"drain\",\"pace\":7}",
    "{\"owner\":{\"until_us\":3,\"boot\":2,\"term\":1},\"do\":\"leave\",\"v\":1}",
];

#[test]
fn an_invalid_request_is_rejected_with_the_same_text() {
    let mut text = String::new();
    for line in REQUEST_LINES {
        let outcome = match AdminRequest::parse(line.as_bytes()) {
            Ok(request) => format!("read as {}", serde_json::to_string(&request).unwrap()),
            Err(error) => format!("refused: {error}"),
        };
        text += &format!("{line}\n    {outcome}\n");
    }
    let not_utf8_error = AdminRequest::parse(b"{\"v\":1,\"do\":\"\xff\"}").unwrap_err();
    text += &format!("(a byte that is not text)\n    refused: {not_utf8_error}\n");
    assert_golden("refused.txt", &text);
}

/// A status in which every field has another value, so that exchanged fields are detected.
fn full_status() -> ProxyStatus {
    ProxyStatus {
        pid: 101,
        state: "moving".into(),
        uptime_ms: 102,
        open_sessions: 103,
        pending_sessions: 104,
        sessionless_connections: 105,
        migrated_sessions: 106,
        migrations_per_second: 107.5,
        spare_capacity: Some(108.25),
        expected_empty_in_ms: Some(109),
        deadline_in_ms: Some(110),
        allows_next_drain: true,
        accepted_sessions: 111,
        remaining_sessions: remaining_sessions(),
        ready_endpoints: 114,
        listed_endpoints: 115,
        discovery_age_ms: Some(116),
        zones: vec![ZoneStatus {
            name: "a".into(),
            state: "given-up".into(),
            since_ms: 117,
            false_suspicions: 118,
            false_ejections: 119,
        }],
        warm_start: Some(warm_start_status()),
        admission: admission_statuses(),
        incarnation: 133,
        clock_us: 134,
        highest_term: 135,
    }
}

fn remaining_sessions() -> Vec<ListenerSessions> {
    vec![
        ListenerSessions {
            listener: "feed".into(),
            sessions: 112,
        },
        ListenerSessions {
            listener: "order \"x\"".into(),
            sessions: 113,
        },
    ]
}

fn warm_start_status() -> WarmStartStatus {
    WarmStartStatus {
        stage: "probing".into(),
        since_ms: 120,
        sources: vec![
            EndpointSourceCount {
                source: "saved".into(),
                reported: 121,
                confirmed: 122,
            },
            EndpointSourceCount {
                source: "told".into(),
                reported: 123,
                confirmed: 124,
            },
        ],
        dropped: 125,
        snapshots: Some(SnapshotCounts {
            saved: 126,
            failed: 127,
        }),
    }
}

fn admission_statuses() -> Vec<AdmissionStatus> {
    vec![
        AdmissionStatus {
            listener: "feed".into(),
            rejected: vec![
                RejectionCount {
                    reason: "room".into(),
                    sessions: 128,
                },
                RejectionCount {
                    reason: "over-portion".into(),
                    sessions: 129,
                },
            ],
            session_cost: Some(SessionCostEstimate {
                mean: 130.5,
                deviation: 131.5,
                age_ms: 132,
            }),
        },
        AdmissionStatus {
            listener: "order".into(),
            rejected: Vec::new(),
            session_cost: None,
        },
    ]
}

fn replies() -> Vec<AdminReply> {
    let warm_start = WarmStartStatus {
        stage: "normal".into(),
        ..WarmStartStatus::default()
    };
    vec![
        AdminReply::status(ProxyStatus::default()),
        AdminReply::status(full_status()),
        AdminReply::status(ProxyStatus {
            warm_start: Some(warm_start),
            zones: vec![ZoneStatus::default()],
            admission: vec![AdmissionStatus::default()],
            ..ProxyStatus::default()
        }),
        AdminReply::error("the proxy is not draining"),
        AdminReply::error("of \"quotes\", \\ and a line\nbreak"),
        AdminReply::text("yes\n".into()),
        AdminReply::text(String::new()),
    ]
}

#[test]
fn replies_are_encoded_and_decoded_as_before() {
    let replies = replies();
    let text: String = replies.iter().map(AdminReply::to_line).collect();
    assert_golden("replies.jsonl", &text);
    for (line, reply) in golden("replies.jsonl").lines().zip(replies) {
        let decoded: AdminReply = serde_json::from_str(line).unwrap();
        assert_eq!(decoded, reply, "{line}");
    }
}

#[test]
fn http_routes_and_limits_are_the_same() {
    let mut text = format!(
        "version {PROTOCOL_VERSION}, request {MAX_REQUEST_BYTES}, reply {MAX_REPLY_BYTES}\n"
    );
    for route in HTTP_ROUTES {
        let command = serde_json::to_string(&route.command).unwrap();
        text += &format!("{} {} {command}\n", route.method, route.path);
    }
    assert_golden("calls.txt", &text);
}

/// Request that a proxy received, and the client's result.
struct Exchange {
    /// The request as the proxy received it.
    request: String,
    /// The status that the client returned, or the text of its error with `<socket>` in place of the path.
    outcome: String,
}

/// Sends a request to a socket on which a proxy replies with these bytes.
fn exchange_with_reply(reply: &[u8]) -> Exchange {
    static NEXT_SOCKET: AtomicU32 = AtomicU32::new(0);
    let number = NEXT_SOCKET.fetch_add(1, Ordering::Relaxed);
    let name = format!("asterramp-golden-{}-{number}.sock", std::process::id());
    let path: PathBuf = std::env::temp_dir().join(name);
    let listener = UnixListener::bind(&path).unwrap();
    let reply = reply.to_vec();
    let proxy = std::thread::spawn(move || {
        let (stream, _) = listener.accept().unwrap();
        let mut stream = BufReader::new(stream);
        let mut request = String::new();
        stream.read_line(&mut request).unwrap();
        let _ = stream.get_mut().write_all(&reply);
        request
    });
    let request = AdminRequest {
        deadline_ms: Some(1_500),
        ..AdminRequest::new(AdminCommand::Drain)
    };
    let mut client = AdminClient::connect(&path).unwrap();
    let status = client.send(&request);
    drop(client);
    std::fs::remove_file(&path).unwrap();
    let shown_path = path.display().to_string();
    let outcome = match status {
        Ok(status) => serde_json::to_string(&status).unwrap(),
        Err(error) => format!("error {error}").replace(&shown_path, "<socket>"),
    };
    let request = proxy.join().unwrap();
    Exchange { request, outcome }
}

#[test]
fn the_client_returns_the_same_result_for_each_reply() {
    let empty = AdminReply {
        version: 1,
        error: None,
        status: None,
        text: None,
    };
    let without_optional_fields = "{\"v\":1,\"status\":{\"pid\":1,\"state\":\"serving\",\"up_ms\":2,\"open\":3,\"pending\":4,\
                   \"strangers\":5,\"moved\":6,\"pace\":7.0,\"room\":null,\"expected_ms\":null,\
                   \"deadline_ms\":null,\"carries\":true,\"taken\":8,\"left\":[],\"hosts_ready\":9,\"hosts\":10,\
                   \"discovery_ms\":null}}\n";
    let error_and_status =
        without_optional_fields.replace("{\"v\":1,", "{\"v\":1,\"error\":\"no\",\"odd\":[1],");
    let replies: Vec<(&str, Vec<u8>)> = vec![
        ("full", AdminReply::status(full_status()).to_line().into()),
        ("of a build without terms", without_optional_fields.into()),
        ("an error beside a status", error_and_status.into()),
        (
            "error",
            AdminReply::error("the proxy is not draining")
                .to_line()
                .into(),
        ),
        ("text", AdminReply::text("yes\n".into()).to_line().into()),
        ("empty", empty.to_line().into()),
        ("nothing", Vec::new()),
        ("no JSON", b"nonsense\n".to_vec()),
        ("cut off", b"{\"v\":1,\"status\":{".to_vec()),
        (
            "a key missing",
            b"{\"v\":1,\"status\":{\"pid\":1}}\n".to_vec(),
        ),
        ("not text", b"\xff\xfe\n".to_vec()),
        ("too long", vec![b'x'; MAX_REPLY_BYTES + 10]),
    ];
    let mut text = String::new();
    for (name, reply) in replies {
        let Exchange { request, outcome } = exchange_with_reply(&reply);
        text += &format!("{name}: {outcome}\n");
        assert_eq!(request, "{\"v\":1,\"do\":\"drain\",\"deadline_ms\":1500}\n");
    }
    let connect_error = AdminClient::connect(Path::new("/nowhere/at.sock")).err();
    text += &format!("nobody: error {}\n", connect_error.unwrap());
    assert_golden("answers.txt", &text);
}
