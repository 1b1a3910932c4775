//! How a proxy is emptied: a drain on request beside SIGTERM, at several sizes, and a roll of a whole site.

use crate::event_log::{Event, LoggedEvent, SessionId};
use crate::proxies::Program;
use crate::report::Report;
use crate::run::{RunError, RunOptions, own_folder, run};
use crate::scenario::Scenario;
use std::collections::HashMap;
use std::time::Duration;

/// How the first of four proxies is emptied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainMethod {
    Drain,
    Sigterm,
    /// A roll over five, while a host falls silent.
    Roll,
}

#[derive(Clone, Debug)]
pub struct DrainResult {
    pub by: DrainMethod,
    pub sessions: u32,
    pub moved: usize,
    /// From the order to the last move, and the most in any second.
    pub took: Duration,
    pub most: usize,
    pub peak_load: f64,
    pub well_served: f64,
    pub worst_ten: f64,
    /// From the end of the drain until the proxy was sent a session again.
    pub back: Option<Duration>,
    pub rolled: Option<Result<Duration, String>>,
    pub held: bool,
    pub rig_late_ms: f64,
}

const AT: u64 = 5;
const DEADLINE: u64 = 10;
const BACK_AT: u64 = 18;

fn text(by: DrainMethod, sessions: u32) -> String {
    let proxies = if by == DrainMethod::Roll { 5 } else { 4 };
    let standing = sessions * proxies;
    let length = if by == DrainMethod::Roll { 60 } else { 25 };
    // Hosts stand at two fifths of what they can do.
    let work = 0.4 * 12.0 / f64::from(standing);
    let every = if standing > 4_000 { 4_000 } else { 1_000 };
    let sockets = sessions * 5 + 2_048;
    let fault = match by {
        DrainMethod::Drain => format!(
            "[[faults]]\nat = \"{AT}s\"\nfor = \"{}s\"\nkind = \"proxy-drains\"\non = [0]\nspan = \"{DEADLINE}s\"",
            BACK_AT - AT
        ),
        DrainMethod::Sigterm => format!(
            "[[faults]]\nat = \"{AT}s\"\nfor = \"{}s\"\nkind = \"proxy-leaves\"\non = [0]",
            BACK_AT - AT
        ),
        DrainMethod::Roll => {
            "[[faults]]\nat = \"20s\"\nfor = \"8s\"\nkind = \"host-silent\"\non = [3]".into()
        }
    };
    let roll = if by == DrainMethod::Roll {
        "roll_at = \"5s\""
    } else {
        ""
    };
    let rate = f64::from(standing) / 40.0;
    format!(
        r#"
name = "emptied"
length = "{length}s"
places = ["a"]
[fleet]
told_within = "100ms"
[[fleet.hosts]]
count = 12
places = 20000
room = 20000
[[listeners]]
name = "feed"
kind = "repeatable"
handshake_target = "800ms"
dial_timeout = "3s"
message_target = "250ms"
work = {work:.6}
[[members]]
name = "acme"
[traffic]
rate = {rate:.2}
life = {{ median = "40s", sigma = 0.5 }}
message_every = "{every}ms"
inherited = {standing}
[proxies]
count = {proxies}
sockets = {sockets}
memory_mb = 512
{roll}
[platform]
answer_slack = "1s"
void_above = "1s"
{fault}
"#
    )
}

pub async fn emptied(
    by: DrainMethod,
    sessions: u32,
    program: &Program,
) -> Result<DrainResult, RunError> {
    let scenario = Scenario::read(&text(by, sessions)).map_err(RunError::Input)?;
    let folder = own_folder();
    let job = RunOptions {
        seed: 3,
        chaos: None,
        program: program.clone(),
        folder: folder.clone(),
        progress: false,
    };
    let ran = run(scenario, &job).await;
    let _ = std::fs::remove_dir_all(&folder);
    let ran = ran?;
    let report = Report::of(&ran, &program.name, 3, None);
    report
        .breaches
        .iter()
        .take(2)
        .for_each(|b| eprintln!("{}: {}\n{}", b.rule, b.what, b.timeline.join("\n")));
    let begin = ran.testbed.begin.borrow().unwrap_or_default();
    let (from, until) = (
        begin + Duration::from_secs(AT),
        begin + Duration::from_secs(BACK_AT),
    );
    let moves = moved(
        &ran.records,
        (by != DrainMethod::Roll).then_some(0),
        from,
        until,
    );
    let most = (0..moves.len()).map(|at| {
        let end = moves[at] + Duration::from_secs(1);
        moves[at..].iter().take_while(|t| **t < end).count()
    });
    let asked = ran
        .records
        .iter()
        .find(|r| r.at >= until && matches!(r.seen, Event::Asked { proxy: 0, .. }));
    Ok(DrainResult {
        by,
        sessions,
        moved: moves.len(),
        took: moves
            .last()
            .map_or(Duration::ZERO, |last| last.saturating_sub(from)),
        most: most.max().unwrap_or(0),
        peak_load: report.hosts.peak,
        well_served: report.service.whole,
        worst_ten: report.service.worst_ten_seconds,
        back: (by == DrainMethod::Drain)
            .then(|| asked.map(|r| r.at.saturating_sub(until)))
            .flatten(),
        rolled: ran.rolled.clone(),
        held: report.rules_held,
        rig_late_ms: report.rig_late_ms,
    })
}

/// When clients were moved, of one proxy or of all, within a time.
fn moved(
    records: &[LoggedEvent],
    of: Option<u16>,
    from: Duration,
    until: Duration,
) -> Vec<Duration> {
    let mut proxies: HashMap<SessionId, u16> = HashMap::new();
    let mut moves = Vec::new();
    for record in records {
        match record.seen {
            Event::Asked { id, proxy, .. } => drop(proxies.insert(id, proxy)),
            Event::Ended { id, told: true, .. } if record.at >= from && record.at < until => {
                let right = of.is_none_or(|of| proxies.get(&id) == Some(&of));
                moves.extend(right.then_some(record.at));
            }
            _ => {}
        }
    }
    moves
}

pub fn row(e: &DrainResult) -> String {
    let seconds = |span: Duration| format!("{:.2}", span.as_secs_f64());
    let back = e.back.map_or("-".into(), seconds);
    let rolled = match &e.rolled {
        None => "-".into(),
        Some(Ok(took)) => seconds(*took),
        Some(Err(what)) => what.clone(),
    };
    format!(
        "| {:?} | {} | {} | {} | {} | {:.2} | {:.4} | {:.4} | {back} | {rolled} | {} | {:.0} |",
        e.by,
        e.sessions,
        e.moved,
        seconds(e.took),
        e.most,
        e.peak_load,
        e.well_served,
        e.worst_ten,
        if e.held { "held" } else { "BROKEN" },
        e.rig_late_ms,
    )
}

pub const HEAD: &str = "| by | sessions | moved | last after s | most in a second | peak load | well served | \
                        worst 10 s | back after s | rolled in s | rules | rig late ms |";
