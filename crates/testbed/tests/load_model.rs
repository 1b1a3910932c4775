//! The load model of a host: utilization, message times, collapse while cold, and load reports.

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
fn sessions_of_a_group_share_the_group_cost_and_overload_delays_messages() {
    let mut model = LoadModel::new(settings(), 1);
    for group in [Some(1), Some(1), Some(2), None] {
        model.connect(ms(0), group, 0.05);
    }
    assert!((model.utilization(ms(0)) - 0.4).abs() < 1e-9);
    let light_load = model.message_time(ms(10));
    model.speed_factor = 0.42;
    assert!(
        model.message_time(ms(20)) > light_load * 5,
        "near its capacity messages take long"
    );
    let overloaded = (
        model.message_time(ms(1_020)),
        model.speed_factor = 0.2,
        model.message_time(ms(3_020)),
    );
    assert!(
        overloaded.2 > overloaded.0 + ms(1_900),
        "above its capacity the queue grows: {overloaded:?}"
    );
    model.speed_factor = 1.0;
    model.disconnect(ms(3_020), Some(1), 0.05);
    assert!(
        (model.utilization(ms(3_020)) - 0.35).abs() < 1e-9,
        "another session of the group is open, so the group cost stays"
    );
    model.disconnect(ms(3_020), Some(1), 0.05);
    assert!((model.utilization(ms(3_020)) - 0.2).abs() < 1e-9);
}

#[test]
fn only_a_cold_host_collapses_under_many_set_ups() {
    let collapses = |cold: bool, interval_ms: u64| {
        let mut model = LoadModel::new(settings(), 1);
        if cold {
            model.restart(ms(0));
        }
        (0..200).any(|n| {
            let outcome = model.begin_set_up(ms(n * interval_ms), n);
            model.finish_set_up();
            outcome == SetUpOutcome::Collapsed
        })
    };
    // While cold, the host has a quarter of its speed, and the overload factor is 4: the limit is 1 s of work per second,
    // or fifty set-ups of 20 ms.
    assert!(collapses(true, 10) && !collapses(true, 25) && !collapses(false, 10));
}

#[test]
fn reports_are_delayed_by_the_report_age_and_a_full_host_accepts_no_session() {
    let mut model = LoadModel::new(settings(), 1);
    (0..50).for_each(|n| model.connect(ms(n * 10), None, 0.0));
    assert_eq!(model.report(ms(600)).outstanding, 10);
    assert_eq!(model.report(ms(2_000)).outstanding, 50);
    assert_eq!(model.begin_set_up(ms(2_000), 1), SetUpOutcome::Full);
}
