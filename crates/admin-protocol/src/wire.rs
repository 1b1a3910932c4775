//! The JSON form of a request.
//!
//! The names here are older than those of the public types. Most fields have the names of their JSON keys. The names of
//! the types appear in serde's error texts, which clients receive in replies, so they must not change either.

use crate::{AdminCommand, AdminRequest, LeaderToken};
use serde::{Deserialize, Serialize};

/// JSON form of [`AdminRequest`].
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Request {
    v: u32,
    #[serde(rename = "do")]
    command: AdminCommand,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    deadline_ms: Option<u64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pace: Option<f64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    owner: Option<OwnerWords>,
}

/// JSON form of [`LeaderToken`].
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct OwnerWords {
    term: u64,
    boot: u64,
    until_us: u64,
}

impl From<Request> for AdminRequest {
    fn from(request: Request) -> AdminRequest {
        AdminRequest {
            version: request.v,
            command: request.command,
            deadline_ms: request.deadline_ms,
            migrations_per_second: request.pace,
            leader: request.owner.map(LeaderToken::from),
        }
    }
}

impl From<AdminRequest> for Request {
    fn from(request: AdminRequest) -> Request {
        Request {
            v: request.version,
            command: request.command,
            deadline_ms: request.deadline_ms,
            pace: request.migrations_per_second,
            owner: request.leader.map(OwnerWords::from),
        }
    }
}

impl From<OwnerWords> for LeaderToken {
    fn from(token: OwnerWords) -> LeaderToken {
        LeaderToken {
            term: token.term,
            incarnation: token.boot,
            expires_at_us: token.until_us,
        }
    }
}

impl From<LeaderToken> for OwnerWords {
    fn from(token: LeaderToken) -> OwnerWords {
        OwnerWords {
            term: token.term,
            boot: token.incarnation,
            until_us: token.expires_at_us,
        }
    }
}
