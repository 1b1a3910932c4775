//! The task of a proxy: carries out the run's commands, and polls the process in between.

use super::addresses::restart_request_path;
use super::command::ProxyCommand;
use super::error::ProxyError;
use super::proxy::Proxy;
use super::usage::usage_of;
use crate::event_log::Event;
use rustix::process::Signal;
use std::io;
use std::process::ExitStatus;
use std::time::Duration;
use tokio::process::Child;
use tokio::sync::mpsc;
use tokio::time::sleep;

/// Time without a command after which the process is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Polls between two samples of the process's resource usage: one sample a second.
const POLLS_PER_SAMPLE: u32 = 5;

/// What a proxy's task has to handle next.
enum TaskEvent {
    /// A command has come.
    Command(ProxyCommand),
    /// All senders of commands are dropped: the run is over.
    CommandsClosed,
    /// The process has ended by itself.
    Exited(io::Result<ExitStatus>),
    /// The process is to be polled.
    PollDue,
}

impl Proxy {
    /// Carries out commands until all their senders are dropped, then shuts the proxy down.
    pub(crate) async fn run(
        mut self,
        mut commands: mpsc::Receiver<ProxyCommand>,
    ) -> Result<(), ProxyError> {
        let mut polls = 0_u32;
        loop {
            match self.next_event(&mut commands).await {
                TaskEvent::Command(command) => self.execute(command).await?,
                TaskEvent::CommandsClosed => break,
                TaskEvent::Exited(status) => {
                    let code = status.ok().and_then(|status| status.code());
                    self.record(Event::ProxyExited {
                        proxy: self.number,
                        code,
                        asked: false,
                    });
                    self.child = None;
                }
                TaskEvent::PollDue => {
                    polls += 1;
                    self.poll_process(polls).await?;
                }
            }
        }
        self.shut_down().await;
        // A proxy that was killed leaves its socket behind.
        let _ = std::fs::remove_file(&self.admin_socket);
        Ok(())
    }

    async fn next_event(&mut self, commands: &mut mpsc::Receiver<ProxyCommand>) -> TaskEvent {
        let exited = async {
            match &mut self.child {
                Some(child) => child.wait().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            command = commands.recv() => command.map_or(TaskEvent::CommandsClosed, TaskEvent::Command),
            status = exited => TaskEvent::Exited(status),
            () = sleep(POLL_INTERVAL) => TaskEvent::PollDue,
        }
    }

    async fn poll_process(&mut self, polls: u32) -> Result<(), ProxyError> {
        self.check_starting_process().await;
        if polls.is_multiple_of(POLLS_PER_SAMPLE) {
            self.sample_usage();
        }
        // The restart command of a roll creates this file.
        if std::fs::remove_file(restart_request_path(&self.admin_socket)).is_ok() {
            self.shut_down().await;
            self.start().map_err(|source| self.error(source))?;
        }
        Ok(())
    }

    fn sample_usage(&self) {
        let process = self.child.as_ref().and_then(Child::id);
        let second = self.context.now().as_secs();
        if let Some(usage) = process.and_then(|process| usage_of(process, second)) {
            self.usage.push(usage);
        }
    }

    async fn execute(&mut self, command: ProxyCommand) -> Result<(), ProxyError> {
        match command {
            ProxyCommand::Start if self.child.is_some() => {}
            ProxyCommand::Start => self.start().map_err(|source| self.error(source))?,
            ProxyCommand::Kill => self.kill().await,
            ProxyCommand::Suspend => self.suspend(),
            ProxyCommand::Resume => self.resume(),
            ProxyCommand::ShutDown => self.shut_down().await,
            ProxyCommand::Reload => self.reload().await?,
            ProxyCommand::HotRestart { killed_after } => self.hot_restart(killed_after).await?,
            ProxyCommand::Drain { deadline } => self.drain(deadline).await,
            ProxyCommand::Undrain => self.undrain().await,
            ProxyCommand::CorruptSnapshots => self.corrupt_snapshots(),
        }
        Ok(())
    }

    /// Moves the discovery agent, writes its new address into the configuration, and has the process reload that.
    async fn reload(&self) -> Result<(), ProxyError> {
        let moved = self.agent.change_address().await;
        let configured = moved.and_then(|()| self.configure());
        configured.map_err(|source| self.error(source))?;
        self.signal(Signal::HUP);
        Ok(())
    }
}
