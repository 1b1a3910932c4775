//! Commands that send requests to a proxy's admin socket, with scripted replies.

use super::support::{assert_golden, temporary_path};
use super::{asterramp, format_output};
use std::io::{BufRead, BufReader, Write};
use std::os::unix::net::UnixListener;

/// Runs a command at an admin socket that answers each request with the next of the replies. Returns the requests, then the
/// command's exit code and output.
fn run_at_scripted_proxy(replies: &[String], args: &[&str]) -> String {
    let socket = temporary_path("sock");
    let listener = UnixListener::bind(&socket).unwrap();
    let replies = replies.to_vec();
    let proxy = std::thread::spawn(move || {
        let (stream, _) = listener.accept().unwrap();
        let mut stream = BufReader::new(stream);
        let mut requests = String::new();
        for reply in replies {
            let mut line = String::new();
            if stream.read_line(&mut line).unwrap() == 0 {
                requests += "in: (nothing more)\n";
                break;
            }
            requests += &format!("in: {line}");
            let _ = stream.get_mut().write_all(reply.as_bytes());
        }
        requests
    });
    let output = asterramp(args).arg("--control").arg(&socket).output();
    let requests = proxy.join().unwrap();
    std::fs::remove_file(&socket).unwrap();
    requests + &format_output(&output.unwrap(), &[(&socket, "<socket>")])
}

/// The reply line with the status of a serving proxy, in which these fields are changed or added.
fn status_reply(changes: &[(&str, &str)]) -> String {
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
            None => fields.insert(OPTIONAL_FIELDS_INDEX, (name, value)),
        }
    }
    let fields: Vec<String> = fields
        .iter()
        .map(|(name, value)| format!("\"{name}\":{value}"))
        .collect();
    format!("{{\"v\":1,\"status\":{{{}}}}}\n", fields.join(","))
}

/// Where a status has its optional fields (`places`, `start`, `refusals`): after `discovery_ms` and before `boot`.
const OPTIONAL_FIELDS_INDEX: usize = 17;

/// Names of status fields and the JSON of their values.
type StatusChanges = &'static [(&'static str, &'static str)];

/// Statuses by which each printed part is covered, present and absent, with the titles that the golden file gives them.
const STATUSES: &[(&str, StatusChanges)] = &[
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
fn a_status_is_printed_the_same_way_as_text_and_as_json() {
    let mut text = String::new();
    for (title, changes) in STATUSES {
        let replies = [status_reply(changes)];
        text += &format!("{title}\n{}", run_at_scripted_proxy(&replies, &["status"]));
        text += &run_at_scripted_proxy(&replies, &["status", "--json"]);
    }
    assert_golden("command_line/status.txt", &text);
}

#[test]
fn commands_send_the_same_requests_and_end_the_same_way() {
    let error = |message: &str| format!("{{\"v\":1,\"error\":\"{message}\"}}\n");
    let moving = status_reply(&[("state", "\"moving\""), ("deadline_ms", "900")]);
    let empty = status_reply(&[("state", "\"empty\""), ("open", "0")]);
    let serving = status_reply(&[]);
    let commands: Vec<(Vec<String>, &[&str])> = vec![
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
    for (replies, args) in commands {
        text += &format!(
            "{}\n{}",
            args.join(" "),
            run_at_scripted_proxy(&replies, args)
        );
    }
    assert_golden("command_line/orders.txt", &text);
}

/// `--wait` gives up 5 s after the drain's deadline.
#[test]
fn a_wait_that_ends_before_the_proxy_is_empty_prints_how_many_are_left() {
    let moving = status_reply(&[("state", "\"late\""), ("open", "7")]);
    let transcript = run_at_scripted_proxy(
        &vec![moving; 40],
        &["drain", "--deadline", "10ms", "--wait"],
    );
    let errors: Vec<&str> = transcript
        .lines()
        .filter(|line| line.starts_with("err"))
        .collect();
    assert!(transcript.contains("\nexit 1\n"), "{transcript}");
    assert_eq!(errors, ["err: asterramp: 7 are still open"]);
}
