//! Health checks of hosts, which report their load with their answer.

use super::http::HttpClient;
use crate::events::{LoopEvent, LoopSender};
use bytes::Bytes;
use rushcourse_director_state::Input;
use rushcourse_policy::interface::HostId;
use std::time::{Duration, Instant};

/// No load report is larger, in bytes.
const MAX_REPORT_SIZE: usize = 16 << 10;
/// Each check opens a connection of its own: so it shows whether the host accepts one.
const MAX_IDLE_CONNECTIONS: usize = 0;

/// What came of a health check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HealthCheck {
    /// From its start to its end.
    pub elapsed: Duration,
    /// The HTTP status; nothing where the host gave no complete answer in time.
    pub status: Option<u16>,
    /// The load report; empty without an answer.
    pub body: Bytes,
}

/// Checks the health of hosts by HTTP.
pub struct HealthCheckClient {
    http: HttpClient,
}

impl Default for HealthCheckClient {
    fn default() -> HealthCheckClient {
        HealthCheckClient::new()
    }
}

impl HealthCheckClient {
    /// A client without connections.
    pub fn new() -> HealthCheckClient {
        HealthCheckClient {
            http: HttpClient::new(MAX_IDLE_CONNECTIONS),
        }
    }

    /// Checks a host. It always ends, within the time-out.
    pub async fn check(&self, address: &str, path: &str, timeout: Duration) -> HealthCheck {
        check(&self.http, &format!("http://{address}{path}"), timeout).await
    }

    /// Checks a host in a task of its own, which reports what came of it.
    pub(crate) fn start(
        &self,
        host: HostId,
        address: &str,
        path: &str,
        timeout: Duration,
        events: LoopSender,
    ) {
        let (http, url) = (self.http.clone(), format!("http://{address}{path}"));
        tokio::spawn(async move {
            let HealthCheck {
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

async fn check(http: &HttpClient, url: &str, timeout: Duration) -> HealthCheck {
    let start = Instant::now();
    let response = http.get(url, timeout, MAX_REPORT_SIZE).await;
    let elapsed = start.elapsed();
    match response {
        Ok(response) => HealthCheck {
            elapsed,
            status: Some(response.status),
            body: response.body,
        },
        Err(_) => HealthCheck {
            elapsed,
            status: None,
            body: Bytes::new(),
        },
    }
}
