//! A server that opens each session and answers each health check.

use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

/// The response to each request for a session.
pub(crate) const SESSION_OPENED: &str = "UP r1";

/// The server's counts, while threads serve its connections.
#[derive(Clone, Default)]
pub(crate) struct RunningServer {
    sessions: Arc<AtomicU32>,
    health_checks: Arc<AtomicU32>,
}

impl RunningServer {
    /// Serves all connections that a listener accepts.
    pub(crate) fn start(listener: TcpListener) -> RunningServer {
        let server = RunningServer::default();
        let accepting = server.clone();
        listener.set_nonblocking(false).unwrap();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = accepting.clone();
                std::thread::spawn(move || serving.serve(stream));
            }
        });
        server
    }

    fn serve(&self, mut stream: TcpStream) {
        let reader = BufReader::new(stream.try_clone().unwrap());
        for line in reader.lines().map_while(Result::ok) {
            let response = if line.starts_with("OPEN ") {
                self.sessions.fetch_add(1, Ordering::Relaxed);
                format!("{SESSION_OPENED}\r\n")
            } else if line.starts_with("STATS") {
                self.health_checks.fetch_add(1, Ordering::Relaxed);
                "PONG x0=0.1,outstanding=1\r\n".to_string()
            } else {
                continue;
            };
            if stream.write_all(response.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Requests for sessions so far.
    pub(crate) fn session_count(&self) -> u32 {
        self.sessions.load(Ordering::Relaxed)
    }

    /// Health checks so far.
    pub(crate) fn health_check_count(&self) -> u32 {
        self.health_checks.load(Ordering::Relaxed)
    }
}
