//! Decides which session setups a proxy admits while capacity is short.
//!
//! The caller sets how many setups per second there is capacity for; [`AdmissionControl`] decides which. The capacity is a
//! token bucket that fills at that rate. A request that ranks first may take the last token; one that ranks lower must
//! leave more tokens, so whoever is rejected would have been rejected before anyone who ranks higher at that moment.
//! Nothing is queued: the answer is yes, or a time after which to retry.
//!
//! | rejected first | why |
//! | --- | --- |
//! | least priority weight for its cost | cost as servers report it; where it is not known, weight alone if the settings say so |
//! | then sessions of tenants over their quota | other tenants are owed theirs |
//! | then retries of failed setups | they are more likely to fail again |
//! | then new sessions | reconnecting clients have lost a session already |
//!
//! Open connections are never closed to admit others. No I/O and no clock: times are durations since the caller's clock
//! began.
//!
//! | module | what it holds |
//! | --- | --- |
//! | `request` | requests, rejections and their reasons |
//! | `settings` | priority weights, quotas, bound of Retry-After |
//! | `control` | the decision |
//! | `token_bucket` | capacity as tokens |
//! | `quota` | recent admissions of each tenant |
//! | `session_cost` | cost of a session as servers report it |
//! | `retry_after` | when rejected clients retry |
//! | `decaying_count` | a count of recent events |

mod control;
mod decaying_count;
mod quota;
mod request;
mod retry_after;
mod session_cost;
mod settings;
mod token_bucket;

pub use control::AdmissionControl;
pub use request::{AdmissionRequest, RejectReason, Rejection, RejectionCounts};
pub use session_cost::SessionCost;
pub use settings::AdmissionSettings;
