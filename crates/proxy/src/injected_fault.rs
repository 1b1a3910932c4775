//! Bugs planted on purpose, one at a time, so that a checker can show that it finds them. Without the feature
//! `planted`, which no build that serves has, there are none.

/// What may be wrong. Each is of a kind that happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plant {
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

impl Plant {
    pub const ALL: [Plant; 17] = [
        Plant::LateUpBelieved,
        Plant::DialBeforeClose,
        Plant::AnswersTwice,
        Plant::DrainMidDialLost,
        Plant::StaleSlot,
        Plant::TimeOutProvesNothing,
        Plant::ResetProvesNothing,
        Plant::NoDeadline,
        Plant::CallOffKept,
        Plant::NoSocketUntold,
        Plant::SilentGoingDown,
        Plant::OpensAlone,
        Plant::DeadlineTooLate,
        Plant::Kept,
        Plant::AnswersWhileOut,
        Plant::GoneDialled,
        Plant::GoneAsked,
    ];
}

#[cfg(feature = "injected-faults")]
mod chosen {
    use super::Plant;
    use std::sync::atomic::{AtomicU8, Ordering};

    static CHOSEN: AtomicU8 = AtomicU8::new(0);

    /// Plants one bug from now on, or none.
    pub fn plant(which: Option<Plant>) {
        let nth = which.and_then(|which| Plant::ALL.iter().position(|p| *p == which));
        CHOSEN.store(nth.map_or(0, |nth| nth as u8 + 1), Ordering::SeqCst);
    }

    pub fn planted(which: Plant) -> bool {
        let nth = CHOSEN.load(Ordering::Relaxed);
        nth > 0 && Plant::ALL[usize::from(nth) - 1] == which
    }
}

#[cfg(feature = "injected-faults")]
pub use chosen::{plant, planted};

/// Whether this is wrong now.
#[cfg(not(feature = "injected-faults"))]
#[inline(always)]
pub fn planted(_: Plant) -> bool {
    false
}
