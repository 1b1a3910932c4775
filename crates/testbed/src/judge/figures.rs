//! What operators heard, against what clients and hosts saw. A figure may be late and a little off; bounds are taken
//! so that a proxy within the page's terms is never blamed.

use super::{Case, JudgeSettings, Lives, Rule};
use crate::event_log::{ClientAnswer, Event, LoggedEvent, SessionId};
use std::collections::BTreeMap;
use std::time::Duration;

/// How long an answer may take, and how late what it tells.
const ANSWERED: Duration = Duration::from_secs(1);
const LAG: Duration = Duration::from_millis(500);
/// How far a figure may be off: so many, or that share of it.
const MISS: f64 = 3.0;
const ENDS: f64 = 0.01;
const INFLIGHT: f64 = 0.1;

/// When a session was asked for, brought up, and known to have ended.
struct Span {
    proxy: u16,
    asked: Duration,
    up: Option<Duration>,
    end: Option<Duration>,
}

impl Span {
    fn of(case: &Case) -> Option<Span> {
        let (asked, proxy, ..) = case.asked?;
        let answer = case.answers.first();
        let up = answer.filter(|a| a.1 == ClientAnswer::Up).map(|a| a.0);
        let answered = answer.filter(|a| a.1 != ClientAnswer::Up).map(|a| a.0);
        let over = case
            .dials
            .values()
            .next_back()
            .and_then(|dial| dial.over)
            .filter(|_| up.is_some());
        let ends = [
            answered,
            case.left,
            case.cut.map(|c| c.0),
            case.ended.map(|e| e.0),
            over.map(|o| o.0),
        ];
        Some(Span {
            proxy,
            asked,
            up,
            end: ends.into_iter().flatten().min(),
        })
    }
}

/// Whose figures are told: since when a process serves alone, since when it may have served beside its elder, and
/// the spans in which there were two.
#[derive(Default)]
struct Process {
    alone: Duration,
    first: Duration,
    beside: Option<Duration>,
    pairs: Vec<(Duration, Duration)>,
}

pub(super) fn found(
    records: &[LoggedEvent],
    cases: &BTreeMap<SessionId, Case>,
    lives: &Lives,
    terms: &JudgeSettings,
) -> Vec<(Rule, Duration, String)> {
    let spans: Vec<Span> = cases.values().filter_map(Span::of).collect();
    let (mut found, mut processes) = (Vec::new(), BTreeMap::<u16, Process>::new());
    for LoggedEvent { at, seen } in records {
        let at = *at;
        match seen {
            Event::ProxyBeside { proxy } => processes.entry(*proxy).or_default().beside = Some(at),
            Event::ProxyDead { proxy } => {
                let process = processes.entry(*proxy).or_default();
                process
                    .pairs
                    .extend(process.beside.take().map(|since| (since, at)));
            }
            Event::ProxyStarted { proxy } | Event::ProxyServes { proxy } => {
                let first = processes
                    .remove(proxy)
                    .and_then(|process| process.beside)
                    .unwrap_or(at);
                let process = Process {
                    alone: at,
                    first,
                    pairs: vec![(first, at)],
                    ..Process::default()
                };
                processes.insert(*proxy, process);
            }
            Event::Called {
                proxy,
                took,
                figures,
            } => {
                let stalled = lives
                    .stalls
                    .within(proxy, at.saturating_sub(*took + LAG), at)
                    .next();
                if stalled.is_some() {
                    continue;
                }
                let ends = lives.died(
                    *proxy,
                    at.saturating_sub(*took + terms.blur),
                    at + terms.blur,
                );
                let Some((up, inflight)) = figures.filter(|_| *took <= ANSWERED + terms.slack)
                else {
                    let what =
                        format!("proxy {proxy} was asked for figures: {figures:?} after {took:?}");
                    found.extend((!ends).then_some((Rule::OperatorsAnswered, at, what)));
                    continue;
                };
                let Some(process) = processes.get(proxy) else {
                    continue;
                };
                let told = (at.saturating_sub(*took + LAG + terms.blur), at + terms.blur);
                for (name, figure, (least, most), share) in [
                    (
                        "sessions brought up",
                        up,
                        process.ups(*proxy, &spans, told),
                        ENDS,
                    ),
                    (
                        "in flight",
                        inflight,
                        process.inflight(*proxy, &spans, told),
                        INFLIGHT,
                    ),
                ] {
                    let (figure, least, most) = (figure as f64, least as f64, most as f64);
                    let low = least - MISS.max(least * share);
                    if figure < low || figure > most + MISS.max(most * share) {
                        let what = format!(
                            "proxy {proxy} told {figure} {name}; peers saw {least} to {most}"
                        );
                        found.push((Rule::FiguresTrue, at, what));
                    }
                }
            }
            _ => {}
        }
    }
    found
}

impl Process {
    /// Whether another process may have had a part in what happened then.
    fn shared(&self, from: Duration, to: Duration) -> bool {
        self.beside.is_some_and(|since| to >= since)
            || self.pairs.iter().any(|p| p.0 <= to && p.1 >= from)
    }

    /// Least and most that this process may have brought up.
    fn ups(&self, proxy: u16, spans: &[Span], told: (Duration, Duration)) -> (usize, usize) {
        let ups = || {
            spans
                .iter()
                .filter(|s| s.proxy == proxy)
                .filter_map(|s| s.up)
        };
        let least =
            ups().filter(|up| *up > self.alone + LAG && *up <= told.0 && !self.shared(*up, *up));
        (
            least.count(),
            ups()
                .filter(|up| *up >= self.first && *up <= told.1)
                .count(),
        )
    }

    /// Least and most that may have been in flight; the least only of those that are known to have ended later.
    fn inflight(&self, proxy: u16, spans: &[Span], told: (Duration, Duration)) -> (usize, usize) {
        let of = || spans.iter().filter(|s| s.proxy == proxy);
        let least = of().filter(|s| s.asked <= told.0 && s.end.is_some_and(|end| end > told.1));
        let least = if self.shared(told.0, told.1) {
            0
        } else {
            least.count()
        };
        (
            least,
            of().filter(|s| s.asked <= told.1 && s.end.is_none_or(|end| end >= told.0))
                .count(),
        )
    }
}
