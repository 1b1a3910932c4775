//! Stand-in hosts, clients, a front and discovery on loopback around asterramp, with faults, and a judge that holds the
//! rules against what the peers themselves recorded. `docs/testbed.md` tells how its parts meet.
//!
//! - [`scenario`] is what a run is made of, [`plan`] what is drawn from it, [`context`] what its actors share.
//! - [`host`], [`client`], [`front_balancer`], [`discovery`] and [`link`] are the actors, [`testbed`] owns them.
//! - [`proxy_process`] runs the program under test, [`plain_proxy`] is one to compare it with.
//! - [`run`] plays a scenario from beginning to end.
//! - [`judge`] checks the rules over the [`event_log`]; [`report`], [`plots`], [`compare`] and [`scale`] show results.

pub mod client;
pub mod compare;
pub mod context;
pub mod discovery;
pub mod drain_measurement;
pub mod event_log;
pub mod front_balancer;
pub mod host;
pub mod journal;
pub mod judge;
pub mod line_reader;
pub mod link;
pub mod link_ends;
pub mod load_model;
pub mod log_summary;
pub mod metrics_calls;
pub mod misbehaving_clients;
mod pending_dials;
pub mod plain_proxy;
pub mod plan;
pub mod plots;
pub mod proxy_process;
pub mod report;
pub mod run;
pub mod scale;
pub mod scenario;
pub mod service_score;
pub mod shrink;
pub mod sockets;
pub mod testbed;
