//! The order and the pace, by tables.
#![allow(
    missing_docs,
    unreachable_pub,
    missing_debug_implementations,
    rust_2018_idioms
)] // Not yet brought to the workspace lints.
#![allow(clippy::too_many_lines, clippy::cognitive_complexity)] // Not yet brought to the workspace lints.

use asterramp_admission::{AdmissionControl, AdmissionRequest, AdmissionSettings, RejectReason};
use std::time::Duration;
use test_case::test_case;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Two listeners, the second worth more, and two members of which the first has three quarters.
fn door() -> AdmissionControl {
    let (worths, portions) = (vec![0.6, 1.0], vec![0.75, 0.25]);
    AdmissionControl::new(
        AdmissionSettings {
            worths,
            portions,
            longest: ms(2_000),
            by_worth: true,
        },
        7,
    )
}

const FIRST: AdmissionRequest = AdmissionRequest {
    listener: 1,
    member: 0,
    again: true,
    failed: false,
};

/// Of who asks each 10 ms, and with it the first in the order, how many are let in within ten seconds.
fn beside(door: &mut AdmissionControl, who: AdmissionRequest, pace: f64) -> (u32, u32) {
    door.pace(ms(0), Some(pace));
    let mut let_in = (0, 0);
    for at in (0..10_000).step_by(10) {
        // Who is behind asks first, so it is not the turn that decides.
        let_in.1 += u32::from(door.ask(ms(at), who).is_ok());
        let_in.0 += u32::from(door.ask(ms(at), FIRST).is_ok());
    }
    let_in
}

#[test_case(AdmissionRequest { listener: 0, ..FIRST }; "worth less")]
#[test_case(AdmissionRequest { failed: true, ..FIRST }; "failed before")]
#[test_case(AdmissionRequest { again: false, ..FIRST }; "not connected before")]
fn who_stands_behind_is_refused_first(who: AdmissionRequest) {
    for pace in [5.0, 20.0, 60.0] {
        let (first, behind) = beside(&mut door(), who, pace);
        assert!(
            f64::from(first) > 9.0 * pace,
            "{first} of the first at {pace} a second"
        );
        assert!(
            behind < first / 8,
            "{behind} of those behind beside {first}"
        );
    }
}

#[test]
fn where_nobody_has_told_utility_decides_only_if_that_is_wanted() {
    let mut door = AdmissionControl::new(
        AdmissionSettings {
            worths: vec![0.6, 1.0],
            ..AdmissionSettings::default()
        },
        7,
    );
    // Who asks first then takes what there is.
    let (first, other) = beside(
        &mut door,
        AdmissionRequest {
            listener: 0,
            ..FIRST
        },
        20.0,
    );
    assert!(other > 180 && first < 20, "{first} and {other}");
}

#[test]
fn where_there_is_room_for_all_all_are_let_in() {
    let mut door = door();
    // But for the first moment, in which the bucket is still filling.
    let (first, behind) = beside(
        &mut door,
        AdmissionRequest {
            listener: 0,
            ..FIRST
        },
        400.0,
    );
    assert!(
        first >= 980 && behind >= 960,
        "{first} and {behind} of 1000"
    );
    door.pace(ms(20_000), None);
    assert!((0..500).all(|_| door.ask(ms(20_000), FIRST).is_ok()));
}

#[test_case(5.0)]
#[test_case(40.0)]
fn the_pace_is_kept_whoever_asks(pace: f64) {
    let mut door = door();
    door.pace(ms(0), Some(pace));
    let asks = (0..20_000u64).step_by(5);
    let let_in = asks
        .filter(|at| {
            door.ask(
                ms(*at),
                AdmissionRequest {
                    listener: (*at % 2) as u8,
                    ..FIRST
                },
            )
            .is_ok()
        })
        .count() as f64;
    assert!(
        (let_in - pace * 20.0).abs() <= 12.0,
        "{let_in} at {pace} a second"
    );
}

#[test]
fn a_member_over_its_portion_stands_behind() {
    let mut door = door();
    // Member 1 has a quarter, and has come alone for a while.
    (0..40).for_each(|at| {
        assert!(
            door.ask(ms(at * 10), AdmissionRequest { member: 1, ..FIRST })
                .is_ok()
        )
    });
    door.pace(ms(400), Some(10.0));
    let mut let_in = [0, 0];
    for at in (400..4_400).step_by(10) {
        for member in [1, 0] {
            let_in[usize::from(member)] += u32::from(
                door.ask(ms(at), AdmissionRequest { member, ..FIRST })
                    .is_ok(),
            );
        }
    }
    assert!(let_in[0] > 30 && let_in[1] < 8, "{let_in:?}");
    let over: u64 = door
        .counts()
        .map(|counts| counts[RejectReason::Over as usize])
        .sum();
    assert!(over > 0);
}

#[test]
fn what_takes_more_room_is_worth_less_once_servers_have_told() {
    let heavy = AdmissionRequest {
        listener: 1,
        ..FIRST
    };
    let light = AdmissionRequest {
        listener: 0,
        ..FIRST
    };
    let mut door = door();
    let told = |door: &mut AdmissionControl, at: u64| {
        (0..10).for_each(|_| door.takes(ms(at), 1, 6_000.0));
        (0..10).for_each(|_| door.takes(ms(at), 0, 1_000.0));
    };
    let let_in = |door: &mut AdmissionControl, from: u64| {
        door.pace(ms(from), None);
        door.pace(ms(from), Some(10.0));
        let mut let_in = [0, 0];
        for at in (from..from + 5_000).step_by(10) {
            for who in [light, heavy] {
                let_in[usize::from(who.listener)] += u32::from(door.ask(ms(at), who).is_ok());
            }
        }
        let_in
    };
    let before = let_in(&mut door, 0);
    assert!(
        before[1] > 40 && before[0] < 6,
        "by utility alone: {before:?}"
    );
    told(&mut door, 10_000);
    let after = let_in(&mut door, 10_000);
    assert!(after[0] > 40 && after[1] < 6, "by room: {after:?}");
    // What was told too long ago counts no more.
    let old = let_in(&mut door, 80_000);
    assert!(old[1] > 40 && old[0] < 6, "too old: {old:?}");
    assert!(door.taken(ms(80_000)).all(|taken| taken.is_none()));
}

#[test]
fn the_refused_come_back_spread_over_the_time_in_which_room_opens() {
    let mut door = door();
    door.pace(ms(0), Some(20.0));
    let mut times: Vec<u128> = Vec::new();
    for at in 0..200 {
        times.extend(
            door.ask(ms(at), FIRST)
                .err()
                .map(|refusal| refusal.come_back.as_millis()),
        );
    }
    times.sort_unstable();
    let (least, most) = (times[0], times[times.len() - 1]);
    assert!(
        least >= 200 && most <= 2_000 && most > 1_500,
        "{least} to {most} ms"
    );
    // No quarter of a second takes more than its part and a half.
    let fullest = (0..7)
        .map(|n| times.iter().filter(|t| (**t / 250) == n).count())
        .max()
        .unwrap();
    assert!(
        fullest * 4 < times.len() * 2,
        "{fullest} of {} in a quarter of a second",
        times.len()
    );
    // Where no time may be given, none is.
    let mut mute = AdmissionControl::new(
        AdmissionSettings {
            worths: vec![1.0],
            ..AdmissionSettings::default()
        },
        1,
    );
    mute.pace(ms(0), Some(0.0));
    let refusal = mute.ask(ms(0), AdmissionRequest::default()).unwrap_err();
    assert_eq!(
        (refusal.reason, refusal.come_back),
        (RejectReason::Room, Duration::ZERO)
    );
}

#[test]
fn a_listener_or_member_that_nobody_knows_does_no_harm() {
    let mut door = door();
    door.pace(ms(0), Some(1.0));
    let _ = door.ask(
        ms(0),
        AdmissionRequest {
            listener: 9,
            member: 99,
            ..AdmissionRequest::default()
        },
    );
    door.takes(ms(0), 9, 1.0);
    door.takes(ms(0), 0, f64::NAN);
    assert!(door.taken(ms(0)).all(|taken| taken.is_none()));
}
