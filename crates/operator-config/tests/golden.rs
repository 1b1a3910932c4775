//! The operator's file as builds before the renames read it: every key, every kind of mistake, every difference. The
//! files under `golden/` were written by such a build and never change; only the Rust names in this file may.

use asterramp_operator_config::{ConfigProblem, OperatorConfig, TakesEffect, parse_span};
use std::path::Path;

fn golden(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name);
    std::fs::read_to_string(path).unwrap()
}

fn assert_golden(name: &str, actual: &str) {
    let expected = golden(name);
    for (nth, (expected, actual)) in expected.lines().zip(actual.lines()).enumerate() {
        assert_eq!(actual, expected, "{name}, line {}", nth + 1);
    }
    assert_eq!(actual, expected, "{name}: lengths");
}

/// Every value under its key, times in microseconds.
fn values(file: &OperatorConfig) -> String {
    let mut text = String::new();
    let mut line = |key: &str, value: String| text += &format!("{key} = {value}\n");
    match &file.control {
        None => line("control", "none".into()),
        Some(control) => {
            line(
                "control.socket",
                format!("{:?}", control.socket.to_str().unwrap()),
            );
            line("control.peers", control.peers.to_string());
        }
    }
    line(
        "drain.deadline",
        file.drain.deadline.as_micros().to_string(),
    );
    line("drain.closing", file.drain.closing.as_micros().to_string());
    line("drain.quiet", file.drain.quiet.as_micros().to_string());
    line("drain.pace", format!("{:?}", file.drain.pace));
    line("drain.back", file.drain.back.as_micros().to_string());
    line("site.watch", file.site.watch.to_string());
    line("site.look", file.site.look.as_micros().to_string());
    line("site.hold", file.site.hold.as_micros().to_string());
    line(
        "site.hold_most",
        file.site.hold_most.as_micros().to_string(),
    );
    line("site.settle", file.site.settle.as_micros().to_string());
    line("site.pace", file.site.pace.to_string());
    line("site.by_worth", file.site.by_worth.to_string());
    match &file.state {
        None => line("state", "none".into()),
        Some(state) => {
            line(
                "state.folder",
                format!("{:?}", state.folder.to_str().unwrap()),
            );
            line("state.every", state.every.as_micros().to_string());
        }
    }
    line("recovery.stages", file.recovery.stages.to_string());
    line("recovery.look", file.recovery.look.as_micros().to_string());
    line(
        "recovery.probe",
        file.recovery.probe.as_micros().to_string(),
    );
    line("recovery.fleet", format!("{:?}", file.recovery.fleet));
    let others: Vec<String> = file
        .recovery
        .others
        .iter()
        .map(ToString::to_string)
        .collect();
    line("recovery.others", others.join(" "));
    text
}

/// A file with every key, none at its default.
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

/// Lines of `FULL` that change alone, and what they become.
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

fn changes(before: &OperatorConfig, after: &OperatorConfig) -> String {
    let mut text = String::new();
    for (key, takes) in before.changes(after) {
        let when = match takes {
            TakesEffect::AtOnce => "at once",
            TakesEffect::Restart => "by a restart",
        };
        text += &format!("    {key} {when}\n");
    }
    text
}

#[test]
fn every_key_is_read_and_an_empty_file_has_the_same_defaults() {
    let full = OperatorConfig::read(FULL).unwrap();
    assert_golden("full.toml", FULL);
    assert_golden("full.txt", &values(&full));
    assert_golden("empty.txt", &values(&OperatorConfig::read("").unwrap()));
    assert_eq!(OperatorConfig::read(&golden("full.toml")), Ok(full));
    assert_eq!(OperatorConfig::read(""), Ok(OperatorConfig::default()));
    // The least that switches the control socket and the snapshots on.
    let least = "[control]\nsocket = \"/a\"\n[state]\nfolder = \"/b\"\n";
    assert_golden("least.txt", &values(&OperatorConfig::read(least).unwrap()));
}

#[test]
fn a_difference_names_the_same_keys_in_the_same_order() {
    let full = OperatorConfig::read(FULL).unwrap();
    let empty = OperatorConfig::default();
    let mut text = format!("nothing differs\n{}", changes(&full, &full));
    text += &format!("all differs\n{}", changes(&full, &empty));
    text += &format!("all differs, the other way\n{}", changes(&empty, &full));
    for (line, other) in CHANGES {
        assert_eq!(FULL.matches(line).count(), 1, "{line}");
        let changed = OperatorConfig::read(&FULL.replace(line, other)).unwrap();
        text += &format!("{line} -> {other}\n{}", changes(&full, &changed));
    }
    assert_golden("changes.txt", &text);
}

/// Files with a mistake each, or several.
fn mistakes() -> Vec<String> {
    let plain = [
        "[drian]\n",
        "drian = 1\n",
        "drain = 1\n",
        "[[drain]]\npace = 1\n",
        "\n\n[drain]\npase = 1\n",
        "[control]\nsocket = \"/a\"\npear = 1\n",
        "[site]\nwait = \"1s\"\n",
        "[state]\nfolder = \"/a\"\nfile = 1\n",
        "[recovery]\nstage = 1\n",
        // Missing beside others.
        "[control]\npeers = 3\n",
        "[control]\npeers = 300\n",
        "[state]\nevery = \"1s\"\n",
        "[recovery]\nothers = [\"10.0.0.5:9000\"]\n",
        "[recovery]\nothers = []\n",
        // Times.
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
        // Flags.
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
        // What is no TOML.
        "[drain]\npace = \n",
        "[drain\npace = 1\n",
        "[drain]\npace = 1\npace = 2\n",
        "[drain]\npace = 1\n[drain]\nback = \"1s\"\n",
        "drain]\n",
        // Several at once, in the order of lines.
        "[drain]\npace = 0\nquiet = \"x\"\nodd = 1\n[nothing]\n[control]\nsocket = 5\n",
        "[control]\npeers = 0\npaers = 2\n[state]\nevery = \"9\"\n[recovery]\nothers = [1]\nstages = 0\n[x]\n",
    ];
    let mut files: Vec<String> = plain.map(String::from).to_vec();
    files.push(format!("[control]\nsocket = \"/{}\"\n", "a".repeat(107)));
    files.push(format!("[state]\nfolder = \"/{}\"\n", "a".repeat(4_000)));
    files.push(format!("[recovery]\nfleet = \"{}\"\n", "a".repeat(65)));
    let others = vec!["\"10.0.0.5:9000\""; 257].join(",");
    files.push(format!("[recovery]\nfleet = \"a\"\nothers = [{others}]\n"));
    files
}

/// A file as it stands in the golden text, long runs of the same shortened.
fn shown(text: &str) -> String {
    let long = ["a".repeat(4_000), "a".repeat(107), "a".repeat(65)];
    let mut shown = text.to_string();
    for run in long {
        shown = shown.replace(&run, &format!("<{} times a>", run.len()));
    }
    let others = vec!["\"10.0.0.5:9000\""; 257].join(",");
    shown.replace(&others, "<257 times \"10.0.0.5:9000\">")
}

#[test]
fn each_mistake_is_told_in_the_same_words() {
    let mut text = String::new();
    for file in mistakes() {
        text += &format!(
            "file\n    {}\n",
            shown(&file).trim_end().replace('\n', "\n    ")
        );
        text += "problems\n";
        match OperatorConfig::read(&file) {
            Ok(read) => text += &format!("    none\n{}", values(&read)),
            Err(problems) => {
                let lines = problems.iter().map(ConfigProblem::to_string);
                for line in lines {
                    text += &format!("    {}\n", shown(&line));
                }
            }
        }
    }
    assert_golden("mistakes.txt", &text);
}

#[test]
fn the_bounds_themselves_are_allowed() {
    let long = "a".repeat(106);
    let folder = "a".repeat(3_999);
    let name = "a".repeat(64);
    let others = vec!["\"10.0.0.5:9000\""; 256].join(",");
    let least = format!(
        "[control]\nsocket = \"/{long}\"\npeers = 1\n[drain]\ndeadline = \"1s\"\nclosing = \"0s\"\n\
         quiet = \"100ms\"\npace = 0.1\nback = \"0s\"\n[site]\nlook = \"200ms\"\nhold = \"0s\"\n\
         hold_most = \"0s\"\nsettle = \"0ms\"\n[state]\nfolder = \"/{folder}\"\nevery = \"0.2s\"\n\
         [recovery]\nlook = \"0s\"\nprobe = \"100ms\"\nfleet = \"{name}\"\nothers = [{others}]\n"
    );
    let most = "[control]\nsocket = \"/a\"\npeers = 64\n[drain]\ndeadline = \"24h\"\nclosing = \"1m\"\n\
                quiet = \"60s\"\npace = 100000\nback = \"60m\"\n[site]\nlook = \"60s\"\nhold = \"10m\"\n\
                hold_most = \"1h\"\nsettle = \"600s\"\n[state]\nfolder = \"/a\"\nevery = \"10m\"\n\
                [recovery]\nlook = \"1s\"\nprobe = \"60s\"\nfleet = \"A-9\"\nothers = [\"1.2.3.4:0\"]\n";
    let read = OperatorConfig::read(&least).unwrap();
    assert_eq!(read.recovery.others.len(), 256);
    let text = values(&read)
        .replace(&folder, "<3999 times a>")
        .replace(&long, "<106 times a>")
        .replace(&name, "<64 times a>")
        .replace(
            &vec!["10.0.0.5:9000"; 256].join(" "),
            "<256 times 10.0.0.5:9000>",
        );
    assert_golden("least_allowed.txt", &text);
    assert_golden(
        "most_allowed.txt",
        &values(&OperatorConfig::read(most).unwrap()),
    );
}

#[test]
fn times_are_read_with_the_same_units() {
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
    for given in texts {
        let span = parse_span(given).map(|span| span.as_nanos());
        text += &format!("{given:?} {span:?}\n");
    }
    assert_golden("times.txt", &text);
}
