//! Bad clients: what they send, and whether they get the error or the close that they are owed in time.

use crate::event_log::Event;
use crate::line_reader::{Line, LineReader};
use crate::testbed::Testbed;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// A bad client has its error or close within this, and one that sends much within the longer one.
const OWED: Duration = Duration::from_secs(3);
const OWED_MUCH: Duration = Duration::from_secs(6);
/// Bytes of a value that is far too large.
const MUCH: usize = 60 << 20;

/// What a sort of bad client does: what it sends, how often, and whether it closes its side then.
struct Sort {
    name: &'static str,
    text: fn(&Testbed) -> String,
    /// Filled up with so many bytes.
    much: usize,
    closes: bool,
    /// Comes again at once when it is told its end, so often.
    again: u32,
}

fn open(testbed: &Testbed, wait: &str, listener: Option<&str>) -> String {
    let scenario = &testbed.scenario;
    let listener = listener.unwrap_or(&scenario.listeners[0].name);
    let member = &scenario.members[0].name;
    format!(
        "OPEN {:016x} 1 c={listener},t={member},d={wait}\r\n",
        testbed.new_id()
    )
}

const SORTS: &[Sort] = &[
    Sort {
        name: "again at once",
        text: |_| "GET / HTTP/1.1\r\n".into(),
        much: 0,
        closes: false,
        again: 30,
    },
    Sort {
        name: "unreadable",
        text: |_| "\u{1}\u{2}HELO me\r\n".into(),
        much: 0,
        closes: false,
        again: 0,
    },
    Sort {
        name: "endless line",
        text: |_| String::new(),
        much: 1 << 20,
        closes: false,
        again: 0,
    },
    Sort {
        name: "no such listener",
        text: |w| open(w, "2000", Some("none")),
        much: 0,
        closes: false,
        again: 0,
    },
    Sort {
        name: "time no number",
        text: |w| open(w, "soon", None),
        much: 0,
        closes: false,
        again: 0,
    },
    Sort {
        name: "negative time",
        text: |w| open(w, "-5", None),
        much: 0,
        closes: false,
        again: 0,
    },
    Sort {
        name: "huge time",
        text: |w| open(w, "99999999999999999999", None),
        much: 0,
        closes: false,
        again: 0,
    },
    Sort {
        name: "no id",
        text: |_| "OPEN \r\n".into(),
        much: 0,
        closes: false,
        again: 0,
    },
    Sort {
        name: "half a line and a close",
        text: |_| "OPEN 12 3 c=".into(),
        much: 0,
        closes: true,
        again: 0,
    },
    Sort {
        name: "hundreds at once",
        text: |w| open(w, "2000", None).repeat(300),
        much: 0,
        closes: false,
        again: 0,
    },
    Sort {
        name: "says nothing",
        text: |_| String::new(),
        much: 0,
        closes: false,
        again: 0,
    },
    Sort {
        name: "sixty megabytes",
        text: |_| "OPEN 1 1 x=".into(),
        much: MUCH,
        closes: false,
        again: 0,
    },
];

/// So many of every sort, against proxies of all places in turn.
pub fn crowd(testbed: &Arc<Testbed>, count: u32) {
    for nth in 0..count {
        for sort in SORTS {
            // One value of that size is enough for a sitting.
            if sort.much == MUCH && nth > 0 {
                continue;
            }
            let testbed = testbed.clone();
            tokio::spawn(async move {
                let place = nth as usize % testbed.scenario.places.len();
                let Some((_, at)) = testbed.front.pick(place as u8, u64::from(nth)) else {
                    return;
                };
                let limit = if sort.much == MUCH { OWED_MUCH } else { OWED };
                for _ in 0..=sort.again {
                    let Ok(stream) = TcpStream::connect(at).await else {
                        return;
                    };
                    let told = timeout(limit, behave(&testbed, sort, stream)).await;
                    let (owed, served) = (told.is_ok(), told == Ok(Some(true)));
                    testbed.event_log.put(Event::MisbehavingClient {
                        sort: sort.name,
                        owed,
                        served,
                    });
                }
            });
        }
    }
}

/// `Some(true)` if it was served; returns once it was told its end.
async fn behave(testbed: &Testbed, sort: &Sort, stream: TcpStream) -> Option<bool> {
    let text = (sort.text)(testbed);
    let (read, mut write) = stream.into_split();
    let closes = sort.closes;
    let much = sort.much;
    // It reads what it is sent while it sends.
    let sends = tokio::spawn(async move {
        let mut sent = write.write_all(text.as_bytes()).await;
        let block = [b'x'; 1 << 14];
        let mut left = much;
        while left > 0 && sent.is_ok() {
            let n = left.min(block.len());
            sent = write.write_all(&block[..n]).await;
            left -= n;
        }
        if closes {
            let _ = write.shutdown().await;
        }
        write
    });
    let line = LineReader::new(read).next().await;
    sends.abort();
    match line {
        Line::Text(line) if line.starts_with("UP ") => Some(true),
        Line::Text(line) if line.starts_with("ERR") || line.starts_with("BUSY") => Some(false),
        Line::Fin | Line::Reset => Some(false),
        Line::Text(_) | Line::Bad => None,
    }
}
