//! The properties that must hold in every order of events. `monitor` checks them on what clients and servers observe.

use std::fmt;

/// A property. The names of the variants are written into traces.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Property {
    /// Each session gets exactly one final answer, within its client's wait.
    OneAnswerInTime,
    /// A session never has two dials in progress.
    NeverTwoDials,
    /// No dial begins, or is still in progress, after the final answer or once the client has left.
    NoDialAfterTheAnswer,
    /// A session is dialled no more often than allowed.
    DialsBounded,
    /// No dial begins to a server that the endpoint list reports as draining or gone.
    DrainsKept,
    /// Once a dial may have run, a session that is not idempotent is neither dialled nor rejected; one with an
    /// idempotency key is dialled only within the key's scope and lifetime, and rejected only where the scope is all
    /// servers.
    NoEffectTwice,
    /// A server that is known to be warming up gets no more dials than its slow-start budget.
    ColdSpared,
    /// No session, slot, deadline or connection is left behind, and every session ends.
    NothingLeftBehind,
    /// An event of a closed connection reaches no session, and no session is opened without a connection.
    NothingMadeUp,
}

/// A violation of a property.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The property that does not hold.
    pub property: Property,
    /// The observation that violates it, which is written into traces.
    pub description: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.property, self.description)
    }
}
