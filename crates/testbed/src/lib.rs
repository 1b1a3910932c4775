//! A stand-in world for asterramp on loopback: hosts, clients, a front, discovery, faults, and a judge that
//! holds the rules against what the peers themselves recorded. `docs/rig.md` tells how its parts meet.
#![allow(
    missing_docs,
    unreachable_pub,
    missing_debug_implementations,
    rust_2018_idioms
)] // Not yet brought to the workspace lints.
#![allow(clippy::too_many_lines, clippy::cognitive_complexity)] // Not yet brought to the workspace lints.

pub mod baseline;
pub mod client;
pub mod compare;
pub mod discovery;
pub mod drain_measurement;
pub mod event_log;
pub mod front;
pub mod host;
pub mod journal;
pub mod judge;
pub mod line_reader;
pub mod link;
pub mod load_model;
pub mod log_summary;
pub mod metrics_calls;
pub mod misbehaving_clients;
pub mod plan;
pub mod plots;
pub mod proxies;
pub mod report;
pub mod run;
pub mod scale;
pub mod scenario;
pub mod shrink;
pub mod testbed;
