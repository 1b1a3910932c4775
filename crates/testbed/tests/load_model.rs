//! The load model of a host.

use asterramp_testbed::load_model::{LoadModel, LoadModelSettings, SetUpOutcome};
use std::time::Duration;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn settings() -> LoadModelSettings {
    LoadModelSettings {
        speed: 1.0,
        max_sessions: 50,
        group_cost: 0.1,
        cold_share: 0.25,
        warm_up_time: ms(8_000),
        overload_factor: 4.0,
        overload_window: ms(1_000),
        set_up_work: ms(20),
        message_time: ms(5),
        report_age: ms(500),
        report_noise: 0.0,
    }
}

#[test]
fn a_host_shares_its_speed_and_each_group_pays_once() {
    let mut model = LoadModel::new(settings(), 1);
    for group in [Some(1), Some(1), Some(2), None] {
        model.connect(ms(0), group, 0.05);
    }
    assert!((model.utilization(ms(0)) - 0.4).abs() < 1e-9);
    let light = model.message_time(ms(10));
    model.speed_factor = 0.42;
    assert!(
        model.message_time(ms(20)) > light * 5,
        "near its limit messages take long"
    );
    let queued = (
        model.message_time(ms(1_020)),
        model.speed_factor = 0.2,
        model.message_time(ms(3_020)),
    );
    assert!(
        queued.2 > queued.0 + ms(1_900),
        "over it work piles up: {queued:?}"
    );
    model.speed_factor = 1.0;
    model.disconnect(ms(3_020), Some(1), 0.05);
    assert!(
        (model.utilization(ms(3_020)) - 0.35).abs() < 1e-9,
        "the group is still held"
    );
    model.disconnect(ms(3_020), Some(1), 0.05);
    assert!((model.utilization(ms(3_020)) - 0.2).abs() < 1e-9);
}

#[test]
fn a_cold_host_collapses_by_too_many_set_ups_and_a_warm_one_does_not() {
    let collapses = |cold: bool, every: u64| {
        let mut model = LoadModel::new(settings(), 1);
        if cold {
            model.restart(ms(0));
        }
        (0..200).any(|n| {
            let taken = model.begin_set_up(ms(n * every), n);
            model.finish_set_up();
            taken == SetUpOutcome::Collapsed
        })
    };
    // Four times a quarter of its speed is fifty set-ups of 20 ms a second.
    assert!(collapses(true, 10) && !collapses(true, 25) && !collapses(false, 10));
}

#[test]
fn reports_are_as_old_as_they_are_told_to_be_and_places_run_out() {
    let mut model = LoadModel::new(settings(), 1);
    (0..50).for_each(|n| model.connect(ms(n * 10), None, 0.0));
    assert_eq!(model.report(ms(600)).outstanding, 10);
    assert_eq!(model.report(ms(2_000)).outstanding, 50);
    assert_eq!(model.begin_set_up(ms(2_000), 1), SetUpOutcome::Full);
}
