//! Operators' requests about a guarded roll, which go through the store: print its progress, pause, resume or cancel
//! it.

use super::plan::{RequestedRollState, StoredPlan, read_plan, write_requested_state};
use super::replacement::proxy_status;
use super::{RollError, RollPlan};
use crate::program::leader_lease::LeaderLease;
use std::path::Path;

/// Prints the leader, the number of queued contenders, and the state of each proxy of the roll.
pub(in crate::program) fn print_roll_status(
    name: &str,
    lease: &LeaderLease,
) -> Result<(), RollError> {
    let queue = lease.queued_contenders().unwrap_or_default();
    match queue.first() {
        Some(leader) => println!(
            "{} owns, term {}; {} wait",
            leader.node,
            leader.term,
            queue.len() - 1
        ),
        None => println!("nobody owns the work"),
    }
    let plan = existing_plan(name, lease)?.plan;
    print_progress(name, &plan);
    for (admin_socket, pid) in &plan.pids_to_replace {
        let state = replacement_state(admin_socket, *pid);
        println!("{}: {state}", admin_socket.display());
    }
    Ok(())
}

/// Stores a request to the roll's leader, which checks for requests before each replacement.
pub(in crate::program) fn request_roll_state(
    name: &str,
    lease: &LeaderLease,
    requested_state: RequestedRollState,
) -> Result<(), RollError> {
    let stored = existing_plan(name, lease)?;
    if stored.plan.done {
        return Err(RollError::AlreadyDone { name: name.into() });
    }
    write_requested_state(name, stored, requested_state, lease)?;
    println!("{name} {}", requested_state.status_text());
    Ok(())
}

fn existing_plan(name: &str, lease: &LeaderLease) -> Result<StoredPlan, RollError> {
    read_plan(name, lease)?.ok_or_else(|| RollError::UnknownRoll { name: name.into() })
}

fn print_progress(name: &str, plan: &RollPlan) {
    let replaced = plan
        .pids_to_replace
        .iter()
        .filter(|(admin_socket, pid)| {
            proxy_status(admin_socket).is_ok_and(|status| status.pid != **pid)
        })
        .count();
    let predicate = if plan.done {
        "is done"
    } else {
        plan.requested_state.status_text()
    };
    println!(
        "{name}: {replaced} of {} are replaced; it {predicate}",
        plan.pids_to_replace.len()
    );
}

fn replacement_state(admin_socket: &Path, pid: u32) -> String {
    match proxy_status(admin_socket) {
        Ok(status) if status.pid != pid => format!("replaced, {}", status.state),
        Ok(status) => status.state,
        Err(_) => "cannot be reached".into(),
    }
}
