//! The results of a run, as a printed table, as JSON and as charts.
//!
//! - `types.rs`: the contents of a report;
//! - `build.rs`: computes a report from a run's outcome;
//! - `table.rs`: the printed table;
//! - `charts.rs`: the charts;
//! - `files.rs`: writes the report's files.

mod build;
mod charts;
mod files;
mod table;
mod types;

pub use files::WriteError;
pub use types::{
    HostUtilization, LatencySummary, NamedShare, ProxyUsage, Report, ReportedViolation,
    ServiceSecond, ServiceShares, SetUpLatency,
};
