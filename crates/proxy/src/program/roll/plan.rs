//! A guarded roll's plan, which is kept at the store under the roll's name and outlives the roll's leaders.

use super::RollError;
use crate::program::leader_lease::LeaderLease;
use asterramp_zookeeper::record::{ANY_VERSION, StoreRequest};
use asterramp_zookeeper::session::StoreResponse;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::PathBuf;

/// The progress of a roll, and the state that an operator has requested. Leaders of other versions read it, so its
/// encoding must not change.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(expecting = "struct Plan")] // Keeps the text of decoding errors.
pub(super) struct RollPlan {
    /// Process ids at the start of the roll, by admin socket. A proxy that runs with another id has been replaced.
    #[serde(rename = "pids")]
    pub(super) pids_to_replace: BTreeMap<PathBuf, u32>,
    /// Whether every proxy has been replaced.
    pub(super) done: bool,
    /// The state that an operator has requested. Plans of versions without such requests omit it.
    #[serde(rename = "wish", default)]
    pub(super) requested_state: RequestedRollState,
}

/// The state of a roll that an operator requests; the leader checks it before each replacement.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(in crate::program) enum RequestedRollState {
    /// The proxies are replaced one after the other.
    #[default]
    #[serde(rename = "go-on")]
    Running,
    /// No further replacement begins until the roll is resumed.
    #[serde(rename = "pause")]
    Paused,
    /// The roll ends without a further replacement.
    #[serde(rename = "cancel")]
    Cancelled,
}

impl RequestedRollState {
    /// The state as the commands print it behind the roll's name.
    pub(super) fn status_text(self) -> &'static str {
        match self {
            RequestedRollState::Running => "goes on",
            RequestedRollState::Paused => "is paused",
            RequestedRollState::Cancelled => "is cancelled",
        }
    }
}

/// A plan with the version of its node. A write with this version fails if the plan has changed since it was read.
#[derive(Debug)]
pub(super) struct StoredPlan {
    pub(super) plan: RollPlan,
    pub(super) version: i32,
}

/// Path of the node that holds the plan of the roll with this name.
pub(super) fn plan_path(name: &str) -> String {
    format!("/asterramp/roll-{name}")
}

/// Reads the plan from the store. `None` if there is none, and also if the store does not respond.
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

/// Creates the plan's node. Any failure is a [`RollError::LeaseLost`], since another leader may have created the node.
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

/// Writes that every proxy has been replaced, which overwrites a request that an operator makes meanwhile. Any failure
/// is a [`RollError::LeaseLost`], since the next leader finds every proxy replaced and writes the same.
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

/// Writes the state that an operator requests, unless the plan has changed since it was read.
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
