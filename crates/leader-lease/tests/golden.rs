//! What operators read of a contender and a fence, and how both decide, as the build at 17cc2a9 did.
//!
//! The files in `golden` were made by that build and do not change, except that this test follows names.

use asterramp_leader_lease::{
    FencingGuard, FencingToken, LeaseContender, LeaseSettings, LeaseState, NO_TERM, OrderPurpose,
    OrderRejection, ReceiverClock, Term,
};
use std::time::Duration;

/// Steps of a transcript.
const STEPS: usize = 600;
const SETTINGS: LeaseSettings = LeaseSettings {
    session_timeout: Duration::from_millis(4_000),
    clock_margin: Duration::from_millis(1_000),
};

#[test]
fn state_names() {
    let states = [
        LeaseState::NotQueued,
        LeaseState::Queued,
        LeaseState::AwaitingPredecessor,
        LeaseState::Leader,
    ];
    assert_eq!(
        states.map(LeaseState::name),
        ["away", "queued", "waiting", "owns"]
    );
    assert_eq!(LeaseState::default(), LeaseState::NotQueued);
}

#[test]
fn reasons_of_refusals() {
    let refusals = [
        OrderRejection::StaleTerm,
        OrderRejection::Expired,
        OrderRejection::OtherIncarnation,
        OrderRejection::NoTerm,
    ];
    let reasons = [
        "a later owner has been heard",
        "the order's time is over",
        "the order was made for another process",
        "the order names no term",
    ];
    assert_eq!(refusals.map(OrderRejection::reason), reasons);
}

/// Numbers that are the same in each run.
struct Draws(u64);

impl Draws {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }
}

/// A contender and a receiver, played through steps drawn from a seed.
struct Play {
    draws: Draws,
    contender: LeaseContender,
    guard: FencingGuard,
    incarnation: u64,
    now: Duration,
    /// When the contender last sent a request, and when it last had a receiver's clock.
    sent_at: Duration,
    read_at: Duration,
    receiver: ReceiverClock,
    /// The last order that was made.
    order: FencingToken,
    /// The highest term that was given.
    term: Term,
}

impl Play {
    fn new(seed: u64) -> Play {
        let incarnation = 7;
        let guard = FencingGuard::new(incarnation, NO_TERM);
        Play {
            draws: Draws(seed),
            contender: LeaseContender::new(SETTINGS),
            incarnation,
            now: Duration::ZERO,
            sent_at: Duration::ZERO,
            read_at: Duration::ZERO,
            receiver: guard.clock(Duration::ZERO),
            guard,
            order: FencingToken {
                term: NO_TERM,
                incarnation,
                expires_at: Duration::ZERO,
            },
            term: NO_TERM,
        }
    }

    /// One step, and what came of it.
    fn step(&mut self) -> String {
        self.now += Duration::from_millis(self.draws.below(500));
        let step = match self.draws.below(14) {
            step @ 0..=7 => self.contender_step(step),
            8 | 9 => self.read_clock(),
            10 | 11 => self.make_order(),
            12 if self.draws.below(6) == 0 => self.restart_receiver(),
            12 => {
                let term = self.draws.below(self.term + 1);
                let earlier = FencingToken { term, ..self.order };
                format!("check earlier {term}: {}", self.check(&earlier))
            }
            _ => {
                let order = self.order;
                format!("check {}: {}", order.term, self.check(&order))
            }
        };
        format!(
            "{} {step} -> {} term={} acts={} highest={}\n",
            self.now.as_millis(),
            self.contender.state().name(),
            self.contender.term(),
            self.contender.holds_valid_lease(self.now),
            self.guard.highest_term()
        )
    }

    fn contender_step(&mut self, step: u64) -> String {
        match step {
            0 if self.contender.state() == LeaseState::NotQueued => {
                self.term += 1 + self.draws.below(3);
                self.contender
                    .joined_queue(self.now, self.sent_at, self.term);
                "joined".into()
            }
            0 | 1 => {
                self.sent_at = self.now;
                "asked".into()
            }
            2 => {
                self.contender.store_answered(self.now, self.sent_at);
                "heard".into()
            }
            3..=5 => {
                let head = match self.term {
                    NO_TERM => NO_TERM,
                    term => term - self.draws.below(3) / 2,
                };
                self.contender.store_answered(self.now, self.sent_at);
                self.contender.queue_head_read(self.now, head);
                format!("first {head}")
            }
            6 => {
                self.contender.all_receivers_accepted_term();
                "all heard".into()
            }
            _ if self.draws.below(4) == 0 => {
                self.contender.session_expired();
                "expired".into()
            }
            _ => {
                self.contender.tick(self.now);
                "tick".into()
            }
        }
    }

    /// The receiver's clock is ahead of the contender's.
    fn receiver_now(&self) -> Duration {
        self.now + Duration::from_secs(3_600)
    }

    fn read_clock(&mut self) -> String {
        self.receiver = self.guard.clock(self.receiver_now());
        self.read_at = self.now;
        let ReceiverClock { incarnation, now } = self.receiver;
        format!("ticket {incarnation} {}", now.as_millis())
    }

    fn make_order(&mut self) -> String {
        let announces = self.draws.below(2) == 0;
        let purpose = if announces {
            OrderPurpose::AnnounceTerm
        } else {
            OrderPurpose::Command
        };
        let order = self
            .contender
            .order(self.now, self.receiver, self.read_at, purpose);
        let Some(order) = order else {
            return format!("order hear={announces}: none");
        };
        self.order = order;
        format!(
            "order hear={announces}: {} {} {}",
            order.term,
            order.incarnation,
            order.expires_at.as_millis()
        )
    }

    fn restart_receiver(&mut self) -> String {
        self.incarnation += 1;
        let kept = if self.draws.below(2) == 0 {
            self.guard.highest_term()
        } else {
            NO_TERM
        };
        self.guard = FencingGuard::new(self.incarnation, kept);
        format!("restart kept={kept}")
    }

    fn check(&mut self, order: &FencingToken) -> &'static str {
        let now = self.receiver_now();
        match self.guard.check(now, order) {
            Ok(()) => "accepted",
            Err(rejection) => rejection.reason(),
        }
    }
}

fn transcript(seed: u64) -> String {
    let mut play = Play::new(seed);
    (0..STEPS).map(|_| play.step()).collect()
}

#[test]
fn transcripts() {
    let goldens = [
        include_str!("golden/transcript-1.txt"),
        include_str!("golden/transcript-2.txt"),
    ];
    for (seed, golden) in (1..).zip(goldens) {
        let actual = transcript(seed);
        for (line, golden_line) in actual.lines().zip(golden.lines()) {
            assert_eq!(line, golden_line, "seed {seed}");
        }
        assert_eq!(actual.len(), golden.len());
    }
}
