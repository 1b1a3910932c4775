//! Requests to a proxy at its admin socket.

use super::proxy::Proxy;
use asterramp_admin_protocol::{AdminClient, AdminCommand, AdminRequest};
use std::time::Duration;
use tracing::warn;

impl Proxy {
    /// Asks the proxy to drain: to migrate its clients within `deadline`.
    pub(super) async fn drain(&self, deadline: Duration) {
        let deadline_ms = Some(deadline.as_millis() as u64);
        self.send(AdminRequest {
            deadline_ms,
            ..AdminRequest::new(AdminCommand::Drain)
        })
        .await;
    }

    /// Asks the proxy to end its drain and serve again.
    pub(super) async fn undrain(&self) {
        self.send(AdminRequest::new(AdminCommand::Undrain)).await;
    }

    /// Sends a request. A failure is only logged, as another fault may have ended or stopped the proxy.
    async fn send(&self, request: AdminRequest) {
        let socket = self.admin_socket.clone();
        let sending =
            tokio::task::spawn_blocking(move || AdminClient::connect(&socket)?.send(&request));
        if let Ok(Err(error)) = sending.await {
            warn!(proxy = self.number, what = %error);
        }
    }
}
