//! The faults of a run: when each begins and ends, and what it does to whom.

mod discovery_and_clients;
mod hosts;
mod links;
mod proxies;
mod schedule;
mod zones;

pub(super) use schedule::play_faults;
