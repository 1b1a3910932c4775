//! Signs and sounds over a deployment of three places with four servers each, numbered by place.
#![allow(
    missing_docs,
    unreachable_pub,
    missing_debug_implementations,
    rust_2018_idioms
)] // Not yet brought to the workspace lints.
#![allow(clippy::too_many_lines, clippy::cognitive_complexity)] // Not yet brought to the workspace lints.

use asterramp_zone_failover::{
    ServerState, ZoneEffect, ZoneFailover, ZoneFailoverSettings, ZoneId, ZoneState,
};
use std::time::Duration;
use test_case::test_case;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

const TERMS: ZoneFailoverSettings = ZoneFailoverSettings {
    doubt: ms(3_000),
    look: ms(1_500),
    hold: ms(2_000),
    hold_most: ms(9_000),
    settle: ms(3_000),
    told_within: ms(6_000),
    under_way: ms(500),
    may_look: true,
};

/// One thing that happens.
#[derive(Clone, Copy, Debug)]
enum Happens {
    Sign(u32),
    Sound(u32),
    Gone(u32),
    /// Ready, started at that time.
    Ready(u32, u64),
    Told,
    Tick,
}

use Happens::*;

fn sites(terms: ZoneFailoverSettings) -> ZoneFailover {
    let mut sites = ZoneFailover::new(terms, 3);
    for server in 0..12 {
        sites.listed(
            ms(0),
            server,
            (server / 4) as ZoneId,
            ServerState::Ready,
            None,
        );
        sites.sound(ms(0), server);
    }
    sites.effects();
    sites
}

fn play(sites: &mut ZoneFailover, happens: &[(u64, Happens)]) -> Vec<ZoneEffect> {
    let mut effects = Vec::new();
    for (at, what) in happens {
        let now = ms(*at);
        match *what {
            Sign(server) => sites.sign(now, server),
            Sound(server) => sites.sound(now, server),
            Gone(server) => {
                sites.listed(now, server, (server / 4) as ZoneId, ServerState::Gone, None)
            }
            Ready(server, at) => sites.listed(
                now,
                server,
                (server / 4) as ZoneId,
                ServerState::Ready,
                Some(ms(at)),
            ),
            Told => sites.told(now),
            Tick => sites.tick(now),
        }
        effects.extend(sites.effects());
    }
    effects
}

/// Two signs make a doubt, a third gives the place up, while others answer.
const LOST: [(u64, Happens); 4] = [
    (1_000, Sign(0)),
    (1_100, Sign(1)),
    (1_200, Sound(4)),
    (1_300, Sign(2)),
];

#[test_case(&[(1_000, Sign(0))], ZoneState::Whole; "one server")]
#[test_case(&[(1_000, Sign(0)), (1_100, Sign(0)), (1_200, Sign(0))], ZoneState::Whole; "one server over and over")]
#[test_case(&[(1_000, Sign(0)), (1_100, Sign(1))], ZoneState::Doubtful; "two servers")]
#[test_case(&[(1_000, Sign(0)), (1_050, Sound(3)), (1_100, Sign(1))], ZoneState::Whole; "two with an answer between")]
#[test_case(&[(1_000, Sign(0)), (1_100, Sign(1)), (1_150, Sound(3)), (1_200, Sound(4)), (1_300, Sign(2))], ZoneState::Whole; "three bad ones beside one that answers")]
#[test_case(&[(1_000, Sign(0)), (1_100, Sign(1)), (4_200, Tick)], ZoneState::Doubtful; "a doubt that nothing confirms or clears")]
#[test_case(&[(1_000, Sign(0)), (1_000, Sign(1)), (1_000, Sign(2)), (1_000, Sign(4)), (1_000, Sign(5)), (1_000, Sign(8)), (1_000, Sign(9)), (3_000, Sound(4)), (3_001, Sound(8)), (3_300, Sign(0)), (3_300, Sign(1)), (3_300, Sign(2)), (3_400, Sound(5))], ZoneState::Doubtful; "this proxy was cut off and is back")]
#[test_case(&[(1_000, Sign(0)), (1_100, Sign(1)), (2_000, Gone(0)), (4_200, Tick)], ZoneState::Whole; "a doubt of a server that is gone since")]
#[test_case(&[(1_000, Sign(0)), (1_100, Sign(1)), (1_300, Sign(2)), (1_400, Sound(4))], ZoneState::Lost; "another place is heard after the last sign")]
#[test_case(&LOST, ZoneState::Lost; "three servers while others answer")]
#[test_case(&[(1_000, Sign(0)), (1_100, Sign(1)), (1_300, Sign(2)), (1_400, Sign(3))], ZoneState::Doubtful; "this proxy is cut off itself")]
#[test_case(&[LOST[0], LOST[1], LOST[2], LOST[3], (5_000, Told)], ZoneState::Lost; "discovery may be late")]
#[test_case(&[LOST[0], LOST[1], LOST[2], LOST[3], (7_200, Told)], ZoneState::CutOff; "discovery calls its servers ready for long")]
#[test_case(&[LOST[0], LOST[1], LOST[2], LOST[3], (7_200, Told), (8_000, Gone(0)), (8_000, Gone(1)), (8_000, Gone(2)), (8_000, Gone(3))], ZoneState::Lost; "discovery was later than it may be")]
#[test_case(&[(1_000, Gone(0)), (1_000, Gone(1)), (1_000, Gone(2))], ZoneState::Whole; "one is left by the list")]
#[test_case(&[(1_000, Gone(0)), (1_000, Gone(1)), (1_000, Gone(2)), (1_000, Gone(3))], ZoneState::Lost; "none is left by the list")]
#[test_case(&[LOST[0], LOST[1], LOST[2], LOST[3], (2_000, Sound(3))], ZoneState::Returning; "one answers again")]
#[test_case(&[LOST[0], LOST[1], LOST[2], LOST[3], (5_000, Ready(3, 4_000))], ZoneState::Returning; "one was started again")]
#[test_case(&[LOST[0], LOST[1], LOST[2], LOST[3], (5_000, Ready(3, 0))], ZoneState::Returning; "one stands on a list with another start")]
fn what_is_made_of_a_place(happens: &[(u64, Happens)], state: ZoneState) {
    let mut sites = sites(TERMS);
    play(&mut sites, happens);
    assert_eq!(sites.places()[0].state, state);
    assert!(
        sites.places()[1..]
            .iter()
            .all(|place| place.state == ZoneState::Whole)
    );
}

#[test]
fn a_doubt_asks_those_that_said_nothing_yet() {
    let effects = play(&mut sites(TERMS), &LOST[..2]);
    let doubted = ZoneEffect::Turned(0, ZoneState::Doubtful, "servers say nothing");
    let looks = [2, 3, 0, 1].map(ZoneEffect::Look);
    assert_eq!(effects, [vec![doubted], looks.to_vec()].concat());
}

#[test]
fn a_lost_place_is_shut_at_once_and_looked_at_now_and_then() {
    let mut sites = sites(TERMS);
    let effects = play(&mut sites, &LOST);
    assert!(effects.contains(&ZoneEffect::Open(0, 0.0)));
    let ticks: Vec<(u64, Happens)> = (13..113).map(|n| (n * 100, Tick)).collect();
    let looks = play(&mut sites, &ticks);
    assert!(
        looks
            .iter()
            .all(|effect| matches!(effect, ZoneEffect::Look(0..4))),
        "{looks:?}"
    );
    assert_eq!(looks.len(), 6, "one each 1.5 s");
}

#[test]
fn servers_that_were_started_anew_are_filled_by_their_own_budgets() {
    let mut sites = sites(TERMS);
    play(&mut sites, &LOST);
    let effects = play(&mut sites, &[(5_000, Ready(3, 4_000)), (8_100, Tick)]);
    assert!(effects.contains(&ZoneEffect::Open(0, 1.0)), "{effects:?}");
    assert_eq!(sites.places()[0].state, ZoneState::Whole);
}

#[test]
fn a_return_widens_by_degrees() {
    let mut sites = sites(TERMS);
    play(&mut sites, &LOST);
    let ticks: Vec<(u64, Happens)> = (20..60).map(|n| (n * 100, Tick)).collect();
    let effects = play(&mut sites, &[vec![(2_000, Sound(3))], ticks].concat());
    let parts = effects.iter().filter_map(|effect| match effect {
        ZoneEffect::Open(0, part) => Some((part * 6.0).round() as u32),
        _ => None,
    });
    assert_eq!(parts.collect::<Vec<_>>(), [1, 2, 3, 4, 5, 6, 6]);
    assert_eq!(sites.places()[0].state, ZoneState::Whole);
}

/// How long each fall keeps a place shut though it answers all the time.
#[test]
fn one_that_falls_again_is_held_back_longer_each_time_and_not_for_ever() {
    let mut sites = sites(TERMS);
    let (mut now, mut shut) = (1_000, Vec::new());
    for _ in 0..6 {
        play(
            &mut sites,
            &[
                (now, Sign(0)),
                (now, Sign(1)),
                (now + 10, Sound(4)),
                (now + 20, Sign(2)),
            ],
        );
        assert_eq!(sites.places()[0].state, ZoneState::Lost, "at {now}");
        let since = now;
        while sites.places()[0].state != ZoneState::Returning {
            now += 100;
            play(&mut sites, &[(now, Tick), (now, Sound(3)), (now, Sound(0))]);
        }
        shut.push(now - since);
        play(&mut sites, &[(now + 1, Sound(1)), (now + 1, Sound(2))]);
        now += 500;
    }
    assert_eq!(shut, [100, 2_100, 4_100, 8_100, 9_100, 9_100]);
    // Whole for long, it begins anew.
    play(
        &mut sites,
        &(0..700).map(|n| (now + n * 100, Tick)).collect::<Vec<_>>(),
    );
    now += 70_000;
    play(
        &mut sites,
        &[
            (now, Sound(0)),
            (now, Sound(1)),
            (now, Sound(2)),
            (now + 1, Sign(0)),
            (now + 1, Sign(1)),
            (now + 2, Sound(4)),
            (now + 3, Sign(2)),
        ],
    );
    play(&mut sites, &[(now + 100, Sound(3))]);
    assert_eq!(sites.places()[0].state, ZoneState::Returning);
}

#[test]
fn where_no_place_is_left_those_that_are_shut_are_used() {
    let mut sites = sites(TERMS);
    play(&mut sites, &LOST);
    let gone: Vec<(u64, Happens)> = (4..12).map(|server| (2_000, Gone(server))).collect();
    let effects = play(&mut sites, &gone);
    assert!(effects.contains(&ZoneEffect::Open(0, 1.0)), "{effects:?}");
    assert_eq!(sites.places()[0].state, ZoneState::Doubtful);
}

#[test]
fn where_nobody_may_be_asked_a_shut_place_is_tried() {
    let mut sites = sites(ZoneFailoverSettings {
        may_look: false,
        ..TERMS
    });
    play(&mut sites, &LOST);
    let effects = play(&mut sites, &[(2_900, Tick)]);
    assert!(
        effects.contains(&ZoneEffect::Open(0, 1.0 / 6.0)),
        "{effects:?}"
    );
}

#[test]
fn alarms_that_prove_false_are_counted() {
    let mut sites = sites(TERMS);
    play(&mut sites, &LOST[..2]);
    play(&mut sites, &[(1_500, Sound(3))]);
    assert_eq!(
        (sites.places()[0].doubts, sites.places()[0].false_alarms),
        (1, 0)
    );
    play(
        &mut sites,
        &[
            (1_900, Sound(0)),
            (1_900, Sound(1)),
            (2_000, Sign(0)),
            (2_000, Sign(1)),
            (2_100, Sound(4)),
            (2_200, Sign(2)),
            (2_300, Sound(3)),
        ],
    );
    assert_eq!(sites.places()[0].false_alarms, 1);
}
