//! Replies: one JSON object per line, with a status, a text or an error.

use crate::{PROTOCOL_VERSION, ProxyStatus};
use serde::{Deserialize, Serialize};

/// A proxy's answer to one request. Exactly one of the optional fields is set.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(expecting = "struct Reply")] // As errors have named it before.
pub struct AdminReply {
    /// [`PROTOCOL_VERSION`] of the proxy.
    #[serde(rename = "v")]
    pub version: u32,
    /// Why the request was rejected.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub error: Option<String>,
    /// The proxy's status after the command.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub status: Option<ProxyStatus>,
    /// What `ready` and `stats` answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
}

impl AdminReply {
    const EMPTY: AdminReply = AdminReply {
        version: PROTOCOL_VERSION,
        error: None,
        status: None,
        text: None,
    };

    /// A reply with the proxy's status.
    pub fn status(status: ProxyStatus) -> AdminReply {
        AdminReply {
            status: Some(status),
            ..AdminReply::EMPTY
        }
    }

    /// A reply that says why a request was rejected.
    pub fn error(message: impl Into<String>) -> AdminReply {
        AdminReply {
            error: Some(message.into()),
            ..AdminReply::EMPTY
        }
    }

    /// A reply with a text for scrapers.
    pub fn text(text: String) -> AdminReply {
        AdminReply {
            text: Some(text),
            ..AdminReply::EMPTY
        }
    }

    /// The reply as a line, its line feed included.
    pub fn to_line(&self) -> String {
        // Nothing in a reply can fail to become JSON; an empty line would be an error at the client.
        serde_json::to_string(self).unwrap_or_default() + "\n"
    }
}
