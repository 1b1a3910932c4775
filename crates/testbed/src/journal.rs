//! The records of simulated days, summed: what each kind of day scored over drawn seeds, and which draw goes with the loss. It
//! reads what the bench has written and nothing else.

use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::Path;

/// Longest record that is read, and most of them.
const LONGEST: u64 = 4 << 20;
const MOST: usize = 100_000;
/// Days by which a draw's effect can be told, on either side of it.
const FEW: usize = 3;

/// A record, as far as it is needed.
#[derive(Debug, Deserialize)]
struct LoggedEvent {
    #[serde(default)]
    days: Option<Vec<serde_json::Value>>,
}

#[derive(Clone, Debug, Deserialize)]
struct Day {
    name: String,
    #[serde(default)]
    seed: Option<u64>,
    #[serde(default)]
    score: Option<f64>,
    #[serde(default)]
    served: Option<f64>,
    #[serde(default)]
    served_late: Option<f64>,
    #[serde(default)]
    servers: Option<f64>,
    #[serde(default)]
    nodes: Option<f64>,
    /// Memory, descriptors, cores.
    #[serde(default)]
    caps: Option<Vec<f64>>,
    #[serde(default)]
    troubles: Option<Vec<String>>,
    #[serde(default)]
    signature: Option<BTreeMap<String, serde_json::Value>>,
    #[serde(default)]
    rules: Option<BTreeMap<String, serde_json::Value>>,
}

/// A drawn day, over all plays of it.
#[derive(Clone, Debug)]
struct Drawn {
    kind: String,
    seed: u64,
    plays: usize,
    score: f64,
    served: f64,
    late: f64,
    broken: bool,
    /// What the day drew, by name: numbers, and 1 or 0 for each trouble.
    draws: BTreeMap<String, f64>,
}

#[derive(Debug, Default)]
pub struct Journal {
    days: BTreeMap<(String, u64), Vec<Day>>,
    records: usize,
    /// Files that cannot be read as records.
    bad: usize,
}

/// How a draw goes with the score.
#[derive(Debug)]
struct Effect {
    draw: String,
    /// Of the score, from one standard deviation less to one more, or without a trouble to with it.
    by: f64,
    error: f64,
    days: usize,
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (sum, n) = values.fold((0.0, 0.0), |(sum, n), value| (sum + value, n + 1.0));
    if n > 0.0 { sum / n } else { f64::NAN }
}

impl Journal {
    /// All records of a folder, of whose days those count whose name holds `kind`.
    pub fn of_folder(folder: &Path, kind: &str) -> Result<Journal, String> {
        let told = |e: std::io::Error| format!("{}: {e}", folder.display());
        let mut journal = Journal::default();
        for entry in std::fs::read_dir(folder).map_err(told)?.take(MOST) {
            let path = entry.map_err(told)?.path();
            if path.extension().is_none_or(|end| end != "json") {
                continue;
            }
            let short = std::fs::metadata(&path).is_ok_and(|file| file.len() <= LONGEST);
            let text = std::fs::read(&path).ok().filter(|_| short);
            match text {
                Some(text) => journal.take(&text, kind),
                None => journal.bad += 1,
            }
        }
        if journal.records == 0 {
            return Err(format!("{}: no record can be read", folder.display()));
        }
        Ok(journal)
    }

    /// A record's bytes.
    pub fn take(&mut self, text: &[u8], kind: &str) {
        let Ok(record) = serde_json::from_slice::<LoggedEvent>(text) else {
            self.bad += 1;
            return;
        };
        self.records += 1;
        // Days of another form, as the simulator's, are passed over.
        let days = record
            .days
            .into_iter()
            .flatten()
            .filter_map(|day| serde_json::from_value::<Day>(day).ok());
        for day in days.filter(|day| day.name.contains(kind) && day.score.is_some()) {
            if let Some(seed) = day.seed {
                // A second draw of a panel is of the same kind.
                let name = day
                    .name
                    .trim_end_matches(|c: char| c == '-' || c.is_ascii_digit())
                    .to_string();
                self.days.entry((name, seed)).or_default().push(day);
            }
        }
    }

    fn drawn(&self) -> Vec<Drawn> {
        let of = |((kind, seed), plays): (&(String, u64), &Vec<Day>)| {
            let over = |of: fn(&Day) -> Option<f64>| mean(plays.iter().filter_map(of));
            let mut draws = BTreeMap::new();
            let first = &plays[0];
            let figures = [
                ("servers", first.servers),
                ("proxies", first.nodes),
                (
                    "proxies a server",
                    first.nodes.zip(first.servers).map(|(n, s)| n / s.max(1.0)),
                ),
                (
                    "descriptors",
                    first.caps.as_ref().and_then(|caps| caps.get(1).copied()),
                ),
                (
                    "cores",
                    first.caps.as_ref().and_then(|caps| caps.get(2).copied()),
                ),
                ("late-seeing served", first.served_late),
            ];
            draws.extend(
                figures
                    .into_iter()
                    .filter_map(|(name, value)| Some((name.to_string(), value?))),
            );
            draws.extend(
                first
                    .troubles
                    .iter()
                    .flatten()
                    .map(|trouble| (format!("trouble {trouble}"), 1.0)),
            );
            // What it did, beside what it drew: an average over the plays.
            for name in first.signature.iter().flat_map(|did| did.keys()) {
                let told = plays
                    .iter()
                    .filter_map(|day| day.signature.as_ref()?.get(name)?.as_f64());
                draws.insert(format!("did {name}"), mean(told));
            }
            Drawn {
                kind: kind.clone(),
                seed: *seed,
                plays: plays.len(),
                score: over(|day| day.score),
                served: over(|day| day.served),
                late: over(|day| day.served_late),
                broken: plays.iter().any(|day| {
                    day.rules
                        .iter()
                        .flat_map(|rules| rules.values())
                        .any(|n| n.as_f64() > Some(0.0))
                }),
                draws,
            }
        };
        self.days.iter().map(of).collect()
    }

    /// A table by kind, one by day, and the draws that go with the score.
    pub fn table(&self) -> String {
        let (days, mut text) = (self.drawn(), String::new());
        let mut kinds: BTreeMap<&str, Vec<&Drawn>> = BTreeMap::new();
        days.iter()
            .for_each(|day| kinds.entry(&day.kind).or_default().push(day));
        // Writing to a string does not fail.
        let _ = writeln!(
            text,
            "{} records, {} days, {} files cannot be read",
            self.records,
            days.len(),
            self.bad
        );
        let _ = writeln!(
            text,
            "\n| kind | days | score: mean (sd) | least | served | a late-seeing policy | rules broken |"
        );
        let _ = writeln!(text, "| --- | --- | --- | --- | --- | --- | --- |");
        for (kind, of) in &kinds {
            let score = mean(of.iter().map(|day| day.score));
            let sd = mean(of.iter().map(|day| (day.score - score).powi(2))).sqrt();
            let least = of.iter().min_by(|a, b| a.score.total_cmp(&b.score));
            let least = least.map_or("-".into(), |day| format!("{:.2} ({})", day.score, day.seed));
            let (served, late) = (
                mean(of.iter().map(|day| day.served)),
                mean(of.iter().map(|day| day.late)),
            );
            let broken = of.iter().filter(|day| day.broken).count();
            let n = of.len();
            let _ = writeln!(
                text,
                "| {kind} | {n} | {score:.3} ({sd:.3}) | {least} | {served:.3} | {late:.3} | {broken} |"
            );
        }
        let _ = writeln!(
            text,
            "\n| day | seed | plays | score | served | servers | proxies | troubles |"
        );
        let _ = writeln!(text, "| --- | --- | --- | --- | --- | --- | --- | --- |");
        for day in &days {
            let figure = |name: &str| {
                day.draws
                    .get(name)
                    .map_or("-".into(), |value| format!("{value:.0}"))
            };
            let troubles: Vec<&str> = day
                .draws
                .keys()
                .filter_map(|name| name.strip_prefix("trouble "))
                .collect();
            let Drawn {
                kind,
                seed,
                plays,
                score,
                served,
                ..
            } = day;
            let (servers, proxies, troubles) =
                (figure("servers"), figure("proxies"), troubles.join(" "));
            let _ = writeln!(
                text,
                "| {kind} | {seed} | {plays} | {score:.2} | {served:.3} | {servers} | {proxies} | {troubles} |"
            );
        }
        let _ = writeln!(
            text,
            "\nWithin kinds: of the score, by one standard deviation of a number, or by a trouble."
        );
        let _ = writeln!(
            text,
            "\n| draw | score | standard error | days |\n| --- | --- | --- | --- |"
        );
        for effect in effects(&days).into_iter().take(16) {
            let Effect {
                draw,
                by,
                error,
                days,
            } = effect;
            let _ = writeln!(text, "| {draw} | {by:+.3} | {error:.3} | {days} |");
        }
        text
    }
}

/// How each draw goes with the score, the kinds' own means taken off both, those told best first.
fn effects(days: &[Drawn]) -> Vec<Effect> {
    let mut names: Vec<&String> = days.iter().flat_map(|day| day.draws.keys()).collect();
    names.sort_unstable();
    names.dedup();
    let of_kind = |kind: &str, of: &dyn Fn(&Drawn) -> f64| {
        mean(days.iter().filter(|day| day.kind == kind).map(of))
    };
    let mut found = Vec::new();
    for name in names {
        let trouble = name.starts_with("trouble ");
        let value = |day: &Drawn| {
            day.draws
                .get(name)
                .copied()
                .unwrap_or(if trouble { 0.0 } else { f64::NAN })
        };
        let known: Vec<&Drawn> = days.iter().filter(|day| value(day).is_finite()).collect();
        let off = |day: &Drawn| {
            let (x, y) = (
                of_kind(&day.kind, &value),
                of_kind(&day.kind, &|day| day.score),
            );
            (value(day) - x, day.score - y)
        };
        let pairs: Vec<(f64, f64)> = known
            .iter()
            .map(|day| off(day))
            .filter(|pair| pair.0.is_finite())
            .collect();
        let (n, xx) = (
            pairs.len(),
            pairs.iter().map(|pair| pair.0 * pair.0).sum::<f64>(),
        );
        let with = known.iter().filter(|day| value(day) > 0.5).count();
        let kinds: std::collections::BTreeSet<&str> =
            known.iter().map(|day| day.kind.as_str()).collect();
        // A mean for each kind and the slope are taken from the days.
        let free = n.saturating_sub(kinds.len() + 1);
        if free < FEW || xx < 1e-12 || trouble && (with < FEW || known.len() - with < FEW) {
            continue;
        }
        let slope = pairs.iter().map(|pair| pair.0 * pair.1).sum::<f64>() / xx;
        let left = pairs
            .iter()
            .map(|pair| (pair.1 - slope * pair.0).powi(2))
            .sum::<f64>();
        let error = (left / free as f64 / xx).sqrt();
        let unit = if trouble { 1.0 } else { (xx / n as f64).sqrt() };
        found.push(Effect {
            draw: name.clone(),
            by: slope * unit,
            error: error * unit,
            days: n,
        });
    }
    let told = |effect: &Effect| (effect.by / effect.error.max(1e-9)).abs();
    found.sort_by(|a, b| told(b).total_cmp(&told(a)));
    found
}
