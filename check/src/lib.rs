//! Explores the life of sessions exhaustively at small size: the module, the exchange, the lives, slots and
//! deadlines are the code that serves; sockets, clients, hosts and the clock are a model. `docs/check.md` says
//! what that shows and what it leaves out.

pub mod explore;
pub mod handover;
pub mod owner;
pub mod properties;
pub mod recovery;
pub mod search;
pub mod shape;
pub mod site;
pub mod step;
pub mod trace;
pub mod walk;
pub mod world;
