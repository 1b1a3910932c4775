//! What a receiver holds against orders.

use crate::Term;
#[cfg(feature = "injected-faults")]
use crate::injected_fault::InjectedFault;
use asterramp_injected_faults::is_injected;
use std::time::Duration;

/// What an owner asks of a receiver before it orders: which process it is, and what its clock says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct FencingTicket {
    pub boot: u64,
    pub clock: Duration,
}

/// What an order carries beside what is ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct FencedOrder {
    pub term: Term,
    /// The process that it was made for.
    pub boot: u64,
    /// Its end, by that process's clock.
    pub until: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderRejection {
    /// A later owner has been heard.
    Older,
    /// Its time is over.
    Late,
    /// It was made for the process before this one.
    OtherProcess,
    /// It names no term.
    NoTerm,
}

impl OrderRejection {
    pub fn why(self) -> &'static str {
        match self {
            OrderRejection::Older => "a later owner has been heard",
            OrderRejection::Late => "the order's time is over",
            OrderRejection::OtherProcess => "the order was made for another process",
            OrderRejection::NoTerm => "the order names no term",
        }
    }
}

/// One process's.
#[derive(Clone, Debug, Default)]
pub struct FencingGuard {
    boot: u64,
    highest: Term,
    #[cfg(feature = "injected-faults")]
    pub injected_fault: Option<InjectedFault>,
}

impl FencingGuard {
    /// Of a process that has just started, with the highest term that the one before kept; 0 without a disk.
    pub fn new(boot: u64, kept: Term) -> FencingGuard {
        FencingGuard {
            boot,
            highest: kept,
            #[cfg(feature = "injected-faults")]
            injected_fault: None,
        }
    }

    /// The highest term heard, to be kept.
    pub fn highest(&self) -> Term {
        self.highest
    }

    pub fn ticket(&self, now: Duration) -> FencingTicket {
        FencingTicket {
            boot: self.boot,
            clock: now,
        }
    }

    /// Whether an order still counts; one that does is the newest heard.
    pub fn check(&mut self, now: Duration, order: &FencedOrder) -> Result<(), OrderRejection> {
        match () {
            () if order.term == 0 => Err(OrderRejection::NoTerm),
            () if order.boot != self.boot && !is_injected!(self, AnyProcess) => {
                Err(OrderRejection::OtherProcess)
            }
            () if now >= order.until && !is_injected!(self, LateCounts) => {
                Err(OrderRejection::Late)
            }
            () if order.term < self.highest && !is_injected!(self, OlderCounts) => {
                Err(OrderRejection::Older)
            }
            () => {
                self.highest = if is_injected!(self, TermNotKept) {
                    self.highest
                } else {
                    order.term
                };
                Ok(())
            }
        }
    }
}
