//! A site's proxies patched one after the other, without the front ever losing two.

use super::command::{emptied, told};
use super::leader_lease::LeaderLease;
use asterramp_admin_protocol::{AdminClient, AdminCommand, AdminRequest, ProxyStatus};
use asterramp_leader_lease::LeaseState;
use asterramp_zookeeper::record::{ANY_VERSION, StoreRequest as Ask};
use asterramp_zookeeper::session::StoreResponse;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
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
    println!("this roll is not guarded: nobody keeps a second one away, and no store is named");
    for control in &roll.control {
        let done = one(roll, control, None);
        done.map_err(|what| format!("{}: {what}; the roll stops here", control.display()))?;
    }
    println!("all {} are patched", roll.control.len());
    Ok(())
}

/// The plan of a guarded roll, at the store under its name, which outlives its owner.
#[derive(Serialize, Deserialize)]
struct Plan {
    /// The processes that are to be replaced.
    pids: BTreeMap<PathBuf, u32>,
    done: bool,
    /// What an operator wants of whoever owns it.
    #[serde(default)]
    wish: RequestedRollState,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestedRollState {
    #[default]
    GoOn,
    /// No further proxy is begun.
    Pause,
    /// It ends where it stands.
    Cancel,
}

impl RequestedRollState {
    fn name(self) -> &'static str {
        match self {
            RequestedRollState::GoOn => "goes on",
            RequestedRollState::Pause => "is paused",
            RequestedRollState::Cancel => "is cancelled",
        }
    }
}

fn plan_at(name: &str) -> String {
    format!("/asterramp/roll-{name}")
}

/// What a step says that was stopped by the loss of ownership.
const LOST: &str = "the work is not ours any more";

/// The same under one owner at a time: waits until this one owns the work, takes it up where it stands, and stops, to wait again, when
/// it is lost.
pub fn guarded(
    roll: &Roll,
    name: &str,
    stores: Vec<SocketAddr>,
    session: Duration,
) -> Result<(), String> {
    let claim = LeaderLease::start(stores, session);
    loop {
        owned(roll, &claim)?;
        match work(roll, name, &claim) {
            Ok(()) => {
                claim.leave();
                println!("all {} are patched", roll.control.len());
                return Ok(());
            }
            Err(what) if what == LOST => println!("{what}; waiting for it"),
            Err(what) => {
                claim.leave();
                return Err(what);
            }
        }
    }
}

/// Waits until the work is ours, with a word whenever that changes.
fn owned(roll: &Roll, claim: &LeaderLease) -> Result<(), String> {
    let (mut told, mut since) = (None, Instant::now());
    loop {
        let (state, term) = claim.state();
        if told.replace(state) != Some(state) {
            println!("{}, term {term}", state.name());
            since = Instant::now();
        }
        match state {
            LeaseState::Owns => return Ok(()),
            // Once all have heard the term, no order of the one before counts anywhere.
            LeaseState::Waiting => {
                let hears = |control: &PathBuf| {
                    let mut client = AdminClient::connect(control).ok()?;
                    claim
                        .order(&mut client, AdminRequest::new(AdminCommand::Hear))
                        .ok()?
                };
                if roll.control.iter().all(|control| hears(control).is_some()) {
                    claim.all_heard(term);
                }
            }
            LeaseState::Away if since.elapsed() > roll.patience => {
                return Err("the store cannot be heard".into());
            }
            LeaseState::Away | LeaseState::Queued => {}
        }
        std::thread::sleep(LOOK / 2);
    }
}

fn work(roll: &Roll, name: &str, claim: &LeaderLease) -> Result<(), String> {
    let plan = plan(roll, name, claim)?;
    if plan.done {
        println!("{name} was done before");
        return Ok(());
    }
    // Whoever was left half done goes first, or two would be out.
    let half = |control: &&PathBuf| {
        let now = status(control).ok();
        now.is_none_or(|now| now.state != "serving" && plan.pids.get(*control) == Some(&now.pid))
    };
    let (first, rest): (Vec<&PathBuf>, Vec<&PathBuf>) = roll.control.iter().partition(half);
    for control in first.into_iter().chain(rest) {
        let before = plan.pids.get(control).copied();
        let replaced =
            status(control).is_ok_and(|now| Some(now.pid) != before && now.state == "serving");
        if replaced {
            println!("{}: replaced already", control.display());
            continue;
        }
        wished(name, claim)?;
        one(roll, control, Some((claim, before))).map_err(|what| match claim.acts() {
            true if what != LOST => format!("{}: {what}; the roll stops here", control.display()),
            _ => LOST.to_string(),
        })?;
    }
    let data = serde_json::to_vec(&Plan { done: true, ..plan }).map_err(|e| e.to_string())?;
    let told = claim.ask(Ask::SetData {
        path: plan_at(name),
        data,
        version: ANY_VERSION,
    });
    told.map(drop).map_err(|_| LOST.to_string())
}

/// The plan as it stands at the store, and its version; `None` where there is none.
fn kept(name: &str, claim: &LeaderLease) -> Result<Option<(Plan, i32)>, String> {
    let path = plan_at(name);
    match claim.ask(Ask::GetData {
        path: path.clone(),
        watch: false,
    }) {
        Ok(StoreResponse::Data(data, stat)) => {
            let plan = serde_json::from_slice(&data).map_err(|e| format!("{path}: {e}"))?;
            Ok(Some((plan, stat.version)))
        }
        _ => Ok(None),
    }
}

/// Waits while an operator wants a pause; an error where it is cancelled.
fn wished(name: &str, claim: &LeaderLease) -> Result<(), String> {
    let mut told = RequestedRollState::GoOn;
    loop {
        let wish = kept(name, claim)?.map_or(RequestedRollState::GoOn, |kept| kept.0.wish);
        if wish != std::mem::replace(&mut told, wish) {
            println!("{name} {}", wish.name());
        }
        match wish {
            RequestedRollState::GoOn => return Ok(()),
            RequestedRollState::Cancel => return Err(format!("{name} was cancelled")),
            RequestedRollState::Pause if !claim.acts() => return Err(LOST.into()),
            RequestedRollState::Pause => std::thread::sleep(LOOK),
        }
    }
}

/// Tells of a roll at the store: who waits for the work, and how far it is.
pub fn tell(name: &str, claim: &LeaderLease) -> Result<(), String> {
    let queue = claim.queue().unwrap_or_default();
    match queue.first() {
        Some((term, owner)) => println!("{owner} owns, term {term}; {} wait", queue.len() - 1),
        None => println!("nobody owns the work"),
    }
    let Some((plan, _)) = kept(name, claim)? else {
        return Err(format!("no roll is called {name}"));
    };
    let replaced =
        |(control, pid): &(&PathBuf, &u32)| status(control).is_ok_and(|now| now.pid != **pid);
    let (done, all) = (plan.pids.iter().filter(replaced).count(), plan.pids.len());
    println!(
        "{name}: {done} of {all} are replaced; it {}",
        if plan.done {
            "is done"
        } else {
            plan.wish.name()
        }
    );
    for (control, pid) in &plan.pids {
        let state = match status(control) {
            Ok(now) if now.pid != *pid => format!("replaced, {}", now.state),
            Ok(now) => now.state,
            Err(_) => "cannot be reached".into(),
        };
        println!("{}: {state}", control.display());
    }
    Ok(())
}

/// Wants something of whoever owns a roll; it is heeded before the next proxy.
pub fn wish(name: &str, claim: &LeaderLease, wish: RequestedRollState) -> Result<(), String> {
    let Some((plan, version)) = kept(name, claim)? else {
        return Err(format!("no roll is called {name}"));
    };
    if plan.done {
        return Err(format!("{name} is done"));
    }
    let data = serde_json::to_vec(&Plan { wish, ..plan }).map_err(|e| e.to_string())?;
    claim.ask(Ask::SetData {
        path: plan_at(name),
        data,
        version,
    })?;
    println!("{name} {}", wish.name());
    Ok(())
}

/// The plan as it stands at the store, or a new one.
fn plan(roll: &Roll, name: &str, claim: &LeaderLease) -> Result<Plan, String> {
    let path = plan_at(name);
    if let Some((plan, _)) = kept(name, claim)? {
        let same = plan.pids.keys().collect::<BTreeSet<_>>()
            == roll.control.iter().collect::<BTreeSet<_>>();
        return if same {
            Ok(plan)
        } else {
            Err(format!(
                "{path}: it is of other proxies; give this roll another name"
            ))
        };
    }
    let pids = roll
        .control
        .iter()
        .map(|control| Ok((control.clone(), status(control)?.pid)));
    let plan = Plan {
        pids: pids.collect::<Result<_, String>>()?,
        done: false,
        wish: RequestedRollState::GoOn,
    };
    let data = serde_json::to_vec(&plan).map_err(|e| e.to_string())?;
    let made = claim.ask(Ask::Create {
        path,
        data,
        ephemeral: false,
    });
    made.map(|_| plan).map_err(|_| LOST.to_string())
}

fn status(control: &Path) -> Result<ProxyStatus, String> {
    AdminClient::connect(control)?.ask(&AdminRequest::new(AdminCommand::Status))
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

/// Orders a proxy something, as the owner if there is one; anybody else's word is not an owner's.
fn order(
    client: &mut AdminClient,
    request: AdminRequest,
    claim: Option<&LeaderLease>,
) -> Result<(), String> {
    match claim {
        None => client.ask(&request).map(drop),
        Some(claim) => match claim.order(client, request)? {
            Some(_) => Ok(()),
            None => Err(LOST.into()),
        },
    }
}

fn one(
    roll: &Roll,
    control: &Path,
    owner: Option<(&LeaderLease, Option<u32>)>,
) -> Result<(), String> {
    let claim = owner.map(|owner| owner.0);
    // Each of the others must carry, or the front would lose two.
    for other in roll.control.iter().filter(|other| *other != control) {
        let carries = || status(other).ok().filter(|s| s.carries);
        until(roll.patience, carries)
            .ok_or_else(|| format!("{} does not carry its share", other.display()))?;
    }
    let connected = AdminClient::connect(control);
    // One that an owner before had told to go is waited for.
    let Ok(mut client) = connected else {
        let away = owner.is_some_and(|owner| owner.1.is_some());
        return if away {
            comes_back(roll, control, owner.and_then(|owner| owner.1))
        } else {
            connected.map(drop)
        };
    };
    let before = client.ask(&AdminRequest::new(AdminCommand::Status))?;
    println!("{}: draining, {} open", control.display(), before.open);
    let deadline_ms = Some(roll.deadline.as_millis() as u64);
    order(
        &mut client,
        AdminRequest {
            deadline_ms,
            ..AdminRequest::new(AdminCommand::Drain)
        },
        claim,
    )?;
    emptied(&mut client, roll.deadline)?;
    if claim.is_some() && roll.restart.is_none() {
        order(&mut client, AdminRequest::new(AdminCommand::Leave), claim)?;
    }
    if let Some(command) = &roll.restart {
        // The command is not fenced: an owner that was stopped right here may run it late.
        if claim.is_some_and(|claim| !claim.acts()) {
            return Err(LOST.into());
        }
        let mut shell = Command::new("/bin/sh");
        let ran = shell
            .args(["-c", command])
            .env("ASTERRAMP_CONTROL", control)
            .status();
        let ran = ran.map_err(|e| format!("restart: {e}"))?;
        if !ran.success() {
            return Err(format!("restart: {ran}"));
        }
    }
    println!("{}: empty; waiting for its restart", control.display());
    comes_back(roll, control, Some(before.pid))
}

fn comes_back(roll: &Roll, control: &Path, before: Option<u32>) -> Result<(), String> {
    let back = || {
        status(control)
            .ok()
            .filter(|s| s.state == "serving" && Some(s.pid) != before)
    };
    until(roll.patience, back).ok_or("it has not come back")?;
    println!(
        "{}: back; waiting until it carries its share",
        control.display()
    );
    let carries = || {
        let own = status(control).ok()?;
        let others = roll.control.iter().filter(|other| *other != control);
        let open: Vec<usize> = others
            .filter_map(|other| Some(status(other).ok()?.open))
            .collect();
        let mean = open.iter().sum::<usize>() as f64 / open.len().max(1) as f64;
        (own.carries && own.open as f64 >= mean * roll.share).then_some(own)
    };
    let own = until(roll.patience, carries).ok_or("it does not carry its share")?;
    println!("{}: {}", control.display(), told(&own));
    Ok(())
}
