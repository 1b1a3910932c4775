//! Misbehaving clients: what they send, and whether they get the error or the close that they are owed in time.

use crate::context::RunContext;
use crate::event_log::Event;
use crate::front::Front;
use crate::line_reader::{Line, LineReader};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::time::timeout;

/// Within this a misbehaving client has its error or close.
const REPLY_LIMIT: Duration = Duration::from_secs(3);
/// The same for one that sends [`HUGE_VALUE`].
const HUGE_VALUE_REPLY_LIMIT: Duration = Duration::from_secs(6);
/// Bytes of a value that is far too large.
const HUGE_VALUE: usize = 60 << 20;
/// Bytes of a line that never ends.
const ENDLESS_LINE: usize = 1 << 20;
/// Bytes that are sent at once to fill a line up.
const BLOCK_BYTES: usize = 1 << 14;
/// How often one that comes again at once does so.
const RECONNECTS: u32 = 30;
/// How many sessions are asked for at once.
const SESSIONS_AT_ONCE: usize = 300;
/// How long a session's client says that it waits, in milliseconds.
const USUAL_WAIT: &str = "2000";

/// A sort of misbehaving client.
struct Misbehaviour {
    /// What records and reports call it.
    name: &'static str,
    /// What it sends first.
    text: fn(&RunContext) -> String,
    /// How many bytes it sends behind that.
    padding: usize,
    /// It closes its side after that.
    closes: bool,
    /// How often it comes again at once when its connection has ended.
    reconnects: u32,
}

impl Misbehaviour {
    /// One that sends a text, once.
    const fn sending(name: &'static str, text: fn(&RunContext) -> String) -> Misbehaviour {
        Misbehaviour {
            name,
            text,
            padding: 0,
            closes: false,
            reconnects: 0,
        }
    }

    fn is_huge(&self) -> bool {
        self.padding == HUGE_VALUE
    }
}

const SORTS: &[Misbehaviour] = &[
    Misbehaviour {
        reconnects: RECONNECTS,
        ..Misbehaviour::sending("again at once", |_| "GET / HTTP/1.1\r\n".into())
    },
    Misbehaviour::sending("unreadable", |_| "\u{1}\u{2}HELO me\r\n".into()),
    Misbehaviour {
        padding: ENDLESS_LINE,
        ..Misbehaviour::sending("endless line", |_| String::new())
    },
    Misbehaviour::sending("no such listener", |context| {
        open_line(context, USUAL_WAIT, Some("none"))
    }),
    Misbehaviour::sending("time no number", |context| open_line(context, "soon", None)),
    Misbehaviour::sending("negative time", |context| open_line(context, "-5", None)),
    Misbehaviour::sending("huge time", |context| {
        open_line(context, "99999999999999999999", None)
    }),
    Misbehaviour::sending("no id", |_| "OPEN \r\n".into()),
    Misbehaviour {
        closes: true,
        ..Misbehaviour::sending("half a line and a close", |_| "OPEN 12 3 c=".into())
    },
    Misbehaviour::sending("hundreds at once", |context| {
        open_line(context, USUAL_WAIT, None).repeat(SESSIONS_AT_ONCE)
    }),
    Misbehaviour::sending("says nothing", |_| String::new()),
    Misbehaviour {
        padding: HUGE_VALUE,
        ..Misbehaviour::sending("sixty megabytes", |_| "OPEN 1 1 x=".into())
    },
];

/// A session's first line, with any text for the time that its client waits.
fn open_line(context: &RunContext, wait: &str, listener: Option<&str>) -> String {
    let scenario = &context.scenario;
    let listener = listener.unwrap_or(&scenario.listeners[0].name);
    let member = &scenario.tenants[0].name;
    let session = context.new_session_id();
    format!("OPEN {session:016x} 1 c={listener},t={member},d={wait}\r\n")
}

/// Starts so many clients of every sort, against proxies of all zones in turn.
pub fn start(context: &Arc<RunContext>, front: &Arc<Front>, count: u32) {
    for nth in 0..count {
        for sort in SORTS {
            // One value of that size is enough for a run.
            if sort.is_huge() && nth > 0 {
                continue;
            }
            tokio::spawn(run_client(context.clone(), front.clone(), sort, nth));
        }
    }
}

/// Plays one client, and records for each of its connections whether it got what it is owed.
async fn run_client(
    context: Arc<RunContext>,
    front: Arc<Front>,
    sort: &'static Misbehaviour,
    nth: u32,
) {
    let place = nth as usize % context.scenario.zones.len();
    let Some(proxy) = front.pick(place as u8, u64::from(nth)) else {
        return;
    };
    let limit = if sort.is_huge() {
        HUGE_VALUE_REPLY_LIMIT
    } else {
        REPLY_LIMIT
    };
    for _ in 0..=sort.reconnects {
        let Ok(stream) = TcpStream::connect(proxy.address).await else {
            return;
        };
        let reply = timeout(limit, misbehave(&context, sort, stream)).await;
        context.event_log.record(Event::MisbehavingClient {
            sort: sort.name,
            owed: reply.is_ok(),
            served: reply == Ok(Reply::Served),
        });
    }
}

/// What a misbehaving client got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reply {
    Served,
    RejectedOrClosed,
    /// Something else.
    Other,
}

/// Sends what a sort sends, and returns the first answer to it.
async fn misbehave(context: &RunContext, sort: &Misbehaviour, stream: TcpStream) -> Reply {
    let text = (sort.text)(context);
    let (read, write) = stream.into_split();
    // It reads what it is sent while it sends.
    let sending = tokio::spawn(send(write, text, sort.padding, sort.closes));
    let line = LineReader::new(read).next().await;
    sending.abort();
    match line {
        Line::Text(line) if line.starts_with("UP ") => Reply::Served,
        Line::Text(line) if line.starts_with("ERR") || line.starts_with("BUSY") => {
            Reply::RejectedOrClosed
        }
        Line::Fin | Line::Reset => Reply::RejectedOrClosed,
        Line::Text(_) | Line::Invalid => Reply::Other,
    }
}

/// Sends a text and so many bytes more, and closes its side or keeps it open.
async fn send(
    mut write: OwnedWriteHalf,
    text: String,
    padding: usize,
    closes: bool,
) -> OwnedWriteHalf {
    let mut sent = write.write_all(text.as_bytes()).await;
    let block = [b'x'; BLOCK_BYTES];
    let mut left = padding;
    while left > 0 && sent.is_ok() {
        let count = left.min(block.len());
        sent = write.write_all(&block[..count]).await;
        left -= count;
    }
    if closes {
        let _ = write.shutdown().await;
    }
    write
}
