//! Results that are summed over many runs, logs or records.

use asterramp_testbed::compare::Difference;
use asterramp_testbed::journal::Journal;
use asterramp_testbed::log_summary::LogSummary;
use test_case::test_case;

#[test]
fn a_difference_is_significant_only_where_the_pairs_agree() {
    let a = [0.90, 0.80, 0.95, 0.70, 0.85];
    let better = a.map(|x| x + 0.02);
    let found = Difference::of(&a, &better, 1);
    assert!(found.is_significant() && (found.mean - 0.02).abs() < 1e-9 && found.low > 0.019);
    let mixed = [0.92, 0.79, 0.94, 0.73, 0.84];
    let found = Difference::of(&a, &mixed, 1);
    assert!(
        !found.is_significant() && found.low < 0.0 && found.high > 0.0,
        "{found:?}"
    );
}

#[test_case(b"0.5 refused sess=1 server=- dials=0\n2.1 dial-erred server=s-1\n\n2.9 dial-erred server=s-1", &["1 proxies, 3 lines, 0 bad\n", "dial-erred                   2        1", "2           dial-erred 2", "s-1         dial-erred 2"]; "sound lines")]
#[test_case(b"serving by discovery\n1.0 taken=4 up=3", &["2 lines, 0 bad", "-           serving 1"]; "no time, counters alone")]
#[test_case(b"-1.0 refused\nNaN refused\n1.0 REFUSED!\n\xff\n7.0", &["5 lines, 5 bad, first at n0.log:1, n0.log:2"]; "lines that make no sense")]
#[test_case(&[b'x'; 40_000], &["3 lines, 3 bad"]; "an endless line")]
fn the_logs_of_a_fleet_are_summed_and_bad_lines_named(log: &[u8], says: &[&str]) {
    let mut logs = LogSummary::new(2);
    logs.add_log("n0.log", log).unwrap();
    assert!(
        says.iter().all(|part| logs.table().contains(part)),
        "{}",
        logs.table()
    );
}

#[test]
fn records_of_days_are_summed_and_the_draw_that_costs_is_found() {
    let mut journal = Journal::default();
    // A trouble costs a quarter, servers nothing; a day played twice counts once.
    for seed in 0..12_u64 {
        let bad = seed % 3 == 0;
        let score = if bad { 0.5 } else { 0.75 } + (seed % 2) as f64 * 0.01;
        let troubles = if bad {
            r#"["slow","burst"]"#
        } else {
            r#"["burst"]"#
        };
        let text = format!(
            r#"{{"v":1,"days":[{{"name":"zone+mass-2","seed":{seed},"score":{score},"served":0.8,"served_late":0.9,
            "servers":{},"nodes":300,"caps":[64,640,0.2],"troubles":{troubles},"signature":{{"moves":0.5,"odd":null}},"rules":{{"lost":0}}}},
            {{"name":"fleet","seed":1,"score":0.1}}]}}"#,
            70 + seed % 4
        );
        journal.add_record(text.as_bytes(), "+mass");
        if seed == 0 {
            journal.add_record(text.as_bytes(), "+mass");
        }
    }
    journal.add_record(b"{\"days\":7}", "+mass");
    let table = journal.table();
    assert!(
        table.contains("13 records, 12 days, 1 files cannot be read"),
        "{table}"
    );
    assert!(table.contains("| zone+mass | 12 | 0.672 ("), "{table}");
    let first = table
        .lines()
        .skip_while(|line| !line.starts_with("| draw"))
        .nth(2)
        .unwrap();
    assert!(
        first.starts_with("| trouble slow | -0.2") && !table.contains("| trouble burst |"),
        "{first}\n{table}"
    );
    assert!(Journal::from_folder(std::path::Path::new("no-such-folder"), "+mass").is_err());
}
