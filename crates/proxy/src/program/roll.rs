//! A rolling restart: a site's proxies are replaced one after the other, without the front ever losing two.
//!
//! A guarded roll is led by one process at a time, by a [`LeaderLease`]. Its plan is kept at the store, so that a successor
//! goes on where the leader stopped. `docs/leader-lease.md` says why it is done this way.

mod error;
mod operator;
mod plan;
mod replacement;

use super::leader_lease::{LeaderLease, StoreRequestError};
use asterramp_admin_protocol::{AdminClient, AdminCommand, AdminRequest};
use asterramp_leader_lease::{LeaseState, Term};
use plan::{RollPlan, create_plan, mark_done, plan_path, read_plan};
use replacement::{POLL_INTERVAL, Replacement, proxy_status};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

pub(super) use error::RollError;
pub(super) use operator::{print_roll_status, request_roll_state};
pub(super) use plan::RequestedRollState;

/// How often a contender looks whether it leads.
const LEASE_POLL_INTERVAL: Duration = Duration::from_millis(125);

/// How a roll is done.
#[derive(Clone, Debug)]
pub(super) struct RollOptions {
    /// The proxies' admin sockets, in the order in which they are replaced.
    pub(super) admin_sockets: Vec<PathBuf>,
    /// By when a drained proxy is to be empty.
    pub(super) drain_deadline: Duration,
    /// Run by the shell once a proxy is empty; without it somebody else restarts proxies.
    pub(super) restart_command: Option<String>,
    /// How long a restart may take, and how long until the proxy carries its share.
    pub(super) step_timeout: Duration,
    /// What a restarted proxy holds to carry its share, as a part of what the others hold on average.
    pub(super) min_session_share: f64,
}

impl RollOptions {
    /// The other proxies.
    fn peers_of<'a>(&'a self, admin_socket: &'a Path) -> impl Iterator<Item = &'a Path> {
        self.admin_sockets
            .iter()
            .map(PathBuf::as_path)
            .filter(move |peer| *peer != admin_socket)
    }

    fn print_done(&self) {
        println!("all {} are patched", self.admin_sockets.len());
    }
}

/// Replaces the proxies without a lead; nothing prevents a second roll at the same time. Stops at the first proxy that fails.
pub(super) fn roll_without_lease(options: &RollOptions) -> Result<(), RollError> {
    println!("this roll is not guarded: nobody keeps a second one away, and no store is named");
    for admin_socket in &options.admin_sockets {
        let replacement = Replacement {
            options,
            admin_socket,
            lease: None,
            planned_pid: None,
        };
        let replaced = replacement.run();
        replaced.map_err(|error| stopped_at(admin_socket, error))?;
    }
    options.print_done();
    Ok(())
}

/// Replaces the proxies under one leader at a time: waits for the lead, goes on with the plan where it stands and, when the
/// lead is lost, waits again.
pub(super) fn roll_with_lease(
    options: &RollOptions,
    name: &str,
    stores: Vec<SocketAddr>,
    session_timeout: Duration,
) -> Result<(), RollError> {
    let lease = LeaderLease::contend(stores, session_timeout);
    loop {
        wait_for_lead(options, &lease)?;
        match lead(options, name, &lease) {
            Ok(()) => {
                lease.resign();
                options.print_done();
                return Ok(());
            }
            Err(RollError::LeaseLost) => println!("{}; waiting for it", RollError::LeaseLost),
            Err(error) => {
                lease.resign();
                return Err(error);
            }
        }
    }
}

/// Waits until this process leads, and prints each change of its state.
fn wait_for_lead(options: &RollOptions, lease: &LeaderLease) -> Result<(), RollError> {
    let mut printed_state = None;
    let mut state_since = Instant::now();
    loop {
        let status = lease.status();
        if printed_state != Some(status.state) {
            printed_state = Some(status.state);
            state_since = Instant::now();
            println!("{}, term {}", status.state.name(), status.term);
        }
        match status.state {
            LeaseState::Leader => return Ok(()),
            LeaseState::AwaitingPredecessor => announce_term(options, lease, status.term),
            LeaseState::NotQueued if state_since.elapsed() > options.step_timeout => {
                return Err(StoreRequestError::Unreachable.into());
            }
            LeaseState::NotQueued | LeaseState::Queued => {}
        }
        std::thread::sleep(LEASE_POLL_INTERVAL);
    }
}

/// Makes the term known to every proxy: once all know it, no order of a predecessor counts anywhere, and the wait for the
/// predecessor is over.
fn announce_term(options: &RollOptions, lease: &LeaderLease, term: Term) {
    for admin_socket in &options.admin_sockets {
        let Ok(mut client) = AdminClient::connect(admin_socket) else {
            return;
        };
        let accepted =
            lease.send_as_leader(&mut client, AdminRequest::new(AdminCommand::AnnounceTerm));
        if !matches!(accepted, Ok(Some(_))) {
            return;
        }
    }
    lease.all_receivers_know_term(term);
}

/// Replaces what the plan says is not replaced yet.
fn lead(options: &RollOptions, name: &str, lease: &LeaderLease) -> Result<(), RollError> {
    let plan = open_plan(options, name, lease)?;
    if plan.done {
        println!("{name} was done before");
        return Ok(());
    }
    for admin_socket in replacement_order(options, &plan) {
        let planned_pid = plan.replaced_pids.get(admin_socket).copied();
        if is_replaced(admin_socket, planned_pid) {
            println!("{}: replaced already", admin_socket.display());
            continue;
        }
        wait_until_running(name, lease)?;
        let replacement = Replacement {
            options,
            admin_socket,
            lease: Some(lease),
            planned_pid,
        };
        if let Err(error) = replacement.run() {
            // Whatever fails once the lead is lost is the next leader's to judge.
            return Err(match error {
                RollError::LeaseLost => RollError::LeaseLost,
                _ if !lease.is_leader() => RollError::LeaseLost,
                error => stopped_at(admin_socket, error),
            });
        }
    }
    mark_done(name, plan, lease)
}

fn stopped_at(admin_socket: &Path, error: RollError) -> RollError {
    RollError::Replacement {
        admin_socket: admin_socket.into(),
        source: Box::new(error),
    }
}

/// The plan as it stands at the store, or a new one that is created there.
fn open_plan(
    options: &RollOptions,
    name: &str,
    lease: &LeaderLease,
) -> Result<RollPlan, RollError> {
    if let Some(stored) = read_plan(name, lease)? {
        let planned: BTreeSet<&PathBuf> = stored.plan.replaced_pids.keys().collect();
        if planned == options.admin_sockets.iter().collect() {
            return Ok(stored.plan);
        }
        let path = plan_path(name);
        return Err(RollError::PlanOfOtherProxies { path });
    }
    let mut replaced_pids = BTreeMap::new();
    for admin_socket in &options.admin_sockets {
        let pid = proxy_status(admin_socket)?.pid;
        replaced_pids.insert(admin_socket.clone(), pid);
    }
    let plan = RollPlan {
        replaced_pids,
        done: false,
        requested_state: RequestedRollState::Running,
    };
    create_plan(name, &plan, lease)?;
    Ok(plan)
}

/// The proxies with those first that a former leader may have left half done, or two would be out of service at once.
fn replacement_order<'a>(options: &'a RollOptions, plan: &RollPlan) -> Vec<&'a Path> {
    let is_half_done = |admin_socket: &&Path| match proxy_status(admin_socket) {
        Ok(status) => {
            let planned_pid = plan.replaced_pids.get(*admin_socket);
            status.state != "serving" && planned_pid == Some(&status.pid)
        }
        Err(_) => true,
    };
    let admin_sockets = options.admin_sockets.iter().map(PathBuf::as_path);
    let (mut half_done, others): (Vec<&Path>, Vec<&Path>) = admin_sockets.partition(is_half_done);
    half_done.extend(others);
    half_done
}

fn is_replaced(admin_socket: &Path, planned_pid: Option<u32>) -> bool {
    proxy_status(admin_socket)
        .is_ok_and(|status| Some(status.pid) != planned_pid && status.state == "serving")
}

/// Waits while an operator wants a pause; an error if the roll is cancelled or the lead lost meanwhile.
fn wait_until_running(name: &str, lease: &LeaderLease) -> Result<(), RollError> {
    let mut printed_state = RequestedRollState::Running;
    loop {
        let requested_state = match read_plan(name, lease)? {
            Some(stored) => stored.plan.requested_state,
            None => RequestedRollState::Running,
        };
        if requested_state != printed_state {
            printed_state = requested_state;
            println!("{name} {}", requested_state.status_text());
        }
        match requested_state {
            RequestedRollState::Running => return Ok(()),
            RequestedRollState::Cancelled => {
                return Err(RollError::Cancelled { name: name.into() });
            }
            RequestedRollState::Paused if !lease.is_leader() => return Err(RollError::LeaseLost),
            RequestedRollState::Paused => std::thread::sleep(POLL_INTERVAL),
        }
    }
}
