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
pub mod calls;
pub mod client;
pub mod compare;
pub mod front;
pub mod host;
pub mod journal;
pub mod judge;
pub mod leave;
pub mod ledger;
pub mod lines;
pub mod link;
pub mod load;
pub mod logs;
pub mod plan;
pub mod plots;
pub mod proxies;
pub mod report;
pub mod roster;
pub mod rude;
pub mod run;
pub mod scale;
pub mod scenario;
pub mod shrink;
pub mod world;
