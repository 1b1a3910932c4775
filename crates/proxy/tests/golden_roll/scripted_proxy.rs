//! Proxies that are no more than scripted replies at an admin socket.

use asterramp_admin_protocol::{
    AdminCommand, AdminReply, AdminRequest, ListenerSessions, ProxyStatus,
};
use std::io::{BufRead, BufReader, Write};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::Path;
use std::sync::{Arc, Mutex};

/// When an empty proxy starts again, as another process.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Restarts {
    /// Once it is told to shut down.
    OnShutdown,
    /// Once its status says that it is empty.
    WhenEmpty,
    Never,
}

pub(crate) struct ScriptedState {
    pub(crate) status: ProxyStatus,
    pub(crate) restarts: Restarts,
    /// Status replies since the drain began or the process started.
    replies: u32,
    /// Error in reply to a drain.
    pub(crate) drain_error: Option<&'static str>,
    /// Its drain never ends.
    pub(crate) stays_draining: bool,
    /// Its drain is taken back before it is done.
    pub(crate) undrained: bool,
    /// After a restart it stays idle.
    pub(crate) idle: bool,
    /// Requests that change something, a line each.
    orders: String,
}

/// An entry of the sessions that remain.
fn remaining(listener: &str, sessions: usize) -> ListenerSessions {
    ListenerSessions {
        listener: listener.into(),
        sessions,
    }
}

/// A proxy of which there is only the admin socket, with scripted replies.
#[derive(Clone)]
pub(crate) struct ScriptedProxy(Arc<Mutex<ScriptedState>>);

impl ScriptedProxy {
    /// Listens at a path as a process that serves.
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
            replies: 0,
            drain_error: None,
            stays_draining: false,
            undrained: false,
            idle: false,
            orders: String::new(),
        };
        let proxy = ScriptedProxy(Arc::new(Mutex::new(state)));
        let listener = UnixListener::bind(path).unwrap();
        let accepting = proxy.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let proxy = accepting.clone();
                std::thread::spawn(move || proxy.serve(stream));
            }
        });
        proxy
    }

    fn serve(&self, stream: UnixStream) {
        let mut replies = stream.try_clone().unwrap();
        for line in BufReader::new(stream).lines().map_while(Result::ok) {
            let reply = self.0.lock().unwrap().reply(&line);
            if replies.write_all(reply.to_line().as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Changes what it does from now on.
    pub(crate) fn set(&self, change: impl FnOnce(&mut ScriptedState)) {
        change(&mut self.0.lock().unwrap());
    }

    /// Requests that changed something, a line each.
    pub(crate) fn orders(&self) -> String {
        self.0.lock().unwrap().orders.clone()
    }
}

impl ScriptedState {
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
                self.replies = 0;
            }
            AdminCommand::Shutdown if self.restarts == Restarts::OnShutdown => self.restart(),
            _ => {}
        }
        AdminReply::status(self.status.clone())
    }

    /// Draining, then empty; after a restart it carries its share from the second status on.
    fn next_status(&mut self) {
        self.replies += 1;
        match self.status.state.as_str() {
            "draining" if self.stays_draining => {}
            "draining" if self.undrained && self.replies == 2 => {
                self.status.state = "serving".into()
            }
            "draining" if self.replies == 2 => {
                self.status.state = "empty".into();
                self.status.open_sessions = 0;
                self.status.migrated_sessions = 3;
                self.status.remaining_sessions.clear();
            }
            "empty" if self.restarts == Restarts::WhenEmpty && self.replies > 2 => self.restart(),
            "serving" if self.replies > 1 && !self.idle => self.status.allows_next_drain = true,
            _ => {}
        }
    }

    fn restart(&mut self) {
        self.status.pid += 100;
        self.status.incarnation += 1;
        self.status.state = "serving".into();
        self.status.deadline_in_ms = None;
        self.status.open_sessions = 1;
        self.status.migrated_sessions = 0;
        self.status.allows_next_drain = false;
        self.replies = 0;
    }
}

/// An order with a placeholder for its expiry, the one thing in it that differs between runs.
fn without_expiry(line: &str) -> String {
    match line.split_once("\"until_us\":") {
        Some((before, after)) => {
            let rest = after.trim_start_matches(|c: char| c.is_ascii_digit());
            format!("{before}\"until_us\":{{end}}{rest}")
        }
        None => line.into(),
    }
}
