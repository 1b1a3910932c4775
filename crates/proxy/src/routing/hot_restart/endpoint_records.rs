//! Converts endpoints between the form in which discovery lists them and the records of a hot
//! restart.

use crate::protocol::discovery::ListedEndpoint;
use asterramp_hot_restart::{EndpointRecord, EndpointRecordState};
use asterramp_placement::event::EndpointState;
use std::net::AddrParseError;

/// The address of a record is not a socket address. Operators see the text in the log, so it must
/// not change.
#[derive(Debug, thiserror::Error)]
#[error("an endpoint is none")]
pub(in crate::routing) struct UnreadableAddress {
    /// The address as it was sent.
    pub(super) address: String,
    #[source]
    pub(super) source: AddrParseError,
}

pub(super) fn record_from_endpoint(endpoint: ListedEndpoint) -> EndpointRecord {
    EndpointRecord {
        uid: endpoint.uid,
        address: endpoint.address.to_string(),
        zone: endpoint.zone,
        cell: endpoint.cell,
        state: match endpoint.state {
            EndpointState::Ready => EndpointRecordState::Ready,
            EndpointState::Draining => EndpointRecordState::Draining,
            EndpointState::Gone => EndpointRecordState::Gone,
        },
        weight: endpoint.weight,
        started_at: endpoint.started_at,
    }
}

pub(super) fn endpoint_from_record(
    record: EndpointRecord,
) -> Result<ListedEndpoint, UnreadableAddress> {
    let address = match record.address.parse() {
        Ok(address) => address,
        Err(source) => {
            return Err(UnreadableAddress {
                address: record.address,
                source,
            });
        }
    };
    Ok(ListedEndpoint {
        uid: record.uid,
        address,
        zone: record.zone,
        cell: record.cell,
        state: match record.state {
            EndpointRecordState::Ready => EndpointState::Ready,
            EndpointRecordState::Draining => EndpointState::Draining,
            EndpointRecordState::Gone => EndpointState::Gone,
        },
        weight: record.weight,
        started_at: record.started_at,
    })
}
