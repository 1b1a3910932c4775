//! Translation of the protocol's records to events of the placement engine, and of its actions to records.

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

const MILLISECONDS_PER_SECOND: f64 = 1e3;
/// Value of [`action_field::SUBSCRIPTION`] that subscribes to changes of the endpoint list.
const SUBSCRIBE: u8 = 1;

/// Translates a session record for the session with the id `session`.
pub(crate) fn session_request(session: SessionId, record: &SessionRecord) -> SessionRequest {
    SessionRequest {
        session,
        listener: record.listener,
        tenant: record.tenant,
        group: record.group,
        hash_key: record.hash_key,
        reconnecting: record.reconnecting,
        answer_deadline: record.answer_deadline,
    }
}

/// Translates an outcome code. Unknown codes count as server errors.
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

/// Translates an observation of an open connection; `None` if its session has ended, its server is unknown, its kind is
/// unknown, or its message delay is not a valid duration.
pub(crate) fn observation_event(
    record: &ObservationRecord,
    ids: &IdTable,
) -> Option<PlacementEvent> {
    let observation = match record.kind {
        ObservationKind::WorkRate => Observation::WorkRate(record.value),
        ObservationKind::MessageDelay => {
            let delay = Duration::try_from_secs_f64(record.value / MILLISECONDS_PER_SECOND);
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

/// Translates an entry of the endpoint list for the server with the id `server`.
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

/// Translates an endpoint list. `endpoints` is ignored if the poll or watch failed.
pub(crate) fn endpoint_update(mode: ListMode, endpoints: Vec<Endpoint>) -> EndpointUpdate {
    match mode {
        ListMode::Changes => EndpointUpdate::Changes(endpoints),
        ListMode::Complete => EndpointUpdate::Complete(endpoints),
        ListMode::Stale => EndpointUpdate::Stale(endpoints),
        ListMode::Failed => EndpointUpdate::Failed,
    }
}

/// Translates an action to its record; `None` for [`PlacementAction::ReleaseSession`], which the protocol doesn't have.
pub(crate) fn action_record(
    instance: u16,
    action: PlacementAction,
    ids: &IdTable,
) -> Option<ActionRecord> {
    let session_record = |code, session| {
        ActionRecord::new(code, instance).with_session_handle(ids.session_handle(session))
    };
    let record = match action {
        PlacementAction::Dial {
            session,
            server,
            timeout,
            ..
        } => session_record(action_code::START_ATTEMPT, session)
            .with_field(action_field::ATTEMPT_SERVER, ids.server_address(server))
            .with_field(action_field::ATTEMPT_TIMEOUT, microseconds(timeout)),
        PlacementAction::Cancel { session, attempt } => {
            session_record(action_code::CANCEL_ATTEMPT, session)
                .with_field(action_field::CANCELLED_ATTEMPT, [attempt])
        }
        PlacementAction::Reject {
            session,
            retry_after,
        } => session_record(action_code::REJECT, session)
            .with_field(action_field::RETRY_AFTER, microseconds(retry_after)),
        PlacementAction::Fail { session } => session_record(action_code::FAIL, session),
        PlacementAction::Migrate { session } => session_record(action_code::MIGRATE, session),
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

/// Encodes a duration in whole microseconds, as action records contain it. Durations above `u32::MAX` microseconds,
/// about 71 minutes, are encoded as that maximum.
fn microseconds(duration: Duration) -> [u8; 4] {
    u32::try_from(duration.as_micros())
        .unwrap_or(u32::MAX)
        .to_le_bytes()
}
