//! What a receiver holds against orders.

use crate::Term;
#[cfg(feature = "injected-faults")]
use crate::injected_fault::Plant;
use crate::planted;
use std::time::Duration;

/// What an owner asks of a receiver before it orders: which process it is, and what its clock says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Ticket {
    pub boot: u64,
    pub clock: Duration,
}

/// What an order carries beside what is ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Order {
    pub term: Term,
    /// The process that it was made for.
    pub boot: u64,
    /// Its end, by that process's clock.
    pub until: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// A later owner has been heard.
    Older,
    /// Its time is over.
    Late,
    /// It was made for the process before this one.
    OtherProcess,
    /// It names no term.
    NoTerm,
}

impl Refused {
    pub fn why(self) -> &'static str {
        match self {
            Refused::Older => "a later owner has been heard",
            Refused::Late => "the order's time is over",
            Refused::OtherProcess => "the order was made for another process",
            Refused::NoTerm => "the order names no term",
        }
    }
}

/// One process's.
#[derive(Clone, Debug, Default)]
pub struct Fence {
    boot: u64,
    highest: Term,
    #[cfg(feature = "injected-faults")]
    pub plant: Option<Plant>,
}

impl Fence {
    /// Of a process that has just started, with the highest term that the one before kept; 0 without a disk.
    pub fn new(boot: u64, kept: Term) -> Fence {
        Fence {
            boot,
            highest: kept,
            #[cfg(feature = "injected-faults")]
            plant: None,
        }
    }

    /// The highest term heard, to be kept.
    pub fn highest(&self) -> Term {
        self.highest
    }

    pub fn ticket(&self, now: Duration) -> Ticket {
        Ticket {
            boot: self.boot,
            clock: now,
        }
    }

    /// Whether an order still counts; one that does is the newest heard.
    pub fn check(&mut self, now: Duration, order: &Order) -> Result<(), Refused> {
        match () {
            () if order.term == 0 => Err(Refused::NoTerm),
            () if order.boot != self.boot && !planted!(self, AnyProcess) => {
                Err(Refused::OtherProcess)
            }
            () if now >= order.until && !planted!(self, LateCounts) => Err(Refused::Late),
            () if order.term < self.highest && !planted!(self, OlderCounts) => Err(Refused::Older),
            () => {
                self.highest = if planted!(self, TermNotKept) {
                    self.highest
                } else {
                    order.term
                };
                Ok(())
            }
        }
    }
}
