//! A real process whose limits are reached: clients, servers, operators, peers and discovery that send slowly, stop half
//! way, or send at full speed. Its peak memory is held against `limits.memory_mb`, and a steady client beside them gets
//! its answers in time.

mod flood;
mod floods;
mod process_memory;
mod slow_requests;
mod steady_client;
mod stub_server;
#[path = "../support/mod.rs"]
mod support;
