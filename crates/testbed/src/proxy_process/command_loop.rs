//! The task of a proxy: carries out the run's commands, and watches the process meanwhile.

use super::addresses::restart_request;
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

/// How often a proxy is looked at.
const LOOK_INTERVAL: Duration = Duration::from_millis(200);
/// Every so many looks what it uses is measured: each second.
const LOOKS_PER_SAMPLE: u32 = 5;

/// What the task has to do next.
enum Step {
    /// Carry out a command.
    Command(ProxyCommand),
    /// The run is over.
    End,
    /// The process has ended by itself.
    Exited(io::Result<ExitStatus>),
    /// It is time to look at the process.
    Look,
}

impl Proxy {
    /// Carries out commands until their sender is gone, then shuts the proxy down.
    pub(crate) async fn run(
        mut self,
        mut commands: mpsc::Receiver<ProxyCommand>,
    ) -> Result<(), ProxyError> {
        let mut looks = 0_u32;
        loop {
            match self.next_step(&mut commands).await {
                Step::Command(command) => self.execute(command).await?,
                Step::End => break,
                Step::Exited(status) => {
                    let code = status.ok().and_then(|status| status.code());
                    self.record(Event::ProxyExited {
                        proxy: self.number,
                        code,
                        asked: false,
                    });
                    self.child = None;
                }
                Step::Look => {
                    looks += 1;
                    self.look(looks).await?;
                }
            }
        }
        self.shut_down().await;
        // A proxy that was killed has left it.
        let _ = std::fs::remove_file(&self.admin_socket);
        Ok(())
    }

    async fn next_step(&mut self, commands: &mut mpsc::Receiver<ProxyCommand>) -> Step {
        let exited = async {
            match &mut self.child {
                Some(child) => child.wait().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            command = commands.recv() => command.map_or(Step::End, Step::Command),
            status = exited => Step::Exited(status),
            () = sleep(LOOK_INTERVAL) => Step::Look,
        }
    }

    async fn look(&mut self, looks: u32) -> Result<(), ProxyError> {
        self.check_starting_process().await;
        if looks.is_multiple_of(LOOKS_PER_SAMPLE) {
            self.sample_usage();
        }
        // A roll asks for a restart by a file.
        if std::fs::remove_file(restart_request(&self.admin_socket)).is_ok() {
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

    /// Discovery moves to another address, which the process finds in its new configuration.
    async fn reload(&self) -> Result<(), ProxyError> {
        let moved = self.agent.change_address().await;
        let configured = moved.and_then(|()| self.configure());
        configured.map_err(|source| self.error(source))?;
        self.signal(Signal::HUP);
        Ok(())
    }
}
