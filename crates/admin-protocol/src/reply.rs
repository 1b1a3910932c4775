//! Replies: one JSON object per line, with a status, a text or an error.

use crate::{PROTOCOL_VERSION, ProxyStatus};
use serde::{Deserialize, Serialize};

/// A proxy's reply to one request. Exactly one of the optional fields is set.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(expecting = "struct Reply")] // Keeps serde's error texts as they were.
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
    /// The result of the commands `ready` and `stats`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
}

impl AdminReply {
    /// A reply with none of the optional fields.
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

    /// A reply with the reason why a request was rejected.
    pub fn error(message: impl Into<String>) -> AdminReply {
        AdminReply {
            error: Some(message.into()),
            ..AdminReply::EMPTY
        }
    }

    /// A reply with the result of `ready` or `stats`.
    pub fn text(text: String) -> AdminReply {
        AdminReply {
            text: Some(text),
            ..AdminReply::EMPTY
        }
    }

    /// The reply as one line of JSON, including its line feed.
    pub fn to_line(&self) -> String {
        // Serialization of a reply cannot fail. If it did, the client would report the empty line as malformed.
        serde_json::to_string(self).unwrap_or_default() + "\n"
    }
}
