//! What has to hold in every order of events, over what clients and servers see. `monitor` checks it.

use std::fmt;

/// A property. Its name stands in traces.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Property {
    /// Each session gets exactly one final answer, within its client's wait.
    OneAnswerInTime,
    /// A session never has two dials under way.
    NeverTwoDials,
    /// No dial begins, or is still under way, after the final answer or once the client has left.
    NoDialAfterTheAnswer,
    /// A session is dialled no more often than allowed.
    DialsBounded,
    /// Nothing new goes to a server that is reported as draining or gone.
    DrainsKept,
    /// Once a dial may have run, a session that is not idempotent is neither dialled nor rejected; one with an
    /// idempotency key is dialled only within the key's scope and lifetime, and rejected only where the scope is all
    /// servers.
    NoEffectTwice,
    /// A server that is known to be warming up gets no more dials than its budget.
    ColdSpared,
    /// No session, slot, deadline or connection is left behind, and every session ends.
    NothingLeftBehind,
    /// An event of a closed connection reaches no session, and no session is opened without a connection.
    NothingMadeUp,
}

/// A property that does not hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Which one.
    pub property: Property,
    /// What was seen.
    pub description: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.property, self.description)
    }
}
