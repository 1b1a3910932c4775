//! The command line as builds before the renames answered it: exit codes, error lines, the status texts, and the requests
//! that commands send. The files under `golden/command_line/` were written by such a build and never change; only the
//! Rust names in this file may.

mod support;

use std::io::{BufRead, BufReader, Write};
use std::os::unix::net::UnixListener;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use support::{assert_golden, temporary_path};

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
fn run_at_scripted_proxy(answers: &[String], args: &[&str]) -> String {
    let socket = temporary_path("sock");
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
        text += &format!("{name}\n{}", run_at_scripted_proxy(&answer, &["status"]));
        text += &run_at_scripted_proxy(&answer, &["status", "--json"]);
    }
    assert_golden("command_line/status.txt", &text);
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
        text += &format!(
            "{}\n{}",
            args.join(" "),
            run_at_scripted_proxy(&answers, args)
        );
    }
    assert_golden("command_line/orders.txt", &text);
}

/// A drain that is not done by its deadline and 5 s more.
#[test]
fn a_wait_that_ends_without_an_empty_proxy_says_how_many_are_left() {
    let moving = reply(&[("state", "\"late\""), ("open", "7")]);
    let done = run_at_scripted_proxy(
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
    let config = temporary_path("json");
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
    assert_golden("command_line/configurations.txt", &text);
}

const CONFIG: &str = "--config";
const OPERATOR: &str = "--operator";
const CONFIG_VARIABLE: &str = "LB_CONFIG";
const OPERATOR_VARIABLE: &str = "ASTERRAMP_OPERATOR";

/// Options of the program, or variables of its environment, that name files.
type NamedFiles<'a> = &'a [(&'a str, &'a Path)];

/// Good and bad files for a start; they are removed with the test.
struct StartFiles {
    config: PathBuf,
    bad_config: PathBuf,
    operator: PathBuf,
    bad_operator: PathBuf,
    /// Names the plain file below as the path of the admin socket.
    operator_with_taken_socket: PathBuf,
    plain_file: PathBuf,
}

impl StartFiles {
    fn write() -> StartFiles {
        let files = StartFiles {
            config: temporary_path("json"),
            bad_config: temporary_path("json"),
            operator: temporary_path("toml"),
            bad_operator: temporary_path("toml"),
            operator_with_taken_socket: temporary_path("toml"),
            plain_file: temporary_path("sock"),
        };
        let taken = format!("[control]\nsocket = {:?}\n", files.plain_file);
        let bad_config = GOOD.replace("\"seed\":", "\"sead\":");
        std::fs::write(&files.config, GOOD).unwrap();
        std::fs::write(&files.bad_config, bad_config).unwrap();
        std::fs::write(&files.operator, "[drain]\npace = 1\n").unwrap();
        std::fs::write(&files.bad_operator, "[drain]\npase = 1\nquiet = \"x\"\n").unwrap();
        std::fs::write(&files.operator_with_taken_socket, taken).unwrap();
        std::fs::write(&files.plain_file, "keep me").unwrap();
        files
    }

    fn placeholders(&self) -> [(&Path, &str); 6] {
        [
            (&self.config, "<config>"),
            (&self.bad_config, "<bad config>"),
            (&self.operator, "<operator>"),
            (&self.bad_operator, "<bad operator>"),
            (
                &self.operator_with_taken_socket,
                "<operator with a file for a socket>",
            ),
            (&self.plain_file, "<socket>"),
        ]
    }
}

impl StartFiles {
    /// Runs a command, or the program without one; the title and what came out of the run.
    fn record_start(
        &self,
        title: &str,
        command: Option<&str>,
        options: NamedFiles<'_>,
        variables: NamedFiles<'_>,
    ) -> String {
        let mut process = asterramp(&[]);
        process.args(command);
        for (option, path) in options {
            process.arg(option).arg(path);
        }
        for (variable, path) in variables {
            process.env(variable, path);
        }
        let output = process.output().unwrap();
        format!("{title}\n{}", shown(&output, &self.placeholders()))
    }
}

impl Drop for StartFiles {
    fn drop(&mut self) {
        for (path, _) in self.placeholders() {
            let _ = std::fs::remove_file(path);
        }
    }
}

/// Starts that end the same way with `serve` and `validate`: each file named by an option or by its variable, good, bad
/// and missing.
fn record_failing_starts(files: &StartFiles, command: &str) -> String {
    let missing = Path::new("/nowhere/file");
    let (config, bad_config) = (files.config.as_path(), files.bad_config.as_path());
    let bad_operator = files.bad_operator.as_path();
    let cases: [(&str, NamedFiles<'_>, NamedFiles<'_>); 9] = [
        ("nothing", &[], &[]),
        ("no configuration", &[(CONFIG, missing)], &[]),
        (
            "no configuration by the variable",
            &[],
            &[(CONFIG_VARIABLE, missing)],
        ),
        ("a bad configuration", &[(CONFIG, bad_config)], &[]),
        (
            "the option before the variable",
            &[(CONFIG, bad_config)],
            &[(CONFIG_VARIABLE, config)],
        ),
        (
            "a bad operator's file",
            &[(CONFIG, config), (OPERATOR, bad_operator)],
            &[],
        ),
        (
            "a bad operator's file by the variable",
            &[],
            &[(CONFIG_VARIABLE, config), (OPERATOR_VARIABLE, bad_operator)],
        ),
        (
            "no operator's file",
            &[(CONFIG, config), (OPERATOR, missing)],
            &[],
        ),
        (
            "both bad",
            &[(CONFIG, bad_config), (OPERATOR, bad_operator)],
            &[],
        ),
    ];
    cases
        .into_iter()
        .map(|(name, options, variables)| {
            let title = format!("{command}: {name}");
            files.record_start(&title, Some(command), options, variables)
        })
        .collect()
}

#[test]
fn serve_and_validate_end_the_same_way_where_a_file_is_bad() {
    let files = StartFiles::write();
    let config = files.config.as_path();
    let taken = files.operator_with_taken_socket.as_path();
    let mut text = record_failing_starts(&files, "serve");
    text += &record_failing_starts(&files, "validate");
    text += &files.record_start("no command and nothing", None, &[], &[]);
    text += &files.record_start(
        "no command, a bad operator's file",
        None,
        &[],
        &[
            (CONFIG_VARIABLE, config),
            (OPERATOR_VARIABLE, &files.bad_operator),
        ],
    );
    text += &files.record_start(
        "serve: a file where the control socket is to be",
        Some("serve"),
        &[(CONFIG, config), (OPERATOR, taken)],
        &[],
    );
    text += &files.record_start(
        "validate: the same is good",
        Some("validate"),
        &[(CONFIG, config), (OPERATOR, taken)],
        &[],
    );
    text += &files.record_start(
        "validate: both good",
        Some("validate"),
        &[(CONFIG, config), (OPERATOR, &files.operator)],
        &[],
    );
    let kept = std::fs::read_to_string(&files.plain_file).unwrap();
    assert_eq!(kept, "keep me");
    assert_golden("command_line/files.txt", &text);
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
    assert_golden("command_line/nobody.txt", &text);
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
    assert_golden("command_line/usage.txt", &text);
}
