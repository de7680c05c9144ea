//! What several tests expect of a gateway and its hosts.

use super::World;
use super::hosts::{HostAction, HostRequest};
use super::waiting::wait_until;

impl World {
    /// A mutating request to whose host this happens gets 502, and was sent once. The connection is not used again.
    pub async fn expect_bad_gateway(
        &self,
        id: &str,
        script: impl FnOnce(&HostRequest) -> Vec<HostAction> + 'static,
    ) {
        self.hosts.script_next(script);
        let response = self.request("POST", "/m/x", id).await;
        assert_eq!(
            (response.status, response.whole),
            (502, true),
            "{id}: {response:?}"
        );
        assert_eq!(self.hosts.arrivals(id), 1, "{id}: sent again");
        let connection = self.hosts.connection_of(id);
        wait_until("the connection is closed", || {
            self.hosts.is_closed(connection)
        })
        .await;
        self.expect_valid_exchange(&format!("after-{id}")).await;
    }

    /// A further request is answered as if nothing had been.
    pub async fn expect_valid_exchange(&self, id: &str) {
        let response = self.request("POST", "/m/x", id).await;
        assert!(response.answers(id), "{id}: {response:?}");
        assert_eq!(self.hosts.arrivals(id), 1, "{id}");
    }

    /// Makes sure that there is an idle connection to a host, and returns it.
    pub async fn make_idle_connection(&self, id: &str) -> usize {
        self.expect_valid_exchange(id).await;
        self.hosts.connection_of(id)
    }
}
