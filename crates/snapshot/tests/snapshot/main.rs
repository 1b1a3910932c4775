//! Reading of damaged files, the two generations on a disk that loses power, and the system's directory, lock and thread.

mod decoding;
mod power_loss;
mod simulated_disk;
mod writer;

/// The owner of the snapshots in these tests.
const OWNER: &str = "127.0.0.1:7000";
