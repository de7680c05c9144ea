//! Expectations shared by several test files.

use super::Harness;
use super::hosts::{HostAction, HostRequest};
use super::waiting::wait_until;

impl Harness {
    /// Sends a mutating request whose host acts by `script`, and expects that the client gets 502, that the request is
    /// not retried, and that the upstream connection is closed.
    pub async fn expect_bad_gateway(
        &self,
        id: &str,
        script: impl FnOnce(&HostRequest) -> Vec<HostAction> + 'static,
    ) {
        self.hosts.script_next(script);
        let response = self.request("POST", "/m/x", id).await;
        assert_eq!(
            (response.status, response.is_complete),
            (502, true),
            "{id}: {response:?}"
        );
        assert_eq!(self.hosts.request_count(id), 1, "{id}: retried");
        let connection = self.hosts.connection_of(id);
        wait_until("the connection is closed", || {
            self.hosts.is_closed(connection)
        })
        .await;
        self.expect_valid_exchange(&format!("after-{id}")).await;
    }

    /// Sends a mutating request and expects a valid response after a single attempt.
    pub async fn expect_valid_exchange(&self, id: &str) {
        let response = self.request("POST", "/m/x", id).await;
        assert!(response.is_valid_for(id), "{id}: {response:?}");
        assert_eq!(self.hosts.request_count(id), 1, "{id}");
    }

    /// Completes one exchange, which leaves an idle upstream connection, and returns the connection's number.
    pub async fn make_idle_connection(&self, id: &str) -> usize {
        self.expect_valid_exchange(id).await;
        self.hosts.connection_of(id)
    }
}
