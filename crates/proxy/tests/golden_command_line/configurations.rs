//! The errors that `asterramp validate` reports for invalid configurations.

use super::support::{assert_golden, temporary_path};
use super::{asterramp, format_output};

/// A configuration without errors.
pub(crate) const VALID_CONFIGURATION: &str = r#"{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":512},
"known":{"rev":7,"all":true,"targets":[{"uid":"s-0","endpoint":"127.0.0.1:10","az":"a","state":"ready","capacity_hint":1.0,"boot_ms":0}]},
"settings":{"discovery":"pushed","instances":1,"self_index":0,"zone":0,"localities":["a","b"],
"listeners":[{"name":"feed","semantics":"read_like","handshake_target":800000,"give_up":2000000},
{"name":"order","semantics":"non_idempotent","handshake_target":800000,"give_up":2000000}],
"tenants":[{"name":"acme"}],"load_info":{"fields":["x0","outstanding"],"how":"on_probe"},
"permissions":{"max_dials":2,"cancelling":true,"retry_after":true,"max_retry_after":2000000,
"dial_timeout":200000,"may_probe":false},
"rules":{"cold":8900000,"cold_share":0.31,"tip_multiple":4.0,"drain_grace":400000},"weights":"fixed"}}"#;

/// Parts of the valid configuration, each with its replacement. Some of the results are valid too.
const REPLACEMENTS: &[(&str, &str)] = &[
    ("", ""),
    ("{\"name\"", "\"name\""),
    ("\"name\":\"n0\"", "\"name\":\"n0"),
    ("\"name\":\"n0\"", "\"name\":\"\\q\""),
    ("\"name\":\"n0\"", "\"name\":nothing"),
    ("\"name\":\"n0\"", "\"name\":-"),
    ("\"name\":\"n0\"", "\"name\" \"n0\""),
    ("\"weights\":\"fixed\"}}", "\"weights\":\"fixed\"}} x"),
    ("\"weights\":\"fixed\"}}", "\"weights\":\"fixed\"}"),
    ("\"listen\":", "\"lusten\":"),
    ("\"listen\":\"127.0.0.1:0\"", "\"listen\":\"nowhere\""),
    ("\"listen\":\"127.0.0.1:0\"", "\"listen\":5"),
    (
        "\"discovery\":\"127.0.0.1:9\"",
        "\"discoveri\":\"127.0.0.1:9\"",
    ),
    ("\"discovery\":\"127.0.0.1:9\"", "\"discovery\":\"agent\""),
    ("\"seed\":", "\"sead\":"),
    ("\"seed\":\"8c1f30d27a5be964\"", "\"seed\":\"x\""),
    ("\"seed\":\"8c1f30d27a5be964\"", "\"seed\":7"),
    (
        "\"seed\":\"8c1f30d27a5be964\"",
        "\"seed\":\"08c1f30d27a5be9640\"",
    ),
    ("\"settings\":", "\"settinge\":"),
    ("\"known\":", "\"unknown\":"),
    ("\"rev\":7", "\"rev\":\"7\""),
    ("\"targets\":", "\"target\":"),
    ("\"uid\":\"s-0\"", "\"uid\":0"),
    ("\"state\":\"ready\"", "\"state\":\"up\""),
    ("\"endpoint\":\"127.0.0.1:10\"", "\"endpoint\":\"there\""),
    ("\"capacity_hint\":1.0", "\"capacity_hint\":-1"),
    ("\"boot_ms\":0", "\"boot_ms\":1e300"),
    ("\"sockets\":512", "\"sockets\":63"),
    ("\"sockets\":512", "\"sockets\":0"),
    ("\"sockets\":512", "\"sockets\":\"many\""),
    ("\"sockets\":512", "\"sockets\":null"),
    ("\"sockets\":512", "\"sockets\":2e9"),
    ("\"memory_mb\":192", "\"memory_mb\":0.5"),
    ("\"limits\":", "\"limit\":"),
    ("\"name\":\"n0\"", "\"operator\":\"nowhere\""),
    ("\"name\":\"n0\"", "\"operator\":7"),
    ("\"name\":\"n0\"", "\"operator\":null"),
    ("\"name\":\"n0\"", "\"operator\":\"127.0.0.1:0\""),
    ("\"discovery\":\"pushed\",", ""),
    ("\"discovery\":\"pushed\"", "\"discovery\":\"on_request\""),
    ("\"instances\":1", "\"instances\":\"x\""),
    ("\"instances\":1,", ""),
    ("\"self_index\":0,", ""),
    ("\"semantics\":\"read_like\"", "\"semantics\":\"odd\""),
    (
        "\"semantics\":\"read_like\"",
        "\"semantics\":\"idempotency_key\"",
    ),
    (
        "\"semantics\":\"read_like\"",
        "\"semantics\":\"idempotency_key\",\"group\":\"odd\",\"key_ttl\":1",
    ),
    (
        "\"semantics\":\"read_like\"",
        "\"semantics\":\"idempotency_key\",\"group\":\"cell\",\"key_ttl\":1",
    ),
    (
        "\"semantics\":\"read_like\",\"handshake_target\":800000",
        "\"semantics\":\"read_like\",\"handshake_target\":-1",
    ),
    (
        "\"semantics\":\"read_like\",\"handshake_target\":800000,",
        "\"semantics\":\"read_like\",",
    ),
    ("\"name\":\"feed\"", "\"name\":\"feed\",\"utility\":-1"),
    ("\"name\":\"acme\"", "\"name\":\"acme\",\"portion\":1.5"),
    ("\"cold\":8900000,", ""),
    ("\"cold\":8900000", "\"cold\":\"long\""),
    ("\"cold_share\":0.31", "\"cold_share\":null"),
    ("\"drain_grace\":400000", "\"min_extra\":-1"),
    ("\"drain_grace\":400000", "\"min_extra\":2"),
    (
        "\"drain_grace\":400000",
        "\"counted_over\":1e30,\"min_extra\":2",
    ),
    (
        "\"weights\":\"fixed\"",
        "\"specifics\":{\"tenant_quota_connections\":[-1]}",
    ),
    (
        "\"weights\":\"fixed\"",
        "\"specifics\":{\"message_aim\":[\"x\",1]}",
    ),
];

#[test]
fn errors_in_a_configuration_are_reported_in_the_same_words() {
    let config = temporary_path("json");
    let mut text = String::new();
    for (part, replacement) in REPLACEMENTS {
        assert!(VALID_CONFIGURATION.contains(part), "{part}");
        std::fs::write(&config, VALID_CONFIGURATION.replacen(part, replacement, 1)).unwrap();
        let output = asterramp(&["validate"]).env("LB_CONFIG", &config).output();
        text += &format!("{part} -> {replacement}\n");
        text += &format_output(&output.unwrap(), &[(&config, "<config>")]);
    }
    std::fs::write(&config, VALID_CONFIGURATION).unwrap();
    for admin_http_address in ["127.0.0.1:0", "nowhere", ""] {
        let mut command = asterramp(&["validate"]);
        let output = command
            .env("LB_CONFIG", &config)
            .env("LB_OPERATOR", admin_http_address)
            .output();
        text += &format!(
            "LB_OPERATOR {admin_http_address:?}\n{}",
            format_output(&output.unwrap(), &[])
        );
    }
    std::fs::write(&config, b"{\"name\":\"\xff\"}").unwrap();
    let output = asterramp(&["validate"]).env("LB_CONFIG", &config).output();
    text += &format!("not text\n{}", format_output(&output.unwrap(), &[]));
    std::fs::write(&config, "[".repeat(30)).unwrap();
    let output = asterramp(&["validate"]).env("LB_CONFIG", &config).output();
    text += &format!("too deep\n{}", format_output(&output.unwrap(), &[]));
    std::fs::remove_file(config).unwrap();
    assert_golden("command_line/configurations.txt", &text);
}
