//! Runs the proxies as processes: their configuration, start, signals, resource usage and shutdown.

mod addresses;
mod admin;
mod command;
mod command_loop;
mod configuration;
mod error;
mod hot_restart;
mod launch;
mod operator_file;
mod program;
mod proxy;
mod signals;
mod snapshot_files;
mod usage;

pub(crate) use addresses::admin_socket;
pub use addresses::{ProxyAddress, addresses};
pub(crate) use command::ProxyCommand;
pub use error::ProxyError;
pub use program::Program;
pub(crate) use proxy::Proxy;
pub use usage::ResourceUsage;
pub(crate) use usage::UsageLog;
