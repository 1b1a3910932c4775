//! The running proxy instances, and the handling of a batch of events by them.

use crate::error::{BatchError, RecordError};
use crate::instance::Instance;
use crate::wire::{BatchHeader, EVENT_SIZE, EventRecord, Fields, event_code, reply};
use asterramp_placement::PlacementAction;
use rustc_hash::FxHashMap;
use std::time::Duration;

/// The running instances, by number.
#[derive(Default)]
pub(crate) struct InstanceTable {
    instances: FxHashMap<u16, Instance>,
    /// Actions of the event that is being handled. Empty between events; kept to reuse its allocation.
    actions: Vec<PlacementAction>,
}

impl InstanceTable {
    /// Handles one batch. `body` is everything after the header; `reply` is an empty buffer, to which the whole reply
    /// is written.
    ///
    /// # Errors
    ///
    /// The first record that is malformed or names an instance that isn't running. `reply` is then
    /// incomplete.
    pub(crate) fn handle_batch(
        &mut self,
        header: &BatchHeader,
        body: &[u8],
        reply: &mut Vec<u8>,
    ) -> Result<(), BatchError> {
        let (records, tail) = body.split_at(header.record_count * EVENT_SIZE);
        reply::reserve_header(reply);
        for (index, record) in records.chunks_exact(EVENT_SIZE).enumerate() {
            let fields = Fields::new(record);
            self.handle_record(fields, tail, header.now, reply)
                .map_err(|source| BatchError::Record {
                    index,
                    code: EventRecord::code(fields),
                    source,
                })?;
        }
        reply::write_header(reply, header.batch_number);
        Ok(())
    }

    /// Handles one event at the time `now` and appends the resulting actions to `reply`.
    fn handle_record(
        &mut self,
        fields: Fields<'_>,
        tail: &[u8],
        now: Duration,
        reply: &mut Vec<u8>,
    ) -> Result<(), RecordError> {
        let id = EventRecord::instance(fields);
        match EventRecord::code(fields) {
            event_code::START_INSTANCE => {
                let instance = Instance::start(fields, tail)?;
                self.instances.insert(id, instance);
            }
            event_code::STOP_INSTANCE => {
                self.instances.remove(&id);
            }
            _ => {
                let instance = self
                    .instances
                    .get_mut(&id)
                    .ok_or(RecordError::UnknownInstance { instance: id })?;
                let record = EventRecord::decode(fields, tail)?;
                instance.handle_event(record, now, &mut self.actions)?;
                for action in self.actions.drain(..) {
                    instance.append_action(id, action, reply);
                }
            }
        }
        Ok(())
    }
}
