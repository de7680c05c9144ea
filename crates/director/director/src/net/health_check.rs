//! Health checks of hosts. The response to a check holds the host's load report.

use super::http::HttpClient;
use crate::events::{EventSender, LoopEvent};
use bytes::Bytes;
use rushcourse_director_state::Input;
use rushcourse_policy::interface::HostId;
use std::time::{Duration, Instant};

/// Responses with a larger body, in bytes, count as failed checks.
const MAX_REPORT_SIZE: usize = 16 << 10;
/// Connections are not reused, so that each check also shows whether the host accepts new ones.
const MAX_IDLE_CONNECTIONS: usize = 0;

/// Result of a health check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HealthCheckResult {
    /// Duration of the check, including the connection setup.
    pub elapsed: Duration,
    /// HTTP status; `None` if the host sent no complete response in time.
    pub status: Option<u16>,
    /// Body of the response, which holds the load report; empty without a response.
    pub body: Bytes,
}

/// Sends health checks to hosts over HTTP, each on a new connection.
pub struct HealthCheckClient {
    http: HttpClient,
}

impl Default for HealthCheckClient {
    fn default() -> HealthCheckClient {
        HealthCheckClient::new()
    }
}

impl HealthCheckClient {
    /// Creates a client. Connections are opened for each check.
    pub fn new() -> HealthCheckClient {
        HealthCheckClient {
            http: HttpClient::new(MAX_IDLE_CONNECTIONS),
        }
    }

    /// Checks a host. Returns within `timeout`, whatever the host does.
    pub async fn check(&self, address: &str, path: &str, timeout: Duration) -> HealthCheckResult {
        check(&self.http, &format!("http://{address}{path}"), timeout).await
    }

    /// Spawns a check whose result is sent to `events` as [`Input::HealthChecked`].
    pub(crate) fn start(
        &self,
        host: HostId,
        address: &str,
        path: &str,
        timeout: Duration,
        events: EventSender,
    ) {
        let (http, url) = (self.http.clone(), format!("http://{address}{path}"));
        tokio::spawn(async move {
            let HealthCheckResult {
                elapsed,
                status,
                body,
            } = check(&http, &url, timeout).await;
            let checked = Input::HealthChecked {
                host,
                elapsed: elapsed.as_secs_f64() * 1000.0,
                status,
                body,
            };
            _ = events.send(LoopEvent::Input(checked)).await;
        });
    }
}

async fn check(http: &HttpClient, url: &str, timeout: Duration) -> HealthCheckResult {
    let start = Instant::now();
    let response = http.get(url, timeout, MAX_REPORT_SIZE).await;
    let elapsed = start.elapsed();
    match response {
        Ok(response) => HealthCheckResult {
            elapsed,
            status: Some(response.status),
            body: response.body,
        },
        Err(_) => HealthCheckResult {
            elapsed,
            status: None,
            body: Bytes::new(),
        },
    }
}
