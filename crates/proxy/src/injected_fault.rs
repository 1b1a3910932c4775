//! Faults that the model checker injects one at a time, to show that it finds them. Without the feature
//! `injected-faults`, which no build that serves has, there are none.

/// A fault of a kind that happens in practice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// A late `UP` of a dial that timed out is believed.
    LateUpBelieved,
    /// The next dial begins before the last one's connection is closed.
    DialBeforeClose,
    /// A client that speaks too early is answered, and again by what its dial comes to.
    AnswersTwice,
    /// Changes of the roster that come while a dial is out are lost.
    DrainMidDialLost,
    /// A slot used again answers to its former key.
    StaleSlot,
    /// A dial that timed out is told as one that never ran.
    TimeOutProvesNothing,
    /// A reset behind the last byte is told as a connection that never came up.
    ResetProvesNothing,
    /// A line that was written has no deadline.
    NoDeadline,
    /// A dial that is called off stays open.
    CallOffKept,
    /// A dial for which there was no socket is told to nobody.
    NoSocketUntold,
    /// Who still waits when the proxy goes down hears nothing.
    SilentGoingDown,
    /// A session is opened for a client that has left.
    OpensAlone,
    /// A dial is given longer than the client waits.
    DeadlineTooLate,
    /// What the module forgets is kept.
    Kept,
    /// A session is answered while its dial is still out.
    AnswersWhileOut,
    /// A client that is found to have gone right before a dial or its line is dialled for all the same.
    GoneDialled,
    /// The line of a client that went while its dial came up is sent.
    GoneAsked,
}

impl InjectedFault {
    pub const ALL: [InjectedFault; 17] = [
        InjectedFault::LateUpBelieved,
        InjectedFault::DialBeforeClose,
        InjectedFault::AnswersTwice,
        InjectedFault::DrainMidDialLost,
        InjectedFault::StaleSlot,
        InjectedFault::TimeOutProvesNothing,
        InjectedFault::ResetProvesNothing,
        InjectedFault::NoDeadline,
        InjectedFault::CallOffKept,
        InjectedFault::NoSocketUntold,
        InjectedFault::SilentGoingDown,
        InjectedFault::OpensAlone,
        InjectedFault::DeadlineTooLate,
        InjectedFault::Kept,
        InjectedFault::AnswersWhileOut,
        InjectedFault::GoneDialled,
        InjectedFault::GoneAsked,
    ];
}

#[cfg(feature = "injected-faults")]
mod chosen {
    use super::InjectedFault;
    use std::sync::atomic::{AtomicU8, Ordering};

    static CHOSEN: AtomicU8 = AtomicU8::new(0);

    /// Plants one bug from now on, or none.
    pub fn inject(which: Option<InjectedFault>) {
        let nth = which.and_then(|which| InjectedFault::ALL.iter().position(|p| *p == which));
        CHOSEN.store(nth.map_or(0, |nth| nth as u8 + 1), Ordering::SeqCst);
    }

    pub fn is_injected(which: InjectedFault) -> bool {
        let nth = CHOSEN.load(Ordering::Relaxed);
        nth > 0 && InjectedFault::ALL[usize::from(nth) - 1] == which
    }
}

#[cfg(feature = "injected-faults")]
pub use chosen::{inject, is_injected};

/// Whether this is wrong now.
#[cfg(not(feature = "injected-faults"))]
#[inline(always)]
pub fn is_injected(_: InjectedFault) -> bool {
    false
}
