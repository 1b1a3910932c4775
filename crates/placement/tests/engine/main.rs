//! Tests of the placement engine's decisions through its events and actions.

mod attempts;
mod endpoint_list;
mod fleet_slow_start;
mod load_estimate;
mod outlier_ejection;
mod probing;
mod rebalancing;
mod robustness;
mod selection;
mod session_pacing;
mod slow_start;
mod support;
mod zone_shares;
