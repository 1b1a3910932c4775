//! The proxy on sockets. Layers, each resting on those before it: [`transport`], [`protocol`], [`routing`],
//! [`program`]; `docs/architecture.md` follows a request through them.

pub mod program;
pub mod protocol;
pub mod routing;
pub mod transport;
