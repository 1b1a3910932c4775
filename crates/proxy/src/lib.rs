//! The proxy on sockets, in layers that each use those before it: [`transport`], [`protocol`], [`routing`] and
//! [`program`]. [`injected_fault`] has no effect in builds that serve traffic. `docs/architecture.md` follows a request
//! through the layers.

pub mod injected_fault;
pub mod program;
pub mod protocol;
pub mod routing;
pub mod transport;
