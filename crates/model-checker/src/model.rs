//! What the explorer needs to know of a modelled system.

use std::fmt::{Debug, Display};
use std::hash::Hash;

/// One state of a modelled system, from which actions lead to others.
///
/// The same state and action always give the same next state: a model draws no random numbers and reads no clock.
pub trait Model: Clone + Send + Sync {
    /// Something that may happen. Its text is its line in a counterexample.
    type Action: Copy + Debug + Display + Send + Sync;
    /// A property that does not hold.
    type Violation: Debug + Display + Send;
    /// What tells states apart.
    type Fingerprint: Clone + Eq + Hash + Send + Sync;

    /// Equal for states that behave alike from here on; the explorer goes on from the first of them only.
    fn fingerprint(&self) -> Self::Fingerprint;

    /// Whether nothing that happens from here on is of interest.
    fn is_finished(&self) -> bool {
        false
    }

    /// All that may happen next.
    fn actions(&self) -> Vec<Self::Action>;

    /// Lets one of [`Model::actions`] happen.
    ///
    /// # Errors
    ///
    /// A property of this action, or of the state that it leads to, that does not hold.
    fn apply(&mut self, action: Self::Action) -> Result<(), Self::Violation>;

    /// Checks the properties that are too expensive to be checked by each action: the explorer calls it once for each
    /// different state.
    ///
    /// # Errors
    ///
    /// A property that does not hold.
    fn check(&self) -> Result<(), Self::Violation> {
        Ok(())
    }
}
