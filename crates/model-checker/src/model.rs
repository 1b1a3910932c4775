//! The interface between the explorer and a modelled system.

use std::fmt::{Debug, Display};
use std::hash::Hash;

/// One state of a modelled system, from which actions lead to others.
///
/// The same state and action always give the same next state: a model draws no random numbers and reads no clock.
pub trait Model: Clone + Send + Sync {
    /// An event of the system. Its `Display` text is its line in a counterexample.
    type Action: Copy + Debug + Display + Send + Sync;
    /// A property that does not hold.
    type Violation: Debug + Display + Send;
    /// Identifies a state: states with equal fingerprints are treated as one.
    type Fingerprint: Clone + Eq + Hash + Send + Sync;

    /// Equal for states from which the same behaviour follows; the explorer expands only the first of them.
    fn fingerprint(&self) -> Self::Fingerprint;

    /// Whether the state need not be expanded, since nothing of interest can follow.
    fn is_finished(&self) -> bool {
        false
    }

    /// All actions that are possible in this state, in an order that is always the same.
    fn actions(&self) -> Vec<Self::Action>;

    /// Applies one of [`Model::actions`].
    ///
    /// # Errors
    ///
    /// A property that the action, or the state that it leads to, violates.
    fn apply(&mut self, action: Self::Action) -> Result<(), Self::Violation>;

    /// Checks properties that are too expensive to check after each action: the explorer calls it once for each distinct
    /// state.
    ///
    /// # Errors
    ///
    /// A property that does not hold.
    fn check(&self) -> Result<(), Self::Violation> {
        Ok(())
    }
}
