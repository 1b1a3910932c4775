//! Translates between the protocol's records and the placement engine's events and actions.

use crate::id_table::IdTable;
use crate::wire::{
    ActionRecord, EndpointEntry, ListMode, ObservationKind, ObservationRecord, OutcomeCode,
    SessionRecord, action_code, action_field,
};
use asterramp_placement::event::{
    Endpoint, EndpointUpdate, Observation, Outcome, ServerId, SessionId, SessionRequest,
};
use asterramp_placement::{PlacementAction, PlacementEvent};
use std::time::Duration;

/// Milliseconds in a second.
const MILLISECONDS_PER_SECOND: f64 = 1e3;
/// In a poll of the endpoint list: send its changes too from now on.
const SUBSCRIBE: u8 = 1;

/// The engine's request of a session whose id is `session`.
pub(crate) fn session_request(session: SessionId, record: &SessionRecord) -> SessionRequest {
    SessionRequest {
        session,
        listener: record.listener,
        tenant: record.tenant,
        group: record.group,
        hash_key: record.hash_key,
        reconnecting: record.reconnecting,
        answer_deadline: record.dial_timeout,
    }
}

/// The engine's outcome. Reasons that the protocol may gain count as errors of the server.
pub(crate) fn outcome(code: OutcomeCode) -> Outcome {
    match code.0 {
        0 => Outcome::Ok,
        2 => Outcome::Full,
        3 => Outcome::TimedOut,
        4 => Outcome::Unreachable,
        5 => Outcome::Reset,
        6 => Outcome::Cancelled,
        7 => Outcome::NotSent,
        _ => Outcome::ServerError,
    }
}

/// What was seen of an open connection; `None` where its session has ended, its server is unknown, or the observation
/// is of an unknown kind or no time.
pub(crate) fn observation_event(
    record: &ObservationRecord,
    ids: &IdTable,
) -> Option<PlacementEvent> {
    let observation = match record.kind {
        ObservationKind::WorkRate => Observation::WorkRate(record.amount),
        ObservationKind::MessageDelay => {
            let delay = Duration::try_from_secs_f64(record.amount / MILLISECONDS_PER_SECOND);
            Observation::MessageDelay(delay.ok()?)
        }
        ObservationKind::Unknown => return None,
    };
    Some(PlacementEvent::ConnectionObserved {
        session: ids.session_id(record.handle)?,
        server: ids.server_id(record.address)?,
        observation,
    })
}

/// The engine's endpoint of a server whose id is `server`.
pub(crate) fn endpoint(server: ServerId, entry: &EndpointEntry) -> Endpoint {
    Endpoint {
        load_per_connection: None,
        server,
        hash_key: entry.hash_key(),
        zone: entry.zone,
        cell: entry.cell,
        state: entry.state,
        weight: entry.weight,
        started_at: entry.started_at,
    }
}

/// The engine's news of the endpoint list. A failure carries no endpoints.
pub(crate) fn endpoint_update(mode: ListMode, endpoints: Vec<Endpoint>) -> EndpointUpdate {
    match mode {
        ListMode::Changes => EndpointUpdate::Changes(endpoints),
        ListMode::Complete => EndpointUpdate::Complete(endpoints),
        ListMode::Stale => EndpointUpdate::Stale(endpoints),
        ListMode::Failed => EndpointUpdate::Failed,
    }
}

/// The record of one action; `None` for [`PlacementAction::ReleaseSession`], which the simulator isn't told of.
pub(crate) fn action_record(
    instance: u16,
    action: PlacementAction,
    ids: &IdTable,
) -> Option<ActionRecord> {
    let of_session = |code, session| {
        ActionRecord::new(code, instance).with_session_handle(ids.session_handle(session))
    };
    let record = match action {
        PlacementAction::Dial {
            session,
            server,
            timeout,
            ..
        } => of_session(action_code::START_ATTEMPT, session)
            .with_field(action_field::ATTEMPT_SERVER, ids.server_address(server))
            .with_field(action_field::ATTEMPT_TIMEOUT, microseconds(timeout)),
        PlacementAction::Cancel { session, attempt } => {
            of_session(action_code::CANCEL_ATTEMPT, session)
                .with_field(action_field::CANCELLED_ATTEMPT, [attempt])
        }
        PlacementAction::Reject {
            session,
            retry_after,
        } => of_session(action_code::REJECT, session)
            .with_field(action_field::RETRY_AFTER, microseconds(retry_after)),
        PlacementAction::Fail { session } => of_session(action_code::FAIL, session),
        PlacementAction::Migrate { session } => of_session(action_code::MIGRATE, session),
        PlacementAction::Probe { server } => ActionRecord::new(action_code::PROBE, instance)
            .with_field(action_field::PROBE_SERVER, ids.server_address(server)),
        PlacementAction::PollEndpoints => ActionRecord::new(action_code::POLL_ENDPOINTS, instance)
            .with_field(action_field::SUBSCRIPTION, [SUBSCRIBE]),
        PlacementAction::SetTimer { after } => ActionRecord::new(action_code::SET_TIMER, instance)
            .with_field(action_field::TIMER_DELAY, microseconds(after)),
        PlacementAction::ReleaseSession { .. } => return None,
    };
    Some(record)
}

/// A span in whole microseconds, as actions carry it. Longer ones than that holds, 71 minutes, become the longest.
fn microseconds(span: Duration) -> [u8; 4] {
    u32::try_from(span.as_micros())
        .unwrap_or(u32::MAX)
        .to_le_bytes()
}
