//! Injects the plan's faults: begins and ends each at its time, at the processes and links that it affects.

mod discovery_and_clients;
mod hosts;
mod links;
mod proxies;
mod schedule;
mod zones;

pub(super) use schedule::play_faults;
