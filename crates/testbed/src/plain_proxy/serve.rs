//! The life of a plain proxy, from its configuration to SIGTERM.

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

/// How often a starting proxy looks whether it has an endpoint list.
const START_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// How long new connections are served after SIGTERM, until the front has noticed.
const SERVES_AFTER_SIGTERM: Duration = Duration::from_millis(500);
/// How long open sessions have to migrate.
const MIGRATION_TIME: Duration = Duration::from_millis(2_500);
/// When [`InjectedFault::Crash`] ends the process, and by which exit code.
const CRASHES_AFTER: Duration = Duration::from_secs(2);
const CRASH_EXIT_CODE: i32 = 3;

/// Serves until SIGTERM, by the platform's configuration.
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
            // The configuration is read again for each fetch.
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

/// Nobody is served before the first endpoint list.
async fn await_endpoints(state: &Arc<ProxyState>, configuration: PathBuf) {
    let fetching = state.clone();
    tokio::spawn(async move { fetching.endpoints.keep_up_to_date(configuration).await });
    while state.endpoints.lock().is_empty() {
        sleep(START_POLL_INTERVAL).await;
    }
}

async fn crash() {
    sleep(CRASHES_AFTER).await;
    std::process::exit(CRASH_EXIT_CODE);
}

fn start_connection(state: &Arc<ProxyState>, accepted: std::io::Result<(TcpStream, SocketAddr)>) {
    if let Ok((stream, _)) = accepted {
        tokio::spawn(serve_connection(state.clone(), stream));
    }
}

/// Serves on until the front has noticed, then migrates what is open.
async fn shut_down(state: &Arc<ProxyState>, listener: TcpListener) {
    state.is_shutting_down.store(true, Ordering::Relaxed);
    let until = Instant::now() + SERVES_AFTER_SIGTERM;
    while let Ok(accepted) = timeout_at(until, listener.accept()).await {
        start_connection(state, accepted);
    }
    state.is_migrating.store(true, Ordering::Relaxed);
    drop(listener);
    sleep(MIGRATION_TIME).await;
}
