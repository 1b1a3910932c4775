//! What operators read of a contender and a fence, and how both decide, as the build at 17cc2a9 did.
//!
//! The files in `golden` were made by that build and do not change, except that this test follows names.

use asterramp_leader_lease::{
    FencedOrder, FencingGuard, FencingTicket, LeaseCandidate, LeaseSettings, LeaseState,
    OrderRejection,
};
use std::fmt::Write;
use std::time::Duration;

/// Steps of a transcript.
const STEPS: usize = 600;
const TERMS: LeaseSettings = LeaseSettings {
    timeout: Duration::from_millis(4_000),
    margin: Duration::from_millis(1_000),
};

#[test]
fn state_names() {
    let states = [
        LeaseState::Away,
        LeaseState::Queued,
        LeaseState::Waiting,
        LeaseState::Owns,
    ];
    assert_eq!(
        states.map(LeaseState::name),
        ["away", "queued", "waiting", "owns"]
    );
    assert_eq!(LeaseState::default(), LeaseState::Away);
}

#[test]
fn reasons_of_refusals() {
    let refusals = [
        OrderRejection::Older,
        OrderRejection::Late,
        OrderRejection::OtherProcess,
        OrderRejection::NoTerm,
    ];
    let reasons = [
        "a later owner has been heard",
        "the order's time is over",
        "the order was made for another process",
        "the order names no term",
    ];
    assert_eq!(refusals.map(OrderRejection::why), reasons);
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

/// Plays a contender and a fence through steps drawn from `seed`, and says of each what came of it.
fn transcript(seed: u64) -> String {
    let mut draws = Draws(seed);
    let (mut owner, mut fence) = (LeaseCandidate::new(TERMS), FencingGuard::new(7, 0));
    let (mut now, mut asked, mut came) = (Duration::ZERO, Duration::ZERO, Duration::ZERO);
    let (mut term, mut boot) = (0, 7);
    let mut ticket = FencingTicket {
        boot,
        clock: Duration::ZERO,
    };
    let mut order = FencedOrder {
        term: 0,
        boot,
        until: Duration::ZERO,
    };
    let mut text = String::new();
    for _ in 0..STEPS {
        now += Duration::from_millis(draws.below(500));
        // The receiver's clock is ahead.
        let clock = now + Duration::from_secs(3_600);
        let step = match draws.below(14) {
            0 if owner.state() == LeaseState::Away => {
                term += 1 + draws.below(3);
                owner.joined(now, asked, term);
                "joined".to_string()
            }
            0 | 1 => {
                asked = now;
                "asked".into()
            }
            2 => {
                owner.heard(now, asked);
                "heard".into()
            }
            3..=5 => {
                let first = term - if term > 0 { draws.below(3) / 2 } else { 0 };
                owner.heard(now, asked);
                owner.first(now, first);
                format!("first {first}")
            }
            6 => {
                owner.all_heard();
                "all heard".into()
            }
            7 if draws.below(4) == 0 => {
                owner.expired();
                "expired".into()
            }
            7 => {
                owner.tick(now);
                "tick".into()
            }
            8 | 9 => {
                ticket = fence.ticket(clock);
                came = now;
                format!("ticket {} {}", ticket.boot, ticket.clock.as_millis())
            }
            10 | 11 => {
                let hear = draws.below(2) == 0;
                let made = owner.order(now, ticket, came, hear);
                if let Some(made) = made {
                    order = made;
                }
                let made = made.map_or("none".into(), |o| {
                    format!("{} {} {}", o.term, o.boot, o.until.as_millis())
                });
                format!("order hear={hear}: {made}")
            }
            12 if draws.below(6) == 0 => {
                boot += 1;
                let kept = if draws.below(2) == 0 {
                    fence.highest()
                } else {
                    0
                };
                fence = FencingGuard::new(boot, kept);
                format!("restart kept={kept}")
            }
            12 => {
                let earlier = FencedOrder {
                    term: draws.below(term + 1),
                    ..order
                };
                format!(
                    "check earlier {}: {}",
                    earlier.term,
                    checked(&mut fence, clock, &earlier)
                )
            }
            _ => format!(
                "check {}: {}",
                order.term,
                checked(&mut fence, clock, &order)
            ),
        };
        let (state, acts) = (owner.state().name(), owner.acts(now));
        writeln!(
            text,
            "{} {step} -> {state} term={} acts={acts} highest={}",
            now.as_millis(),
            owner.term(),
            fence.highest()
        )
        .unwrap();
    }
    text
}

fn checked(fence: &mut FencingGuard, clock: Duration, order: &FencedOrder) -> &'static str {
    fence
        .check(clock, order)
        .map_or_else(OrderRejection::why, |()| "accepted")
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
