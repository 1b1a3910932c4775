//! Faults that the model checker injects on purpose, to show that it finds them.
//!
//! A package that can be made faulty declares the feature `injected-faults`, an enum `InjectedFault` at its crate root
//! and, in each type that may misbehave, a field `injected_fault: Option<InjectedFault>`. Both exist only under that
//! feature, which no build that serves traffic enables.

/// Whether `$holder` has the fault `InjectedFault::$fault`; always `false` without the feature `injected-faults`.
///
/// The feature and the enum are those of the calling crate, not of this one.
#[macro_export]
#[allow(clippy::crate_in_macro_def)] // The calling crate's enum is meant.
macro_rules! is_injected {
    ($holder:expr, $fault:ident) => {{
        #[cfg(feature = "injected-faults")]
        {
            $holder.injected_fault == Some(crate::InjectedFault::$fault)
        }
        #[cfg(not(feature = "injected-faults"))]
        {
            false
        }
    }};
}
