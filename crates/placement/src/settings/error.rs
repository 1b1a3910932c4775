//! Errors of the settings.

use thiserror::Error;

/// Why settings can't be used. `path` is the setting's path as it is written.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// A value that isn't of the setting's type.
    #[error("setting {path}: cannot read {value:?}")]
    Unreadable {
        /// The setting.
        path: String,
        /// The value, or the one of a list that can't be read.
        value: String,
    },
    /// A setting without which the engine can't work.
    #[error("setting {path} is missing")]
    Missing {
        /// The setting.
        path: String,
    },
    /// A number of microseconds that is negative, not finite or over 2^32 seconds.
    #[error("setting {path}: not a time")]
    InvalidDuration {
        /// The setting.
        path: String,
    },
    /// A number outside the range of the setting.
    #[error("setting {path}: {allowed}")]
    OutOfRange {
        /// The setting.
        path: String,
        /// What is allowed.
        allowed: AllowedRange,
    },
    /// A retry budget without the span that it is counted over.
    #[error("setting {path}: a span over 0 is needed beside it")]
    MissingWindow {
        /// The span's setting.
        path: String,
    },
    /// A scope of idempotency keys that isn't `all`, `zone` or `cell`.
    #[error("setting {path}: unknown group {value:?}")]
    UnknownScope {
        /// The setting.
        path: String,
        /// The scope as it is written.
        value: String,
    },
    /// Semantics of a listener that aren't known.
    #[error("setting {path}: unknown kind {value:?}")]
    UnknownSemantics {
        /// The setting.
        path: String,
        /// The semantics as they are written.
        value: String,
    },
}

/// Which numbers a setting takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum AllowedRange {
    /// A finite number from 0.
    #[error("allowed is a number from 0")]
    NonNegative,
    /// A number from 0 to 1.
    #[error("allowed is a number from 0 to 1")]
    Fraction,
    /// A number from 0 to 1e9.
    #[error("allowed is a number from 0 to 1e9")]
    UpToBillion,
    /// A list of numbers from 0 to 1e9.
    #[error("allowed are numbers from 0 to 1e9")]
    EachUpToBillion,
}
