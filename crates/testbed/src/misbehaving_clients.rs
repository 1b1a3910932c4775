//! Misbehaving clients: they send invalid, oversized or excessive requests, and record whether the proxy reacted in
//! time and whether it served them.

use crate::context::RunContext;
use crate::event_log::Event;
use crate::front_balancer::FrontBalancer;
use crate::line_reader::{Line, LineReader};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::time::timeout;

/// How long the proxy may take to answer a misbehaving client or to close its connection.
const REPLY_TIMEOUT: Duration = Duration::from_secs(3);
/// How long the proxy may take for a client that sends [`HUGE_VALUE_BYTES`], which take time to read.
const HUGE_VALUE_REPLY_TIMEOUT: Duration = Duration::from_secs(6);
/// Size of a field value that is far too large.
const HUGE_VALUE_BYTES: usize = 60 << 20;
/// Bytes that are sent for a line without an end, far above the longest line of the protocol.
const ENDLESS_LINE_BYTES: usize = 1 << 20;
/// Bytes of padding that are written at once.
const BLOCK_BYTES: usize = 1 << 14;
/// How often a client that reconnects without a pause does so.
const IMMEDIATE_RECONNECTS: u32 = 30;
/// How many sessions a client requests over one connection at once.
const SESSIONS_PER_CONNECTION: usize = 300;
/// A valid value of the field `d` of an `OPEN` line, the client's wait in milliseconds.
const VALID_WAIT_MS: &str = "2000";

/// A kind of misbehaving client.
struct Misbehaviour {
    /// Name in the event log and in reports.
    name: &'static str,
    /// The text that it sends first.
    text: fn(&RunContext) -> String,
    /// Number of padding bytes that it sends after the text.
    padding: usize,
    /// Whether it then closes its side of the connection.
    closes: bool,
    /// How often it reconnects without a pause after its connection has ended.
    reconnects: u32,
}

impl Misbehaviour {
    /// A client that sends a text over one connection.
    const fn sending(name: &'static str, text: fn(&RunContext) -> String) -> Misbehaviour {
        Misbehaviour {
            name,
            text,
            padding: 0,
            closes: false,
            reconnects: 0,
        }
    }

    fn sends_huge_value(&self) -> bool {
        self.padding == HUGE_VALUE_BYTES
    }
}

/// All kinds of misbehaving clients.
const MISBEHAVIOURS: &[Misbehaviour] = &[
    Misbehaviour {
        reconnects: IMMEDIATE_RECONNECTS,
        ..Misbehaviour::sending("again at once", |_| "GET / HTTP/1.1\r\n".into())
    },
    Misbehaviour::sending("unreadable", |_| "\u{1}\u{2}HELO me\r\n".into()),
    Misbehaviour {
        padding: ENDLESS_LINE_BYTES,
        ..Misbehaviour::sending("endless line", |_| String::new())
    },
    Misbehaviour::sending("no such listener", |context| {
        open_line(context, VALID_WAIT_MS, Some("none"))
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
        open_line(context, VALID_WAIT_MS, None).repeat(SESSIONS_PER_CONNECTION)
    }),
    Misbehaviour::sending("says nothing", |_| String::new()),
    Misbehaviour {
        padding: HUGE_VALUE_BYTES,
        ..Misbehaviour::sending("sixty megabytes", |_| "OPEN 1 1 x=".into())
    },
];

/// An `OPEN` line with any text as the client's wait; `listener` is that of the first listener if `None`.
fn open_line(context: &RunContext, wait: &str, listener: Option<&str>) -> String {
    let scenario = &context.scenario;
    let listener = listener.unwrap_or(&scenario.listeners[0].name);
    let tenant = &scenario.tenants[0].name;
    let session = context.new_session_id();
    format!("OPEN {session:016x} 1 c={listener},t={tenant},d={wait}\r\n")
}

/// Starts `count` clients of each kind, against proxies of all zones in turn.
pub fn start(context: &Arc<RunContext>, front: &Arc<FrontBalancer>, count: u32) {
    for nth in 0..count {
        for misbehaviour in MISBEHAVIOURS {
            // One value of that size per run is enough.
            if misbehaviour.sends_huge_value() && nth > 0 {
                continue;
            }
            tokio::spawn(run_client(
                context.clone(),
                front.clone(),
                misbehaviour,
                nth,
            ));
        }
    }
}

/// Runs one client, and records for each of its connections whether the proxy reacted in time, and whether it served
/// the request.
async fn run_client(
    context: Arc<RunContext>,
    front: Arc<FrontBalancer>,
    misbehaviour: &'static Misbehaviour,
    nth: u32,
) {
    let zone = nth as usize % context.scenario.zones.len();
    let Some(proxy) = front.select_proxy(zone as u8, u64::from(nth)) else {
        return;
    };
    let reply_timeout = if misbehaviour.sends_huge_value() {
        HUGE_VALUE_REPLY_TIMEOUT
    } else {
        REPLY_TIMEOUT
    };
    for _ in 0..=misbehaviour.reconnects {
        let Ok(stream) = TcpStream::connect(proxy.address).await else {
            return;
        };
        let reply = timeout(
            reply_timeout,
            send_misbehaving_request(&context, misbehaviour, stream),
        )
        .await;
        context.event_log.record(Event::MisbehavingClient {
            sort: misbehaviour.name,
            owed: reply.is_ok(),
            served: reply == Ok(Reply::Served),
        });
    }
}

/// The proxy's reaction to a misbehaving client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reply {
    /// `UP`: the request was served.
    Served,
    /// `ERR`, `BUSY` or the end of the connection.
    RejectedOrClosed,
    /// Any other line.
    Other,
}

/// Sends a client's text and padding, and returns the first reaction to it.
async fn send_misbehaving_request(
    context: &RunContext,
    misbehaviour: &Misbehaviour,
    stream: TcpStream,
) -> Reply {
    let text = (misbehaviour.text)(context);
    let (read, write) = stream.into_split();
    // The proxy may answer before everything is sent.
    let sending = tokio::spawn(send(write, text, misbehaviour.padding, misbehaviour.closes));
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

/// Sends a text and `padding` further bytes, and shuts the write side down if `closes`. The caller keeps the returned
/// side open for as long as it needs.
async fn send(
    mut write: OwnedWriteHalf,
    text: String,
    padding: usize,
    closes: bool,
) -> OwnedWriteHalf {
    let mut sent = write.write_all(text.as_bytes()).await;
    let block = [b'x'; BLOCK_BYTES];
    let mut remaining = padding;
    while remaining > 0 && sent.is_ok() {
        let count = remaining.min(block.len());
        sent = write.write_all(&block[..count]).await;
        remaining -= count;
    }
    if closes {
        let _ = write.shutdown().await;
    }
    write
}
