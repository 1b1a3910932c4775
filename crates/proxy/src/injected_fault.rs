//! Faults that the model checker injects one at a time, to show that it finds them. Without the feature
//! `injected-faults`, which no build that serves traffic has, there are none.

/// A mistake of a kind that happens in practice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// An `UP` that comes after its dial timed out is accepted.
    LateUpAccepted,
    /// The next dial begins before the last one's connection is closed.
    DialBeforePreviousClosed,
    /// A client that speaks too early is answered, and again by the outcome of its dial.
    ClientAnsweredTwice,
    /// Changes of endpoints that come during a dial are lost.
    ChangeDuringDialLost,
    /// A slot that was used again is found by its former key.
    StaleSlotKeyAccepted,
    /// A dial that timed out is reported as one that never ran.
    TimeoutReportedAsNeverRun,
    /// A reset behind the last byte is reported as a connection that was never established.
    ResetReportedAsNeverConnected,
    /// A request that was written has no deadline.
    NoResponseDeadline,
    /// The connection of a cancelled dial stays open.
    CancelledDialLeftOpen,
    /// A dial for which there was no socket is not reported.
    NoSocketNotReported,
    /// Clients that still wait when the proxy shuts down are not answered.
    WaitingClientsNotAnswered,
    /// A session is opened for a client that has left.
    SessionOpenedWithoutClient,
    /// A dial may take longer than the client waits.
    DialOutlastsClientWait,
    /// A session that the placement engine forgets is kept.
    ForgottenSessionKept,
    /// A client is answered while its dial is still open.
    ClientAnsweredDuringDial,
    /// A client that is found to have left right before a dial or its request is dialled for all the same.
    DialForGoneClient,
    /// The request of a client that left as its dial was established is sent.
    RequestSentForGoneClient,
}

impl InjectedFault {
    /// All faults.
    pub const ALL: [InjectedFault; 17] = [
        InjectedFault::LateUpAccepted,
        InjectedFault::DialBeforePreviousClosed,
        InjectedFault::ClientAnsweredTwice,
        InjectedFault::ChangeDuringDialLost,
        InjectedFault::StaleSlotKeyAccepted,
        InjectedFault::TimeoutReportedAsNeverRun,
        InjectedFault::ResetReportedAsNeverConnected,
        InjectedFault::NoResponseDeadline,
        InjectedFault::CancelledDialLeftOpen,
        InjectedFault::NoSocketNotReported,
        InjectedFault::WaitingClientsNotAnswered,
        InjectedFault::SessionOpenedWithoutClient,
        InjectedFault::DialOutlastsClientWait,
        InjectedFault::ForgottenSessionKept,
        InjectedFault::ClientAnsweredDuringDial,
        InjectedFault::DialForGoneClient,
        InjectedFault::RequestSentForGoneClient,
    ];

    /// Names of the faults in traces recorded before 2 December 2026, in the order of [`InjectedFault::ALL`].
    const FORMER_NAMES: [&str; InjectedFault::ALL.len()] = [
        "LateUpBelieved",
        "DialBeforeClose",
        "AnswersTwice",
        "DrainMidDialLost",
        "StaleSlot",
        "TimeOutProvesNothing",
        "ResetProvesNothing",
        "NoDeadline",
        "CallOffKept",
        "NoSocketUntold",
        "SilentGoingDown",
        "OpensAlone",
        "DeadlineTooLate",
        "Kept",
        "AnswersWhileOut",
        "GoneDialled",
        "GoneAsked",
    ];

    /// The fault with this name, or with this name in a trace recorded before the faults were renamed.
    pub fn from_name(name: &str) -> Option<InjectedFault> {
        let former = InjectedFault::FORMER_NAMES.iter();
        let mut names = InjectedFault::ALL.into_iter().zip(former);
        let found = names.find(|(fault, former)| format!("{fault:?}") == name || **former == name);
        found.map(|(fault, _)| fault)
    }
}

#[cfg(feature = "injected-faults")]
mod selection {
    use super::InjectedFault;
    use std::sync::atomic::{AtomicU8, Ordering};

    /// One more than the fault's index in [`InjectedFault::ALL`]; 0 for none. The checker's threads share it.
    static SELECTED: AtomicU8 = AtomicU8::new(0);

    /// Injects one fault from now on, or none, in the whole process.
    pub fn inject(fault: Option<InjectedFault>) {
        let index = fault.and_then(|fault| InjectedFault::ALL.iter().position(|f| *f == fault));
        SELECTED.store(index.map_or(0, |index| index as u8 + 1), Ordering::SeqCst);
    }

    /// Whether this fault is injected now.
    pub fn is_injected(fault: InjectedFault) -> bool {
        let selected = SELECTED.load(Ordering::Relaxed);
        selected > 0 && InjectedFault::ALL[usize::from(selected) - 1] == fault
    }
}

#[cfg(feature = "injected-faults")]
pub use selection::{inject, is_injected};

/// Whether this fault is injected now: never, in a build without the feature `injected-faults`.
#[cfg(not(feature = "injected-faults"))]
#[inline(always)]
pub fn is_injected(_: InjectedFault) -> bool {
    false
}
