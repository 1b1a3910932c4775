//! The results of a run: a table for people, JSON for programs, charts.
//!
//! - `types.rs`: what a report holds;
//! - `build.rs`: a report from what a run recorded;
//! - `table.rs`: the table that ends a run;
//! - `charts.rs`: the charts of a run;
//! - `files.rs`: the files that a report is written to.

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
