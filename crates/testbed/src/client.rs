//! Clients: they want to be connected for a while, measure it, try again, come back, leave early.

use crate::discovery::uid;
use crate::event_log::{ClientAnswer, ConnectionEnd, Event};
use crate::line_reader::{Line, LineReader};
use crate::plan::{PlannedClient, SeededRng};
use crate::scenario::{RetrySafety, RetryScope};
use crate::testbed::Testbed;
use rand::{RngExt, SeedableRng};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// How long after it was moved or cut off a client comes again, in milliseconds.
const COMES_AGAIN: std::ops::Range<u64> = 61..710;
/// How long a client waits for a connection to its proxy, and without any proxy in use.
const CONNECT: Duration = Duration::from_secs(1);
const NO_PROXY: Duration = Duration::from_millis(100);
/// How long past its time a client stays to see whether an answer comes.
const OVERTIME: Duration = Duration::from_secs(1);

/// How one connection, or the try to have one, ended.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Outcome {
    /// It wanted no more.
    Done,
    /// Moved, or cut off, once it was up.
    Broken,
    Refused(Option<Duration>),
    Failed,
    Unreachable,
}

struct Client<'a> {
    testbed: &'a Testbed,
    wanted: &'a PlannedClient,
    chance: SeededRng,
    /// Since when it has wanted what it has not got.
    since: Duration,
    again: bool,
}

/// One client's whole time.
pub async fn live(testbed: Arc<Testbed>, wanted: PlannedClient) {
    testbed.done(wanted.at);
    let ends = wanted.at + wanted.life;
    let chance = SeededRng::seed_from_u64(wanted.chance);
    let mut client = Client {
        testbed: &testbed,
        wanted: &wanted,
        chance,
        since: wanted.at,
        again: false,
    };
    let mut tries = 0;
    while testbed.now() < ends {
        let before = client.since;
        let outcome = client.connect(ends).await;
        if client.since > before {
            tries = 0;
        }
        let retries = &testbed.scenario.traffic.retries;
        let listener = &testbed.scenario.listeners[usize::from(wanted.listener)];
        let jitter = 0.5 + client.chance.random::<f64>();
        let pause = match outcome {
            Outcome::Done => break,
            Outcome::Broken => {
                (client.again, client.since, tries) = (true, testbed.now(), 0);
                Duration::from_millis(client.chance.random_range(COMES_AGAIN))
            }
            Outcome::Unreachable => NO_PROXY.mul_f64(jitter),
            Outcome::Refused(come_back) => come_back.unwrap_or(retries.pause).mul_f64(jitter),
            Outcome::Failed => match (listener.kind, listener.circle) {
                (RetrySafety::Repeatable, _) => retries.pause.mul_f64(jitter),
                (RetrySafety::Referenced, RetryScope::All)
                    if testbed.now() < client.since + listener.key_ttl =>
                {
                    retries.pause.mul_f64(jitter)
                }
                _ => break,
            },
        };
        tries += u32::from(outcome != Outcome::Unreachable && outcome != Outcome::Broken);
        if tries > retries.most {
            testbed.score.marks().given_up += 1;
            break;
        }
        sleep(pause).await;
    }
    testbed
        .score
        .wanted(wanted.listener, wanted.member, wanted.at, ends);
}

impl Client<'_> {
    /// One try, and the connection that comes of it.
    async fn connect(&mut self, ends: Duration) -> Outcome {
        let (testbed, wanted) = (self.testbed, self.wanted);
        let draw = self.chance.random();
        let Some((proxy, at)) = testbed.front.pick(wanted.place, draw) else {
            testbed.score.marks().unreachable += 1;
            return Outcome::Unreachable;
        };
        let Ok(Ok(stream)) = timeout(CONNECT, TcpStream::connect(at)).await else {
            testbed.score.marks().unreachable += 1;
            return Outcome::Unreachable;
        };
        let _ = stream.set_nodelay(true);
        let (read, mut write) = stream.into_split();
        let mut lines = LineReader::new(read);
        let inherited = wanted.inherited.filter(|_| !self.again);
        let (id, line) = self.first_line(inherited);
        if write.write_all(line.as_bytes()).await.is_err() {
            // Nothing shows that it was taken.
            return Outcome::Unreachable;
        }
        let listener = wanted.listener;
        let kind = &testbed.scenario.listeners[usize::from(listener)];
        let (wait, asked) = (kind.dial_timeout, testbed.event_log.now());
        testbed.event_log.put(Event::Asked {
            id,
            proxy,
            place: wanted.place,
            listener,
            wait,
            inherited: inherited.is_some(),
        });
        let stays = wait + testbed.scenario.platform.answer_slack + OVERTIME;
        let leaves = wanted
            .patience
            .filter(|_| !self.again)
            .map_or(stays, |patience| patience.min(stays));
        let Ok(line) = timeout(leaves, lines.next()).await else {
            testbed.event_log.put(Event::Left { id });
            return if leaves < wait {
                Outcome::Done
            } else {
                Outcome::Failed
            };
        };
        let answer = match line {
            Line::Text(line) if line.starts_with("UP ") => ClientAnswer::Up,
            Line::Text(line) if line == "BUSY" || line.starts_with("BUSY ") => {
                ClientAnswer::Busy(line.strip_prefix("BUSY ").and_then(|ms| ms.parse().ok()))
            }
            Line::Text(_) | Line::Bad => ClientAnswer::Failed,
            Line::Fin | Line::Reset => {
                let end = if line == Line::Fin {
                    ConnectionEnd::Fin
                } else {
                    ConnectionEnd::Reset
                };
                testbed.event_log.put(Event::Cut { id, end });
                return Outcome::Failed;
            }
        };
        testbed.event_log.put(Event::Answered {
            id,
            answer: answer.clone(),
        });
        match answer {
            ClientAnswer::Up => {
                let us = |span: Duration| span.as_micros() as u64;
                let (waited, took) = (
                    testbed.now().saturating_sub(self.since),
                    testbed.event_log.now() - asked,
                );
                if inherited.is_none() {
                    let mut marks = testbed.score.marks();
                    marks.set_ups[usize::from(listener)].saturating_record(us(waited));
                    marks.answers.saturating_record(us(took));
                }
                self.since = testbed.now();
                self.stay(id, &mut lines, &mut write, ends).await
            }
            ClientAnswer::Busy(come_back) => {
                self.behind(id, &mut lines).await;
                Outcome::Refused(come_back.map(Duration::from_millis))
            }
            ClientAnswer::Failed => {
                self.behind(id, &mut lines).await;
                Outcome::Failed
            }
        }
    }

    /// Nothing may follow a final answer but the end.
    async fn behind(&self, id: u64, lines: &mut LineReader) {
        if let Ok(Line::Text(line)) = timeout(OVERTIME, lines.next()).await {
            let answer = if line.starts_with("UP ") {
                ClientAnswer::Up
            } else {
                ClientAnswer::Failed
            };
            self.testbed.event_log.put(Event::Answered { id, answer });
        }
    }

    fn first_line(&self, inherited: Option<u16>) -> (u64, String) {
        let (testbed, wanted) = (self.testbed, self.wanted);
        let listener = &testbed.scenario.listeners[usize::from(wanted.listener)];
        let member = &testbed.scenario.members[usize::from(wanted.member)].name;
        let id = testbed.new_id();
        let wait = listener.dial_timeout.as_millis();
        let mut line = format!(
            "OPEN {id:016x} {:016x} c={},t={member}",
            wanted.item, listener.name
        );
        line += &format!(",d={wait},h={:.1}", wanted.work * 1e6);
        if let Some(group) = wanted.group {
            line += &format!(",g={group:016x}");
        }
        if self.again {
            line += ",again=1";
        }
        if let Some(host) = inherited {
            line += &format!(",at={}", uid(host));
        }
        (id, line + "\r\n")
    }

    /// Sends a line now and then and hears the answers, until it wants no more or the connection ends.
    async fn stay(
        &mut self,
        id: u64,
        lines: &mut LineReader,
        write: &mut OwnedWriteHalf,
        ends: Duration,
    ) -> Outcome {
        let (testbed, wanted) = (self.testbed, self.wanted);
        let every = testbed.scenario.traffic.message_every;
        let target = testbed.scenario.listeners[usize::from(wanted.listener)].message_target;
        let (mut reconnect, mut deafen) =
            (testbed.reconnect.subscribe(), testbed.deafen.subscribe());
        reconnect.mark_unchanged();
        deafen.mark_unchanged();
        let mut credit = Credit {
            testbed,
            wanted,
            from: testbed.now(),
            good: true,
        };
        let mut next = testbed.now() + every.mul_f64(self.chance.random::<f64>());
        let (mut nth, mut waits, mut told) = (0u64, None::<(u64, Duration)>, false);
        loop {
            let now = testbed.now();
            if now >= ends {
                credit.close(ends);
                // Half of them say so, and hear the host out.
                if wanted.chance.is_multiple_of(2) && write.write_all(b"END\r\n").await.is_ok() {
                    let _ = timeout(OVERTIME, farewell(lines)).await;
                }
                let _ = timeout(OVERTIME, write.shutdown()).await;
                return Outcome::Done;
            }
            if now >= next {
                // What is not answered by now was not served in time.
                credit.good &= waits.is_none();
                credit.close(now);
                (credit.from, credit.good, nth, next) = (now, false, nth + 1, now + every);
                if waits.is_none() {
                    waits = Some((nth, now));
                }
                let text = format!("MSG {nth} {}\r\n", testbed.event_log.now().as_micros());
                // One whose proxy takes nothing any more is cut off by it sooner or later.
                let _ = timeout(every, write.write_all(text.as_bytes())).await;
                continue;
            }
            let sleeps = next.min(ends).saturating_sub(now);
            let line = tokio::select! {
                line = lines.next() => line,
                _ = sleep(sleeps) => continue,
                _ = reconnect.changed() => {
                    if self.called(&mut reconnect) {
                        credit.close(testbed.now());
                        return Outcome::Broken;
                    }
                    continue;
                }
                _ = deafen.changed() => {
                    let span = deafen.borrow().span;
                    if self.called(&mut deafen) {
                        credit.close(testbed.now());
                        sleep(span).await;
                        (credit.from, credit.good, waits) = (testbed.now(), false, None);
                    }
                    continue;
                }
            };
            let text = match line {
                Line::Text(text) => text,
                Line::Bad => {
                    testbed.event_log.put(Event::Garbled {
                        id,
                        line: "no text".into(),
                    });
                    continue;
                }
                Line::Fin | Line::Reset => {
                    let end = if line == Line::Fin {
                        ConnectionEnd::Fin
                    } else {
                        ConnectionEnd::Reset
                    };
                    testbed.event_log.put(Event::Ended { id, end, told });
                    credit.close(testbed.now());
                    return Outcome::Broken;
                }
            };
            match text.split_once(' ').unwrap_or((&text, "")) {
                ("ACK", n) if n.parse::<u64>().is_ok_and(|n| n > 0 && n <= nth) => {
                    let answered = n.parse().unwrap_or(0);
                    if let Some((_, sent)) = waits.take_if(|(wait, _)| answered >= *wait) {
                        let took = testbed.now().saturating_sub(sent);
                        credit.good = took <= target && answered == nth;
                        let mut marks = testbed.score.marks();
                        marks.messages.saturating_record(took.as_micros() as u64);
                    }
                }
                ("LOAD", _) => {}
                ("MOVE" | "BYE", _) => told = true,
                _ => testbed.event_log.put(Event::Garbled { id, line: text }),
            }
        }
    }

    /// Whether a call to a share of all clients reaches this one.
    fn called(&mut self, call: &mut watch::Receiver<crate::testbed::ClientSignal>) -> bool {
        let share = call.borrow_and_update().share;
        self.chance.random::<f64>() < share
    }
}

/// A span that counts as well served if its message was answered in time.
struct Credit<'a> {
    testbed: &'a Testbed,
    wanted: &'a PlannedClient,
    from: Duration,
    good: bool,
}

impl Credit<'_> {
    fn close(&mut self, to: Duration) {
        if std::mem::replace(&mut self.good, false) {
            self.testbed
                .score
                .served(self.wanted.listener, self.wanted.member, self.from, to);
        }
    }
}

async fn farewell(lines: &mut LineReader) {
    while let Line::Text(_) | Line::Bad = lines.next().await {}
}
