//! What may happen next, in the words of the pages, written and read.

use std::fmt;
use std::str::FromStr;

/// What a host says first, or what becomes of its probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Word {
    Up,
    Busy,
    Err,
    Move,
    Ok,
    Full,
    Silent,
    Refused,
}

const WORDS: [(Word, &str); 8] = [
    (Word::Up, "up"),
    (Word::Busy, "busy"),
    (Word::Err, "err"),
    (Word::Move, "move"),
    (Word::Ok, "ok"),
    (Word::Full, "full"),
    (Word::Silent, "silent"),
    (Word::Refused, "refused"),
];

/// What the roster tells of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Told {
    Ready,
    Draining,
    Gone,
    /// Started anew, so cold.
    Restarted,
    /// Gone, and another uid stands at its endpoint.
    Replaced,
}

const TOLD: [(Told, &str); 5] = [
    (Told::Ready, "ready"),
    (Told::Draining, "draining"),
    (Told::Gone, "gone"),
    (Told::Restarted, "restarted"),
    (Told::Replaced, "replaced"),
];

/// One step. Sessions and hosts are numbered from 0; a session's host is that of its present dial.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// The first line of a session's client.
    Arrives(u8),
    /// The dial's connection is up; was refused or never came up; there was no socket for it.
    Connected(u8),
    Refused(u8),
    NoSocket(u8),
    /// The line's last byte is written.
    Written(u8),
    /// The host's first line.
    Says(u8, Word),
    /// The host ends the connection.
    HostEnds(u8),
    /// The client ends its side, or speaks before it is answered.
    Leaves(u8),
    Speaks(u8),
    /// The client ends its side, and the event of it is yet to come: who looks finds it.
    LeavesUnseen(u8),
    Told(u8, Told),
    /// A probe of a host ends.
    Probe(u8, Word),
    /// The clock goes on to the next deadline, and that falls due.
    Due,
    /// A word of a connection that was closed in the same turn.
    Stale(u8),
    Sigterm,
    /// An operator drains the proxy, or takes it back.
    Drain,
    Undrain,
}

/// A step and what chance does in it: the first or the second of what it may.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Move {
    pub step: Step,
    pub chance: u8,
}

fn name<T: PartialEq + Copy>(all: &[(T, &'static str)], of: T) -> &'static str {
    all.iter()
        .find(|pair| pair.0 == of)
        .map_or("?", |pair| pair.1)
}

fn find<T: Copy>(all: &[(T, &'static str)], word: &str) -> Option<T> {
    all.iter().find(|pair| pair.1 == word).map(|pair| pair.0)
}

impl fmt::Display for Move {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self.step {
            Step::Arrives(s) => write!(f, "session {s} arrives"),
            Step::Connected(s) => write!(f, "session {s} dial connected"),
            Step::Refused(s) => write!(f, "session {s} dial refused"),
            Step::NoSocket(s) => write!(f, "session {s} dial without socket"),
            Step::Written(s) => write!(f, "session {s} line written"),
            Step::Says(s, word) => write!(f, "session {s} host says {}", name(&WORDS, word)),
            Step::HostEnds(s) => write!(f, "session {s} host ends"),
            Step::Leaves(s) => write!(f, "session {s} client leaves"),
            Step::Speaks(s) => write!(f, "session {s} client speaks"),
            Step::LeavesUnseen(s) => write!(f, "session {s} client leaves unseen"),
            Step::Stale(s) => write!(f, "session {s} closed connection wakes"),
            Step::Told(h, told) => write!(f, "host {h} told {}", name(&TOLD, told)),
            Step::Probe(h, word) => write!(f, "host {h} probe {}", name(&WORDS, word)),
            Step::Due => f.write_str("next deadline"),
            Step::Sigterm => f.write_str("SIGTERM"),
            Step::Drain => f.write_str("operator drains"),
            Step::Undrain => f.write_str("operator undrains"),
        }?;
        if self.chance > 0 {
            write!(f, " ~{}", self.chance)
        } else {
            Ok(())
        }
    }
}

impl FromStr for Move {
    type Err = String;

    fn from_str(text: &str) -> Result<Move, String> {
        let wrong = || format!("{text:?} is no step");
        let (rest, chance) = match text.split_once(" ~") {
            Some((rest, chance)) => (rest, chance.parse().map_err(|_| wrong())?),
            None => (text, 0),
        };
        let words: Vec<&str> = rest.split(' ').collect();
        let step = match words[..] {
            ["next", "deadline"] => Some(Step::Due),
            ["SIGTERM"] => Some(Step::Sigterm),
            ["operator", "drains"] => Some(Step::Drain),
            ["operator", "undrains"] => Some(Step::Undrain),
            ["session", s, ref rest @ ..] => {
                let s = s.parse().map_err(|_| wrong())?;
                match *rest {
                    ["arrives"] => Some(Step::Arrives(s)),
                    ["dial", "connected"] => Some(Step::Connected(s)),
                    ["dial", "refused"] => Some(Step::Refused(s)),
                    ["dial", "without", "socket"] => Some(Step::NoSocket(s)),
                    ["line", "written"] => Some(Step::Written(s)),
                    ["host", "says", word] => find(&WORDS, word).map(|word| Step::Says(s, word)),
                    ["host", "ends"] => Some(Step::HostEnds(s)),
                    ["client", "leaves"] => Some(Step::Leaves(s)),
                    ["client", "speaks"] => Some(Step::Speaks(s)),
                    ["client", "leaves", "unseen"] => Some(Step::LeavesUnseen(s)),
                    ["closed", "connection", "wakes"] => Some(Step::Stale(s)),
                    _ => None,
                }
            }
            ["host", h, what, word] => {
                let h = h.parse().map_err(|_| wrong())?;
                match what {
                    "told" => find(&TOLD, word).map(|told| Step::Told(h, told)),
                    "probe" => find(&WORDS, word).map(|word| Step::Probe(h, word)),
                    _ => None,
                }
            }
            _ => None,
        };
        step.map(|step| Move { step, chance }).ok_or_else(wrong)
    }
}
