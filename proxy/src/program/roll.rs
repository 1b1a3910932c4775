//! A site's proxies patched one after the other, without the front ever losing two.

use super::command::{emptied, told};
use asterramp_control::{Client, Request, Status, Verb};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

pub struct Roll {
    pub control: Vec<PathBuf>,
    pub deadline: Duration,
    pub restart: Option<String>,
    pub patience: Duration,
    pub share: f64,
}

const LOOK: Duration = Duration::from_millis(250);

/// Goes on as long as each step does; stops at the first that fails and says which.
pub fn roll(roll: &Roll) -> Result<(), String> {
    for control in &roll.control {
        one(roll, control).map_err(|what| format!("{}: {what}; the roll stops here", control.display()))?;
    }
    println!("all {} are patched", roll.control.len());
    Ok(())
}

fn status(control: &Path) -> Result<Status, String> {
    Client::connect(control)?.ask(&Request::new(Verb::Status))
}

/// Looks again and again until something is so; `None` once patience is at its end.
fn until<T>(patience: Duration, mut look: impl FnMut() -> Option<T>) -> Option<T> {
    let end = Instant::now() + patience;
    loop {
        let found = look();
        if found.is_some() || Instant::now() > end {
            return found;
        }
        std::thread::sleep(LOOK);
    }
}

fn one(roll: &Roll, control: &Path) -> Result<(), String> {
    // Each of the others must carry, or the front would lose two.
    for other in roll.control.iter().filter(|other| *other != control) {
        let carries = || status(other).ok().filter(|s| s.carries);
        until(roll.patience, carries)
            .ok_or_else(|| format!("{} does not carry its share", other.display()))?;
    }
    let mut client = Client::connect(control)?;
    let before = client.ask(&Request::new(Verb::Status))?;
    println!("{}: draining, {} open", control.display(), before.open);
    let deadline_ms = Some(roll.deadline.as_millis() as u64);
    client.ask(&Request { deadline_ms, ..Request::new(Verb::Drain) })?;
    emptied(&mut client, roll.deadline)?;
    if let Some(command) = &roll.restart {
        let mut shell = Command::new("/bin/sh");
        let ran = shell.args(["-c", command]).env("ASTERRAMP_CONTROL", control).status();
        let ran = ran.map_err(|e| format!("restart: {e}"))?;
        if !ran.success() {
            return Err(format!("restart: {ran}"));
        }
    }
    println!("{}: empty; waiting for its restart", control.display());
    let back = || status(control).ok().filter(|s| s.state == "serving" && s.pid != before.pid);
    until(roll.patience, back).ok_or("it has not come back")?;
    println!("{}: back; waiting until it carries its share", control.display());
    let carries = || {
        let own = status(control).ok()?;
        let others = roll.control.iter().filter(|other| *other != control);
        let open: Vec<usize> = others.filter_map(|other| Some(status(other).ok()?.open)).collect();
        let mean = open.iter().sum::<usize>() as f64 / open.len().max(1) as f64;
        (own.carries && own.open as f64 >= mean * roll.share).then_some(own)
    };
    let own = until(roll.patience, carries).ok_or("it does not carry its share")?;
    println!("{}: {}", control.display(), told(&own));
    Ok(())
}
