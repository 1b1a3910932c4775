//! Fault injection for the model checker, which shows by injected faults that it detects them.
//!
//! A package with injectable faults declares the feature `injected-faults`, an enum `InjectedFault` at its crate root
//! and, in each type whose behaviour a fault changes, a field `injected_fault: Option<InjectedFault>`. Both exist only
//! under that feature, which no build that serves traffic enables.

/// Whether the fault `InjectedFault::$fault` is injected into `$target`; always `false` without the feature
/// `injected-faults`.
///
/// The feature and the enum are those of the calling crate, not of this one.
#[macro_export]
#[allow(clippy::crate_in_macro_def)] // `crate` must refer to the calling crate's enum.
macro_rules! is_injected {
    ($target:expr, $fault:ident) => {{
        #[cfg(feature = "injected-faults")]
        {
            $target.injected_fault == Some(crate::InjectedFault::$fault)
        }
        #[cfg(not(feature = "injected-faults"))]
        {
            false
        }
    }};
}
