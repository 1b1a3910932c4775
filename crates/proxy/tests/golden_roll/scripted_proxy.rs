//! Admin sockets that reply like a proxy, by a script.

use asterramp_admin_protocol::{
    AdminCommand, AdminReply, AdminRequest, ListenerSessions, ProxyStatus,
};
use std::io::{BufRead, BufReader, Write};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::Path;
use std::sync::{Arc, Mutex};

/// When a proxy restarts, with another process id.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Restarts {
    /// On the order to shut down.
    OnShutdown,
    /// After a status reply by which it is empty.
    WhenEmpty,
    Never,
}

/// State of a scripted proxy, and its deviations from a replacement without faults.
pub(crate) struct ScriptedState {
    pub(crate) status: ProxyStatus,
    pub(crate) restarts: Restarts,
    /// Status replies since the drain began or the process started.
    status_replies: u32,
    /// Error with which it rejects a drain; `None` if it accepts.
    pub(crate) drain_error: Option<&'static str>,
    /// Its drain never ends.
    pub(crate) stays_draining: bool,
    /// Its drain is cancelled before it is empty.
    pub(crate) drain_is_cancelled: bool,
    /// Its status after a restart never allows the next drain, as if the process did not carry its share of sessions.
    pub(crate) blocks_next_drain: bool,
    /// All requests but those for a status, a line each.
    orders: String,
}

/// An entry of a status's remaining sessions.
fn remaining(listener: &str, sessions: usize) -> ListenerSessions {
    ListenerSessions {
        listener: listener.into(),
        sessions,
    }
}

/// The admin socket of a proxy that doesn't exist, with scripted replies. Clones share one state.
#[derive(Clone)]
pub(crate) struct ScriptedProxy(Arc<Mutex<ScriptedState>>);

impl ScriptedProxy {
    /// Listens at a path, with the status of a serving process.
    pub(crate) fn start(path: &Path, pid: u32, restarts: Restarts) -> ScriptedProxy {
        let status = ProxyStatus {
            pid,
            state: "serving".into(),
            uptime_ms: 60_000,
            open_sessions: 3,
            allows_next_drain: true,
            listed_endpoints: 2,
            ready_endpoints: 2,
            discovery_age_ms: Some(400),
            incarnation: u64::from(pid) * 1_000,
            clock_us: 60_000_000,
            ..ProxyStatus::default()
        };
        let state = ScriptedState {
            status,
            restarts,
            status_replies: 0,
            drain_error: None,
            stays_draining: false,
            drain_is_cancelled: false,
            blocks_next_drain: false,
            orders: String::new(),
        };
        let proxy = ScriptedProxy(Arc::new(Mutex::new(state)));
        let listener = UnixListener::bind(path).unwrap();
        let accepting_proxy = proxy.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let proxy = accepting_proxy.clone();
                std::thread::spawn(move || proxy.serve(stream));
            }
        });
        proxy
    }

    /// Replies to the requests of one connection until it ends.
    fn serve(&self, stream: UnixStream) {
        let mut replies = stream.try_clone().unwrap();
        for line in BufReader::new(stream).lines().map_while(Result::ok) {
            let reply = self.0.lock().unwrap().reply(&line);
            if replies.write_all(reply.to_line().as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Changes the proxy's state.
    pub(crate) fn set(&self, change: impl FnOnce(&mut ScriptedState)) {
        change(&mut self.0.lock().unwrap());
    }

    /// All requests but those for a status, a line each.
    pub(crate) fn orders(&self) -> String {
        self.0.lock().unwrap().orders.clone()
    }
}

impl ScriptedState {
    /// Records a request and returns the reply.
    fn reply(&mut self, line: &str) -> AdminReply {
        let request = AdminRequest::parse(line.as_bytes()).unwrap();
        if request.command != AdminCommand::Status {
            self.orders += &(without_expiry(line) + "\n");
        }
        match request.command {
            AdminCommand::Status => self.next_status(),
            AdminCommand::Drain if self.drain_error.is_some() => {
                return AdminReply::error(self.drain_error.unwrap());
            }
            AdminCommand::Drain => {
                self.status.state = "draining".into();
                self.status.allows_next_drain = false;
                self.status.deadline_in_ms = request.deadline_ms;
                self.status.remaining_sessions = vec![remaining("feed", 2), remaining("order", 1)];
                self.status_replies = 0;
            }
            AdminCommand::Shutdown if self.restarts == Restarts::OnShutdown => self.restart(),
            _ => {}
        }
        AdminReply::status(self.status.clone())
    }

    /// Changes the state before a status reply: a drain ends at its second status, and a restarted process allows the next
    /// drain from its second status on.
    fn next_status(&mut self) {
        self.status_replies += 1;
        match self.status.state.as_str() {
            "draining" if self.stays_draining => {}
            "draining" if self.drain_is_cancelled && self.status_replies == 2 => {
                self.status.state = "serving".into()
            }
            "draining" if self.status_replies == 2 => {
                self.status.state = "empty".into();
                self.status.open_sessions = 0;
                self.status.migrated_sessions = 3;
                self.status.remaining_sessions.clear();
            }
            "empty" if self.restarts == Restarts::WhenEmpty && self.status_replies > 2 => {
                self.restart()
            }
            "serving" if self.status_replies > 1 && !self.blocks_next_drain => {
                self.status.allows_next_drain = true
            }
            _ => {}
        }
    }

    /// Becomes another process, which serves.
    fn restart(&mut self) {
        self.status.pid += 100;
        self.status.incarnation += 1;
        self.status.state = "serving".into();
        self.status.deadline_in_ms = None;
        self.status.open_sessions = 1;
        self.status.migrated_sessions = 0;
        self.status.allows_next_drain = false;
        self.status_replies = 0;
    }
}

/// The order with a placeholder for its expiry, the only part that differs between runs.
fn without_expiry(line: &str) -> String {
    match line.split_once("\"until_us\":") {
        Some((before, after)) => {
            let rest = after.trim_start_matches(|c: char| c.is_ascii_digit());
            format!("{before}\"until_us\":{{end}}{rest}")
        }
        None => line.into(),
    }
}
