//! Compares how the operator's file is parsed with an earlier build: every key, every kind of problem, every
//! difference. That build wrote the files under `golden/`, and they never change; only the Rust names in this file may.

#[path = "../../admin-protocol/tests/support/golden.rs"]
mod golden_files;

use asterramp_operator_config::{
    ConfigChange, ConfigProblem, OperatorConfig, TakesEffect, parse_duration,
};
use golden_files::{assert_golden, golden};
use std::time::Duration;

/// The value of each key, one in a line, durations in microseconds.
fn format_values(config: &OperatorConfig) -> String {
    let mut lines = admin_socket_values(config);
    lines.extend(drain_values(config));
    lines.extend(zone_failover_values(config));
    lines.extend(snapshot_values(config));
    lines.extend(warm_start_values(config));
    let mut text = String::new();
    for (key, value) in lines {
        text += &format!("{key} = {value}\n");
    }
    text
}

/// Keys and their values as text.
type Lines = Vec<(&'static str, String)>;

fn micros(duration: Duration) -> String {
    duration.as_micros().to_string()
}

fn admin_socket_values(config: &OperatorConfig) -> Lines {
    let Some(admin_socket) = &config.admin_socket else {
        return vec![("control", "none".into())];
    };
    let path = admin_socket.path.to_str().unwrap();
    vec![
        ("control.socket", format!("{path:?}")),
        ("control.peers", admin_socket.max_connections.to_string()),
    ]
}

fn drain_values(config: &OperatorConfig) -> Lines {
    let drain = &config.drain;
    vec![
        ("drain.deadline", micros(drain.default_deadline)),
        ("drain.closing", micros(drain.max_closing_time)),
        ("drain.quiet", micros(drain.quiet_period)),
        (
            "drain.pace",
            format!("{:?}", drain.max_migrations_per_second),
        ),
        ("drain.back", micros(drain.time_before_next_drain)),
    ]
}

fn zone_failover_values(config: &OperatorConfig) -> Lines {
    let zones = &config.zone_failover;
    vec![
        ("site.watch", zones.enabled.to_string()),
        ("site.look", micros(zones.probe_interval)),
        ("site.hold", micros(zones.hold_down)),
        ("site.hold_most", micros(zones.max_hold_down)),
        ("site.settle", micros(zones.recovery_ramp)),
        ("site.pace", zones.paces_admission.to_string()),
        ("site.by_worth", zones.rejects_by_priority.to_string()),
    ]
}

fn snapshot_values(config: &OperatorConfig) -> Lines {
    let Some(snapshots) = &config.snapshots else {
        return vec![("state", "none".into())];
    };
    let directory = snapshots.directory.to_str().unwrap();
    vec![
        ("state.folder", format!("{directory:?}")),
        ("state.every", micros(snapshots.interval)),
    ]
}

fn warm_start_values(config: &OperatorConfig) -> Lines {
    let warm_start = &config.warm_start;
    let peers: Vec<String> = warm_start.peers.iter().map(ToString::to_string).collect();
    vec![
        ("recovery.stages", warm_start.enabled.to_string()),
        ("recovery.look", micros(warm_start.discovery_timeout)),
        ("recovery.probe", micros(warm_start.probe_timeout)),
        ("recovery.fleet", format!("{:?}", warm_start.fleet)),
        ("recovery.others", peers.join(" ")),
    ]
}

/// A file that sets every key to another value than its default.
const FULL: &str = "\
[control]
socket = \"/run/asterramp/control.sock\"
peers = 4

[drain]
deadline = \"2m\"
closing = \"1500ms\"
quiet = \"0.25s\"
pace = 40
back = \"1h\"

[site]
watch = false
look = \"800ms\"
hold = \"5s\"
hold_most = \"2m\"
settle = \"7.5s\"
pace = false
by_worth = true

[state]
folder = \"/var/lib/asterramp\"
every = \"250ms\"

[recovery]
stages = true
look = \"100ms\"
probe = \"3s\"
fleet = \"east-1\"
others = [\"10.0.0.5:9000\", \"[2001:db8::1]:9001\"]
";

/// Lines of `FULL`, each with a replacement for it; each file in the test differs from `FULL` in one line.
const CHANGES: &[(&str, &str)] = &[
    (
        "socket = \"/run/asterramp/control.sock\"",
        "socket = \"/run/b.sock\"",
    ),
    ("peers = 4", "peers = 5"),
    ("deadline = \"2m\"", "deadline = \"3m\""),
    ("closing = \"1500ms\"", "closing = \"1501ms\""),
    ("quiet = \"0.25s\"", "quiet = \"0.5s\""),
    ("pace = 40", "pace = 40.5"),
    ("back = \"1h\"", "back = \"59m\""),
    ("watch = false", "watch = true"),
    ("look = \"800ms\"", "look = \"900ms\""),
    ("hold = \"5s\"", "hold = \"6s\""),
    ("hold_most = \"2m\"", "hold_most = \"3m\""),
    ("settle = \"7.5s\"", "settle = \"8s\""),
    ("pace = false", "pace = true"),
    ("by_worth = true", "by_worth = false"),
    ("folder = \"/var/lib/asterramp\"", "folder = \"/var/lib/b\""),
    ("every = \"250ms\"", "every = \"300ms\""),
    ("stages = true", "stages = false"),
    ("look = \"100ms\"", "look = \"200ms\""),
    ("probe = \"3s\"", "probe = \"4s\""),
    ("fleet = \"east-1\"", "fleet = \"east-2\""),
    (
        "others = [\"10.0.0.5:9000\", \"[2001:db8::1]:9001\"]",
        "others = []",
    ),
    ("deadline = \"2m\"", "deadline = \"120s\""),
];

fn format_changes(before: &OperatorConfig, after: &OperatorConfig) -> String {
    let mut text = String::new();
    for ConfigChange { key, takes_effect } in before.changes(after) {
        let time = match takes_effect {
            TakesEffect::Immediately => "at once",
            TakesEffect::AfterRestart => "by a restart",
        };
        text += &format!("    {key} {time}\n");
    }
    text
}

#[test]
fn every_key_is_parsed_and_defaults_are_the_same() {
    let full = OperatorConfig::parse(FULL).unwrap();
    assert_golden("full.toml", FULL);
    assert_golden("full.txt", &format_values(&full));
    assert_golden(
        "empty.txt",
        &format_values(&OperatorConfig::parse("").unwrap()),
    );
    assert_eq!(OperatorConfig::parse(&golden("full.toml")), Ok(full));
    assert_eq!(OperatorConfig::parse(""), Ok(OperatorConfig::default()));
    // The smallest file that enables the admin socket and snapshots.
    let smallest = "[control]\nsocket = \"/a\"\n[state]\nfolder = \"/b\"\n";
    assert_golden(
        "least.txt",
        &format_values(&OperatorConfig::parse(smallest).unwrap()),
    );
}

#[test]
fn changes_list_the_same_keys_in_the_same_order() {
    let full = OperatorConfig::parse(FULL).unwrap();
    let empty = OperatorConfig::default();
    let mut text = format!("nothing differs\n{}", format_changes(&full, &full));
    text += &format!("all differs\n{}", format_changes(&full, &empty));
    text += &format!(
        "all differs, the other way\n{}",
        format_changes(&empty, &full)
    );
    for (line, replacement) in CHANGES {
        assert_eq!(FULL.matches(line).count(), 1, "{line}");
        let changed = OperatorConfig::parse(&FULL.replace(line, replacement)).unwrap();
        text += &format!(
            "{line} -> {replacement}\n{}",
            format_changes(&full, &changed)
        );
    }
    assert_golden("changes.txt", &text);
}

/// Files with one problem or several.
const INVALID_FILES: &[&str] = &[
    "[drian]\n",
    "drian = 1\n",
    "drain = 1\n",
    "[[drain]]\npace = 1\n",
    "\n\n[drain]\npase = 1\n",
    "[control]\nsocket = \"/a\"\npear = 1\n",
    "[site]\nwait = \"1s\"\n",
    "[state]\nfolder = \"/a\"\nfile = 1\n",
    "[recovery]\nstage = 1\n",
    // Keys that another key needs are missing.
    "[control]\npeers = 3\n",
    "[control]\npeers = 300\n",
    "[state]\nevery = \"1s\"\n",
    "[recovery]\nothers = [\"10.0.0.5:9000\"]\n",
    "[recovery]\nothers = []\n",
    // Durations.
    "[drain]\ndeadline = 5\n",
    "[drain]\ndeadline = \"5 s\"\n",
    "[drain]\ndeadline = \"5\"\n",
    "[drain]\ndeadline = \"-5s\"\n",
    "[drain]\ndeadline = \"0.9s\"\n",
    "[drain]\ndeadline = \"25h\"\n",
    "[drain]\ndeadline = true\n",
    "[drain]\nclosing = \"61s\"\n",
    "[drain]\nquiet = \"99ms\"\n",
    "[drain]\nback = \"2h\"\n",
    "[site]\nlook = \"10ms\"\n",
    "[site]\nhold = \"11m\"\n",
    "[site]\nhold_most = \"2h\"\n",
    "[site]\nsettle = []\n",
    "[state]\nfolder = \"/a\"\nevery = \"1ms\"\n",
    "[recovery]\nlook = \"5s\"\n",
    "[recovery]\nprobe = \"0s\"\n",
    // Numbers.
    "[drain]\npace = 0\n",
    "[drain]\npace = \"5\"\n",
    "[drain]\npace = 1e9\n",
    "[drain]\npace = nan\n",
    "[drain]\npace = inf\n",
    "[drain]\npace = -1\n",
    "[control]\nsocket = \"/a\"\npeers = 0\n",
    "[control]\nsocket = \"/a\"\npeers = 65\n",
    "[control]\nsocket = \"/a\"\npeers = 1.5\n",
    "[control]\nsocket = \"/a\"\npeers = \"4\"\n",
    "[control]\nsocket = \"/a\"\npeers = 99999999999999999999\n",
    // Booleans.
    "[site]\nwatch = 1\n",
    "[site]\npace = \"no\"\n",
    "[site]\nby_worth = {}\n",
    "[recovery]\nstages = \"yes\"\n",
    // Paths.
    "[control]\nsocket = \"a.sock\"\n",
    "[control]\nsocket = 5\n",
    "[control]\nsocket = \"\"\n",
    "[control]\nsocket = \"/a\\u0000b\"\n",
    "[state]\nfolder = \"state\"\n",
    "[state]\nfolder = false\n",
    // Names and lists.
    "[recovery]\nfleet = \"a b\"\n",
    "[recovery]\nfleet = \"\"\n",
    "[recovery]\nfleet = 7\n",
    "[recovery]\nfleet = \"a\"\nothers = \"10.0.0.5:9000\"\n",
    "[recovery]\nfleet = \"a\"\nothers = [\"10.0.0.5\"]\n",
    "[recovery]\nfleet = \"a\"\nothers = [\"localhost:9000\"]\n",
    "[recovery]\nfleet = \"a\"\nothers = [9000]\n",
    // Invalid TOML.
    "[drain]\npace = \n",
    "[drain\npace = 1\n",
    "[drain]\npace = 1\npace = 2\n",
    "[drain]\npace = 1\n[drain]\nback = \"1s\"\n",
    "drain]\n",
    // Several problems, which are reported in the order of lines.
    "[drain]\npace = 0\nquiet = \"x\"\nodd = 1\n[nothing]\n[control]\nsocket = 5\n",
    "[control]\npeers = 0\npaers = 2\n[state]\nevery = \"9\"\n[recovery]\nothers = [1]\nstages = 0\n[x]\n",
];

/// [`INVALID_FILES`], and files with values that are too long.
fn invalid_files() -> Vec<String> {
    let mut files: Vec<String> = INVALID_FILES.iter().copied().map(String::from).collect();
    files.push(format!("[control]\nsocket = \"/{}\"\n", "a".repeat(107)));
    files.push(format!("[state]\nfolder = \"/{}\"\n", "a".repeat(4_000)));
    files.push(format!("[recovery]\nfleet = \"{}\"\n", "a".repeat(65)));
    let others = vec!["\"10.0.0.5:9000\""; 257].join(",");
    files.push(format!("[recovery]\nfleet = \"a\"\nothers = [{others}]\n"));
    files
}

/// A text as in the golden file, with long repetitions shortened.
fn shorten(text: &str) -> String {
    let long_runs = ["a".repeat(4_000), "a".repeat(107), "a".repeat(65)];
    let mut shortened = text.to_string();
    for run in long_runs {
        shortened = shortened.replace(&run, &format!("<{} times a>", run.len()));
    }
    let others = vec!["\"10.0.0.5:9000\""; 257].join(",");
    shortened.replace(&others, "<257 times \"10.0.0.5:9000\">")
}

#[test]
fn each_problem_is_reported_in_the_same_words() {
    let mut text = String::new();
    for file in invalid_files() {
        text += &format!(
            "file\n    {}\n",
            shorten(&file).trim_end().replace('\n', "\n    ")
        );
        text += "problems\n";
        match OperatorConfig::parse(&file) {
            Ok(config) => text += &format!("    none\n{}", format_values(&config)),
            Err(problems) => {
                let messages = problems.iter().map(ConfigProblem::to_string);
                for line in messages {
                    text += &format!("    {}\n", shorten(&line));
                }
            }
        }
    }
    assert_golden("mistakes.txt", &text);
}

#[test]
fn values_at_the_bounds_are_allowed() {
    let socket = "a".repeat(106);
    let folder = "a".repeat(3_999);
    let name = "a".repeat(64);
    let others = vec!["\"10.0.0.5:9000\""; 256].join(",");
    let least = format!(
        "[control]\nsocket = \"/{socket}\"\npeers = 1\n[drain]\ndeadline = \"1s\"\nclosing = \"0s\"\n\
         quiet = \"100ms\"\npace = 0.1\nback = \"0s\"\n[site]\nlook = \"200ms\"\nhold = \"0s\"\n\
         hold_most = \"0s\"\nsettle = \"0ms\"\n[state]\nfolder = \"/{folder}\"\nevery = \"0.2s\"\n\
         [recovery]\nlook = \"0s\"\nprobe = \"100ms\"\nfleet = \"{name}\"\nothers = [{others}]\n"
    );
    let most = "[control]\nsocket = \"/a\"\npeers = 64\n[drain]\ndeadline = \"24h\"\nclosing = \"1m\"\n\
                quiet = \"60s\"\npace = 100000\nback = \"60m\"\n[site]\nlook = \"60s\"\nhold = \"10m\"\n\
                hold_most = \"1h\"\nsettle = \"600s\"\n[state]\nfolder = \"/a\"\nevery = \"10m\"\n\
                [recovery]\nlook = \"1s\"\nprobe = \"60s\"\nfleet = \"A-9\"\nothers = [\"1.2.3.4:0\"]\n";
    let config = OperatorConfig::parse(&least).unwrap();
    assert_eq!(config.warm_start.peers.len(), 256);
    let text = format_values(&config)
        .replace(&folder, "<3999 times a>")
        .replace(&socket, "<106 times a>")
        .replace(&name, "<64 times a>")
        .replace(
            &vec!["10.0.0.5:9000"; 256].join(" "),
            "<256 times 10.0.0.5:9000>",
        );
    assert_golden("least_allowed.txt", &text);
    assert_golden(
        "most_allowed.txt",
        &format_values(&OperatorConfig::parse(most).unwrap()),
    );
}

#[test]
fn durations_are_parsed_with_the_same_units() {
    let texts = [
        "0ms",
        "250ms",
        "1.5s",
        "2m",
        "1h",
        "0.5h",
        "1e3s",
        ".5s",
        "5.s",
        "s",
        "",
        "5",
        "5 s",
        "-5s",
        "+5s",
        "5S",
        "5sec",
        "1.2.3s",
        "99999999999999999999h",
        "1us",
        " 5s",
        "5s ",
        "٣s",
    ];
    let mut text = String::new();
    for duration_text in texts {
        let nanos = parse_duration(duration_text).map(|duration| duration.as_nanos());
        text += &format!("{duration_text:?} {nanos:?}\n");
    }
    assert_golden("times.txt", &text);
}
