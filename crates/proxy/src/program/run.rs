//! The serving process: starts the router, runs its event loop, and handles signals and reloads.

use super::clock::Clock;
use super::config::{ConfigError, ConfigFile};
use super::counters::Counters;
use super::log::Log;
use super::operator_file::{self, OperatorFileError};
use super::signals::Signals;
use crate::routing::events::{ReasonCode, RouterEvent};
use crate::routing::warm_start::{SnapshotSchedule, WarmStartPlan};
use crate::routing::{Router, RouterOptions};
use asterramp_operator_config::{OperatorConfig, SnapshotConfig, TakesEffect, ZoneFailoverConfig};
use asterramp_snapshot::{Snapshot, SnapshotDirectory, SnapshotStore, SnapshotWriter};
use rustix::fd::OwnedFd;
use std::io;
use std::path::PathBuf;
use std::time::Duration;

/// Why the proxy could not start, or stopped with an error.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The signal handlers could not be installed.
    #[error("signals: {0}")]
    Signals(#[source] io::Error),
    /// The platform's configuration is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The operator's file is invalid.
    #[error(transparent)]
    OperatorFile(#[from] OperatorFileError),
    /// The router could not start: an address is in use, or no file descriptor is free.
    #[error("{0}")]
    Router(#[source] io::Error),
    /// The admin socket could not be opened.
    #[error("control.socket: {}: {source}", path.display())]
    AdminSocket {
        /// The socket's path.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// Waiting for events failed.
    #[error("waiting for events: {0}")]
    Wait(#[source] io::Error),
}

/// Serves until a signal or a leader's order shuts the proxy down. `config` is the path of the platform's
/// configuration, `operator` that of the operator's file; without the latter its defaults apply.
///
/// # Errors
///
/// See [`ServeError`].
pub fn run(config: Option<&str>, operator: Option<&str>) -> Result<(), ServeError> {
    let clock = Clock::start();
    let (signals, wake_source) = Signals::register().map_err(ServeError::Signals)?;
    let (config_file, options) = ConfigFile::open(config)?;
    let operator_config = match operator {
        Some(path) => operator_file::read(path)?,
        None => OperatorConfig::default(),
    };
    let router = start_router(options, &operator_config, clock.now(), wake_source)?;
    let process = ProxyProcess {
        clock,
        signals,
        config_file,
        operator_path: operator.map(String::from),
        operator_config,
        router,
        log: Log::default(),
        counters: Counters::default(),
    };
    process.serve()
}

fn start_router(
    mut options: RouterOptions,
    config: &OperatorConfig,
    now: Duration,
    wake_source: OwnedFd,
) -> Result<Router, ServeError> {
    let owner = options.listen_address.to_string();
    let (snapshot, mut snapshot_problems) = match &config.snapshots {
        Some(snapshots) => load_snapshot(snapshots, &owner),
        None => (None, Vec::new()),
    };
    let highest_term = snapshot
        .as_ref()
        .map_or(0, |snapshot| snapshot.highest_term);
    options.warm_start = config.warm_start.enabled.then(|| WarmStartPlan {
        settings: operator_file::warm_start_settings(&config.warm_start, &options.settings),
        peers: operator_file::peer_settings(&config.warm_start),
        snapshot,
    });
    let mut router = Router::new(options, now).map_err(ServeError::Router)?;
    router
        .add_wake_source(wake_source)
        .map_err(ServeError::Signals)?;
    if let Some(snapshots) = &config.snapshots {
        match schedule_snapshots(snapshots, owner, highest_term) {
            Ok(schedule) => router.enable_snapshots(schedule),
            Err(error) => {
                let directory = snapshots.directory.display();
                snapshot_problems.push(format!("folder={directory} why=\"{error}\""));
            }
        }
    }
    let events = snapshot_problems
        .into_iter()
        .map(|problem| RouterEvent::Log(ReasonCode::SnapshotFailed, problem));
    router.pending_events.extend(events);
    router.restore_highest_term(highest_term);
    apply_operator_config(&mut router, config);
    open_admin_socket(&mut router, config)?;
    Ok(router)
}

/// Opens the admin socket, if the operator's file names one.
fn open_admin_socket(router: &mut Router, config: &OperatorConfig) -> Result<(), ServeError> {
    let Some(admin_socket) = &config.admin_socket else {
        return Ok(());
    };
    router
        .open_admin_socket(
            &admin_socket.path,
            admin_socket.max_connections,
            config.drain.default_deadline,
        )
        .map_err(|source| ServeError::AdminSocket {
            path: admin_socket.path.clone(),
            source,
        })
}

/// Applies the part of the operator's configuration that may change while the proxy runs.
fn apply_operator_config(router: &mut Router, config: &OperatorConfig) {
    let zones = &config.zone_failover;
    router.configure_admission(zones.paces_admission, zones.rejects_by_priority);
    router.set_drain_settings(operator_file::drain_settings(&config.drain));
    router.configure_zone_failover(operator_file::zone_failover_settings(zones));
}

/// Loads the newest snapshot of this proxy, with a log text for each unusable file.
fn load_snapshot(config: &SnapshotConfig, owner: &str) -> (Option<Snapshot>, Vec<String>) {
    // The error is reported when the directory is opened again for writing.
    let Ok(directory) = SnapshotDirectory::open(&config.directory) else {
        return (None, Vec::new());
    };
    let loaded = SnapshotStore::new(directory).load(Some(owner));
    let path = config.directory.display();
    let problems = loaded
        .unusable_files
        .iter()
        .map(|problem| {
            format!(
                "file={path}/{} why={:?}",
                problem.file,
                problem.error.to_string()
            )
        })
        .collect();
    (loaded.snapshot, problems)
}

fn schedule_snapshots(
    config: &SnapshotConfig,
    owner: String,
    highest_term: u64,
) -> io::Result<SnapshotSchedule> {
    let directory = SnapshotDirectory::open(&config.directory)?;
    let writer = SnapshotWriter::start(directory, owner.clone())?;
    Ok(SnapshotSchedule::new(
        writer,
        config.interval,
        owner,
        highest_term,
    ))
}

/// The state of a serving proxy.
struct ProxyProcess {
    clock: Clock,
    signals: Signals,
    config_file: ConfigFile,
    /// Path of the operator's file, if there is one.
    operator_path: Option<String>,
    /// The operator's configuration that is in effect.
    operator_config: OperatorConfig,
    router: Router,
    log: Log,
    counters: Counters,
}

impl ProxyProcess {
    fn serve(mut self) -> Result<(), ServeError> {
        while !self.router.is_done() {
            self.router
                .wait(self.clock.now())
                .map_err(ServeError::Wait)?;
            let now = self.clock.now();
            self.router.process(now);
            if self.signals.take_reload_request() {
                self.reload(now);
            }
            if self.signals.is_shutdown_requested() {
                self.router.begin_shutdown(now);
            }
            self.log_events(now);
            if self.signals.take_counters_request() {
                self.log_counters(now);
            }
        }
        self.close();
        Ok(())
    }

    fn close(&mut self) {
        self.router.close_all();
        self.router.close_admin_socket();
        self.router.close_hot_restart();
        self.router.close_snapshots();
        let now = self.clock.now();
        self.log_events(now);
        self.log_counters(now);
    }

    fn log_events(&mut self, now: Duration) {
        for event in self.router.pending_events.drain(..) {
            self.counters.count(&event);
            if let RouterEvent::Log(code, text) = event {
                self.log.write(now, format_args!("{} {text}", code.name()));
            }
        }
    }

    fn log_counters(&mut self, now: Duration) {
        let dropped = self.log.dropped();
        let counters = &self.counters;
        self.log
            .write(now, format_args!("{counters} log-dropped={dropped}"));
    }

    fn queue_log_line(&mut self, code: ReasonCode, text: String) {
        self.router
            .pending_events
            .push(RouterEvent::Log(code, text));
    }

    /// Reads both files again and applies what may change while the proxy runs. An invalid file is logged and ignored.
    fn reload(&mut self, now: Duration) {
        match self.config_file.reload() {
            Ok((options, unapplied_keys)) => {
                for key in unapplied_keys {
                    self.queue_log_line(ReasonCode::ConfigUnchanged, format!("key={key}"));
                }
                self.router.reload(now, options.discovery_address);
            }
            Err(error) => self.report_invalid_file(&error.to_string()),
        }
        if let Some(path) = self.operator_path.clone() {
            self.reload_operator_file(&path);
        }
    }

    fn reload_operator_file(&mut self, path: &str) {
        let new_config = match operator_file::read(path) {
            Ok(config) => config,
            Err(error) => return self.report_invalid_file(&error.to_string()),
        };
        for change in self.operator_config.changes(&new_config) {
            let code = match change.takes_effect {
                TakesEffect::Immediately => ReasonCode::ConfigReloaded,
                TakesEffect::AfterRestart => ReasonCode::ConfigUnchanged,
            };
            self.queue_log_line(code, format!("key={}", change.key));
        }
        self.router
            .set_default_drain_deadline(new_config.drain.default_deadline);
        copy_immediate_changes(&mut self.operator_config, new_config);
        apply_operator_config(&mut self.router, &self.operator_config);
    }

    fn report_invalid_file(&mut self, error: &str) {
        self.queue_log_line(ReasonCode::ConfigReloadFailed, format!("why={error:?}"));
    }
}

/// Copies the parts of a new configuration that take effect at once; the rest applies after the next restart.
fn copy_immediate_changes(current: &mut OperatorConfig, new: OperatorConfig) {
    current.drain = new.drain;
    current.zone_failover = ZoneFailoverConfig {
        enabled: current.zone_failover.enabled,
        rejects_by_priority: current.zone_failover.rejects_by_priority,
        ..new.zone_failover
    };
}
