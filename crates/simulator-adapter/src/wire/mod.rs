//! The simulator's protocol: frames of fixed-size records, whose fields are little-endian and not aligned.
//!
//! A batch of events is a header, its event records and a tail, which holds the data of variable size. A reply is a
//! header and its action records. Offsets are in bytes from the start of the record, its code included; times and
//! durations are in microseconds. The placement engine's ids don't occur here.

pub(crate) mod action;
pub(crate) mod batch;
pub(crate) mod endpoint_list;
pub(crate) mod event;
pub(crate) mod fields;
pub(crate) mod load_report;
pub(crate) mod reply;
pub(crate) mod session;
pub(crate) mod settings;

pub(crate) use action::{ActionRecord, action_code, action_field};
pub(crate) use batch::{BATCH_HEADER_SIZE, BatchHeader};
pub(crate) use endpoint_list::{EndpointEntry, EndpointListRecord, ListMode};
pub(crate) use event::{
    EVENT_SIZE, EventRecord, ObservationKind, ObservationRecord, OutcomeCode, event_code,
};
pub(crate) use fields::{Fields, ServerAddress};
pub(crate) use load_report::LoadReport;
pub(crate) use session::SessionRecord;
