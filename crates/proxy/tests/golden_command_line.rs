//! The command line as builds before the renames answered it: exit codes, error lines, the status texts, and the requests
//! that commands send. The files under `golden/command_line/` were written by such a build and never change; only the
//! Rust names in this file may.

use std::io::{BufRead, BufReader, Write};
use std::os::unix::net::UnixListener;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::atomic::{AtomicU32, Ordering};

fn assert_golden(name: &str, actual: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden/command_line")
        .join(name);
    let expected = std::fs::read_to_string(path).unwrap();
    for (nth, (expected, actual)) in expected.lines().zip(actual.lines()).enumerate() {
        assert_eq!(actual, expected, "{name}, line {}", nth + 1);
    }
    assert_eq!(actual, expected, "{name}: lengths");
}

/// A path of this test's own under the system's folder for such.
fn fresh_path(end: &str) -> PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let nth = NEXT.fetch_add(1, Ordering::Relaxed);
    std::env::temp_dir().join(format!(
        "asterramp-golden-{}-{nth}.{end}",
        std::process::id()
    ))
}

/// The program without anything that the environment of this test would tell it.
fn asterramp(args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_asterramp"));
    command.args(args);
    for variable in ["LB_CONFIG", "LB_OPERATOR", "ASTERRAMP_OPERATOR", "TMPDIR"] {
        command.env_remove(variable);
    }
    command
}

/// What came out of a run, each path that is of this run alone replaced by its placeholder.
fn shown(output: &Output, places: &[(&Path, &str)]) -> String {
    let part = |bytes: &[u8]| {
        let mut text = String::from_utf8(bytes.to_vec()).unwrap();
        for (path, placeholder) in places {
            text = text.replace(&path.display().to_string(), placeholder);
        }
        text
    };
    let mut text = format!("exit {}\n", output.status.code().unwrap());
    for (name, bytes) in [("out", &output.stdout), ("err", &output.stderr)] {
        for line in part(bytes).lines() {
            text += &format!("{name}: {line}\n");
        }
    }
    text
}

/// Runs a command against a control socket at which each request gets the next of the answers; what the command did, and
/// the requests that came.
fn against(answers: &[String], args: &[&str]) -> String {
    let socket = fresh_path("sock");
    let listener = UnixListener::bind(&socket).unwrap();
    let answers = answers.to_vec();
    let proxy = std::thread::spawn(move || {
        let (stream, _) = listener.accept().unwrap();
        let mut stream = BufReader::new(stream);
        let mut requests = String::new();
        for answer in answers {
            let mut line = String::new();
            if stream.read_line(&mut line).unwrap() == 0 {
                requests += "in: (nothing more)\n";
                break;
            }
            requests += &format!("in: {line}");
            let _ = stream.get_mut().write_all(answer.as_bytes());
        }
        requests
    });
    let output = asterramp(args).arg("--control").arg(&socket).output();
    let requests = proxy.join().unwrap();
    std::fs::remove_file(&socket).unwrap();
    requests + &shown(&output.unwrap(), &[(&socket, "<socket>")])
}

/// A reply line with these fields of a status changed.
fn reply(changes: &[(&str, &str)]) -> String {
    let mut fields = vec![
        ("pid", "4711"),
        ("state", "\"serving\""),
        ("up_ms", "61000"),
        ("open", "12"),
        ("pending", "3"),
        ("strangers", "2"),
        ("moved", "0"),
        ("pace", "50.0"),
        ("room", "null"),
        ("expected_ms", "null"),
        ("deadline_ms", "null"),
        ("carries", "true"),
        ("taken", "99"),
        ("left", "[]"),
        ("hosts_ready", "4"),
        ("hosts", "5"),
        ("discovery_ms", "null"),
        ("boot", "7"),
        ("clock_us", "8"),
        ("term", "9"),
    ];
    for (name, value) in changes {
        match fields.iter_mut().find(|field| field.0 == *name) {
            Some(field) => field.1 = value,
            None => fields.insert(17, (name, value)),
        }
    }
    let fields: Vec<String> = fields
        .iter()
        .map(|(name, value)| format!("\"{name}\":{value}"))
        .collect();
    format!("{{\"v\":1,\"status\":{{{}}}}}\n", fields.join(","))
}

type Changes = &'static [(&'static str, &'static str)];

/// Statuses with each part that is told unset and set, one after the other.
const STATUSES: &[(&str, Changes)] = &[
    ("serving", &[]),
    ("discovery heard", &[("discovery_ms", "1250")]),
    ("not carrying", &[("carries", "false")]),
    (
        "closing",
        &[
            ("state", "\"closing\""),
            ("deadline_ms", "59940"),
            ("expected_ms", "240"),
            ("carries", "false"),
        ],
    ),
    (
        "moving, with who is left",
        &[
            ("state", "\"moving\""),
            ("moved", "31"),
            ("pace", "12.5"),
            ("deadline_ms", "12345"),
            ("expected_ms", "960"),
            ("left", "[[\"feed\",7],[\"order\",5]]"),
            ("room", "17.5"),
        ],
    ),
    (
        "late",
        &[
            ("state", "\"late\""),
            ("deadline_ms", "40"),
            ("expected_ms", "40"),
            ("pace", "2.0"),
        ],
    ),
    (
        "empty",
        &[
            ("state", "\"empty\""),
            ("open", "0"),
            ("pending", "0"),
            ("deadline_ms", "0"),
        ],
    ),
    ("exiting", &[("state", "\"exiting\""), ("carries", "false")]),
    (
        "a start by stages",
        &[(
            "start",
            "{\"stage\":\"probing\",\"since_ms\":1550,\"sources\":[[\"saved\",4,2],[\"heard\",1,0]],\
             \"dropped\":1,\"saved\":[3,1]}",
        )],
    ),
    (
        "a start that is over",
        &[(
            "start",
            "{\"stage\":\"normal\",\"since_ms\":1550,\"sources\":[[\"told\",4,4]],\"dropped\":0,\"saved\":null}",
        )],
    ),
    (
        "refusals",
        &[(
            "refusals",
            "[{\"listener\":\"feed\",\"refused\":[[\"room\",5],[\"worth\",2]],\"takes\":null},\
             {\"listener\":\"order\",\"refused\":[],\"takes\":[1.5,0.5,100]}]",
        )],
    ),
    (
        "places",
        &[(
            "places",
            "[{\"name\":\"a\",\"state\":\"lost\",\"since_ms\":2500,\"doubts\":1,\"false_alarms\":0},\
             {\"name\":\"b\",\"state\":\"whole\",\"since_ms\":9000,\"doubts\":0,\"false_alarms\":0}]",
        )],
    ),
    (
        "all at once",
        &[
            ("state", "\"moving\""),
            ("deadline_ms", "1000"),
            ("expected_ms", "500"),
            ("left", "[[\"feed\",1]]"),
            ("discovery_ms", "0"),
            (
                "start",
                "{\"stage\":\"admitting\",\"since_ms\":10,\"sources\":[],\"dropped\":0,\"saved\":null}",
            ),
            (
                "refusals",
                "[{\"listener\":\"feed\",\"refused\":[[\"over-portion\",1]],\"takes\":null}]",
            ),
            (
                "places",
                "[{\"name\":\"a\",\"state\":\"cut-off\",\"since_ms\":50,\"doubts\":0,\"false_alarms\":0},\
                 {\"name\":\"b\",\"state\":\"returning\",\"since_ms\":60,\"doubts\":0,\"false_alarms\":0}]",
            ),
        ],
    ),
];

#[test]
fn a_status_is_told_in_the_same_words_to_people_and_programs() {
    let mut text = String::new();
    for (name, changes) in STATUSES {
        let answer = [reply(changes)];
        text += &format!("{name}\n{}", against(&answer, &["status"]));
        text += &against(&answer, &["status", "--json"]);
    }
    assert_golden("status.txt", &text);
}

#[test]
fn orders_send_the_same_requests_and_end_the_same_way() {
    let error = |what: &str| format!("{{\"v\":1,\"error\":\"{what}\"}}\n");
    let moving = reply(&[("state", "\"moving\""), ("deadline_ms", "900")]);
    let empty = reply(&[("state", "\"empty\""), ("open", "0")]);
    let serving = reply(&[]);
    let orders: Vec<(Vec<String>, &[&str])> = vec![
        (vec![moving.clone()], &["drain"]),
        (vec![moving.clone()], &["drain", "--deadline", "90s"]),
        (
            vec![moving.clone()],
            &["drain", "--deadline", "1.5s", "--pace", "12.5"],
        ),
        (
            vec![moving.clone(), moving.clone(), empty.clone()],
            &["drain", "--deadline", "30s", "--wait"],
        ),
        (vec![moving.clone(), serving.clone()], &["drain", "--wait"]),
        (
            vec![moving.clone(), error("the proxy leaves for good")],
            &["drain", "--wait"],
        ),
        (
            vec![error(
                "pace is out of range; allowed are 0.1 to 100000 a second",
            )],
            &["drain", "--pace", "0"],
        ),
        (vec![error("the proxy leaves for good")], &["drain"]),
        (vec![serving.clone()], &["undrain"]),
        (vec![error("the proxy is not draining")], &["undrain"]),
        (vec!["nonsense\n".into()], &["status"]),
        (vec!["{\"v\":1}\n".into()], &["status"]),
        (vec!["{\"v\":1,\"text\":\"yes\\n\"}\n".into()], &["status"]),
        (vec![String::new()], &["status"]),
    ];
    let mut text = String::new();
    for (answers, args) in orders {
        text += &format!("{}\n{}", args.join(" "), against(&answers, args));
    }
    assert_golden("orders.txt", &text);
}

/// A drain that is not done by its deadline and 5 s more.
#[test]
fn a_wait_that_ends_without_an_empty_proxy_says_how_many_are_left() {
    let moving = reply(&[("state", "\"late\""), ("open", "7")]);
    let done = against(
        &vec![moving; 40],
        &["drain", "--deadline", "10ms", "--wait"],
    );
    let last: Vec<&str> = done
        .lines()
        .filter(|line| line.starts_with("err"))
        .collect();
    assert!(done.contains("\nexit 1\n"), "{done}");
    assert_eq!(last, ["err: asterramp: 7 are still open"]);
}

/// Settings and a configuration that are good, and what a test puts in the place of a part of them.
const GOOD: &str = r#"{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":512},
"known":{"rev":7,"all":true,"targets":[{"uid":"s-0","endpoint":"127.0.0.1:10","az":"a","state":"ready","capacity_hint":1.0,"boot_ms":0}]},
"settings":{"discovery":"pushed","instances":1,"self_index":0,"zone":0,"localities":["a","b"],
"listeners":[{"name":"feed","semantics":"read_like","handshake_target":800000,"give_up":2000000},
{"name":"order","semantics":"non_idempotent","handshake_target":800000,"give_up":2000000}],
"tenants":[{"name":"acme"}],"load_info":{"fields":["x0","outstanding"],"how":"on_probe"},
"permissions":{"max_dials":2,"cancelling":true,"retry_after":true,"max_retry_after":2000000,
"dial_timeout":200000,"may_probe":false},
"rules":{"cold":8900000,"cold_share":0.31,"tip_multiple":4.0,"drain_grace":400000},"weights":"fixed"}}"#;

/// A part of `GOOD`, and what stands in its place.
const CONFIGURATIONS: &[(&str, &str)] = &[
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
fn what_is_wrong_with_a_configuration_is_told_in_the_same_words() {
    let config = fresh_path("json");
    let mut text = String::new();
    for (part, other) in CONFIGURATIONS {
        assert!(GOOD.contains(part), "{part}");
        std::fs::write(&config, GOOD.replacen(part, other, 1)).unwrap();
        let output = asterramp(&["validate"]).env("LB_CONFIG", &config).output();
        text += &format!("{part} -> {other}\n");
        text += &shown(&output.unwrap(), &[(&config, "<config>")]);
    }
    std::fs::write(&config, GOOD).unwrap();
    for operator in ["127.0.0.1:0", "nowhere", ""] {
        let mut command = asterramp(&["validate"]);
        let output = command
            .env("LB_CONFIG", &config)
            .env("LB_OPERATOR", operator)
            .output();
        text += &format!("LB_OPERATOR {operator:?}\n{}", shown(&output.unwrap(), &[]));
    }
    std::fs::write(&config, b"{\"name\":\"\xff\"}").unwrap();
    let output = asterramp(&["validate"]).env("LB_CONFIG", &config).output();
    text += &format!("not text\n{}", shown(&output.unwrap(), &[]));
    std::fs::write(&config, "[".repeat(30)).unwrap();
    let output = asterramp(&["validate"]).env("LB_CONFIG", &config).output();
    text += &format!("too deep\n{}", shown(&output.unwrap(), &[]));
    std::fs::remove_file(config).unwrap();
    assert_golden("configurations.txt", &text);
}

/// The two files of a start, each named by an option or by its variable, good, bad and missing.
#[test]
#[allow(clippy::too_many_lines)] // A list of bad files, one step each.
fn serve_and_validate_end_the_same_way_where_a_file_is_bad() {
    let (good, bad) = (fresh_path("json"), fresh_path("json"));
    let (fine, wrong, socket) = (fresh_path("toml"), fresh_path("toml"), fresh_path("sock"));
    std::fs::write(&good, GOOD).unwrap();
    std::fs::write(&bad, GOOD.replace("\"seed\":", "\"sead\":")).unwrap();
    std::fs::write(&fine, "[drain]\npace = 1\n").unwrap();
    std::fs::write(&wrong, "[drain]\npase = 1\nquiet = \"x\"\n").unwrap();
    // A file that is no socket stands where the control socket is to be.
    let taken = fresh_path("toml");
    std::fs::write(&socket, "keep me").unwrap();
    std::fs::write(&taken, format!("[control]\nsocket = {socket:?}\n")).unwrap();
    let nowhere = Path::new("/nowhere/file");
    let places: &[(&Path, &str)] = &[
        (&good, "<config>"),
        (&bad, "<bad config>"),
        (&fine, "<operator>"),
        (&wrong, "<bad operator>"),
        (&taken, "<operator with a file for a socket>"),
        (&socket, "<socket>"),
    ];
    let mut text = String::new();
    let mut run = |name: &str, command: &mut Command| {
        let output = command.output().unwrap();
        text += &format!("{name}\n{}", shown(&output, places));
    };
    for verb in ["serve", "validate"] {
        run(&format!("{verb}: nothing"), &mut asterramp(&[verb]));
        run(
            &format!("{verb}: no configuration"),
            asterramp(&[verb, "--config"]).arg(nowhere),
        );
        run(
            &format!("{verb}: no configuration by the variable"),
            asterramp(&[verb]).env("LB_CONFIG", nowhere),
        );
        run(
            &format!("{verb}: a bad configuration"),
            asterramp(&[verb, "--config"]).arg(&bad),
        );
        run(
            &format!("{verb}: the option before the variable"),
            asterramp(&[verb, "--config"])
                .arg(&bad)
                .env("LB_CONFIG", &good),
        );
        run(
            &format!("{verb}: a bad operator's file"),
            asterramp(&[verb, "--config"])
                .arg(&good)
                .arg("--operator")
                .arg(&wrong),
        );
        run(
            &format!("{verb}: a bad operator's file by the variable"),
            asterramp(&[verb])
                .env("LB_CONFIG", &good)
                .env("ASTERRAMP_OPERATOR", &wrong),
        );
        run(
            &format!("{verb}: no operator's file"),
            asterramp(&[verb, "--config"])
                .arg(&good)
                .arg("--operator")
                .arg(nowhere),
        );
        run(
            &format!("{verb}: both bad"),
            asterramp(&[verb, "--config"])
                .arg(&bad)
                .arg("--operator")
                .arg(&wrong),
        );
    }
    run("no command and nothing", &mut asterramp(&[]));
    run(
        "no command, a bad operator's file",
        asterramp(&[])
            .env("LB_CONFIG", &good)
            .env("ASTERRAMP_OPERATOR", &wrong),
    );
    run(
        "serve: a file where the control socket is to be",
        asterramp(&["serve", "--config"])
            .arg(&good)
            .arg("--operator")
            .arg(&taken),
    );
    run(
        "validate: the same is good",
        asterramp(&["validate", "--config"])
            .arg(&good)
            .arg("--operator")
            .arg(&taken),
    );
    run(
        "validate: both good",
        asterramp(&["validate", "--config"])
            .arg(&good)
            .arg("--operator")
            .arg(&fine),
    );
    assert_eq!(std::fs::read_to_string(&socket).unwrap(), "keep me");
    for path in [good, bad, fine, wrong, taken, socket] {
        std::fs::remove_file(path).unwrap();
    }
    assert_golden("files.txt", &text);
}

/// Commands that reach nobody.
#[test]
fn commands_without_a_proxy_or_a_store_fail_the_same_way() {
    let commands: &[&[&str]] = &[
        &["status", "--control", "/nowhere/a.sock"],
        &["status", "--json", "--control", "/nowhere/a.sock"],
        &["status", "--watch", "--control", "/nowhere/a.sock"],
        &["drain", "--control", "/nowhere/a.sock"],
        &["drain", "--wait", "--control", "/nowhere/a.sock"],
        &["undrain", "--control", "/nowhere/a.sock"],
        &["roll", "--control", "/nowhere/a.sock"],
        &[
            "roll",
            "--patience",
            "1ms",
            "--control",
            "/nowhere/a.sock",
            "--control",
            "/nowhere/b.sock",
        ],
        &[
            "roll",
            "--control",
            "/nowhere/a.sock",
            "--store",
            "127.0.0.1:9",
        ],
        &[
            "fleet",
            "status",
            "--store",
            "127.0.0.1:9",
            "--name",
            "june",
        ],
        &["fleet", "pause", "--store", "127.0.0.1:9", "--name", "june"],
    ];
    let mut text = String::new();
    for command in commands {
        let output = asterramp(command).output().unwrap();
        text += &format!("{}\n{}", command.join(" "), shown(&output, &[]));
    }
    assert_golden("nobody.txt", &text);
}

/// Of what the parser itself refuses, the exit code and the line of the error; the usage below names options by today's
/// texts.
#[test]
fn a_wrong_command_line_has_the_same_code_and_error() {
    let commands: &[&[&str]] = &[
        &["halt"],
        &["status"],
        &["drain"],
        &["undrain"],
        &["roll"],
        &["fleet"],
        &["fleet", "halt"],
        &["fleet", "status", "--name", "june"],
        &["fleet", "status", "--store", "127.0.0.1:9"],
        &["fleet", "status", "--store", "here", "--name", "june"],
        &["fleet", "cancel", "--store", "127.0.0.1:9", "--name", "a b"],
        &["fleet", "resume", "--store", "127.0.0.1:9", "--name", ""],
        &["drain", "--control", "/a", "--deadline", "5"],
        &["drain", "--control", "/a", "--deadline", "5 s"],
        &["drain", "--control", "/a", "--pace", "fast"],
        &["roll", "--control", "/a", "--patience", "long"],
        &["roll", "--control", "/a", "--name", "june"],
        &["roll", "--control", "/a", "--share", "x"],
        &[
            "roll",
            "--control",
            "/a",
            "--store",
            "127.0.0.1:9",
            "--name",
            "a/b",
        ],
        &["status", "--control", "/a", "--odd"],
        &["serve", "--odd"],
        &["completions"],
        &["completions", "odd"],
        &["state"],
        &["--version"],
    ];
    let mut text = String::new();
    for command in commands {
        let output = asterramp(command).output().unwrap();
        let error = String::from_utf8(output.stderr).unwrap();
        let head = error.split("\n\n").next().unwrap_or_default();
        // Where a command wants another below it, the whole answer is help, which may change.
        let head = if head.starts_with("error: ") {
            head
        } else {
            "(help)"
        };
        let code = output.status.code().unwrap();
        let said = String::from_utf8(output.stdout).unwrap();
        text += &format!("{}\nexit {code}\n{head}\n{said}", command.join(" "));
    }
    assert_golden("usage.txt", &text);
}
