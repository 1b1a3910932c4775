//! Action records: the actions of an instance, sent to the simulator.

/// Bytes of an action record, including the zeros after its fields.
pub(crate) const ACTION_SIZE: usize = 24;

/// Codes of the actions, the first byte of a record. Their comments begin with the protocol's name of the action.
pub(crate) mod action_code {
    /// `BUSY`: reject a session, of which nothing was executed.
    pub(crate) const REJECT: u8 = 40;
    /// `TIMER`: send a timer event later.
    pub(crate) const SET_TIMER: u8 = 50;
    /// `MOVE`: close an open connection, so that its client reconnects.
    pub(crate) const MIGRATE: u8 = 70;
    /// `OBSERVE`: poll the endpoint list.
    pub(crate) const POLL_ENDPOINTS: u8 = 90;
    /// `ATTEMPT`: open a session at a server.
    pub(crate) const START_ATTEMPT: u8 = 100;
    /// `FAIL`: end a session, of which something may have been executed.
    pub(crate) const FAIL: u8 = 110;
    /// `TEST`: probe a server.
    pub(crate) const PROBE: u8 = 120;
    /// `ABORT_ATTEMPT`: cancel an attempt.
    pub(crate) const CANCEL_ATTEMPT: u8 = 130;
}

/// Offsets of the fields that are specific to an action. Durations are `u32` microseconds.
pub(crate) mod action_field {
    /// Address of the server of an attempt.
    pub(crate) const ATTEMPT_SERVER: usize = 11;
    /// Duration after which an attempt times out.
    pub(crate) const ATTEMPT_TIMEOUT: usize = 17;
    /// Number of the cancelled attempt in its session, from 0.
    pub(crate) const CANCELLED_ATTEMPT: usize = 11;
    /// Duration for which a rejected client should wait before it retries; 0 where none may be given.
    pub(crate) const RETRY_AFTER: usize = 11;
    /// Address of the server to probe.
    pub(crate) const PROBE_SERVER: usize = 3;
    /// 1 if a poll of the endpoint list also subscribes to its changes.
    pub(crate) const SUBSCRIPTION: usize = 3;
    /// Duration until the timer event.
    pub(crate) const TIMER_DELAY: usize = 3;
}

// Offsets of the fields that all actions have, or all actions on a session.
const CODE: usize = 0;
const INSTANCE: usize = 1;
const SESSION_HANDLE: usize = 3;

/// An action record under construction. Fields that haven't been set are zeros.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ActionRecord([u8; ACTION_SIZE]);

impl ActionRecord {
    /// A record with its code and instance, and no other field set.
    pub(crate) fn new(code: u8, instance: u16) -> Self {
        ActionRecord([0; ACTION_SIZE])
            .with_field(CODE, [code])
            .with_field(INSTANCE, instance.to_le_bytes())
    }

    /// Sets the handle of the session that the action concerns.
    pub(crate) fn with_session_handle(self, handle: u64) -> Self {
        self.with_field(SESSION_HANDLE, handle.to_le_bytes())
    }

    /// Sets the field at the offset `at`.
    ///
    /// # Panics
    ///
    /// If the field doesn't lie inside the record.
    pub(crate) fn with_field<const N: usize>(mut self, at: usize, bytes: [u8; N]) -> Self {
        self.0[at..at + N].copy_from_slice(&bytes);
        self
    }

    /// Appends the record to a reply.
    pub(crate) fn append_to(self, reply: &mut Vec<u8>) {
        reply.extend_from_slice(&self.0);
    }
}
