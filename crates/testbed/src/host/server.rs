//! A host's listener and the connections that it takes.

use super::connection::HostConnection;
use super::dial::Dial;
use super::protocol::OpenRequest;
use super::session::serve_session;
use super::state::Host;
use crate::event_log::Event;
use crate::line_reader::Line;
use crate::plan::Plan;
use crate::sockets::{BoundListener, accept_new_connections, drop_new_connections, listen_again};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Hosts that get an address in one network of 256 addresses.
const HOSTS_PER_NETWORK: usize = 250;
/// Networks that the hosts of one run may fill.
const NETWORKS_PER_RUN: u8 = 9;
/// Runs of one process whose networks are apart.
const RUNS_APART: u8 = 28;
/// Pause before a listener is opened again, and longest attempt to fill its queue.
const LISTEN_RETRY: Duration = Duration::from_millis(20);
/// Longest that an answer to a health check takes.
const LONGEST_HEALTH_CHECK: Duration = Duration::from_secs(5);
/// How much of an unreadable line is recorded, in characters.
const RECORDED_LINE_CHARS: usize = 160;

/// Binds a listener for each host of a plan.
pub async fn bind_all(plan: &Plan) -> std::io::Result<Vec<BoundListener>> {
    // Runs side by side have addresses apart: a port that one gives up must not become another's host.
    static RUNS: AtomicU8 = AtomicU8::new(0);
    let run = RUNS.fetch_add(1, Ordering::Relaxed) % RUNS_APART;
    let mut bound = Vec::new();
    for number in 0..plan.hosts.len() {
        let network = run * NETWORKS_PER_RUN + (number / HOSTS_PER_NETWORK) as u8;
        let octets = [127, 10, network, 1 + (number % HOSTS_PER_NETWORK) as u8];
        bound.push(BoundListener::bind(SocketAddr::from((octets, 0))).await?);
    }
    Ok(bound)
}

/// Takes connections to a host for as long as the run lasts.
pub async fn serve(host: Arc<Host>, listener: TcpListener) {
    let mut listener = Some(listener);
    let mut faults = host.subscribe_faults();
    loop {
        let now = *faults.borrow_and_update();
        if now.down {
            listener = None;
            let _ = faults.changed().await;
            continue;
        }
        let Some(open) = &listener else {
            listener = listen_again(host.address);
            if listener.is_none() {
                sleep(LISTEN_RETRY).await;
            }
            continue;
        };
        if now.vanished {
            let _filled = drop_new_connections(open, host.address, LISTEN_RETRY).await;
            let _ = faults
                .wait_for(|faults| !faults.vanished || faults.down)
                .await;
            accept_new_connections(open);
            continue;
        }
        tokio::select! {
            _ = faults.changed() => {}
            accepted = open.accept() => if let Ok((stream, _)) = accepted
                && host.open_sockets.load(Ordering::Relaxed) < host.max_sockets
            {
                tokio::spawn(serve_connection(host.clone(), stream, now.incarnation));
            }
        }
    }
}

/// Serves one connection until it ends or the process that accepted it does.
async fn serve_connection(host: Arc<Host>, stream: TcpStream, incarnation: u32) {
    host.open_sockets.fetch_add(1, Ordering::Relaxed);
    let mut connection = HostConnection::new(stream);
    let mut dial = None;
    let mut faults = host.subscribe_faults();
    let process_ends = faults.wait_for(|faults| faults.incarnation != incarnation);
    let served = tokio::select! {
        _ = process_ends => false,
        _ = answer_lines(&host, &mut connection, &mut dial) => true,
    };
    if let Some(mut dial) = dial.take() {
        dial.end(&host, !served);
    }
    if !served {
        connection.reset();
    }
    host.open_sockets.fetch_sub(1, Ordering::Relaxed);
}

/// Answers health checks until a session's line comes, and serves that.
async fn answer_lines(host: &Host, connection: &mut HostConnection, slot: &mut Option<Dial>) {
    loop {
        let line = match connection.lines.next().await {
            Line::Text(line) => line,
            Line::Invalid => return reject_line(host, connection, "no text".into()).await,
            Line::Fin | Line::Reset => return,
        };
        if line == "PING" || line == "STATS" {
            if !answer_health_check(host, connection, line == "STATS").await {
                return;
            }
            continue;
        }
        return match OpenRequest::parse(&line, &host.context.scenario) {
            Some(request) => serve_session(host, connection, slot, request).await,
            None => {
                let line = line.chars().take(RECORDED_LINE_CHARS).collect();
                reject_line(host, connection, line).await
            }
        };
    }
}

/// Answers a health check, with a load report where that was asked for; false if the peer ended the connection before.
async fn answer_health_check(
    host: &Host,
    connection: &mut HostConnection,
    with_report: bool,
) -> bool {
    let mut faults = host.subscribe_faults();
    let took = host.model().message_time(host.context.event_log.now());
    sleep(took.min(LONGEST_HEALTH_CHECK)).await;
    if !connection.wait_while_frozen(&mut faults).await {
        return false;
    }
    let report = if with_report {
        host.load_report()
    } else {
        String::new()
    };
    connection.send(&format!("PONG{report}\r\n")).await;
    true
}

/// Records a line that is none of the protocol, and closes the connection.
async fn reject_line(host: &Host, connection: &mut HostConnection, line: String) {
    host.context.event_log.record(Event::Unread {
        host: host.number,
        line,
    });
    connection.send_last("SYNTAX\r\n").await;
}
