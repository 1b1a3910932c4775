//! Tests of decoding, of saving on a simulated disk that loses power, and of the writer thread on the file system.

mod decoding;
mod power_loss;
mod simulated_disk;
mod writer;

/// Owner of the snapshots in these tests.
const OWNER: &str = "127.0.0.1:7000";
