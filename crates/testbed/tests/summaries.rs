//! Summaries of many runs, logs or journal records.

use asterramp_testbed::compare::Difference;
use asterramp_testbed::journal::Journal;
use asterramp_testbed::log_summary::LogSummary;
use test_case::test_case;

#[test]
fn a_difference_is_significant_only_if_the_pairs_agree() {
    let a = [0.90, 0.80, 0.95, 0.70, 0.85];
    let better = a.map(|x| x + 0.02);
    let difference = Difference::of(&a, &better, 1);
    assert!(
        difference.is_significant()
            && (difference.mean - 0.02).abs() < 1e-9
            && difference.low > 0.019
    );
    let mixed = [0.92, 0.79, 0.94, 0.73, 0.84];
    let difference = Difference::of(&a, &mixed, 1);
    assert!(
        !difference.is_significant() && difference.low < 0.0 && difference.high > 0.0,
        "{difference:?}"
    );
}

#[test_case(b"0.5 refused sess=1 server=- dials=0\n2.1 dial-erred server=s-1\n\n2.9 dial-erred server=s-1", &["1 proxies, 3 lines, 0 bad\n", "dial-erred                   2        1", "2           dial-erred 2", "s-1         dial-erred 2"]; "valid lines")]
#[test_case(b"serving by discovery\n1.0 taken=4 up=3", &["2 lines, 0 bad", "-           serving 1"]; "lines without time or with counters only")]
#[test_case(b"-1.0 refused\nNaN refused\n1.0 REFUSED!\n\xff\n7.0", &["5 lines, 5 bad, first at n0.log:1, n0.log:2"]; "invalid lines")]
#[test_case(&[b'x'; 40_000], &["3 lines, 3 bad"]; "too long line")]
fn logs_of_a_fleet_are_counted_and_invalid_lines_located(log: &[u8], expected_parts: &[&str]) {
    let mut logs = LogSummary::new(2);
    logs.add_log("n0.log", log).unwrap();
    assert!(
        expected_parts
            .iter()
            .all(|part| logs.table().contains(part)),
        "{}",
        logs.table()
    );
}

#[test]
fn records_are_summarized_and_the_parameter_that_lowers_the_score_is_found() {
    let mut journal = Journal::default();
    // The fault `slow` lowers the score by a quarter, and the number of servers has no effect. A scenario that is in two
    // records counts once.
    for seed in 0..12_u64 {
        let has_slow_servers = seed % 3 == 0;
        let score = if has_slow_servers { 0.5 } else { 0.75 } + (seed % 2) as f64 * 0.01;
        let troubles = if has_slow_servers {
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
    let first_effect = table
        .lines()
        .skip_while(|line| !line.starts_with("| draw"))
        .nth(2)
        .unwrap();
    assert!(
        first_effect.starts_with("| trouble slow | -0.2") && !table.contains("| trouble burst |"),
        "{first_effect}\n{table}"
    );
    assert!(Journal::from_folder(std::path::Path::new("no-such-folder"), "+mass").is_err());
}
