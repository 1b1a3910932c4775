//! Errors in a proxy's settings.

use thiserror::Error;

/// Why settings are rejected. `path` is the setting's path as written.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// A value that doesn't parse as the setting's type.
    #[error("setting {path}: cannot read {value:?}")]
    Unreadable {
        /// The setting.
        path: String,
        /// The value, or the element of a list that doesn't parse.
        value: String,
    },
    /// A required setting is missing.
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
    /// A retry budget without its window.
    #[error("setting {path}: a span over 0 is needed beside it")]
    MissingWindow {
        /// The setting of the window.
        path: String,
    },
    /// A scope of idempotency keys that isn't `all`, `zone` or `cell`.
    #[error("setting {path}: unknown group {value:?}")]
    UnknownScope {
        /// The setting.
        path: String,
        /// The scope as written.
        value: String,
    },
    /// Semantics of a listener that aren't `read_like`, `idempotency_key` or `non_idempotent`.
    #[error("setting {path}: unknown kind {value:?}")]
    UnknownSemantics {
        /// The setting.
        path: String,
        /// The semantics as written.
        value: String,
    },
}

/// Range of numbers that a setting accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum AllowedRange {
    /// A finite number that is at least 0.
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
