//! Compares texts and decisions of a contender and a fencing guard with those that the build of commit 17cc2a9 recorded.
//!
//! The files in `golden/` never change, so their wording is that of the former build.

use asterramp_leader_lease::{
    FencingGuard, FencingToken, LeaseContender, LeaseSettings, LeaseState, NO_TERM, OrderPurpose,
    OrderRejection, ReceiverClock, Term,
};
use std::time::Duration;

/// Number of steps in each transcript.
const STEPS: usize = 600;
const SETTINGS: LeaseSettings = LeaseSettings {
    session_timeout: Duration::from_millis(4_000),
    clock_margin: Duration::from_millis(1_000),
};

#[test]
fn state_names_are_unchanged() {
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
fn rejection_reasons_are_unchanged() {
    let rejections = [
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
    assert_eq!(rejections.map(OrderRejection::reason), reasons);
}

/// A generator of pseudo-random numbers whose sequence is the same in every run.
struct PseudoRandom(u64);

impl PseudoRandom {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }
}

/// A contender and a receiver, with pseudo-random steps.
struct Simulation {
    random: PseudoRandom,
    contender: LeaseContender,
    guard: FencingGuard,
    incarnation: u64,
    now: Duration,
    /// When the contender last sent a request to the store.
    sent_at: Duration,
    /// When the contender last read the receiver's clock.
    read_at: Duration,
    receiver_clock: ReceiverClock,
    /// Token of the last order that the contender gave.
    order: FencingToken,
    /// The highest term that the store has assigned.
    term: Term,
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let incarnation = 7;
        let guard = FencingGuard::new(incarnation, NO_TERM);
        Simulation {
            random: PseudoRandom(seed),
            contender: LeaseContender::new(SETTINGS),
            incarnation,
            now: Duration::ZERO,
            sent_at: Duration::ZERO,
            read_at: Duration::ZERO,
            receiver_clock: guard.clock(Duration::ZERO),
            guard,
            order: FencingToken {
                term: NO_TERM,
                incarnation,
                expires_at: Duration::ZERO,
            },
            term: NO_TERM,
        }
    }

    /// Takes one step and returns its line of the transcript.
    fn step(&mut self) -> String {
        self.now += Duration::from_millis(self.random.below(500));
        let step = match self.random.below(14) {
            step @ 0..=7 => self.contender_step(step),
            8 | 9 => self.read_clock(),
            10 | 11 => self.give_order(),
            12 if self.random.below(6) == 0 => self.restart_receiver(),
            12 => {
                let term = self.random.below(self.term + 1);
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
                self.term += 1 + self.random.below(3);
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
                    term => term - self.random.below(3) / 2,
                };
                self.contender.store_answered(self.now, self.sent_at);
                self.contender.queue_head_read(self.now, head);
                format!("first {head}")
            }
            6 => {
                self.contender.all_receivers_accepted_term();
                "all heard".into()
            }
            _ if self.random.below(4) == 0 => {
                self.contender.session_expired();
                "expired".into()
            }
            _ => {
                self.contender.tick(self.now);
                "tick".into()
            }
        }
    }

    /// The time by the receiver's clock, which is an hour ahead of the contender's.
    fn receiver_now(&self) -> Duration {
        self.now + Duration::from_secs(3_600)
    }

    fn read_clock(&mut self) -> String {
        self.receiver_clock = self.guard.clock(self.receiver_now());
        self.read_at = self.now;
        let ReceiverClock { incarnation, now } = self.receiver_clock;
        format!("ticket {incarnation} {}", now.as_millis())
    }

    fn give_order(&mut self) -> String {
        let announces_term = self.random.below(2) == 0;
        let purpose = if announces_term {
            OrderPurpose::AnnounceTerm
        } else {
            OrderPurpose::Command
        };
        let order = self
            .contender
            .order(self.now, self.receiver_clock, self.read_at, purpose);
        let Some(order) = order else {
            return format!("order hear={announces_term}: none");
        };
        self.order = order;
        format!(
            "order hear={announces_term}: {} {} {}",
            order.term,
            order.incarnation,
            order.expires_at.as_millis()
        )
    }

    fn restart_receiver(&mut self) -> String {
        self.incarnation += 1;
        let saved_term = if self.random.below(2) == 0 {
            self.guard.highest_term()
        } else {
            NO_TERM
        };
        self.guard = FencingGuard::new(self.incarnation, saved_term);
        format!("restart kept={saved_term}")
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
    let mut simulation = Simulation::new(seed);
    (0..STEPS).map(|_| simulation.step()).collect()
}

#[test]
fn transcripts_match_golden_files() {
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
