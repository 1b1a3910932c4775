//! On whom sessions may be placed, by who told of a host and how long ago, and by what it answered itself.

#[cfg(feature = "injected-faults")]
use crate::injected_fault::InjectedFault;
use asterramp_injected_faults::is_injected;
use std::net::SocketAddr;
use std::time::Duration;

pub type EndpointId = u32;

/// Who told of a host. What a host answered itself is no word but evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EndpointSource {
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
pub enum InformationAge {
    Fresh,
    Old,
    /// Over a day, or nobody can say.
    Unknown,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TrustLevel {
    /// Sessions may be placed on it.
    Place,
    /// It must answer a probe first; one that does not is forgotten after so long. `None`: it is asked for ever, at the slowest
    /// pace, as nobody else would name it again.
    Probe(Option<Duration>),
    /// It is not even asked.
    Nothing,
}

const fn probe(seconds: u64) -> TrustLevel {
    TrustLevel::Probe(Some(Duration::from_secs(seconds)))
}

/// Source, age, what it is worth. A word of discovery is `Old` where its list is older than one that we had.
const TRUST: &[(EndpointSource, InformationAge, TrustLevel)] = &[
    (
        EndpointSource::Told,
        InformationAge::Fresh,
        TrustLevel::Place,
    ),
    (EndpointSource::Told, InformationAge::Old, probe(600)),
    (EndpointSource::Told, InformationAge::Unknown, probe(600)),
    (EndpointSource::Saved, InformationAge::Fresh, probe(600)),
    (EndpointSource::Saved, InformationAge::Old, probe(300)),
    (EndpointSource::Saved, InformationAge::Unknown, probe(30)),
    (
        EndpointSource::Configured,
        InformationAge::Fresh,
        TrustLevel::Probe(None),
    ),
    (
        EndpointSource::Configured,
        InformationAge::Old,
        TrustLevel::Probe(None),
    ),
    (
        EndpointSource::Configured,
        InformationAge::Unknown,
        TrustLevel::Probe(None),
    ),
    (EndpointSource::Heard, InformationAge::Fresh, probe(60)),
    (EndpointSource::Heard, InformationAge::Old, probe(10)),
    (
        EndpointSource::Heard,
        InformationAge::Unknown,
        TrustLevel::Nothing,
    ),
];

/// What a word is worth.
pub fn trust(source: EndpointSource, age: InformationAge) -> TrustLevel {
    TRUST
        .iter()
        .find(|row| (row.0, row.1) == (source, age))
        .map_or(TrustLevel::Nothing, |row| row.2)
}

/// Up to which age a word is fresh, and up to which it is old; how far two machines' clocks may be apart.
const FRESH: Duration = Duration::from_secs(300);
const OLD: Duration = Duration::from_secs(86_400);
const APART: Duration = Duration::from_secs(5);

/// How old something of `at` is, both Unix time; `None` where nobody noted when.
pub fn age(now: Duration, at: Option<Duration>) -> InformationAge {
    match at {
        Some(at) if at > now + APART => InformationAge::Unknown,
        Some(at) if now.saturating_sub(at) <= FRESH => InformationAge::Fresh,
        Some(at) if now.saturating_sub(at) <= OLD => InformationAge::Old,
        _ => InformationAge::Unknown,
    }
}

/// What is made of a host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum EndpointTrustState {
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
    Ask(EndpointId),
    Use(EndpointId),
    Drop(EndpointId, &'static str),
    /// The same by discovery's own word, which whoever drives this has heard.
    Left,
}

/// Pauses between two probes of a silent host, at first and at most.
const PAUSE: Duration = Duration::from_millis(500);
const LONGEST: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug)]
struct Known {
    state: EndpointTrustState,
    at: SocketAddr,
    source: EndpointSource,
    rev: u64,
    /// Until when it is asked for without an answer; `None` for ever.
    until: Option<Duration>,
    due: Duration,
    tries: u32,
}

/// The hosts that a start knows of.
#[derive(Clone, Debug, Default)]
pub struct EndpointTrust {
    known: Vec<Option<Known>>,
    out: usize,
    wishes: Vec<Wish>,
    /// Words that were worth nothing, and hosts that lapsed or were replaced.
    pub dropped: u64,
    #[cfg(feature = "injected-faults")]
    pub injected_fault: Option<InjectedFault>,
}

impl EndpointTrust {
    pub fn state(&self, id: EndpointId) -> EndpointTrustState {
        self.at(id)
            .map_or(EndpointTrustState::Unknown, |known| known.state)
    }

    /// How many sessions may be placed on.
    pub fn usable(&self) -> usize {
        self.count(|known| {
            matches!(
                known.state,
                EndpointTrustState::Answers | EndpointTrustState::Told
            )
        })
    }

    /// How many are told of by a source, and how many of these answer or were told of by discovery since.
    pub fn by(&self, source: EndpointSource) -> (usize, usize) {
        let of =
            |known: &Known| known.source == source && known.state != EndpointTrustState::Unknown;
        let good = |known: &Known| {
            matches!(
                known.state,
                EndpointTrustState::Answers | EndpointTrustState::Told
            )
        };
        (self.count(of), self.count(|known| of(known) && good(known)))
    }

    fn count(&self, which: impl Fn(&Known) -> bool) -> usize {
        self.known
            .iter()
            .flatten()
            .filter(|known| which(known))
            .count()
    }

    fn at(&self, id: EndpointId) -> Option<&Known> {
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
        id: EndpointId,
        at: SocketAddr,
        source: EndpointSource,
        age: InformationAge,
        rev: u64,
    ) {
        let age = if is_injected!(self, FutureIsFresh) {
            InformationAge::Fresh
        } else {
            age
        };
        let lasts = match trust(source, age) {
            TrustLevel::Probe(lasts) => lasts,
            // Only discovery's own words place, and those come in by `told`.
            TrustLevel::Place => return,
            TrustLevel::Nothing => {
                self.dropped += 1;
                return;
            }
        };
        // The word of a better source, or of a newer list, stands; what a host answered stands above all.
        let stands = self.at(id).is_some_and(|known| {
            known.state != EndpointTrustState::Unknown
                && (matches!(
                    known.state,
                    EndpointTrustState::Answers | EndpointTrustState::Told
                ) || (known.rev, known.source) >= (rev, source))
        });
        if stands {
            return;
        }
        // At one address stands one host: whom the better word names.
        let other = self.rival(id, at);
        if let Some(other) = other {
            let stronger = self.at(other).is_some_and(|known| {
                matches!(
                    known.state,
                    EndpointTrustState::Answers | EndpointTrustState::Told
                ) || (known.rev, known.source) >= (rev, source)
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
            EndpointSource::Saved => is_injected!(self, SavedIsTrusted),
            EndpointSource::Heard => is_injected!(self, HeardIsTrusted),
            _ => false,
        };
        if trusted {
            self.input(now, id, Input::Ask);
            self.input(now, id, Input::Yes);
        }
    }

    pub(crate) fn told(&mut self, now: Duration, id: EndpointId, at: SocketAddr, ready: bool) {
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
        self.put(now, id, at, EndpointSource::Told, u64::MAX);
        self.input(now, id, Input::Told);
    }

    /// Whom discovery leaves out is gone.
    pub(crate) fn only(&mut self, now: Duration, listed: &[EndpointId]) {
        if is_injected!(self, LeftOutStays) {
            return;
        }
        for id in 0..self.known.len() as EndpointId {
            if !listed.contains(&id) {
                self.input(now, id, Input::ToldGone);
            }
        }
    }

    /// Another host that is told of at an address.
    fn rival(&self, id: EndpointId, at: SocketAddr) -> Option<EndpointId> {
        if is_injected!(self, TwoAtOneAddress) {
            return None;
        }
        let there = |known: &Known| known.at == at && known.state != EndpointTrustState::Unknown;
        (0..)
            .zip(&self.known)
            .find(|(other, known)| *other != id && known.as_ref().is_some_and(there))
            .map(|k| k.0)
    }

    fn put(
        &mut self,
        now: Duration,
        id: EndpointId,
        at: SocketAddr,
        source: EndpointSource,
        rev: u64,
    ) {
        if self.known.len() <= id as usize {
            self.known.resize(id as usize + 1, None);
        }
        let slot = &mut self.known[id as usize];
        let state = slot
            .as_ref()
            .map_or(EndpointTrustState::Unknown, |known| known.state);
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

    pub(crate) fn answered(&mut self, now: Duration, id: EndpointId) {
        self.input(now, id, Input::Yes);
    }

    pub(crate) fn silent(&mut self, now: Duration, id: EndpointId) {
        self.input(
            now,
            id,
            if is_injected!(self, SilenceIsYes) {
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
        let waits = |known: &&Known| {
            matches!(
                known.state,
                EndpointTrustState::Waiting | EndpointTrustState::Silent
            )
        };
        self.known
            .iter()
            .flatten()
            .filter(waits)
            .map(|known| known.due)
            .min()
    }

    /// Asks those that are due, of whom so many may be asked at once.
    pub(crate) fn ask(&mut self, now: Duration, most: usize) {
        for id in 0..self.known.len() as EndpointId {
            let Some(known) = self.at(id).filter(|known| {
                matches!(
                    known.state,
                    EndpointTrustState::Waiting | EndpointTrustState::Silent
                )
            }) else {
                continue;
            };
            if known.state == EndpointTrustState::Silent
                && known.until.is_some_and(|until| until <= now)
            {
                self.input(now, id, Input::Lapsed);
            } else if known.due <= now && self.out < most {
                self.input(now, id, Input::Ask);
            }
        }
    }

    fn input(&mut self, now: Duration, id: EndpointId, input: Input) {
        let Some(known) = self.known.get_mut(id as usize).and_then(Option::as_mut) else {
            return;
        };
        let (state, asked) = (known.state, known.state == EndpointTrustState::Asked);
        let next = match (state, input) {
            (
                EndpointTrustState::Unknown
                | EndpointTrustState::Waiting
                | EndpointTrustState::Silent,
                Input::Word,
            ) => EndpointTrustState::Waiting,
            (EndpointTrustState::Waiting | EndpointTrustState::Silent, Input::Ask) => {
                EndpointTrustState::Asked
            }
            (EndpointTrustState::Asked, Input::Yes) => EndpointTrustState::Answers,
            (EndpointTrustState::Asked, Input::No) => EndpointTrustState::Silent,
            (EndpointTrustState::Silent, Input::Lapsed) => EndpointTrustState::Unknown,
            (_, Input::Told) => EndpointTrustState::Told,
            (EndpointTrustState::Unknown, Input::Gone(_) | Input::ToldGone) => return,
            (_, Input::Gone(_) | Input::ToldGone) => EndpointTrustState::Unknown,
            _ => return,
        };
        known.state = next;
        self.out = self.out + usize::from(next == EndpointTrustState::Asked) - usize::from(asked);
        match (input, next) {
            (Input::Ask, _) => self.wishes.push(Wish::Ask(id)),
            (Input::Yes, _) => self.wishes.push(Wish::Use(id)),
            (Input::No, _) => {
                known.due = now + (PAUSE * (1 << known.tries.min(8))).min(LONGEST);
                known.tries += 1;
                if is_injected!(self, AskedOnce) {
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
