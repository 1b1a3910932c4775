//! A rolling restart: a site's proxies are replaced one after the other, so that at most one of them is out of service
//! for the front proxy at any time.
//!
//! A guarded roll is run by one process at a time, the holder of a [`LeaderLease`]. Its plan is kept at the store, so
//! that the next leader can continue the roll. `docs/leader-lease.md` gives the reasons for this design.

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

/// How often a contender checks whether it leads.
const LEASE_POLL_INTERVAL: Duration = Duration::from_millis(125);

/// The options of a roll.
#[derive(Clone, Debug)]
pub(super) struct RollOptions {
    /// The proxies' admin sockets, in the order in which they are replaced.
    pub(super) admin_sockets: Vec<PathBuf>,
    /// Time from the start of a proxy's drain until it has to be empty.
    pub(super) drain_deadline: Duration,
    /// Shell command that restarts a proxy, run once it is empty. If absent, proxies have to be restarted from outside.
    pub(super) restart_command: Option<String>,
    /// Longest time for each wait of a replacement: for the restart, and for a proxy to carry its share of the
    /// sessions.
    pub(super) step_timeout: Duration,
    /// Sessions that a restarted proxy must hold to carry its share, as a fraction of the other proxies' mean.
    pub(super) min_session_share: f64,
}

impl RollOptions {
    /// The admin sockets of the proxies other than this one.
    fn peers_of<'a>(&'a self, admin_socket: &'a Path) -> impl Iterator<Item = &'a Path> {
        self.admin_sockets
            .iter()
            .map(PathBuf::as_path)
            .filter(move |peer| *peer != admin_socket)
    }

    fn print_completion(&self) {
        println!("all {} are patched", self.admin_sockets.len());
    }
}

/// Replaces the proxies without a leader lease, so that nothing prevents a second roll at the same time. Stops at the
/// first proxy whose replacement fails.
pub(super) fn roll_without_lease(options: &RollOptions) -> Result<(), RollError> {
    println!("this roll is not guarded: nobody keeps a second one away, and no store is named");
    for admin_socket in &options.admin_sockets {
        let replacement = Replacement {
            options,
            admin_socket,
            lease: None,
            planned_pid: None,
        };
        let result = replacement.run();
        result.map_err(|error| replacement_error(admin_socket, error))?;
    }
    options.print_completion();
    Ok(())
}

/// Replaces the proxies while holding the leader lease: waits for the lease, continues the plan at the store and waits
/// again if the lease is lost. `name` is the roll's name at the store.
pub(super) fn roll_with_lease(
    options: &RollOptions,
    name: &str,
    store_addresses: Vec<SocketAddr>,
    session_timeout: Duration,
) -> Result<(), RollError> {
    let lease = LeaderLease::contend(store_addresses, session_timeout);
    loop {
        wait_for_lease(options, &lease)?;
        match run_as_leader(options, name, &lease) {
            Ok(()) => {
                lease.resign();
                options.print_completion();
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

/// Waits until this process holds the leader lease, and prints each change of its state.
fn wait_for_lease(options: &RollOptions, lease: &LeaderLease) -> Result<(), RollError> {
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

/// Announces the term to every proxy. Once all have accepted it, none accepts an order of a predecessor, and the wait
/// for the predecessor ends early.
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
    lease.all_receivers_accepted_term(term);
}

/// Replaces the proxies that are not replaced yet according to the plan.
fn run_as_leader(options: &RollOptions, name: &str, lease: &LeaderLease) -> Result<(), RollError> {
    let plan = load_or_create_plan(options, name, lease)?;
    if plan.done {
        println!("{name} was done before");
        return Ok(());
    }
    for admin_socket in replacement_order(options, &plan) {
        let planned_pid = plan.pids_to_replace.get(admin_socket).copied();
        if is_replaced(admin_socket, planned_pid) {
            println!("{}: replaced already", admin_socket.display());
            continue;
        }
        wait_while_paused(name, lease)?;
        let replacement = Replacement {
            options,
            admin_socket,
            lease: Some(lease),
            planned_pid,
        };
        if let Err(error) = replacement.run() {
            // After the lease is lost, the next leader retries the replacement, whatever the error was.
            return Err(match error {
                RollError::LeaseLost => RollError::LeaseLost,
                _ if !lease.is_leader() => RollError::LeaseLost,
                error => replacement_error(admin_socket, error),
            });
        }
    }
    mark_done(name, plan, lease)
}

/// Adds the proxy's admin socket to the error with which its replacement failed.
fn replacement_error(admin_socket: &Path, error: RollError) -> RollError {
    RollError::Replacement {
        admin_socket: admin_socket.into(),
        source: Box::new(error),
    }
}

/// Loads the plan from the store, or creates it there. Fails if the stored plan has other proxies than this roll.
fn load_or_create_plan(
    options: &RollOptions,
    name: &str,
    lease: &LeaderLease,
) -> Result<RollPlan, RollError> {
    if let Some(stored) = read_plan(name, lease)? {
        let planned: BTreeSet<&PathBuf> = stored.plan.pids_to_replace.keys().collect();
        if planned == options.admin_sockets.iter().collect() {
            return Ok(stored.plan);
        }
        let path = plan_path(name);
        return Err(RollError::PlanOfOtherProxies { path });
    }
    let mut pids_to_replace = BTreeMap::new();
    for admin_socket in &options.admin_sockets {
        let pid = proxy_status(admin_socket)?.pid;
        pids_to_replace.insert(admin_socket.clone(), pid);
    }
    let plan = RollPlan {
        pids_to_replace,
        done: false,
        requested_state: RequestedRollState::Running,
    };
    create_plan(name, &plan, lease)?;
    Ok(plan)
}

/// The proxies in the order of replacement: first those that a former leader may have left half replaced, since
/// otherwise two would be out of service at once.
fn replacement_order<'a>(options: &'a RollOptions, plan: &RollPlan) -> Vec<&'a Path> {
    let is_half_replaced = |admin_socket: &&Path| match proxy_status(admin_socket) {
        Ok(status) => {
            let planned_pid = plan.pids_to_replace.get(*admin_socket);
            status.state != "serving" && planned_pid == Some(&status.pid)
        }
        Err(_) => true,
    };
    let admin_sockets = options.admin_sockets.iter().map(PathBuf::as_path);
    let (mut half_replaced, others): (Vec<&Path>, Vec<&Path>) =
        admin_sockets.partition(is_half_replaced);
    half_replaced.extend(others);
    half_replaced
}

/// Whether another process than the planned one serves behind the admin socket.
fn is_replaced(admin_socket: &Path, planned_pid: Option<u32>) -> bool {
    proxy_status(admin_socket)
        .is_ok_and(|status| Some(status.pid) != planned_pid && status.state == "serving")
}

/// Waits while an operator has paused the roll. Fails if the roll is cancelled or the lease is lost meanwhile.
fn wait_while_paused(name: &str, lease: &LeaderLease) -> Result<(), RollError> {
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
