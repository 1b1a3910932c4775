//! Runs asterramp processes on loopback among emulated hosts, clients, a front load balancer and discovery, injects
//! faults, and checks rules over the events that these actors recorded. `docs/testbed.md` describes the parts and how
//! they work together. A host is the testbed's word for a server on which sessions are placed.
//!
//! - [`scenario`] reads the description of a run, [`plan`] draws clients and faults from it, [`context`] holds the state
//!   that the actors of a run share.
//! - [`host`], [`client`], [`front_balancer`], [`discovery`] and [`link`] are the actors; [`testbed`] owns them.
//! - [`proxy_process`] runs the program under test; [`plain_proxy`] is a simple proxy to compare it with.
//! - [`run`] executes a scenario from start to end.
//! - [`judge`] checks the rules over the [`event_log`]; [`report`], [`plots`], [`compare`] and [`scale`] present results.

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
