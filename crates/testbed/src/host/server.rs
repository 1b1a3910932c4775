//! A host's listener and the connections that it accepts, up to the session request.

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

/// Hosts that have their addresses in the same /24 network.
const HOSTS_PER_NETWORK: usize = 250;
/// /24 networks that are reserved for the hosts of one run.
const NETWORKS_PER_RUN: u8 = 9;
/// How many runs of one process have distinct networks; later runs reuse those of the first.
const RUNS_WITH_OWN_NETWORKS: u8 = 28;
/// The pause between attempts to open a listener again, and how long an attempt to fill its queue may take.
const LISTEN_RETRY: Duration = Duration::from_millis(20);
/// The longest delay of an answer to a health check, however loaded the host is.
const MAX_HEALTH_CHECK_DELAY: Duration = Duration::from_secs(5);
/// How much of an invalid line is recorded, in characters.
const RECORDED_LINE_CHARS: usize = 160;

/// Binds a listener for each host of a plan, in the order of the plan.
pub async fn bind_all(plan: &Plan) -> std::io::Result<Vec<BoundListener>> {
    // Parallel runs have distinct addresses: otherwise a port that one run has released could become a host of another
    // run, and proxies of the first would connect to it.
    static RUNS: AtomicU8 = AtomicU8::new(0);
    let run = RUNS.fetch_add(1, Ordering::Relaxed) % RUNS_WITH_OWN_NETWORKS;
    let mut bound = Vec::new();
    for number in 0..plan.hosts.len() {
        let network = run * NETWORKS_PER_RUN + (number / HOSTS_PER_NETWORK) as u8;
        let octets = [127, 10, network, 1 + (number % HOSTS_PER_NETWORK) as u8];
        bound.push(BoundListener::bind(SocketAddr::from((octets, 0))).await?);
    }
    Ok(bound)
}

/// Accepts connections to a host until the run ends, as its faults allow.
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
        let Some(bound) = &listener else {
            listener = listen_again(host.address);
            if listener.is_none() {
                sleep(LISTEN_RETRY).await;
            }
            continue;
        };
        if now.vanished {
            let _filled = drop_new_connections(bound, host.address, LISTEN_RETRY).await;
            let _ = faults
                .wait_for(|faults| !faults.vanished || faults.down)
                .await;
            accept_new_connections(bound);
            continue;
        }
        tokio::select! {
            _ = faults.changed() => {}
            accepted = bound.accept() => if let Ok((stream, _)) = accepted
                && host.open_connections.load(Ordering::Relaxed) < host.max_connections
            {
                tokio::spawn(serve_connection(host.clone(), stream, now.incarnation));
            }
        }
    }
}

/// Serves one connection until it ends, or until the process (`incarnation`) that accepted it does.
async fn serve_connection(host: Arc<Host>, stream: TcpStream, incarnation: u32) {
    host.open_connections.fetch_add(1, Ordering::Relaxed);
    let mut connection = HostConnection::new(stream);
    let mut dial = None;
    let mut faults = host.subscribe_faults();
    let process_ends = faults.wait_for(|faults| faults.incarnation != incarnation);
    let served = tokio::select! {
        _ = process_ends => false,
        _ = serve_lines(&host, &mut connection, &mut dial) => true,
    };
    if let Some(mut dial) = dial.take() {
        dial.end(&host, !served);
    }
    if !served {
        connection.reset();
    }
    host.open_connections.fetch_sub(1, Ordering::Relaxed);
}

/// Answers health checks until a session request arrives, and serves that session; `dial_slot` receives its dial.
async fn serve_lines(host: &Host, connection: &mut HostConnection, dial_slot: &mut Option<Dial>) {
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
            Some(request) => serve_session(host, connection, dial_slot, request).await,
            None => {
                let line = line.chars().take(RECORDED_LINE_CHARS).collect();
                reject_line(host, connection, line).await
            }
        };
    }
}

/// Answers a health check, with a load report if requested; false if the peer ended the connection before the answer.
async fn answer_health_check(
    host: &Host,
    connection: &mut HostConnection,
    with_report: bool,
) -> bool {
    let mut faults = host.subscribe_faults();
    let delay = host.model().message_time(host.context.event_log.now());
    sleep(delay.min(MAX_HEALTH_CHECK_DELAY)).await;
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

/// Records an invalid line, answers it with `SYNTAX`, and closes the connection.
async fn reject_line(host: &Host, connection: &mut HostConnection, line: String) {
    host.context.event_log.record(Event::Unread {
        host: host.number,
        line,
    });
    connection.send_last("SYNTAX\r\n").await;
}
