//! Runs a plain proxy from reading its configuration to its shutdown by SIGTERM.

use super::configuration::Configuration;
use super::error::PlainProxyError;
use super::options::{InjectedFault, Policy};
use super::session::serve_connection;
use super::state::ProxyState;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{Instant, sleep, timeout_at};

/// Time between two checks of a starting proxy for its first endpoint list.
const START_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time after SIGTERM during which new connections are still served, as the front has to notice first that health checks
/// are no longer answered.
const SHUTDOWN_GRACE: Duration = Duration::from_millis(500);
/// Time that open sessions have to migrate before the process exits.
const MIGRATION_TIME: Duration = Duration::from_millis(2_500);
/// Time from the first endpoint list until [`InjectedFault::Crash`] ends the process.
const CRASH_DELAY: Duration = Duration::from_secs(2);
/// Exit code of a process that [`InjectedFault::Crash`] ends.
const CRASH_EXIT_CODE: i32 = 3;

/// Serves until SIGTERM, with the configuration file that the environment variable `LB_CONFIG` names.
pub async fn serve(policy: Policy, fault: Option<InjectedFault>) -> Result<(), PlainProxyError> {
    let path = std::env::var("LB_CONFIG").map_err(|_| PlainProxyError::NoConfiguration)?;
    let path = PathBuf::from(path);
    let configuration = Configuration::read(&path)?;
    let listener = bind(&configuration.listen).await?;
    let mut hang_up = signal(SignalKind::hangup()).map_err(PlainProxyError::Signals)?;
    let mut terminate = signal(SignalKind::terminate()).map_err(PlainProxyError::Signals)?;
    let state = Arc::new(ProxyState::new(policy, fault, configuration));
    await_endpoints(&state, path).await;
    if state.injects(InjectedFault::Crash) {
        tokio::spawn(crash());
    }
    loop {
        tokio::select! {
            // Nothing to do: each fetch of the endpoint list reads the configuration file again.
            _ = hang_up.recv() => {}
            _ = terminate.recv() => break,
            accepted = listener.accept() => start_connection(&state, accepted),
        }
    }
    shut_down(&state, listener).await;
    Ok(())
}

async fn bind(listen: &str) -> Result<TcpListener, PlainProxyError> {
    let address: SocketAddr = listen
        .parse()
        .map_err(|_| PlainProxyError::InvalidListen(listen.to_owned()))?;
    TcpListener::bind(address)
        .await
        .map_err(|source| PlainProxyError::Bind { address, source })
}

/// Starts polling discovery, and waits for the first endpoint list: no client is served before.
async fn await_endpoints(state: &Arc<ProxyState>, configuration: PathBuf) {
    let polling_state = state.clone();
    tokio::spawn(async move { polling_state.endpoints.poll_discovery(configuration).await });
    while state.endpoints.lock().is_empty() {
        sleep(START_POLL_INTERVAL).await;
    }
}

async fn crash() {
    sleep(CRASH_DELAY).await;
    std::process::exit(CRASH_EXIT_CODE);
}

fn start_connection(state: &Arc<ProxyState>, accepted: std::io::Result<(TcpStream, SocketAddr)>) {
    if let Ok((stream, _)) = accepted {
        tokio::spawn(serve_connection(state.clone(), stream));
    }
}

/// Serves new connections for [`SHUTDOWN_GRACE`], then closes the listener and migrates all open sessions.
async fn shut_down(state: &Arc<ProxyState>, listener: TcpListener) {
    state.is_shutting_down.store(true, Ordering::Relaxed);
    let until = Instant::now() + SHUTDOWN_GRACE;
    while let Ok(accepted) = timeout_at(until, listener.accept()).await {
        start_connection(state, accepted);
    }
    state.is_migrating.store(true, Ordering::Relaxed);
    drop(listener);
    sleep(MIGRATION_TIME).await;
}
