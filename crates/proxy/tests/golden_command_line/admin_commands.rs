//! Commands at the admin socket of a scripted proxy.

use super::support::{assert_golden, temporary_path};
use super::{asterramp, shown};
use std::io::{BufRead, BufReader, Write};
use std::os::unix::net::UnixListener;

/// Runs a command at an admin socket at which each request gets the next of the replies; the requests that came, and what
/// the command did.
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
    requests + &shown(&output.unwrap(), &[(&socket, "<socket>")])
}

/// A reply line with these fields of a status changed.
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

/// Statuses in which each part that is printed is unset and set, one after the other.
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
fn a_status_is_printed_in_the_same_words_for_people_and_programs() {
    let mut text = String::new();
    for (name, changes) in STATUSES {
        let reply = [status_reply(changes)];
        text += &format!("{name}\n{}", run_at_scripted_proxy(&reply, &["status"]));
        text += &run_at_scripted_proxy(&reply, &["status", "--json"]);
    }
    assert_golden("command_line/status.txt", &text);
}

#[test]
fn commands_send_the_same_requests_and_end_the_same_way() {
    let error = |what: &str| format!("{{\"v\":1,\"error\":\"{what}\"}}\n");
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

/// A drain that is not done by its deadline and 5 s more.
#[test]
fn a_wait_that_ends_before_the_proxy_is_empty_prints_how_many_are_left() {
    let moving = status_reply(&[("state", "\"late\""), ("open", "7")]);
    let recorded = run_at_scripted_proxy(
        &vec![moving; 40],
        &["drain", "--deadline", "10ms", "--wait"],
    );
    let errors: Vec<&str> = recorded
        .lines()
        .filter(|line| line.starts_with("err"))
        .collect();
    assert!(recorded.contains("\nexit 1\n"), "{recorded}");
    assert_eq!(errors, ["err: asterramp: 7 are still open"]);
}
