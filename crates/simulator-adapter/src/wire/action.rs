//! Action records: what an instance does.

/// Bytes of an action record, zeros after its fields included.
pub(crate) const ACTION_SIZE: usize = 24;

/// Codes of the actions, the first byte of a record. Each says the protocol's name of it.
pub(crate) mod action_code {
    /// `BUSY`: reject a session, of which nothing was done.
    pub(crate) const REJECT: u8 = 40;
    /// `TIMER`: send a timer event later.
    pub(crate) const SET_TIMER: u8 = 50;
    /// `MOVE`: end an open connection, whose client connects again.
    pub(crate) const MIGRATE: u8 = 70;
    /// `OBSERVE`: ask for the endpoint list.
    pub(crate) const POLL_ENDPOINTS: u8 = 90;
    /// `ATTEMPT`: open a session at a server.
    pub(crate) const START_ATTEMPT: u8 = 100;
    /// `FAIL`: end a session, of which something may have been done.
    pub(crate) const FAIL: u8 = 110;
    /// `TEST`: probe a server.
    pub(crate) const PROBE: u8 = 120;
    /// `ABORT_ATTEMPT`: cancel an attempt.
    pub(crate) const CANCEL_ATTEMPT: u8 = 130;
}

/// Offsets of the fields that aren't the same in every action.
pub(crate) mod action_field {
    /// Server of an attempt.
    pub(crate) const ATTEMPT_SERVER: usize = 11;
    /// How long an attempt may take.
    pub(crate) const ATTEMPT_TIMEOUT: usize = 17;
    /// Number of a cancelled attempt.
    pub(crate) const CANCELLED_ATTEMPT: usize = 11;
    /// How long a rejected client stays away.
    pub(crate) const RETRY_AFTER: usize = 11;
    /// Server of a probe.
    pub(crate) const PROBE_SERVER: usize = 3;
    /// Whether a poll of the endpoint list asks for its changes too.
    pub(crate) const SUBSCRIPTION: usize = 3;
    /// How much later a timer runs out.
    pub(crate) const TIMER_DELAY: usize = 3;
}

// Offsets of the fields that every action, or every one about a session, has.
const CODE: usize = 0;
const INSTANCE: usize = 1;
const SESSION_HANDLE: usize = 3;

/// One action record under construction. Fields that aren't put are zeros.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ActionRecord([u8; ACTION_SIZE]);

impl ActionRecord {
    /// A record of an instance, without any field.
    pub(crate) fn new(code: u8, instance: u16) -> Self {
        ActionRecord([0; ACTION_SIZE])
            .with_field(CODE, [code])
            .with_field(INSTANCE, instance.to_le_bytes())
    }

    /// Puts the handle of the session that the action is about.
    pub(crate) fn with_session_handle(self, handle: u64) -> Self {
        self.with_field(SESSION_HANDLE, handle.to_le_bytes())
    }

    /// Puts a field. `at` and `bytes` lie inside the record.
    pub(crate) fn with_field<const N: usize>(mut self, at: usize, bytes: [u8; N]) -> Self {
        self.0[at..at + N].copy_from_slice(&bytes);
        self
    }

    /// Appends the record to a reply.
    pub(crate) fn append_to(self, reply: &mut Vec<u8>) {
        reply.extend_from_slice(&self.0);
    }
}
