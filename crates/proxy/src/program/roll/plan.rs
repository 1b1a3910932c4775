//! A guarded roll's plan, which is kept at the store under the roll's name and outlives whoever leads the roll.

use super::RollError;
use crate::program::leader_lease::LeaderLease;
use asterramp_zookeeper::record::{ANY_VERSION, StoreRequest};
use asterramp_zookeeper::session::StoreResponse;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::PathBuf;

/// What is left to do, and what an operator wants of the leader. Leaders of other builds read it: its encoding stays.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(expecting = "struct Plan")] // As errors have named it before.
pub(super) struct RollPlan {
    /// The processes that are to be replaced, by admin socket. One that runs as another process has been.
    #[serde(rename = "pids")]
    pub(super) replaced_pids: BTreeMap<PathBuf, u32>,
    /// Every proxy has been replaced.
    pub(super) done: bool,
    /// Absent in plans of builds before an operator could ask for anything.
    #[serde(rename = "wish", default)]
    pub(super) requested_state: RequestedRollState,
}

/// What an operator wants of a roll; the leader looks before each proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(in crate::program) enum RequestedRollState {
    /// One proxy is replaced after the other.
    #[default]
    #[serde(rename = "go-on")]
    Running,
    /// No further proxy is begun.
    #[serde(rename = "pause")]
    Paused,
    /// The roll ends; no further proxy is begun.
    #[serde(rename = "cancel")]
    Cancelled,
}

impl RequestedRollState {
    /// What is said of a roll in this state, behind its name.
    pub(super) fn status_text(self) -> &'static str {
        match self {
            RequestedRollState::Running => "goes on",
            RequestedRollState::Paused => "is paused",
            RequestedRollState::Cancelled => "is cancelled",
        }
    }
}

/// A plan as it was read, with its node's version, so that a change of what was read is not overwritten.
#[derive(Debug)]
pub(super) struct StoredPlan {
    pub(super) plan: RollPlan,
    pub(super) version: i32,
}

/// The node that holds the plan of the roll by this name.
pub(super) fn plan_path(name: &str) -> String {
    format!("/asterramp/roll-{name}")
}

/// The plan as it stands at the store. `None` also where the store does not answer.
pub(super) fn read_plan(name: &str, lease: &LeaderLease) -> Result<Option<StoredPlan>, RollError> {
    let path = plan_path(name);
    let request = StoreRequest::GetData {
        path: path.clone(),
        watch: false,
    };
    let Ok(StoreResponse::Data(data, stat)) = lease.send_request(request) else {
        return Ok(None);
    };
    match serde_json::from_slice(&data) {
        Ok(plan) => Ok(Some(StoredPlan {
            plan,
            version: stat.version,
        })),
        Err(source) => Err(RollError::PlanUnreadable { path, source }),
    }
}

/// Creates the plan's node. It fails as [`RollError::LeaseLost`], since another leader may have created it.
pub(super) fn create_plan(
    name: &str,
    plan: &RollPlan,
    lease: &LeaderLease,
) -> Result<(), RollError> {
    let request = StoreRequest::Create {
        path: plan_path(name),
        data: encode(plan)?,
        ephemeral: false,
    };
    match lease.send_request(request) {
        Ok(_) => Ok(()),
        Err(_) => Err(RollError::LeaseLost),
    }
}

/// Writes that every proxy has been replaced, over whatever an operator wants meanwhile. It fails as
/// [`RollError::LeaseLost`], since the next leader finds the same.
pub(super) fn mark_done(name: &str, plan: RollPlan, lease: &LeaderLease) -> Result<(), RollError> {
    let plan = RollPlan { done: true, ..plan };
    let request = StoreRequest::SetData {
        path: plan_path(name),
        data: encode(&plan)?,
        version: ANY_VERSION,
    };
    match lease.send_request(request) {
        Ok(_) => Ok(()),
        Err(_) => Err(RollError::LeaseLost),
    }
}

/// Writes what an operator wants, unless the plan has changed since it was read.
pub(super) fn write_requested_state(
    name: &str,
    stored: StoredPlan,
    requested_state: RequestedRollState,
    lease: &LeaderLease,
) -> Result<(), RollError> {
    let plan = RollPlan {
        requested_state,
        ..stored.plan
    };
    let request = StoreRequest::SetData {
        path: plan_path(name),
        data: encode(&plan)?,
        version: stored.version,
    };
    lease.send_request(request)?;
    Ok(())
}

fn encode(plan: &RollPlan) -> Result<Vec<u8>, RollError> {
    serde_json::to_vec(plan).map_err(RollError::PlanEncoding)
}
