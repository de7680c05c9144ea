//! The client of discovery, which serves the membership list.

use super::http::{HttpClient, HttpResponse};
use crate::events::{LoopEvent, LoopSender};
use rushcourse_director_state::{FetchId, Input};
use std::net::SocketAddr;
use std::time::Duration;

/// Idle connections that are kept.
const MAX_IDLE_CONNECTIONS: usize = 1;
const HTTP_OK: u16 = 200;

/// Requests the membership list.
pub(crate) struct DiscoveryClient {
    http: HttpClient,
    max_list_size: usize,
}

impl DiscoveryClient {
    /// A client for lists of at most so many bytes.
    pub(crate) fn new(max_list_size: usize) -> DiscoveryClient {
        DiscoveryClient {
            http: HttpClient::new(MAX_IDLE_CONNECTIONS),
            max_list_size,
        }
    }

    /// Requests a list in a task of its own, which reports what came of it.
    pub(crate) fn request_list(
        &self,
        request: FetchId,
        address: SocketAddr,
        path: &str,
        timeout: Duration,
        events: LoopSender,
    ) {
        let (http, max_list_size) = (self.http.clone(), self.max_list_size);
        let url = format!("http://{address}{path}");
        tokio::spawn(async move {
            let input = match http.get(&url, timeout, max_list_size).await {
                Ok(HttpResponse {
                    status: HTTP_OK,
                    body,
                }) => Input::EndpointsFetched { request, body },
                Ok(HttpResponse { status, .. }) => Input::FetchFailed {
                    request,
                    reason: format!("status {status}"),
                },
                Err(error) => Input::FetchFailed {
                    request,
                    reason: error.to_string(),
                },
            };
            _ = events.send(LoopEvent::Input(input)).await;
        });
    }
}
