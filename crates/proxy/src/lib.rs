//! The proxy on sockets. Layers, each resting on those before it: [`transport`], [`protocol`], [`routing`],
//! [`program`]; beside them [`injected_fault`], empty in every build that serves. `docs/architecture.md` follows a request through them.

pub mod injected_fault;
pub mod program;
pub mod protocol;
pub mod routing;
pub mod transport;
