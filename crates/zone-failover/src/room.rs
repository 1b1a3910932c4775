//! How much room the survivors of a lost place have, for one proxy of many that do not talk.

use std::time::Duration;

/// What a ready server last said of itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerCapacity {
    /// Load asked over what it can do.
    pub asked: f64,
    pub connections: f64,
    /// How long ago.
    pub age: Duration,
}

/// Share of a server up to which room is counted: above it those who stand there are served late.
const FULL: f64 = 0.85;
/// How old a word may be to count.
const OLD: Duration = Duration::from_secs(5);
/// Words by which anything can be said of all.
const FEW: usize = 2;
/// How long a set-up takes to show in reports.
const SHOWS: f64 = 1.5;
/// How often room is given out in that time: clients come unevenly, so most proxies leave their part unused.
const OFTEN: f64 = 3.0;

/// Set-ups a second that one of `proxies` may make, if all make as many: its part of the room that `ready` servers have,
/// those that were heard of late standing for all. `None` where too few were.
///
/// It assumes that servers which this proxy does not ask have as much room on average as those that it does, and that
/// others get as many clients. It is given out three times over, as clients come unevenly and most parts go unused: where they
/// come evenly, survivors are sent three times their room in the time in which that shows, and no more after it.
pub fn pace(
    words: impl Iterator<Item = ServerCapacity>,
    ready: usize,
    proxies: u32,
) -> Option<f64> {
    let mut rooms = (0, 0.0);
    let mut units = (0.0, 0.0);
    for word in words.filter(|word| word.age <= OLD && word.asked.is_finite()) {
        rooms = (rooms.0 + 1, rooms.1 + (FULL - word.asked).max(0.0));
        if word.connections >= 1.0 {
            units = (units.0 + 1.0, units.1 + word.asked / word.connections);
        }
    }
    let known = rooms.0 >= FEW && units.1 > 0.0;
    let mean = rooms.1 / f64::from(rooms.0.max(1) as u32);
    let connections = mean * ready as f64 * units.0 / units.1;
    known.then(|| connections / f64::from(proxies.max(1)) * OFTEN / SHOWS)
}
