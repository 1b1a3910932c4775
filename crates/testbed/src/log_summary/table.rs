//! Prints a [`LogSummary`] as text.

use super::{CodeCounts, LogSummary};
use std::cmp::Reverse;
use std::collections::BTreeSet;

impl LogSummary {
    /// The number of lines of each reason code: in total, with the number of proxies that logged it, then by time and
    /// by server.
    pub fn table(&self) -> String {
        let mut text = format!(
            "{} proxies, {} lines, {} bad",
            self.proxies, self.lines, self.bad_lines
        );
        if !self.named_bad_lines.is_empty() {
            let positions = self.named_bad_lines.join(", ");
            text.push_str(&format!(", first at {positions}"));
        }
        text.push_str("\n\nreason code              lines  proxies\n");
        for (code, count) in &self.total {
            let proxies = self.proxies_by_code.get(code).map_or(0, BTreeSet::len);
            text.push_str(&format!("{code:<22} {count:>7} {proxies:>8}\n"));
        }
        text.push_str("\nfrom second\n");
        for (from, counts) in &self.rows {
            let from = from.map_or("-".into(), |from| from.to_string());
            text.push_str(&counts_row(&from, counts));
        }
        text.push_str("\nserver\n");
        for (uid, counts) in &self.servers {
            text.push_str(&counts_row(uid, counts));
        }
        text
    }
}

/// One row of counts, the most frequent codes first.
fn counts_row(name: &str, counts: &CodeCounts) -> String {
    let mut sorted: Vec<(&String, &u64)> = counts.iter().collect();
    sorted.sort_by_key(|(code, count)| (Reverse(**count), *code));
    let texts: Vec<String> = sorted
        .iter()
        .map(|(code, count)| format!("{code} {count}"))
        .collect();
    format!("{name:<11} {}\n", texts.join("  "))
}
