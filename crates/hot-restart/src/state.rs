//! State machine of one process in a hot restart: how far it has come with the other, and what it
//! does next.

/// How far this process has come with the other one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum HotRestartState {
    /// There is no other process.
    Idle,
    /// Predecessor: a process has connected and not sent `Hello` yet.
    SuccessorConnected,
    /// Predecessor: the successor has the endpoint list and the listener, and does not accept
    /// clients yet. This process still does.
    StateSent,
    /// Predecessor: the successor accepts clients. This process accepts none and offers what it
    /// holds.
    HandingOver,
    /// Successor: the predecessor offers what it holds.
    TakingOver,
}

/// What has happened on the link, or at the socket where successors connect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum HotRestartInput {
    /// Another process has connected.
    PeerConnected,
    /// `Hello` has come.
    HelloReceived,
    /// `Serving` has come.
    ServingReceived,
    /// `OfferAccepted` has come.
    OfferAcceptedReceived,
    /// `OpenDescriptors` has come.
    OpenDescriptorsReceived,
    /// An offer has come, and the predecessor was notified of its acceptance or has ended.
    OfferReceived,
    /// `HandoverStopped` has come.
    HandoverStoppedReceived,
    /// The other process was silent for too long, could not be notified, or sent something out of
    /// place.
    PeerFailed,
    /// The other process has closed the link, and everything that it sent before has been read.
    LinkClosed,
}

/// What the process has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum HotRestartEffect {
    /// Watch the new link, and wait a bounded time for `Hello`.
    AwaitHello,
    /// Close the new connection: one successor at a time. The rejected process starts without a
    /// handover.
    RejectPeer,
    /// Send the endpoint list and the listener.
    SendState,
    /// Accept no more clients, and begin to offer what is held.
    StopAccepting,
    /// Close this process's descriptors of the oldest offer.
    ReleaseOldestOffer,
    /// Leave room for the descriptors that the predecessor still has open.
    ReserveDescriptors,
    /// Go on with what the offer holds.
    AdoptOffer,
    /// Close everything whose acceptance the predecessor could not be notified of: the predecessor
    /// keeps it.
    DiscardUnconfirmed,
    /// Close the link, and go on as if no process had connected.
    CloseLink,
    /// Send `HandoverStopped`, close the link, and go on with every offer that was not accepted.
    StopHandover,
    /// Close the link, and go on with every offer that was not accepted: the successor has ended.
    ResumeOffers,
    /// Close the link, and adopt everything whose acceptance the predecessor could not be notified
    /// of: it has ended.
    AdoptUnconfirmed,
}

/// One row of [`TRANSITIONS`].
#[derive(Clone, Copy, Debug)]
struct Transition {
    state: HotRestartState,
    input: HotRestartInput,
    next: HotRestartState,
    effect: HotRestartEffect,
}

const fn transition(
    state: HotRestartState,
    input: HotRestartInput,
    next: HotRestartState,
    effect: HotRestartEffect,
) -> Transition {
    Transition {
        state,
        input,
        next,
        effect,
    }
}

/// Every input that has its place in a state. Any other is a fault of the peer: see
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
        transition(TakingOver, OfferReceived, TakingOver, AdoptOffer),
    ]
};

impl HotRestartState {
    /// Takes in `input`, moves on to the next state and returns what to do.
    ///
    /// An input that has no place in the state ends the hot restart: the state becomes
    /// [`HotRestartState::Idle`], and the effect is [`HotRestartEffect::StopHandover`] for a
    /// predecessor that hands over, since its successor may live, and
    /// [`HotRestartEffect::CloseLink`] otherwise.
    pub fn apply(&mut self, input: HotRestartInput) -> HotRestartEffect {
        let current = *self;
        let listed = TRANSITIONS
            .iter()
            .find(|row| row.state == current && row.input == input);
        if let Some(row) = listed {
            *self = row.next;
            return row.effect;
        }
        *self = HotRestartState::Idle;
        match current {
            HotRestartState::HandingOver => HotRestartEffect::StopHandover,
            _ => HotRestartEffect::CloseLink,
        }
    }

    /// The state's name in log lines. It stays as it was when the states had other names in the
    /// code, for whoever searches logs by it.
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
