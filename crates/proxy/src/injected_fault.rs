//! Faults that the model checker injects, one at a time, to show that it detects them. Injection exists only with the
//! feature `injected-faults`, which no build that serves traffic has.

/// A realistic programming fault. Traces contain the variants' names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// An `UP` that arrives after its dial has timed out is accepted.
    LateUpAccepted,
    /// The next dial begins before the connection of the previous one is closed.
    DialBeforePreviousClosed,
    /// A client that was answered, for example because it sent data too early, is answered again with its dial's
    /// outcome.
    ClientAnsweredTwice,
    /// Endpoint changes that arrive during a dial are lost.
    ChangeDuringDialLost,
    /// The key of a removed item finds the item that uses its slot now.
    StaleSlotKeyAccepted,
    /// A dial that timed out is reported as one whose request never ran.
    TimeoutReportedAsNeverRun,
    /// A reset after the last byte is reported as a connection that was never established.
    ResetReportedAsNeverConnected,
    /// The response to a request that was written has no deadline.
    NoResponseDeadline,
    /// The connection of a cancelled dial stays open.
    CancelledDialLeftOpen,
    /// A dial that failed because no socket could be opened is not reported.
    NoSocketNotReported,
    /// Clients that wait for an answer when the proxy shuts down get none.
    WaitingClientsNotAnswered,
    /// A session is opened for a client that has left.
    SessionOpenedWithoutClient,
    /// A dial may take longer than the client waits.
    DialOutlastsClientWait,
    /// A session that the placement engine has forgotten is kept.
    ForgottenSessionKept,
    /// A client is answered while its dial is still open.
    ClientAnsweredDuringDial,
    /// A client that is found to have left right before its dial or request is dialled for nevertheless.
    DialForGoneClient,
    /// The request of a client that left while its dial was established is sent.
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

    /// The fault with this name, which may be a present one or one of the former names in recorded traces.
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

    /// One more than the fault's index in [`InjectedFault::ALL`]; 0 for none. All threads of the checker share it.
    static SELECTED: AtomicU8 = AtomicU8::new(0);

    /// Selects the fault that is injected from now on in the whole process, or none.
    pub fn inject(fault: Option<InjectedFault>) {
        let index = fault.and_then(|fault| InjectedFault::ALL.iter().position(|f| *f == fault));
        SELECTED.store(index.map_or(0, |index| index as u8 + 1), Ordering::SeqCst);
    }

    /// Whether this fault is selected now.
    pub fn is_injected(fault: InjectedFault) -> bool {
        let selected = SELECTED.load(Ordering::Relaxed);
        selected > 0 && InjectedFault::ALL[usize::from(selected) - 1] == fault
    }
}

#[cfg(feature = "injected-faults")]
pub use selection::{inject, is_injected};

/// Whether this fault is selected now: always `false` without the feature `injected-faults`.
#[cfg(not(feature = "injected-faults"))]
#[inline(always)]
pub fn is_injected(_: InjectedFault) -> bool {
    false
}
