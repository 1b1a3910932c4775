//! State machine of one process in a hot restart.

/// State of a process with respect to the other process of a hot restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum HotRestartState {
    /// No other process is connected.
    Idle,
    /// Predecessor: a process has connected and not sent `Hello` yet.
    SuccessorConnected,
    /// Predecessor: the endpoint list and the listener are sent. The successor does not accept
    /// clients yet; this process still does.
    StateSent,
    /// Predecessor: the successor accepts clients. This process accepts none and offers its
    /// connections.
    HandingOver,
    /// Successor: the predecessor offers its connections.
    TakingOver,
}

/// Input of the state machine: an event on the link, or on the socket to which successors connect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum HotRestartInput {
    /// Another process has connected.
    PeerConnected,
    /// `Hello` was received.
    HelloReceived,
    /// `Serving` was received.
    ServingReceived,
    /// `SessionIdsRequested` was received.
    SessionIdsRequestReceived,
    /// `OpenSessionIds` or `EndedSessionIds` was received.
    SessionIdsReceived,
    /// `OfferAccepted` was received.
    OfferAcceptedReceived,
    /// `OpenDescriptors` was received.
    OpenDescriptorsReceived,
    /// An offer was received, and the predecessor was notified of its acceptance or has ended.
    OfferReceived,
    /// `HandoverStopped` was received.
    HandoverStoppedReceived,
    /// The other process timed out, could not be notified, or sent an invalid or unexpected
    /// message.
    PeerFailed,
    /// The other process has closed the link, and all messages that it sent before have been read.
    LinkClosed,
}

/// What the process has to do after an input.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum HotRestartEffect {
    /// Watch the new link, and wait a bounded time for `Hello`.
    AwaitHello,
    /// Close the new connection, because there is one successor at a time. The rejected process
    /// starts without a handover.
    RejectPeer,
    /// Send the endpoint list and the listener.
    SendState,
    /// Send the ids of the sessions once the successor accepts clients, and report those that end.
    ShareSessionIds,
    /// Record which sessions are open at the predecessor.
    RecordSessionIds,
    /// Accept no more clients and begin no more sessions; begin to offer connections.
    StopAccepting,
    /// Close this process's descriptors of the oldest offer.
    ReleaseOldestOffer,
    /// Reserve as many descriptors of the shared limit as the predecessor still has open.
    ReserveDescriptors,
    /// Take over the connection of the offer, unless its acceptance could not be sent.
    AdoptOffer,
    /// Close the connections whose acceptance could not be sent: the predecessor resumes them.
    DiscardUnconfirmed,
    /// Close the link, and continue as if no process had connected.
    CloseLink,
    /// Send `HandoverStopped`, close the link, and resume or release the pending offers by the
    /// result of sending it; see
    /// [`ConnectionOwnership::end_handover`](crate::ConnectionOwnership::end_handover).
    StopHandover,
    /// Close the link, and resume the connections of the pending offers: the successor has ended.
    ResumeOffers,
    /// Close the link, and adopt the connections whose acceptance could not be sent: the
    /// predecessor has ended.
    AdoptUnconfirmed,
}

/// One row of [`TRANSITIONS`].
#[derive(Clone, Copy, Debug)]
struct Transition {
    from: HotRestartState,
    input: HotRestartInput,
    to: HotRestartState,
    effect: HotRestartEffect,
}

const fn transition(
    from: HotRestartState,
    input: HotRestartInput,
    to: HotRestartState,
    effect: HotRestartEffect,
) -> Transition {
    Transition {
        from,
        input,
        to,
        effect,
    }
}

/// All inputs that are valid in a state. Any other input is a fault of the other process; see
/// [`HotRestartState::apply`].
const TRANSITIONS: &[Transition] = {
    use HotRestartEffect::*;
    use HotRestartInput::*;
    use HotRestartState::*;
    &[
        transition(Idle, PeerConnected, SuccessorConnected, AwaitHello),
        transition(
            SuccessorConnected,
            PeerConnected,
            SuccessorConnected,
            RejectPeer,
        ),
        transition(StateSent, PeerConnected, StateSent, RejectPeer),
        transition(HandingOver, PeerConnected, HandingOver, RejectPeer),
        transition(TakingOver, PeerConnected, TakingOver, RejectPeer),
        transition(SuccessorConnected, HelloReceived, StateSent, SendState),
        transition(
            StateSent,
            SessionIdsRequestReceived,
            StateSent,
            ShareSessionIds,
        ),
        transition(StateSent, ServingReceived, HandingOver, StopAccepting),
        transition(
            HandingOver,
            OfferAcceptedReceived,
            HandingOver,
            ReleaseOldestOffer,
        ),
        transition(HandingOver, LinkClosed, Idle, ResumeOffers),
        transition(
            TakingOver,
            HandoverStoppedReceived,
            TakingOver,
            DiscardUnconfirmed,
        ),
        transition(TakingOver, LinkClosed, Idle, AdoptUnconfirmed),
        transition(
            TakingOver,
            OpenDescriptorsReceived,
            TakingOver,
            ReserveDescriptors,
        ),
        transition(TakingOver, SessionIdsReceived, TakingOver, RecordSessionIds),
        transition(TakingOver, OfferReceived, TakingOver, AdoptOffer),
    ]
};

impl HotRestartState {
    /// Changes to the next state and returns what the process has to do.
    ///
    /// An input that is not valid in the state ends the hot restart: the state becomes
    /// [`HotRestartState::Idle`]. The effect is [`HotRestartEffect::StopHandover`] in
    /// [`HotRestartState::HandingOver`], since the successor may still be alive, and
    /// [`HotRestartEffect::CloseLink`] otherwise.
    pub fn apply(&mut self, input: HotRestartInput) -> HotRestartEffect {
        let current = *self;
        let transition = TRANSITIONS
            .iter()
            .find(|row| row.from == current && row.input == input);
        if let Some(row) = transition {
            *self = row.to;
            return row.effect;
        }
        *self = HotRestartState::Idle;
        match current {
            HotRestartState::HandingOver => HotRestartEffect::StopHandover,
            _ => HotRestartEffect::CloseLink,
        }
    }

    /// The state's name in log lines. Operators search logs by it, so it stays as it was when the
    /// states had other names in the code.
    pub fn log_name(self) -> &'static str {
        match self {
            HotRestartState::Idle => "Alone",
            HotRestartState::SuccessorConnected => "Called",
            HotRestartState::StateSent => "Told",
            HotRestartState::HandingOver => "Handing",
            HotRestartState::TakingOver => "Taking",
        }
    }
}
