//! On whom sessions may be placed, by who told of a host and how long ago, and by what it answered itself.

#[cfg(feature = "injected-faults")]
use crate::injected_fault::Plant;
use crate::planted;
use std::net::SocketAddr;
use std::time::Duration;

pub type HostId = u32;

/// Who told of a host. What a host answered itself is no word but evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Source {
    /// Another proxy.
    Heard,
    /// The configuration, which has no age.
    Configured,
    /// This proxy, before its last end.
    Saved,
    Told,
}

/// How old a word is. A clock that went back, or ahead by a day, makes it older, never younger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Age {
    Fresh,
    Old,
    /// Over a day, or nobody can say.
    Unknown,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Trust {
    /// Sessions may be placed on it.
    Place,
    /// It must answer a probe first; one that does not is forgotten after so long. `None`: it is asked for ever, at the slowest
    /// pace, as nobody else would name it again.
    Probe(Option<Duration>),
    /// It is not even asked.
    Nothing,
}

const fn probe(seconds: u64) -> Trust {
    Trust::Probe(Some(Duration::from_secs(seconds)))
}

/// Source, age, what it is worth. A word of discovery is `Old` where its list is older than one that we had.
const TRUST: &[(Source, Age, Trust)] = &[
    (Source::Told, Age::Fresh, Trust::Place),
    (Source::Told, Age::Old, probe(600)),
    (Source::Told, Age::Unknown, probe(600)),
    (Source::Saved, Age::Fresh, probe(600)),
    (Source::Saved, Age::Old, probe(300)),
    (Source::Saved, Age::Unknown, probe(30)),
    (Source::Configured, Age::Fresh, Trust::Probe(None)),
    (Source::Configured, Age::Old, Trust::Probe(None)),
    (Source::Configured, Age::Unknown, Trust::Probe(None)),
    (Source::Heard, Age::Fresh, probe(60)),
    (Source::Heard, Age::Old, probe(10)),
    (Source::Heard, Age::Unknown, Trust::Nothing),
];

/// What a word is worth.
pub fn trust(source: Source, age: Age) -> Trust {
    TRUST
        .iter()
        .find(|row| (row.0, row.1) == (source, age))
        .map_or(Trust::Nothing, |row| row.2)
}

/// Up to which age a word is fresh, and up to which it is old; how far two machines' clocks may be apart.
const FRESH: Duration = Duration::from_secs(300);
const OLD: Duration = Duration::from_secs(86_400);
const APART: Duration = Duration::from_secs(5);

/// How old something of `at` is, both Unix time; `None` where nobody noted when.
pub fn age(now: Duration, at: Option<Duration>) -> Age {
    match at {
        Some(at) if at > now + APART => Age::Unknown,
        Some(at) if now.saturating_sub(at) <= FRESH => Age::Fresh,
        Some(at) if now.saturating_sub(at) <= OLD => Age::Old,
        _ => Age::Unknown,
    }
}

/// What is made of a host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum State {
    /// Nobody has told of it, or what was told has lapsed.
    #[default]
    Unknown,
    /// To be asked.
    Waiting,
    Asked,
    /// It did not answer, and is asked again.
    Silent,
    /// It answers.
    Answers,
    /// Discovery told of it: what becomes of it is not decided here any more.
    Told,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Input {
    /// A word by which it must be asked.
    Word,
    Ask,
    Yes,
    No,
    /// It has not answered for as long as its word is worth.
    Lapsed,
    /// Discovery calls it ready.
    Told,
    /// Another host stands at its address.
    Gone(&'static str),
    /// Discovery calls it draining or gone, or leaves it out.
    ToldGone,
}

/// What is wanted of whoever drives this.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Wish {
    Ask(HostId),
    Use(HostId),
    Drop(HostId, &'static str),
    /// The same by discovery's own word, which whoever drives this has heard.
    Left,
}

/// Pauses between two probes of a silent host, at first and at most.
const PAUSE: Duration = Duration::from_millis(500);
const LONGEST: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug)]
struct Known {
    state: State,
    at: SocketAddr,
    source: Source,
    rev: u64,
    /// Until when it is asked for without an answer; `None` for ever.
    until: Option<Duration>,
    due: Duration,
    tries: u32,
}

/// The hosts that a start knows of.
#[derive(Clone, Debug, Default)]
pub struct Hosts {
    known: Vec<Option<Known>>,
    out: usize,
    wishes: Vec<Wish>,
    /// Words that were worth nothing, and hosts that lapsed or were replaced.
    pub dropped: u64,
    #[cfg(feature = "injected-faults")]
    pub plant: Option<Plant>,
}

impl Hosts {
    pub fn state(&self, id: HostId) -> State {
        self.at(id).map_or(State::Unknown, |known| known.state)
    }

    /// How many sessions may be placed on.
    pub fn usable(&self) -> usize {
        self.count(|known| matches!(known.state, State::Answers | State::Told))
    }

    /// How many are told of by a source, and how many of these answer or were told of by discovery since.
    pub fn by(&self, source: Source) -> (usize, usize) {
        let of = |known: &Known| known.source == source && known.state != State::Unknown;
        let good = |known: &Known| matches!(known.state, State::Answers | State::Told);
        (self.count(of), self.count(|known| of(known) && good(known)))
    }

    fn count(&self, which: impl Fn(&Known) -> bool) -> usize {
        self.known
            .iter()
            .flatten()
            .filter(|known| which(known))
            .count()
    }

    fn at(&self, id: HostId) -> Option<&Known> {
        self.known.get(id as usize)?.as_ref()
    }

    pub(crate) fn wishes(&mut self) -> Vec<Wish> {
        std::mem::take(&mut self.wishes)
    }

    /// All that it knows, in times from now: two that are alike in this go on alike. For whoever compares many of them.
    pub fn aged(&self, now: Duration) -> String {
        let left = |at: Duration| at.saturating_sub(now).as_millis();
        let told = |k: &Known| {
            format!(
                "{:?}{}{:?}{}{:?}{}",
                k.state,
                k.at,
                k.source,
                k.rev,
                k.until.map(left),
                left(k.due)
            )
        };
        let all: Vec<String> = self
            .known
            .iter()
            .map(|k| {
                k.as_ref()
                    .map_or("-".into(), |k| format!("{}{}", told(k), k.tries))
            })
            .collect();
        format!("{}{}", all.join(";"), self.out)
    }

    pub(crate) fn word(
        &mut self,
        now: Duration,
        id: HostId,
        at: SocketAddr,
        source: Source,
        age: Age,
        rev: u64,
    ) {
        let age = if planted!(self, FutureIsFresh) {
            Age::Fresh
        } else {
            age
        };
        let lasts = match trust(source, age) {
            Trust::Probe(lasts) => lasts,
            // Only discovery's own words place, and those come in by `told`.
            Trust::Place => return,
            Trust::Nothing => {
                self.dropped += 1;
                return;
            }
        };
        // The word of a better source, or of a newer list, stands; what a host answered stands above all.
        let stands = self.at(id).is_some_and(|known| {
            known.state != State::Unknown
                && (matches!(known.state, State::Answers | State::Told)
                    || (known.rev, known.source) >= (rev, source))
        });
        if stands {
            return;
        }
        // At one address stands one host: whom the better word names.
        let other = self.rival(id, at);
        if let Some(other) = other {
            let stronger = self.at(other).is_some_and(|known| {
                matches!(known.state, State::Answers | State::Told)
                    || (known.rev, known.source) >= (rev, source)
            });
            if stronger {
                self.dropped += 1;
                return;
            }
            self.input(
                now,
                other,
                Input::Gone("another host stands at its address"),
            );
        }
        self.put(now, id, at, source, rev);
        if let Some(known) = self.known[id as usize].as_mut() {
            known.until = lasts.map(|lasts| now + lasts);
        }
        self.input(now, id, Input::Word);
        let trusted = match source {
            Source::Saved => planted!(self, SavedIsTrusted),
            Source::Heard => planted!(self, HeardIsTrusted),
            _ => false,
        };
        if trusted {
            self.input(now, id, Input::Ask);
            self.input(now, id, Input::Yes);
        }
    }

    pub(crate) fn told(&mut self, now: Duration, id: HostId, at: SocketAddr, ready: bool) {
        if !ready {
            return self.input(now, id, Input::ToldGone);
        }
        if let Some(other) = self.rival(id, at) {
            self.input(
                now,
                other,
                Input::Gone("another host stands at its address"),
            );
        }
        self.put(now, id, at, Source::Told, u64::MAX);
        self.input(now, id, Input::Told);
    }

    /// Whom discovery leaves out is gone.
    pub(crate) fn only(&mut self, now: Duration, listed: &[HostId]) {
        if planted!(self, LeftOutStays) {
            return;
        }
        for id in 0..self.known.len() as HostId {
            if !listed.contains(&id) {
                self.input(now, id, Input::ToldGone);
            }
        }
    }

    /// Another host that is told of at an address.
    fn rival(&self, id: HostId, at: SocketAddr) -> Option<HostId> {
        if planted!(self, TwoAtOneAddress) {
            return None;
        }
        let there = |known: &Known| known.at == at && known.state != State::Unknown;
        (0..)
            .zip(&self.known)
            .find(|(other, known)| *other != id && known.as_ref().is_some_and(there))
            .map(|k| k.0)
    }

    fn put(&mut self, now: Duration, id: HostId, at: SocketAddr, source: Source, rev: u64) {
        if self.known.len() <= id as usize {
            self.known.resize(id as usize + 1, None);
        }
        let slot = &mut self.known[id as usize];
        let state = slot.as_ref().map_or(State::Unknown, |known| known.state);
        *slot = Some(Known {
            state,
            at,
            source,
            rev,
            until: None,
            due: now,
            tries: 0,
        });
    }

    pub(crate) fn answered(&mut self, now: Duration, id: HostId) {
        self.input(now, id, Input::Yes);
    }

    pub(crate) fn silent(&mut self, now: Duration, id: HostId) {
        self.input(
            now,
            id,
            if planted!(self, SilenceIsYes) {
                Input::Yes
            } else {
                Input::No
            },
        );
    }

    /// When the next is to be asked. While as many are asked as may be, an answer is what is waited for: a deadline that is
    /// over and stays so would be served again and again.
    pub(crate) fn due(&self, most: usize) -> Option<Duration> {
        if self.out >= most {
            return None;
        }
        let waits = |known: &&Known| matches!(known.state, State::Waiting | State::Silent);
        self.known
            .iter()
            .flatten()
            .filter(waits)
            .map(|known| known.due)
            .min()
    }

    /// Asks those that are due, of whom so many may be asked at once.
    pub(crate) fn ask(&mut self, now: Duration, most: usize) {
        for id in 0..self.known.len() as HostId {
            let Some(known) = self
                .at(id)
                .filter(|known| matches!(known.state, State::Waiting | State::Silent))
            else {
                continue;
            };
            if known.state == State::Silent && known.until.is_some_and(|until| until <= now) {
                self.input(now, id, Input::Lapsed);
            } else if known.due <= now && self.out < most {
                self.input(now, id, Input::Ask);
            }
        }
    }

    fn input(&mut self, now: Duration, id: HostId, input: Input) {
        let Some(known) = self.known.get_mut(id as usize).and_then(Option::as_mut) else {
            return;
        };
        let (state, asked) = (known.state, known.state == State::Asked);
        let next = match (state, input) {
            (State::Unknown | State::Waiting | State::Silent, Input::Word) => State::Waiting,
            (State::Waiting | State::Silent, Input::Ask) => State::Asked,
            (State::Asked, Input::Yes) => State::Answers,
            (State::Asked, Input::No) => State::Silent,
            (State::Silent, Input::Lapsed) => State::Unknown,
            (_, Input::Told) => State::Told,
            (State::Unknown, Input::Gone(_) | Input::ToldGone) => return,
            (_, Input::Gone(_) | Input::ToldGone) => State::Unknown,
            _ => return,
        };
        known.state = next;
        self.out = self.out + usize::from(next == State::Asked) - usize::from(asked);
        match (input, next) {
            (Input::Ask, _) => self.wishes.push(Wish::Ask(id)),
            (Input::Yes, _) => self.wishes.push(Wish::Use(id)),
            (Input::No, _) => {
                known.due = now + (PAUSE * (1 << known.tries.min(8))).min(LONGEST);
                known.tries += 1;
                if planted!(self, AskedOnce) {
                    self.known[id as usize]
                        .iter_mut()
                        .for_each(|known| known.due = Duration::MAX);
                }
            }
            (Input::Lapsed, _) => {
                self.dropped += 1;
                self.wishes.push(Wish::Drop(
                    id,
                    "it has not answered for as long as its word is worth",
                ));
            }
            (Input::Gone(why), _) => {
                self.dropped += 1;
                self.wishes.push(Wish::Drop(id, why));
            }
            (Input::ToldGone, _) => {
                self.dropped += 1;
                self.wishes.push(Wish::Left);
            }
            _ => {}
        }
    }
}
