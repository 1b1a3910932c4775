//! Two processes of one proxy and the link between them, in every order of what either does and of their deaths. Who
//! may touch a connection is decided by `asterramp_hot_restart::Side`, the code that serves; the rest is a model of it.

use asterramp_hot_restart::{
    ConnectionOwnership, Delivery, HotRestartEffect, HotRestartInput, HotRestartState, OFFERED,
};
use std::collections::hash_map::Entry;
use std::collections::{HashMap, VecDeque};

/// Connections that stand when the younger comes: one more than the link holds offers of.
const CONNECTIONS: u8 = 3;
const ALL: u8 = (1 << CONNECTIONS) - 1;
/// Messages that the link holds one way before its sender is told that it is full.
const LINK: usize = 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Word {
    Offer(u8),
    Kept,
    Taken,
    /// What makes no sense to who reads it.
    Nonsense,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    Offers,
    ElderReads,
    YoungerReads,
    /// A younger of another build says what makes no sense.
    YoungerBabbles,
    /// An elder of another build does.
    ElderBabbles,
    ElderDies,
    YoungerDies,
}

const STEPS: [Step; 7] = [
    Step::Offers,
    Step::ElderReads,
    Step::YoungerReads,
    Step::YoungerBabbles,
    Step::ElderBabbles,
    Step::ElderDies,
    Step::YoungerDies,
];

#[derive(Clone, Debug)]
struct Process {
    side: ConnectionOwnership<u8, u8>,
    lives: bool,
    linked: bool,
    /// What it reads from and writes to: bit by connection.
    touches: u8,
    /// What it holds a descriptor of.
    holds: u8,
    inbox: VecDeque<Word>,
}

#[derive(Clone, Debug)]
struct World {
    elder: Process,
    younger: Process,
    /// Said to be taken by one that then died, or known to both as the dead one's.
    gone_with: u8,
    babbles: u8,
}

/// Connections as bits.
fn bits(of: impl IntoIterator<Item = u8>) -> u8 {
    of.into_iter().fold(0, |bits, n| bits | 1 << n)
}

impl Process {
    fn new(stage: HotRestartState, all: u8) -> Process {
        let side = ConnectionOwnership::new(stage);
        Process {
            side,
            lives: true,
            linked: true,
            touches: all,
            holds: all,
            inbox: VecDeque::new(),
        }
    }

    fn says(&self, to: &mut Process, word: Word) -> Delivery {
        if !to.linked {
            return Delivery::Gone;
        }
        if to.inbox.len() >= LINK {
            return Delivery::Full;
        }
        to.inbox.push_back(word);
        Delivery::Yes
    }

    fn dies(&mut self) {
        (self.lives, self.linked, self.touches, self.holds) = (false, false, 0, 0);
        self.inbox.clear();
    }
}

impl World {
    fn new() -> World {
        let (elder, younger) = (
            Process::new(HotRestartState::Handing, ALL),
            Process::new(HotRestartState::Taking, 0),
        );
        World {
            elder,
            younger,
            gone_with: 0,
            babbles: 1,
        }
    }

    fn key(&self) -> String {
        format!("{self:?}")
    }

    fn may(&self, step: Step) -> bool {
        let (elder, younger) = (&self.elder, &self.younger);
        let hands = elder.lives && elder.linked && elder.side.stage == HotRestartState::Handing;
        match step {
            Step::Offers => hands && elder.touches != 0 && elder.side.room() > 0,
            // An end is read as well, once what was said before it is.
            Step::ElderReads => {
                elder.lives && elder.linked && (!elder.inbox.is_empty() || !younger.linked)
            }
            Step::YoungerReads => {
                younger.lives && younger.linked && (!younger.inbox.is_empty() || !elder.linked)
            }
            Step::YoungerBabbles => {
                self.babbles > 0 && younger.lives && younger.linked && elder.linked
            }
            Step::ElderBabbles => self.babbles > 0 && elder.lives && elder.linked && younger.linked,
            Step::ElderDies => elder.lives,
            Step::YoungerDies => younger.lives,
        }
    }

    fn make(&mut self, step: Step) {
        let World {
            elder,
            younger,
            gone_with,
            babbles,
        } = self;
        match step {
            Step::Offers => {
                let n = elder.touches.trailing_zeros() as u8;
                if elder.says(younger, Word::Offer(n)) == Delivery::Yes {
                    elder.touches &= !bits([n]);
                    elder.side.offered(n);
                }
            }
            Step::ElderReads => {
                let input = match elder.inbox.pop_front() {
                    Some(Word::Taken) => HotRestartInput::Taken,
                    Some(_) => HotRestartInput::Broke,
                    None => HotRestartInput::Over,
                };
                match elder.side.stage.step(input) {
                    HotRestartEffect::DropOffer => {
                        elder.holds &= !bits(elder.side.dropped());
                    }
                    act => {
                        // What was taken before is heard still, and nothing after.
                        elder.linked = false;
                        for _ in elder.inbox.drain(..).filter(|word| *word == Word::Taken) {
                            elder.holds &= !bits(elder.side.dropped());
                        }
                        let told = if act == HotRestartEffect::KeepOn {
                            elder.says(younger, Word::Kept)
                        } else {
                            Delivery::Gone
                        };
                        let (kept, dropped) = elder.side.parted(told);
                        elder.touches |= bits(kept);
                        elder.holds &= !bits(dropped);
                    }
                }
            }
            Step::YoungerReads => {
                let input = match younger.inbox.pop_front() {
                    Some(Word::Offer(n)) => {
                        let told = younger.says(elder, Word::Taken);
                        match younger.side.read(n, told) {
                            Ok(found) => {
                                younger.holds |= bits([n]);
                                younger.touches |= bits(found);
                                HotRestartInput::Offered
                            }
                            Err(_) => HotRestartInput::Broke,
                        }
                    }
                    Some(Word::Kept) => HotRestartInput::Kept,
                    Some(_) => HotRestartInput::Broke,
                    None => HotRestartInput::Over,
                };
                let act = younger.side.stage.step(input);
                if act == HotRestartEffect::Adopt {
                    return;
                }
                let untold = bits(younger.side.untold());
                if act == HotRestartEffect::Inherit {
                    younger.touches |= untold;
                } else {
                    younger.holds &= !untold;
                }
                if act != HotRestartEffect::Leave {
                    younger.linked = false;
                    younger.inbox.clear();
                }
            }
            Step::YoungerBabbles => {
                *babbles -= 1;
                let _ = younger.says(elder, Word::Nonsense);
            }
            Step::ElderBabbles => {
                *babbles -= 1;
                let _ = elder.says(younger, Word::Nonsense);
            }
            Step::ElderDies => {
                *gone_with |= elder.touches;
                elder.dies();
            }
            Step::YoungerDies => {
                // What the elder has let go was the younger's, read or not.
                *gone_with |= younger.touches | !elder.holds;
                younger.dies();
            }
        }
        // What was under way dies with the elder too, if nobody is left who may read it.
        if !elder.lives && !younger.linked {
            *gone_with |= !younger.touches;
        }
    }

    /// What must hold after each step.
    fn broken(&self) -> Option<String> {
        let (elder, younger) = (&self.elder, &self.younger);
        let both = elder.touches & younger.touches;
        if both != 0 {
            return Some(format!("both touch connections {both:#b}"));
        }
        let unheld = (elder.touches & !elder.holds) | (younger.touches & !younger.holds);
        (unheld != 0).then(|| format!("connections {unheld:#b} are touched and not held"))
    }

    /// What must hold where nothing is left to do: whatever did not die with its owner is somebody's who lives.
    fn lost(&self) -> Option<String> {
        let quiet = [Step::Offers, Step::ElderReads, Step::YoungerReads]
            .iter()
            .all(|step| !self.may(*step));
        let lost = ALL & !(self.elder.touches | self.younger.touches | self.gone_with);
        let anyone = self.elder.lives || self.younger.lives;
        (quiet && anyone && lost != 0).then(|| format!("connections {lost:#b} are nobody's"))
    }
}

#[derive(Clone, Debug, Default)]
pub struct Explored {
    pub states: usize,
    pub steps: usize,
    pub depth: usize,
    /// What broke, and the shortest way there.
    pub found: Option<(String, Vec<Step>)>,
}

/// Plays all orders, breadth first.
pub fn explore() -> Explored {
    const { assert!(CONNECTIONS as usize <= OFFERED) };
    let mut explored = Explored::default();
    let mut seen: HashMap<String, Vec<Step>> = HashMap::new();
    let mut level = vec![World::new()];
    seen.insert(level[0].key(), Vec::new());
    while !level.is_empty() {
        let mut next = Vec::new();
        for world in &level {
            let way = seen[&world.key()].clone();
            if let Some(what) = world.broken().or_else(|| world.lost()) {
                explored.found = Some((what, way));
                return explored;
            }
            for step in STEPS.into_iter().filter(|step| world.may(*step)) {
                explored.steps += 1;
                let mut after = world.clone();
                after.make(step);
                if let Entry::Vacant(place) = seen.entry(after.key()) {
                    place.insert(way.iter().copied().chain([step]).collect());
                    next.push(after);
                }
            }
        }
        explored.states += level.len();
        explored.depth += usize::from(!next.is_empty());
        level = next;
    }
    explored
}
