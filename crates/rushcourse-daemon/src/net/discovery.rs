//! Asks discovery; what it answers becomes an input.

use super::http::{self, Http};
use crate::effects::{ToLoop, Told};
use rushcourse_reducer::Input;
use std::net::SocketAddr;
use std::time::Duration;

/// No list is larger.
const LIST_MOST: usize = 8 << 20;

pub struct Client {
    http: Http,
}

impl Client {
    pub fn new() -> Client {
        Client { http: http::client(1) }
    }

    pub fn ask(&self, ask: u64, at: SocketAddr, path: String, within: Duration, to: ToLoop) {
        let (http, url) = (self.http.clone(), format!("http://{at}{path}"));
        tokio::spawn(async move {
            let input = match http::get(&http, &url, within, LIST_MOST).await {
                Ok((200, body)) => Input::Listed { ask, body },
                Ok((status, _)) => Input::Unlisted { ask, why: format!("status {status}") },
                Err(why) => Input::Unlisted { ask, why },
            };
            _ = to.send(Told::Input(input)).await;
        });
    }
}
