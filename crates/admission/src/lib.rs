//! Decides which session setups a proxy admits while capacity is short.
//!
//! The caller sets how many setups per second there is capacity for; [`AdmissionControl`] decides which requests get it.
//! The capacity is a token bucket that fills at that rate. A request that ranks first may take the last token, and one
//! that ranks lower must leave more tokens: at any moment, a request is admitted only if all that rank higher would be.
//! Requests are never queued: each is admitted, or rejected with a time after which to retry.
//!
//! | order of rejection | reason |
//! | --- | --- |
//! | sessions of listeners with the least priority weight for their cost | servers report the cost; while it is not known, the weight alone counts if the settings allow it |
//! | then sessions of tenants over their quota | other tenants are entitled to their quotas |
//! | then retries of failed setups | they are more likely to fail again |
//! | then new sessions | reconnecting clients have lost a session already |
//!
//! Open connections are never closed to admit others. No I/O and no clock: times are durations since the caller's clock
//! began.
//!
//! | module | content |
//! | --- | --- |
//! | `request` | requests, rejections and their reasons |
//! | `settings` | priority weights, quotas, longest Retry-After |
//! | `control` | rank of a request, and the decision to admit it |
//! | `token_bucket` | capacity as tokens |
//! | `quota` | recent admissions of each tenant |
//! | `session_cost` | cost of a session as servers report it |
//! | `retry_after` | when rejected clients retry |
//! | `decaying_count` | a count of events that decays exponentially |

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
