//! What one connection, or one after the other, sends at full speed.

use crate::steady_client::request_line;
use crate::support::{ProxyHarness, endpoint_json, http_call, list_line};
use asterramp_admin_protocol::MAX_REPLY_BYTES;
use asterramp_proxy::transport::seqpacket;
use rustix::fd::OwnedFd;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::{Duration, Instant};

/// How long a flood lasts.
const FLOOD_TIME: Duration = Duration::from_millis(1_500);
/// Servers in each list of a flood of lists.
pub(crate) const LISTED_SERVERS: usize = 300;
/// Length of a zone's name in a flood of new names, in bytes.
const LONG_NAME_BYTES: usize = 500_000;

/// Whether the sender reads what it is sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Answers {
    Read,
    Unread,
}

/// Repeats an action until the time of a flood is over; returns the sum of what it returns, how much it has sent.
fn repeat(mut action: impl FnMut() -> usize) -> usize {
    let end = Instant::now() + FLOOD_TIME;
    let mut sent = 0;
    while Instant::now() < end {
        sent += action();
    }
    sent
}

/// A connection on which lines are sent one after the other, as fast as the other side takes them.
struct FullSpeed<S> {
    stream: S,
    /// The lines to send, over and over.
    lines: Vec<u8>,
    /// How many bytes of `lines` are sent since they last began anew.
    sent: usize,
}

/// What one exchange on a connection came to.
struct Exchange {
    written: usize,
    read: usize,
    is_open: bool,
}

impl<S: Read + Write> FullSpeed<S> {
    fn new(stream: S, lines: Vec<u8>) -> FullSpeed<S> {
        FullSpeed {
            stream,
            lines,
            sent: 0,
        }
    }

    /// Writes what is taken, and reads what has come.
    fn exchange(&mut self, answers: Answers) -> Exchange {
        let mut exchange = Exchange {
            written: 0,
            read: 0,
            is_open: true,
        };
        match self.stream.write(&self.lines[self.sent..]) {
            Ok(written) => {
                exchange.written = written;
                self.sent = (self.sent + written) % self.lines.len();
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                std::thread::sleep(Duration::from_micros(100));
            }
            Err(_) => exchange.is_open = false,
        }
        if answers == Answers::Unread {
            return exchange;
        }
        match self.stream.read(&mut [0; 65_536]) {
            Ok(0) => exchange.is_open = false,
            Ok(read) => exchange.read = read,
            Err(error) => exchange.is_open &= error.kind() == ErrorKind::WouldBlock,
        }
        exchange
    }
}

/// Connects to a proxy. `first`, if it is not empty, requests a session; `None` if that is not opened.
fn connect(address: SocketAddr, first: &str) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(address).ok()?;
    if !first.is_empty() {
        stream.write_all(first.as_bytes()).ok()?;
        let mut answer = [0; 64];
        let length = stream.read(&mut answer).ok()?;
        if !answer[..length].starts_with(b"UP ") {
            return None;
        }
    }
    stream.set_nonblocking(true).ok()?;
    Some(stream)
}

/// Sends a line on one connection at full speed, and connects anew whenever that ends. `first` makes the first line of each
/// connection, if it is to have one. Returns how many lines were taken.
pub(crate) fn flood_one_connection(
    address: SocketAddr,
    first: impl Fn() -> String,
    line: &str,
    answers: Answers,
) -> usize {
    let lines = line.repeat(8_192 / line.len() + 1).into_bytes();
    let mut connection: Option<FullSpeed<TcpStream>> = None;
    let written = repeat(|| {
        let next = connection.take().or_else(|| {
            let stream = connect(address, &first())?;
            Some(FullSpeed::new(stream, lines.clone()))
        });
        let Some(mut next) = next else {
            return 0;
        };
        let exchange = next.exchange(answers);
        connection = Some(next).filter(|_| exchange.is_open);
        exchange.written
    });
    written / line.len()
}

/// What came of the sessions with a server that sends at full speed.
pub(crate) struct ServerFlood {
    /// Bytes that came after the answers to the requests, or with them beyond the first 64.
    bytes: usize,
    /// Open sessions that the proxy ended.
    ended_sessions: usize,
}

impl ServerFlood {
    /// How many lines of this text came through to the client.
    pub(crate) fn lines_passed_on(&self, line: &str) -> usize {
        self.bytes / line.len()
    }

    /// How many unsound lines the proxy read: the first of each session ends it.
    pub(crate) fn unsound_lines(&self) -> usize {
        self.ended_sessions
    }
}

/// Requests sessions of the listener whose server sends at full speed, one after the other, and reads all that comes.
pub(crate) fn read_from_flooding_server(address: SocketAddr) -> ServerFlood {
    let mut stream: Option<TcpStream> = None;
    let mut ended_sessions = 0;
    let bytes = repeat(|| {
        let next = stream
            .take()
            .or_else(|| connect(address, &request_line().replace("c=feed", "c=order")));
        let Some(mut next) = next else {
            return 0;
        };
        match next.read(&mut [0; 65_536]) {
            Ok(0) => {
                ended_sessions += 1;
                0
            }
            Ok(read) => {
                stream = Some(next);
                read
            }
            Err(error) => {
                stream = Some(next).filter(|_| error.kind() == ErrorKind::WouldBlock);
                0
            }
        }
    });
    ServerFlood {
        bytes,
        ended_sessions,
    }
}

/// Runs a flood from several threads at once; returns how much they sent in all.
pub(crate) fn from_threads(threads: usize, flood: impl Fn() -> usize + Sync) -> usize {
    std::thread::scope(|scope| {
        let floods: Vec<_> = (0..threads).map(|_| scope.spawn(&flood)).collect();
        floods.into_iter().map(|flood| flood.join().unwrap()).sum()
    })
}

/// Sends one text on each of many connections, one after the other, and reads the answer to each. Returns how many were
/// answered.
pub(crate) fn flood_new_connections(address: SocketAddr, text: impl Fn(usize) -> String) -> usize {
    let mut nth = 0;
    repeat(|| {
        nth += 1;
        let Ok(mut stream) = TcpStream::connect(address) else {
            return 0;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let _ = stream.write_all(text(nth).as_bytes());
        let answer = stream.read(&mut [0; 256]);
        usize::from(answer.is_ok_and(|length| length > 0))
    })
}

/// A valid request with an id, a key and a group that no other has.
pub(crate) fn request_of_new_names(nth: usize) -> String {
    let line = request_line();
    line.replace("g=5c0f6e1a2b3d4c59", &format!("g={nth:x}"))
        .replace("7f3a9c21e0b4d655", &format!("{nth:x}"))
}

/// Calls the admin HTTP interface at full speed, one call after the other; returns how many were answered.
pub(crate) fn flood_admin_http(address: SocketAddr, call: &str) -> usize {
    repeat(|| usize::from(http_call(address, call).0 > 0))
}

/// Sends lines on one connection to the admin socket at full speed, and reads the replies. Returns how many replies came, by
/// their bytes: none is longer than `MAX_REPLY_BYTES`.
pub(crate) fn flood_admin_socket(path: &Path, line: impl Fn(usize) -> String) -> usize {
    let mut connection: Option<FullSpeed<UnixStream>> = None;
    let mut nth = 0;
    let read = repeat(|| {
        let mut next = connection.take().unwrap_or_else(|| {
            let stream = UnixStream::connect(path).unwrap();
            stream.set_nonblocking(true).unwrap();
            let lines: String = (nth..nth + 1_000).map(&line).collect();
            nth += 1_000;
            FullSpeed::new(stream, lines.into_bytes())
        });
        let exchange = next.exchange(Answers::Read);
        connection = Some(next).filter(|_| exchange.is_open);
        exchange.read
    });
    read / MAX_REPLY_BYTES
}

/// Sends a message to the hot restart socket at full speed, on one connection after the other, each of which begins with
/// `first`. Returns how many messages were taken.
pub(crate) fn flood_hot_restart(path: &Path, first: &[u8], message: &[u8]) -> usize {
    let mut link: Option<OwnedFd> = None;
    repeat(|| {
        let next = link.take().or_else(|| {
            let link = seqpacket::connect(path).ok()?;
            seqpacket::send(&link, first, &[]).ok()?;
            Some(link)
        });
        let Some(next) = next else {
            std::thread::sleep(Duration::from_micros(100));
            return 0;
        };
        let sent = seqpacket::send(&next, message, &[]);
        link = Some(next).filter(|_| sent.is_ok());
        match sent {
            Ok(true) => 1,
            Ok(false) | Err(_) => {
                std::thread::sleep(Duration::from_micros(100));
                0
            }
        }
    })
}

/// A kind of list that discovery sends at full speed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ListFlood {
    /// Blank lines, which mean that nothing has changed.
    Heartbeats,
    /// Complete lists of [`LISTED_SERVERS`], in each of which all but the first server have another state.
    CompleteLists,
    /// Changes, each of which names a new server in a new zone with a long name.
    NewNames,
    /// Lists that are not JSON.
    Unsound,
}

/// Sends lists at full speed, on each watch that the proxy opens; returns how many.
pub(crate) fn flood_lists(proxy: &ProxyHarness, flood: ListFlood) -> usize {
    let first = endpoint_json(0, proxy.server_address(0), "ready");
    let mut revision = 100;
    let mut watch = proxy.watch.clone();
    repeat(|| {
        revision += 1;
        if let Ok(opened) = proxy.watches.try_recv() {
            watch = opened.lists;
        }
        let text = match flood {
            ListFlood::Heartbeats => "\n".repeat(1_000),
            ListFlood::CompleteLists => complete_list(revision, &first),
            ListFlood::NewNames => new_server(revision),
            ListFlood::Unsound => "{]\n".repeat(100),
        };
        // The channel to the watch has no bound, so the sender must not be far ahead of it.
        let sent = watch.send(text);
        std::thread::sleep(Duration::from_millis(1));
        usize::from(sent.is_ok())
    })
}

fn complete_list(revision: u32, first: &str) -> String {
    let state = if revision.is_multiple_of(2) {
        "ready"
    } else {
        "draining"
    };
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let others = (1..LISTED_SERVERS).map(|index| endpoint_json(index, address, state));
    let entries: Vec<String> = std::iter::once(first.to_string()).chain(others).collect();
    list_line(revision, true, &entries)
}

/// Lists this many servers, a hundred at a time, and removes each hundred before the next.
pub(crate) fn list_and_remove_servers(proxy: &ProxyHarness, count: usize) {
    const SERVERS_IN_LIST: usize = 100;
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let mut revision = 100;
    for first in (1_000..1_000 + count).step_by(SERVERS_IN_LIST) {
        for state in ["draining", "gone"] {
            revision += 1;
            let entries: Vec<String> = (first..first + SERVERS_IN_LIST)
                .map(|index| endpoint_json(index, address, state))
                .collect();
            let list = list_line(revision, false, &entries);
            proxy.watch.send(list).unwrap();
        }
    }
}

fn new_server(revision: u32) -> String {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let zone = "z".repeat(LONG_NAME_BYTES);
    let entry = endpoint_json(revision as usize, address, "draining")
        .replace("\"az\":\"a\"", &format!("\"az\":\"{zone}\""));
    list_line(revision, false, &[entry])
}
