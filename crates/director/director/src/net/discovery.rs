//! Client of discovery, which serves the membership list.

use super::http::{HttpClient, HttpResponse};
use crate::events::{EventSender, LoopEvent};
use rushcourse_director_state::{FetchId, Input};
use std::net::SocketAddr;
use std::time::Duration;

/// Idle connections that are kept open for the next request.
const MAX_IDLE_CONNECTIONS: usize = 1;
const HTTP_OK: u16 = 200;

/// Requests the membership list from discovery.
pub(crate) struct DiscoveryClient {
    http: HttpClient,
    max_list_size: usize,
}

impl DiscoveryClient {
    /// Responses of more than `max_list_size` bytes are rejected.
    pub(crate) fn new(max_list_size: usize) -> DiscoveryClient {
        DiscoveryClient {
            http: HttpClient::new(MAX_IDLE_CONNECTIONS),
            max_list_size,
        }
    }

    /// Spawns a request whose result is sent to `events` as [`Input::EndpointsFetched`] or [`Input::FetchFailed`].
    pub(crate) fn request_list(
        &self,
        request: FetchId,
        address: SocketAddr,
        path: &str,
        timeout: Duration,
        events: EventSender,
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
