//! Asks discovery; what it answers becomes an input.

use super::http::{self, Http};
use crate::events::{LoopEvent, LoopSender};
use rushcourse_director_state::{FetchId, Input};
use std::net::SocketAddr;
use std::time::Duration;

pub struct Client {
    http: Http,
    /// No list has more bytes.
    most: usize,
}

impl Client {
    pub fn new(most: usize) -> Client {
        Client {
            http: http::client(1),
            most,
        }
    }

    pub fn ask(
        &self,
        request: FetchId,
        at: SocketAddr,
        path: String,
        within: Duration,
        to: LoopSender,
    ) {
        let (http, url, most) = (self.http.clone(), format!("http://{at}{path}"), self.most);
        tokio::spawn(async move {
            let input = match http::get(&http, &url, within, most).await {
                Ok((200, body)) => Input::EndpointsFetched { request, body },
                Ok((status, _)) => Input::FetchFailed {
                    request,
                    reason: format!("status {status}"),
                },
                Err(reason) => Input::FetchFailed { request, reason },
            };
            _ = to.send(LoopEvent::Input(input)).await;
        });
    }
}
