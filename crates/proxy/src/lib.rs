//! The proxy on sockets. Layers, each resting on those before it: [`transport`], [`protocol`], [`routing`],
//! [`program`]; beside them [`injected_fault`], empty in every build that serves. `docs/architecture.md` follows a request through them.
#![allow(
    missing_docs,
    unreachable_pub,
    missing_debug_implementations,
    rust_2018_idioms
)] // Not yet brought to the workspace lints.
#![allow(clippy::too_many_lines, clippy::cognitive_complexity)] // Not yet brought to the workspace lints.

pub mod injected_fault;
pub mod program;
pub mod protocol;
pub mod routing;
pub mod transport;
